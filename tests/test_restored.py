"""Replicas of a store that comes back from a copy, without processes."""

import types

import anyio
import hypothesis
from hypothesis import strategies
import testtools

from radishcourse_adapter import manifest
from radishcourse_gateway import feed
from radishcourse_gateway import records
from radishcourse_gateway import rollouts
from radishcourse_gateway import view as views
from radishcourse_model import ids
from radishcourse_platform import errors
from radishcourse_policy import canary
from radishcourse_policy import clock as clocks
from radishcourse_policy import position as positions
from tests import sitefiles

CONFIGURATION = records.Table.CONFIGURATION
UPSTREAMS = records.Table.UPSTREAMS
SERVICE = ids.ServiceId('engine')
POSITIONS = strategies.builds(
    positions.Position, strategies.integers(0, 3), strategies.integers(0, 5)
)


class PositionTest(testtools.TestCase):
    """Guards against versions that are compared across eras."""

    @hypothesis.given(POSITIONS, POSITIONS, POSITIONS)
    def test_order_is_total_and_transitive(self, first, second, third):
        self.assertEqual(
            1,
            first.is_after(second) + second.is_after(first) + (first == second),
        )
        if first.is_after(second) and second.is_after(third):
            self.assertTrue(first.is_after(third))

    @hypothesis.given(POSITIONS, POSITIONS)
    def test_later_era_replaces_whatever_the_version(self, first, second):
        if first.era > second.era:
            self.assertTrue(first.is_after(second))
        self.assertEqual(
            first.is_of_later_era(second), second.is_of_earlier_era(first)
        )
        if first.is_of_later_era(second):
            self.assertTrue(first.is_after(second))
            self.assertFalse(second.is_start)

    @hypothesis.given(POSITIONS, POSITIONS)
    def test_latest_is_one_of_the_two_and_not_replaced(self, first, second):
        latest = positions.latest(first, second)
        self.assertIn(latest, (first, second))
        self.assertFalse(first.is_after(latest) or second.is_after(latest))


class _Store:
    """A store that keeps its history, and can come back from a copy of it."""

    def __init__(self):
        self.era, self.log = 1, []

    @property
    def position(self) -> positions.Position:
        return positions.Position(self.era, len(self.log))

    def write(self, key: str, value, table=CONFIGURATION) -> None:
        self.log.append((table, key, value))

    def restore(self, lost: int) -> list[tuple]:
        """Loses the last writes and returns them."""
        kept = len(self.log) - lost
        self.log, lost_writes = self.log[:kept], self.log[kept:]
        self.era += 1
        return lost_writes

    def _records(self, table, since: int) -> list[records.Record]:
        rows = {}
        for number, (of_table, key, value) in enumerate(self.log, 1):
            if of_table is table and number > since:
                rows[key] = records.Record(
                    table,
                    key,
                    positions.Position(self.era, number),
                    value,
                    manifest.revision(table, key, value),
                )
        return list(rows.values())

    async def read(self, table):
        rows = self._records(table, 0)
        present = [row for row in rows if row.value is not None]
        return records.Changes(present, self.position, complete=True)

    async def follow(self, table, position, wait_s):
        del wait_s
        if position.version > len(self.log):
            raise errors.HistoryGone('feed')
        return records.Changes(
            self._records(table, position.version), self.position
        )


class _Node:
    """A replica and a view that follow a store."""

    def __init__(self, clock, store: _Store, table=CONFIGURATION):
        self.clock, self._store, self._table = clock, store, table
        self.replica = records.Replica(clock)
        self.view = views.View(clock, manifest.Decoder())
        self._feed = feed.Feed(
            clock,
            store,
            self.replica,
            self.view,
            table,
            lambda table: 1.0,
            lambda: 2.0,
        )

    def poll(self) -> None:
        """Polls the store once."""

        async def poll() -> None:
            position = self.replica.position(self._table)
            if position.is_start:
                changes = await self._store.read(self._table)
            else:
                changes = await self._feed._follow(position)
            self._feed._apply(changes, self.clock.now())

        anyio.run(poll)
        self.show_due()

    def pull(self, other: '_Node') -> None:
        """Takes the rows that another node has."""
        changes = other.replica.changes_after(
            self._table,
            self.replica.position(self._table),
            self.replica.revision(self._table),
        )
        self.view.apply(self.replica.apply(self._table, changes), 'peer')
        self.show_due()

    def show_due(self) -> None:
        """Applies the rows that were held back until now."""
        self.view.apply(self.replica.take_due(self._table), 'restored')

    def state(self) -> dict:
        """Returns the rows that the replica has, by key."""
        return {
            row.key: row.value
            for row in self.replica.rows(self._table)
            if row.value is not None
        }


class RestoreTest(testtools.TestCase):
    """Base of tests with a store that comes back from a copy."""

    def setUp(self):
        super().setUp()
        self.clock = clocks.ManualClock(100.0)
        self.store = _Store()
        self.nodes = [_Node(self.clock, self.store) for _ in range(2)]

    def _write_manifest(self, version: int) -> None:
        self.store.write('config', _encode(sitefiles.manifest(version)))

    def _poll(self) -> None:
        for node in self.nodes:
            node.poll()

    def _revisions(self) -> list[int]:
        return [node.view.directory.version for node in self.nodes]


def _encode(value) -> bytes:
    return manifest.msgspec.json.encode(value)


class ConfigurationTest(RestoreTest):
    """Guards against a configuration that goes back, or is missed."""

    def test_change_after_a_restore_is_in_force_at_the_next_poll(self):
        for version in (1, 4, 7):
            self._write_manifest(version)
            self._poll()
        self.store.restore(2)
        self._poll()
        self.assertEqual([7, 7], self._revisions())
        self._write_manifest(9)
        self._poll()
        self.assertEqual([9, 9], self._revisions())

    def test_change_is_seen_though_the_position_exists_again(self):
        for version in (1, 4, 7):
            self._write_manifest(version)
            self._poll()
        self.store.restore(2)
        self._write_manifest(9)
        for number in range(5):
            self.store.write(f'other/{number}', b'{}')
        self._poll()
        self.assertEqual([9, 9], self._revisions())

    def test_configuration_written_again_changes_nothing(self):
        for version in (1, 4):
            self._write_manifest(version)
            self._poll()
        for lost in self.store.restore(1):
            self.store.log.append(lost)
        self._poll()
        self.assertEqual([4, 4], self._revisions())

    def test_starting_node_takes_the_newer_configuration_of_its_peers(self):
        for version in (1, 4):
            self._write_manifest(version)
            self._poll()
        self.store.restore(1)
        self._poll()
        starting = _Node(self.clock, self.store)
        starting.poll()
        self.assertEqual(1, starting.view.directory.version)
        starting.pull(self.nodes[0])
        self.assertEqual(4, starting.view.directory.version)
        self._write_manifest(5)
        starting.poll()
        self.assertEqual(5, starting.view.directory.version)

    def test_node_that_missed_the_restore_brings_nothing_back(self):
        self._write_manifest(1)
        self.store.write('evacuate/zone-a', b'{}')
        self._poll()
        aware, unaware = self.nodes
        self.store.restore(1)
        aware.poll()
        self.clock.advance(records.HOLD_S[CONFIGURATION] + 0.1)
        aware.poll()
        self.assertEqual(set(), aware.view.disabled_zones)
        aware.pull(unaware)
        self.assertEqual(set(), aware.view.disabled_zones)
        self.assertNotIn('evacuate/zone-a', aware.state())
        unaware.pull(aware)
        self.assertEqual(aware.state(), unaware.state())

    def test_two_restores_within_a_day(self):
        for version in (1, 4, 7):
            self._write_manifest(version)
            self._poll()
        for lost, version in ((2, 9), (1, 11)):
            self.store.restore(lost)
            self._poll()
            self._write_manifest(version)
            self._poll()
            self.assertEqual([version] * 2, self._revisions())

    def test_reply_of_the_time_before_the_restore_changes_nothing(self):
        self._write_manifest(1)
        self.store.write('evacuate/zone-a', b'{}')
        self._poll()
        node = self.nodes[0]
        late = anyio.run(self.store.read, CONFIGURATION)
        self.store.restore(1)
        node.poll()
        self.assertEqual([], node.replica.apply(CONFIGURATION, late))
        self.assertEqual(2, node.replica.position(CONFIGURATION).era)


class EvacuationTest(RestoreTest):
    """Guards against a zone that is used while its order is missing."""

    KEY = 'evacuate/zone-a'

    def test_zone_stays_evacuated_until_the_order_is_written_again(self):
        self._write_manifest(1)
        self.store.write(self.KEY, b'{}')
        self._poll()
        [lost] = self.store.restore(1)
        self._poll()
        self.clock.advance(1.0)
        self.assertEqual({'zone-a'}, self.nodes[0].view.disabled_zones)
        self.store.write(lost[1], lost[2])
        self._poll()
        self.clock.advance(60.0)
        self._poll()
        self.assertEqual({'zone-a'}, self.nodes[0].view.disabled_zones)

    def test_order_that_is_not_written_again_ends(self):
        self._write_manifest(1)
        self.store.write(self.KEY, b'{}')
        self._poll()
        self.store.restore(1)
        self._poll()
        self.clock.advance(records.HOLD_S[CONFIGURATION] + 0.1)
        self._poll()
        self.assertEqual(set(), self.nodes[0].view.disabled_zones)

    def test_order_that_was_removed_does_not_come_back(self):
        self._write_manifest(1)
        self.store.write(self.KEY, b'{}')
        self._poll()
        self.store.write(self.KEY, None)
        self._poll()
        [lost] = self.store.restore(1)
        self._poll()
        self.assertEqual(set(), self.nodes[0].view.disabled_zones)
        self.store.write(lost[1], lost[2])
        self._poll()
        self.clock.advance(60.0)
        self._poll()
        self.assertEqual(set(), self.nodes[0].view.disabled_zones)

    def test_order_of_the_new_era_is_in_force_at_once(self):
        self._write_manifest(1)
        self._write_manifest(2)
        self._poll()
        self.store.restore(1)
        self.store.write(self.KEY, b'{}')
        self._poll()
        self.assertEqual({'zone-a'}, self.nodes[0].view.disabled_zones)


class UpstreamTest(testtools.TestCase):
    """Guards against upstreams that vanish, or are used after their removal."""

    def setUp(self):
        super().setUp()
        self.clock = clocks.ManualClock(100.0)
        self.store = _Store()
        self.node = _Node(self.clock, self.store, UPSTREAMS)

    def _write(self, name: str, state: str | None = 'ready', born: int = 1):
        entry = {
            'service': SERVICE,
            'address': f'10.0.0.{len(name)}:80',
            'zone': 'zone-a',
            'version': 'v1',
            'slots': 4,
            'state': state,
            'born': born,
        }
        value = None if state is None else _encode(entry)
        self.store.write(name, value, UPSTREAMS)

    def _usable(self) -> set[str]:
        return {
            item.upstream.upstream_id for item in self.node.view.usable(SERVICE)
        }

    def test_upstream_that_is_missing_in_the_copy_serves_until_it_is_back(self):
        self._write('a')
        self._write('bb')
        self.node.poll()
        [lost] = self.store.restore(1)
        self.node.poll()
        self.clock.advance(1.5)
        self.node.poll()
        self.assertEqual({'a', 'bb'}, self._usable())
        self.store.write(lost[1], lost[2], UPSTREAMS)
        self.node.poll()
        self.clock.advance(60.0)
        self.node.poll()
        self.assertEqual({'a', 'bb'}, self._usable())

    def test_upstream_that_is_still_missing_after_two_seconds_is_gone(self):
        self._write('a')
        self._write('bb')
        self.node.poll()
        self.store.restore(1)
        self.node.poll()
        self.clock.advance(2.0)
        self.node.poll()
        self.assertEqual({'a'}, self._usable())

    def test_removed_upstream_is_not_used_while_the_copy_lists_it(self):
        self._write('a')
        self._write('bb')
        self.node.poll()
        self._write('bb', None)
        self.node.poll()
        self.store.restore(1)
        for _ in range(4):
            self.node.poll()
            self.assertEqual({'a'}, self._usable())
            self.clock.advance(1.0)

    def test_draining_upstream_stays_so_while_the_copy_has_it_ready(self):
        self._write('a')
        self._write('bb')
        self._write('bb', 'draining')
        self.node.poll()
        self.store.restore(1)
        self.node.poll()
        self.clock.advance(1.5)
        self.node.poll()
        self.assertEqual({'a'}, self._usable())

    def test_new_run_of_an_upstream_is_used_at_once(self):
        self._write('a')
        self.node.poll()
        self.store.restore(0)
        self._write('bb')
        self.node.poll()
        self.assertEqual({'a', 'bb'}, self._usable())


class OrderTest(RestoreTest):
    """Guards against a roll-out that starts again as its order is rewritten."""

    KEY = 'rollout/engine'

    def setUp(self):
        super().setUp()
        self._write_manifest(1)
        self._order('v2')
        self._poll()
        self.rollouts = [self._make(node) for node in self.nodes]

    def _order(self, version: str) -> None:
        order = {'service': SERVICE, 'to': version, 'withinS': 20.0}
        self.store.write(self.KEY, _encode(order))

    def _make(self, node: _Node) -> rollouts.Rollouts:
        settings = types.SimpleNamespace(
            bounds=types.SimpleNamespace(session_s=5.0, exposure_share=0.15)
        )
        server = types.SimpleNamespace(register=lambda *_: None)
        return rollouts.Rollouts(
            types.SimpleNamespace(
                environment=types.SimpleNamespace(clock=self.clock),
                current_settings=types.SimpleNamespace(value=settings),
                view=node.view,
                replica=node.replica,
                peers=types.SimpleNamespace(
                    server=server, incarnation='node', alive=[]
                ),
                store=types.SimpleNamespace(now_ms=lambda at: int(1000 * at)),
            )
        )

    def _roll_back(self, node: int = 0):
        rollout = self.rollouts[node].find(SERVICE)
        rollout.state, rollout.published = (
            canary.RolloutState.ROLLED_BACK,
            True,
        )
        return rollout

    def test_order_written_again_is_the_same(self):
        rollout = self._roll_back()
        [lost] = self.store.restore(1)
        self._poll()
        self.assertIs(rollout, self.rollouts[0].find(SERVICE))
        self.store.write('other', b'{}')
        self.store.write(lost[1], lost[2])
        self._poll()
        self.assertIs(rollout, self.rollouts[0].find(SERVICE))
        self.assertEqual(canary.RolloutState.ROLLED_BACK, rollout.state)

    def test_order_written_again_late_is_the_same(self):
        rollout = self._roll_back()
        [lost] = self.store.restore(1)
        self._poll()
        self.clock.advance(records.HOLD_S[CONFIGURATION] + 0.1)
        self._poll()
        self.assertIsNone(self.rollouts[0].find(SERVICE))
        self.store.write('other', b'{}')
        self.store.write(lost[1], lost[2])
        self._poll()
        self.assertIs(rollout, self.rollouts[0].find(SERVICE))

    def test_order_written_again_within_an_era_is_a_new_one(self):
        rollout = self._roll_back()
        self._order('v2')
        self._poll()
        self.assertIsNot(rollout, self.rollouts[0].find(SERVICE))

    def test_other_order_after_a_restore_is_a_new_one(self):
        rollout = self._roll_back()
        self.store.restore(1)
        self._order('v3')
        self._poll()
        self.clock.advance(records.HOLD_S[CONFIGURATION] + 0.1)
        self._poll()
        self.assertIsNot(rollout, self.rollouts[0].find(SERVICE))

    def test_state_is_published_again_after_a_restore(self):
        rollout = self._roll_back()
        self.rollouts[0]._note_restore()
        self.store.restore(0)
        self._poll()
        self.rollouts[0]._note_restore()
        self.assertFalse(rollout.published)
        self.assertEqual(canary.RolloutState.ROLLED_BACK, rollout.state)

    def test_starting_node_learns_from_a_peer_that_an_order_is_not_new(self):
        rollout = self._roll_back()
        [lost] = self.store.restore(1)
        self.store.write('other', b'{}')
        self.store.write(lost[1], lost[2])
        self._poll()
        starting = _Node(self.clock, self.store)
        starting.poll()
        own = self._make(starting)
        self.assertNotEqual(rollout.identity, own.find(SERVICE).identity)
        own.find(SERVICE).state = canary.RolloutState.RUNNING
        own.merge([], self.rollouts[0].statuses())
        found = own.find(SERVICE)
        self.assertEqual(rollout.identity, found.identity)
        self.assertEqual(canary.RolloutState.ROLLED_BACK, found.state)

    def test_status_of_the_era_before_is_about_the_order_written_again(self):
        [lost] = self.store.restore(1)
        self.store.write(lost[1], lost[2])
        starting = _Node(self.clock, self.store)
        starting.poll()
        own = self._make(starting)
        status = canary.Status(
            SERVICE,
            ids.VersionId('v2'),
            canary.RolloutState.ROLLED_BACK,
            positions.Position(1, 2),
        )
        rollout = own.find(SERVICE)
        self.assertTrue(own._identify(rollout, status.to_version, status.order))
        self.assertIs(rollout, own.find(SERVICE))


_WRITES = strategies.tuples(
    strategies.sampled_from('abc'),
    strategies.none() | strategies.binary(max_size=2),
)
_STEPS = strategies.lists(
    strategies.one_of(
        _WRITES,
        strategies.integers(0, 6),
        strategies.sampled_from(('poll 0', 'poll 1', 'pull 0', 'pull 1')),
    ),
    max_size=30,
)


class HistoryTest(testtools.TestCase):
    """Guards against replicas that differ after any order of restores."""

    @hypothesis.given(_STEPS)
    def test_replicas_have_the_rows_of_the_store_in_the_end(self, steps):
        clock, store = clocks.ManualClock(100.0), _Store()
        nodes = [_Node(clock, store) for _ in range(2)]
        known = [positions.START, positions.START]
        for step in steps:
            if isinstance(step, tuple):
                store.write(*step)
            elif isinstance(step, int):
                store.restore(min(step, len(store.log)))
            else:
                kind, number = step.split()
                node = nodes[int(number)]
                if kind == 'poll':
                    node.poll()
                else:
                    node.pull(nodes[1 - int(number)])
            clock.advance(0.5)
            for number, node in enumerate(nodes):
                position = node.replica.position(CONFIGURATION)
                self.assertFalse(known[number].is_after(position))
                known[number] = position
        store.write('end', b'x')
        nodes[0].poll()
        nodes[1].pull(nodes[0])
        rows = anyio.run(store.read, CONFIGURATION).records
        expected = {row.key: row.value for row in rows}
        for node in nodes:
            self.assertEqual(expected, node.state())
