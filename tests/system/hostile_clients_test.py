"""Clients that send without end, or never finish: a process stays within its memory and descriptors and still answers."""

import os
import pathlib
import socket
import threading
import unittest

# Also lets this module import cluster.py.
from cluster_case import ClusterCase
import cluster as clusters

# The limits of each process under test, and the bounds on what it may use of them. They are fixed: what the clients
# send exceeds the memory.
MEMORY_MB = 64
MEMORY_BOUND_BYTES = MEMORY_MB * 1_000_000
DESCRIPTORS = 256
DESCRIPTOR_BOUND = 240

# The crowd.
CLIENTS = 8
SENT_BYTES = 16_000_000
QUIET_CLIENTS = 300

BLOCK_BYTES = 65_536
# A client gives up sending when nothing is taken for so long, which ends the test if a process reads no more.
GIVE_UP_SECONDS = 3

POST = b"POST /v1/services/demo/requests HTTP/1.1\r\nHost: a\r\nIdempotency-Key: k\r\n"
CHUNKED = POST + b"Transfer-Encoding: chunked\r\n\r\n"
LINE = b"x-field: " + b"v" * 989 + b"\r\n"


class Flood:
    """What a client sends first, and what it then repeats; a number of bytes after which it only waits."""

    def __init__(self, head, repeated, sent_bytes=SENT_BYTES):
        self.head = head
        self.block = repeated * (BLOCK_BYTES // len(repeated) or 1)
        self.sent_bytes = sent_bytes


FLOODS = {
    "trailers": Flood(CHUNKED + b"4\r\nbody\r\n0\r\n", LINE),
    "header_lines": Flood(POST, LINE),
    "chunk_extension": Flood(CHUNKED + b"4;e=", b"v"),
    "endless_line": Flood(b"GET /", b"v"),
    "one_byte_chunks": Flood(CHUNKED, b"1\r\nb\r\n"),
    "pipelined_without_reading": Flood(b"", b"GET /nowhere HTTP/1.1\r\nHost: a\r\n\r\n"),
    "behind_the_last_request": Flood(POST + b"Connection: close\r\nContent-Length: 0\r\n\r\n", LINE),
    "body_that_stops": Flood(POST + b"Content-Length: 16000000\r\n\r\n", b"b", 15_000_000),
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


def send(connection, flood):
    """Sends until the process has closed the connection or takes no more. The connection remains open."""
    sent = 0
    try:
        connection.sendall(flood.head)
        while sent < flood.sent_bytes:
            connection.sendall(flood.block)
            sent += len(flood.block)
    except OSError:
        pass


class HostileClientsTest(ClusterCase):
    next_port = 14000
    cluster_class = LimitedCluster

    def start(self):
        return self.cluster(entries=2, agents=1, entry_settings={"memory_mb": MEMORY_MB})

    def connect(self, port):
        connection = socket.create_connection((clusters.LOOPBACK, port), timeout=GIVE_UP_SECONDS)
        self.addCleanup(connection.close)
        return connection

    def flood(self, port, flood):
        senders = [threading.Thread(target=send, args=(self.connect(port), flood)) for _ in range(CLIENTS)]
        for sender in senders:
            sender.start()
        for sender in senders:
            sender.join()

    def assert_sound(self, cluster, process, name):
        """The process lives and is within its bounds, and an ordinary caller is served beside the crowd."""
        self.assertIsNone(process.popen.poll(), cluster.log(name)[-2000:])
        memory, descriptors = memory_peak_bytes(process), open_descriptors(process)
        print(f"{self.id()}: memory peak {memory} bytes, {descriptors} descriptors")
        self.assertLess(memory, MEMORY_BOUND_BYTES)
        self.assertLess(descriptors, DESCRIPTOR_BOUND)
        status, answer = cluster.submit(0, "ordinary", [clusters.task()])
        self.assertEqual(status, 200, f"{answer}\n{cluster.log('entry-0')[-2000:]}")

    def check_entry(self, flood):
        cluster = self.start()
        self.flood(cluster.caller_port(0), flood)
        self.assert_sound(cluster, cluster.entries[0], "entry-0")

    def check_agent(self, flood):
        cluster = self.start()
        self.flood(cluster.agent_admin_port(0), flood)
        self.assert_sound(cluster, cluster.agents[0], "agent-0")

    # Guards against a process that runs out of memory because of what it reads ahead of a request.
    def test_entry_trailers(self):
        self.check_entry(FLOODS["trailers"])

    def test_entry_header_lines(self):
        self.check_entry(FLOODS["header_lines"])

    def test_entry_chunk_extension(self):
        self.check_entry(FLOODS["chunk_extension"])

    def test_entry_endless_line(self):
        self.check_entry(FLOODS["endless_line"])

    def test_entry_one_byte_chunks(self):
        self.check_entry(FLOODS["one_byte_chunks"])

    def test_entry_pipelined_without_reading(self):
        self.check_entry(FLOODS["pipelined_without_reading"])

    def test_entry_behind_the_last_request(self):
        self.check_entry(FLOODS["behind_the_last_request"])

    def test_entry_body_that_stops(self):
        self.check_entry(FLOODS["body_that_stops"])

    def test_agent_trailers(self):
        self.check_agent(FLOODS["trailers"])

    def test_agent_chunk_extension(self):
        self.check_agent(FLOODS["chunk_extension"])

    def test_agent_body_that_stops(self):
        self.check_agent(FLOODS["body_that_stops"])

    # Guards against a process without descriptors: it accepts nobody, and can't open its own connections anew.
    def check_quiet_clients(self, head):
        cluster = self.start()
        for _ in range(QUIET_CLIENTS):
            try:
                self.connect(cluster.caller_port(0)).sendall(head)
            except OSError:
                continue
        self.assert_sound(cluster, cluster.entries[0], "entry-0")

    def test_entry_idle_connections(self):
        self.check_quiet_clients(b"")

    def test_entry_unfinished_headers(self):
        self.check_quiet_clients(POST)


if __name__ == "__main__":
    unittest.main()
