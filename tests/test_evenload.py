"""Expected work of upstreams from reports that age."""

import math
import random

import hypothesis
from hypothesis import strategies
import testtools

from radishcourse_model import ids
from radishcourse_policy import clock as clocks
from radishcourse_policy import evenload
from radishcourse_policy import loadbalancing

UPSTREAMS = [ids.UpstreamId(name) for name in 'abc']
_WORK = strategies.builds(
    evenload.Work,
    strategies.integers(0, 30),
    strategies.floats(0, 9),
    strategies.booleans(),
)
_REPORTS = strategies.dictionaries(strategies.sampled_from(UPSTREAMS), _WORK)
_STEPS = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(['n1', 'n2', 'n3']),
        strategies.none() | _REPORTS,
        strategies.floats(0, 3),
    ),
    max_size=20,
)


class ReportSumsTest(testtools.TestCase):
    """Guards against sums that drift from the reports they are made of."""

    @hypothesis.given(_STEPS, strategies.floats(0.02, 5))
    def test_sums_are_those_of_the_latest_reports(self, steps, service_s):
        clock = clocks.ManualClock(50.0)
        sums = evenload.ReportSums(clock, lambda _: service_s)
        latest = {}
        for node, report, seconds in steps:
            if report is None:
                sums.withdraw(node)
                latest.pop(node, None)
            else:
                sums.replace(node, report)
                latest[node] = (report, clock.now())
            clock.advance(seconds)
            for upstream in UPSTREAMS:
                self._check(
                    sums.of(upstream), upstream, latest, clock.now(), service_s
                )

    def _check(self, known, upstream, latest, now, service_s):
        requests = reported = ejecting = waiting_s = 0
        for report, at in latest.values():
            work = report.get(upstream, evenload.Work())
            weight = evenload.report_weight(
                now - at, service_s, evenload.NODE_REPORT_DECAY_SERVICES
            )
            requests += weight * work.requests
            waiting_s += weight * work.waiting_s
            reported += work.requests
            recent = now - at <= evenload.EJECTION_REPORT_S
            ejecting += work.ejected and recent
        self.assertAlmostEqual(requests, known.requests, 6)
        self.assertAlmostEqual(waiting_s, known.waiting_s, 6)
        self.assertEqual(reported, known.reported_requests)
        self.assertEqual(ejecting, known.ejecting_nodes)

    @hypothesis.given(_STEPS, strategies.lists(strategies.floats(0.02, 5)))
    def test_nothing_is_left_of_withdrawn_reports(self, steps, services_s):
        """Also if the time constant changed in between."""
        clock = clocks.ManualClock(50.0)
        source = iter(services_s)
        sums = evenload.ReportSums(clock, lambda _: next(source, 1.0))
        for node, report, seconds in steps:
            sums.replace(node, report or {})
            clock.advance(seconds)
        for node in ('n1', 'n2', 'n3'):
            sums.withdraw(node)
        for upstream in UPSTREAMS:
            self.assertEqual(evenload.Known(), sums.of(upstream))

    def test_ejection_is_believed_for_a_short_time(self):
        clock = clocks.ManualClock(50.0)
        sums = evenload.ReportSums(clock, lambda _: 1.0)
        for node in ('n1', 'n2'):
            sums.replace(node, {UPSTREAMS[0]: evenload.Work(0, 0.0, True)})
        self.assertEqual(2, sums.of(UPSTREAMS[0]).ejecting_nodes)
        clock.advance(evenload.EJECTION_REPORT_S + 0.1)
        self.assertEqual(0, sums.of(UPSTREAMS[0]).ejecting_nodes)


class ExpectedTest(testtools.TestCase):
    """Guards against old reports that count as if they were new."""

    def _expected(self, own, reported, age_s, slots=(64, 64, 64), nodes=20):
        """Returns the expected requests at each of three upstreams."""
        clock = clocks.ManualClock(50.0)
        sums = evenload.ReportSums(clock, lambda _: 2.0)
        for number in range(nodes - 1):
            sums.replace(
                f'n{number}',
                {
                    name: evenload.Work(count)
                    for name, count in zip(UPSTREAMS, reported, strict=True)
                },
            )
        clock.advance(age_s)
        work = [
            evenload.UpstreamWork(count, 0.0, sums.of(name), size)
            for name, count, size in zip(UPSTREAMS, own, slots, strict=True)
        ]
        level = evenload.make_level(work, nodes, [age_s] * (nodes - 1), 2.0)
        return [evenload.expected(item, level).requests for item in work]

    def test_fresh_reports_are_exact(self):
        found = self._expected([1, 0, 2], [3, 0, 1], 0.0)
        for expected, value in zip([58, 0, 21], found, strict=True):
            self.assertAlmostEqual(expected, value, 6)

    def test_old_reports_tend_to_the_mean(self):
        found = self._expected([1, 1, 1], [3, 0, 0], 60.0)
        for value in found:
            self.assertAlmostEqual(20, value, 1)

    def test_the_mean_is_shared_by_slots(self):
        """By speed, 5.5% of plain requests were refused in the comparison.

        They made fast upstreams seem full and slow ones free.
        """
        found = self._expected([0, 0, 0], [1, 1, 1], 60.0, (64, 32, 32))
        self.assertAlmostEqual(2 * found[1], found[0], 3)

    def test_own_work_stands_for_a_part_of_the_fleet(self):
        found = self._expected([2, 0, 1], [1, 1, 1], 60.0)
        self.assertGreater(found[0] - found[1], 2.0)
        self.assertLess(found[0] - found[1], 2.0 * 20)

    @hypothesis.given(
        strategies.lists(strategies.integers(0, 50), min_size=3, max_size=3),
        strategies.lists(strategies.integers(0, 50), min_size=3, max_size=3),
        strategies.floats(0, 60),
    )
    def test_never_less_than_the_own_work(self, own, reported, age_s):
        found = self._expected(own, reported, age_s)
        for count, value in zip(own, found, strict=True):
            self.assertGreaterEqual(value, count)

    def test_no_upstreams_have_no_load(self):
        level = evenload.make_level([], 5, [1.0], 1.0)
        self.assertEqual(evenload.Level(), level)


class ShortlistTest(testtools.TestCase):
    """Guards against choices that take longer in a larger fleet."""

    def test_shortlist_is_bounded_and_has_the_preferred(self):
        names = tuple(ids.UpstreamId(f'u{n}') for n in range(1700))
        preferences = loadbalancing.Preferences()
        ranked = preferences.ranked('key', names)
        prompt = loadbalancing.Prompt('key', 0.1, ranked)
        found = loadbalancing.shortlist(
            names, prompt, names[:3], random.Random(1)
        )
        bound = loadbalancing.SHORTLIST_SIZE + len(ranked) + 1
        self.assertLessEqual(len(found), bound)
        self.assertLessEqual(set(ranked), set(found))
        self.assertTrue(set(names[:3]) & set(found))

    def test_few_upstreams_are_all_looked_at(self):
        names = tuple(UPSTREAMS)
        found = loadbalancing.shortlist(
            names, loadbalancing.Prompt(), (), random.Random(1)
        )
        self.assertEqual(list(names), found)

    def test_preferred_upstreams_are_those_of_the_hash(self):
        names = tuple(ids.UpstreamId(f'u{n}') for n in range(40))
        preferences = loadbalancing.Preferences()
        for _ in range(2):
            best = preferences.ranked('key', names)[0]
            weights = {
                name: loadbalancing.rendezvous_weight('key', name)
                for name in names
            }
            self.assertEqual(max(weights, key=weights.get), best)
            # Without it, the next one is preferred.
            names = tuple(name for name in names if name != best)

    def test_kept_prefixes_are_bounded(self):
        """Prefixes are chosen by callers."""
        preferences = loadbalancing.Preferences()
        for number in range(loadbalancing.MAX_PREFIXES + 50):
            preferences.ranked(f'key{number}', tuple(UPSTREAMS))
        self.assertEqual(loadbalancing.MAX_PREFIXES, len(preferences._ranked))

    def test_spread_is_that_of_the_busiest(self):
        loads = [(10.0, 64.0), (30.0, 64.0), (20.0, 64.0)]
        self.assertTrue(math.isclose(1.5, evenload.spread(loads)))
        self.assertEqual(1.0, evenload.spread([]))


class LongPromptTest(testtools.TestCase):
    """Guards against long prompts that hold up short ones."""

    def _choose(self, waiting_s, prompt, in_flight=10, seed=1):
        candidates = [
            loadbalancing.Candidate(ids.UpstreamId(name), wait, in_flight, 64)
            for name, wait in waiting_s.items()
        ]
        source = random.Random(seed)
        return loadbalancing.choose(candidates, prompt, source).upstream

    def test_long_prompt_goes_where_nothing_waits(self):
        waiting_s = dict.fromkeys('abcdef', 0.06) | {'g': 0.0}
        prompt = loadbalancing.Prompt(prefill_s=3.0)
        for seed in range(40):
            self.assertEqual('g', self._choose(waiting_s, prompt, seed=seed))

    def test_short_prompt_is_compared_as_before(self):
        waiting_s = dict.fromkeys('abcdef', 0.06) | {'g': 0.0}
        prompt = loadbalancing.Prompt(prefill_s=0.05)
        chosen = [
            self._choose(waiting_s, prompt, seed=seed) for seed in range(200)
        ]
        # It is drawn in two of seven choices.
        self.assertTrue(30 < chosen.count('g') < 85)

    def test_long_prompt_leaves_its_preferred_upstream(self):
        """What the cached prefix saves is less than the others would wait."""
        key = 'part'
        best = max(
            'abcdef',
            key=lambda name: loadbalancing.rendezvous_weight(key, name),
        )
        waiting_s = dict.fromkeys('abcdef', 0.0) | {best: 0.06}
        prompt = loadbalancing.Prompt(key, 1.0, prefill_s=3.0)
        self.assertNotEqual(best, self._choose(waiting_s, prompt))
        waiting_s[best] = 0.0
        self.assertEqual(best, self._choose(waiting_s, prompt))

    def test_without_room_elsewhere_it_goes_on(self):
        prompt = loadbalancing.Prompt(prefill_s=3.0)
        self.assertEqual('a', self._choose({'a': 2.0}, prompt))


class FullTest(testtools.TestCase):
    """Guards against herds after refusals as full.

    Four upstreams with 6 slots, whose requests take 60 ms.
    """

    SERVICE_S = 0.06

    def _shares(self, refusals, age_s, loads=(5, 5, 5, 5)) -> list[float]:
        penalty = evenload.FullPenalty()
        for _ in range(refusals):
            penalty.add(100.0, self.SERVICE_S)
        candidates = [
            loadbalancing.Candidate(
                ids.UpstreamId(f'u{number}'), 0.0, load, 6,
                penalty_s=number == 0
                and penalty.seconds(100.0 + age_s, self.SERVICE_S),
            )
            for number, load in enumerate(loads)
        ]  # fmt: skip
        source = random.Random(2)
        chosen = [
            loadbalancing.choose(
                candidates, loadbalancing.Prompt(), source
            ).upstream
            for _ in range(2000)
        ]
        return [chosen.count(f'u{number}') / 2000 for number in range(4)]

    def test_full_upstream_gets_less_for_about_a_request(self):
        self.assertLess(self._shares(1, 0.0)[0], 0.05)
        for share in self._shares(1, 5 * self.SERVICE_S):
            self.assertTrue(0.2 < share < 0.3)

    def test_more_refusals_count_for_longer(self):
        age_s = 4 * self.SERVICE_S
        self.assertGreater(self._shares(1, age_s)[0], 0.2)
        self.assertLess(self._shares(4, age_s)[0], 0.05)

    def test_full_upstream_is_not_ejected(self):
        """It is chosen where the others are expected to be worse."""
        shares = self._shares(1, self.SERVICE_S, (0, 5, 5, 5))
        self.assertGreater(shares[0], 0.3)
