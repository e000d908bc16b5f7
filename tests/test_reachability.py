"""When a service counts as unreachable from a node."""

import testtools

from radishcourse_policy import reachability

SERVICE = 'desk'
NOW = 100.0


class ReachabilityTest(testtools.TestCase):
    """Guards against a node that takes an upstream's failure for its own."""

    def setUp(self):
        super().setUp()
        self.state = reachability.Reachability()

    def _fail(self, now: float, upstream: str, listed: int = 4) -> bool:
        return self.state.note_failed(now, SERVICE, upstream, listed)

    def test_one_of_four_upstreams_that_is_down_is_not_the_node(self):
        for number in range(20):
            self.assertFalse(self._fail(NOW + number / 10, 'a'))
        self.assertFalse(self.state.is_unreachable(SERVICE))

    def test_three_of_four_upstreams_that_are_lost_are_not_the_node(self):
        for number in range(20):
            for name in ('a', 'b', 'c'):
                self.assertFalse(self._fail(NOW + number / 10, name))
        self.assertFalse(self.state.is_unreachable(SERVICE))

    def test_two_upstreams_that_fail_are_a_reason_to_try_others(self):
        self._fail(NOW, 'a')
        self.assertFalse(self.state.is_suspect(NOW, SERVICE))
        self._fail(NOW, 'b')
        self.assertTrue(self.state.is_suspect(NOW, SERVICE))
        self.state.note_connected(NOW, SERVICE)
        self.assertFalse(self.state.is_suspect(NOW, SERVICE))

    def test_four_upstreams_that_fail_one_after_the_other_end_attempts(self):
        for name in ('a', 'b', 'c'):
            self.assertFalse(self._fail(NOW, name, listed=100))
        self.assertTrue(self._fail(NOW + 0.2, 'd', listed=100))
        self.assertEqual([SERVICE], self.state.unreachable)
        # It is logged once.
        self.assertFalse(self._fail(NOW + 0.4, 'e', listed=100))
        self.assertFalse(self.state.is_suspect(NOW + 0.4, SERVICE))

    def test_connection_between_two_failures_shows_that_the_node_is_sound(self):
        self._fail(NOW, 'a', listed=2)
        self.assertEqual(0.0, self.state.note_connected(NOW + 0.1, SERVICE))
        self.assertFalse(self._fail(NOW + 0.2, 'b', listed=2))

    def test_old_failures_do_not_add_up(self):
        self._fail(NOW, 'a', listed=2)
        later = NOW + reachability.FAILURE_TTL_S
        self.assertFalse(self._fail(later, 'b', listed=2))
        self.assertEqual({'b'}, self.state.failed(later, SERVICE))

    def test_only_upstream_of_a_service_suffices(self):
        self.assertTrue(self._fail(NOW, 'a', listed=1))

    def test_connection_ends_the_state(self):
        self._fail(NOW, 'a', listed=2)
        self._fail(NOW + 1.0, 'b', listed=2)
        self.assertEqual(2.0, self.state.note_connected(NOW + 3.0, SERVICE))
        self.assertFalse(self.state.is_unreachable(SERVICE))
        self.assertEqual(set(), self.state.failed(NOW + 3.0, SERVICE))

    def test_state_lasts_while_nothing_is_tried(self):
        self._fail(NOW, 'a', listed=2)
        self._fail(NOW, 'b', listed=2)
        self.assertEqual(
            set(), self.state.failed(NOW + reachability.FAILURE_TTL_S, SERVICE)
        )
        self.assertTrue(self.state.is_unreachable(SERVICE))

    def test_other_services_are_judged_on_their_own(self):
        self._fail(NOW, 'a', listed=2)
        self.assertFalse(self.state.note_failed(NOW, 'engine', 'b', 2))
        self.assertFalse(self.state.is_unreachable('engine'))

    def test_upstreams_that_were_replaced_do_not_count(self):
        self._fail(NOW, 'a', listed=2)
        self.state.keep(SERVICE, {'b', 'c'})
        self.assertFalse(self._fail(NOW + 0.1, 'b', listed=2))
        self.assertFalse(self._fail(NOW + 0.2, 'd', listed=0))
