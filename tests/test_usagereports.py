"""Usage reports under killed holders, lost responses and restored stores."""

import itertools
import random
import types

import anyio
from hypothesis import settings
from hypothesis import stateful
from hypothesis import strategies
import testtools

from radishcourse_gateway import duties
from radishcourse_gateway import interfaces
from radishcourse_gateway import peerstate
from radishcourse_gateway import settings as gateway_settings
from radishcourse_gateway import usagereports
from radishcourse_platform import errors
from radishcourse_policy import clock as clocks
from radishcourse_policy import position as positions
from radishcourse_policy import usagewindows
from radishcourse_standins import dutyrules
from radishcourse_wire import errors as wire_errors

WINDOW_S = 5.0
START_S = 1_000_000.0
NODE_NAMES = ['a', 'b', 'c']
NODES = strategies.sampled_from(NODE_NAMES)
ORGANISATIONS = ('first', 'second')


class Store:
    """Rows with versions, copies of the past, and late writes."""

    def __init__(self):
        self.era = 1
        self.version = 0
        self.rows: dict[tuple, tuple[int, bytes]] = {}
        self.down = False
        self.answers_lost = False
        self.writes_late = False
        self.late: list[tuple] = []
        self.calls: list[str] = []
        self._copies: list[tuple[int, dict]] = []

    async def read_row(self, table: str, key: str) -> interfaces.StoreRow:
        self.calls.append('read')
        if self.down:
            raise errors.Unavailable('down')
        version, value = self.rows.get((table, key), (0, None))
        position = positions.Position(self.era, version)
        return interfaces.StoreRow(position, value)

    async def write_rows(self, expected, writes, removals=()):
        self.calls.append('write')
        if self.down:
            raise errors.Unavailable('down')
        if self.writes_late:
            self.late.append((expected, writes, list(removals)))
            raise errors.ResponseLost('late')
        position = self.apply(expected, writes, removals)
        if self.answers_lost:
            raise errors.ResponseLost('lost')
        if position is None:
            raise errors.Conflict(())
        return position

    def apply(self, expected, writes, removals):
        for key, version in expected.items():
            if self.rows.get(tuple(key), (0, None))[0] != version:
                return None
        self._copies.append((self.version, dict(self.rows)))
        self.version += 1
        for key, value in writes.items():
            self.rows[tuple(key)] = (self.version, value)
        for key in removals:
            del self.rows[tuple(key)]
        return positions.Position(self.era, self.version)

    def restore(self, steps: int) -> None:
        """Comes back from a copy made before the last writes."""
        if self._copies:
            index = max(0, len(self._copies) - steps)
            self.version, self.rows = self._copies[index]
            del self._copies[index:]
        self.era += 1


class ControlApi:
    """The second interface; judges the reports that it takes."""

    def __init__(self):
        self.rules = dutyrules.Rules(3.0)
        self.refuses = False
        self.answers_lost = False

    async def report_usage(self, holder, token, window, counts, check=None):
        if check is not None:
            check()
        if self.refuses:
            raise errors.Unavailable('refused')
        self.rules.note_report(window, dict(counts))
        if self.answers_lost:
            raise errors.ResponseLost('lost')


class Term:
    """A term of a node that ends when the world says so."""

    def __init__(self, holder: str, token: int):
        self.holder = holder
        self.token = token
        self.ended = False

    def check(self) -> None:
        if self.ended:
            raise duties.TermEnded('ended')

    async def call(self, send, *arguments) -> None:
        await send(self.holder, self.token, *arguments, check=self.check)


class World:
    """Nodes that count, and those of them that report."""

    def __init__(self):
        self.clock = clocks.ManualClock(START_S)
        self.store = Store()
        self.api = ControlApi()
        self.holder = ''
        self.cut: set[frozenset] = set()
        # Pairs of nodes that do not know that the other one is alive.
        self.unheard: set[frozenset] = set()
        self.dead: set[str] = set()
        self.counted: dict[int, dict[str, int]] = {}
        self._tokens = itertools.count(1)
        self._runs = itertools.count(1)
        self.terms: dict[str, Term] = {}
        self.nodes: dict[str, usagereports.UsageReports] = {}
        self.runs: dict[str, str] = {}
        for name in NODE_NAMES:
            self.start(name)

    def start(self, name: str) -> None:
        """Starts a node's process, without what it knew."""
        self.runs[name] = f'run-{next(self._runs)}'
        self.terms.pop(name, None)
        self.dead.discard(name)
        bounds = gateway_settings.Bounds(usage_window_s=WINDOW_S)
        gateway = types.SimpleNamespace(
            environment=types.SimpleNamespace(
                clock=self.clock, random=random.Random(1)
            ),
            store=self.store,
            control_api=self.api,
            current_settings=types.SimpleNamespace(
                value=types.SimpleNamespace(node=name, bounds=bounds)
            ),
            peers=_Peers(self, name),
            duties=types.SimpleNamespace(
                true_time=self.clock.now, keeper=lambda _: _Keeper(self, name)
            ),
        )
        self.nodes[name] = usagereports.UsageReports(gateway)

    def peers(self, name: str) -> list[peerstate.Peer]:
        """Other live nodes."""
        return [
            peerstate.Peer(node, run, 'zone', node, 0.0)
            for node, run in self.runs.items()
            if node != name and node not in self.dead
        ]

    def heard(self, name: str) -> list[peerstate.Peer]:
        """Other nodes that a node knows to be alive."""
        return [
            peer
            for peer in self.peers(name)
            if frozenset((name, peer.node)) not in self.unheard
        ]

    def count(self, name: str, organisation='first', requests=1) -> None:
        for _ in range(requests):
            request = types.SimpleNamespace(
                organisation=types.SimpleNamespace(name=organisation)
            )
            plan = types.SimpleNamespace(metered=False)
            self.nodes[name].note_run(request, plan)
        window = int(self.clock.now() // WINDOW_S)
        counts = self.counted.setdefault(window, {})
        counts[organisation] = counts.get(organisation, 0) + requests

    def push(self, names=NODE_NAMES) -> None:
        """Lets live nodes push what they know."""

        async def push():
            for name, node in self.nodes.items():
                if name in names and name not in self.dead:
                    node._tidy()
                    await node._push_due(last=True)

        anyio.run(push)

    def acquire(self, name: str) -> None:
        """Makes a node the holder; others push to it before it acts."""
        if name in self.dead:
            return
        self.holder = name
        self.terms[name] = Term(name, next(self._tokens))
        self.push()

    def step(self, name: str) -> None:
        """Lets a node act if it believes that it holds the duty."""
        term = self.terms.get(name)
        if term is None or name in self.dead:
            return

        async def step():
            try:
                await self.nodes[name].step(term)
            except (errors.PlatformError, duties.TermEnded):
                return

        anyio.run(step)

    def run(self, seconds: float) -> None:
        """Lets time pass with pushes and steps."""
        end = self.clock.now() + seconds
        while self.clock.now() < end:
            self.clock.advance(0.5)
            self.push()
            for name in NODE_NAMES:
                self.step(name)

    @property
    def reported(self) -> dict[int, dict[str, int]]:
        return self.api.rules.windows


class _Peers:
    """The peers of one node; calls reach live nodes at once."""

    def __init__(self, world: World, name: str):
        self._world = world
        self._name = name
        self.incarnation = world.runs[name]
        self.server = types.SimpleNamespace(register=lambda *_: None)

    @property
    def alive(self) -> list[peerstate.Peer]:
        return self._world.heard(self._name)

    async def call(self, peer, kind, message, timeout_s):
        del kind, timeout_s
        link = frozenset((self._name, peer.node))
        if peer.node in self._world.dead or link in self._world.cut:
            raise wire_errors.Unreachable(peer.node)
        sender = types.SimpleNamespace(node=self._name)
        return await self._world.nodes[peer.node]._answer_push(sender, message)


class _Keeper:
    def __init__(self, world: World, name: str):
        self.candidates = world.heard(name)
        self.holder_peer = next(
            (peer for peer in world.peers(name) if peer.node == world.holder),
            None,
        )


class ReportMachine(stateful.RuleBasedStateMachine):
    """Guards against two reports of a window with different counts.

    Also where two nodes believe that they hold the duty, which leases prevent.
    """

    def __init__(self):
        super().__init__()
        self.world = World()
        self.world.acquire('a')

    @stateful.rule(
        counting=strategies.sets(NODES),
        pushing=strategies.sets(NODES),
        stepping=strategies.permutations(NODE_NAMES),
        seconds=strategies.sampled_from([1.0, 5.0, 5.0, 9.0, 40.0]),
    )
    def serve(self, counting, pushing, stepping, seconds):
        # Holders that know of different nodes' counts act one after the other.
        for node in sorted(counting - self.world.dead):
            self.world.count(node, 'first', 3)
        self.world.clock.advance(seconds)
        self.world.push(pushing)
        for node in stepping:
            self.world.step(node)

    @stateful.rule(node=NODES)
    def acquire(self, node):
        self.world.acquire(node)

    @stateful.rule(node=NODES)
    def step(self, node):
        self.world.step(node)

    @stateful.rule(node=NODES)
    def kill(self, node):
        # What a dead node knew is with its deputy, which passes it on before
        # another node dies.
        self.world.dead = {node}
        self.world.terms.pop(node, None)
        if self.world.holder == node:
            self.world.holder = ''
        self.world.push()

    @stateful.rule()
    def start_dead(self):
        for node in list(self.world.dead):
            self.world.start(node)

    @stateful.rule(
        down=strategies.booleans(),
        lost=strategies.booleans(),
        late=strategies.booleans(),
    )
    def fail_store(self, down, lost, late):
        store = self.world.store
        store.down, store.answers_lost, store.writes_late = down, lost, late

    @stateful.rule(index=strategies.integers(0, 9))
    def land_late_write(self, index):
        store = self.world.store
        if store.late:
            store.apply(*store.late.pop(index % len(store.late)))

    @stateful.rule(steps=strategies.integers(1, 6))
    def restore(self, steps):
        # The terms of all nodes end; others begin a lease later.
        self.world.terms.clear()
        self.world.store.restore(steps)

    @stateful.rule(refuses=strategies.booleans(), lost=strategies.booleans())
    def fail_api(self, refuses, lost):
        self.world.api.refuses, self.world.api.answers_lost = refuses, lost

    @stateful.invariant()
    def no_rule_is_broken(self):
        assert not self.world.api.rules.broken, self.world.api.rules.broken


ReportMachine.TestCase.settings = settings(
    max_examples=150, stateful_step_count=50
)
InterleavingTest = ReportMachine.TestCase


class ReportTest(testtools.TestCase):
    """Guards against reports that are wrong, late or missing."""

    def setUp(self):
        super().setUp()
        self.world = World()
        self.world.acquire('a')

    def _count_everywhere(self) -> int:
        for name in NODE_NAMES:
            self.world.count(name, 'first', 4)
            self.world.count(name, 'second', 1)
        return int(self.world.clock.now() // WINDOW_S)

    def test_all_nodes_are_counted(self):
        window = self._count_everywhere()
        self.world.run(WINDOW_S + 1)
        self.assertEqual(
            {'first': 12, 'second': 3}, self.world.reported[window]
        )

    def test_window_without_requests_is_reported(self):
        window = self._count_everywhere()
        self.world.run(3 * WINDOW_S)
        self.assertEqual({}, self.world.reported[window + 1])

    def test_killed_holder_loses_nothing_that_its_deputy_has(self):
        window = self._count_everywhere()
        self.world.push()
        self.world.dead = {'a'}
        self.world.acquire('c')
        self.world.run(WINDOW_S + 5)
        self.assertEqual(
            {'first': 12, 'second': 3}, self.world.reported[window]
        )

    def test_killed_node_loses_only_what_it_has_not_pushed(self):
        window = self._count_everywhere()
        self.world.push()
        self.world.count('c', 'first', 2)
        self.world.dead = {'c'}
        self.world.run(WINDOW_S + 5)
        self.assertEqual(
            {'first': 12, 'second': 3}, self.world.reported[window]
        )

    def test_holder_killed_before_its_send_is_followed_by_the_same_report(self):
        window = self._count_everywhere()
        self.world.api.refuses = True
        self.world.run(WINDOW_S + 1)
        self.assertNotIn(window, self.world.reported)
        self.world.dead = {'a'}
        self.world.api.refuses = False
        self.world.acquire('b')
        self.world.run(0.5)
        self.assertEqual(
            {'first': 12, 'second': 3}, self.world.reported[window]
        )

    def test_report_is_sent_again_after_a_lost_response(self):
        window = self._count_everywhere()
        self.world.api.answers_lost = True
        self.world.run(WINDOW_S + 1)
        self.world.count('a', 'first', 7)
        self.world.api.answers_lost = False
        self.world.run(WINDOW_S)
        self.assertIn(window, self.world.reported)
        self.assertEqual([], self.world.api.rules.broken)

    def test_lost_response_of_the_store_is_resolved_by_reading(self):
        window = self._count_everywhere()
        self.world.store.answers_lost = True
        self.world.run(WINDOW_S + 1)
        self.world.store.answers_lost = False
        self.world.run(0.5)
        self.assertEqual(
            {'first': 12, 'second': 3}, self.world.reported[window]
        )

    def test_reports_wait_while_the_store_is_down(self):
        window = self._count_everywhere()
        self.world.store.down = True
        self.world.run(4 * WINDOW_S)
        self.assertEqual({}, self.world.reported)
        self.world.store.down = False
        self.world.run(0.5)
        self.assertEqual(
            {'first': 12, 'second': 3}, self.world.reported[window]
        )
        self.assertIn(window + 3, self.world.reported)

    def _close_without_c(self) -> int:
        """Lets a report a window without the counts of c; returns it."""
        self.world.run(WINDOW_S + 1)
        self.world.cut = {frozenset('ac'), frozenset('bc')}
        window = self._count_everywhere()
        self.world.push()
        self.world.clock.advance(WINDOW_S + 3)
        self.world.step('a')
        self.assertIn(window, self.world.reported)
        return window

    def test_restored_store_leads_to_the_same_report(self):
        # Only the deputy b, told before the report was sent, knows of it.
        window = self._close_without_c()
        self.world.dead = {'a'}
        self.world.store.restore(1)
        self.world.cut.clear()
        self.world.acquire('b')
        self.world.run(WINDOW_S + 5)
        self.assertEqual([], self.world.api.rules.broken)
        self.assertIn(window + 1, self.world.reported)
        row = self.world.store.rows[('usage', str(window))][1]
        self.assertIn(b'"first":8', row)

    def test_window_whose_record_is_lost_is_not_reported_anew(self):
        # Another report might have other counts than the one that was sent.
        window = self._close_without_c()
        # c learns from the holder that the window is closed, not its counts.
        self.world.cut = {frozenset('bc')}
        self.world.push()
        self.world.cut.clear()
        self.world.store.restore(1)
        self.world.start('a')
        self.world.start('b')
        self.world.api.rules.windows.clear()
        self.world.acquire('b')
        self.world.run(WINDOW_S + 5)
        self.assertNotIn(window, self.world.reported)
        self.assertIn(window + 1, self.world.reported)

    def test_counts_of_a_node_cut_off_from_the_holder_come_by_the_deputy(self):
        # The deputy of holder a is b, the first of the others.
        self.world.cut = {frozenset('ac')}
        window = self._count_everywhere()
        self.world.run(WINDOW_S + 1)
        self.assertEqual(
            {'first': 12, 'second': 3}, self.world.reported[window]
        )

    def test_node_that_the_holder_does_not_hear_of_is_counted(self):
        # In a large fleet a node knows of a part of the others that they live.
        self.world.unheard = {frozenset('ac')}
        self._count_everywhere()
        self.world.push()
        self.world.clock.advance(1)
        window = self._count_everywhere()
        self.world.clock.advance(WINDOW_S)
        self.world.push(['a', 'b'])
        self.world.step('a')
        self.assertNotIn(window, self.world.reported)
        self.world.push()
        self.world.step('a')
        self.assertEqual(
            {'first': 24, 'second': 6}, self.world.reported[window]
        )

    def test_silent_node_does_not_keep_a_window_open(self):
        self.world.cut = {frozenset('ac'), frozenset('bc')}
        window = self._count_everywhere()
        self.world.run(WINDOW_S + 2)
        self.assertNotIn(window, self.world.reported)
        self.world.run(1.5)
        self.assertEqual({'first': 8, 'second': 2}, self.world.reported[window])

    def test_restarted_fleet_goes_on_where_it_stopped(self):
        window = self._count_everywhere()
        self.world.run(WINDOW_S + 1)
        for name in NODE_NAMES:
            self.world.start(name)
        self.world.clock.advance(2 * WINDOW_S)
        self.world.acquire('c')
        self.world.run(5)
        expected = {window + number for number in range(4)}
        self.assertEqual(expected, set(self.world.reported))
        self.assertEqual([], self.world.api.rules.broken)

    def test_ended_term_sends_nothing(self):
        self._count_everywhere()
        self.world.clock.advance(WINDOW_S + 1)
        self.world.push()
        self.world.terms['a'].ended = True
        self.world.step('a')
        self.assertEqual({}, self.world.reported)

    def test_node_that_ends_pushes_its_last_requests(self):
        window = self._count_everywhere()
        anyio.run(self.world.nodes['c'].finish)
        self.world.dead = {'c'}
        self.world.run(WINDOW_S + 1)
        self.assertEqual(
            {'first': 12, 'second': 3}, self.world.reported[window]
        )

    def test_one_write_a_window(self):
        """Guards against store calls that are paid for."""
        self.world.run(2 * WINDOW_S)
        self.world.store.calls.clear()
        self.world.run(20 * WINDOW_S)
        self.assertEqual(['write'] * 20, self.world.store.calls)

    def test_old_rows_are_removed(self):
        self.world.run(100 * WINDOW_S)
        kept = usagewindows.kept_windows(WINDOW_S)
        self.assertLess(len(self.world.store.rows), 2 * kept + 4)

    def test_request_counts_once(self):
        # Retries, continuations and runs on larger models share a plan.
        plan = types.SimpleNamespace(metered=False)
        organisation = types.SimpleNamespace(name='first')
        request = types.SimpleNamespace(organisation=organisation)
        for _ in range(3):
            self.world.nodes['b'].note_run(request, plan)
        window = int(START_S // WINDOW_S)
        self.world.run(WINDOW_S + 1)
        self.assertEqual({'first': 1}, self.world.reported[window])

    def test_anonymous_requests_are_not_counted(self):
        request = types.SimpleNamespace(organisation=None)
        plan = types.SimpleNamespace(metered=False)
        self.world.nodes['b'].note_run(request, plan)
        self.world.run(WINDOW_S + 1)
        self.assertEqual({}, self.world.reported[int(START_S // WINDOW_S)])
