"""Open sessions during a roll-out, simulated without processes."""

import random
import zlib

import hypothesis
from hypothesis import strategies
import testtools

from radishcourse_model import ids
from radishcourse_policy import canary
from radishcourse_policy import opensessions

SERVICE = ids.ServiceId('assistant')
OTHER_SERVICE = ids.ServiceId('order-desk')
EXPOSURE, WITHIN_S, PAUSE_S = 0.12, 24.0, 6.5
# Share of the sessions with a second request.
LONGER_SHARE = 0.1
# A node pulls from this many random peers in each round.
FANOUT, ROUND_S = 3, 0.3
# The users tolerate three requests on another version than the one before them
# in their session.
MAX_CHANGES = 3
BUCKETS = strategies.integers(0, opensessions.BUCKETS - 1)


class _Node:
    """A node's knowledge of the open sessions of one roll-out.

    Attributes:
      open_sessions: Sessions that the canary leaves on the old version.
    """

    def __init__(self):
        self._recent = opensessions.RecentSessions()
        self.open_sessions = opensessions.OpenSessions()

    def learn_of_order(self, now: float) -> None:
        """Adds the sessions that are open at this node."""
        for session in self._recent.seen_since(SERVICE, now - PAUSE_S):
            self._add(session)

    def serve(self, session: str, age_s: float) -> bool:
        """Serves a request; tells whether the new version does."""
        self._recent.note(SERVICE, session, age_s, PAUSE_S)
        if age_s < 0:
            return False
        if canary.is_before_canary(age_s, WITHIN_S):
            self._add(session)
        hash_value = canary.session_hash(session, SERVICE, 1)
        is_open = opensessions.bucket(hash_value) in self.open_sessions
        return canary.serves_new(hash_value, is_open, age_s, WITHIN_S, EXPOSURE)

    def _add(self, session: str) -> None:
        hash_value = canary.session_hash(session, SERVICE, 1)
        if hash_value < canary.canary_share(EXPOSURE):
            self.open_sessions.add(opensessions.bucket(hash_value))


class _Fleet:
    """Sessions at random nodes in the first half of a roll-out.

    One session in ten has a second request, after a pause.

    Args:
      nodes: Number of nodes.
      per_s: New sessions per second.
      gossips: Whether nodes merge their open sessions.

    Attributes:
      changed: Number of sessions whose requests ran on different versions.
      kept_new: Number of longer sessions that ran on the new version alone.
    """

    def __init__(self, nodes: int, per_s: float, gossips: bool = True):
        self._random = random.Random(nodes)
        self._nodes = [_Node() for _ in range(nodes)]
        self._gossips = gossips
        self._events = self._sessions(per_s)
        self.changed = self.kept_new = 0
        self._versions: dict[str, bool] = {}

    def _sessions(self, per_s: float) -> list[tuple[float, str]]:
        events, begin = [], -PAUSE_S
        while begin < WITHIN_S / 2:
            begin += self._random.expovariate(per_s)
            session = f'{self._random.random()}'
            gap_s = self._random.uniform(0.05, PAUSE_S)
            events.append((begin, session))
            if self._random.random() < LONGER_SHARE:
                events.append((begin + gap_s, session))
        return sorted(event for event in events if event[0] < WITHIN_S / 2)

    def run(self) -> '_Fleet':
        """Plays all sessions."""
        next_round = canary.ORDER_PROPAGATION_S
        for age_s, session in self._events:
            while age_s >= next_round:
                self._run_round(next_round)
                next_round += ROUND_S
            new = self._random.choice(self._nodes).serve(session, age_s)
            before = self._versions.get(session)
            self._versions[session] = new
            if before is not None:
                self.changed += before != new
                self.kept_new += before and new
        return self

    def _run_round(self, now: float) -> None:
        for node in self._nodes:
            if now == canary.ORDER_PROPAGATION_S:
                node.learn_of_order(now)
            if not self._gossips:
                continue
            for peer in self._random.sample(self._nodes, FANOUT):
                encoded = peer.open_sessions.encode()
                if encoded is not None:
                    node.open_sessions.merge(encoded)


class FleetTest(testtools.TestCase):
    """Guards against sessions that change versions early in a roll-out."""

    def test_sessions_through_any_node_keep_their_version(self):
        for nodes, per_s in ((8, 80), (87, 600), (570, 2000)):
            fleet = _Fleet(nodes, per_s).run()
            self.assertLessEqual(fleet.changed, MAX_CHANGES, nodes)
            self.assertGreater(fleet.kept_new, 0, nodes)

    def test_nodes_that_know_their_own_sessions_alone_do_not_suffice(self):
        fleet = _Fleet(87, 2000, gossips=False).run()
        self.assertGreater(fleet.changed, MAX_CHANGES)


class RecentSessionsTest(testtools.TestCase):
    """Guards against forgotten sessions and against unbounded memory."""

    def test_sessions_are_remembered_for_a_pause(self):
        recent = opensessions.RecentSessions()
        recent.note(SERVICE, 'ended', 1.0, PAUSE_S)
        recent.note(SERVICE, 'open', 2.0, PAUSE_S)
        recent.note(OTHER_SERVICE, 'other', 3.0, PAUSE_S)
        recent.note(SERVICE, 'open', 8.0, PAUSE_S)
        self.assertEqual(['open'], recent.seen_since(SERVICE, 1.0))

    def test_memory_is_bounded(self):
        recent = opensessions.RecentSessions()
        for number in range(opensessions.MAX_RECENT_SESSIONS + 5):
            recent.note(SERVICE, f'{number}', 1.0, PAUSE_S)
        sessions = recent.seen_since(SERVICE, 0.0)
        self.assertEqual(opensessions.MAX_RECENT_SESSIONS, len(sessions))
        self.assertEqual('5', sessions[0])


class OpenSessionsTest(testtools.TestCase):
    """Guards against sets that nodes can't merge and against hostile ones."""

    @hypothesis.given(
        strategies.lists(BUCKETS),
        strategies.lists(BUCKETS),
    )
    def test_merged_set_has_the_buckets_of_both(self, first, second):
        ours, theirs = opensessions.OpenSessions(), opensessions.OpenSessions()
        for value in first:
            ours.add(value)
        for value in second:
            theirs.add(value)
        encoded = theirs.encode()
        if encoded is not None:
            ours.merge(encoded)
        for value in first + second:
            self.assertIn(value, ours)

    @hypothesis.given(strategies.binary(max_size=100))
    def test_any_bytes_merge_or_raise_value_error(self, data):
        sessions = opensessions.OpenSessions()
        try:
            sessions.merge(data)
        except ValueError:
            self.assertIsNone(sessions.encode())

    def test_bitmap_that_expands_beyond_its_size_is_rejected(self):
        whole = opensessions.OpenSessions()
        whole.add(opensessions.BUCKETS - 1)
        other = opensessions.OpenSessions()
        other.merge(whole.encode())
        too_long = zlib.compress(b'\xff' * (opensessions.BUCKETS // 8 + 1))
        self.assertRaises(ValueError, other.merge, too_long)

    def test_number_that_is_no_bucket_is_rejected(self):
        sessions = opensessions.OpenSessions()
        for number in (-1, opensessions.BUCKETS):
            self.assertRaises(ValueError, sessions.add, number)

    def test_each_hash_has_a_bucket(self):
        self.assertEqual(0, opensessions.bucket(0.0))
        self.assertEqual(
            opensessions.BUCKETS - 1, opensessions.bucket(1 - 1e-9)
        )
