"""Which peer is asked to serve a relayed request."""

import collections
import random

import testtools

from radishcourse_policy import relaypeers

NOW = 100.0
SERVICE = 'desk'
ZONE = 'zone-a'
NEAR = ['a1', 'a2', 'a3', 'a4']
FAR = ['b1', 'b2', 'b3', 'b4']
CANDIDATES = [
    *(relaypeers.Candidate(node, ZONE) for node in NEAR),
    *(relaypeers.Candidate(node, 'zone-b') for node in FAR),
]


class RelayPeersTest(testtools.TestCase):
    """Guards against requests that all go to peers that can't serve them."""

    def setUp(self):
        super().setUp()
        self.known = relaypeers.RelayPeers(random.Random(1))

    def _choose(self, now: float = NOW, tried=(), service: str = SERVICE):
        return self.known.choose(now, service, ZONE, CANDIDATES, set(tried))

    def test_peers_of_the_own_zone_share_the_requests(self):
        chosen = collections.Counter(self._choose() for _ in range(400))
        self.assertEqual(set(NEAR), set(chosen))
        self.assertGreater(min(chosen.values()), 60)

    def test_next_peer_after_a_refusal_is_of_another_zone(self):
        self.known.note_refused(NOW, SERVICE, 'a1')
        for _ in range(50):
            self.assertIn(self._choose(tried=['a1']), FAR)

    def test_next_peer_is_one_that_served_lately(self):
        self.known.note_answered(NOW - 2.0, SERVICE, 'b3')
        self.assertEqual('b3', self._choose(tried=['a1']))

    def test_requests_are_served_while_the_zone_is_cut_off(self):
        """Each first peer may refuse once in a second."""
        failed = 0
        for number in range(1000):
            now, tried = NOW + number / 100, []
            while (node := self._choose(now, tried)) is not None:
                tried.append(node)
                if node in FAR:
                    self.known.note_answered(now, SERVICE, node)
                    break
                self.known.note_refused(now, SERVICE, node)
            failed += node is None
        self.assertEqual(0, failed)

    def test_refusal_counts_for_a_moment_and_for_its_service(self):
        for node in NEAR:
            self.known.note_refused(NOW, SERVICE, node)
        self.assertIn(self._choose(), FAR)
        self.assertIn(self._choose(service='engine'), NEAR)
        self.assertIn(self._choose(NOW + relaypeers.REFUSED_TTL_S), NEAR)

    def test_number_of_peers_is_bounded(self):
        self.assertIsNone(self._choose(tried=NEAR[: relaypeers.MAX_PEERS]))

    def test_no_peer_is_asked_when_all_refused(self):
        for candidate in CANDIDATES:
            self.known.note_refused(NOW, SERVICE, candidate.node)
        self.assertIsNone(self._choose())

    def test_old_refusals_are_dropped(self):
        self.known.note_refused(NOW, SERVICE, 'a1')
        self.known.note_answered(NOW, SERVICE, 'a2')
        self.known.forget(NOW + relaypeers.ANSWERED_TTL_S)
        self.assertEqual({}, self.known._refused_at)
        self.assertEqual({}, self.known._answered_at)
