"""Links between entries and agents that go silent for good, without a reset, while new connections work."""

import random
import time
import unittest

from cluster_case import PlatformCase
from link_proxy import ProxiedCluster

SEED = 45
# Leases of 1 s, and the time until links are replaced.
SERVES_AGAIN_WITHIN_SECONDS = 5
BOTH = ("to_entry", "to_dialer")


class SilentLinksTest(PlatformCase):
    next_port = 24000
    cluster_class = ProxiedCluster

    def serves(self, cluster, first):
        """Whether jobs that are handed in at every entry now are all answered with success."""
        futures = self.submit_many(cluster, 12, spec="50", first=first, deadline_ms=1500)
        return all(status == 200 for status, _ in self.answers(futures))

    def assert_serves_again(self, cluster, first):
        began_at = time.monotonic()
        while not self.serves(cluster, first):
            first += 12
            waited = time.monotonic() - began_at
            self.assertLess(waited, SERVES_AGAIN_WITHIN_SECONDS, "the service doesn't come back\n" + cluster.logs())

    def check(self, share, directions):
        cluster = self.cluster()
        self.assertTrue(self.serves(cluster, 0))
        chance = random.Random(SEED)
        for blow in range(1, 3):
            self.assertGreater(cluster.silence_links(share, chance, directions), 0)
            self.assert_serves_again(cluster, 1000 * blow)
        self.assertEqual(cluster.overlapping_runs(), [])
        return cluster

    # These guard against a service that ends for good when links go silent: nothing noticed, so that homes gave work to
    # agents that never heard of it.
    def test_serves_again_after_all_links_went_silent(self):
        cluster = self.check(1.0, BOTH)
        self.assertIn("event=link_silent", cluster.log("entry-0"))
        self.assertIn("event=link_silent", cluster.log("agent-0"))

    def test_serves_again_after_most_links_went_silent(self):
        self.check(0.7, BOTH)

    def test_serves_again_after_links_went_silent_towards_entries(self):
        self.check(1.0, ("to_entry",))

    def test_serves_again_after_links_went_silent_towards_dialers(self):
        self.check(1.0, ("to_dialer",))


if __name__ == "__main__":
    unittest.main()
