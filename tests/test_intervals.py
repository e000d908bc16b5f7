"""Sets of sequence numbers."""

import itertools

import hypothesis
from hypothesis import strategies
import testtools

from radishcourse_policy import intervals

NUMBERS = strategies.sets(strategies.integers(0, 60))


class IntervalsTest(testtools.TestCase):
    """Guards against marks that lose or invent a flushed bill."""

    @hypothesis.given(NUMBERS, NUMBERS)
    def test_holds_exactly_what_was_added(self, first, second):
        held = intervals.add(intervals.add(intervals.EMPTY, first), second)
        found = {
            number for number in range(61) if intervals.contains(held, number)
        }
        self.assertEqual(first | second, found)
        self.assertEqual(len(found), intervals.size(held))

    @hypothesis.given(NUMBERS)
    def test_neighbours_are_joined(self, numbers):
        held = intervals.add(intervals.EMPTY, numbers)
        gaps = [
            later[0] - earlier[1] for earlier, later in itertools.pairwise(held)
        ]
        self.assertTrue(all(gap > 1 for gap in gaps))
