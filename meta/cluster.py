"""Starts and stops a small cluster on loopback, for the demo, the system tests and the measurements."""

import json
import os
import pathlib
import signal
import subprocess
import tempfile
import time
import urllib.error
import urllib.request

ROOT = pathlib.Path(__file__).resolve().parent.parent
BUILD = pathlib.Path(os.environ.get("DANDELIONSPUR_BUILD", ROOT / "build"))
LOOPBACK = "127.0.0.1"
UPSTREAM_RESTART_SECONDS = 3.3
READY_TIMEOUT_SECONDS = 30


def call(method, port, path, body=None, headers=None, timeout=60):
    """Sends one HTTP request on loopback; returns (status, body), with status 0 if the request was not answered."""
    data = body.encode() if isinstance(body, str) else body
    request = urllib.request.Request(f"http://{LOOPBACK}:{port}{path}", data=data, method=method, headers=headers or {})
    try:
        with urllib.request.urlopen(request, timeout=timeout) as response:
            return response.status, response.read()
    except urllib.error.HTTPError as error:
        return error.code, error.read()
    except OSError:
        return 0, b""


def call_json(method, port, path, body=None, headers=None, timeout=60):
    status, content = call(method, port, path, body, headers, timeout)
    try:
        return status, json.loads(content)
    except ValueError:
        return status, None


class Process:
    """One process of the cluster."""

    def __init__(self, name, arguments, log_directory, unread_output=False):
        self.name = name
        self.log_path = pathlib.Path(log_directory) / f"{name}.log"
        self.log = open(self.log_path, "ab")
        # An unread pipe blocks its writer once 64 KiB are in it.
        output = subprocess.PIPE if unread_output else self.log
        self.popen = subprocess.Popen(arguments, stdout=output, stderr=self.log)

    def signal(self, number):
        self.popen.send_signal(number)

    def kill(self):
        self.popen.kill()
        self.popen.wait()

    def wait(self, timeout):
        return self.popen.wait(timeout)

    def resident_bytes(self):
        with open(f"/proc/{self.popen.pid}/status") as status:
            for line in status:
                if line.startswith("VmRSS:"):
                    return int(line.split()[1]) * 1024
        return 0

    def cpu_seconds(self):
        with open(f"/proc/{self.popen.pid}/stat") as stat:
            fields = stat.read().rsplit(")", 1)[1].split()
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


class Cluster:
    """A table stand-in, entries, and agents with their upstream stand-ins."""

    def __init__(self, base_port, entries=2, agents=4, slots=8, slowness=None, entry_settings=None, agent_settings=None, platform=False,
                 unread_output=False):
        self.base_port = base_port
        self.entry_count = entries
        self.agent_count = agents
        self.slots = slots
        # Whether upstreams and callers use the platform's protocol instead of dandelionspur's own.
        self.platform = platform
        self.slowness = slowness or [1.0] * agents
        self.entry_settings = entry_settings or {}
        self.agent_settings = agent_settings or {}
        self.unread_output = unread_output
        self.directory = tempfile.TemporaryDirectory(prefix="dandelionspur-")
        self.table = None
        self.entries = [None] * entries
        self.agents = [None] * agents
        self.upstreams = [None] * agents
        # Every process ever started; __exit__ kills those that still run.
        self.all_processes = []

    def table_port(self):
        return self.base_port

    def caller_port(self, entry):
        return self.base_port + 10 + 3 * entry

    def peer_port(self, entry):
        return self.base_port + 11 + 3 * entry

    def entry_admin_port(self, entry):
        return self.base_port + 12 + 3 * entry

    def agent_admin_port(self, agent):
        return self.base_port + 100 + 2 * agent

    def upstream_port(self, agent):
        return self.base_port + 101 + 2 * agent

    def announcement_port(self, agent):
        return self.base_port + 200 + agent

    def unused_port(self):
        return self.base_port + 299

    def _start(self, name, arguments):
        process = Process(name, [str(argument) for argument in arguments], self.directory.name, self.unread_output)
        self.all_processes.append(process)
        return process

    def write_settings(self, name, values):
        path = pathlib.Path(self.directory.name) / f"{name}.json"
        path.write_text(json.dumps(values))
        return path

    def read_settings(self, name):
        return json.loads((pathlib.Path(self.directory.name) / f"{name}.json").read_text())

    def log(self, name):
        """The log output so far of the process with this name."""
        return (pathlib.Path(self.directory.name) / f"{name}.log").read_text(errors="replace")

    def start_table(self):
        self.table = self._start("table", [BUILD / "utilities/table-stand-in", "--port", self.table_port()])

    def entry_table_port(self):
        """The port at which entries call the table."""
        return self.table_port()

    def peer_address(self):
        """The address at which entries listen for links."""
        return LOOPBACK

    def start_entry(self, entry):
        endpoint = lambda port: {"address": LOOPBACK, "port": port}
        settings = {
            "data_centre": "loopback-1",
            "callers": endpoint(self.caller_port(entry)),
            "peers": {"address": self.peer_address(), "port": self.peer_port(entry)},
            "admin": endpoint(self.entry_admin_port(entry)),
            "table": endpoint(self.entry_table_port()),
            **self.entry_settings,
        }
        if self.platform:
            settings.setdefault("upstream_protocol", "platform")
            settings["lease_ms"] = 1000
        path = self.write_settings(f"entry-{entry}", settings)
        self.entries[entry] = self._start(f"entry-{entry}", [BUILD / "services/dandelionspur-entry", "--settings", path])

    def start_agent(self, agent):
        settings = {
            "data_centre": "loopback-1",
            "admin": {"address": LOOPBACK, "port": self.agent_admin_port(agent)},
            "table": {"address": LOOPBACK, "port": self.table_port()},
            **self.agent_settings,
        }
        if self.platform:
            settings["upstream_protocol"] = "platform"
            settings["announcements"] = f"{LOOPBACK}:{self.announcement_port(agent)}"
            settings["lease_ms"] = 1000
            settings["input_output_threads"] = 0
        path = self.write_settings(f"agent-{agent}", settings)
        self.agents[agent] = self._start(f"agent-{agent}", [BUILD / "services/dandelionspur-agent", "--settings", path])

    def start_upstream(self, agent):
        self.upstreams[agent] = self._start(
            f"upstream-{agent}",
            [
                BUILD / "utilities/upstream-stand-in",
                "--port", self.upstream_port(agent),
                "--agent-port", self.announcement_port(agent) if self.platform else self.agent_admin_port(agent),
                "--slots", self.slots,
                "--slowness", self.slowness[agent],
                "--rack", f"rack-{agent // 3}",
            ]
            + (["--platform"] if self.platform else []),
        )

    def restart_crashed_upstreams(self, answer):
        """Starts upstreams that have exited again, some time after their exit, until the future `answer` is done.
        Returns how many have exited."""
        exits = 0
        due = {}
        while not answer.done():
            for agent, upstream in enumerate(self.upstreams):
                if agent not in due and upstream.popen.poll() is not None:
                    due[agent] = time.monotonic() + UPSTREAM_RESTART_SECONDS
                    exits += 1
            for agent in [agent for agent, at in due.items() if time.monotonic() >= at]:
                del due[agent]
                self.start_upstream(agent)
            time.sleep(0.02)
        return exits

    def __enter__(self):
        try:
            self.start_table()
            self.wait_for(lambda: call("GET", self.table_port(), "/statistics")[0] == 200, "table")
            for entry in range(self.entry_count):
                self.start_entry(entry)
                self.wait_for(
                    lambda: len((self.status(entry) or {}).get("members", [])) >= entry + 1, f"entry {entry} in the view"
                )
            for agent in range(self.agent_count):
                self.start_agent(agent)
                self.start_upstream(agent)
            if self.platform:
                self.write_configuration(1)
            else:
                self.apply_document((ROOT / "examples/service.json").read_text())
            self.wait_ready()
        except BaseException:
            self.__exit__(None, None, None)
            raise
        return self

    def __exit__(self, *unused):
        for process in self.all_processes:
            if process.popen.poll() is None:
                process.popen.send_signal(signal.SIGCONT)
                process.popen.kill()
        for process in self.all_processes:
            process.popen.wait()
            process.log.close()
        self.directory.cleanup()

    def wait_for(self, condition, what, timeout=READY_TIMEOUT_SECONDS):
        deadline = time.monotonic() + timeout
        while time.monotonic() < deadline:
            if condition():
                return
            time.sleep(0.02)
        raise TimeoutError(f"waited {timeout} s for {what}\n{self.logs()}")

    def logs(self):
        return "\n".join(
            f"== {process.name}\n{process.log_path.read_text(errors='replace')[-1500:]}" for process in self.all_processes
        )

    def status(self, entry):
        return call_json("GET", self.entry_admin_port(entry), "/v1/status", timeout=2)[1]

    def started_tasks(self):
        """The number of tasks that the agents have started and not forgotten, by their own account."""
        return sum(call_json("GET", self.agent_admin_port(agent), "/status")[1]["remembered"] for agent in range(self.agent_count))

    def live_entries(self):
        return [e for e in range(self.entry_count) if self.entries[e] and self.entries[e].popen.poll() is None]

    def is_ready(self):
        """Whether every live entry is ready and reports all live agents as ready, and every bucket has a home."""
        statuses = [self.status(entry) for entry in self.live_entries()]
        if not statuses or any(status is None or not status["ready"] for status in statuses):
            return False
        ready_agents = lambda status: sum(agent["ready"] and agent["connected"] for agent in status["agents"])
        live_agents = sum(1 for agent in self.agents if agent and agent.popen.poll() is None)
        if any(ready_agents(status) < live_agents for status in statuses):
            return False
        return sum(status["buckets_active"] for status in statuses) == statuses[0]["buckets"]

    def wait_ready(self):
        self.wait_for(self.is_ready, "the cluster to be ready")

    def apply_document(self, text, service="demo", entry=0, base_version=0, change_id="initial"):
        port = self.entry_admin_port(entry)
        path = f"/v1/services/{service}/document?change_id={change_id}&base_version={base_version}"
        return call_json("PUT", port, path, text)

    def write_configuration(self, version, path_prefix="/jobs/"):
        """Writes the platform's configuration through the table's /operator path."""
        route = {
            "name": "r", "host": LOOPBACK, "path_prefix": path_prefix, "timeout_ms": 1500, "service": "demo",
            "max_attempts": 3, "stretch": 1.6, "target_latency_ms": 60, "priority": 0,
        }
        configuration = {"version": version, "routes": [route], "services": [{"name": "demo"}], "limits": {}}
        row = json.dumps({"key": "config", "value": json.dumps(configuration)})
        assert call("PUT", self.table_port(), "/operator", row)[0] == 200

    def submit_to_queue(self, entry, job_id, spec, count=2, deadline_ms=20000, path_prefix="/jobs/"):
        """Submits a job in the platform's protocol; returns (status, answer)."""
        job = {"spec": spec, "best_effort": True, "steps": [{"count": count, "cpu": 1000, "estimate_ms": 100}]}
        return call_json(
            "POST", self.caller_port(entry), f"{path_prefix}{job_id}", json.dumps(job), {"X-Deadline-Ms": str(deadline_ms)}
        )

    def runs(self):
        """All runs of tasks as recorded by the workers, independently of entries and agents."""
        collected = []
        for agent in range(self.agent_count):
            if self.upstreams[agent] is None or self.upstreams[agent].popen.poll() is not None:
                continue
            _, answer = call_json("GET", self.upstream_port(agent), "/v1/runs")
            collected += (answer or {}).get("runs", [])
        return collected

    def overlapping_runs(self):
        """Pairs of runs of the same task that overlap in time."""
        by_task = {}
        for run in self.runs():
            by_task.setdefault(run["task"], []).append(run)
        pairs = []
        for runs in by_task.values():
            runs.sort(key=lambda run: run["from_us"])
            pairs += [(a, b) for a, b in zip(runs, runs[1:]) if b["from_us"] < a["to_us"]]
        return pairs

    def submit(self, entry, key, tasks, deadline_ms=30000, timeout=60, service="demo", client_account=None):
        """Submits a job; returns (status, answer)."""
        job = {"tasks": tasks, "deadline_ms": deadline_ms}
        if client_account:
            job["client_account"] = client_account
        return call_json(
            "POST", self.caller_port(entry), f"/v1/services/{service}/jobs", json.dumps(job), {"Idempotency-Key": key}, timeout
        )

    def set_faults(self, **faults):
        assert call("PUT", self.table_port(), "/faults", json.dumps(faults))[0] == 200

    def set_upstream_faults(self, agent, **faults):
        assert call("PUT", self.upstream_port(agent), "/faults", json.dumps(faults))[0] == 200

    def starts(self):
        """Number of starts of each task as recorded by the upstreams, independently of entries and agents."""
        counts = {}
        for agent in range(self.agent_count):
            if self.upstreams[agent] is None or self.upstreams[agent].popen.poll() is not None:
                continue
            _, answer = call_json("GET", self.upstream_port(agent), "/v1/starts")
            for start in (answer or {}).get("starts", []):
                counts[start["task"]] = counts.get(start["task"], 0) + 1
        return counts

    def double_starts(self):
        return sum(count - 1 for count in self.starts().values())


def task(sleep_ms=50, token="", outcome="ok", declared_ms=None):
    return {"body": {"sleep_ms": sleep_ms, "token": token, "outcome": outcome}, "declared_ms": declared_ms or sleep_ms}
