"""A small deployment on loopback addresses: the project's daemons, started as the deploy file says, among stand-ins."""

import asyncio
import atexit
import json
import os
import pathlib
import random
import re
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib

from http1 import call
from platform_stand_ins import Store, Worker

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOST, PREFIX, SERVICE = "nony24.example", "/lohu930/", "huvo11a"
BOUNDS = {"max_hold_ms": 1000, "drain_ms": 2000, "grace_s": 6, "cancel_ms": 3000, "stop_timeout_ms": 50, "contact_ms": 3000}


def render(text, fields):
    """Fills in a template as DEPLOY.md tells: values and sections."""

    def look_up(scope, path):
        if path == ".":
            return scope
        value = scope if isinstance(scope, dict) else {}
        for step in path.split("."):
            if isinstance(value, list):
                value = value[int(step)] if int(step) < len(value) else None
            else:
                value = value.get(step) if isinstance(value, dict) else None
        return value if value is not None or scope is fields else look_up(fields, path)

    def fill(part, scope):
        def section(match):
            value = look_up(scope, match[1])
            return fill(match[2], value) if value not in (None, False, "", []) else ""

        part = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, part, flags=re.S)

        def value(match):
            found = look_up(scope, match[1])
            return "" if found is None else str(found)

        return re.sub(r"\{\{([\w.]+)\}\}", value, part)

    return fill(text, fields)


class Daemon:
    def __init__(self, cluster, name, role, ip):
        self.cluster, self.name, self.role, self.ip = cluster, name, role, ip
        self.popen = None
        self.log = open(cluster.directory / f"{name}.log", "ab")

    def settings(self):
        ports = self.cluster.ports
        listen = {"control": f"{self.ip}:{ports['control']}"}
        if self.role == "entry":
            listen.update(front=f"{self.ip}:{ports['front']}", ready=f"{self.ip}:{ports['ready']}")
        limits = {"cpu_share": 0.25 if self.role == "entry" else 0.15, "memory_mb": 260 if self.role == "entry" else 128,
                  "max_fds": 4100 if self.role == "entry" else 4096, "link_mbps": 1000.0}
        return {"ip": self.ip, "zone": "ede", "internal_ports": [ports["peer"], ports["admin"]], "listen": listen, "limits": limits,
                "bounds": BOUNDS, "platform": {"address": f"{self.cluster.store.address}:{self.cluster.store.port}"}}

    def start(self):
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"][self.role]
        path = self.cluster.directory / f"{self.name}.json"
        path.write_text(render((ROOT / deploy["template"]).read_text(), self.settings()))
        environment = {k: v for k, v in os.environ.items() if k in ("PATH", "HOME", "LANG")}
        environment["DANDELIONSPUR_CONFIG"] = str(path)
        self.popen = subprocess.Popen(deploy["run"].split(), cwd=ROOT, env=environment, stdout=self.log, stderr=self.log)
        self.cluster.started.append(self.popen)
        self.cluster.record(f"{self.name}: started")

    def signal(self, number):
        self.cluster.record(f"{self.name}: {signal.Signals(number).name}")
        self.popen.send_signal(number)

    def kill(self):
        self.signal(signal.SIGKILL)
        self.popen.wait()

    def is_running(self):
        return self.popen is not None and self.popen.poll() is None


class Cluster:
    def __init__(self, folder, fronts=3, sides=3, heartbeat_ms=1500):
        self.began = time.monotonic()
        self.lines = []
        self.folder = pathlib.Path(folder)
        self.temporary = tempfile.TemporaryDirectory(prefix="review-3-")
        self.directory = pathlib.Path(self.temporary.name)
        self.started = []
        atexit.register(self.end_processes)
        signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
        random.seed()
        net = f"127.{random.randint(1, 250)}.{random.randint(1, 250)}"
        self.ports = free_ports(["front", "ready", "control", "peer", "admin", "app", "store"], net, 2 + fronts + sides)
        self.store = Store(f"{net}.1", self.ports["store"], self.record)
        self.entries = [Daemon(self, f"front-{i}", "entry", f"{net}.{2 + i}") for i in range(fronts)]
        machines = [f"{net}.{2 + fronts + i}" for i in range(sides)]
        self.agents = [Daemon(self, f"side-{i}", "agent", machines[i]) for i in range(sides)]
        self.workers = [Worker(f"w{i}", machines[i], self.ports, SERVICE, self.record, heartbeat_ms) for i in range(sides)]
        self.version = 1

    def began_clock(self):
        return time.monotonic() - self.began

    def record(self, line):
        self.lines.append(f"{time.monotonic() - self.began:9.3f}  {line}")

    def write_configuration(self, version, routes=None, **changed):
        route = {"name": "q1", "host": HOST, "path_prefix": PREFIX, "timeout_ms": 1500, "service": SERVICE, "max_attempts": 3,
                 "stretch": 1.6, "target_latency_ms": 60, "priority": 0, **changed}
        value = {"version": version, "routes": routes or [route],
                 "services": [{"name": SERVICE, "slots": 8, "admission_check": False}], "limits": {}}
        self.store.operator_writes("config", value)
        self.record(f"operator: configuration {version}")

    async def start(self):
        await self.store.start()
        self.write_configuration(self.version)
        for daemon in self.entries + self.agents:
            daemon.start()
        for worker in self.workers:
            await worker.start()
        await self.until_ready()

    async def until_ready(self, seconds=25):
        """Until every running entry is ready, and a job ran through each of them."""
        end = time.monotonic() + seconds
        for entry in self.entries:
            while entry.is_running():
                if time.monotonic() > end:
                    raise CannotRun(f"{entry.name} isn't ready")
                if (await call(entry.ip, self.ports["ready"], "GET", "/-/ready", timeout=1))[0] == 200:
                    break
                await asyncio.sleep(0.1)
        for entry in self.entries:
            while entry.is_running():
                if time.monotonic() > end:
                    raise CannotRun(f"{entry.name} serves no job")
                if (await self.submit(entry, new_id(), "1 ready", quiet=True))[0] == 200:
                    break
                await asyncio.sleep(0.2)
        self.record("cluster: ready")

    async def submit(self, entry, job, spec, count=1, cpu=1000, estimate_ms=None, deadline_ms=1500, timeout=None, quiet=False):
        estimate = estimate_ms if estimate_ms is not None else int(spec.split()[0])
        body = {"spec": spec, "best_effort": True, "steps": [{"count": count, "cpu": cpu, "mem_mb": 64, "estimate_ms": estimate}]}
        if not quiet:
            self.record(f"client: POST {job} to {entry.name} ({count} tasks, spec {spec!r})")
        answer = await call(entry.ip, self.ports["front"], "POST", PREFIX + job, body,
                            {"Host": HOST, "X-Deadline-Ms": str(deadline_ms)}, timeout or deadline_ms / 1000 + 0.2)
        if not quiet:
            self.record(f"client: POST {job} to {entry.name} -> {answer[0]} {answer[1]}")
        return answer

    async def cancel(self, entry, job, deadline_ms=1500):
        self.record(f"client: DELETE {job} to {entry.name}")
        answer = await call(entry.ip, self.ports["front"], "DELETE", PREFIX + job, None,
                            {"Host": HOST, "X-Deadline-Ms": str(deadline_ms)}, deadline_ms / 1000 + 3)
        self.record(f"client: DELETE {job} to {entry.name} -> {answer[0]} {answer[1]}")
        return answer

    def runs(self):
        return [run for worker in self.workers for run in worker.runs()]

    def overlaps(self):
        """Pairs of runs of one task that are at work at the same time."""
        by_task = {}
        for run in self.runs():
            by_task.setdefault(run[0], []).append(run)
        pairs = []
        for runs in by_task.values():
            runs.sort(key=lambda run: run[3])
            pairs += [(a, b) for i, a in enumerate(runs) for b in runs[i + 1:] if b[3] < a[4]]
        return pairs

    def describe(self, run):
        task, number, worker, began, ended, how = run
        return f"{task} run {number} at {worker} from {began - self.began:.3f} to {ended - self.began:.3f} ({how})"

    def end_processes(self):
        for popen in self.started:
            if popen.poll() is None:
                popen.send_signal(signal.SIGCONT)
                popen.kill()
        for popen in self.started:
            popen.wait()

    def write_record(self, verdict):
        self.record(verdict)
        (self.folder / "record.txt").write_text("\n".join(self.lines) + "\n")


class CannotRun(Exception):
    pass


def new_id():
    return f"{random.getrandbits(64):016x}"


def free_ports(names, net, addresses):
    """Ports that are free on every address used."""
    ports = {}
    for name in names:
        while True:
            port = random.randint(20000, 32000)
            try:
                for i in range(1, 1 + addresses):
                    with socket.socket() as probe:
                        probe.bind((f"{net}.{i}", port))
            except OSError:
                continue
            if port not in ports.values():
                ports[name] = port
                break
    return ports


def play(folder, scenario, limit=115, **sizes):
    """Runs `scenario(cluster, trouble)`, which returns a list of breaches, and exits as the issue asks."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    cluster = Cluster(folder, **sizes)
    code, verdict = 2, "could not run"

    async def body():
        await cluster.start()
        return await scenario(cluster, trouble)

    def give_up():
        cluster.end_processes()
        cluster.write_record("could not run: the script itself hangs")
        os._exit(2)

    watchdog = threading.Timer(limit + 3, give_up)
    watchdog.daemon = True
    watchdog.start()

    try:
        breaches = asyncio.run(asyncio.wait_for(body(), limit))
        code = 1 if breaches else 0
        verdict = "; ".join(["RULE BROKEN: " + b for b in breaches]) or "the rule held"
    except CannotRun as error:
        verdict = f"could not run: {error}"
    except asyncio.TimeoutError:
        verdict = "could not run: took too long"
    except OSError as error:
        verdict = f"could not run: {error.__class__.__name__}: {error.strerror}"
    finally:
        cluster.end_processes()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            os.makedirs(keep, exist_ok=True)
            for path in cluster.directory.glob("*"):
                (pathlib.Path(keep) / path.name).write_bytes(path.read_bytes())
        cluster.write_record(verdict)
        print(verdict[:600])
    sys.exit(code)
