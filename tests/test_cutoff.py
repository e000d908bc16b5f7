"""Holders of leases that are cut off from all other processes."""

import signal
import time

import testtools
from testtools import matchers

from radishcourse_policy import leases as lease_policy
from radishcourse_policy import permits as permit_policy
from tests import test_cold
from tests import traffic

# Longer than a call for a permit waits (0.5 s), shorter than the 2.5 s after
# which a paused holder must find its lease lapsed.
PAUSE_S = 1.0
# A first token takes 0.3 s in a cold start: 30 fit into a permit's life of
# 10 s, one when each permit blocks the upstream for its life.
MIN_GRANTS = 5


class IsolatedHolderTest(testtools.TestCase):
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
            time.sleep(2 * lease_policy.DURATION_S)
            test_cold.await_grants(cluster)
            cluster.platform_fault('up')
            time.sleep(lease_policy.DURATION_S / 2)
            test_cold.await_grants(cluster)
            self.assertEqual(first, test_cold.holder(cluster))
            self.assertEqual(1, test_cold.counts(cluster)['max_cold'])

    def test_holder_that_missed_calls_in_an_outage_is_found_again(self):
        with (
            test_cold.cold_cluster(4, test_cold.COLD) as cluster,
            traffic.running(cluster),
        ):
            first = test_cold.holder(cluster)
            test_cold.await_grants(cluster)
            cluster.platform_fault('down')
            time.sleep(PAUSE_S)
            cluster.nodes[first].signal(signal.SIGSTOP)
            time.sleep(PAUSE_S)
            cluster.nodes[first].signal(signal.SIGCONT)
            cold_before = test_cold.counts(cluster)['cold_total']
            time.sleep(permit_policy.TTL_S)
            # A permit that nobody releases blocks the upstream for its life.
            grants = test_cold.counts(cluster)['cold_total'] - cold_before
            self.assertThat(grants, matchers.GreaterThan(MIN_GRANTS))
            self.assertEqual(1, test_cold.counts(cluster)['max_cold'])
