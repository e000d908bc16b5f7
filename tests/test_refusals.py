"""Refusals caused by a platform outage or a lost upstream response."""

import testtools

from tests import cluster as clusters

ORDERS = '/v1/services/order-desk/orders'


class RefusalTest(testtools.TestCase):
    """Guards against refusals that report a wrong code or outcome."""

    def _assert_refused(self, reply, status: int, code: str, outcome: str):
        self.assertEqual(
            (status, code, outcome),
            (reply.status, reply.code, reply.headers['x-radish-outcome']),
        )

    def _order_runs(self, cluster) -> dict:
        return cluster.get(cluster.upstreams['desk-1'], '/control/orders').json

    def test_full_buffer_of_bills_refuses_until_they_are_flushed(self):
        with clusters.running(3, flush_s=0.3, bills_bytes=2048) as cluster:
            cluster.platform_fault('down')
            replies = [cluster.chat('entry-0', 'tag') for _ in range(20)]
            refused = [reply for reply in replies if reply.status != 200]
            self.assertTrue(refused)
            for reply in refused:
                self._assert_refused(reply, 503, 'billing_backlog', 'not_run')
            cluster.platform_fault('up')
            clusters.wait_until(
                lambda: cluster.chat('entry-0', 'tag').status == 200
            )
            answered = len(replies) - len(refused)
            clusters.wait_until(lambda: len(cluster.bills()) > answered)
            request_ids = [bill[1] for bill in cluster.bills()]
            self.assertEqual(len(request_ids), len(set(request_ids)))

    def test_claim_that_cannot_be_made_is_not_run(self):
        with clusters.running(2) as cluster:
            cluster.platform_fault('down')
            reply = cluster.post(
                'entry-0', ORDERS, {'order': 'a'}, {'Idempotency-Key': 'a'}
            )
            self._assert_refused(reply, 503, 'claim_unavailable', 'not_run')
            self.assertEqual({}, self._order_runs(cluster))

    def test_lost_answer_is_unknown_and_not_repeated(self):
        with clusters.running(1) as cluster:
            desk = cluster.upstreams['desk-1']
            cluster.control(desk, 'settings', {'fault': 'close'})
            reply = cluster.post('entry-0', ORDERS, {'order': 'a'})
            self._assert_refused(reply, 502, 'outcome_unknown', 'unknown')
            self.assertEqual({'a': 1}, self._order_runs(cluster))
