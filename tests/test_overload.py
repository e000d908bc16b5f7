"""Decisions on requests while a service has too few free slots."""

import collections
import dataclasses
import random
import statistics

import hypothesis
from hypothesis import strategies
import testtools

from radishcourse_model import ids
from radishcourse_policy import fairshares
from radishcourse_policy import overload
from radishcourse_policy import servicetimes
from radishcourse_standins.measure import shortage
from radishcourse_standins.measure import shortageload
from radishcourse_standins.measure import shortagesim

ORGANISATION = ids.OrganisationId('first')
OTHER = ids.OrganisationId('second')
KIND = ('route', 'small')
SLOTS = 64
SAMPLES = overload.Limits().min_samples
# Every upstream has as many requests waiting as it has slots.
FULL = overload.Room(SLOTS, 2 * SLOTS, 0.0, 0.0, 1.0)


def _demand(
    now: float = 10.0, left_s: float = 5.0, **fields
) -> overload.Demand:
    return overload.Demand(
        **{
            'request': 'request',
            'organisation': ORGANISATION,
            'priority': 3,
            'cost': 1.0,
            'goal_s': 2.0,
            'arrived_at': now,
            'deadline': now + left_s,
            'kind': KIND,
            **fields,
        }
    )


def _admission(
    head_s: float = 6.0, run_s: float = 4.0, now: float = 10.0, count=SAMPLES
) -> overload.Admission:
    """Returns decisions that have seen some heads at a time and their runs."""
    admission = overload.Admission(random.Random(1))
    for index in range(count):
        admission.times.note_sent(index, now - head_s)
        admission.times.note_head(index, now)
        admission.times.note_run(KIND, run_s)
        admission.shares.note_drained(now, 1.0, admission.limits.window_s)
    return admission


class UnservableTest(testtools.TestCase):
    """Guards against requests that wait in a queue until their deadline."""

    def _decide(self, admission, room=FULL, **fields) -> overload.Decision:
        return admission.decide(10.0, _demand(**fields), lambda: room)

    def test_request_that_can_not_end_in_time_is_refused_at_once(self):
        decision = self._decide(_admission(), left_s=5.0)
        self.assertIs(overload.Verdict.UNSERVABLE, decision.verdict)
        self.assertEqual(6.0, decision.first_s)
        self.assertGreater(decision.retry_after_s, 0)
        self.assertLessEqual(decision.retry_after_s, 5.0 / 3)

    def test_running_time_counts(self):
        decision = self._decide(_admission(), left_s=9.0)
        self.assertIs(overload.Verdict.UNSERVABLE, decision.verdict)
        decision = self._decide(_admission(run_s=1.0), left_s=9.0, goal_s=60.0)
        self.assertIs(overload.Verdict.SEND, decision.verdict)

    def test_nothing_is_refused_in_doubt(self):
        half_empty = dataclasses.replace(FULL, in_flight=SLOTS // 2 - 1)
        room_at_best = dataclasses.replace(FULL, best_excess=0.0)
        for name, admission, room in (
            ('no responses', overload.Admission(random.Random(1)), FULL),
            ('few responses', _admission(count=SAMPLES - 1), FULL),
            ('old responses', _admission(now=6.0), FULL),
            ('quick responses', _admission(head_s=0.05), FULL),
            ('free slots', _admission(), half_empty),
            ('an upstream without a queue', _admission(), room_at_best),
        ):
            decision = self._decide(admission, room, left_s=1.0)
            self.assertIs(overload.Verdict.SEND, decision.verdict, name)

    def test_capacity_is_not_read_while_responses_are_quick(self):
        decision = _admission(head_s=0.1, run_s=1.0).decide(
            10.0, _demand(), lambda: self.fail('the capacity was read')
        )
        self.assertIs(overload.Verdict.SEND, decision.verdict)

    @hypothesis.given(
        backlog_s=strategies.floats(0, 100),
        left_s=strategies.floats(0, 60),
        seed=strategies.integers(0, 1000),
    )
    def test_retry_after_leaves_two_thirds_of_the_time(
        self, backlog_s, left_s, seed
    ):
        admission = overload.Admission(random.Random(seed))
        retry_s = admission.retry_after_s(backlog_s, left_s)
        self.assertTrue(0 <= retry_s <= left_s / 3)

    def test_callers_refused_together_do_not_return_together(self):
        admission = overload.Admission(random.Random(1))
        times = [admission.retry_after_s(1.0, 60.0) for _ in range(100)]
        self.assertGreater(max(times) - min(times), 0.9)


class ServiceTimesTest(testtools.TestCase):
    """Guards against a queue that is noticed only after waiting through it."""

    def test_attempts_that_wait_show_a_queue(self):
        times = servicetimes.ServiceTimes()
        for index in range(2 * SAMPLES):
            times.note_sent(index, 0.1 * index)
        times.note_head(0, 0.05)
        low_s = times.head_s(3.0, 3.0, SAMPLES, 0.25)
        self.assertGreater(low_s, 1.5)

    def test_a_few_stuck_attempts_do_not_show_a_queue(self):
        times = servicetimes.ServiceTimes()
        for index in range(SAMPLES):
            times.note_sent(index, 9.0)
            times.note_head(index, 9.1)
        for index in range(SAMPLES, SAMPLES + 3):
            times.note_sent(index, 0.0)
        self.assertAlmostEqual(0.1, times.head_s(9.5, 3.0, SAMPLES, 0.25))

    def test_one_stuck_attempt_is_not_the_wait_of_all(self):
        times = servicetimes.ServiceTimes()
        times.note_sent('stuck', 0.0)
        for index in range(SAMPLES):
            times.note_sent(index, 9.8)
        times.note_head(0, 9.9)
        self.assertLess(times.head_s(10.0, 3.0, SAMPLES, 0.25), 0.3)

    def test_failed_attempts_do_not_count(self):
        times = servicetimes.ServiceTimes()
        for index in range(2 * SAMPLES):
            times.note_sent(index, 0.0)
            times.note_failed(index)
        self.assertIsNone(times.head_s(5.0, 3.0, SAMPLES, 0.25))

    def test_kinds_that_callers_name_are_bounded(self):
        times = servicetimes.ServiceTimes()
        for index in range(10 * servicetimes.MAX_KINDS):
            times.note_run(('route', f'model-{index}'), 1.0)
        self.assertEqual(0.0, times.least_run_s(('route', 'model-0'), 1))
        self.assertEqual(1.0, times.slot_s(1) or 1.0)


class FairSharesTest(testtools.TestCase):
    """Guards against an organisation that takes the others' capacity."""

    def _allot(
        self, costs: dict[tuple, float], capacity: float, floor=0.35
    ) -> fairshares.FairShares:
        shares = fairshares.FairShares(random.Random(1))
        for (organisation, priority), cost in costs.items():
            demand = _demand(
                organisation=organisation, priority=priority, cost=cost
            )
            shares.note_offered(0.0, demand, 3.0)
        shares.note_drained(0.0, capacity, 3.0)
        shares.allot(0.0, 3.0, 1.0, floor)
        return shares

    def _share(self, shares, organisation, priority=0) -> float:
        return shares.share(
            _demand(organisation=organisation, priority=priority)
        )

    def test_organisation_above_its_share_is_cut_first(self):
        shares = self._allot({(ORGANISATION, 0): 10, (OTHER, 0): 60}, 40)
        self.assertEqual(1.0, self._share(shares, ORGANISATION))
        self.assertAlmostEqual(0.5, self._share(shares, OTHER), 3)
        self.assertTrue(shares.is_over(OTHER))
        self.assertFalse(shares.is_over(ORGANISATION))

    def test_cost_counts_and_not_the_number_of_requests(self):
        shares = fairshares.FairShares(random.Random(1))
        for _ in range(30):
            shares.note_offered(0.0, _demand(cost=1.0), 3.0)
        for _ in range(3):
            demand = _demand(organisation=OTHER, cost=30.0)
            shares.note_offered(0.0, demand, 3.0)
        shares.note_drained(0.0, 60.0, 3.0)
        shares.allot(0.0, 3.0, 1.0, 0.35)
        self.assertEqual(1.0, self._share(shares, ORGANISATION, 3))
        self.assertLess(self._share(shares, OTHER, 3), 0.5)

    def test_urgent_requests_go_first_and_the_others_do_not_starve(self):
        shares = self._allot({(OTHER, 0): 10, (OTHER, 5): 10}, 10)
        urgent, other = (self._share(shares, OTHER, item) for item in (0, 5))
        self.assertGreater(urgent, 0.8)
        self.assertGreaterEqual(other, 0.35 * 0.5)

    @hypothesis.given(
        costs=strategies.dictionaries(
            strategies.tuples(
                strategies.sampled_from(['a', 'b', 'c', 'd']),
                strategies.integers(0, 9),
            ),
            strategies.floats(0.1, 1000),
            min_size=1,
        ),
        capacity=strategies.floats(0.1, 1000),
    )
    def test_shares_fit_the_capacity_and_keep_the_order(self, costs, capacity):
        shares = self._allot(costs, capacity)
        got = {key: self._share(shares, *key) for key in costs}
        overall = min(1.0, capacity / sum(costs.values()))
        used = sum(got[key] * cost for key, cost in costs.items())
        self.assertLessEqual(used, 1.001 * overall * sum(costs.values()))
        for (organisation, priority), share in got.items():
            self.assertGreaterEqual(share, 0.35 * overall - 1e-9)
            for (other, less_urgent), other_share in got.items():
                if other == organisation and less_urgent > priority:
                    self.assertGreaterEqual(share, other_share - 1e-9)

    def test_requests_sent_are_the_share_and_returned_ones_go_first(self):
        shares = self._allot({(ORGANISATION, 0): 10}, 5)
        demand = _demand(priority=0)
        sent = collections.Counter()
        for index in range(1000):
            returned = index % 4 == 0
            sent[returned] += shares.take(demand, returned)
        self.assertAlmostEqual(500, sent.total(), delta=2)
        self.assertGreater(sent[True] / 250, 1.2 * sent[False] / 750)


class PatternTest(testtools.TestCase):
    """Guards against load patterns that cost callers most of the value.

    Sending everything at once, as before, fails each of these.
    """

    _SEEDS = (1, 2, 3)

    def _measure(self, case: str, policy) -> dict[str, float]:
        results = []
        for seed in self._SEEDS:
            simulation = shortagesim.Simulation(
                shortageload.CASES[case], shortage.by_node(policy), seed
            )
            simulation.run()
            self.assertEqual(0, simulation.faults)
            results.append(shortage.measures(simulation.requests))
        return {
            name: statistics.median(item[name] for item in results)
            for name in results[0]
        }

    def _assert_better(self, case: str, gain: float) -> None:
        before = self._measure(case, shortage.FirstComeFirstServed)
        now = self._measure(case, shortage.Shares)
        self.assertGreater(now['value'], before['value'] + gain)
        self.assertGreater(now['most urgent kind'], before['most urgent kind'])
        # No organisation and no kind is served a quarter as often as all.
        self.assertGreater(now['worst organisation'], 0.5)
        self.assertGreater(now['worst kind'], 0.5)

    def test_organisation_that_sends_six_times_its_usual_load(self):
        self._assert_better('burst', 0.06)

    def test_third_of_the_upstreams_lost_while_traffic_grows(self):
        self._assert_better('lost', 0.06)

    def test_callers_who_repeat_at_once(self):
        self._assert_better('repeat', 0.02)

    def test_without_a_shortage_nothing_changes(self):
        self.assertEqual(
            self._measure('calm', shortage.FirstComeFirstServed),
            self._measure('calm', shortage.Shares),
        )
