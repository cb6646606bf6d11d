"""What the tests with real processes share."""

import concurrent.futures
import pathlib
import sys
import unittest

# For the tests that import this as well.
sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent.parent / "meta"))
from cluster import Cluster

PORTS_PER_TEST = 300


class ClusterCase(unittest.TestCase):
    """Every test has ports of its own, so that one that fails leaves nothing in the way of the next."""

    # Each class sets its own. They stay below the ports that the system gives to outgoing connections.
    next_port = None
    cluster_options = {}

    def cluster(self, entries=3, agents=3, **options):
        port = type(self).next_port
        type(self).next_port += PORTS_PER_TEST
        started = Cluster(port, entries, agents, **self.cluster_options, **options)
        started.__enter__()
        self.addCleanup(started.__exit__, None, None, None)
        self.pool = concurrent.futures.ThreadPoolExecutor(64)
        self.addCleanup(self.pool.shutdown)
        return started


class PlatformCase(ClusterCase):
    """A cluster that speaks the protocol of the users' platform."""

    next_port = 27000
    cluster_options = {"platform": True}

    def submit_many(self, cluster, count, spec="200", tasks=2, entries=None, first=0, patience_ms=20000):
        entries = entries or cluster.live_entries()
        return [
            self.pool.submit(
                cluster.submit_to_queue, entries[i % len(entries)], f"{first + i:016x}", spec, tasks, patience_ms
            )
            for i in range(count)
        ]

    def answers(self, futures):
        return [future.result(timeout=90) for future in futures]


class LoaderWithout(unittest.TestLoader):
    """Leaves out the tests that ctest runs apart, by name, since KNOWN-RED.txt lists them."""

    def __init__(self, *apart):
        super().__init__()
        self.apart = apart

    def getTestCaseNames(self, testCaseClass):
        return [name for name in super().getTestCaseNames(testCaseClass) if name not in self.apart]
