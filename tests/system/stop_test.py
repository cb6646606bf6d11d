"""Graceful shutdown of entries while callers keep using open connections until the process has exited."""

import signal
import threading
import time
import unittest

from caller import Caller
from cluster_case import PlatformCase


class BusyProcessor:
    """Pauses and resumes a process in turn, which simulates a processor that is busy with other processes."""

    RUN_SECONDS = 0.005

    def __init__(self, process, pause_seconds=0.045):
        self.process = process
        self.pause_seconds = pause_seconds
        self.thread = threading.Thread(target=self._run)
        self.thread.start()

    def _run(self):
        while self.process.popen.poll() is None:
            self.process.signal(signal.SIGSTOP)
            time.sleep(self.pause_seconds)
            self.process.signal(signal.SIGCONT)
            time.sleep(self.RUN_SECONDS)


class StopTest(PlatformCase):
    next_port = 19000

    def callers(self, cluster, count):
        callers = [Caller(cluster.caller_port(0)) for _ in range(count)]
        for caller in callers:
            self.addCleanup(caller.socket.close)
        return callers

    # Guards against requests without an answer (LOST): they are unread in sockets or in the accept queue when an
    # entry's graceful shutdown has no other work left, and their connections are cut when the process exits.
    def test_unread_requests_are_answered_before_connections_close(self):
        cluster = self.cluster(agents=2, entry_settings={"drain_accepts_ms": 500, "stop_within_s": 6})
        callers = self.callers(cluster, 100)
        time.sleep(0.2)
        cluster.entries[0].signal(signal.SIGTERM)
        time.sleep(0.4)
        cluster.entries[0].signal(signal.SIGSTOP)
        callers += self.callers(cluster, 100)
        for i, caller in enumerate(callers):
            caller.send(f"{i:016x}")
        time.sleep(0.5)
        busy = BusyProcessor(cluster.entries[0])
        statuses = [caller.receive() for caller in callers]
        code = cluster.entries[0].wait(8)
        busy.thread.join()
        lines = [line for line in cluster.log("entry-0").splitlines() if " job=" not in line]
        self.assertEqual((statuses.count(None), code), (0, 0), "\n".join(lines))
        self.assertLessEqual(set(statuses), {200, 503})
        self.assertEqual(cluster.overlapping_runs(), [])

    # Guards against requests without an answer (LOST): an entry that is behind with its work takes them in while it
    # stops, and its answers and the steps of the stop wait behind queued events until its time is over.
    def test_requests_are_answered_by_an_entry_that_stops_while_behind(self):
        cluster = self.cluster(agents=2, entry_settings={"drain_accepts_ms": 1500, "stop_within_s": 5})
        callers = self.callers(cluster, 400)
        busy = BusyProcessor(cluster.entries[0], pause_seconds=0.145)
        for i, caller in enumerate(callers[:200]):
            caller.send(f"{i:016x}", "1000")
        time.sleep(0.5)
        cluster.entries[0].signal(signal.SIGTERM)
        time.sleep(0.5)
        for i, caller in enumerate(callers[200:]):
            caller.send(f"{200 + i:016x}", "1000")
        statuses = [caller.receive() for caller in callers]
        code = cluster.entries[0].wait(8)
        busy.thread.join()
        lines = [line for line in cluster.log("entry-0").splitlines() if " job=" not in line]
        self.assertEqual((statuses.count(None), code), (0, 0), "\n".join(lines))
        self.assertEqual(cluster.overlapping_runs(), [])

    # Guards against requests without an answer (LOST): jobs that outlast their entry's graceful shutdown are cut when
    # the process exits.
    def test_jobs_that_outlast_the_stop_get_a_final_answer(self):
        stop_within_seconds = 4
        cluster = self.cluster(agents=2, entry_settings={"drain_accepts_ms": 500, "stop_within_s": stop_within_seconds})
        callers = self.callers(cluster, 8)
        for i, caller in enumerate(callers):
            caller.send(f"{i:016x}", "4500")
        time.sleep(0.2)
        cluster.entries[0].signal(signal.SIGTERM)
        stopped_at = time.monotonic()
        statuses = [caller.receive() for caller in callers]
        self.assertEqual(statuses, [502] * len(callers), cluster.log("entry-0")[-2000:])
        self.assertEqual(cluster.entries[0].wait(8), 0)
        self.assertLess(time.monotonic() - stopped_at, stop_within_seconds)

    # Guards against a process that is killed at the end of its grace period because its records upload too slowly.
    def test_entry_exits_in_time_while_the_table_is_unresponsive(self):
        stop_within_seconds = 4
        cluster = self.cluster(agents=2, entry_settings={"drain_accepts_ms": 500, "stop_within_s": stop_within_seconds})
        self.answers(self.submit_many(cluster, 50, "10"))
        cluster.table.signal(signal.SIGSTOP)
        cluster.entries[0].signal(signal.SIGTERM)
        self.assertEqual(cluster.entries[0].wait(stop_within_seconds), 0)


if __name__ == "__main__":
    unittest.main()
