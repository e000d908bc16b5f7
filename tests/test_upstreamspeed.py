"""Speed of upstreams, learned from answers, and its part in choices."""

import collections
import math
import random

import testtools

from radishcourse_model import ids
from radishcourse_policy import clock as clocks
from radishcourse_policy import loadbalancing
from radishcourse_policy import upstreamspeed

KIND = ('engine', 'route', 'small')
# Nominal time of 8 events of a stream with 32 of 64 slots in use.
PACE_S = 8 * 0.0065


class SpeedsTest(testtools.TestCase):
    """Guards against upstreams of unequal speed that count as equal."""

    def setUp(self):
        super().setUp()
        self.clock = clocks.ManualClock(100.0)
        self.speeds = upstreamspeed.Speeds(self.clock)
        self.source = random.Random(5)

    def _stream(self, seconds: float, times: dict, is_slow=lambda _: False):
        """Replays one stream at each upstream for some seconds."""
        for _ in range(round(seconds / 0.1)):
            self.clock.advance(0.1)
            for name, factor in times.items():
                noise = self.source.lognormvariate(0, 0.25)
                phase = 2.5 if is_slow(name) else 1.0
                self.speeds.note_pace(
                    (name, 'a', 1),
                    KIND,
                    PACE_S * factor * noise * phase,
                    8,
                    0.5,
                )

    def _factor(self, name: str) -> float:
        return self.speeds.factor((name, 'a', 1))

    def test_slow_and_fast_upstreams_are_told_apart(self):
        times = {f'u{n}': 1.0 for n in range(20)} | {'slow': 1.7, 'fast': 0.7}
        self._stream(30, times)
        # Shrunk towards 1, and never beyond what was observed.
        self.assertTrue(1.4 < self._factor('slow') < 1.8)
        self.assertTrue(0.65 < self._factor('fast') < 0.85)
        for number in range(20):
            self.assertEqual(1.0, self._factor(f'u{number}'))

    def test_even_upstreams_with_slow_phases_count_as_exactly_equal(self):
        names = [f'u{n}' for n in range(30)]
        slow_until = dict.fromkeys(names, 0.0)

        def is_slow(name: str) -> bool:
            now = self.clock.now()
            if now >= slow_until[name] and self.source.random() < 0.028:
                slow_until[name] = now + 0.6
            return now < slow_until[name]

        for _ in range(30):
            self._stream(2, dict.fromkeys(names, 1.0), is_slow)
            self.assertEqual({}, self.speeds.learned())

    def test_few_answers_prove_nothing(self):
        self._stream(3, {'slow': 1.7, 'other': 1.0})
        self.assertEqual(1.0, self._factor('slow'))

    def test_restarted_upstream_starts_anew(self):
        self._stream(30, {'slow': 1.7, 'u1': 1.0, 'u2': 1.0})
        self.assertGreater(self._factor('slow'), 1.2)
        self.assertEqual(1.0, self.speeds.factor(('slow', 'a', 2)))
        self.speeds.forget({('u1', 'a', 1)})
        self.assertEqual(1.0, self._factor('slow'))

    def test_nothing_is_kept_of_upstreams_that_are_gone(self):
        self._stream(5, {'u1': 1.0, 'u2': 1.0})
        self._heads(5, {'u1': 1.0, 'u2': 1.0})
        self.speeds.forget({('u1', 'a', 1)})
        self.assertEqual({('u1', 'a', 1)}, set(self.speeds._upstreams))
        kept = {incarnation for incarnation, _ in self.speeds._heads}
        self.assertEqual({('u1', 'a', 1)}, kept)

    def test_models_of_different_speed_are_not_mixed_up(self):
        """An upstream with more runs of a slow model is no slower itself."""
        for _ in range(400):
            self.clock.advance(0.1)
            for name, large_share in {'u1': 0.9, 'u2': 0.1}.items():
                large = self.source.random() < large_share
                model, factor = ('large', 10.0) if large else ('small', 1.0)
                noise = self.source.lognormvariate(0, 0.25)
                self.speeds.note_pace(
                    (name, 'a', 1),
                    ('engine', 'route', model),
                    PACE_S * factor * noise,
                    8,
                    0.5,
                )
        self.assertEqual({}, self.speeds.learned())

    def test_phase_is_remembered_for_a_short_time_only(self):
        self._stream(20, {'u1': 1.0, 'u2': 1.0})
        self.speeds.note_pace(('u1', 'a', 1), KIND, 2.5 * PACE_S, 8, 0.5)
        self.assertGreater(self.speeds.current(('u1', 'a', 1)), 1.8)
        self.clock.advance(1.2)
        self.assertLess(self.speeds.current(('u1', 'a', 1)), 1.05)
        self.assertEqual(1.0, self._factor('u1'))

    def _heads(self, seconds: float, times: dict, waits=None) -> list:
        """Replays ten requests a second at each upstream; returns changes."""
        changes = []
        for _ in range(round(seconds / 0.1)):
            self.clock.advance(0.1)
            for name, factor in times.items():
                noise = self.source.lognormvariate(0, 0.2)
                wait_s = self.source.choice(waits or [0.0])
                changes.append(
                    self.speeds.note_head(
                        (name, 'a', 1), KIND, 0.06 * factor * noise + wait_s, 0
                    )
                )
        return [item for item in changes if item is not None]

    def test_change_is_told_rarely(self):
        """A log line for each answer would hide everything else."""
        times = {f'u{n}': 1.0 for n in range(9)} | {'slow': 1.7}
        changes = self._heads(40, times)
        self.assertTrue(1 <= len(changes) <= 12, changes)
        self.assertGreater(max(item.factor for item in changes), 1.2)

    def test_waits_are_not_taken_for_slowness(self):
        """Half of the requests of all upstreams wait for a slot."""
        times = {f'u{n}': 1.0 for n in range(9)} | {'slow': 1.7}
        self._heads(40, times, [0.0, 0.0, 0.1, 0.4])
        self.assertEqual({('slow', 'a', 1)}, set(self.speeds.learned()))

    def test_pace_meter_cuts_streams_into_stretches(self):
        meter = upstreamspeed.PaceMeter(10.0)
        self.assertIsNone(meter.stretch(10.1, 7))
        seconds, count = meter.stretch(10.2, 9)
        self.assertEqual((0.2, 9), (round(seconds, 6), count))
        self.assertIsNone(meter.stretch(10.3, 10))


class ToldSpeedsTest(testtools.TestCase):
    """Guards against nodes of a large fleet that never learn a speed.

    Each of 71 nodes sees an answer of an upstream in 6 s.
    """

    TIMES = {'slow': 1.7, 'fast': 0.7} | {f'u{n}': 1.0 for n in range(10)}

    def setUp(self):
        super().setUp()
        self.clock = clocks.ManualClock(100.0)
        self.nodes = [upstreamspeed.Speeds(self.clock) for _ in range(71)]
        self.source = random.Random(4)

    def _run(self, seconds: float, tell: bool = True) -> None:
        for _ in range(round(seconds / 0.3)):
            self.clock.advance(0.3)
            for node in self.nodes:
                for name, factor in self.TIMES.items():
                    if self.source.random() < 0.05:
                        noise = self.source.lognormvariate(0, 0.25)
                        node.note_pace(
                            (name, 'a', 1), KIND, PACE_S * factor * noise, 8, 0
                        )
                for index in self.source.sample(range(71), 3 if tell else 0):
                    self._tell(self.nodes[index], index, node)

    def _tell(self, teller, index: int, node) -> None:
        for name in self.TIMES:
            report = teller.report((name, 'a', 1))
            if report is not None and self.source.random() < 0.5:
                node.merge(
                    ids.NodeId(f'n{index}'), (name, 'a', 1), 'engine', report
                )

    def _knowing(self, name: str) -> int:
        return sum(node.factor((name, 'a', 1)) != 1.0 for node in self.nodes)

    def test_nodes_learn_together_what_none_sees_alone(self):
        self._run(20)
        self.assertGreaterEqual(self._knowing('slow'), 64)
        self.assertEqual(0, self._knowing('u1'))
        factors = [node.factor(('slow', 'a', 1)) for node in self.nodes]
        self.assertGreater(min(item for item in factors if item != 1.0), 1.3)
        self.assertLess(max(factors), 1.9)

    def test_alone_they_would_not(self):
        """Else the two bytes for each other entry would be spent in vain."""
        self._run(20, tell=False)
        self.assertLess(self._knowing('slow'), 7)

    def test_report_is_one_byte(self):
        self._run(30)
        values = [
            node.report((name, 'a', 1))
            for node in self.nodes
            for name in self.TIMES
        ]
        # The zigzag encoding of the compact protocol.
        self.assertTrue(all(-64 <= item < 64 for item in values if item))
        self.assertIsNone(self.nodes[0].report(('unknown', 'a', 1)))

    def test_malformed_reports_are_ignored(self):
        node = self.nodes[0]
        for report in (-(2**31), -31, 30, 64, 2**31 - 1):
            for _ in range(3):
                self.clock.advance(5.0)
                node.merge(ids.NodeId('n'), ('u1', 'a', 1), 'engine', report)
        self.assertEqual({}, node.learned())
        self.assertEqual(1.0, node.current(('u1', 'a', 1)))

    def test_report_of_the_former_run_is_ignored(self):
        """A peer may not have heard of the restart yet."""
        node = self.nodes[0]
        slow = upstreamspeed.TOLD_OFFSET - 1
        for number in range(40):
            node.merge(ids.NodeId(f'n{number}'), ('u', 'a', 2), 'engine', slow)
            self.clock.advance(0.05)
        self.assertEqual(1.0, node.factor(('u', 'a', 2)))

    def test_kept_reports_are_bounded(self):
        node = self.nodes[0]
        node.merge(ids.NodeId('n'), ('u', 'a', 1), 'engine', 0)
        self.clock.advance(10.0)
        for number in range(570):
            node.merge(ids.NodeId(f'n{number}'), ('u', 'a', 1), 'engine', 0)
        known = node._upstreams[('u', 'a', 1)]
        self.assertEqual(upstreamspeed.MAX_TOLD_NODES, len(known.told_by))
        self.assertEqual(8 * upstreamspeed.MAX_TOLD_NODES, known.told_count)


class UnevenChoiceTest(testtools.TestCase):
    """Guards against choices that ignore how long an upstream takes."""

    def _candidates(self, speeds, in_flight=None):
        return [
            loadbalancing.Candidate(
                ids.UpstreamId(f'u{number}'),
                0.0,
                20 if in_flight is None else in_flight[number],
                64,
                speed=speed,
            )
            for number, speed in enumerate(speeds)
        ]

    def _counts(self, candidates, seed=3, draws=3000):
        source = random.Random(seed)
        prompt = loadbalancing.Prompt()
        return collections.Counter(
            loadbalancing.choose(candidates, prompt, source).upstream
            for _ in range(draws)
        )

    def test_slower_upstream_of_equal_load_gets_less(self):
        counts = self._counts(self._candidates([1.0, 1.0, 1.0, 1.7]))
        self.assertLess(counts['u3'], 0.3 * counts['u0'])

    def test_upstreams_of_equal_expected_time_share_by_capacity(self):
        """Old reports can't tell them apart, so the draw must."""
        speeds = [0.5, 1.0, 1.0, 2.0]
        counts = self._counts(
            self._candidates(speeds, [20 / item for item in speeds])
        )
        self.assertGreater(counts['u0'], 1.4 * counts['u1'])
        self.assertGreater(counts['u1'], 1.4 * counts['u3'])

    def test_even_upstreams_are_chosen_as_before(self):
        """The speed of exactly 1 changes neither sample nor comparison."""
        source = random.Random(9)
        for seed in range(200):
            candidates = self._candidates(
                [1.0] * 6, [source.randrange(60) for _ in range(6)]
            )
            sampled = random.Random(seed).sample(candidates, 2)
            least = min(sampled, key=lambda item: item.in_flight)
            chosen = loadbalancing.choose(
                candidates, loadbalancing.Prompt(), random.Random(seed)
            )
            self.assertIs(least, chosen)

    def test_ties_are_at_random(self):
        counts = self._counts(self._candidates([1.0] * 5))
        expected = 3000 / 5
        for number in range(5):
            error = abs(counts[f'u{number}'] - expected)
            self.assertLess(error, 5 * math.sqrt(expected))
