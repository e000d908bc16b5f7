"""Permits when the lease holder is isolated or the platform is down."""

import signal
import time

import testtools
from testtools import matchers

from radishcourse_policy import leases as lease_policy
from radishcourse_policy import permits as permit_policy
from tests import test_cold
from tests import traffic

# Longer than the timeout of a permit call (0.5 s), shorter than the 2.5 s after
# which a paused holder must treat its lease as expired.
PAUSE_S = 1.0
# The first token of a cold engine takes 0.3 s, so about 30 grants fit into a
# permit's TTL of 10 s. If an unreleased permit blocks the upstream for its TTL,
# only one does.
MIN_GRANTS = 5


class IsolatedHolderTest(testtools.TestCase):
    """Guards against an isolated lease holder that keeps granting permits."""

    def test_holder_that_is_cut_off_stops_granting(self):
        with (
            test_cold.cold_cluster(4, test_cold.COLD_SETTINGS) as cluster,
            traffic.running(cluster),
        ):
            first = test_cold.holder(cluster)
            cluster.cut_off(first, 'blackhole')
            test_cold.await_successor(cluster, first)
            test_cold.await_grants(cluster)
            self.assertNotEqual(first, test_cold.holder(cluster))
            self.assertEqual(1, test_cold.counts(cluster)['max_cold'])


class OutageTest(testtools.TestCase):
    """Guards against cold upstreams that get no permits in an outage."""

    def test_holder_goes_on_granting_while_the_platform_is_down(self):
        with (
            test_cold.cold_cluster(4, test_cold.COLD_SETTINGS) as cluster,
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
            test_cold.cold_cluster(4, test_cold.COLD_SETTINGS) as cluster,
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
            # A permit that is never released blocks the upstream for its TTL.
            grants = test_cold.counts(cluster)['cold_total'] - cold_before
            self.assertThat(grants, matchers.GreaterThan(MIN_GRANTS))
            self.assertEqual(1, test_cold.counts(cluster)['max_cold'])
