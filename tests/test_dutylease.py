"""Leases of duties: pauses, cuts, lost answers, late writes and restores."""

import random

from hypothesis import settings
from hypothesis import stateful
from hypothesis import strategies
import testtools

from radishcourse_policy import dutylease
from radishcourse_policy import position as positions
from radishcourse_standins import dutyrules

LEASE_S = 3.0
NODE_NAMES = ['a', 'b', 'c', 'd', 'e']
NODES = strategies.sampled_from(NODE_NAMES)
TICK_S = 0.1


class Store:
    """A store with one row, copies of its past, and late writes."""

    def __init__(self):
        self.era = 1
        self.version = 0
        self.row = dutylease.Row(positions.Position(1, 0))
        self.down = False
        self.late: list[dutylease.Write] = []
        self._copies: list[tuple[int, dutylease.Row]] = []

    def read(self) -> dutylease.Row:
        return self.row._replace(
            position=positions.Position(self.era, self.row.position.version)
        )

    def write(self, write: dutylease.Write) -> positions.Position | None:
        """Writes the row if its version is as expected, whatever the era."""
        self.version += 1
        if self.row.position.version != write.expected.version:
            return None
        self._copies.append((self.version - 1, self.row))
        position = positions.Position(self.era, self.version)
        self.row = write.row._replace(position=position)
        return position

    def restore(self, steps: int) -> None:
        """Comes back from a copy made before the last writes."""
        if not self._copies:
            return
        index = max(0, len(self._copies) - steps)
        self.version, self.row = self._copies[index]
        del self._copies[index:]
        self.era += 1


class Node:
    """A node that keeps the lease, and acts in every step of its term."""

    def __init__(self, name: str, store: Store, world, now: float):
        self.name = name
        self._store = store
        self._world = world
        self._start_s = now
        self.lease = dutylease.Lease(name, LEASE_S, now)
        self.rate = 1.0
        self.frozen = False
        self.cut = False
        self.answers_lost = False
        self.writes_late = False
        self.rank = 0
        self._terms = 0
        # A call that was checked and is not sent yet.
        self.checked: int | None = None

    def now(self) -> float:
        return self._start_s + (self._world.now - self._start_s) * self.rate

    def step(self) -> None:
        """Does what is due."""
        if self.frozen:
            return
        if self.checked is not None:
            self._world.act(self, self.checked)
            self.checked = None
        self._keep()
        token = self.lease.token
        if token is not None and self.lease.may_act(self.now(), token):
            self._world.act(self, token)

    def _keep(self) -> None:
        now = self.now()
        if self.lease.should_read(now, self.rank):
            if not self._unreachable:
                self.lease.note_row(self._store.read(), now, now)
        elif self.lease.should_renew(now):
            self._write(self.lease.begin_renewal(now), now)
        elif self.lease.may_acquire(now, self.rank):
            self._terms += 1
            nonce = f'{self.name}{self._start_s}{self._terms}'
            self._write(self.lease.begin_acquisition(now, nonce), now)

    @property
    def _unreachable(self) -> bool:
        return self.cut or self._store.down

    def _write(self, write: dutylease.Write, now: float) -> None:
        if self._unreachable:
            self.lease.note_unclear()
        elif self.writes_late:
            self._store.late.append(write)
            self.lease.note_unclear()
        else:
            position = self._store.write(write)
            if self.answers_lost:
                self.lease.note_unclear()
            elif position is None:
                self.lease.note_conflict()
            else:
                self.lease.note_written(position, now, self.now())

    def release(self) -> None:
        if self.lease.token is None or self._unreachable or self.frozen:
            return
        self.checked = None
        position = self._store.write(self.lease.begin_release(self.now()))
        if position is not None:
            self.lease.note_released(position, self.now())


class World:
    """Nodes, their store, and the calls that they made."""

    def __init__(self):
        self.now = 100.0
        self.store = Store()
        self.rules = dutyrules.Rules(LEASE_S)
        self.nodes = {
            name: Node(name, self.store, self, self.now) for name in NODE_NAMES
        }
        for rank, node in enumerate(self.nodes.values()):
            node.rank = rank

    def act(self, node: Node, token: int) -> None:
        self.rules.note(dutyrules.Call(self.now, 'usage', node.name, token))

    def run(self, seconds: float) -> None:
        """Lets time pass."""
        for _ in range(round(seconds / TICK_S)):
            self.now += TICK_S
            for node in self.nodes.values():
                node.step()

    def gossip(self, sender: str, receiver: str) -> None:
        """Tells a node what another one knows, after a time on the way."""
        source, target = self.nodes[sender], self.nodes[receiver]
        news = source.lease.news
        if news is None or source.frozen or target.frozen:
            return
        age_s = max(0.0, source.now() - news.known_at)
        target.lease.note_news(news._replace(known_at=target.now() - age_s))

    @property
    def holders(self) -> list[str]:
        """Nodes that may act now."""
        return [
            name
            for name, node in self.nodes.items()
            if node.lease.token is not None
            and node.lease.may_act(node.now(), node.lease.token)
        ]

    def wait_holder(self, seconds: float) -> str:
        """Waits until one node may act and returns it."""
        limit = self.now + seconds
        while self.now < limit:
            self.run(TICK_S)
            if self.holders:
                return self.holders[0]
        raise AssertionError(f'no holder within {seconds} s')


class InterleavingMachine(stateful.RuleBasedStateMachine):
    """Guards against two holders that act at once, in any interleaving."""

    def __init__(self):
        super().__init__()
        self.world = World()

    @stateful.rule(ticks=strategies.integers(1, 45))
    def run(self, ticks):
        self.world.run(ticks * TICK_S)

    @stateful.rule(sender=NODES, receiver=NODES)
    def gossip(self, sender, receiver):
        if sender != receiver:
            self.world.gossip(sender, receiver)

    @stateful.rule(node=NODES, frozen=strategies.booleans())
    def freeze(self, node, frozen):
        self.world.nodes[node].frozen = frozen

    @stateful.rule(node=NODES, cut=strategies.booleans())
    def cut(self, node, cut):
        self.world.nodes[node].cut = cut

    @stateful.rule(node=NODES, lost=strategies.booleans())
    def lose_answers(self, node, lost):
        self.world.nodes[node].answers_lost = lost

    @stateful.rule(node=NODES, late=strategies.booleans())
    def delay_writes(self, node, late):
        self.world.nodes[node].writes_late = late

    @stateful.rule(index=strategies.integers(0, 9))
    def land_late_write(self, index):
        store = self.world.store
        if store.late:
            store.write(store.late.pop(index % len(store.late)))

    @stateful.rule(down=strategies.booleans())
    def set_down(self, down):
        self.world.store.down = down

    @stateful.rule(steps=strategies.integers(1, 6))
    def restore(self, steps):
        self.world.store.restore(steps)

    @stateful.rule(node=NODES)
    def release(self, node):
        holders = self.world.holders
        self.world.nodes[holders[0] if holders else node].release()
        for name in NODE_NAMES:
            self.world.gossip(node, name)

    @stateful.rule(node=NODES)
    def restart(self, node):
        world, before = self.world, self.world.nodes[node]
        world.nodes[node] = Node(node, world.store, world, world.now)
        world.nodes[node].rank = before.rank

    @stateful.rule(node=NODES, rate=strategies.sampled_from([0.99, 1.0, 1.01]))
    def set_rate(self, node, rate):
        # Clocks that differ by a hundredth.
        item = self.world.nodes[node]
        if item.lease.token is None and item.rate == 1.0:
            self.restart(node)
            self.world.nodes[node].rate = rate

    @stateful.invariant()
    def no_rule_is_broken(self):
        assert not self.world.rules.broken, self.world.rules.broken


InterleavingMachine.TestCase.settings = settings(
    max_examples=300, stateful_step_count=60
)
InterleavingTest = InterleavingMachine.TestCase


class LeaseTest(testtools.TestCase):
    """Guards against a duty that no node performs for long."""

    def setUp(self):
        super().setUp()
        self.world = World()

    def _change_holder(self, seconds: float) -> str:
        before = self.world.holders[0]
        node = self.world.nodes[before]
        token = node.lease.token
        limit = self.world.now + seconds
        while self.world.now < limit:
            self.world.run(TICK_S)
            for name in self.world.holders:
                if self.world.nodes[name].lease.token != token:
                    return name
        raise AssertionError(f'no new holder within {seconds} s')

    def test_first_holder_acts_two_leases_after_the_start(self):
        self.world.wait_holder(2 * LEASE_S + 0.5)

    def test_killed_holder_is_replaced(self):
        # A report is due 10 s after its window, and closes within 2 s.
        holder = self.world.wait_holder(10)
        self.world.nodes[holder].frozen = True
        self.assertNotEqual(holder, self._change_holder(7.8))

    def test_frozen_holder_does_not_act_when_it_wakes(self):
        holder = self.world.wait_holder(10)
        node = self.world.nodes[holder]
        node.frozen = True
        self.world.run(20)
        calls = len(self.world.rules.calls)
        node.frozen = False
        node.step()
        self.assertEqual(
            0,
            sum(
                call.holder == holder for call in self.world.rules.calls[calls:]
            ),
        )
        self.assertEqual([], self.world.rules.broken)

    def test_frozen_holder_goes_on_if_no_node_took_over(self):
        for name in NODE_NAMES[1:]:
            self.world.nodes[name].frozen = True
        holder = self.world.wait_holder(10)
        token = self.world.nodes[holder].lease.token
        self.world.nodes[holder].frozen = True
        self.world.run(20)
        self.world.nodes[holder].frozen = False
        self.world.run(0.3)
        self.assertEqual([holder], self.world.holders)
        self.assertEqual(token, self.world.nodes[holder].lease.token)

    def test_released_lease_is_taken_over_within_two_leases(self):
        holder = self.world.wait_holder(10)
        node = self.world.nodes[holder]
        token = node.lease.token
        node.release()
        node.lease.decline(node.now(), 60.0)
        for name in NODE_NAMES:
            if name != holder:
                self.world.gossip(holder, name)
        limit = self.world.now + LEASE_S + 0.5
        while not self.world.holders and self.world.now < limit:
            self.world.run(TICK_S)
        self.assertGreater(
            self.world.nodes[self.world.holders[0]].lease.token, token
        )

    def test_holder_cut_off_from_the_store_stops_in_time(self):
        holder = self.world.wait_holder(10)
        node = self.world.nodes[holder]
        node.cut = True
        self._change_holder(8.5)
        self.assertFalse(node.lease.may_act(node.now(), node.lease.token))

    def test_lost_answer_of_an_acquisition_is_resolved_by_reading(self):
        for name in NODE_NAMES[1:]:
            self.world.nodes[name].frozen = True
        node = self.world.nodes['a']
        node.answers_lost = True
        self.world.run(LEASE_S + 0.5)
        self.assertEqual(
            dutylease.make_token(self.world.store.read().position),
            node.lease.token,
        )

    def test_holder_with_lost_answers_goes_on(self):
        # Its renewals take effect, so no other node may take over.
        holder = self.world.wait_holder(10)
        node = self.world.nodes[holder]
        node.answers_lost = True
        token = node.lease.token
        self.world.run(20)
        self.assertEqual([holder], self.world.holders)
        self.assertEqual(token, node.lease.token)

    def test_term_ends_when_the_store_was_restored(self):
        holder = self.world.wait_holder(10)
        token = self.world.nodes[holder].lease.token
        self.world.store.restore(3)
        self._change_holder(3 * LEASE_S)
        new = self.world.nodes[self.world.holders[0]].lease.token
        self.assertGreater(new, token)
        self.assertEqual(2, new >> dutylease.VERSION_BITS)

    def test_store_that_lost_writes_without_a_new_era_is_not_trusted(self):
        # A token would be given again for another holder.
        self.world.store.version = 1000
        holder = self.world.wait_holder(10)
        for name in NODE_NAMES:
            if name != holder:
                self.world.gossip(holder, name)
        self.world.store.version = 0
        self.world.store.row = dutylease.Row(positions.Position(1, 0))
        self.world.run(60)
        self.assertEqual([], self.world.rules.broken)

    def test_known_renewals_spare_reads(self):
        """Guards against store calls by nodes that gossip keeps informed."""
        holder = self.world.wait_holder(10)
        reads = []
        for _ in range(100):
            for name in NODE_NAMES:
                if name != holder:
                    self.world.gossip(holder, name)
            self.world.store.read = lambda: reads.append(1)
            self.world.run(0.3)
        self.assertEqual([], reads)

    def test_nodes_without_gossip_read_rarely(self):
        """Guards against store calls that grow with the number of nodes."""
        self.world.wait_holder(10)
        read, reads = self.world.store.read, []

        def count():
            reads.append(1)
            return read()

        self.world.store.read = count
        self.world.run(60)
        # Watchers read after half a lease and after a failed attempt; others
        # later. Each is less than once a second.
        self.assertLess(len(reads), 60 * 4)

    def test_random_faults_leave_a_holder_soon_after(self):
        """Guards against states that no node leaves."""
        for seed in range(20):
            source = random.Random(seed)
            world = World()
            for _ in range(60):
                node = world.nodes[source.choice(NODE_NAMES)]
                fault = source.choice(
                    ('frozen', 'cut', 'answers_lost', 'writes_late')
                )
                setattr(node, fault, source.random() < 0.4)
                if source.random() < 0.1:
                    world.store.restore(source.randint(1, 5))
                world.run(source.uniform(0.1, 2))
            for node in world.nodes.values():
                node.frozen = node.cut = False
                node.answers_lost = node.writes_late = False
            world.wait_holder(4 * LEASE_S)
            self.assertEqual([], world.rules.broken)


class TermTest(testtools.TestCase):
    """Guards against a term that lasts longer than others wait."""

    def setUp(self):
        super().setUp()
        self.lease = dutylease.Lease('a', LEASE_S, 0.0)
        self.lease.note_row(_row(5, 'b'), 0.0, 0.0)

    def _acquire(self, sent_at=4.0, now=4.5, position=(1, 9)) -> int | None:
        self.lease.begin_acquisition(sent_at, 'nonce')
        self.lease.note_written(positions.Position(*position), sent_at, now)
        return self.lease.token

    def test_acquisition_waits_for_a_whole_lease_without_a_change(self):
        self.assertFalse(self.lease.may_acquire(2.9, 0))
        self.lease.note_row(_row(6, 'b'), 2.9, 2.9)
        self.assertFalse(self.lease.may_acquire(5.8, 0))
        self.assertTrue(self.lease.may_acquire(5.9, 0))

    def test_new_holder_waits_a_lease_before_it_acts(self):
        # Else a holder could act before and after another one within a lease.
        token = self._acquire()
        for at in (5.0, 6.0, 7.0):
            self.lease.begin_renewal(at)
            self.lease.note_written(positions.Position(1, int(at) + 5), at, at)
        self.assertFalse(self.lease.may_act(7.4, token))
        self.assertTrue(self.lease.may_act(7.5, token))

    def test_term_counts_from_before_the_write_was_sent(self):
        token = self._acquire(sent_at=4.0, now=4.5)
        self.lease.begin_renewal(6.0)
        self.lease.note_written(positions.Position(1, 10), 6.0, 7.6)
        self.assertTrue(self.lease.may_act(8.6, token))
        self.assertFalse(self.lease.may_act(8.7, token))

    def test_term_counts_from_the_first_lost_write(self):
        # The first of two lost renewals may be the one that took effect.
        token = self._acquire()
        for at in (5.0, 6.0):
            self.lease.begin_renewal(at)
            self.lease.note_unclear()
        self.lease.note_row(_row(12, 'a', token, 'nonce'), 7.4, 7.5)
        self.assertTrue(self.lease.may_act(7.6, token))
        self.assertFalse(self.lease.may_act(7.7, token))

    def test_lost_acquisition_counts_from_before_it_was_sent(self):
        self.lease.begin_acquisition(4.0, 'nonce')
        self.lease.note_unclear()
        self.lease.note_row(_row(9, 'a', 0, 'nonce'), 4.6, 4.7)
        token = self.lease.token
        self.lease.begin_renewal(6.0)
        self.lease.note_written(positions.Position(1, 10), 6.0, 6.0)
        self.assertFalse(self.lease.may_act(7.6, token))
        self.assertTrue(self.lease.may_act(7.7, token))

    def test_acquisition_in_a_restored_store_is_no_term(self):
        # The version that was read was one of the history before.
        self.assertIsNone(self._acquire(position=(2, 9)))

    def test_renewal_in_a_restored_store_ends_the_term(self):
        # Its condition may hold by chance, for another holder's row.
        self._acquire()
        self.lease.begin_renewal(5.0)
        self.lease.note_written(positions.Position(2, 10), 5.0, 5.1)
        self.assertIsNone(self.lease.token)

    def test_own_row_in_a_restored_store_is_no_term(self):
        token = self._acquire()
        self.lease.begin_renewal(5.0)
        self.lease.note_unclear()
        row = _row(9, 'a', token, 'nonce')
        self.lease.note_row(
            row._replace(position=positions.Position(2, 9)), 5.1, 5.2
        )
        self.assertIsNone(self.lease.token)

    def test_term_with_a_token_below_a_known_one_is_not_begun(self):
        self.lease.note_news(
            dutylease.News(
                'c',
                dutylease.make_token(positions.Position(1, 50)),
                positions.Position(1, 60),
                0.0,
            )
        )
        self.assertIsNone(self._acquire(position=(1, 50)))
        self.assertIsNotNone(self._acquire(position=(1, 51)))

    def test_own_term_told_by_others_first_is_begun(self):
        token = dutylease.make_token(positions.Position(1, 9))
        self.lease.begin_acquisition(4.0, 'nonce')
        self.lease.note_news(
            dutylease.News('a', token, positions.Position(1, 9), 4.1)
        )
        self.lease.note_unclear()
        self.lease.note_row(_row(9, 'a', 0, 'nonce'), 4.6, 4.7)
        self.assertEqual(token, self.lease.token)

    def test_released_lease_is_acquired_at_once(self):
        self.lease.note_row(_row(6, '', 5, 'other'), 1.0, 1.0)
        self.assertTrue(self.lease.may_acquire(1.0, 0))

    def test_node_that_gave_up_leaves_the_lease_to_others(self):
        self._acquire()
        self.lease.decline(5.0, 12.0)
        self.lease.begin_release(5.0)
        self.lease.note_released(positions.Position(1, 10), 5.1)
        self.assertFalse(self.lease.may_acquire(16.9, 0))
        self.assertTrue(self.lease.may_acquire(17.0, 0))

    def test_late_read_does_not_undo_news(self):
        # The read was answered before the renewal that gossip told of.
        self.lease.note_news(
            dutylease.News('b', 5, positions.Position(1, 8), 2.0)
        )
        self.lease.note_row(_row(5, 'b'), 1.0, 2.1)
        self.assertFalse(self.lease.may_acquire(4.9, 0))
        self.assertTrue(self.lease.may_acquire(5.0, 0))


def _row(version: int, holder: str, token=1, nonce='other') -> dutylease.Row:
    return dutylease.Row(positions.Position(1, version), holder, token, nonce)
