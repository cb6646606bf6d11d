"""An entry that the others take out of the view: what its callers get, and a stop meanwhile."""

import signal
import time
import unittest

from caller import Caller
from cluster_case import PlatformCase

STOP_WITHIN_SECONDS = 4
ENTRY_SETTINGS = {
    "suspect_after_ms": 500,
    "remove_after_ms": 1500,
    "drain_accepts_ms": 500,
    "stop_within_s": STOP_WITHIN_SECONDS,
}


class RemovedEntryTest(PlatformCase):
    next_port = 20500

    def remove_first_entry(self, cluster):
        """Freezes the first entry until the others have taken it out of the view. It doesn't know of it yet."""
        cluster.entries[0].signal(signal.SIGSTOP)
        cluster.wait_for(lambda: len(cluster.status(1)["members"]) == 2, "the frozen entry to be removed")

    def lines(self, cluster):
        return "\n".join(line for line in cluster.log("entry-0").splitlines() if " job=" not in line)

    # Guards against requests without an answer (LOST): an entry that the others have taken out of the view begins anew,
    # and cuts the connections of its callers.
    def test_callers_of_an_entry_that_begins_anew_are_answered(self):
        cluster = self.cluster(agents=2, entry_settings=ENTRY_SETTINGS)
        callers = [Caller(cluster.caller_port(0)) for _ in range(20)]
        for caller in callers:
            self.addCleanup(caller.socket.close)
        self.remove_first_entry(cluster)
        # They wait in the sockets of the frozen process.
        for i, caller in enumerate(callers):
            caller.send(f"{i:016x}")
        cluster.entries[0].signal(signal.SIGCONT)
        statuses = [caller.receive() for caller in callers]
        self.assertEqual(statuses.count(None), 0, self.lines(cluster))
        self.assertLessEqual(set(statuses), {200, 502, 503})
        self.assertEqual(cluster.overlapping_runs(), [])
        cluster.wait_for(lambda: len(cluster.status(1)["members"]) == 3, "the entry to join again")
        cluster.wait_ready()

    # Guards against a stop that is forgotten, so that the process is killed amid its work: it begins anew while the
    # signal arrives, and the new server takes in requests.
    def test_an_entry_that_is_stopped_while_it_begins_anew_exits(self):
        cluster = self.cluster(agents=2, entry_settings=ENTRY_SETTINGS)
        self.remove_first_entry(cluster)
        # The records can't be written yet, so the entry is at it when the signal comes.
        cluster.table.signal(signal.SIGSTOP)
        cluster.entries[0].signal(signal.SIGCONT)
        cluster.wait_for(lambda: "event=removed_from_view" in cluster.log("entry-0"), "the entry to notice its removal")
        cluster.entries[0].signal(signal.SIGTERM)
        stopped_at = time.monotonic()
        time.sleep(0.2)
        cluster.table.signal(signal.SIGCONT)
        self.assertEqual(cluster.entries[0].wait(STOP_WITHIN_SECONDS + 3), 0, self.lines(cluster))
        self.assertNotIn("event=beginning_anew", self.lines(cluster))
        self.assertLess(time.monotonic() - stopped_at, STOP_WITHIN_SECONDS, self.lines(cluster))


if __name__ == "__main__":
    unittest.main()
