"""Stand-in of a worker, as PROTOCOL.md tells it: pings its agent, and runs tasks under a lease.

The first word of a task's spec is its duration in milliseconds.
"""

import http.client
import json
import threading
import time

from server import Server

MAXIMUM_LEASE_S = 1.0
LISTED_ENDS = 500


def _duration_ms(spec):
    first = spec.split()[:1]
    return int(first[0]) if first and first[0].isdecimal() and first[0].isascii() else 0


class Run:
    def __init__(self, worker, task, number, spec, started):
        self.worker = worker
        self.task = task
        self.number = number
        self.spec = spec
        self.started = started
        self.ended = None
        self.how = None
        self.due = None

    def __str__(self):
        end = "running" if self.ended is None else f"{self.how} at {self.ended:.3f}"
        return f"{self.task} run {self.number} at worker-{self.worker}: {self.started:.3f} to {end}"


class Worker:
    def __init__(self, index, port, agent_port, service, record, cpu=32000, mem_mb=131072, heartbeat_s=1.5):
        self.index = index
        self.port = port
        self.agent_port = agent_port
        self.service = service
        self.record = record
        self.capacity = {"cpu": cpu, "mem_mb": mem_mb, "gpu": 0}
        self.heartbeat_s = heartbeat_s
        self.id = f"i-{index:08x}"
        self.born = int(time.time() * 1000)
        self.steady_start = time.monotonic()
        self.sequence = 0
        self.state = "ready"
        self.changed = threading.Condition()
        self.fence = 0
        self.lease_until = 0.0
        self.running = {}
        self.highest_runs = {}
        self.ends = []
        self.last_end = 0
        self.all_runs = []
        self.stopped = False
        self.server = Server(port, self.handle)
        # Called with (path, order) before an order is carried out; returns "late" if the order
        # gets no answer and is carried out later by carry_out_late().
        self.on_order = None

    def start(self):
        self.server.start()
        threading.Thread(target=self._ping_always, daemon=True).start()
        threading.Thread(target=self._end_due_runs, daemon=True).start()

    def stop(self):
        with self.changed:
            self.stopped = True
            self.changed.notify_all()
        self.server.stop()

    def history(self):
        with self.changed:
            return list(self.all_runs)

    def clock_ms(self):
        return int((time.monotonic() - self.steady_start) * 1000)

    def ping(self):
        """Sends one ping; returns whether it was acknowledged."""
        self.sequence += 1
        body = json.dumps({
            "service": self.service, "address": f"127.0.0.1:{self.port}", "zone": "zone-0", "version": "v1",
            "slots": 8, "state": self.state, "cold_left_ms": 0, "capacity": self.capacity,
            "labels": ["a", f"r1-{self.index // 3}"], "clock_ms": self.clock_ms(), "born": self.born,
            "seq": self.sequence})
        connection = http.client.HTTPConnection("127.0.0.1", self.agent_port, timeout=1)
        try:
            connection.request("POST", f"/-/Instances.Heartbeat/{self.id}", body, {"Content-Type": "application/json"})
            return connection.getresponse().status // 100 == 2
        except (OSError, http.client.HTTPException):
            return False
        finally:
            connection.close()

    def _ping_always(self):
        while not self.stopped:
            acknowledged = self.ping()
            time.sleep(self.heartbeat_s if acknowledged else 0.3)

    def _end_due_runs(self):
        with self.changed:
            while not self.stopped:
                now = time.monotonic()
                if now >= self.lease_until:
                    for run in list(self.running.values()):
                        self._end(run, "lapsed")
                for run in list(self.running.values()):
                    if run.due <= now:
                        self._end(run, "failed" if run.spec.endswith("fail") else "done")
                self.changed.wait(0.01)

    def _end(self, run, how):
        del self.running[run.task]
        run.ended, run.how = self.record.now(), how
        self.last_end += 1
        self.ends.append([self.last_end, run.task, run.number, how, ""])
        self.record.line(f"worker-{self.index}: {run.task} run {run.number} ended {how}")
        self.changed.notify_all()

    def _reply(self, status, fields=None):
        return status, {"clock_ms": self.clock_ms(), **(fields or {})}

    def _refuse(self, reason):
        return self._reply(409, {"reason": reason})

    def handle(self, method, target, headers, body):
        order = json.loads(body)
        if headers.get("x-expect-instance", self.id) != self.id:
            return self._reply(421)
        if self.on_order is not None and self.on_order(target, order) == "late":
            return None
        return self.carry_out(target, order)

    def carry_out(self, target, order, lease_from_arrival=False):
        with self.changed:
            if order.get("fence", 0) < self.fence:
                return self._refuse("fence")
            self.fence = order.get("fence", 0)
            if target == "/-/run-start":
                return self._start_run(order, lease_from_arrival)
            if target == "/-/run-stop":
                return self._stop_run(order)
            if target == "/-/hold":
                return self._list(order)
            return self._reply(200)

    def _extend(self, order):
        until = self.steady_start + order.get("deadline_ms", 0) / 1000
        self.lease_until = max(self.lease_until, min(until, time.monotonic() + MAXIMUM_LEASE_S))

    def _start_run(self, order, lease_from_arrival):
        task, number = order["task"], order["run"]
        if lease_from_arrival:
            order = {**order, "deadline_ms": self.clock_ms() + int(MAXIMUM_LEASE_S * 1000)}
        present = self.running.get(task)
        if present is not None and present.number == number:
            return self._reply(200)
        if present is not None or number <= self.highest_runs.get(task, 0):
            self._extend(order)
            return self._refuse("old")
        if order["deadline_ms"] <= self.clock_ms():
            return self._refuse("late")
        self._extend(order)
        self.highest_runs[task] = number
        run = Run(self.index, task, number, order["spec"], self.record.now())
        run.due = time.monotonic() + _duration_ms(order["spec"]) / 1000
        self.running[task] = run
        self.all_runs.append(run)
        self.record.line(f"worker-{self.index}: {task} run {number} started, spec {order['spec']}")
        return self._reply(200)

    def _stop_run(self, order):
        task, number = order["task"], order["run"]
        self.highest_runs[task] = max(self.highest_runs.get(task, 0), number)
        present = self.running.get(task)
        if present is not None and present.number <= number:
            self._end(present, "stopped")
        return self._reply(200)

    def _list(self, order):
        self._extend(order)
        seen = order.get("last_seen", 0)
        self.ends = [end for end in self.ends if end[0] > seen]
        until = time.monotonic() + min(order.get("wait_ms", 0), 2000) / 1000
        while not self.ends and time.monotonic() < until and not self.stopped:
            self.changed.wait(max(0.001, until - time.monotonic()))
        return self._reply(200, {
            "born": self.born,
            "running": [[run.task, run.number, "", 0, run.spec and 1000] for run in self.running.values()],
            "finished": self.ends[:LISTED_ENDS]})
