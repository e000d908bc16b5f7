"""Counts by window: merging, bounds, and the time that nodes agree on."""

import testtools

from radishcourse_gateway import dutyrows
from radishcourse_policy import usagewindows

OWN = usagewindows.Source('a', 'run-1')
OTHER = usagewindows.Source('b', 'run-1')


class TallyTest(testtools.TestCase):
    """Guards against counts that are added twice, lost, or made up."""

    def setUp(self):
        super().setUp()
        self.tallies = usagewindows.Tallies(OWN)

    def test_reports_merge_in_any_order_and_number(self):
        for count in (3, 7, 5, 7):
            self.tallies.merge(OTHER, 10, {10: {'first': count}}, 10)
        self.assertEqual({'first': 7}, self.tallies.total(10))

    def test_restarted_node_counts_from_zero(self):
        restarted = usagewindows.Source('b', 'run-2')
        self.tallies.merge(OTHER, 10, {10: {'first': 3}}, 10)
        self.tallies.merge(restarted, 10, {10: {'first': 2}}, 10)
        self.assertEqual({'first': 5}, self.tallies.total(10))

    def test_peers_do_not_change_own_counts(self):
        self.tallies.note(10, 'first')
        self.tallies.merge(OWN, 10, {10: {'first': 9}}, 10)
        self.assertEqual({'first': 1}, self.tallies.total(10))

    def test_request_after_time_went_back_counts_in_an_open_window(self):
        # The counts of a complete window may have been recorded.
        self.tallies.complete(11)
        self.tallies.note(10, 'first')
        self.assertEqual({}, self.tallies.total(10))
        self.assertEqual({'first': 1}, self.tallies.total(11))

    def test_time_that_was_far_ahead_is_corrected(self):
        # Else a node whose clock was wrong at its start never counts again.
        self.tallies.complete(1000)
        self.tallies.note(1000, 'first')
        self.tallies.complete(10)
        self.tallies.note(10, 'first')
        self.assertEqual({'first': 2}, self.tallies.total(10))
        self.tallies.forget(990)
        self.tallies.forget(9)
        self.tallies.merge(OTHER, 10, {10: {'first': 1}}, 10)
        self.assertEqual({'first': 1}, self.tallies.total(10))

    def test_windows_far_ahead_or_dropped_are_ignored(self):
        self.tallies.forget(9)
        for window in (8, 13, 10**9):
            self.tallies.merge(OTHER, 10, {window: {'first': 1}}, 10)
            self.assertEqual({}, self.tallies.total(window))

    def test_names_and_counts_beyond_the_bounds_are_ignored(self):
        counts = {'x' * 300: 1, 'first': -5, 'second': 2**60, 'third': 1}
        self.tallies.merge(OTHER, 10, {10: counts}, 10)
        self.assertEqual({'third': 1}, self.tallies.total(10))

    def test_number_of_names_is_bounded(self):
        counts = {str(n): 1 for n in range(usagewindows.MAX_ORGANISATIONS + 9)}
        self.tallies.merge(OTHER, 10, {10: counts}, 10)
        self.assertEqual(
            usagewindows.MAX_ORGANISATIONS, len(self.tallies.total(10))
        )

    def test_dropped_windows_free_their_sources(self):
        """Guards against memory that grows with each restart of a node."""
        for run in range(50):
            source = usagewindows.Source('b', f'run-{run}')
            self.tallies.merge(source, run, {run: {'first': 1}}, run)
            self.tallies.forget(run - 2)
        self.assertLess(len(self.tallies.sources), 6)

    def test_counts_pass_a_message_unchanged(self):
        counts = {10: {'first': 3, 'second': 2**39}, 11: {}}
        messages = dutyrows.encode_counts(counts)
        self.assertEqual(counts, dutyrows.decode_counts(messages))


class SettledTest(testtools.TestCase):
    """Guards against windows that close early, or wait for dead nodes."""

    def setUp(self):
        super().setUp()
        self.tallies = usagewindows.Tallies(OWN)
        self.tallies.complete(11)

    def test_live_node_is_waited_for(self):
        self.assertFalse(self.tallies.is_settled(10, [OTHER]))
        self.tallies.merge(OTHER, 10, {}, 11)
        self.assertFalse(self.tallies.is_settled(10, [OTHER]))
        self.tallies.merge(OTHER, 11, {}, 11)
        self.assertTrue(self.tallies.is_settled(10, [OTHER]))

    def test_node_that_reported_lately_is_waited_for(self):
        self.tallies.merge(OTHER, 10, {}, 11)
        self.assertFalse(self.tallies.is_settled(10, []))

    def test_node_that_has_been_silent_for_long_is_not(self):
        self.tallies.merge(OTHER, 8, {8: {'first': 1}}, 11)
        self.assertTrue(self.tallies.is_settled(10, []))

    def test_window_is_closed_at_last_without_all_reports(self):
        # Time for a failed holder: more than two leases of 3 s remain of 10 s.
        due_at = 5 * 11 + 3.0
        for at, due in ((due_at - 0.1, False), (due_at, True)):
            self.assertEqual(
                due, usagewindows.is_due(10, 5.0, 10.0, at, settled=False)
            )

    def test_window_is_not_closed_before_its_end(self):
        self.assertFalse(usagewindows.is_due(10, 5.0, 10.0, 54.9, settled=True))


class TimeTest(testtools.TestCase):
    """Guards against windows that follow a wrong clock."""

    def test_windows_count_from_the_epoch(self):
        self.assertEqual(
            353_445_120, usagewindows.window_at(353_445_120 * 5.0, 5.0)
        )

    def test_node_whose_clock_jumped_follows_the_others(self):
        self.assertEqual(100.1, usagewindows.true_base(900.0, [100.0, 100.1]))

    def test_others_whose_clocks_jumped_are_outvoted(self):
        self.assertEqual(
            100.0, usagewindows.true_base(100.0, [100.0, 900.0, -50.0, 100.2])
        )

    def test_one_of_two_clocks_that_jumped_is_not_followed(self):
        for jumped in (-3600.0, 3700.0):
            base = usagewindows.true_base(100.0, [jumped], 100.1)
            self.assertEqual(100.0, base)

    def test_lone_node_has_only_its_own_clock(self):
        self.assertEqual(7.0, usagewindows.true_base(7.0, []))
