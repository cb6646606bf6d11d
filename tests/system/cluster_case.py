"""Base classes of the tests that run real processes."""

import concurrent.futures
import pathlib
import sys
import unittest

# Also lets the tests that import this module import cluster.py.
sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent.parent / "meta"))
from cluster import Cluster

PORTS_PER_TEST = 300


class ClusterCase(unittest.TestCase):
    """Gives every test its own port range, so that a failed test cannot disturb the next one."""

    # The first port of the next test; set by each class. All ranges lie below the system's ephemeral ports.
    next_port = None
    cluster_options = {}
    cluster_class = Cluster

    def cluster(self, entries=3, agents=3, **options):
        port = type(self).next_port
        type(self).next_port += PORTS_PER_TEST
        started = self.cluster_class(port, entries, agents, **self.cluster_options, **options)
        started.__enter__()
        self.addCleanup(started.__exit__, None, None, None)
        self.pool = concurrent.futures.ThreadPoolExecutor(64)
        self.addCleanup(self.pool.shutdown)
        return started


class PlatformCase(ClusterCase):
    """A test on a cluster whose upstreams and callers use the platform's protocol."""

    next_port = 27000
    cluster_options = {"platform": True}

    def submit_many(self, cluster, count, spec="200", tasks=2, entries=None, first=0, deadline_ms=20000):
        entries = entries or cluster.live_entries()
        return [
            self.pool.submit(
                cluster.submit_to_queue, entries[i % len(entries)], f"{first + i:016x}", spec, tasks, deadline_ms
            )
            for i in range(count)
        ]

    def answers(self, futures):
        return [future.result(timeout=90) for future in futures]
