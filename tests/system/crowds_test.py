"""Crowds of clients whose requests are small or ordinary one by one: jobs that wait, callers that leave, keys, accounts and
connections without end. A process stays within its bounds, and an ordinary caller of another account is served."""

import json
import time
import unittest

from hostile_case import ANSWER_SECONDS, Answer, HostileCase, MEMORY_MB, http_request, read_answer, send_and_wait
import cluster as clusters

# The crowd.
CLIENTS = 8
# Each client's jobs, one a connection; those of all clients take more than the memory.
WAITING_JOBS = 500
WAITING_JOB_BYTES = 20_000
LARGE_JOBS = 10
LARGE_TASK_BYTES = 1_000_000
LARGE_TASKS = 3
CANCELLED_KEYS = 15_000
KEY_BYTES = 255
ACCOUNTS = 250
ACCOUNT_BYTES = 100_000
CONNECTIONS = 300
OPERATOR_CALLS = 2_000
# The longest deadline that the document allows.
LONGEST_DEADLINE_MS = 300_000
SLOW_TASK_MS = 5_000
# Longer than the test waits for anything.
ENDLESS_TASK_MS = 290_000

OPERATOR_PATHS = ["/v1/status", "/metrics", "/v1/records", "/v1/services", "/healthz"]


def job(tasks, **fields):
    return json.dumps({"tasks": tasks, "deadline_ms": LONGEST_DEADLINE_MS, **fields}).encode()


def slow_task(padding=0, sleep_ms=SLOW_TASK_MS):
    return {"body": {"sleep_ms": sleep_ms, "padding": "p" * padding}, "declared_ms": 1}


class CrowdsTest(HostileCase):
    next_port = 10000

    def start(self):
        return self.cluster(entries=2, agents=1, entry_settings={"memory_mb": MEMORY_MB})

    def post(self, key, body):
        return http_request("POST", "/v1/services/demo/jobs", body, {"Idempotency-Key": key})

    def submit_and_leave(self, port, key, body):
        """Submits a job and closes the connection without waiting for the answer. It may be refused."""
        try:
            connection = self.connect(port)
            connection.sendall(self.post(key, body))
            connection.close()
        except OSError:
            pass

    def submit_and_leave_from_crowd(self, cluster, jobs, body):
        def client(number):
            for i in range(jobs):
                self.submit_and_leave(cluster.caller_port(0), f"crowd-{number}-{i}", body)

        self.run_clients(client, CLIENTS)

    def submit_ordinary(self, cluster):
        """An ordinary caller of another client account. It submits again while it is refused or not let in."""
        give_up = time.monotonic() + ANSWER_SECONDS
        status, answer = 0, None
        while status != 200 and time.monotonic() < give_up:
            status, answer = cluster.submit(0, "ordinary", [clusters.task()], client_account="guides", timeout=ANSWER_SECONDS)
            if status != 200:
                time.sleep(0.2)
        self.assertEqual(status, 200, f"{answer}\n{cluster.log('entry-0')[-2000:]}")

    def assert_all_sound(self, cluster):
        self.submit_ordinary(cluster)
        for process in cluster.entries + cluster.agents:
            self.assert_within_bounds(cluster, process)

    # Guards against an entry that takes in more jobs than it can hold, or is closed to others for as long as they wait.
    def test_waiting_jobs(self):
        cluster = self.start()
        self.submit_and_leave_from_crowd(cluster, WAITING_JOBS, job([slow_task(WAITING_JOB_BYTES)]))
        self.assert_all_sound(cluster)

    def test_large_jobs(self):
        cluster = self.start()
        self.submit_and_leave_from_crowd(cluster, LARGE_JOBS, job([slow_task(LARGE_TASK_BYTES)] * LARGE_TASKS))
        self.assert_all_sound(cluster)

    # Guards against records of keys without end.
    def test_cancelled_keys(self):
        cluster = self.start()

        def client(number):
            connection = self.connect(cluster.caller_port(0))
            for i in range(CANCELLED_KEYS):
                key = f"{number}-{i}-".ljust(KEY_BYTES, "k")
                answer = send_and_wait(connection, http_request("DELETE", f"/v1/services/demo/jobs/{key}"))
                if answer.status == 0:
                    connection = self.connect(cluster.caller_port(0))

        self.run_clients(client, CLIENTS)
        self.assert_all_sound(cluster)

    # Guards against a state for every name of a client account.
    def test_client_accounts(self):
        cluster = self.start()
        document = {"service": "demo", "owner": "dispatch-team", "maximum_deadline_ms": LONGEST_DEADLINE_MS}
        status, answer = cluster.apply_document(json.dumps(document), base_version=1, change_id="any-account")
        self.assertEqual(status, 200, answer)

        def client(number):
            connection = self.connect(cluster.caller_port(0))
            for i in range(ACCOUNTS):
                account = f"{number}-{i}-".ljust(ACCOUNT_BYTES, "a")
                body = job([{"body": {"sleep_ms": 0}, "declared_ms": 1}], client_account=account)
                answer = send_and_wait(connection, self.post(f"account-{number}-{i}", body))
                self.assert_truthful(answer)
                if answer.status == 0:
                    connection = self.connect(cluster.caller_port(0))

        self.run_clients(client, CLIENTS)
        self.assert_all_sound(cluster)

    def occupy_connections(self, cluster, body):
        """Submits a job on each of many connections, which stay open."""
        for number in range(CONNECTIONS):
            try:
                self.connect(cluster.caller_port(0)).sendall(self.post(f"crowd-{number}", body))
            except OSError:
                continue

    # Guards against an entry that has no connection left for others while all wait for answers.
    def test_connections_in_work(self):
        cluster = self.start()
        self.occupy_connections(cluster, job([slow_task()]))
        self.assert_all_sound(cluster)

    def test_connections_in_work_for_long(self):
        cluster = self.start()
        self.occupy_connections(cluster, job([slow_task(sleep_ms=ENDLESS_TASK_MS)]))
        # The upstream is full for as long, so the ordinary caller's job can't be served; it gets an answer that says so.
        give_up = time.monotonic() + ANSWER_SECONDS
        answer = Answer()
        while answer.status == 0 and time.monotonic() < give_up:
            body = json.dumps({"tasks": [clusters.task()], "deadline_ms": 1_000, "client_account": "guides"}).encode()
            connection = self.connect(cluster.caller_port(0))
            answer = send_and_wait(connection, self.post("ordinary", body))
            connection.close()
            time.sleep(0.2)
        self.assertNotEqual(answer.status, 0, cluster.log("entry-0")[-2000:])
        self.assert_truthful(answer)
        for process in cluster.entries + cluster.agents:
            self.assert_within_bounds(cluster, process)

    def test_operators_port(self):
        cluster = self.start()

        def client(number):
            path = OPERATOR_PATHS[number % len(OPERATOR_PATHS)]
            connection = self.connect(cluster.entry_admin_port(0))
            try:
                connection.sendall(http_request("GET", path) * OPERATOR_CALLS)
                read_answer(connection)
            except OSError:
                pass

        self.run_clients(client, CLIENTS)
        self.assert_all_sound(cluster)

    # Several kinds together.
    def test_mixed(self):
        cluster = self.start()
        large = job([slow_task(LARGE_TASK_BYTES)] * LARGE_TASKS)
        waiting = job([slow_task(WAITING_JOB_BYTES)])
        empty_arrays = b'{"tasks":[{"body":[' + b",".join([b"[]"] * 1_200_000) + b"]}]}"

        def client(number):
            port = cluster.caller_port(number % 2)
            for i in range(WAITING_JOBS // 4):
                key = f"mixed-{number}-{i}"
                kind = number % 4
                if kind == 0:
                    self.submit_and_leave(port, key, waiting)
                elif kind == 1 and i < LARGE_JOBS:
                    self.submit_and_leave(port, key, large)
                elif kind == 2 and i < LARGE_JOBS:
                    self.submit_and_leave(port, key, empty_arrays)
                elif kind == 3:
                    send_and_wait(self.connect(port), http_request("DELETE", f"/v1/services/demo/jobs/{key}"))

        self.run_clients(client, CLIENTS)
        self.assert_all_sound(cluster)


if __name__ == "__main__":
    unittest.main()
