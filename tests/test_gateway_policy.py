"""The gateway's decisions on models and upstreams, and its row replica."""

import random

import hypothesis
from hypothesis import strategies
import testtools

from radishcourse_gateway import eventstream
from radishcourse_gateway import records
from radishcourse_model import ids
from radishcourse_policy import answers
from radishcourse_policy import clock as clocks
from radishcourse_policy import coldrate
from radishcourse_policy import loadbalancing
from radishcourse_policy import modelchoice
from radishcourse_policy import position as positions
from radishcourse_policy import prefill

SMALL, MIDDLE, LARGE = map(ids.ModelId, ('small', 'middle', 'large'))
MODELS = (SMALL, MIDDLE, LARGE)
COSTS = {SMALL: 0.026, MIDDLE: 0.19, LARGE: 0.39}


class ModelChoiceTest(testtools.TestCase):
    """Guards against poor answers and against runs that cost too much."""

    def _larger(self, confidence, prompt=800, output=290, **fields):
        size = modelchoice.RequestSize(prompt, output)
        return modelchoice.choose_larger(
            MODELS, SMALL, confidence, size, COSTS, **fields
        )

    def test_doubtful_answer_is_repeated_on_the_largest_model(self):
        self.assertEqual(LARGE, self._larger(10))

    def test_confident_answer_is_kept(self):
        self.assertIsNone(self._larger(90))

    def test_answer_without_a_confidence_is_kept(self):
        self.assertIsNone(self._larger(None))

    def test_answer_of_the_largest_model_is_kept(self):
        size = modelchoice.RequestSize(800, 290)
        self.assertIsNone(
            modelchoice.choose_larger(MODELS, LARGE, 0, size, COSTS)
        )

    def test_long_prompt_is_not_repeated_while_others_wait_behind(self):
        long = {'prompt': 50_000, 'output': 380, 'prefill_s': 3.3}
        self.assertEqual(LARGE, self._larger(40, **long))
        self.assertIsNone(self._larger(40, waiting_s=1.5, **long))

    def test_short_prompt_is_repeated_also_in_a_burst(self):
        self.assertEqual(LARGE, self._larger(10, prefill_s=0.02, waiting_s=2.0))

    def test_longer_queue_costs_more(self):
        # A third of the upstreams is lost during a burst: requests wait for
        # seconds, and runs of large models on prompts of usual length would
        # double the queue.
        usual = {'prompt': 12_000, 'output': 380, 'prefill_s': 0.4}
        self.assertEqual(LARGE, self._larger(20, **usual, waiting_s=1.0))
        self.assertIsNone(self._larger(20, **usual, waiting_s=4.0))

    def test_occupied_upstreams_keep_answers_that_are_likely_poor(self):
        self.assertEqual(LARGE, self._larger(20, occupied=0.2))
        self.assertEqual(LARGE, self._larger(5, occupied=0.5))
        self.assertIsNone(self._larger(20, occupied=0.9))

    @hypothesis.given(
        strategies.floats(0, 100),
        strategies.floats(0, 100),
        strategies.integers(1, 60_000),
        strategies.integers(0, 2_000),
    )
    def test_lower_confidence_never_keeps_what_a_higher_one_repeats(
        self, first, second, prompt, output
    ):
        low, high = sorted((first, second))
        if self._larger(high, prompt, output) is not None:
            self.assertIsNotNone(self._larger(low, prompt, output))


class LoadBalancingTest(testtools.TestCase):
    """Guards against all nodes choosing the same upstream at once."""

    def _simulate(self, choose, seed: int) -> float:
        """Simulates 14 requests of 8 nodes that share one stale state.

        Returns:
          The largest number of requests at one upstream.
        """
        source = random.Random(seed)
        names = [ids.UpstreamId(f'engine-{n}') for n in range(5)]
        old = {name: source.random() * 0.02 for name in names}
        own = [dict.fromkeys(names, 0) for _ in range(8)]
        for number in range(14):
            node = own[number % 8]
            candidates = [
                loadbalancing.Candidate(name, old[name], node[name], 64)
                for name in names
            ]
            node[choose(candidates, source).upstream] += 1
        return max(sum(node[name] for node in own) for name in names)

    def test_nodes_with_the_same_stale_state_do_not_choose_alike(self):
        def least(candidates, source):
            del source
            return min(candidates, key=lambda item: item.waiting_s)

        def choose(candidates, source):
            return loadbalancing.choose(
                candidates, loadbalancing.Prompt(), source
            )

        seeds = range(20)
        greedy_peak = sum(self._simulate(least, seed) for seed in seeds)
        sampled_peak = sum(self._simulate(choose, seed) for seed in seeds)
        self.assertLess(sampled_peak, 0.7 * greedy_peak)

    def _choose(self, waiting, prompt, slots=64, **fields):
        candidates = [
            loadbalancing.Candidate(
                ids.UpstreamId(name), wait, 0, slots, **fields
            )
            for name, wait in waiting.items()
        ]
        return loadbalancing.choose(
            candidates, prompt, random.Random(1)
        ).upstream

    def test_prompt_goes_where_its_prefix_is_cached(self):
        waiting = dict.fromkeys('abcde', 0.0)
        chosen = {
            self._choose(waiting, loadbalancing.Prompt('part', 0.05))
            for _ in range(10)
        }
        self.assertEqual(1, len(chosen))

    def test_busy_preferred_upstream_is_passed_over(self):
        preferred = max(
            'abcde',
            key=lambda name: loadbalancing.rendezvous_weight('part', name),
        )
        waiting = dict.fromkeys('abcde', 0.0)
        waiting[preferred] = 3.0
        self.assertNotEqual(
            preferred, self._choose(waiting, loadbalancing.Prompt('part', 0.05))
        )

    def test_failing_upstream_gets_requests_only_when_there_is_no_other(self):
        healthy = loadbalancing.Candidate(ids.UpstreamId('healthy'), 9.0, 0, 8)
        failing = loadbalancing.Candidate(
            ids.UpstreamId('failing'), 0.0, 0, 8, True
        )
        source, prompt = random.Random(1), loadbalancing.Prompt()
        chosen = loadbalancing.choose([healthy, failing], prompt, source)
        self.assertEqual('healthy', chosen.upstream)
        chosen = loadbalancing.choose([failing], prompt, source)
        self.assertEqual('failing', chosen.upstream)

    def test_no_candidates_give_no_choice(self):
        chosen = loadbalancing.choose(
            [], loadbalancing.Prompt(), random.Random(1)
        )
        self.assertIsNone(chosen)


class PrefillTest(testtools.TestCase):
    """Guards against prefill estimates that ignore a prompt's length."""

    def test_long_prompt_weighs_more_than_its_tokens(self):
        self.assertGreater(
            prefill.weighted_tokens(50_000),
            10 * prefill.weighted_tokens(10_000),
        )

    def test_cached_prefix_needs_no_prefill(self):
        self.assertEqual(0, prefill.weighted_tokens(5_000, 5_000))

    def test_rate_is_that_of_answers_that_did_not_wait(self):
        rates = prefill.PrefillRates()
        for seconds in (0.5, 0.02, 0.9, 0.7):
            rates.update('engine', 'small', 2_000, seconds)
        learned = rates.seconds('engine', 'small', 2_000)
        self.assertLess(learned, 0.03)


class ColdRateTest(testtools.TestCase):
    """Guards against nodes that together overload a cold upstream."""

    @hypothesis.given(
        strategies.integers(1, 600),
        strategies.floats(1, 50),
        strategies.floats(1, 2),
        strategies.floats(0, 10),
    )
    def test_no_second_exceeds_the_bound(self, nodes, per_s, excess, slack):
        bound = per_s * excess + slack
        if bound * coldrate.USABLE_SHARE < 1:
            return
        senders, rate, burst = coldrate.split_rate(per_s, excess, slack, nodes)
        sent = 0
        for _ in range(senders):
            bucket = coldrate.TokenBucket(0.0)
            sent += sum(
                bucket.take(step / 100, rate, burst) for step in range(100)
            )
        self.assertLessEqual(sent, bound)

    def test_large_fleet_lets_some_nodes_send(self):
        names = [f'node-{number}' for number in range(87)]
        senders, _, _ = coldrate.split_rate(23, 1.5, 5, len(names))
        allowed = [
            name
            for name in names
            if coldrate.is_sender(
                name, [item for item in names if item != name], 'up', senders
            )
        ]
        self.assertEqual(senders, len(allowed))
        self.assertLess(senders, len(names))

    def test_nodes_that_start_at_once_do_not_all_send(self):
        # After a loss of all machines 80 nodes that knew no other one sent 30
        # requests in a second to an upstream that takes 26.
        senders, _, _ = coldrate.split_rate(14, 1.5, 5, 80)
        for running_s, count in ((0.5, 0), (coldrate.JOIN_S, 80)):
            allowed = [
                number
                for number in range(80)
                if coldrate.is_sender(
                    f'node-{number}', [], 'up', senders, running_s
                )
            ]
            self.assertEqual(count, len(allowed))


_KEYS = strategies.sampled_from('abc')


def _at(version: int) -> positions.Position:
    return positions.Position(1, version)


def _make_replica() -> records.Replica:
    return records.Replica(clocks.ManualClock(100.0))


@strategies.composite
def _histories(draw):
    """Draws writes to a store in order, each with a new version."""
    writes = draw(
        strategies.lists(
            strategies.tuples(_KEYS, strategies.none() | strategies.binary()),
            max_size=12,
        )
    )
    return [
        records.Record(records.Table.CONFIGURATION, key, _at(number + 1), value)
        for number, (key, value) in enumerate(writes)
    ]


class ReplicaTest(testtools.TestCase):
    """Guards against a replica that returns to old rows or misses one."""

    @staticmethod
    def _state(replica: records.Replica) -> dict[str, bytes]:
        rows = replica.rows(records.Table.CONFIGURATION)
        return {row.key: row.value for row in rows if row.value is not None}

    @hypothesis.given(_histories(), strategies.data())
    def test_relayed_rows_lead_to_the_state_of_the_store(self, history, data):
        """Two replicas read parts of the history and pull from each other."""
        table = records.Table.CONFIGURATION
        first, second = _make_replica(), _make_replica()
        known = 0
        while known < len(history):
            known = data.draw(strategies.integers(known + 1, len(history)))
            seen = _make_replica()
            for record in history[:known]:
                seen.apply(table, records.Changes([record], record.position))
            source, target = first, second
            if data.draw(strategies.booleans()):
                source, target = second, first
            source.apply(
                table, seen.changes_after(table, source.position(table))
            )
            before = target.position(table)
            target.apply(table, source.changes_after(table, before))
            self.assertFalse(before.is_after(target.position(table)))
            self.assertEqual(self._state(seen), self._state(target))

    @hypothesis.given(_histories(), strategies.data())
    def test_whole_table_removes_what_is_not_in_it(self, history, data):
        table = records.Table.CONFIGURATION
        full, late = _make_replica(), _make_replica()
        cut = data.draw(strategies.integers(0, len(history)))
        for record in history:
            full.apply(table, records.Changes([record], record.position))
        for record in history[:cut]:
            late.apply(table, records.Changes([record], record.position))
        rows = [row for row in full.rows(table) if row.value is not None]
        late.apply(
            table, records.Changes(rows, _at(len(history)), complete=True)
        )
        self.assertEqual(self._state(full), self._state(late))

    def test_older_row_changes_nothing(self):
        table = records.Table.CONFIGURATION
        replica = _make_replica()
        new = records.Record(table, 'a', _at(5), b'new')
        old = records.Record(table, 'a', _at(4), b'old')
        replica.apply(table, records.Changes([new], _at(5)))
        applied = replica.apply(
            table, records.Changes([old], _at(4), complete=True)
        )
        self.assertEqual([], applied)
        self.assertEqual(_at(5), replica.position(table))


class SplitterTest(testtools.TestCase):
    """Guards against events cut or lost where a stream is resumed."""

    @hypothesis.given(
        strategies.integers(0, 6),
        strategies.lists(strategies.integers(1, 9), max_size=60),
        strategies.sampled_from((b'\n', b'\r\n', b'\r')),
    )
    def test_only_whole_events_pass_and_none_is_lost(self, events, cuts, end):
        data = b''.join(
            b'id: %d' % number + end + b'data: x' + end + end
            for number in range(events)
        )
        event_ids = answers.EventIds()
        splitter, passed, rest = eventstream.Splitter(event_ids), b'', data
        for size in [*cuts, len(data)]:
            part, rest = rest[:size], rest[size:]
            complete = splitter.feed(part)
            passed += complete
            if complete:
                self.assertTrue(complete.endswith(end))
        self.assertEqual(data, passed + splitter.partial)
        if events:
            self.assertEqual(b'%d' % (events - 1), event_ids.last)
