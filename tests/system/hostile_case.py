"""Base class of the tests with clients that don't behave: what a process may use, and what must hold afterwards."""

import json
import os
import pathlib
import socket
import threading

# Also lets this module import cluster.py.
from cluster_case import ClusterCase
import cluster as clusters

# The limits of each process under test, and the bounds on what it may use of them. They are fixed: what the clients
# send exceeds the memory.
MEMORY_MB = 64
MEMORY_BOUND_BYTES = MEMORY_MB * 1_000_000
DESCRIPTORS = 256
DESCRIPTOR_BOUND = 240

# A client gives up sending when nothing is taken for so long, which ends the test if a process reads no more.
GIVE_UP_SECONDS = 3
# The same for a client that waits for its answer.
ANSWER_SECONDS = 60
# The answers that a call to the product's own interface may get, with the verdicts that go with each: docs/api.md.
VERDICTS = {
    200: {"ran"},
    400: {"not_run"},
    408: {"not_run"},
    413: {"not_run"},
    429: {"not_run"},
    502: {"ran", "may_have_run"},
    503: {"not_run", "may_have_run", "ran"},
    504: {"not_run", "may_have_run"},
}


class LimitedCluster(clusters.Cluster):
    """Starts each process with a low limit on its open descriptors."""

    def _start(self, name, arguments):
        limited = ["/bin/sh", "-c", f'ulimit -n {DESCRIPTORS} && exec "$0" "$@"']
        return super()._start(name, limited + list(arguments))


def memory_peak_bytes(process):
    for line in pathlib.Path(f"/proc/{process.popen.pid}/status").read_text().splitlines():
        if line.startswith("VmHWM:"):
            return int(line.split()[1]) * 1024
    return 0


def open_descriptors(process):
    return len(os.listdir(f"/proc/{process.popen.pid}/fd"))


def http_request(method, path, body=b"", headers=None):
    """The bytes of one request."""
    fields = {"Host": clusters.LOOPBACK, "Content-Length": str(len(body)), **(headers or {})}
    head = f"{method} {path} HTTP/1.1\r\n" + "".join(f"{name}: {value}\r\n" for name, value in fields.items())
    return head.encode() + b"\r\n" + body


class Answer:
    """What a client got for its request: a status of 0 and no body if the connection ended before."""

    def __init__(self, status=0, body=b""):
        self.status = status
        self.body = body

    def verdict(self):
        return json.loads(self.body).get("verdict")


def read_answer(connection):
    connection.settimeout(ANSWER_SECONDS)
    received = b""
    try:
        while b"\r\n\r\n" not in received:
            part = connection.recv(65_536)
            if not part:
                return Answer()
            received += part
        head, body = received.split(b"\r\n\r\n", 1)
        length = next(int(line.split(b":")[1]) for line in head.lower().split(b"\r\n") if line.startswith(b"content-length:"))
        while len(body) < length:
            part = connection.recv(65_536)
            if not part:
                return Answer()
            body += part
    except OSError:
        return Answer()
    return Answer(int(head.split()[1]), body)


def send_and_wait(connection, request):
    try:
        connection.sendall(request)
    except OSError:
        # A refusal may arrive before the request is sent.
        pass
    return read_answer(connection)


class HostileCase(ClusterCase):
    """A cluster whose processes have low limits, and the checks on them."""

    cluster_class = LimitedCluster

    def connect(self, port):
        """A connection that remains open until the processes are gone."""
        connection = socket.create_connection((clusters.LOOPBACK, port), timeout=GIVE_UP_SECONDS)
        self.addCleanup(connection.close)
        return connection

    def run_clients(self, client, count):
        """Runs `client(number)` on threads of their own; returns what they return."""
        results = [None] * count

        def run(number):
            results[number] = client(number)

        threads = [threading.Thread(target=run, args=(number,)) for number in range(count)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        return results

    def assert_within_bounds(self, cluster, process):
        self.assertIsNone(process.popen.poll(), cluster.log(process.name)[-2000:])
        memory, descriptors = memory_peak_bytes(process), open_descriptors(process)
        print(f"{self.id()}: {process.name}: memory peak {memory} bytes, {descriptors} descriptors")
        self.assertLess(memory, MEMORY_BOUND_BYTES)
        self.assertLess(descriptors, DESCRIPTOR_BOUND)

    def submit_ordinary(self, cluster):
        """An ordinary caller's request, which has to be served."""
        status, answer = cluster.submit(0, "ordinary", [clusters.task()], timeout=ANSWER_SECONDS)
        self.assertEqual(status, 200, f"{answer}\n{cluster.log('entry-0')[-2000:]}")

    def assert_sound(self, cluster, process):
        """The process lives and is within its bounds, and an ordinary caller is served beside the crowd."""
        self.assert_within_bounds(cluster, process)
        self.submit_ordinary(cluster)
        self.assert_within_bounds(cluster, process)

    def assert_truthful(self, answer):
        """A client gets no answer, since its connection was closed, or one that the pages describe."""
        if answer.status == 0:
            return
        self.assertIn(answer.status, VERDICTS, answer.body[:300])
        self.assertIn(answer.verdict(), VERDICTS[answer.status], answer.body[:300])
