"""Requests that a gateway passes to a peer; all are processes."""

import concurrent.futures
import http.client
import signal
import socket
import time

from radishcourse_node import events
from tests import partitionedgateway
from tests import site as sites
from tests import sitefiles
from tests import test_gateway_unreachable as unreachable

CUT = 'gateway-1'
PEERS = unreachable.GATEWAYS[1:]
DESKS = ('desk-1', 'desk-2')
ENGINES = ('engine-1', 'engine-2')


class RelayTest(unreachable.PartitionTest):
    """Base of tests with one gateway that reaches no upstream."""

    def setUp(self):
        super().setUp()
        self.make_unreachable(partitionedgateway.Mode.HANG, CUT)

    def runs_of(self, response: sites.Response) -> list[dict]:
        """Returns the runs at all workers of a request."""
        return [
            run
            for run in self.site.runs()
            if run['request'] == response.request
        ]

    def answered(self, gateway: str, request: str) -> list[dict]:
        """Returns a gateway's records of a request."""
        return [
            line
            for line in self.site.log(gateway)
            if line.get('event') == events.Event.REQUEST_ANSWERED.value
            and line['request'] == request
        ]

    def start_order(self, pool, **headers) -> concurrent.futures.Future:
        """Sends an order and waits until a worker runs it."""
        before = len(self.site.runs(*DESKS))
        sent = pool.submit(
            self.site.send, CUT, 'POST', '/order/2', b'goods', **headers
        )
        sites.wait_until(lambda: len(self.site.runs(*DESKS)) > before)
        return sent


class RequestTest(RelayTest):
    """Guards against a hop that changes requests or their accounting."""

    def test_request_and_answer_are_passed_on_unchanged(self):
        response = self.site.send(
            CUT, 'POST', '/order/a%20b?x=1&y=', b'goods', X_Own='1'
        )
        (run,) = self.runs_of(response)
        self.assertEqual((200, True), (response.status, response.whole))
        self.assertEqual('/order/a%20b?x=1&y=', run['target'])
        self.assertEqual(('POST', 'goods'), (run['method'], run['body']))
        self.assertEqual('1', run['headers']['x-own'])
        self.assertEqual('first', run['headers']['x-tenant'])
        self.assertNotIn('api-key', run['headers'])
        self.assertIn('x-server-stamp', response.headers)
        self.assertIn(b'/order/a%20b', response.body)

    def test_peer_answers_before_the_time_of_the_caller_ends(self):
        for name in DESKS:
            self.site.set_behaviour(name, delay_ms=2500)
        response = self.site.send(
            CUT, 'POST', '/order/1', b'goods', X_Time_Budget_Ms='1000'
        )
        (run,) = self.runs_of(response)
        self.assertLessEqual(int(run['headers']['x-time-budget-ms']), 900)
        self.assertEqual(504, response.status)
        self.assertEqual(
            ['relayed'],
            [line['outcome'] for line in self.answered(CUT, response.request)],
        )

    def test_request_is_recorded_as_completed_once_and_relayed_once(self):
        response = self.site.send(CUT, 'GET', '/stock/1')
        records = [
            (line['outcome'], line['relayed'])
            for gateway in unreachable.GATEWAYS
            for line in self.answered(gateway, response.request)
        ]
        self.assertEqual(
            [('completed', True), ('relayed', False)], sorted(records)
        )

    def test_unknown_key_is_refused(self):
        response = self.site.send(CUT, 'GET', '/stock/1', Api_Key='forged')
        self.assertEqual(401, response.status)


class OneHopTest(unreachable.PartitionTest):
    """Guards against requests that are passed on from peer to peer."""

    def test_peer_that_is_cut_off_refuses_and_another_one_serves(self):
        cut = unreachable.GATEWAYS[::2]
        self.make_unreachable(partitionedgateway.Mode.REFUSE, *cut)
        began_at = time.monotonic()
        for _ in range(15):
            for kind in unreachable.REQUESTS:
                call = self.call(cut[0], kind, began_at)
                self.assertTrue(call.served, call)
        relayed_again = [
            line
            for gateway in unreachable.GATEWAYS
            for line in self.site.log(gateway)
            if line.get('event') == events.Event.REQUEST_ANSWERED.value
            and line['relayed']
            and line['outcome'] == 'relayed'
        ]
        self.assertEqual([], relayed_again)
        refused = [
            line
            for line in self.site.log(cut[1])
            if line.get('event') == events.Event.REQUEST_REFUSED.value
            and line['code'] == 'upstreams_unreachable'
        ]
        self.assertNotEqual([], refused)


class BrokenHopTest(RelayTest):
    """Guards against false promises when the hop breaks."""

    def test_order_whose_peer_is_killed_is_not_said_not_to_have_run(self):
        for name in DESKS:
            self.site.set_behaviour(name, delay_ms=1500)
        with concurrent.futures.ThreadPoolExecutor() as pool:
            sent = self.start_order(pool)
            for name in PEERS:
                self.site.gateways[name].kill()
            response = sent.result()
        self.assertEqual(502, response.status)
        self.assertEqual(1, len(self.runs_of(response)))

    def test_order_whose_peer_is_frozen_is_not_said_not_to_have_run(self):
        for name in DESKS:
            self.site.set_behaviour(name, delay_ms=300)
        with concurrent.futures.ThreadPoolExecutor() as pool:
            sent = self.start_order(pool, X_Time_Budget_Ms='2000')
            for name in PEERS:
                self.site.gateways[name].signal(signal.SIGSTOP)
            response = sent.result()
        for name in PEERS:
            self.site.gateways[name].signal(signal.SIGCONT)
        self.assertEqual(504, response.status)
        self.assertEqual(1, len(self.runs_of(response)))

    def test_idempotent_request_goes_on_where_a_peer_is_killed(self):
        for name in DESKS:
            self.site.set_behaviour(name, delay_ms=700)
        before = len(self.site.runs(*DESKS))
        with concurrent.futures.ThreadPoolExecutor() as pool:
            sent = pool.submit(self.site.send, CUT, 'GET', '/stock/3')
            sites.wait_until(lambda: len(self.site.runs(*DESKS)) > before)
            taker = next(name for name in PEERS if self._is_serving(name))
            self.site.gateways[taker].kill()
            response = sent.result()
        self.assertEqual((200, True), (response.status, response.whole))

    def _is_serving(self, gateway: str) -> bool:
        """Whether a gateway has sent a request that it has not answered."""
        started, ended = set(), set()
        for line in self.site.log(gateway):
            if line.get('event') == events.Event.ATTEMPT_STARTED.value:
                started.add(line['request'])
            if line.get('event') == events.Event.REQUEST_ANSWERED.value:
                ended.add(line['request'])
        return bool(started - ended)

    def test_frozen_peer_keeps_few_requests(self):
        frozen = PEERS[0]
        self.site.gateways[frozen].signal(signal.SIGSTOP)
        time.sleep(1.5)
        responses = [self.site.send(CUT, 'GET', '/stock/1') for _ in range(12)]
        self.site.gateways[frozen].signal(signal.SIGCONT)
        self.assertEqual([200] * 12, [item.status for item in responses])

    def test_stream_whose_peer_is_killed_is_not_complete(self):
        for name in ENGINES:
            self.site.set_behaviour(name, events=20, event_ms=100)
        with socket.create_connection(
            (self.site.gateways[CUT].host, self.site.gateways[CUT].port), 10
        ) as raw:
            raw.sendall(_request('POST', '/draft/1'))
            response = http.client.HTTPResponse(raw)
            response.begin()
            self.assertEqual(200, response.status)
            response.read1()
            for name in PEERS:
                self.site.gateways[name].kill()
            with self.assertRaises((http.client.HTTPException, OSError)):
                while response.read1():
                    pass
                raise AssertionError('the stream ended as if it was complete')


class StreamTest(RelayTest):
    """Guards against streams that are held back, or go on for nobody."""

    def test_events_arrive_one_by_one(self):
        for name in ENGINES:
            self.site.set_behaviour(name, events=6, event_ms=200)
        process = self.site.gateways[CUT]
        with socket.create_connection((process.host, process.port), 10) as raw:
            raw.sendall(_request('POST', '/draft/1'))
            response = http.client.HTTPResponse(raw)
            response.begin()
            arrived = []
            while response.read1():
                arrived.append(time.monotonic())
        self.assertGreaterEqual(len(arrived), 6)
        self.assertGreater(arrived[5] - arrived[0], 0.7)

    def test_worker_stops_when_the_caller_leaves(self):
        for name in ENGINES:
            self.site.set_behaviour(name, events=40, event_ms=100)
        self.site.send_and_disconnect(CUT, 'POST', '/draft/1', 0.5)
        seconds = sites.wait_until(
            lambda: any(
                self.site.control(self.site.workers[name], 'state')['left']
                for name in ENGINES
            )
        )
        self.assertLess(seconds, 2.0)


def _request(method: str, path: str) -> bytes:
    return (
        f'{method} {path} HTTP/1.1\r\nHost: {sitefiles.HOST}\r\n'
        f'Api-Key: {sitefiles.KEY}\r\nX-Request-Id: raw-1\r\n'
        'Content-Length: 0\r\n\r\n'
    ).encode()
