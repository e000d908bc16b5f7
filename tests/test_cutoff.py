"""Holders of leases that are cut off from all other processes."""

import testtools

from tests import test_cold
from tests import traffic


class CutTest(testtools.TestCase):
    """Guards against a holder that grants while nobody can reach it."""

    def test_holder_that_is_cut_off_stops_granting(self):
        with (
            test_cold.cold_cluster(4, test_cold.COLD) as cluster,
            traffic.running(cluster),
        ):
            first = test_cold.holder(cluster)
            cluster.cut_off(first, 'blackhole')
            test_cold.await_successor(cluster, first)
            test_cold.await_grants(cluster)
            self.assertNotEqual(first, test_cold.holder(cluster))
            self.assertEqual(1, test_cold.counts(cluster)['max_cold'])
