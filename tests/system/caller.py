"""A caller that keeps its connection open, for the tests that run real processes."""

import json
import socket

# Also lets this module import cluster.py.
import cluster_case  # noqa: F401
import cluster as clusters


class Caller:
    """A caller's connection that carries one request at a time."""

    def __init__(self, port):
        self.socket = socket.create_connection((clusters.LOOPBACK, port), timeout=20)
        self.received = b""

    def send(self, job_id, spec="100"):
        job = {"spec": spec, "best_effort": True, "steps": [{"count": 2, "cpu": 1000, "estimate_ms": 100}]}
        body = json.dumps(job)
        self.socket.sendall(
            f"POST /jobs/{job_id} HTTP/1.1\r\nHost: {clusters.LOOPBACK}\r\nX-Deadline-Ms: 5000\r\n"
            f"Content-Length: {len(body)}\r\n\r\n{body}".encode()
        )

    def receive(self):
        """The status of a complete answer, or None if the connection closed before one arrived."""
        try:
            while True:
                head, separator, rest = self.received.partition(b"\r\n\r\n")
                if separator:
                    fields = dict(line.lower().split(": ", 1) for line in head.decode().split("\r\n")[1:])
                    length = int(fields["content-length"])
                    if len(rest) >= length:
                        self.received = rest[length:]
                        return int(head.split()[1])
                part = self.socket.recv(65536)
                if not part:
                    return None
                self.received += part
        except ConnectionError:
            return None
