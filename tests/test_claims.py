"""Idempotency keys: requests run at most once and repeats get the outcome."""

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
# Time to the deadline of a request.
LIMIT_S = 10.0
nodes = strategies.sampled_from(NODES)


class _Attempt:
    """A request with the key at one node."""

    def __init__(self, write_id, base_version, expires_at):
        self.write_id, self.base_version, self.expires_at = (
            write_id,
            base_version,
            expires_at,
        )
        self.final_state = states.ClaimState.CLAIMED
        self.may_run = False


class ClaimMachine(stateful.RuleBasedStateMachine):
    """One key at three nodes with clock skew, lost and late writes, crashes.

    Guards against requests that run twice with one key.
    """

    def __init__(self):
        super().__init__()
        self.row = None
        self.version = 0
        self.writes = 0
        self.late_writes = []
        self.attempts = {}
        self.runs = 0
        self.now = 0.0
        self.skew = dict(zip(NODES, (0.0, 60.0, -60.0), strict=True))

    def _commit(self, version, row) -> bool:
        if version != self.version:
            return False
        self.version += 1
        self.row = row
        return True

    def _send(self, delivery, version, row) -> bool | None:
        """Returns whether the row was written, or None if it is not known."""
        if delivery == 'late':
            self.late_writes.append((version, row))
        elif delivery != 'never':
            written = self._commit(version, row)
            return written if delivery == 'answered' else None
        return None

    @stateful.rule(
        node=nodes,
        delivery=strategies.sampled_from(['answered', 'lost', 'late', 'never']),
    )
    def claim(self, node, delivery):
        wall = self.now + self.skew[node]
        if node in self.attempts:
            return
        if self.row is not None:
            state, _, expires_at = self.row
            action = claims.decide_action(state, True, expires_at, wall)
            if action is not claims.Action.CLAIM:
                return
        self.writes += 1
        attempt = _Attempt(
            self.writes, self.version, claims.expiry_time(wall, LIMIT_S)
        )
        row = (states.ClaimState.CLAIMED, attempt.write_id, attempt.expires_at)
        written = self._send(delivery, self.version, row)
        if written is None and self.row == row:
            written = True  # The node reads the row back and finds its write.
        if written is False:
            return
        self.attempts[node] = attempt
        attempt.may_run = bool(written)
        if not written:
            attempt.final_state = states.ClaimState.NOT_RUN

    @stateful.rule(
        node=nodes,
        final_state=strategies.sampled_from(
            [
                states.ClaimState.DONE,
                states.ClaimState.NOT_RUN,
                states.ClaimState.UNKNOWN,
            ]
        ),
    )
    def run(self, node, final_state):
        attempt = self.attempts.get(node)
        if attempt is None or not attempt.may_run:
            return
        attempt.may_run = False
        attempt.final_state = final_state
        self.runs += final_state is not states.ClaimState.NOT_RUN

    @stateful.rule(
        node=nodes,
        delivery=strategies.sampled_from(['answered', 'late', 'never']),
    )
    def settle(self, node, delivery):
        attempt = self.attempts.get(node)
        if attempt is None or attempt.may_run:
            return
        found = self.row[1] if self.row else None
        if not claims.may_settle(
            found, self.version, attempt.write_id, attempt.base_version
        ):
            del self.attempts[node]
            return
        self.writes += 1
        row = (attempt.final_state, self.writes, attempt.expires_at)
        if self._send(delivery, self.version, row):
            del self.attempts[node]

    @stateful.precondition(lambda self: self.late_writes)
    @stateful.rule()
    def arrive_late(self):
        self._commit(*self.late_writes.pop(0))

    @stateful.rule(node=nodes)
    def crash(self, node):
        self.attempts.pop(node, None)

    @stateful.rule(seconds=strategies.floats(1, 100))
    def wait(self, seconds):
        self.now += seconds

    @stateful.invariant()
    def check_runs(self):
        assert self.runs <= 1
        running = [item for item in self.attempts.values() if item.may_run]
        assert self.runs + len(running) <= 1


class ClaimMachineTest(testtools.TestCase):
    """Runs the state machine."""

    def test_a_key_runs_at_most_once(self):
        recording.run_machine(ClaimMachine, 300)


class RepeatsTest(testtools.TestCase):
    """Guards against repeats that run again or get a different outcome."""

    def test_repeats_at_other_nodes(self):
        with clusters.running(node_count=3, flush_s=0.3) as cluster:
            recorder = recording.Recorder(cluster, 11)
            names = [recorder.new_name() for _ in range(100)]
            with recording.thread_pool(16) as pool:
                for name in names:
                    for node in cluster.names:
                        pool.submit(recorder.order, node, name)
            repeats = [recorder.order('entry-2', name) for name in names]
            self.assertEqual({201}, {call.status for call in repeats})
            history = recording.check(self, recorder)
            self.assertEqual(dict.fromkeys(names, 1), history.runs)
            self.assertEqual(0, histories.unknown_share(history))

    def test_lookup_of_a_key_and_repeats_of_streams_and_large_answers(self):
        with clusters.running(flush_s=0.3) as cluster:
            recorder = recording.Recorder(cluster, 12)
            call = recorder.order('entry-0', 'a')
            key = {'Idempotency-Key': 'a'}
            other = cluster.post(
                'entry-1', recording.ORDERS_PATH, {'order': 'b'}, key
            )
            self.assertEqual((422, 'key_reused'), (other.status, other.code))
            report = _look_up(cluster, 'entry-1', 'a')
            self.assertEqual('done', report['state'])
            self.assertEqual(call.request_id, report['request_id'])
            self.assertIn('"run":1', report['body'])
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
    """Guards against a false "not run", and against second runs, in failures.

    A request whose bytes may have reached the upstream must not be reported as
    not run, since its caller would send it again.
    """

    def test_cuts_and_faults_of_the_desk(self):
        with clusters.running(node_count=1, flush_s=0.3) as cluster:
            recorder = recording.Recorder(cluster, 21)
            link = ['all>desk-1']
            # Fills the retry budget, so that it does not hide a wrong retry.
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
                    clusters.wait_until(lambda: _desk_is_up(cluster))
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
            outcomes = {call.outcome for call in history.calls}
            self.assertEqual({'completed', 'not_run', 'unknown'}, outcomes)

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

            def look_up_states():
                return [
                    _look_up(cluster, 'entry-2', name)['state']
                    for name in names
                ]

            # A claim counts as running until 5 s after its deadline.
            clusters.wait_until(lambda: 'claimed' not in look_up_states())
            found = look_up_states()
            self.assertIn('unknown', found)
            self.assertEqual({'done', 'unknown'}, set(found))
            recording.check(self, recorder)


def _send_all(recorder, nodes_asked, names) -> None:
    with recording.thread_pool(8) as pool:
        for name in names:
            for node in nodes_asked:
                pool.submit(recorder.order, node, name)


def _is_settled(recorder, name: str) -> bool:
    return recorder.order('entry-1', name).status == 201


def _desk_is_up(cluster) -> bool:
    seen = cluster.status('entry-0')['upstreams']
    states_seen = {item['upstream']: item['state'] for item in seen}
    return states_seen['desk-1'] == 'warm'


def _look_up(cluster, node: str, key: str):
    path = f'/v1/requests/{key}'
    return cluster.request('GET', node, path).json
