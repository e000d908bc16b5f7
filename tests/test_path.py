"""The request path from end to end, with real processes."""

import testtools

from radishcourse_standins import processes
from tests import cluster as clusters


class PathTest(testtools.TestCase):
    """Guards against requests answered, billed or reported wrongly."""

    def test_each_type_of_request_is_answered_and_billed_once(self):
        with clusters.running(flush_s=0.2) as cluster:
            unstreamed = cluster.chat('entry-0')
            streamed = cluster.chat('entry-1', stream=True)
            order = cluster.post(
                'entry-0', '/v1/services/order-desk/orders', {'order': 'a'}
            )
            self.assertEqual(
                [200, 200, 201],
                [unstreamed.status, streamed.status, order.status],
            )
            self.assertTrue(streamed.body.endswith(b'data: [DONE]\n\n'))
            clusters.wait_until(lambda: len(cluster.bills()) >= 3)
            request_ids = [bill[1] for bill in cluster.bills()]
            self.assertEqual(3, len(set(request_ids)), request_ids)
            self.assertEqual(3, len(request_ids))

    def test_unreachable_engines_are_reported_to_callers(self):
        with clusters.running(node_count=1) as cluster:
            cluster.fault('refuse', ['all>small-1', 'all>large-1'])
            reply = cluster.chat('entry-0')
            self.assertEqual((503, 'no_upstream'), (reply.status, reply.code))
            self.assertEqual('not_run', reply.headers['x-radish-outcome'])

    def test_node_without_a_configuration_answers_stale_view(self):
        with clusters.running(node_count=1) as cluster:
            cluster.nodes['entry-0'].kill()
            cluster.platform_fault('down')
            node = cluster.start_node('entry-0')
            processes.wait_http(node, '/healthz')
            reply = cluster.chat('entry-0')
            self.assertEqual((503, 'stale_view'), (reply.status, reply.code))
            self.assertEqual('not_run', reply.headers['x-radish-outcome'])
