"""The retry budget over a sliding window."""

import random

import testtools

from radishcourse_policy import clock as clocks
from radishcourse_policy import retrybudget
from radishcourse_policy import retrywindow

WINDOW_S = 10.0
# A node's share of a fleet's bounds: 71 nodes, slack 182.
SHARE = 0.72
SLACK = 2.05


class RetryWindowTest(testtools.TestCase):
    """Guards against refused retries after a crash, and too many of them."""

    def setUp(self):
        super().setUp()
        self.clock = clocks.ManualClock()
        self.window = retrywindow.RetryWindow(self.clock, WINDOW_S)

    def _spend(self, count: int) -> int:
        return sum(self.window.spend(SHARE, SLACK) for _ in range(count))

    def test_streams_of_a_crashed_upstream_are_all_retried(self):
        # Four requests a second, a quarter of them repeated on a larger model;
        # then eight streams break at once.
        bucket = retrybudget.RetryBudget(SHARE, SLACK, SLACK)
        for number in range(80):
            self.window.note_request()
            bucket.note_request()
            if number % 4 == 0:
                self.assertEqual(1, self._spend(1))
                bucket.spend()
            self.clock.advance(0.25)
        self.assertLess(sum(bucket.spend() for _ in range(8)), 8)
        self.assertEqual(8, self._spend(8))

    def test_any_window_keeps_the_bound(self):
        for seed in range(20):
            source = random.Random(seed)
            clock = clocks.ManualClock()
            window = retrywindow.RetryWindow(clock, WINDOW_S)
            requests, retries = [], []
            for _ in range(1500):
                clock.advance(source.expovariate(20.0))
                if source.random() < 0.4:
                    window.note_request()
                    requests.append(clock.now())
                elif window.spend(SHARE, SLACK):
                    retries.append(clock.now())
            for at in retries:
                allowed = SLACK + SHARE * sum(
                    at - WINDOW_S <= time <= at for time in requests
                )
                spent = sum(at - WINDOW_S <= time <= at for time in retries)
                self.assertLessEqual(spent, allowed, seed)

    def test_requests_of_an_earlier_window_permit_nothing(self):
        for _ in range(100):
            self.window.note_request()
        self.clock.advance(WINDOW_S + retrywindow.BUCKET_S)
        self.assertEqual(2, self._spend(5))
