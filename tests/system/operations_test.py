"""Runs the commands of docs/OPERATIONS.md that lead from a failed request's id to its cause.

A line "    $ COMMAND" of the page is run, and its output must contain the text of each following line "    = WORDS".
JOB is the request's id, LOGS the processes' logs, ENTRY the admin address of the entry that was asked; AGENT, HOME and
KEY are the last values of `agent=`, `home=` and `key=` in the output of earlier commands.
"""

import json
import os
import re
import subprocess
import sys
import time
import unittest

from cluster_case import PlatformCase
from cluster import BUILD, ROOT, call

PAGE = ROOT / "docs/OPERATIONS.md"
# Placeholders in commands, and the log fields of earlier output that they are replaced by.
PLACEHOLDER_FIELDS = {"AGENT": "agent", "HOME": "home", "KEY": "key"}
LOG_DELAY_SECONDS = 0.5
# The page calls the operator's command by its name.
COMMAND_ENVIRONMENT = {**os.environ, "PATH": f"{BUILD / 'utilities'}:{os.environ['PATH']}"}


def steps_of(heading):
    """The (command, expected words) of one section of the page."""
    section = PAGE.read_text().split(f"## {heading}\n", 1)[1].split("\n## ", 1)[0]
    steps = []
    for line in section.splitlines():
        if line.startswith("    $ "):
            steps.append((line[6:], []))
        elif line.startswith("    = "):
            steps[-1][1].append(line[6:])
    return steps


class OperationsTest(PlatformCase):
    def follow(self, heading, cluster, job, entry=0):
        time.sleep(LOG_DELAY_SECONDS)
        steps = steps_of(heading)
        self.assertGreaterEqual(len(steps), 3)
        values = {
            "JOB": job,
            "LOGS": f"{cluster.directory.name}/*.log",
            "ENTRY": f"127.0.0.1:{cluster.entry_admin_port(entry)}",
            "TABLE": f"127.0.0.1:{cluster.table_port()}",
            "SERVICE": "demo",
        }
        for command, expected in steps:
            for name, value in values.items():
                command = re.sub(rf"\b{name}\b", value, command)
            if "--print" in sys.argv:
                print("$", command)
            printed = subprocess.run(
                command, shell=True, capture_output=True, text=True, timeout=30, env=COMMAND_ENVIRONMENT
            ).stdout
            if "--print" in sys.argv:
                print(printed)
            for words in expected:
                self.assertIn(words, printed, f"{heading}: {command}\n{cluster.logs()}")
            for name, field in PLACEHOLDER_FIELDS.items():
                found = re.findall(rf" {field}=(\w+)", printed)
                if found:
                    values[name] = found[-1]

    def test_every_metric_is_on_the_page(self):
        cluster = self.cluster(agents=1)
        self.answers(self.submit_many(cluster, 3, "20"))
        page = PAGE.read_text()
        for port in (cluster.entry_admin_port(0), cluster.agent_admin_port(0)):
            exposed = call("GET", port, "/metrics")[1].decode()
            self.assertIn("log_batches_lost", exposed)
            families = re.findall(r"# TYPE dandelionspur_(\w+)", exposed)
            self.assertEqual([name for name in families if f"`{name}" not in page], [])

    def test_would_agrees_with_what_happens(self):
        cluster = self.cluster(agents=3)
        job = "00000000000000ab"
        body = {"spec": "200", "best_effort": True, "steps": [{"count": 1, "cpu": 1000, "estimate_ms": 100}]}
        admin = f"127.0.0.1:{cluster.entry_admin_port(0)}"
        command = ["dandelionspur", "--entry", admin, "--json", "would", f"/jobs/{job}"]
        command += ["-H", "Host: 127.0.0.1", "-H", "X-Deadline-Ms: 5000", "--data", json.dumps(body)]

        def preview_of_start():
            printed = subprocess.run(command, capture_output=True, text=True, timeout=30, env=COMMAND_ENVIRONMENT)
            return json.loads(printed.stdout) if printed.returncode == 0 else None

        # An agent accepts tasks once an entry has confirmed its heartbeat.
        cluster.wait_for(preview_of_start, "agents that accept tasks", 5)
        preview = preview_of_start()
        chosen = [item["agent"] for item in preview["candidates"] if item["verdict"] == "chosen"]
        self.assertEqual(len(chosen), 1, preview)
        self.assertEqual(cluster.runs(), [])
        self.assertEqual(cluster.submit_to_queue(0, job, "200", 1, 5000)[0], 200)
        time.sleep(LOG_DELAY_SECONDS)
        table = f"127.0.0.1:{cluster.table_port()}"
        command = ["dandelionspur", "--entry", admin, "--table", table, "explain", "demo", job]
        explained = subprocess.run(command, capture_output=True, text=True, timeout=30, env=COMMAND_ENVIRONMENT).stdout
        self.assertEqual(re.findall(r"to agent (\d+): start task", explained), chosen, explained)

    def test_refused_under_a_burst(self):
        cluster = self.cluster(agents=1, slots=2)
        answers = self.answers(self.submit_many(cluster, 64, "400", deadline_ms=1500))
        self.assertIn(503, {status for status, _ in answers})
        time.sleep(LOG_DELAY_SECONDS)
        # Follows a job refused on submission; other jobs are refused when their deadline expires.
        refusal = r"refusal_decided job=(\w+) reason=deadline_too_short"
        entry, jobs = next(
            (entry, jobs) for entry in range(3) if (jobs := re.findall(refusal, cluster.log(f"entry-{entry}")))
        )
        self.follow("A request was refused under a burst", cluster, jobs[-1], entry)

    def test_failed_after_its_upstream_and_agent_were_lost(self):
        cluster = self.cluster(agents=1)
        job = "00000000000000aa"
        answer = self.pool.submit(cluster.submit_to_queue, 0, job, "2500", 1, 4000)
        cluster.wait_for(lambda: cluster.runs(), "the run", 5)
        cluster.agents[0].kill()
        cluster.upstreams[0].kill()
        self.assertNotEqual(answer.result(timeout=60)[0], 200)
        self.follow("A request failed after its upstream and agent were lost", cluster, job)

    def test_upstreams_crash_one_after_another(self):
        cluster = self.cluster(agents=3)
        job = "00000000000000dd"
        answer = self.pool.submit(cluster.submit_to_queue, 0, job, "8 crash", 1)
        cluster.restart_crashed_upstreams(answer)
        self.assertEqual(answer.result()[1]["state"], "failed", cluster.logs())
        self.follow("Upstreams crash one after another", cluster, job)

    def test_answered_late_after_a_take_over(self):
        cluster = self.cluster()
        jobs = self.submit_many(cluster, 12, "3000", 1, entries=[0])
        cluster.wait_for(lambda: len(cluster.runs()) >= 12, "the runs", 5)
        # Which entry is the home of a job differs from run to run.
        while not cluster.status(1)["jobs_at_home"]:
            jobs += self.submit_many(cluster, 1, "3000", 1, entries=[0], first=len(jobs))
            cluster.wait_for(lambda: len(cluster.runs()) >= len(jobs), "the run", 5)
        cluster.entries[1].kill()
        # The killed entry may have answered jobs; one that still runs moves to another home.
        running = {run["task"].split(".")[0] for run in cluster.runs() if run["how"] == "running"}
        self.assertEqual({status for status, _ in self.answers(jobs)}, {200})
        time.sleep(LOG_DELAY_SECONDS)
        killed = re.search(r"event=started incarnation=(\d+)", cluster.log("entry-1")).group(1)
        relayed = re.findall(rf"event=relay_sent job=(\w+) home={killed}", cluster.log("entry-0"))
        moved = [job for job in relayed if job in running]
        self.assertTrue(moved, cluster.logs())
        self.follow("A request was answered late after a take-over", cluster, moved[0])


if __name__ == "__main__":
    unittest.main(argv=[word for word in sys.argv if word != "--print"])
