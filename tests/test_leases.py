"""Leases under pauses, partitions, outages, lost answers and late writes."""

import asyncio
import types

from hypothesis import settings
from hypothesis import stateful
from hypothesis import strategies
import testtools

from radishcourse_model import ids
from radishcourse_node.controllers import leases
from radishcourse_platform import errors
from radishcourse_platform import leases as rows
from radishcourse_platform import table
from radishcourse_policy import clock as clocks
from radishcourse_policy import freshness
from radishcourse_policy import leases as policy
from radishcourse_standins import platform

LEASE_NAME = ids.LeaseName('upstreams/0')
NODE_NAMES = ['a', 'b', 'c']
NODES = strategies.sampled_from(NODE_NAMES)
FAST_CLOCK_RATE = 1.004


class Table:
    """The platform's table as seen by one node, with faults injected."""

    def __init__(self, world, name: str):
        self._world = world
        self._name = name
        self.cut = False
        self.lose_answers = False
        self.delay_writes = False
        self.stale = False

    def _check(self) -> None:
        if self.cut or self._world.down:
            raise errors.Unavailable(
                'the node is cut off or the platform is down'
            )

    async def read(self, key: str) -> table.Row | None:
        self._check()
        store = self._world.store
        row = store.rows.get(key)
        return store.previous.get(key, row) if self.stale else row

    async def transact(self, transaction) -> dict[str, int]:
        self._check()
        if self.delay_writes:
            self._world.late_writes.append(transaction)
            raise errors.ResponseLost('the write is still in flight')
        conflicts = self._world.store.conflicts(transaction)
        if conflicts:
            raise errors.Conflict(tuple(conflicts))
        versions = self._world.store.write(transaction)
        if self.lose_answers:
            raise errors.ResponseLost('the answer was lost')
        return versions


class Node:
    """A node with its own clock, which may run fast."""

    def __init__(self, world, name: str, start_number: int):
        self.clock = clocks.ManualClock(1000.0 * start_number)
        self.clock_rate = FAST_CLOCK_RATE if name == 'a' else 1.0
        self.paused = False
        self.table = Table(world, name)
        self.freshness = types.SimpleNamespace(view=freshness.View.CONFIRMED)
        self.leases = leases.Leases(
            types.SimpleNamespace(clock=self.clock),
            types.SimpleNamespace(node=ids.NodeId(name)),
            ids.Incarnation(f'{name}.{start_number}'),
            rows.LeaseRows(self.table),
            self.freshness,
            lambda: [LEASE_NAME],
            lambda: leases.Roster(list(NODE_NAMES), live=True),
        )


class LeaseMachine(stateful.RuleBasedStateMachine):
    """Three nodes that compete for one lease while faults are injected."""

    def __init__(self):
        super().__init__()
        self._runner = asyncio.Runner()
        self.store = platform.Store()
        self.down = False
        self.down_s = 0.0
        self.late_writes = []
        self.starts = 0
        self.epochs: dict[int, ids.Incarnation] = {}
        self.nodes = {name: self._start(name) for name in NODE_NAMES}

    def teardown(self):
        self._runner.close()

    def _start(self, name: str) -> Node:
        self.starts += 1
        return Node(self, name, self.starts)

    @stateful.rule(ticks=strategies.integers(1, 60))
    def run(self, ticks):
        for _ in range(ticks):
            self._advance(0.5)
            for node in self.nodes.values():
                if not node.paused:
                    self._runner.run(node.leases.tick())
            self.check()

    def _advance(self, seconds: float) -> None:
        self.down_s = self.down_s + seconds if self.down else 0.0
        for node in self.nodes.values():
            node.clock.advance(seconds * node.clock_rate)
            if not self.down or self.down_s <= freshness.MAX_CONFIRMATION_AGE_S:
                view = freshness.View.CONFIRMED
            else:
                view = freshness.View.OUTAGE
            node.freshness.view = freshness.View.STALE if node.cut else view

    @stateful.rule(name=NODES, paused=strategies.booleans())
    def set_paused(self, name, paused):
        self.nodes[name].paused = paused

    @stateful.rule(name=NODES)
    def restart(self, name):
        self.nodes[name] = self._start(name)

    @stateful.rule(name=NODES)
    def release(self, name):
        node = self.nodes[name]
        if not node.paused:
            self._runner.run(node.leases.release())
            self.nodes[name] = self._start(name)

    @stateful.rule(name=NODES, cut=strategies.booleans())
    def cut_off(self, name, cut):
        self.nodes[name].table.cut = cut

    @stateful.rule(name=NODES, lose=strategies.booleans())
    def lose_answers(self, name, lose):
        self.nodes[name].table.lose_answers = lose

    @stateful.rule(name=NODES, stale=strategies.booleans())
    def read_stale_rows(self, name, stale):
        self.nodes[name].table.stale = stale

    @stateful.rule(name=NODES, delayed=strategies.booleans())
    def delay_writes(self, name, delayed):
        self.nodes[name].table.delay_writes = delayed

    @stateful.rule()
    def deliver_late_writes(self):
        for transaction in self.late_writes:
            if not self.store.conflicts(transaction):
                self.store.write(transaction)
        self.late_writes = []

    @stateful.rule(down=strategies.booleans())
    def set_outage(self, down):
        self.down = down

    @stateful.invariant()
    def check(self):
        held = {
            name: epoch
            for name, node in self.nodes.items()
            if not node.paused
            and (epoch := node.leases.held_epoch(LEASE_NAME)) is not None
        }
        assert len(held) <= 1, held
        for name, epoch in held.items():
            own = self.nodes[name].leases._incarnation
            assert self.epochs.setdefault(epoch, own) == own, held
            assert epoch == max(self.epochs), (epoch, self.epochs)


Node.cut = property(lambda self: self.table.cut)


class LeaseTest(LeaseMachine.TestCase):
    """Guards against two holders at once, and against a reused epoch."""

    settings = settings(max_examples=60, stateful_step_count=30)


class LapseTest(testtools.TestCase):
    """Guards against leases that are never taken over or lapse unnoticed."""

    def setUp(self):
        super().setUp()
        self.machine = LeaseMachine()
        self.addCleanup(self.machine.teardown)
        self.machine.run(10)
        self.first = self._holder()

    def _holder(self) -> str | None:
        for name, node in self.machine.nodes.items():
            if (
                not node.paused
                and node.leases.held_epoch(LEASE_NAME) is not None
            ):
                return name
        return None

    def test_lease_of_a_dead_holder_is_taken_with_a_higher_epoch(self):
        self.machine.nodes[self.first].paused = True
        self.machine.run(40)
        second = self._holder()
        self.assertIsNotNone(second)
        self.assertNotEqual(self.first, second)
        self.assertEqual(
            2, self.machine.nodes[second].leases.held_epoch(LEASE_NAME)
        )

    def test_cut_off_holder_stops_before_another_node_acquires(self):
        for phase in range(24):
            machine = LeaseMachine()
            self.addCleanup(machine.teardown)
            machine.run(20 + phase)
            for node in machine.nodes.values():
                if node.leases.held_epoch(LEASE_NAME) is not None:
                    node.table.cut = True
            machine.run(50)
            self.assertEqual(2, max(machine.epochs))

    def test_paused_holder_finds_its_lease_lapsed_in_an_outage(self):
        node = self.machine.nodes[self.first]
        node.paused = True
        self.machine.run(40)
        self.machine.set_outage(True)
        self.machine.run(20)
        node.paused = False
        self.assertIsNone(node.leases.held_epoch(LEASE_NAME))
        self.machine.run(20)
        self.assertIsNone(node.leases.held_epoch(LEASE_NAME))

    def test_holder_keeps_its_lease_in_an_outage(self):
        self.machine.set_outage(True)
        self.machine.run(200)
        self.assertEqual(self.first, self._holder())
        self.machine.set_outage(False)
        self.machine.run(60)
        self.assertEqual(self.first, self._holder())
        self.assertEqual(
            1, self.machine.nodes[self.first].leases.held_epoch(LEASE_NAME)
        )

    def test_lapsed_lease_is_not_acquired_right_after_an_outage(self):
        self.machine.nodes[self.first].paused = True
        self.machine.set_outage(True)
        self.machine.run(60)
        self.machine.set_outage(False)
        self.machine.run(18)
        self.assertIsNone(self._holder())
        self.machine.run(30)
        self.assertIsNotNone(self._holder())

    def test_watchers_change_little_when_a_member_leaves(self):
        members = [ids.NodeId(f'n{index}') for index in range(570)]
        before = policy.preferred_members(LEASE_NAME, members)
        self.assertEqual(policy.WATCHERS, len(before))
        others = [item for item in members if item != before[0]]
        self.assertEqual(
            before[1:], policy.preferred_members(LEASE_NAME, others)[:2]
        )
