"""Failures of real processes. Callers' answers are checked against the starts that the upstream stand-ins recorded."""

import json
import signal
import socket
import struct
import subprocess
import time
import unittest

from cluster_case import ClusterCase
import cluster as clusters
from cluster import call, call_json, task

DEADLINE_MS = 20000


class FailureTest(ClusterCase):
    next_port = 23000

    def submit_many(self, cluster, count, sleep_ms=300, tasks=4, entries=None, prefix="key"):
        entries = entries or cluster.live_entries()
        return [
            self.pool.submit(
                cluster.submit, entries[i % len(entries)], f"{prefix}-{i}",
                [task(sleep_ms, f"{prefix}-{i}/{j}") for j in range(tasks)], DEADLINE_MS,
            )
            for i in range(count)
        ]

    def check_answers(self, futures, prefix="key", tasks=4):
        """Checks that each 200 answer has the results of its own job, in task order; returns all answers."""
        answers = [future.result(timeout=90) for future in futures]
        for i, (status, answer) in enumerate(answers):
            if status != 200:
                continue
            tokens = [json.loads(result)["token"] for result in answer["results"]]
            self.assertEqual(tokens, [f"{prefix}-{i}/{j}" for j in range(tasks)])
        return answers

    def check_starts_and_refusals(self, cluster, answers):
        self.assertEqual(cluster.double_starts(), 0, cluster.logs())
        for status, answer in answers:
            if answer and answer["verdict"] == "not_run":
                self.fail(f"nothing was refused in this test, but: {answer}")

    def test_kill_of_the_home_and_resubmission_through_another_entry(self):
        cluster = self.cluster()
        first = self.submit_many(cluster, 24, sleep_ms=800)
        time.sleep(0.4)
        cluster.entries[0].kill()
        again = self.submit_many(cluster, 24, sleep_ms=800, entries=[1, 2])
        answers = self.check_answers(again)
        self.check_starts_and_refusals(cluster, answers)
        self.assertEqual([status for status, _ in answers], [200] * 24, answers)
        for future in first:
            future.result(timeout=90)

    def test_takeover_of_a_frozen_home_that_resumes(self):
        cluster = self.cluster()
        first = self.submit_many(cluster, 24, sleep_ms=800)
        time.sleep(0.4)
        cluster.entries[0].signal(signal.SIGSTOP)
        time.sleep(2.5)
        again = self.submit_many(cluster, 24, sleep_ms=800, entries=[1, 2])
        time.sleep(0.5)
        cluster.entries[0].signal(signal.SIGCONT)
        answers = self.check_answers(again)
        self.check_starts_and_refusals(cluster, answers)
        self.assertEqual([status for status, _ in answers], [200] * 24, answers)
        self.check_answers(first)

    def test_kill_of_an_agent_with_running_tasks(self):
        cluster = self.cluster()
        futures = self.submit_many(cluster, 12, sleep_ms=1500)
        time.sleep(0.5)
        cluster.agents[0].kill()
        answers = self.check_answers(futures)
        self.check_starts_and_refusals(cluster, answers)
        # Jobs with a task on the killed agent are answered "may_have_run"; all others complete.
        verdicts = {answer["verdict"] for _, answer in answers}
        self.assertEqual(verdicts, {"ran", "may_have_run"})
        reasons = {answer["reason"] for _, answer in answers}
        self.assertEqual(reasons, {"complete", "agent_lost"})

    def test_kill_of_an_entry_during_a_table_outage(self):
        cluster = self.cluster()
        cluster.set_faults(down=True)
        time.sleep(1.2)
        cluster.entries[0].kill()
        futures = self.submit_many(cluster, 24, sleep_ms=200, entries=[1, 2])
        answers = self.check_answers(futures)
        self.check_starts_and_refusals(cluster, answers)
        self.assertEqual([status for status, _ in answers], [200] * 24, answers)
        cluster.set_faults(down=False)
        members = lambda: len((cluster.status(1) or {}).get("members", []))
        cluster.wait_for(lambda: members() == 2, "the view to follow once the table answers")

    def test_apply_is_idempotent_after_a_lost_table_answer(self):
        cluster = self.cluster(entries=2, agents=1)
        document = (clusters.ROOT / "examples/service.json").read_text().replace("20000", "19000")
        cluster.set_faults(lose_answers=1)
        status, answer = cluster.apply_document(document, base_version=1, change_id="lost")
        self.assertEqual((status, answer), (200, {"version": 2}))
        # Repeating a change under its change ID returns the version already written.
        status, answer = cluster.apply_document(document, base_version=1, change_id="lost", entry=1)
        self.assertEqual((status, answer), (200, {"version": 2}))

    def test_concurrent_document_changes_conflict(self):
        cluster = self.cluster(entries=2, agents=1)
        text = (clusters.ROOT / "examples/service.json").read_text()
        changes = [
            self.pool.submit(
                cluster.apply_document, text.replace("20000", str(19000 + i)), entry=i % 2, base_version=1, change_id=f"race-{i}"
            )
            for i in range(8)
        ]
        statuses = sorted(change.result()[0] for change in changes)
        self.assertEqual(statuses, [200] + [409] * 7)

    def test_graceful_shutdown_of_an_entry_under_load(self):
        cluster = self.cluster()
        futures = self.submit_many(cluster, 30, sleep_ms=500)
        time.sleep(0.3)
        cluster.entries[1].signal(signal.SIGTERM)
        answers = self.check_answers(futures)
        self.check_starts_and_refusals(cluster, answers)
        self.assertEqual([status for status, _ in answers], [200] * 30, answers)
        self.assertEqual(cluster.entries[1].wait(30), 0)

    def test_graceful_shutdown_of_an_agent_under_load(self):
        cluster = self.cluster()
        futures = self.submit_many(cluster, 30, sleep_ms=500)
        time.sleep(0.3)
        cluster.agents[1].signal(signal.SIGTERM)
        stopped_at_us = time.time() * 1e6
        answers = self.check_answers(futures)
        self.check_starts_and_refusals(cluster, answers)
        self.assertEqual([status for status, _ in answers], [200] * 30, answers)
        self.assertEqual(cluster.agents[1].wait(30), 0)
        _, log = call_json("GET", cluster.upstream_port(1), "/v1/starts")
        grace_us = 3e6
        late = [start for start in log["starts"] if start["at_us"] > stopped_at_us + grace_us]
        self.assertEqual(late, [], "a leaving upstream got new work")

    def test_agent_restart_with_lost_state_starts_no_task_twice(self):
        cluster = self.cluster()
        first = self.submit_many(cluster, 12, sleep_ms=1200)
        time.sleep(0.4)
        cluster.agents[0].kill()
        cluster.start_agent(0)
        for future in first:
            future.result(timeout=90)
        cluster.wait_ready()
        again = self.check_answers(self.submit_many(cluster, 12, sleep_ms=1200))
        self.check_starts_and_refusals(cluster, again)

    def test_bad_frames_close_one_connection_and_are_counted(self):
        cluster = self.cluster(entries=2, agents=1)
        cases = {
            "kOversized": struct.pack(">IB", 0x7FFFFFFF, 1),
            "kWrongVersion": struct.pack(">IB", 4, 99) + b"abcd",
            "kMalformed": struct.pack(">IB", 4, 1) + b"\xc1\xc1\xc1\xc1",
            "kTruncated": struct.pack(">IB", 400, 1) + b"abcd",
        }
        for error, frame in cases.items():
            with socket.create_connection((clusters.LOOPBACK, cluster.peer_port(0))) as connection:
                connection.sendall(frame)
                connection.shutdown(socket.SHUT_WR)
                try:
                    while connection.recv(4096):
                        pass
                except ConnectionResetError:
                    pass  # Closing a socket with unread bytes resets the connection.
            metrics = call("GET", cluster.entry_admin_port(0), "/metrics")[1].decode()
            self.assertIn(f'dandelionspur_bad_frames_total{{error="{error}"}} 1', metrics)
        self.assertEqual(cluster.submit(0, "after", [task(50)])[0], 200)

    def test_recordings_replay_after_failures(self):
        cluster = self.cluster(entry_settings={"recording": {"write_interval_ms": 200}},
                               agent_settings={"recording": {"write_interval_ms": 200}})
        futures = self.submit_many(cluster, 20, sleep_ms=400)
        time.sleep(0.3)
        cluster.entries[0].signal(signal.SIGSTOP)
        time.sleep(2)
        cluster.entries[0].signal(signal.SIGCONT)
        self.check_answers(futures)
        command = [
            clusters.BUILD / "utilities/dandelionspur",
            "--entry", f"127.0.0.1:{cluster.entry_admin_port(1)}", "--table", f"127.0.0.1:{cluster.table_port()}",
        ]
        replay = subprocess.run(command + ["replay"], capture_output=True, text=True)
        self.assertEqual(replay.returncode, 0, replay.stderr)
        explain = subprocess.run(command + ["explain", "demo", "key-0"], capture_output=True, text=True)
        self.assertEqual(explain.returncode, 0, explain.stderr)
        for part in ("a caller submits the job", "is home of the job's bucket", "calls the upstream", "answers the caller"):
            self.assertIn(part, explain.stdout)


if __name__ == "__main__":
    unittest.main()
