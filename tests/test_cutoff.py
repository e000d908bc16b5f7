"""Holders of leases that are cut off from all other processes."""

import time

import testtools

from radishcourse_policy import leases as lease_policy
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


class OutageTest(testtools.TestCase):
    """Guards against cold upstreams without any grantor in an outage."""

    def test_holder_goes_on_granting_while_the_platform_is_down(self):
        with (
            test_cold.cold_cluster(4, test_cold.COLD) as cluster,
            traffic.running(cluster),
        ):
            first = test_cold.holder(cluster)
            test_cold.await_grants(cluster)
            cluster.platform_fault('down')
            time.sleep(2 * lease_policy.LENGTH_S)
            test_cold.await_grants(cluster)
            cluster.platform_fault('up')
            time.sleep(lease_policy.LENGTH_S / 2)
            test_cold.await_grants(cluster)
            self.assertEqual(first, test_cold.holder(cluster))
            self.assertEqual(1, test_cold.counts(cluster)['max_cold'])
