"""Placement: load, stale reports and prompt caches."""

import random

import testtools

from radishcourse_model import ids
from radishcourse_policy import placement
from radishcourse_policy import prefixes
from radishcourse_standins.measure import placement as measured

A, B = ids.UpstreamId('a'), ids.UpstreamId('b')


def make_candidate(upstream=A, **fields) -> placement.Candidate:
    """Returns a candidate with eight slots."""
    return placement.Candidate(upstream, 8, **fields)


class ChoiceTest(testtools.TestCase):
    """Guards against waiting at one upstream while another would be faster."""

    def choose(self, *candidates) -> str:
        return placement.choose(list(candidates), random.Random(1)).upstream

    def test_the_less_loaded_upstream_is_chosen(self):
        busy = make_candidate(A, reported=20)
        self.assertEqual(B, self.choose(busy, make_candidate(B, reported=2)))

    def test_a_cached_prompt_outweighs_some_load_but_not_any(self):
        other = make_candidate(B, reported=2)
        cached = make_candidate(A, reported=5, cached_share=0.8)
        self.assertEqual(A, self.choose(cached, other))
        full = make_candidate(A, reported=40, cached_share=0.8)
        self.assertEqual(B, self.choose(full, other))

    def test_a_stale_report_counts_less_than_own_requests(self):
        busy = make_candidate(A, in_flight=12, report_age_s=30.0)
        loaded = make_candidate(B, reported=30, report_age_s=30.0)
        self.assertEqual(B, self.choose(busy, loaded))

    def test_cold_upstreams_are_the_last_resort(self):
        cold = make_candidate(A, cold=True)
        self.assertEqual(B, self.choose(cold, make_candidate(B, reported=50)))
        self.assertEqual(A, self.choose(cold))
        self.assertIsNone(placement.choose([], random.Random(1)))


class PrefixTest(testtools.TestCase):
    """Guards against wrong assumptions of where a prefix is cached."""

    def test_events_and_own_requests_are_remembered(self):
        known = prefixes.CachedPrefixes()
        known.note_sent(A, 'p')
        known.note_stored(B, 'p')
        self.assertEqual(
            prefixes.SENT_PROBABILITY, known.cached_probability(A, 'p')
        )
        self.assertEqual(
            prefixes.REPORTED_PROBABILITY, known.cached_probability(B, 'p')
        )
        known.note_evicted(A, 'p')
        known.forget(B)
        self.assertEqual(
            0,
            known.cached_probability(A, 'p') + known.cached_probability(B, 'p'),
        )

    def test_preferred_upstreams_stay_when_another_leaves(self):
        names = [ids.UpstreamId(f'u{index}') for index in range(9)]
        for prefix in ('p', 'q', 'r'):
            before = prefixes.preferred_upstreams(prefix, names)
            others = [name for name in names if name not in before]
            left = [name for name in names if name != others[0]]
            self.assertEqual(before, prefixes.preferred_upstreams(prefix, left))


class MeasureTest(testtools.TestCase):
    """Guards against placement slower than the less loaded of two upstreams."""

    def test_p99_with_shared_prefixes_beats_power_of_two(self):
        case = measured.Case(0.7)
        own = measured.run(case, 'chosen', 1, 3000)['p99 s']
        other = measured.run(case, 'power of two', 1, 3000)['p99 s']
        self.assertLess(own, 0.8 * other)
