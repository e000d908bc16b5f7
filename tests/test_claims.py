"""Orders run at most once, refusals are true, outcomes are told later."""

import signal
import threading
import time

from hypothesis import stateful
from hypothesis import strategies
import testtools

from radishcourse_model import states
from radishcourse_policy import claims
from tests import cluster as clusters
from tests import histories
from tests import recording

NODES = ('a', 'b', 'c')
LIMIT_S = 10.0
nodes = strategies.sampled_from(NODES)


class _Try:
    """A request under the key at one node."""

    def __init__(self, write, base, until):
        self.write, self.base, self.until = write, base, until
        self.end = states.ClaimState.CLAIMED
        self.may_run = False


class ClaimMachine(stateful.RuleBasedStateMachine):
    """One key, three nodes with wrong clocks, lost and late writes, crashes.

    Guards against a request that runs twice under one key.
    """

    def __init__(self):
        super().__init__()
        self.row = None
        self.version = 0
        self.writes = 0
        self.late = []
        self.tries = {}
        self.runs = 0
        self.now = 0.0
        self.skew = dict(zip(NODES, (0.0, 60.0, -60.0), strict=True))

    def _commit(self, version, row) -> bool:
        if version != self.version:
            return False
        self.version += 1
        self.row = row
        return True

    def _send(self, fate, version, row) -> bool | None:
        """Returns whether it was written; None when that is not known."""
        if fate == 'late':
            self.late.append((version, row))
        elif fate != 'never':
            written = self._commit(version, row)
            return written if fate == 'answered' else None
        return None

    @stateful.rule(
        node=nodes,
        fate=strategies.sampled_from(['answered', 'lost', 'late', 'never']),
    )
    def claim(self, node, fate):
        wall = self.now + self.skew[node]
        if node in self.tries:
            return
        if self.row is not None:
            state, _, until = self.row
            action = claims.decide_action(state, True, until, wall)
            if action is not claims.Action.CLAIM:
                return
        self.writes += 1
        attempt = _Try(
            self.writes, self.version, claims.expiry_time(wall, LIMIT_S)
        )
        row = (states.ClaimState.CLAIMED, attempt.write, attempt.until)
        written = self._send(fate, self.version, row)
        if written is None and self.row == row:
            written = True  # Read back by the write id.
        if written is False:
            return
        self.tries[node] = attempt
        attempt.may_run = bool(written)
        if not written:
            attempt.end = states.ClaimState.NOT_RUN

    @stateful.rule(
        node=nodes,
        end=strategies.sampled_from(
            [
                states.ClaimState.DONE,
                states.ClaimState.NOT_RUN,
                states.ClaimState.UNKNOWN,
            ]
        ),
    )
    def run(self, node, end):
        attempt = self.tries.get(node)
        if attempt is None or not attempt.may_run:
            return
        attempt.may_run = False
        attempt.end = end
        self.runs += end is not states.ClaimState.NOT_RUN

    @stateful.rule(
        node=nodes, fate=strategies.sampled_from(['answered', 'late', 'never'])
    )
    def settle(self, node, fate):
        attempt = self.tries.get(node)
        if attempt is None or attempt.may_run:
            return
        found = self.row[1] if self.row else None
        if not claims.may_settle(
            found, self.version, attempt.write, attempt.base
        ):
            del self.tries[node]
            return
        self.writes += 1
        row = (attempt.end, self.writes, attempt.until)
        if self._send(fate, self.version, row):
            del self.tries[node]

    @stateful.precondition(lambda self: self.late)
    @stateful.rule()
    def arrive_late(self):
        self._commit(*self.late.pop(0))

    @stateful.rule(node=nodes)
    def crash(self, node):
        self.tries.pop(node, None)

    @stateful.rule(seconds=strategies.floats(1, 100))
    def wait(self, seconds):
        self.now += seconds

    @stateful.invariant()
    def check_runs(self):
        assert self.runs <= 1
        running = [item for item in self.tries.values() if item.may_run]
        assert self.runs + len(running) <= 1


class JudgeTest(testtools.TestCase):
    """Runs the state machine."""

    def test_a_key_runs_at_most_once(self):
        recording.run_machine(ClaimMachine, 300)


class RepeatsTest(testtools.TestCase):
    """Guards against repeats that run again or get another outcome."""

    def test_repeats_at_other_nodes(self):
        with clusters.running(node_count=3, flush_s=0.3) as cluster:
            recorder = recording.Recorder(cluster, 11)
            names = [recorder.new_name() for _ in range(100)]
            with recording.thread_pool(16) as pool:
                for name in names:
                    for node in cluster.names:
                        pool.submit(recorder.order, node, name)
            again = [recorder.order('entry-2', name) for name in names]
            self.assertEqual({201}, {call.status for call in again})
            history = recording.check(self, recorder)
            self.assertEqual(dict.fromkeys(names, 1), history.runs)
            self.assertEqual(0, histories.unknown_share(history))

    def test_what_a_key_tells(self):
        with clusters.running(flush_s=0.3) as cluster:
            recorder = recording.Recorder(cluster, 12)
            call = recorder.order('entry-0', 'a')
            key = {'Idempotency-Key': 'a'}
            other = cluster.post(
                'entry-1', recording.ORDERS_PATH, {'order': 'b'}, key
            )
            self.assertEqual((422, 'key_reused'), (other.status, other.code))
            told = _tell(cluster, 'entry-1', 'a')
            self.assertEqual('done', told['state'])
            self.assertEqual(call.request_id, told['request_id'])
            self.assertIn('"run":1', told['body'])
            reply = cluster.get(cluster.nodes['entry-0'], '/v1/requests/a')
            self.assertEqual(401, reply.status)
            first = recorder.chat('entry-0', True, True, name='s')
            second = recorder.chat('entry-1', True, True, name='s')
            self.assertTrue(first.whole and second.whole)
            self.assertEqual(first.request_id, second.repeated)
            for engine in ('small-1', 'large-1'):
                settings = {'token_ms': 0}
                cluster.control(cluster.upstreams[engine], 'settings', settings)
            large = {'messages': [{'role': 'user', 'content': 'x'}]}
            key = {'Idempotency-Key': 'large'}
            bodies = [
                cluster.chat(name, headers=key, max_tokens=6000, **large).body
                for name in cluster.names
            ]
            self.assertGreater(len(bodies[0]), 2**16)
            self.assertEqual(bodies[0], bodies[1])
            recording.check(self, recorder)

    def test_a_caller_that_leaves_does_not_stop_a_claimed_stream(self):
        with clusters.running(flush_s=0.3) as cluster:
            settings = {'token_ms': 100}
            for engine in ('small-1', 'large-1'):
                cluster.control(cluster.upstreams[engine], 'settings', settings)
            recorder = recording.Recorder(cluster, 13)
            left = recorder.chat(
                'entry-0', True, True, name='s', timeout_s=0.05
            )
            self.assertEqual('', left.outcome)
            clusters.wait_until(
                lambda: recorder.chat('entry-1', True, True, name='s').whole
            )
            recording.check(self, recorder)


class FailuresTest(testtools.TestCase):
    """Guards against false "not run" and second runs under failures."""

    def test_cuts_and_faults_of_the_desk(self):
        with clusters.running(node_count=1, flush_s=0.3) as cluster:
            recorder = recording.Recorder(cluster, 21)
            link = ['all>desk-1']
            # Fills the retry budget, so that a wrong retry is not refused.
            with recording.thread_pool(8) as pool:
                for _ in range(100):
                    pool.submit(recorder.order, 'entry-0')
            short = {'X-Radish-Deadline-Ms': '400'}
            desk = cluster.upstreams['desk-1']
            for fault in ('hang', 'close', 'error', 'truncate'):
                cluster.control(desk, 'settings', {'fault': fault, 'every': 2})
                for _ in range(4):
                    recorder.order('entry-0', headers=short)
            cluster.control(desk, 'settings', {})
            for size in (0, 20, 150, 250, 400):
                for direction in ('requests', 'answers'):
                    cluster.fault('pass', link)
                    clusters.wait_until(lambda: _sees_desk(cluster))
                    cluster.fault(
                        'reset', link, direction=direction, after_bytes=size
                    )
                    for _ in range(2):
                        recorder.order('entry-0', headers=short)
                    recorder.order('entry-0', keyed=False, headers=short)
            for mode in ('refuse', 'blackhole'):
                cluster.fault(mode, link)
                recorder.order('entry-0', headers=short)
            cluster.fault('pass', link)
            for call in recorder.history().calls:
                if call.key:
                    recorder.order('entry-0', call.name)
            history = recording.check(self, recorder)
            told = {call.outcome for call in history.calls}
            self.assertEqual({'completed', 'not_run', 'unknown'}, told)

    def test_lost_answers_and_an_outage_of_the_store(self):
        with clusters.running(node_count=2, flush_s=0.3) as cluster:
            recorder = recording.Recorder(cluster, 22)
            names = [recorder.new_name() for _ in range(20)]
            cluster.platform_fault('lose_answers', probability=0.5)
            _send_all(recorder, cluster.names, names)
            cluster.platform_fault('down')
            _send_all(recorder, cluster.names, names[:5])
            cluster.platform_fault('up')
            cluster.wait_ready()
            for name in names:
                clusters.wait_until(
                    lambda name=name: _is_settled(recorder, name)
                )
            history = recording.check(self, recorder)
            self.assertEqual(dict.fromkeys(names, 1), history.runs)
            self.assertEqual(0, histories.unknown_share(history))

    def test_a_node_that_is_killed_or_frozen_while_orders_run(self):
        with clusters.running(node_count=3, flush_s=0.3) as cluster:
            recorder = recording.Recorder(cluster, 23)
            desk = cluster.upstreams['desk-1']
            cluster.control(desk, 'settings', {'delay_ms': 300})
            names = [recorder.new_name() for _ in range(24)]
            short = {'X-Radish-Deadline-Ms': '1500'}
            victim = cluster.nodes['entry-0']
            frozen = cluster.nodes['entry-1']
            with recording.thread_pool(12) as pool:
                for index, name in enumerate(names):
                    node = f'entry-{index % 2}'
                    pool.submit(recorder.order, node, name, headers=short)
                time.sleep(0.45)
                frozen.signal(signal.SIGSTOP)
                victim.kill()
                threading.Timer(4.0, frozen.signal, [signal.SIGCONT]).start()
            for name in names:
                recorder.order('entry-2', name)

            def tell_all():
                return [
                    _tell(cluster, 'entry-2', name)['state'] for name in names
                ]

            # A claim counts as running until its deadline and 5 s more.
            clusters.wait_until(lambda: 'claimed' not in tell_all())
            told = tell_all()
            self.assertIn('unknown', told)
            self.assertEqual({'done', 'unknown'}, set(told))
            recording.check(self, recorder)


def _send_all(recorder, nodes_asked, names) -> None:
    with recording.thread_pool(8) as pool:
        for name in names:
            for node in nodes_asked:
                pool.submit(recorder.order, node, name)


def _is_settled(recorder, name: str) -> bool:
    return recorder.order('entry-1', name).status == 201


def _sees_desk(cluster) -> bool:
    seen = cluster.status('entry-0')['upstreams']
    states_seen = {item['upstream']: item['state'] for item in seen}
    return states_seen['desk-1'] == 'warm'


def _tell(cluster, node: str, key: str):
    path = f'/v1/requests/{key}'
    return cluster.request('GET', node, path).json
