"""Answers of a peer that breaks off, in threads of this process."""

import dataclasses
import random
import socket
import types

import anyio
import testtools

from radishcourse_adapter import headernames
from radishcourse_gateway import directory as directories
from radishcourse_gateway import errors
from radishcourse_gateway import inboundrequest
from radishcourse_gateway import peerstate
from radishcourse_gateway import relay
from radishcourse_gateway import responses
from radishcourse_node import metrics
from radishcourse_node import timeouts
from radishcourse_policy import clock as clocks
from tests import rawworker

BODY = b'x' * 100
UNREACHABLE = responses.refusal_body(errors.Reason.UPSTREAMS_UNREACHABLE)
ORDER = directories.Route(
    name='order',
    host='site.example',
    prefix='/order/',
    kind=directories.RequestKind.NON_IDEMPOTENT,
    shares=(directories.Share('desk', 1.0),),
    timeout_s=4.0,
    goal_s=0.4,
    max_attempts=3,
)
STOCK = dataclasses.replace(ORDER, kind=directories.RequestKind.IDEMPOTENT)


class _Writer:
    """Records the response to the caller."""

    def __init__(self):
        self.status, self.body, self.ended = None, b'', False
        self.plan, self.outcome = None, 'completed'

    async def start(self, status: int, headers) -> None:
        del headers
        self.status = status

    async def write(self, data: bytes) -> None:
        self.body += data

    async def end(self, last: bytes = b'') -> None:
        self.body += last
        self.ended = True


class RelayTest(testtools.TestCase):
    """Base of tests of a relay without a gateway."""

    def setUp(self):
        super().setUp()
        self.clock = clocks.MonotonicClock()
        self.budget = [True] * 10
        self.relay_listen = None

    def _make_gateway(self, alive: list[peerstate.Peer]):
        return types.SimpleNamespace(
            environment=types.SimpleNamespace(
                clock=self.clock, random=random.Random(1)
            ),
            current_settings=types.SimpleNamespace(
                value=types.SimpleNamespace(
                    zone='zone-a', relay_listen=self.relay_listen
                )
            ),
            header_names=headernames.HEADER_NAMES,
            peers=types.SimpleNamespace(alive=alive, relay_address=None),
            reachability=types.SimpleNamespace(
                is_unreachable=lambda service: True
            ),
            targets=types.SimpleNamespace(
                choose_service=lambda request: 'desk'
            ),
            forwarder=types.SimpleNamespace(forward=self._refuse),
            metrics=metrics.Metrics(),
            retry_budgets=types.SimpleNamespace(
                spend=lambda service: self.budget.pop(),
                has_tokens=lambda service, count: True,
            ),
            timeouts=timeouts.Timeouts(self.clock),
            view=types.SimpleNamespace(usable=lambda service: [1, 2]),
        )

    async def _forward(self, route, peers: list[rawworker.RawWorker]):
        alive = [
            peerstate.Peer(
                f'n{number}',
                'run',
                'zone-a',
                '',
                self.clock.now(),
                relay_address=peer.address,
            )
            for number, peer in enumerate(peers)
        ]
        request = inboundrequest.InboundRequest(
            request_id='r1',
            method=b'POST',
            target=b'/order/1',
            headers=[(b'host', b'site.example'), (b'x-request-id', b'r1')],
            body=b'goods',
            arrived_at=self.clock.now(),
            route=route,
            organisation=None,
            deadline=self.clock.now() + 4.0,
        )
        relays = relay.Relay(self._make_gateway(alive))
        try:
            await relays.forward(request, self.out)
        finally:
            await relays.aclose()

    async def _refuse(self, request, out):
        del request, out
        raise errors.Refusal(errors.Reason.UPSTREAMS_UNREACHABLE, 'cut', 0.5)


class ListenerTest(RelayTest):
    """Guards against a gateway that does not start for want of a port."""

    async def _listen(self) -> tuple[int, str | None]:
        gateway = self._make_gateway([])
        listeners = await relay.Relay(gateway).listen()
        for listener in listeners:
            await listener.aclose()
        return len(listeners), gateway.peers.relay_address

    def test_address_in_use_is_not_advertised(self):
        with socket.create_server(('127.0.0.1', 0)) as taken:
            self.relay_listen = f'127.0.0.1:{taken.getsockname()[1]}'
            self.assertEqual((0, None), anyio.run(self._listen))
        self.assertEqual((1, self.relay_listen), anyio.run(self._listen))

    def test_no_address_means_no_listener(self):
        self.assertEqual((0, None), anyio.run(self._listen))


class PeerAnswerTest(RelayTest):
    """Guards against an answer of a peer that is taken for something else."""

    def _play(self, route, *replies, peers: int = 1):
        """Returns the error, if any, and the requests that arrived."""
        script = rawworker.Script(*replies)
        started = [
            rawworker.RawWorker(f'n{number}', script) for number in range(peers)
        ]
        self.out, raised = _Writer(), None
        try:
            anyio.run(self._forward, route, started)
        except errors.GatewayError as error:
            raised = error
        finally:
            for worker in started:
                worker.stop()
        return raised, script.requests

    def _reason(self, raised) -> errors.Reason:
        self.assertIsInstance(raised, errors.Refusal)
        self.assertIsNone(self.out.status)
        return raised.reason

    def test_body_that_breaks_off_is_not_complete(self):
        replies = (
            lambda request: rawworker.Reply(
                rawworker.head(request, 200, len(BODY)) + BODY[:50],
                rawworker.End.CLOSE,
            ),
            lambda request: rawworker.Reply(
                rawworker.head(request, 200, chunked=True)
                + rawworker.chunk(BODY),
                rawworker.End.RESET,
            ),
            lambda request: rawworker.Reply(
                rawworker.head(request, 200) + BODY, rawworker.End.CLOSE
            ),
        )
        for reply in replies:
            raised, requests = self._play(STOCK, reply, peers=2)
            self.assertIsInstance(raised, errors.ResponseInterrupted)
            self.assertFalse(self.out.ended)
            self.assertEqual(1, len(requests))

    def test_order_without_an_answer_may_have_run(self):
        for end in (rawworker.End.CLOSE, rawworker.End.RESET):
            raised, requests = self._play(
                ORDER, lambda request, e=end: rawworker.Reply(b'', e), peers=3
            )
            self.assertIs(errors.Reason.UPSTREAM_FAILED, self._reason(raised))
            self.assertEqual(1, len(requests))

    def test_idempotent_request_without_an_answer_is_sent_elsewhere(self):
        raised, requests = self._play(
            STOCK,
            lambda request: rawworker.Reply(b'', rawworker.End.CLOSE),
            lambda request: rawworker.Reply(
                rawworker.message(request, 200, BODY, 'length')
            ),
            peers=2,
        )
        self.assertIsNone(raised)
        self.assertEqual((200, BODY), (self.out.status, self.out.body))
        self.assertEqual(2, len(requests))

    def test_request_is_not_sent_elsewhere_without_a_token(self):
        self.budget = [False]
        raised, requests = self._play(
            STOCK,
            lambda request: rawworker.Reply(b'', rawworker.End.CLOSE),
            peers=3,
        )
        self.assertIs(errors.Reason.UPSTREAM_FAILED, self._reason(raised))
        self.assertEqual(1, len(requests))

    def test_refusal_after_a_lost_answer_is_no_promise(self):
        for body in (UNREACHABLE, b'full'):
            raised, _ = self._play(
                STOCK,
                lambda request: rawworker.Reply(b'', rawworker.End.CLOSE),
                lambda request, b=body: rawworker.Reply(
                    rawworker.message(request, 503, b, 'length', stamp='')
                ),
                peers=2,
            )
            self.assertIs(errors.Reason.UPSTREAM_FAILED, self._reason(raised))

    def test_order_that_all_peers_refuse_has_not_run(self):
        raised, requests = self._play(
            ORDER,
            lambda request: rawworker.Reply(
                rawworker.message(request, 503, UNREACHABLE, 'length', stamp='')
            ),
            peers=5,
        )
        self.assertIs(errors.Reason.UPSTREAMS_UNREACHABLE, self._reason(raised))
        self.assertEqual(3, len(requests))

    def test_refusal_for_another_reason_is_passed_on(self):
        raised, requests = self._play(
            ORDER,
            lambda request: rawworker.Reply(
                rawworker.message(request, 503, b'full', 'length', stamp='')
            ),
            peers=3,
        )
        self.assertIsNone(raised)
        self.assertEqual((503, b'full'), (self.out.status, self.out.body))
        self.assertEqual(1, len(requests))

    def test_refusal_by_an_older_configuration_is_not_passed_on(self):
        for reason in (errors.Reason.NO_ROUTE, errors.Reason.UNKNOWN_KEY):
            raised, requests = self._play(
                ORDER,
                lambda request, r=reason: rawworker.Reply(
                    rawworker.message(
                        request,
                        r.status,
                        responses.refusal_body(r),
                        'length',
                        stamp='',
                    )
                ),
                lambda request: rawworker.Reply(
                    rawworker.message(request, 200, BODY, 'length')
                ),
                peers=2,
            )
            self.assertIsNone(raised)
            self.assertEqual((200, BODY), (self.out.status, self.out.body))
            self.assertEqual(2, len(requests))

    def test_route_bounds_the_peers_that_may_have_run_a_request(self):
        raised, requests = self._play(
            dataclasses.replace(STOCK, max_attempts=1),
            lambda request: rawworker.Reply(b'', rawworker.End.CLOSE),
            peers=3,
        )
        self.assertIs(errors.Reason.UPSTREAM_FAILED, self._reason(raised))
        self.assertEqual(1, len(requests))

    def test_success_without_a_stamp_is_not_passed_on(self):
        raised, _ = self._play(
            ORDER,
            lambda request: rawworker.Reply(
                rawworker.message(request, 200, BODY, 'length', stamp='')
            ),
        )
        self.assertIs(errors.Reason.UPSTREAM_FAILED, self._reason(raised))
