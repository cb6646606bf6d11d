"""Clients that send without end, or never finish: a process stays within its memory and descriptors and still answers."""

import unittest

from hostile_case import HostileCase, MEMORY_MB

# The crowd.
CLIENTS = 8
SENT_BYTES = 16_000_000
QUIET_CLIENTS = 300

BLOCK_BYTES = 65_536

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


class HostileClientsTest(HostileCase):
    next_port = 14000

    def start(self):
        return self.cluster(entries=2, agents=1, entry_settings={"memory_mb": MEMORY_MB})

    def flood(self, port, flood):
        self.run_clients(lambda number: send(self.connect(port), flood), CLIENTS)

    def check_entry(self, flood):
        cluster = self.start()
        self.flood(cluster.caller_port(0), flood)
        self.assert_sound(cluster, cluster.entries[0])

    def check_agent(self, flood):
        cluster = self.start()
        self.flood(cluster.agent_admin_port(0), flood)
        self.assert_sound(cluster, cluster.agents[0])

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
        self.assert_sound(cluster, cluster.entries[0])

    def test_entry_idle_connections(self):
        self.check_quiet_clients(b"")

    def test_entry_unfinished_headers(self):
        self.check_quiet_clients(POST)


if __name__ == "__main__":
    unittest.main()
