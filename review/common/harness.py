"""Starts a small deployment on loopback for the review's scripts.

The entries and agents are the project's own programs, started with the
commands of deploy/system.toml. The platform's store, the workers and the
clients are stand-ins in this folder, which follow PROTOCOL.md.
"""

import http.client
import json
import os
import pathlib
import re
import signal
import socket
import subprocess
import tempfile
import threading
import time

from store import Store
from worker import Worker

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
LOOPBACK = "127.0.0.1"
HOST = "queue.example"
PREFIX = "/jobs/"
SERVICE = "reviewed"
READY_TIMEOUT_S = 25

# The bounds of the site vlc-trek.
BOUNDS = {
    "contact_ms": 3000, "cancel_ms": 3000, "stop_timeout_ms": 50, "drain_ms": 2000,
    "grace_s": 6, "max_hold_ms": 1000, "ack_ms": 4000, "config_apply_ms": 2000,
}


class CannotRun(Exception):
    """The case could not be set up, which says nothing about the rule."""


class Record:
    """Writes what was sent, answered and run to record.txt, with seconds since the start."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.began = time.monotonic()
        self.lock = threading.Lock()

    def now(self):
        return time.monotonic() - self.began

    def line(self, text):
        with self.lock:
            self.file.write(f"{self.now():9.3f}  {text}\n")
            self.file.flush()

    def close(self):
        with self.lock:
            self.file.close()


_taken_ports = set()


def free_port():
    # Below the range from which the system takes the ports of connections.
    # A process takes ports of its own part, so that cases can run side by side.
    first = 20000 + os.getpid() % 200 * 60
    for port in range(first, 32700):
        if port in _taken_ports:
            continue
        with socket.socket() as probe:
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                probe.bind((LOOPBACK, port))
            except OSError:
                continue
        _taken_ports.add(port)
        return port
    raise CannotRun("no free port")


def deploy_command(role):
    """The first word of `run` of a role in deploy/system.toml."""
    text = (ROOT / "deploy/system.toml").read_text(encoding="utf-8")
    section = text.split(f"[roles.{role}]", 1)[1].split("\n[", 1)[0]
    return re.search(r'^run = "(.*)"$', section, re.MULTILINE).group(1).split()


class Daemon:
    """An entry or an agent. Keeps its addresses over restarts."""

    def __init__(self, deployment, role, name, settings):
        self.deployment = deployment
        self.role = role
        self.name = name
        self.settings = settings
        self.path = pathlib.Path(deployment.folder) / f"{name}.json"
        self.path.write_text(json.dumps(settings), encoding="utf-8")
        self.log = open(pathlib.Path(deployment.folder) / f"{name}.log", "ab")
        self.process = None

    def start(self):
        environment = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        environment["DANDELIONSPUR_CONFIG"] = str(self.path)
        self.process = subprocess.Popen(
            deploy_command(self.role), cwd=ROOT, env=environment, stdout=self.log, stderr=self.log)
        self.deployment.record.line(f"started {self.name}, process {self.process.pid}")

    def signal(self, number):
        self.deployment.record.line(f"{signal.Signals(number).name} to {self.name}")
        self.process.send_signal(number)

    def kill(self):
        self.signal(signal.SIGKILL)
        self.process.wait()

    def is_running(self):
        return self.process is not None and self.process.poll() is None


class Deployment:
    """A store, entries, and workers with an agent each. Spare entries have settings but don't run at first."""

    def __init__(self, record, entries=3, workers=3, spare_entries=0, worker_options=None):
        self.record = record
        self.temporary = tempfile.TemporaryDirectory(prefix="review-")
        self.folder = self.temporary.name
        self.store = Store(free_port(), record)
        store_address = f"{LOOPBACK}:{self.store.port}"
        self.entries = [
            Daemon(self, "entry", f"entry-{i}", {
                "data_centre": f"zone-{i}",
                "callers": f"{LOOPBACK}:{free_port()}",
                "readiness": f"{LOOPBACK}:{free_port()}",
                "peers": {"address": LOOPBACK, "port": free_port()},
                "admin": {"address": LOOPBACK, "port": free_port()},
                "table": store_address,
                "lease_ms": BOUNDS["max_hold_ms"],
                "drain_accepts_ms": BOUNDS["drain_ms"],
                "stop_within_s": BOUNDS["grace_s"],
                "cores": 0.25,
                "input_output_threads": 0,
                "memory_mb": 260,
                "link_mbps": 1000.0,
                "recording": {"spool_bytes": 8388608, "write_interval_ms": 10000},
            }) for i in range(entries + spare_entries)]
        self.first_entries = entries
        self.agents = [
            Daemon(self, "agent", f"agent-{i}", {
                "data_centre": f"zone-{i % entries}",
                "admin": {"address": LOOPBACK, "port": free_port()},
                "table": store_address,
                "upstream_protocol": "platform",
                "announcements": f"{LOOPBACK}:{free_port()}",
                "lease_ms": BOUNDS["max_hold_ms"],
                "input_output_threads": 0,
                "link_mbps": 1000.0,
                "recording": {"spool_bytes": 8388608, "write_interval_ms": 10000},
            }) for i in range(workers)]
        self.workers = [
            Worker(i, free_port(), int(agent.settings["announcements"].split(":")[1]), SERVICE, record,
                   **(worker_options or {}))
            for i, agent in enumerate(self.agents)]
        self.version = 0

    def __enter__(self):
        try:
            self.store.start()
            self.write_configuration([PREFIX])
            for daemon in self.entries[:self.first_entries] + self.agents:
                daemon.start()
            for worker in self.workers:
                worker.start()
            self.wait_ready()
        except BaseException:
            self.__exit__(None, None, None)
            raise
        return self

    def __exit__(self, *unused):
        for daemon in self.entries + self.agents:
            if daemon.is_running():
                daemon.process.kill()
                daemon.process.wait()
            daemon.log.close()
        for worker in self.workers:
            worker.stop()
        self.store.stop()
        keep = os.environ.get("REVIEW_KEEP_LOGS")
        if keep:
            subprocess.run(["cp", "-r", self.folder, keep], check=False)
        self.temporary.cleanup()

    def write_configuration(self, prefixes):
        self.version += 3
        routes = [{
            "name": f"r{i}", "host": HOST, "path_prefix": prefix, "timeout_ms": 30000, "service": SERVICE,
            "max_attempts": 3, "stretch": 1.6, "target_latency_ms": 60, "priority": 0,
        } for i, prefix in enumerate(prefixes)]
        services = [{"name": SERVICE, "admission_check": False}]
        self.store.operator_write("op", "config", json.dumps(
            {"version": self.version, "routes": routes, "services": services, "limits": {}}))
        self.record.line(f"operator: version {self.version} with {prefixes} acknowledged")

    def caller_address(self, entry):
        return self.entries[entry].settings["callers"]

    def is_entry_ready(self, entry):
        status, _ = http_call(self.entries[entry].settings["readiness"], "GET", "/-/ready", timeout=1)
        return status == 200

    def status(self, entry):
        """The operators' status page. Used to set a case up, not to judge it."""
        admin = self.entries[entry].settings["admin"]
        status, body = http_call(f"{admin['address']}:{admin['port']}", "GET", "/v1/status", timeout=1)
        return json.loads(body) if status == 200 else None

    def wait_for(self, condition, what, timeout=READY_TIMEOUT_S):
        end = time.monotonic() + timeout
        while time.monotonic() < end:
            if condition():
                return
            time.sleep(0.05)
        raise CannotRun(f"waited {timeout} s for {what}")

    def wait_ready(self):
        def ready():
            statuses = [self.status(i) for i in range(self.first_entries)]
            if any(status is None or not status["ready"] for status in statuses):
                return False
            agents = lambda status: sum(a["ready"] and a["connected"] for a in status["agents"])
            return (all(agents(status) == len(self.agents) for status in statuses) and
                    all(len(status["members"]) == self.first_entries for status in statuses) and
                    sum(status["buckets_active"] for status in statuses) == statuses[0]["buckets"])
        self.wait_for(ready, "the deployment to be ready")
        self.record.line("all entries are ready")

    def submit(self, entry, job_id, spec, count=1, deadline_ms=30000, prefix=PREFIX, cpu=1000, timeout=None):
        """Sends a job; returns (status, body). Status 0: no answer."""
        job = {"spec": spec, "best_effort": True,
               "steps": [{"count": count, "cpu": cpu, "mem_mb": 64, "estimate_ms": 200}]}
        self.record.line(f"client: POST {job_id} to entry-{entry}, {count} tasks, spec {spec}")
        status, body = http_call(
            self.caller_address(entry), "POST", prefix + job_id, json.dumps(job),
            {"Host": HOST, "X-Deadline-Ms": str(deadline_ms), "Content-Type": "application/json"},
            timeout=timeout or deadline_ms / 1000 + 1)
        self.record.line(f"client: POST {job_id} at entry-{entry} answered {status} {body[:120]}")
        return status, body

    def submit_later(self, *arguments, **options):
        """Sends a job on a thread; returns a list that will hold the answer."""
        answers = []
        threading.Thread(
            target=lambda: answers.append(self.submit(*arguments, **options)), daemon=True).start()
        return answers

    def cancel(self, entry, job_id, prefix=PREFIX, timeout=5):
        """Sends a DELETE; returns (status, record time of the answer)."""
        self.record.line(f"client: DELETE {job_id} to entry-{entry}")
        status, body = http_call(
            self.caller_address(entry), "DELETE", prefix + job_id, None, {"Host": HOST}, timeout=timeout)
        at = self.record.now()
        self.record.line(f"client: DELETE {job_id} at entry-{entry} answered {status} {body[:120]}")
        return status, at

    def starts(self, job_id):
        """All starts of the tasks of a job at the workers."""
        return [run for worker in self.workers for run in worker.history() if run.task.startswith(job_id)]

    def running(self, job_id):
        return [run for run in self.starts(job_id) if run.ended is None]


def http_call(address, method, path, body=None, headers=None, timeout=5):
    """One HTTP request on a connection of its own; returns (status, body), status 0 without an answer."""
    host, port = address.split(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=timeout)
    try:
        connection.request(method, path, body, headers or {})
        response = connection.getresponse()
        return response.status, response.read().decode("utf-8", "replace")
    except (OSError, http.client.HTTPException) as problem:
        return 0, type(problem).__name__
    finally:
        connection.close()


def main(folder, case):
    """Runs a case: `case(record, trouble)` returns a list of the ways in which the rule was broken."""
    record = Record(pathlib.Path(folder) / "record.txt")
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record.line(f"trouble: {trouble}")
    try:
        broken = case(record, trouble)
    except CannotRun as problem:
        record.line(f"could not run: {problem}")
        print(f"could not run: {problem}")
        return 2
    except Exception as problem:  # A fault of the script says nothing about the rule.
        record.line(f"could not run: {problem!r}")
        print(f"could not run: {problem!r}")
        return 2
    for item in broken:
        record.line(f"BROKEN: {item}")
        print(f"BROKEN: {item}")
    if not broken:
        record.line("the rule held")
        print("the rule held")
    record.close()
    return 1 if broken else 0
