"""Tests real processes in the platform's protocol. Runs are checked against the workers' own records."""

import signal
import time
import unittest

from cluster_case import PlatformCase
from cluster import call, call_json


class PlatformTest(PlatformCase):
    def check_no_overlapping_runs(self, cluster):
        self.assertEqual(cluster.overlapping_runs(), [], cluster.logs())

    def check_completed(self, answers):
        self.assertEqual([status for status, _ in answers], [200] * len(answers), answers)
        self.assertEqual({answer["state"] for _, answer in answers}, {"completed"})

    def test_hundreds_of_jobs_complete(self):
        cluster = self.cluster()
        self.check_completed(self.answers(self.submit_many(cluster, 300, "40")))
        self.check_no_overlapping_runs(cluster)
        done = [run for run in cluster.runs() if run["how"] == "done"]
        self.assertEqual(len(done), 600)

    def test_settings_change_without_a_restart(self):
        cluster = self.cluster(entries=2, agents=1)
        settings = cluster.read_settings("entry-0")
        unused_endpoint = {"address": "127.0.0.1", "port": cluster.unused_port()}
        reaches = lambda wanted: f"dandelionspur_table_reachable {wanted}".encode() in call(
            "GET", cluster.entry_admin_port(0), "/metrics")[1]
        cluster.wait_for(lambda: reaches(1), "the table", 10)
        cluster.write_settings("entry-0", {**settings, "table": unused_endpoint})
        cluster.wait_for(lambda: reaches(0), "the change without a signal", 10)
        cluster.write_settings("entry-0", settings)
        cluster.entries[0].signal(signal.SIGHUP)
        cluster.wait_for(lambda: reaches(1), "the change with a signal", 10)
        # Invalid settings are rejected with a log line and leave the settings in force unchanged.
        cluster.write_settings("entry-0", {**settings, "bucket_count": 0})
        cluster.wait_for(lambda: "event=settings_rejected" in cluster.log("entry-0"), "the rejection", 5)
        self.check_completed(self.answers(self.submit_many(cluster, 10, "20")))

    def test_an_unread_log_output_does_not_block(self):
        log = {"lines_per_second": 20000, "jobs_followed_per_thousand": 1000}
        cluster = self.cluster(agents=2, entry_settings={"log": log}, agent_settings={"log": log}, unread_output=True)
        # Enough jobs to fill both the pipe and the log writer's queue.
        self.check_completed(self.answers(self.submit_many(cluster, 800, "100", 1)))
        lost = [int(line.split()[1]) for line in call("GET", cluster.entry_admin_port(0), "/metrics")[1].decode().splitlines()
                if line.startswith("dandelionspur_log_batches_lost ")]
        self.assertGreater(lost[0], 0)
        for process in cluster.entries:
            process.signal(signal.SIGTERM)
        for process in cluster.entries:
            self.assertEqual(process.popen.wait(timeout=10), 0)

    def test_failing_task_is_retried_up_to_its_limit(self):
        cluster = self.cluster(agents=2)
        status, answer = cluster.submit_to_queue(0, "00000000000000aa", "20 fail", 1)
        self.assertEqual((status, answer["state"]), (200, "failed"))
        self.assertEqual([run["how"] for run in cluster.runs()], ["failed"] * 3)

    # Guards against a task that takes down one upstream after the other, and its neighbours with them.
    def test_task_that_crashes_its_upstreams_is_given_up(self):
        cluster = self.cluster(agents=4, slots=4)
        bystanders = self.submit_many(cluster, 12, "700", tasks=1, first=256)
        # Who starts together with the task that crashes its upstream is suspected as well.
        cluster.wait_for(lambda: cluster.started_tasks() == 12, "the bystanders", 5)
        time.sleep(0.2)
        deadly = self.pool.submit(cluster.submit_to_queue, 0, "00000000000000dd", "8 crash", 1)
        crashes = cluster.restart_crashed_upstreams(deadly)
        status, answer = deadly.result()
        self.assertEqual((status, answer["state"]), (200, "failed"), cluster.logs())
        self.assertEqual(crashes, 2, cluster.logs())
        self.check_completed(self.answers(bystanders))
        self.check_no_overlapping_runs(cluster)

    def test_routes_follow_the_configuration(self):
        cluster = self.cluster(entries=2, agents=1)
        self.assertEqual(cluster.submit_to_queue(0, "0" * 16, "10", path_prefix="/other/")[0], 404)
        self.assertEqual(call("GET", cluster.caller_port(0), "/jobs/")[0], 200)
        self.assertEqual(call("GET", cluster.caller_port(0), "/jobs/" + "0" * 16)[0], 410)
        cluster.write_configuration(3, "/moved/")
        cluster.wait_for(lambda: call("GET", cluster.caller_port(1), "/moved/")[0] == 200, "the new route", 2)
        self.assertEqual(call("GET", cluster.caller_port(1), "/jobs/")[0], 404)
        # A configuration older than the one in force is ignored.
        cluster.write_configuration(2, "/jobs/")
        time.sleep(1)
        self.assertEqual(call("GET", cluster.caller_port(1), "/jobs/")[0], 404)

    def test_unsupported_job_kind_is_refused(self):
        cluster = self.cluster(entries=2, agents=1)
        status, answer = call_json(
            "POST", cluster.caller_port(0), "/jobs/" + "0" * 16, '{"spec":"10","steps":[{"count":1,"cpu":1000}]}'
        )
        self.assertEqual((status, answer["reason"]), (503, "unsupported_job"))
        self.assertEqual(cluster.runs(), [])

    # Guards against agents that end by an exception, one after the other, because a caller sends bytes that are no text.
    def test_a_body_that_is_no_text_is_refused_and_ends_no_agent(self):
        # An entry that doesn't know the protocol passes the body on, like one of an older version; then the agents refuse it.
        for protocol, status in (("platform", 400), ("own", 503)):
            cluster = self.cluster(agents=2, entry_settings={"upstream_protocol": protocol})
            for i in range(4):
                answer = self.send_request(cluster, i % 3, f"key-{i}", b"\x89PNG")
                self.assertEqual((answer[0], answer[1]["verdict"]), (status, "not_run"), cluster.logs())
            self.assertIsNone(next((agent for agent in cluster.agents if agent.popen.poll() is not None), None), cluster.logs())
            self.assertEqual(cluster.runs(), [])

    # Guards against agents that end by an exception because a caller's key, which names the task, is no text.
    def test_a_key_that_is_no_text_is_served(self):
        cluster = self.cluster(agents=2)
        for i in range(4):
            self.assertEqual(self.send_request(cluster, i % 3, f"key-{i}\xff", b"20")[0], 200, cluster.logs())
        self.assertEqual(len(cluster.runs()), 4)

    def send_request(self, cluster, entry, key, body):
        return call_json("POST", cluster.caller_port(entry), "/v1/services/demo/requests", body, {"Idempotency-Key": key})

    def test_kill_of_an_entry(self):
        cluster = self.cluster()
        first = self.submit_many(cluster, 24, "600")
        time.sleep(0.3)
        cluster.entries[0].kill()
        again = self.submit_many(cluster, 24, "600", entries=[1, 2])
        self.check_completed(self.answers(again))
        self.answers(first)
        self.check_no_overlapping_runs(cluster)

    def test_kill_and_restart_of_an_agent(self):
        cluster = self.cluster()
        first = self.submit_many(cluster, 24, "600")
        time.sleep(0.3)
        cluster.agents[0].kill()
        cluster.start_agent(0)
        self.answers(first)
        cluster.wait_ready()
        self.check_completed(self.answers(self.submit_many(cluster, 24, "100", first=1000)))
        self.check_no_overlapping_runs(cluster)

    def test_kill_of_every_entry(self):
        cluster = self.cluster()
        first = self.submit_many(cluster, 24, "600")
        time.sleep(0.3)
        for entry in range(3):
            cluster.entries[entry].kill()
        for entry in range(3):
            cluster.start_entry(entry)
        self.answers(first)
        cluster.wait_ready()
        # Resubmits the same keys, as callers do after a broken connection.
        self.check_completed(self.answers(self.submit_many(cluster, 24, "600")))
        self.check_no_overlapping_runs(cluster)

    def test_frozen_agent_lets_its_lease_run_out(self):
        cluster = self.cluster()
        first = self.submit_many(cluster, 12, "4000")
        runs_at_worker = lambda: call_json("GET", cluster.upstream_port(0), "/v1/runs")[1]["runs"]

        # An agent accepts no tasks before an entry has confirmed one of its heartbeats, which may be after all these
        # tasks were sent to the other agents.
        def worker_runs_a_task():
            if runs_at_worker():
                return True
            time.sleep(0.1)
            first.extend(self.submit_many(cluster, 1, "4000", first=len(first)))
            return False

        cluster.wait_for(worker_runs_a_task, "a run at the agent's worker", 10)
        cluster.agents[0].signal(signal.SIGSTOP)
        held = {(run["task"], run["run"]) for run in runs_at_worker() if run["how"] == "running"}
        time.sleep(2)
        endings = {run["how"] for run in runs_at_worker() if (run["task"], run["run"]) in held}
        cluster.agents[0].signal(signal.SIGCONT)
        self.answers(first)
        # All of them, since the worker holds all its runs under one lease.
        self.assertEqual(endings, {"lapsed"}, cluster.logs())
        self.check_no_overlapping_runs(cluster)

    def test_delayed_start_orders_cause_no_overlapping_runs(self):
        cluster = self.cluster(agents=2)
        assert call("PUT", cluster.upstream_port(0), "/faults", '{"late_orders": 3, "late_ms": 1500}')[0] == 200
        self.check_completed(self.answers(self.submit_many(cluster, 24, "300")))
        time.sleep(2)
        self.check_no_overlapping_runs(cluster)
        self.assertEqual({run["how"] for run in cluster.runs()}, {"done"})

    def test_lost_answers_to_start_orders(self):
        cluster = self.cluster(agents=2)
        assert call("PUT", cluster.upstream_port(0), "/faults", '{"lose_answers": 3}')[0] == 200
        self.check_completed(self.answers(self.submit_many(cluster, 24, "300")))
        self.check_no_overlapping_runs(cluster)

    def test_leaving_upstream_gets_no_new_tasks(self):
        cluster = self.cluster(agents=2)
        assert call("PUT", cluster.upstream_port(0), "/faults", '{"leaving": true}')[0] == 200
        time.sleep(1)
        since_us = time.time() * 1e6
        self.check_completed(self.answers(self.submit_many(cluster, 24, "50")))
        _, answer = call_json("GET", cluster.upstream_port(0), "/v1/runs")
        self.assertEqual([run for run in answer["runs"] if run["from_us"] > since_us], [])

    def test_graceful_shutdown_of_an_entry_while_the_table_is_down(self):
        cluster = self.cluster()
        cluster.set_faults(down=True)
        time.sleep(1)
        futures = self.submit_many(cluster, 24, "400")
        time.sleep(0.2)
        cluster.entries[0].signal(signal.SIGTERM)
        self.check_completed(self.answers(futures))
        self.assertEqual(cluster.entries[0].wait(8), 0)
        self.check_no_overlapping_runs(cluster)

    def test_lost_and_late_answers_of_the_table(self):
        cluster = self.cluster()
        cluster.set_faults(lose_answers=1, late_writes=1, late_ms=1500)
        cluster.entries[0].kill()
        cluster.start_entry(0)
        cluster.wait_for(lambda: len((cluster.status(1) or {}).get("members", [])) == 3, "the view")
        cluster.set_faults(drop_history=True)
        cluster.wait_ready()
        cluster.write_configuration(5, "/late/")
        cluster.wait_for(lambda: call("GET", cluster.caller_port(0), "/late/")[0] == 200, "the new route", 3)


if __name__ == "__main__":
    unittest.main()
