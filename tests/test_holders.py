"""Lease holders that are killed or paused, and their successors."""

import signal

import testtools

from tests import test_cold
from tests import traffic


class HolderTest(testtools.TestCase):
    """Guards against two nodes that grant a shard's permits, or none."""

    def test_holders_fail_one_after_the_other(self):
        with (
            test_cold.cold_cluster(4, test_cold.COLD) as cluster,
            traffic.running(cluster),
        ):
            test_cold.await_grants(cluster)
            first = test_cold.holder(cluster)
            cluster.nodes[first].signal(signal.SIGSTOP)
            test_cold.await_successor(cluster, first)
            cluster.nodes[first].signal(signal.SIGCONT)
            test_cold.await_grants(cluster)
            second = test_cold.holder(cluster)
            cluster.nodes[second].kill()
            cluster.start_node(second)
            test_cold.await_successor(cluster, second)
            test_cold.await_grants(cluster)
            self.assertEqual(1, test_cold.counts(cluster)['max_cold'])
