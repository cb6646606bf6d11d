"""Stand-ins of the platform: its store, and a worker with its lease, fence and lists, as PROTOCOL.md tells."""

import asyncio
import base64
import json
import time
from urllib.parse import parse_qs, urlsplit

from http1 import Answer, Server, call


def now_ms():
    return time.monotonic() * 1000


class Store:
    """Rows, feeds and objects. `block(headers)` may delay or refuse calls."""

    def __init__(self, address, port, record):
        self.server = Server(address, port, self.handle)
        self.address, self.port, self.record = address, port, record
        self.rows = {}
        self.history = []
        self.version = 0
        self.objects = {}
        self.changed = asyncio.Event()
        self.lose_write = None

    async def start(self):
        await self.server.start()

    def operator_writes(self, key, value):
        self.apply([(("op", "", key), base64.b64encode(json.dumps(value).encode()).decode())], [])

    def apply(self, writes, removals):
        self.version += 1
        for name, value in writes:
            self.rows[name] = (self.version, value)
            self.history.append((self.version, name))
        for name in removals:
            if self.rows.pop(name, None):
                self.history.append((self.version, name))
        event, self.changed = self.changed, asyncio.Event()
        event.set()

    def row(self, name):
        table, part, key = name
        found = self.rows.get(name)
        if found is None:
            return {"table": table, "part": part, "key": key, "deleted": True, "schema_version": self.version}
        return {"table": table, "part": part, "key": key, "value": found[1], "schema_version": found[0]}

    def page(self, names):
        return Answer(200, {"rows": [self.row(n) for n in names], "has_more": False, "schema_version": self.version,
                            "now_ms": int(now_ms())})

    async def handle(self, method, target, headers, body):
        parts = urlsplit(target)
        query = {k: v[0] for k, v in parse_qs(parts.query, keep_blank_values=True).items()}
        path = parts.path
        await asyncio.sleep(0.004)
        if path == "/-/rows-get":
            low, high = query.get("from", ""), query.get("to", "")
            names = sorted(n for n in self.rows if n[0] == query.get("table") and n[1] == query.get("part", "")
                           and n[2] >= low and (not high or n[2] < high))
            return self.page(names[:int(query.get("limit", "500"))])
        if path == "/-/rows-feed":
            end = now_ms() + int(query.get("wait_ms", "0"))
            while True:
                after, table = int(query["after"]), query["table"]
                names = sorted({n for v, n in self.history if v > after and n[0] == table})
                left = end - now_ms()
                if names or left <= 0:
                    return self.page(names)
                try:
                    await asyncio.wait_for(self.changed.wait(), left / 1000)
                except asyncio.TimeoutError:
                    pass
        if path == "/-/rows-tx":
            await asyncio.sleep(0.008)
            call_body = json.loads(body)
            name = lambda row: (row["table"], row.get("part", ""), row["key"])
            if any(row["table"] in ("op", "servers") for row in call_body.get("writes", [])):
                return Answer(403)
            action = self.lose_write(call_body) if self.lose_write else None
            if action is not None:
                asyncio.get_running_loop().call_later(action, lambda: self.transact(call_body, name))
                return None
            return self.transact(call_body, name)
        if path.startswith("/-/blob-put/"):
            self.objects[path.rsplit("/", 1)[1]] = body
            return Answer(200)
        if path.startswith("/-/blob-get/"):
            found = self.objects.get(path.rsplit("/", 1)[1])
            return Answer(404) if found is None else Answer(200, raw=found)
        if path.startswith("/-/blob-drop/"):
            self.objects.pop(path.rsplit("/", 1)[1], None)
            return Answer(200)
        if path == "/-/blob-list":
            names = sorted(n for n in self.objects if n.startswith(query.get("path_prefix", "")) and n > query.get("after", ""))
            return Answer(200, {"names": names[:1000], "has_more": len(names) > 1000})
        return Answer(404)

    def transact(self, body, name):
        expected = body.get("expected_rev", [])
        holds = all(self.rows.get(name(row), (0, ""))[0] == row.get("schema_version", 0) for row in expected)
        if not holds:
            return Answer(412, {"rows": [self.row(name(row)) for row in expected if name(row) in self.rows],
                                "schema_version": self.version, "now_ms": int(now_ms())})
        self.apply([(name(row), row["value"]) for row in body.get("writes", [])], [name(row) for row in body.get("remove", [])])
        return Answer(200, {"schema_version": self.version, "now_ms": int(now_ms())})


class Run:
    def __init__(self, task, number, order):
        self.task, self.number, self.order = task, number, order
        self.began = time.monotonic()
        self.timer = None


class Worker:
    """One worker. A task's `spec` begins with its duration in milliseconds. `late(path, body)` may return after how many
    seconds a call is carried out that gets no answer; None for a usual call."""

    def __init__(self, name, machine, ports, service, record, heartbeat_ms=1500, cpu=32000):
        self.name, self.machine, self.ports, self.service, self.record = name, machine, ports, service, record
        self.heartbeat_ms, self.cpu = heartbeat_ms, cpu
        self.id = f"i-{name}"
        self.max_hold_ms, self.stop_timeout_ms = 1000, 50
        self.late = None
        self.late_counts_from_arrival = False
        self.state = "ready"
        self.all_runs = []
        self.beats = None
        self.server = Server(machine, ports["app"], self.handle)

    async def start(self):
        self.born = int(time.time() * 1000)
        self.clock_base = time.monotonic()
        self.seq = self.last_end = self.fence = 0
        self.lease_until = 0.0
        self.running, self.highest, self.ends = {}, {}, []
        self.lease_timer = None
        self.end_listed = asyncio.Event()
        await self.server.start()
        self.beats = asyncio.create_task(self.beat())
        self.record(f"worker {self.name}: starts, id {self.id}, born {self.born}, cpu {self.cpu}")

    async def crash(self):
        self.record(f"worker {self.name}: crashes, {len(self.running)} running")
        self.beats.cancel()
        for task in list(self.running):
            self.end(task, "crashed")
        await self.server.stop()

    def clock(self):
        return int((time.monotonic() - self.clock_base) * 1000)

    async def beat(self):
        while True:
            self.seq += 1
            began = time.monotonic()
            body = {"service": self.service, "address": f"{self.machine}:{self.ports['app']}", "zone": "ede", "version": "v1",
                    "slots": 8, "state": self.state, "cold_left_ms": 0,
                    "capacity": {"cpu": self.cpu, "mem_mb": 131072, "gpu": 0}, "labels": ["a", "r1-1"],
                    "clock_ms": self.clock(), "seq": self.seq, "born": self.born}
            status, _ = await call(self.machine, self.ports["control"], "POST", f"/-/Instances.Heartbeat/{self.id}", body, timeout=1.0)
            if self.state != "ready":
                self.record(f"worker {self.name}: heartbeat {self.seq} {self.state} -> {status}")
            # The next call comes sooner while nobody answers.
            pause = self.heartbeat_ms / 1000 if status == 200 else 0.3
            await asyncio.sleep(max(0.01, pause - (time.monotonic() - began)))

    async def handle(self, method, target, headers, body):
        if headers.get("x-expect-instance", self.id) != self.id:
            return Answer(421, {"clock_ms": self.clock()})
        order = json.loads(body)
        delay = self.late(target, order) if self.late else None
        if delay is not None:
            born = self.born
            self.record(f"worker {self.name}: {target} {order.get('task', '')} run {order.get('run', '')} fence {order.get('fence')}"
                        f" gets no answer, carried out {delay:.2f} s later")
            asyncio.get_running_loop().call_later(delay, lambda: self.born == born and self.carry_out_late(target, order))
            return None
        return await self.carry_out(target, order)

    def carry_out_late(self, target, order):
        if self.late_counts_from_arrival and "deadline_ms" in order:
            order = {**order, "deadline_ms": self.clock() + self.max_hold_ms}
        answer = self.start_run(order) if target == "/-/run-start" else None
        self.record(f"worker {self.name}: late {target} {order.get('task', '')} fence {order.get('fence')} carried out:"
                    f" {answer.status if answer else '-'} {answer.raw.decode() if answer else ''}")

    def is_fenced(self, order):
        fence = order.get("fence", 0)
        if fence < self.fence:
            return True
        self.fence = fence
        return False

    def refuse(self, reason):
        return Answer(409, {"clock_ms": self.clock(), "reason": reason})

    async def carry_out(self, target, order):
        if target == "/-/run-start":
            return self.start_run(order)
        if self.is_fenced(order):
            return self.refuse("fence")
        if target == "/-/run-stop":
            task, number = order["task"], order["run"]
            self.highest[task] = max(self.highest.get(task, 0), number)
            run = self.running.get(task)
            if run and run.number <= number:
                self.end(task, "stopped")
            return Answer(200, {"clock_ms": self.clock()})
        if target == "/-/hold":
            seen = order.get("last_seen", 0)
            self.ends = [end for end in self.ends if end[0] > seen]
            self.extend(order)
            end = time.monotonic() + min(2000, order.get("wait_ms", 0)) / 1000
            while not self.ends and time.monotonic() < end:
                try:
                    await asyncio.wait_for(self.end_listed.wait(), end - time.monotonic())
                except asyncio.TimeoutError:
                    pass
            rows = [[r.task, r.number, "", int(time.monotonic() - r.began), 1000] for r in self.running.values()]
            return Answer(200, {"clock_ms": self.clock(), "born": self.born, "running": rows, "finished": self.ends[:500]})
        return Answer(404)

    def start_run(self, order):
        if self.is_fenced(order):
            return self.refuse("fence")
        task, number = order["task"], order["run"]
        present = self.running.get(task)
        if present and present.number == number:
            return Answer(200, {"clock_ms": self.clock()})
        if number <= self.highest.get(task, 0):
            self.extend(order)
            return self.refuse("old")
        if order["deadline_ms"] <= self.clock():
            return self.refuse("late")
        if present:
            self.end(task, "broken")
        self.extend(order)
        self.highest[task] = number
        run = self.running[task] = Run(task, number, order)
        seconds = int(order["spec"].split()[0]) / 1000
        run.timer = asyncio.get_running_loop().call_later(seconds, lambda: self.running.get(task) is run and self.end(task, "done"))
        self.record(f"worker {self.name}: starts {task} run {number} fence {order.get('fence')}")
        return Answer(200, {"clock_ms": self.clock()})

    def extend(self, order):
        if "deadline_ms" not in order:
            return
        granted = min(order["deadline_ms"], self.clock() + self.max_hold_ms)
        if granted <= self.lease_until:
            return
        self.lease_until = granted
        if self.lease_timer:
            self.lease_timer.cancel()
        self.lease_timer = asyncio.get_running_loop().call_later(max(0, granted - self.clock()) / 1000, self.lapse)

    def lapse(self):
        for task in list(self.running):
            self.end(task, "lapsed")

    def end(self, task, how):
        run = self.running.pop(task)
        if run.timer:
            run.timer.cancel()
        self.all_runs.append((task, run.number, self.name, run.began, time.monotonic(), how))
        self.record(f"worker {self.name}: {task} run {run.number} ends {how} after {time.monotonic() - run.began:.3f} s")
        if how != "crashed":
            self.last_end += 1
            self.ends.append([self.last_end, task, run.number, how, ""])
            event, self.end_listed = self.end_listed, asyncio.Event()
            event.set()

    def runs(self):
        """(task, run, worker, from, to, how) of all runs so far."""
        present = [(r.task, r.number, self.name, r.began, time.monotonic(), "running") for r in self.running.values()]
        return self.all_runs + present
