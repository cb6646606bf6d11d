"""Requests whose bodies are within the limit of bytes but cost many times that to read: a process stays within its memory
and still answers."""

import json
import unittest

from hostile_case import HostileCase, MEMORY_MB, http_request, send_and_wait
import cluster as clusters

# The crowd.
CLIENTS = 4
# The setting `body_bytes` of each process, and the size that the bodies come close to.
BODY_LIMIT_BYTES = 4_000_000
BODY_BYTES = 3_900_000
# A task's body may have 1 MiB.
TASK_BODY_BYTES = 1_000_000

LIMITS = {"client_limits": {"body_bytes": BODY_LIMIT_BYTES}}
TEMPLATE_MARK = "@"


def filled(template, item, size=BODY_BYTES, separator=","):
    """`template` with as many `item`s in place of its mark as make it about `size` bytes long."""
    count = (size - len(template)) // (len(item) + len(separator))
    return template.replace(TEMPLATE_MARK, separator.join([item] * count)).encode()


def numbered_fields(template):
    """`template` with many different fields in place of its mark."""
    return template.replace(TEMPLATE_MARK, ",".join(f'"{number}":0' for number in range(350_000))).encode()


def within_limits():
    """A job that the pages allow, and whose values take many times the memory of their text."""
    body = "[" + ",".join(["[]"] * (TASK_BODY_BYTES // 3)) + "]"
    task = '{"body":' + body + ',"declared_ms":5}'
    return ('{"tasks":[' + ",".join([task] * 3) + "]}").encode()


JOB = '{"tasks":[@]}'
ONE_TASK = '{"tasks":[{"body":[@]}]}'
JOBS = {
    "empty_tasks": filled(JOB, "{}"),
    "tasks": filled(JOB, '{"body":{},"declared_ms":5}'),
    "numbers": filled(ONE_TASK, "1"),
    "empty_arrays": filled(ONE_TASK, "[]"),
    "empty_objects": filled(ONE_TASK, "{}"),
    "fields": numbered_fields('{"tasks":[{"body":{@}}]}'),
    "unknown_field": filled('{"tasks":[{"body":1}],"other":[@]}', "[]"),
    "unknown_fields": numbered_fields('{"tasks":[{"body":1}],@}'),
    "comments": filled('{"tasks":[@{}]}', "/**/", separator=""),
    "deep": filled(ONE_TASK, "[", separator=""),
    "one_text": filled('{"tasks":[{"body":"@"}]}', "\\u0001", separator=""),
    "client_account": filled('{"tasks":[{"body":1}],"client_account":"@"}', "a", separator=""),
}
QUEUED = '{"spec":"1","best_effort":true,"steps":[{"count":1,"cpu":1000,"estimate_ms":5}],"x":[@]}'
QUEUED_JOBS = {
    "spec": filled('{"spec":"@","best_effort":true,"steps":[{"count":860,"cpu":1000,"estimate_ms":5}]}', "a", separator=""),
    "steps": filled('{"spec":"1","best_effort":true,"steps":[@]}', "{}"),
    "unknown_field": filled(QUEUED, "[]"),
}
ANNOUNCEMENT = '{"service":"demo","address":"127.0.0.1","port":9,"slots":8,"rack":"r","other":[@]}'
HEARTBEAT = '{"service":"demo","address":"127.0.0.1:9","state":"ready","clock_ms":1,"seq":1,"labels":["r"],"x":[@]}'


class CostlyBodiesTest(HostileCase):
    next_port = 4000

    def start(self, **options):
        return self.cluster(
            entries=2, agents=1, entry_settings={"memory_mb": MEMORY_MB, **LIMITS}, agent_settings=LIMITS, **options
        )

    def send_from_crowd(self, port, request, clients=CLIENTS):
        """Every client sends `request(number)` at the same time and waits for its answer."""
        return self.run_clients(lambda number: send_and_wait(self.connect(port), request(number)), clients)

    def job_request(self, number, body):
        return http_request("POST", "/v1/services/demo/jobs", body, {"Idempotency-Key": f"crowd-{number}"})

    def check_jobs(self, body):
        cluster = self.start()
        answers = self.send_from_crowd(cluster.caller_port(0), lambda number: self.job_request(number, body))
        for entry in cluster.entries:
            self.assert_sound(cluster, entry)
        for answer in answers:
            self.assert_truthful(answer)

    # Guards against a reader whose memory or time is many times that of the text.
    def test_entry_empty_tasks(self):
        self.check_jobs(JOBS["empty_tasks"])

    def test_entry_tasks(self):
        self.check_jobs(JOBS["tasks"])

    def test_entry_numbers(self):
        self.check_jobs(JOBS["numbers"])

    def test_entry_empty_arrays(self):
        self.check_jobs(JOBS["empty_arrays"])

    def test_entry_empty_objects(self):
        self.check_jobs(JOBS["empty_objects"])

    def test_entry_fields(self):
        self.check_jobs(JOBS["fields"])

    def test_entry_unknown_field(self):
        self.check_jobs(JOBS["unknown_field"])

    def test_entry_unknown_fields(self):
        self.check_jobs(JOBS["unknown_fields"])

    def test_entry_comments(self):
        self.check_jobs(JOBS["comments"])

    def test_entry_deep(self):
        self.check_jobs(JOBS["deep"])

    def test_entry_one_text(self):
        self.check_jobs(JOBS["one_text"])

    def test_entry_client_account(self):
        self.check_jobs(JOBS["client_account"])

    def test_entry_crowd_within_limits(self):
        self.check_jobs(within_limits())

    # A single request inside the limits is served in calm.
    def test_entry_one_within_limits(self):
        cluster = self.start()
        [answer] = self.send_from_crowd(
            cluster.caller_port(0), lambda number: self.job_request(number, within_limits()), clients=1
        )
        self.assertEqual(answer.status, 200, answer.body[:300])
        for process in cluster.entries + cluster.agents:
            self.assert_sound(cluster, process)

    # Several kinds together, half of them through each entry.
    def test_entry_several_kinds(self):
        cluster = self.start()
        bodies = list(JOBS.values())[: 2 * CLIENTS]
        self.run_clients(
            lambda number: send_and_wait(
                self.connect(cluster.caller_port(number % 2)), self.job_request(number, bodies[number])
            ),
            len(bodies),
        )
        for entry in cluster.entries:
            self.assert_sound(cluster, entry)

    def submit_ordinary_to_queue(self, cluster):
        status, answer = cluster.submit_to_queue(0, f"{1:016x}", "50")
        self.assertEqual((status, answer), (200, {"state": "completed"}), cluster.log("entry-0")[-2000:])

    def check_queue(self, body):
        cluster = self.start(platform=True)
        self.send_from_crowd(
            cluster.caller_port(0),
            lambda number: http_request("POST", f"/jobs/{0xabc0 + number:016x}", body, {"X-Deadline-Ms": "20000"}),
        )
        self.submit_ordinary_to_queue(cluster)
        for process in cluster.entries + cluster.agents:
            self.assert_within_bounds(cluster, process)

    def test_queue_spec(self):
        self.check_queue(QUEUED_JOBS["spec"])

    def test_queue_steps(self):
        self.check_queue(QUEUED_JOBS["steps"])

    def test_queue_unknown_field(self):
        self.check_queue(QUEUED_JOBS["unknown_field"])

    # The operators' port.
    def test_preview(self):
        cluster = self.start()
        job = {"target": "/v1/services/demo/jobs", "headers": {"Idempotency-Key": "k"}, "body": JOBS["empty_arrays"].decode()}
        self.send_from_crowd(cluster.entry_admin_port(0), lambda number: http_request("POST", "/v1/would", json.dumps(job).encode()))
        self.assert_sound(cluster, cluster.entries[0])

    def test_preview_unknown_field(self):
        cluster = self.start()
        body = filled('{"target":"/v1/services/demo/jobs","other":[@]}', "[]")
        self.send_from_crowd(cluster.entry_admin_port(0), lambda number: http_request("POST", "/v1/would", body))
        self.assert_sound(cluster, cluster.entries[0])

    def test_document(self):
        cluster = self.start()
        body = filled('{"service":"demo","other":[@]}', "[]")
        path = "/v1/services/demo/document?change_id=x&base_version=1"
        self.send_from_crowd(cluster.entry_admin_port(0), lambda number: http_request("PUT", path, body))
        self.assert_sound(cluster, cluster.entries[0])

    # What an agent listens on.
    def test_agent_announcement(self):
        cluster = self.start()
        body = filled(ANNOUNCEMENT, "[]")
        self.send_from_crowd(cluster.agent_admin_port(0), lambda number: http_request("PUT", "/v1/upstream", body))
        self.assert_sound(cluster, cluster.agents[0])

    def check_heartbeats(self, path):
        cluster = self.start(platform=True)
        body = filled(HEARTBEAT, "[]")
        self.send_from_crowd(cluster.announcement_port(0), lambda number: http_request("POST", f"{path}/i-{number}", body))
        self.submit_ordinary_to_queue(cluster)
        self.assert_within_bounds(cluster, cluster.agents[0])

    def test_agent_heartbeat(self):
        self.check_heartbeats("/-/Instances.Heartbeat")

    def test_agent_departure(self):
        self.check_heartbeats("/-/Instances.Leave")


if __name__ == "__main__":
    unittest.main()
