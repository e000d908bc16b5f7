"""The measurement of what gateways know of each other."""

import testtools

from radishcourse_gateway import peers
from radishcourse_standins import fleetknowledge

NODES, SECONDS = 8, 2.0


class FleetKnowledgeTest(testtools.TestCase):
    """Guards against a measurement that finds what is not there."""

    def test_small_fleet_knows_all_of_its_nodes(self):
        found = fleetknowledge.measure(NODES, SECONDS)
        self.assertEqual((1.0, 1.0), (found.alive, found.alive_least))
        self.assertLessEqual(found.news_age_s, 2 * peers.ROUND_INTERVAL_S)
        # One sum for each upstream, however many nodes report.
        self.assertEqual(NODES, found.steps)
        self.assertGreater(found.sent_per_s, 0)

    def test_same_seed_gives_the_same_figures(self):
        first, second, other = (
            fleetknowledge.measure(NODES, SECONDS, seed) for seed in (1, 1, 2)
        )
        self.assertEqual(first, second)
        self.assertNotEqual(first, other)
