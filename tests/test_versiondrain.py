"""Completion of roll-outs with work left on the old version, simulated."""

import types

import anyio
import hypothesis
from hypothesis import strategies
import testtools

from radishcourse_gateway import directory as directories
from radishcourse_gateway import interfaces
from radishcourse_gateway import rollouts
from radishcourse_gateway import targets
from radishcourse_gateway import upstreams
from radishcourse_gateway import versionwork
from radishcourse_gateway import view as views
from radishcourse_model import ids
from radishcourse_policy import answers
from radishcourse_policy import canary
from radishcourse_policy import clock as clocks
from radishcourse_policy import position as positions
from radishcourse_policy import versiondrain
from radishcourse_wire import codec
from radishcourse_wire.gen.peer import ttypes

SERVICE = ids.ServiceId('desk')
OLD, NEW = ids.VersionId('v1'), ids.VersionId('v2')
LIMIT_S = 16.0
EXPOSURE = 0.15
TIMEOUT_S = 4.0
RUNNING = canary.RolloutState.RUNNING
COMPLETED = canary.RolloutState.COMPLETED
ROLLED_BACK = canary.RolloutState.ROLLED_BACK
GOOD = {
    (canary.Arm.OLD, 'r'): canary.Tally(200, 0, 2),
    (canary.Arm.NEW, 'r'): canary.Tally(20, 0, 0),
}
DOUBTFUL = {**GOOD, (canary.Arm.NEW, 'r'): canary.Tally(20, 0, 4)}
MISSING = {**GOOD, (canary.Arm.NEW, 'r'): canary.Tally(2, 0, 0)}


def _route(kind: directories.RequestKind, **fields) -> directories.Route:
    shares = (directories.Share(SERVICE, 1.0),)
    return directories.Route(
        'r', 'host', '/r/', kind, shares, TIMEOUT_S, 0.4, **fields
    )


ORDER = _route(directories.RequestKind.NON_IDEMPOTENT)
STREAM = _route(directories.RequestKind.STREAM, resumable=True)


class _Peers:
    """The peers of a node of a simulated fleet, which hears no gossip.

    Args:
      fleet: All nodes by name.
      node: Name of the node.
    """

    def __init__(self, fleet: dict[str, '_Node'], node: str):
        self._fleet = fleet
        self._node = node
        self.server = self
        self.lost_count = 0
        self.handlers = {}
        self.incarnation = f'run of {node}'

    @property
    def alive(self) -> list:
        return [
            types.SimpleNamespace(
                node=name, incarnation=f'run of {name}', address=name
            )
            for name in self._fleet
            if name != self._node
        ]

    def register(self, kind, handler) -> None:
        self.handlers[kind] = handler

    async def try_call(self, peer, kind, message):
        receiver = self._fleet[peer.node]
        receiver.received += 1
        if receiver.is_unreachable:
            return None
        message = codec.decode(kind.request, codec.encode(message))
        return await receiver.peers.handlers[kind](None, message)


class _Node:
    """A node with a roll-out of which it has seen good answers."""

    def __init__(self, fleet, name: str, clock, route=ORDER):
        self.received = 0
        self._attempts = []
        self.is_unreachable = False
        self.present = {OLD: 2, NEW: 2}
        self.peers = _Peers(fleet, name)
        fleet[name] = self
        identity = positions.Position(0, 1)
        row = views.OrderRow(
            interfaces.RolloutOrder(SERVICE, NEW, LIMIT_S), identity, identity
        )
        bounds = types.SimpleNamespace(session_s=5.0, exposure_share=EXPOSURE)
        self.rollouts = rollouts.Rollouts(
            types.SimpleNamespace(
                environment=types.SimpleNamespace(clock=clock),
                current_settings=types.SimpleNamespace(
                    value=types.SimpleNamespace(node=name, bounds=bounds)
                ),
                view=types.SimpleNamespace(
                    orders={SERVICE: row},
                    versions=lambda service: self.present,
                    directory=types.SimpleNamespace(routes=(route,)),
                ),
                replica=None,
                peers=self.peers,
                store=types.SimpleNamespace(now_ms=lambda at: int(1000 * at)),
            )
        )
        self.rollout = self.rollouts.find(SERVICE)
        self.rollout.state, self.rollout.published = RUNNING, True
        self.rollout.tallies = dict(GOOD)

    @property
    def state(self) -> canary.RolloutState:
        return self.rollout.state

    def start(self, route=ORDER, **fields):
        """Starts an attempt on the old version; returns its context."""
        plan = targets.Plan(**fields)
        context = self.rollouts.work.count(route, plan, _upstream(OLD))
        context.__enter__()
        self._attempts.append(context)
        return context

    def report(self) -> ttypes.RolloutReport:
        [report] = self.rollouts.reports()
        return report

    def decide(self) -> canary.RolloutState:
        self.rollouts._decide(self.rollout)
        return self.state

    def push(self) -> None:
        anyio.run(self.rollouts._drain.report, self.rollout)


def _upstream(version: ids.VersionId) -> upstreams.Upstream:
    return upstreams.Upstream(
        ids.UpstreamId('u'), SERVICE, '10.0.0.1:1', ids.ZoneId('a'), version, 4
    )


class _DrainTest(testtools.TestCase):
    """Base of tests with two nodes, of which the first decides."""

    route = ORDER

    def setUp(self):
        super().setUp()
        self.clock = clocks.ManualClock(100.0)
        self.fleet: dict[str, _Node] = {}
        self.node = _Node(self.fleet, 'a', self.clock, self.route)
        self.other = _Node(self.fleet, 'b', self.clock, self.route)

    def _at(self, age_s: float) -> None:
        self.clock.advance(age_s - (self.clock.now() - 100.0))

    def _gossip(self) -> None:
        for sender, receiver in (
            (self.node, self.other),
            (self.other, self.node),
        ):
            receiver.rollouts.merge(
                sender.rollouts.reports(), sender.rollouts.statuses()
            )


class WaitTest(_DrainTest):
    """Guards against a completion that cuts off work at another node."""

    def test_waits_for_an_order_at_another_node_beyond_the_limit(self):
        order = self.other.start()
        for age_s in (15.4, 15.6, 16.2, 17.0):
            self._at(age_s)
            self._gossip()
            self.assertEqual(RUNNING, self.node.decide())
        order.__exit__(None, None, None)
        self._at(17.3)
        self._gossip()
        self.assertEqual(COMPLETED, self.node.decide())

    def test_waits_for_an_own_order_that_began_before_the_rollout(self):
        self.node.rollouts._by_service.clear()
        order = self.node.start()
        self.node.rollout = self.node.rollouts.find(SERVICE)
        self.node.rollout.state = RUNNING
        self.node.rollout.tallies = dict(GOOD)
        self._at(15.4)
        self._gossip()
        self.assertEqual(RUNNING, self.node.decide())
        order.__exit__(None, None, None)
        self.assertEqual(COMPLETED, self.node.decide())

    def test_waits_for_a_node_that_has_not_reported(self):
        self._at(15.4)
        self.assertEqual(RUNNING, self.node.decide())
        self._gossip()
        self.assertEqual(COMPLETED, self.node.decide())

    def test_report_from_before_the_last_move_does_not_count(self):
        self._at(14.9)
        self._gossip()
        self._at(15.4)
        self.assertEqual(RUNNING, self.node.decide())

    def test_does_not_wait_for_a_node_that_has_gone(self):
        self.other.start()
        self._at(15.4)
        self._gossip()
        del self.fleet['b']
        self.assertEqual(COMPLETED, self.node.decide())

    def test_node_that_has_lost_most_others_leaves_the_decision_to_them(self):
        del self.fleet['b']
        self._at(15.4)
        self.node.peers.lost_count = 2
        self.assertEqual(RUNNING, self.node.decide())
        self.node.peers.lost_count = 1
        self.assertEqual(COMPLETED, self.node.decide())

    def test_does_not_wait_longer_than_the_longest_request(self):
        self.other.start()
        moved_s = canary.moved_all_at(LIMIT_S, EXPOSURE)
        self._at(moved_s + TIMEOUT_S + canary.SETTLE_S - 0.1)
        self._gossip()
        self.assertEqual(RUNNING, self.node.decide())
        self._at(moved_s + TIMEOUT_S + canary.SETTLE_S + 0.1)
        self.assertEqual(COMPLETED, self.node.decide())

    def test_node_without_the_new_version_is_waited_for(self):
        # Its requests go to the old version.
        self.other.present = {OLD: 2}
        self._at(15.4)
        self._gossip()
        self.assertEqual(RUNNING, self.node.decide())

    def test_new_version_serves_all_while_the_rollout_waits(self):
        self.other.start()
        self._at(15.4)
        self._gossip()
        self.node.decide()
        self._at(17.0)
        for number in range(50):
            version = self.node.rollouts.version_for(
                SERVICE, f'session-{number}', ''
            )
            self.assertEqual(NEW, version)
        self.assertTrue(self.node.rollouts.retires(SERVICE, OLD))


class RepeatableTest(_DrainTest):
    """Guards against a good version completed late for work that goes on."""

    route = STREAM

    def test_streams_that_can_be_resumed_are_not_waited_for(self):
        self.other.start(STREAM)
        self._at(15.4)
        self._gossip()
        self.assertEqual(COMPLETED, self.node.decide())

    def test_node_that_has_not_reported_is_not_waited_for(self):
        self._at(15.4)
        self.assertEqual(COMPLETED, self.node.decide())

    def test_streams_without_event_ids_are_waited_for(self):
        self.other.start(STREAM, begun=True)
        self._at(15.4)
        self._gossip()
        self.assertEqual(RUNNING, self.node.decide())

    def test_only_what_can_be_repeated_counts_as_repeatable(self):
        known = answers.EventIds()
        known.last = b'3'
        body = _route(directories.RequestKind.IDEMPOTENT)
        for route, plan, repeatable in (
            (ORDER, targets.Plan(), False),
            (body, targets.Plan(), True),
            (body, targets.Plan(begun=True), False),
            (STREAM, targets.Plan(), True),
            (STREAM, targets.Plan(begun=True), False),
            (STREAM, targets.Plan(begun=True, event_ids=known), True),
        ):
            self.assertIs(repeatable, plan.is_repeatable(route), plan)
            work = versionwork.VersionWork()
            with work.count(route, plan, _upstream(OLD)):
                with work.count(route, plan, _upstream(NEW)):
                    self.assertEqual(
                        (1, int(not repeatable)), work.outside(SERVICE, NEW)
                    )
            self.assertEqual((0, 0), work.outside(SERVICE, NEW))


class DoubtTest(_DrainTest):
    """Guards against a bad version that stays as a roll-out waits."""

    def test_version_without_approval_is_rolled_back_at_the_limit(self):
        self.other.start()
        self.node.rollout.tallies = dict(MISSING)
        self.other.rollout.tallies = {}
        self._at(15.6)
        self._gossip()
        self.assertEqual(ROLLED_BACK, self.node.decide())

    def test_node_with_few_answers_follows_one_with_enough(self):
        self.other.start()
        self.node.rollout.tallies = dict(MISSING)
        self._at(15.0)
        self.other.decide()
        self.assertTrue(self.other.rollout.approved)
        self._gossip()
        self.other.rollout.tallies = {}
        self._at(15.6)
        self._gossip()
        self.assertEqual(RUNNING, self.node.decide())

    def test_approval_does_not_hide_doubt(self):
        self.other.start()
        self._at(15.0)
        self._gossip()
        self.node.decide()
        self.assertTrue(self.node.rollout.approved)
        self.node.rollout.tallies = dict(DOUBTFUL)
        self.other.rollout.tallies = {}
        self._at(15.6)
        self._gossip()
        self.assertEqual(ROLLED_BACK, self.node.decide())

    def test_regression_while_it_waits_rolls_back(self):
        self.other.start()
        self._at(15.6)
        self._gossip()
        self.node.decide()
        self._at(16.5)
        self.assertEqual(RUNNING, self.node.decide())
        self.node.rollout.tallies[canary.Arm.NEW, 'r'] = canary.Tally(20, 12)
        self.assertEqual(ROLLED_BACK, self.node.decide())

    def test_version_is_not_approved_before_the_ramp(self):
        self._at(12.0)
        self.node.decide()
        self.assertFalse(self.node.rollout.approved)

    def test_version_whose_upstreams_are_gone_is_rolled_back(self):
        self.other.start()
        self._at(15.0)
        self._gossip()
        self.node.decide()
        self.node.present = {OLD: 2}
        self._at(15.6)
        self.assertEqual(ROLLED_BACK, self.node.decide())

    @hypothesis.given(
        strategies.integers(0, 40),
        strategies.integers(0, 40),
        strategies.integers(0, 40),
        strategies.integers(0, 200),
        strategies.booleans(),
    )
    def test_no_rollout_waits_that_may_be_completed(
        self, total, bad, slow, old, approved
    ):
        hypothesis.assume(bad <= total and slow <= total)
        tallies = {
            (canary.Arm.NEW, 'r'): canary.Tally(total, bad, slow),
            (canary.Arm.OLD, 'r'): canary.Tally(old),
        }
        for undrained in (0, 1):
            waits = canary.may_wait(tallies, undrained, approved)
            completes = canary.may_complete(
                LIMIT_S - 0.5,
                LIMIT_S,
                EXPOSURE,
                0,
                tallies,
                undrained,
                approved,
            )
            self.assertFalse(waits and completes)
            if waits:
                self.assertTrue(approved and undrained)


class EarlierVersionTest(_DrainTest):
    """Guards against nodes of earlier versions that are misunderstood."""

    def _report_of_earlier_version(self) -> None:
        report = self.other.report()
        report.old_unrepeatable = report.old_closed = None
        encoded = codec.encode(report)
        self.node.rollouts.merge(
            [codec.decode(ttypes.RolloutReport, encoded)], []
        )

    def test_node_that_does_not_tell_is_waited_for_by_time(self):
        self._at(15.0)
        self._report_of_earlier_version()
        self._at(15.4)
        self.assertEqual(RUNNING, self.node.decide())
        self._at(15.75)
        self.assertEqual(COMPLETED, self.node.decide())

    def test_node_that_does_not_tell_is_waited_for_while_it_has_requests(self):
        order = self.other.start()
        self._at(15.75)
        self._report_of_earlier_version()
        self.assertEqual(RUNNING, self.node.decide())
        order.__exit__(None, None, None)
        self.clock.advance(0.1)
        self._report_of_earlier_version()
        self.assertEqual(COMPLETED, self.node.decide())

    def test_node_that_does_not_tell_gets_no_message_that_it_rejects(self):
        self._at(15.4)
        self._report_of_earlier_version()
        self.node.push()
        self.assertEqual(0, self.other.received)


class PushTest(testtools.TestCase):
    """Guards against late knowledge of the last request in a large fleet."""

    def setUp(self):
        super().setUp()
        self.clock = clocks.ManualClock(100.0)

    def _fleet(self, size: int) -> dict[str, _Node]:
        fleet: dict[str, _Node] = {}
        for number in range(size):
            _Node(fleet, f'node-{number}', self.clock)
        return fleet

    def test_two_nodes_learn_of_all_without_gossip(self):
        for size in (8, 77, 195):
            fleet = self._fleet(size)
            self.clock.advance(15.4)
            for node in fleet.values():
                node.push()
                node.push()
            complete = [
                node for node in fleet.values() if node.decide() is COMPLETED
            ]
            self.assertEqual(2, len(complete))
            received = [node.received for node in fleet.values()]
            self.assertEqual(2 * (size - 1), sum(received))
            self.assertEqual(size - 1, max(received))

    def test_node_tells_again_when_a_deciding_node_is_back(self):
        fleet = self._fleet(3)
        self.clock.advance(15.4)
        for node in fleet.values():
            node.is_unreachable = True
        for node in fleet.values():
            node.push()
        for node in fleet.values():
            node.is_unreachable = False
        for node in fleet.values():
            node.push()
        states = [node.decide() for node in fleet.values()]
        self.assertEqual(2, states.count(COMPLETED))

    def test_node_that_has_work_says_nothing(self):
        fleet = self._fleet(3)
        self.clock.advance(15.4)
        fleet['node-0'].start()
        fleet['node-0'].push()
        self.assertEqual(0, sum(node.received for node in fleet.values()))


class CountTest(testtools.TestCase):
    """Guards against nodes that are left out of the count."""

    def test_what_is_known_of_a_node_decides(self):
        work = versiondrain.NodeWork
        for known, takes, settled, expected in (
            (None, True, True, 1),
            (None, False, True, 0),
            (work(0, 0, True), True, False, 0),
            (work(9, 0, True), True, False, 0),
            (work(9, 1, True), True, True, 1),
            (work(9, 1, True), False, True, 1),
            (work(0, 0, False), True, True, 1),
            (work(0, 0, False), False, True, 0),
            (work(0, None, False), True, False, 1),
            (work(0, None, False), True, True, 0),
            (work(1, None, False), True, True, 1),
            (work(1, None, False), False, True, 0),
        ):
            count = versiondrain.count_undrained([known], takes, settled)
            self.assertEqual(expected, count, (known, takes, settled))
