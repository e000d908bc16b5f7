"""The bound on the load of a cold upstream, counted by the engine."""

import concurrent.futures

import testtools

from tests import cluster as clusters

COLD = {'cold_first_token_ms': 300, 'warm_after': 1000}
NODES = 8


def at_once(cluster, names, **options) -> list[clusters.Reply]:
    """Sends one job to each node at the same time."""
    with concurrent.futures.ThreadPoolExecutor(len(names)) as pool:
        calls = [
            pool.submit(cluster.chat, name, 'tag', **options) for name in names
        ]
        return [call.result() for call in calls]


def counts(cluster, name: str = 'small-1') -> clusters.Document:
    """Returns what an engine counted on its own side."""
    return cluster.get(cluster.upstreams[name], '/control/served').json


class TrialTest(testtools.TestCase):
    """Guards against each node sending a trial of its own."""

    def test_eight_nodes_send_one_trial_at_a_time(self):
        with clusters.running(NODES, ('small-1',), ()) as cluster:
            engine = cluster.upstreams['small-1']
            cluster.control(engine, 'settings', COLD)
            cluster.control(engine, 'state', {'state': 'cold'})
            for name in cluster.names:
                clusters.wait_until(
                    lambda name=name: (
                        cluster.status(name)['upstreams'][0]['state'] == 'cold'
                    )
                )
            replies = at_once(cluster, cluster.names)
            counted = counts(cluster)
            self.assertEqual(1, counted['max_cold'])
            self.assertIn(200, [reply.status for reply in replies])
            self.assertEqual(
                {'completed', 'not_run'},
                {reply.headers['x-radish-outcome'] for reply in replies}
                | {'not_run'},
            )
