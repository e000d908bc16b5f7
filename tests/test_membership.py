"""Membership, sampling and freshness decisions, without a network."""

import random

import hypothesis
from hypothesis import strategies
import testtools

from radishcourse_model import ids
from radishcourse_model import states
from radishcourse_policy import freshness
from radishcourse_policy import membership

NODES = [ids.NodeId(f'entry-{index}') for index in range(9)]
NODE_SETS = strategies.frozensets(strategies.sampled_from(NODES))
ALIVE = states.MemberState.ALIVE
NOW = 100.0
EVIDENCE = strategies.dictionaries(
    strategies.sampled_from(NODES),
    strategies.builds(
        freshness.Evidence,
        asked_at=strategies.floats(NOW - 5, NOW),
        revision=strategies.integers(1, 3).map(ids.Revision),
        platform_reached=strategies.booleans(),
    ),
)


def make_update(
    node='b', process='1', heartbeat=1, at=NOW, state=ALIVE, address=''
):
    return membership.MemberUpdate(
        ids.NodeId(node),
        ids.Incarnation(f'{node}.{process}'),
        heartbeat,
        at,
        state,
        address=address,
    )


class ViewTest(testtools.TestCase):
    """Guards against new work on a stale view."""

    @hypothesis.given(NODE_SETS, EVIDENCE, strategies.booleans())
    def test_only_a_majority_that_agrees_shows_an_outage(
        self, sample, evidence, changes_possible
    ):
        view = freshness.evaluate_view(
            NOW, None, ids.Revision(2), sample, evidence, changes_possible
        )
        recent = {
            node: item
            for node, item in evidence.items()
            if NOW - item.asked_at <= freshness.MAX_CONFIRMATION_AGE_S
        }
        agreeing = {node for node, item in recent.items()
                    if item.revision == 2}  # fmt: skip
        outage = (
            not changes_possible
            and not any(item.shows_platform_up(NOW) for item in recent.values())
            and not any(item.revision > 2 for item in recent.values())
            and len(agreeing & sample) > len(sample) / 2
        )
        wanted = freshness.View.OUTAGE if outage else freshness.View.STALE
        self.assertEqual(wanted, view)

    @hypothesis.given(
        strategies.floats(0, 10),
        strategies.floats(0, 5),
        strategies.floats(0, 5),
        strategies.floats(0, 5),
    )
    def test_peer_confirmation_never_looks_newer_than_it_is(
        self, confirmed, age, request_delay, reply_delay
    ):
        answered = confirmed + age
        asked = answered - request_delay
        del reply_delay  # The reply arrives later still; that must not count.
        at = freshness.peer_confirmed_at(asked, int(age * 1000) + 1)
        self.assertLessEqual(at, confirmed)

    @hypothesis.given(
        strategies.floats(0, freshness.MAX_PEER_POLL_AGE_S),
        strategies.floats(0, 4),
    )
    def test_unreachable_peer_does_not_pause_service_in_an_outage(
        self, age, passed
    ):
        lost = freshness.Evidence(NOW, ids.Revision(1), True, NOW - age)
        now = NOW + passed
        others = freshness.Evidence(now, ids.Revision(1), False)
        evidence = {'a': lost, 'b': others, 'c': others}
        view = freshness.evaluate_view(
            now,
            lost.confirmed_at,
            ids.Revision(1),
            frozenset(evidence),
            evidence,
            False,
        )
        self.assertIsNot(freshness.View.STALE, view)

    def test_poll_rate_of_a_large_fleet_stays_within_the_limit(self):
        for nodes in (2, 9, 100, 570):
            rate = nodes / freshness.poll_interval(nodes)
            self.assertLessEqual(rate, freshness.MAX_POLLS_PER_S)


class RosterTest(testtools.TestCase):
    """Guards against a cut-off minority that forms a majority of its own."""

    @hypothesis.given(NODE_SETS, NODE_SETS, NODE_SETS)
    def test_silent_nodes_stay_on_the_roster_while_unconfirmed(
        self, roster, listed, present
    ):
        left = frozenset(NODES[:1])
        after = membership.update_roster(roster, listed, present, left, False)
        self.assertEqual((roster | listed | present) - left, after)
        after = membership.update_roster(roster, listed, present, left, True)
        self.assertEqual((listed | present) - left, after)

    @hypothesis.given(strategies.integers(0, 60), strategies.integers(0, 9))
    def test_sample_keeps_its_peers(self, size, seed):
        source = random.Random(seed)
        roster = frozenset(ids.NodeId(f'n{number}') for number in range(size))
        sample = membership.draw_sample(frozenset(), roster, source)
        self.assertEqual(min(size, membership.SAMPLE_SIZE), len(sample))
        again = membership.draw_sample(
            sample, roster | frozenset(NODES), source
        )
        self.assertLessEqual(sample, again)


class MembersTest(testtools.TestCase):
    """Guards against outdated gossip that changes a member's state."""

    def setUp(self):
        super().setUp()
        self.members = membership.Members(ids.NodeId('a'))

    def _state(self, now, node='b'):
        return self.members.state(ids.NodeId(node), now)

    def test_member_ages_from_alive_to_dead(self):
        self.members.apply_update(make_update(), direct=True)
        ages = (0, membership.SUSPECT_AFTER_S, membership.DEAD_AFTER_S, 6.1)
        found = [self._state(NOW + age).value for age in ages]
        self.assertEqual(['alive', 'alive', 'suspect', 'dead'], found)

    def test_only_a_higher_heartbeat_is_applied(self):
        self.members.apply_update(make_update(heartbeat=5), direct=True)
        hashed = membership.hash_incarnation(ids.Incarnation('b.1'))
        self.members.apply_heartbeat(hashed, 5, NOW + 9)
        self.assertEqual('dead', self._state(NOW + 9).value)
        self.members.apply_heartbeat(hashed, 6, NOW + 9)
        self.assertEqual('alive', self._state(NOW + 9).value)

    def test_replaced_process_is_not_revived_by_indirect_updates(self):
        self.members.apply_update(
            make_update(process='1', heartbeat=900), direct=True
        )
        self.members.apply_update(
            make_update(process='2', at=NOW + 1), direct=True
        )
        self.members.apply_update(
            make_update(process='1', heartbeat=901, at=NOW + 2), direct=False
        )
        self.assertEqual('b.2', self.members.all['b'].incarnation)
        self.assertTrue(self.members.is_dead(ids.Incarnation('b.1'), NOW + 1))
        self.assertFalse(self.members.is_dead(ids.Incarnation('b.2'), NOW + 1))

    def test_member_stays_leaving_until_its_process_is_replaced(self):
        leaving = states.MemberState.LEAVING
        self.members.apply_update(
            make_update(heartbeat=5, state=leaving), direct=True
        )
        self.members.apply_update(make_update(heartbeat=6), direct=False)
        self.assertEqual('leaving', self._state(NOW).value)
        self.assertEqual({'b'}, self.members.announced_leaving)
        self.members.apply_update(
            make_update(process='2', at=NOW + 1), direct=True
        )
        self.assertEqual('alive', self._state(NOW + 1).value)

    def test_own_id_never_becomes_a_member(self):
        self.members.apply_update(make_update(node='a'), direct=True)
        self.members.add_candidate(ids.NodeId('a'), '127.0.0.1:1')
        self.assertEqual({}, self.members.all)

    def test_wrong_address_alternates_with_the_listed_one(self):
        self.members.add_candidate(ids.NodeId('b'), 'listed')
        self.members.apply_update(make_update(address='wrong'), direct=True)
        member = self.members.all['b']
        tried = []
        for failures in range(3):
            member.failures = failures
            tried.append(member.next_address)
        self.assertEqual(['wrong', 'listed', 'wrong'], tried)


class PeerChoiceTest(testtools.TestCase):
    """Guards against peers that are pulled from too rarely."""

    @hypothesis.given(strategies.integers(2, 17), strategies.integers(0, 99))
    def test_each_peer_is_asked_once_before_any_is_asked_twice(
        self, nodes, seed
    ):
        source = random.Random(seed)
        live = [
            membership.Member(
                ids.NodeId(f'n{index}'), zone=ids.ZoneId(f'z{index % 3}')
            )
            for index in range(nodes - 1)
        ]
        count = membership.fanout(nodes)
        asked = []
        for turn in range(-(-len(live) // count)):
            chosen = membership.choose_peers(live, frozenset(), count, source)
            for member in chosen:
                member.asked_at = turn + 1.0
                asked.append(member.node)
        self.assertEqual(nodes - 1, len(set(asked)))
