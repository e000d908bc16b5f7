"""Sets of sequence numbers, stored as intervals."""

import itertools

import hypothesis
from hypothesis import strategies
import testtools

from radishcourse_policy import intervals

NUMBERS = strategies.sets(strategies.integers(0, 60))


class IntervalsTest(testtools.TestCase):
    """Guards against a set of flushed bills that loses or gains a number."""

    @hypothesis.given(NUMBERS, NUMBERS)
    def test_contains_exactly_the_added_numbers(self, first, second):
        held = intervals.add(intervals.add(intervals.EMPTY, first), second)
        found = {
            number for number in range(61) if intervals.contains(held, number)
        }
        self.assertEqual(first | second, found)
        self.assertEqual(len(found), intervals.size(held))

    @hypothesis.given(NUMBERS)
    def test_adjacent_intervals_are_merged(self, numbers):
        held = intervals.add(intervals.EMPTY, numbers)
        gaps = [
            later[0] - earlier[1] for earlier, later in itertools.pairwise(held)
        ]
        self.assertTrue(all(gap > 1 for gap in gaps))
