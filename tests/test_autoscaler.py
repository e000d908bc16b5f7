"""The orders of workers that the holder of the duty sends, with fakes."""

import random
import types

import anyio
import testtools

from radishcourse_gateway import autoscaler
from radishcourse_gateway import directory
from radishcourse_gateway import duties
from radishcourse_gateway import peerstate
from radishcourse_gateway import upstreams
from radishcourse_gateway import view as views
from radishcourse_model import ids
from radishcourse_node import events
from radishcourse_node import metrics
from radishcourse_platform import errors as platform_errors
from radishcourse_policy import clock as clocks
from radishcourse_policy import evenload
from radishcourse_wire.gen.peer import ttypes

SERVICE = ids.ServiceId('engine')
ZONES = (ids.ZoneId('zone-a'), ids.ZoneId('zone-b'))
SCALING = directory.Scaling(10, 23, 8.0)
SLOTS, NODES = 16, 4


class _Term(duties.Term):
    """A term that ends on demand."""

    def __init__(self, token: int):
        self.holder = ids.NodeId('front-1')
        self.token = token
        self.ended = False

    def check(self) -> None:
        if self.ended:
            raise duties.TermEnded(str(self.token))

    async def call(self, send, *arguments) -> None:
        self.check()
        await send(self.holder, self.token, *arguments, check=self.check)


class _ControlApi:
    """Records the orders that arrive, and fails as told."""

    def __init__(self):
        self.orders: list[tuple[int, str, int]] = []
        self.down = False
        self.lose = False
        self.delay_s = 0.0
        self.before_send = lambda: None

    async def set_capacity(self, holder, token, service, zone, count, check):
        del holder, service
        if self.down:
            raise platform_errors.Unavailable('down')
        await anyio.sleep(self.delay_s)
        self.before_send()
        check()
        self.orders.append((token, zone, count))
        if self.lose:
            raise platform_errors.ResponseLost('lost')

    def take(self) -> list[tuple[int, str, int]]:
        """Returns the orders since the last call."""
        orders, self.orders = self.orders, []
        return orders


class _Gateway:
    """What the autoscaler reads of a gateway."""

    def __init__(self):
        self.clock = clocks.ManualClock(100.0)
        self.environment = types.SimpleNamespace(clock=self.clock)
        service = directory.Service(SERVICE, scaling=SCALING)
        plain = directory.Service(ids.ServiceId('desk'))
        self.view = views.View(self.clock, None)
        self.view.directory = directory.Directory(
            1, services={SERVICE: service, plain.name: plain}
        )
        self.control_api = _ControlApi()
        self.metrics = metrics.Metrics()
        self.rollout = None
        self.rollouts = types.SimpleNamespace(find=lambda _: self.rollout)
        self.load = types.SimpleNamespace(reported_work=self.own_work)
        self.work = evenload.ReportSums(self.clock, lambda _: 1.0)
        self.peers = types.SimpleNamespace(
            alive=[], requests_of=self.work.requests_of
        )
        self.requests: dict[str, int] = {}
        for number in range(1, NODES):
            self.peers.alive.append(
                peerstate.Peer(
                    ids.NodeId(f'front-{number + 1}'),
                    ids.Incarnation('1'),
                    ZONES[0],
                    f'127.0.0.1:{number}',
                    100.0,
                )
            )

    def own_work(self) -> list[ttypes.UpstreamWork]:
        return [
            ttypes.UpstreamWork(name, count, 0, False)
            for name, count in self.requests.items()
        ]

    def list_workers(self, zone, count, version='v1') -> None:
        for number in range(count):
            name = ids.UpstreamId(f'{zone}-{version}-{number}')
            entry = upstreams.Upstream(
                name,
                SERVICE,
                f'10.0.0.1:{number + 1}',
                zone,
                ids.VersionId(version),
                SLOTS,
            )
            self.view.upstreams[name] = views.ListedUpstream(entry)

    def set_load(self, share: float) -> None:
        """Makes all nodes report an equal part of the work now."""
        self.requests = {
            name: round(share * SLOTS / NODES) for name in self.view.upstreams
        }
        for peer in self.peers.alive:
            self.report(peer)

    def report(self, peer: peerstate.Peer) -> None:
        """Makes a peer report its part of the work."""
        peer.reported_at = self.clock.now()
        work = {
            name: evenload.Work(count) for name, count in self.requests.items()
        }
        self.work.replace(peer.node, work)


class _Case(testtools.TestCase):
    """Steps through time with a gateway of four nodes and two zones."""

    def setUp(self):
        super().setUp()
        self.gateway = _Gateway()
        self.api = self.gateway.control_api
        for zone in ZONES:
            self.gateway.list_workers(zone, 12)
        self.gateway.set_load(0.75)
        self.autoscaler = autoscaler.Autoscaler(self.gateway)
        self.term = _Term(7)

    def step(self, seconds: int, term=None, fresh=True) -> list:
        """Performs steps for some seconds; returns the orders that arrived."""
        self.api.take()

        async def run():
            for _ in range(seconds):
                if fresh:
                    for peer in self.gateway.peers.alive:
                        self.gateway.report(peer)
                await self.autoscaler.step(term or self.term)
                self.gateway.clock.advance(1.0)

        anyio.run(run)
        return self.api.take()

    def adopt(self) -> None:
        self.assertEqual(
            [(7, 'zone-a', 12), (7, 'zone-b', 12)], sorted(self.step(12))
        )


class OrderTest(_Case):
    """Guards against orders that are missing, repeated or not the newest."""

    def test_number_is_sent_once_while_nothing_changes(self):
        self.adopt()
        self.assertEqual([], self.step(20))

    def test_load_of_all_nodes_counts(self):
        self.adopt()
        self.gateway.set_load(1.0)
        self.assertEqual(
            [(7, 'zone-a', 19), (7, 'zone-b', 19)], sorted(self.step(5))
        )

    def test_services_without_limits_are_not_scaled(self):
        self.gateway.view.directory = directory.Directory(
            2, services={SERVICE: directory.Service(SERVICE)}
        )
        self.assertEqual([], self.step(20))

    def test_removed_entries_and_leaving_workers_do_not_count(self):
        self.gateway.set_load(0.5)
        for number, listed in enumerate(self.gateway.view.upstreams.values()):
            if number % 12 == 0:
                listed.gone_at = 100.0
            if number % 12 == 1:
                listed.leaving = True
        self.assertEqual({10}, {order[2] for order in self.step(12)})

    def test_no_worker_leaves_during_a_roll_out(self):
        for zone in ZONES:
            self.gateway.list_workers(zone, 12, 'v2')
        self.gateway.set_load(0.1)
        self.assertEqual([], self.step(90))

    def test_zone_out_of_service_gets_no_order(self):
        self.gateway.view.disabled_zones.add(ZONES[0])
        orders = self.step(20)
        self.assertEqual({'zone-b'}, {zone for _, zone, _ in orders})

    def test_decisions_and_orders_are_logged_and_counted(self):
        logged = []
        self.patch(
            events,
            'log',
            lambda event, **fields: logged.append((event, fields)),
        )
        self.adopt()
        self.assertEqual(
            {12},
            {
                fields['count']
                for event, fields in logged
                if event is events.Event.SCALING_SENT
            },
        )
        self.assertIn('adopted', {fields['reason'] for _, fields in logged})
        self.assertLessEqual(len(logged), 8)
        self.assertIn(
            'radishcourse_scaling_orders_total{service="engine",'
            'zone="zone-a",outcome="accepted"} 1',
            self.gateway.metrics.render({}),
        )


class FailureTest(_Case):
    """Guards against lost orders, and against orders without the duty."""

    def test_order_whose_response_is_lost_is_repeated_alike(self):
        self.api.lose = True
        orders = self.step(13)
        self.assertGreater(len(orders), 2)
        self.assertEqual({12}, {count for _, _, count in orders})
        self.api.lose = False
        self.assertEqual(2, len(self.step(20)))
        self.assertEqual([], self.step(10))

    def test_newest_number_is_sent_when_the_interface_is_back(self):
        self.api.down = True
        self.step(12)
        self.gateway.set_load(1.0)
        self.step(12)
        self.api.down = False
        orders = self.step(10)
        self.assertEqual([(7, 'zone-a', 19), (7, 'zone-b', 19)], sorted(orders))

    def test_failing_calls_become_rare(self):
        calls = []

        async def set_capacity(*arguments, check):
            calls.append(arguments)
            raise platform_errors.Unavailable('down')

        self.api.set_capacity = set_capacity
        self.step(60)
        # 52 s of failures at up to 8 s, in two zones.
        self.assertLess(len(calls), 2 * 14)
        self.assertGreater(len(calls), 2 * 6)

    def test_new_holder_sends_the_number_again(self):
        self.adopt()
        orders = self.step(12, _Term(9))
        self.assertEqual([(9, 'zone-a', 12), (9, 'zone-b', 12)], sorted(orders))

    def test_new_holder_keeps_workers_that_boot(self):
        self.adopt()
        self.gateway.set_load(1.0)
        self.step(3)
        other = _Term(9)
        self.gateway.set_load(0.5)
        self.step(5, other)
        for zone in ZONES:
            self.gateway.list_workers(zone, 19)
        orders = self.step(8, other)
        self.assertEqual({19}, {count for _, _, count in orders})

    def test_nothing_is_sent_after_the_term(self):
        self.term.ended = True
        self.assertEqual([], self.step(20))

    def test_term_that_ends_before_the_send_sends_nothing(self):
        def end():
            self.term.ended = True

        self.api.before_send = end
        self.assertEqual([], self.step(20))

    def test_stale_load_holds(self):
        self.adopt()
        self.gateway.set_load(0.0)
        self.assertEqual([], self.step(90, fresh=False))

    def test_half_of_the_fleet_cut_off_holds(self):
        self.adopt()
        del self.gateway.peers.alive[1:]
        self.gateway.set_load(0.0)
        self.assertEqual([], self.step(90))

    def test_peer_that_never_reported_is_no_idle_one(self):
        # The clock of a machine that has just booted.
        self.gateway.clock.advance(-99.0)
        for peer in self.gateway.peers.alive:
            peer.reported_at, peer.work = 0.0, {}
        self.assertEqual([], self.step(20, fresh=False))

    def test_decisions_go_on_while_a_call_is_slow(self):
        self.step(7)
        self.api.delay_s = 2.5
        decided = []
        decide = self.autoscaler._decide

        def count() -> None:
            decided.append(self.gateway.clock.now())
            decide()

        self.autoscaler._decide = count
        self.step(3)
        self.assertGreaterEqual(len(decided), 5)

    def test_orders_of_two_zones_do_not_wait_for_each_other(self):
        fail = random.Random(1)

        async def set_capacity(holder, token, service, zone, count, check):
            if zone == ZONES[0]:
                raise platform_errors.ResponseLost(str(fail.random()))
            self.api.orders.append((token, zone, count))

        self.api.set_capacity = set_capacity
        self.assertEqual([(7, 'zone-b', 12)], self.step(20))
