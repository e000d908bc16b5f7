"""Gateways that reach no upstream, while callers and peers reach them."""

import collections
import concurrent.futures
import dataclasses
import time

import testtools

from radishcourse_node import events
from tests import partitionedgateway
from tests import site as sites

GATEWAYS = ('gateway-1', 'gateway-2', 'gateway-3', 'gateway-4')
REQUESTS = {
    'order': ('POST', '/order/1'),
    'idempotent': ('GET', '/stock/1'),
    'stream': ('POST', '/draft/1'),
}
# Of the contract: a cut node serves first tries at least this often, relative
# to the others.
SERVED_SHARE = 2 / 3
# The contract allows 3 s from the beginning of a cut.
NOTICED_S = 1.5
MEASURED_S = 3.0
INTERVAL_S = 0.2
# Half of the routes' timeout.
MAX_SECONDS = 2.0


@dataclasses.dataclass(frozen=True)
class Call:
    """A caller's request.

    Attributes:
      gateway: The gateway.
      kind: A key of REQUESTS.
      sent_at: When it was sent, in seconds from the first one.
      seconds: Time until its answer.
      status: Status of the answer.
      whole: Whether the answer was complete.
    """

    gateway: str
    kind: str
    sent_at: float
    seconds: float
    status: int
    whole: bool

    @property
    def served(self) -> bool:
        """Whether it was served."""
        return self.status == 200 and self.whole


class PartitionTest(testtools.TestCase):
    """Base of tests on a site whose gateways can be cut from upstreams."""

    def setUp(self):
        super().setUp()
        running = sites.running(1, gateway_module='tests.partitionedgateway')
        self.site = running.__enter__()
        self.addCleanup(running.__exit__, None, None, None)
        # The others find each other through the first one.
        for name in GATEWAYS[1:]:
            self.site.start_gateway(name)
        self.site.wait_ready()
        self.site.wait_listed(len(self.site.workers))
        self.site.wait_peers()

    def cut(self, mode: partitionedgateway.Mode, *gateways: str) -> None:
        """Cuts gateways from all workers."""
        addresses = [item.address for item in self.site.workers.values()]
        for name in gateways:
            partitionedgateway.cut(self.site.folder, name, mode, addresses)

    def restore(self, *gateways: str) -> None:
        """Ends the cut of gateways."""
        for name in gateways:
            partitionedgateway.restore(self.site.folder, name)

    def make_unreachable(
        self, mode: partitionedgateway.Mode, *gateways: str
    ) -> None:
        """Cuts gateways and waits until they know it of both services."""
        self.cut(mode, *gateways)
        for gateway in gateways:
            sites.wait_until(lambda name=gateway: self._knows(name))

    def _knows(self, gateway: str) -> bool:
        for method, path in REQUESTS.values():
            self.site.send(gateway, method, path, X_Time_Budget_Ms='600')
        return self.logged(gateway, events.Event.SERVICE_UNREACHABLE) == {
            'desk',
            'engine',
        }

    def logged(self, gateway: str, event: events.Event) -> set[str]:
        """Returns the services of an event in a gateway's log."""
        return {
            line['service']
            for line in self.site.log(gateway)
            if line.get('event') == event.value
        }

    def call(self, gateway: str, kind: str, began_at: float) -> Call:
        sent_at = time.monotonic()
        response = self.site.send(gateway, *REQUESTS[kind], b'goods')
        return Call(
            gateway,
            kind,
            sent_at - began_at,
            time.monotonic() - sent_at,
            response.status,
            response.whole,
        )

    def play(self, seconds: float) -> list[Call]:
        """Sends all kinds of requests to all gateways at a fixed rate."""
        began_at, calls = time.monotonic(), []
        with concurrent.futures.ThreadPoolExecutor(256) as pool:
            while time.monotonic() - began_at < seconds:
                calls += [
                    pool.submit(self.call, gateway, kind, began_at)
                    for gateway in GATEWAYS
                    for kind in REQUESTS
                ]
                time.sleep(INTERVAL_S)
        return [call.result() for call in calls]


class ServedTest(PartitionTest):
    """Guards against callers that are not served where no upstream is reached.

    Half of the gateways, which are those of one zone, are cut.
    """

    def _check_served(self, mode: partitionedgateway.Mode) -> None:
        cut = GATEWAYS[::2]
        self.play(0.5)
        self.cut(mode, *cut)
        calls = [
            call
            for call in self.play(NOTICED_S + MEASURED_S)
            if call.sent_at > NOTICED_S
        ]
        sent, served = collections.Counter(), collections.Counter()
        for call in calls:
            key = (call.kind, call.gateway in cut)
            sent[key] += 1
            served[key] += call.served
        statuses = collections.Counter(
            (call.kind, call.status) for call in calls if call.gateway in cut
        )
        slowest_s = max(call.seconds for call in calls)
        message = f'{served} of {sent}, {statuses}, slowest {slowest_s:.2f} s'
        for kind in REQUESTS:
            share = served[kind, True] / sent[kind, True]
            other_share = served[kind, False] / sent[kind, False]
            self.assertGreater(other_share, 0.9, message)
            self.assertGreaterEqual(share, SERVED_SHARE * other_share, message)
        self.assertLess(slowest_s, MAX_SECONDS, message)

    def test_requests_are_served_while_connects_hang(self):
        self._check_served(partitionedgateway.Mode.HANG)

    def test_requests_are_served_while_connects_are_refused(self):
        self._check_served(partitionedgateway.Mode.REFUSE)


class GivingUpTest(PartitionTest):
    """Guards against requests that try upstreams until their deadline."""

    def test_request_ends_at_once_and_the_node_serves_after_the_cut(self):
        self.make_unreachable(partitionedgateway.Mode.HANG, *GATEWAYS)
        began_at = time.monotonic()
        for kind in REQUESTS:
            call = self.call('gateway-1', kind, began_at)
            self.assertEqual(503, call.status, kind)
            self.assertLess(call.seconds, 1.0, kind)
        self.assertEqual([], self.site.runs())
        self.restore(*GATEWAYS)
        time.sleep(2.0)
        for kind in REQUESTS:
            self.assertTrue(self.call('gateway-1', kind, began_at).served)
        self.assertEqual(
            {'desk', 'engine'},
            self.logged('gateway-1', events.Event.SERVICE_REACHABLE),
        )


class VerdictTest(PartitionTest):
    """Guards against a cut node that takes its own failure for crashes."""

    STREAMS = 12
    PROMPT = {'X_Prompt_Prefix': 'shared:10,own:5'}

    def _send(self, gateway: str) -> sites.Response:
        return self.site.send(
            gateway, 'POST', '/draft/1', b'prompt', **self.PROMPT
        )

    def test_streams_that_are_reset_at_a_cut_node_convict_no_prompt(self):
        for name in ('engine-1', 'engine-2'):
            self.site.set_behaviour(name, events=15, event_ms=100)
        with concurrent.futures.ThreadPoolExecutor(self.STREAMS) as pool:
            sent = [
                pool.submit(self._send, 'gateway-1')
                for _ in range(self.STREAMS)
            ]
            time.sleep(0.5)
            self.cut(partitionedgateway.Mode.RESET, 'gateway-1')
            concurrent.futures.wait(sent)
        time.sleep(2.0)
        for gateway in GATEWAYS:
            crashes = [
                line
                for line in self.site.log(gateway)
                if line.get('event') == events.Event.UPSTREAM_CRASHED.value
            ]
            self.assertEqual([], crashes, gateway)
            self.assertEqual(200, self._send(gateway).status)

    def test_engine_that_crashes_is_known_at_a_sound_node(self):
        for name in ('engine-1', 'engine-2'):
            self.site.set_behaviour(name, events=15, event_ms=100)
        with concurrent.futures.ThreadPoolExecutor(self.STREAMS) as pool:
            sent = [
                pool.submit(self._send, 'gateway-1')
                for _ in range(self.STREAMS)
            ]
            time.sleep(0.5)
            self.site.workers['engine-1'].kill()
            concurrent.futures.wait(sent)
        self.assertIn(
            events.Event.UPSTREAM_CRASHED.value,
            [line.get('event') for line in self.site.log('gateway-1')],
        )


class LostUpstreamsTest(PartitionTest):
    """Guards against nodes that take lost upstreams for a cut of their own."""

    def test_remaining_upstream_serves_all_gateways(self):
        for number in (3, 4):
            for service in ('desk', 'engine'):
                self.site.start_worker(f'{service}-{number}', service)
        self.site.wait_workers()
        self.site.wait_listed(8)
        self.play(0.5)
        for number in (2, 3, 4):
            for service in ('desk', 'engine'):
                self.site.workers[f'{service}-{number}'].kill()
        calls = self.play(3.0)
        failed = [call for call in calls if not call.served]
        message = f'{len(failed)} of {len(calls)}: {failed}'
        self.assertLess(len(failed), 0.05 * len(calls), message)
