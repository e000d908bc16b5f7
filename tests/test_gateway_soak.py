"""Guards against violations that appear only when several faults overlap.

Runs a few seeds of the soak on real gateways. Its checks run on made-up
calls, which guards against a soak that overlooks violations.
"""

import testtools

from tests import fleetsoak
from tests import site as sites
from tests import sitefiles
from tests import soakcalls
from tests import soakfaults
from tests import soakrules

SECONDS = 8.0
EVENTS_PER_STREAM = 3
RECORD = soakrules.AnswerRecord('gateway-1-0-1', 'first', 200)
# Seeds that failed once: the time for which each injects faults, and the cause.
REGRESSIONS = {
    2: (SECONDS, 'the machine stalled; the soak has excluded stalls since'),
    16: (20.0, 'a version that had served no request was completed'),
    17: (SECONDS, 'the soak read the state of an earlier roll-out'),
    20: (SECONDS, 'SIGHUP while the Python interpreter started'),
    27: (20.0, 'SIGHUP while the gateway started ended the process'),
    40: (SECONDS, 'unexplained: three late answers on a busy machine'),
}


class SoakTest(testtools.TestCase):
    """Guards against violations that appear only when faults overlap."""

    def test_short_run_violates_no_guarantee(self):
        self.assertEqual([], fleetsoak.run_seed(3, SECONDS, None))

    def test_seeds_that_failed_once_violate_no_guarantee_again(self):
        for seed, (seconds, cause) in REGRESSIONS.items():
            self.assertEqual([], fleetsoak.run_seed(seed, seconds, None), cause)


class RecoveryTest(testtools.TestCase):
    """Guards against a recovery check that fails because engines are down.

    A prompt that was sent just before its fault ended may crash them after it.
    """

    def test_engines_that_crashed_after_the_last_fault_are_started_again(self):
        with sites.running(2, link_workers=True) as site:
            soak = soakfaults.Soak(site, soakrules.Timeline())
            for name in ('engine-1', 'engine-2'):
                site.workers[name].kill()
            self.assertEqual([], fleetsoak.check_recovery(soak))


class SoakRulesTest(testtools.TestCase):
    """Guards against a soak that overlooks violations, or invents them."""

    def setUp(self):
        super().setUp()
        self.timeline = soakrules.Timeline()

    def _call(self, kind: str = 'order', **fields) -> soakcalls.Call:
        call = soakcalls.Call(
            request='gateway-1-0-1',
            gateway='gateway-1',
            kind=kind,
            target=f'/{kind}/0-1',
            key=sitefiles.KEY,
            session='session-0-0',
            sent_at=100.0,
            done_at=100.1,
            status=200,
            whole=True,
            stamp='desk-1',
            body=f'desk-1 POST /{kind}/0-1'.encode(),
        )
        for name, value in fields.items():
            setattr(call, name, value)
        return call

    def _run(self, at: float = 100.0, worker: str = 'desk-1', kind='order'):
        return soakrules.Run('gateway-1-0-1', worker, f'/{kind}/0-1', at)

    def _violations(self, calls=(), runs=(), records=(RECORD,)) -> set[str]:
        lines = soakrules.check(
            self.timeline,
            list(calls),
            list(runs),
            list(records),
            EVENTS_PER_STREAM,
        )
        return {line.partition(':')[0] for line in lines}

    def test_correct_call_has_no_violation(self):
        self.assertEqual(set(), self._violations([self._call()], [self._run()]))

    def test_order_that_ran_twice(self):
        runs = [self._run(), self._run(worker='desk-2')]
        self.assertEqual({'run twice'}, self._violations([self._call()], runs))

    def test_refused_request_that_ran(self):
        call = self._call(status=503, retry_after='1')
        self.assertEqual(
            {'refused but run'}, self._violations([call], [self._run()])
        )

    def test_refusal_without_retry_after(self):
        call = self._call(status=503)
        self.assertEqual({'no Retry-After'}, self._violations([call]))

    def test_answer_of_another_request(self):
        call = self._call(body=b'desk-1 POST /order/0-2')
        self.assertEqual(
            {'wrong answer'}, self._violations([call], [self._run()])
        )

    def test_complete_stream_that_lacks_an_event(self):
        call = self._call('draft', body=b'id: 1\n\nid: 3\n\n')
        self.assertEqual(
            {'wrong stream events'}, self._violations([call], [self._run()])
        )

    def test_answer_billed_twice(self):
        violations = self._violations(
            [self._call()], [self._run()], [RECORD, RECORD]
        )
        self.assertEqual({'billed twice'}, violations)

    def test_answer_billed_to_another_organisation(self):
        record = soakrules.AnswerRecord('gateway-1-0-1', 'second', 200)
        violations = self._violations([self._call()], [self._run()], [record])
        self.assertEqual({'wrong organisation billed'}, violations)

    def test_answer_without_a_bill(self):
        violations = self._violations([self._call()], [self._run()], [])
        self.assertEqual({'not billed'}, violations)

    def test_answer_that_no_worker_ran(self):
        self.assertEqual(
            {'answered but not run'}, self._violations([self._call()])
        )

    def test_answer_after_the_deadline(self):
        call = self._call(done_at=107.0)
        self.assertEqual(
            {'deadline exceeded'}, self._violations([call], [self._run()])
        )

    def test_stall_of_the_machine_excuses_only_overlapping_calls(self):
        self.timeline.add_stall(95.0, 99.0)
        late = self._call(done_at=107.0)
        self.assertEqual(
            {'deadline exceeded'}, self._violations([late], [self._run()])
        )
        stalled = self._call(sent_at=98.0, done_at=107.0)
        self.assertEqual(set(), self._violations([stalled], [self._run()]))

    def test_withdrawn_key_that_is_still_accepted(self):
        change = soakrules.Interval('key', sitefiles.OTHER_KEY, 90.0)
        self.timeline.changes.append(change)
        call = self._call(key=sitefiles.OTHER_KEY)
        record = soakrules.AnswerRecord('gateway-1-0-1', 'second', 200)
        violations = self._violations([call], [self._run()], [record])
        self.assertEqual({'key'}, violations)

    def test_request_at_a_draining_worker(self):
        self.timeline.changes.append(
            soakrules.Interval('drain', 'desk-1', 90.0)
        )
        self.assertEqual({'drain'}, self._violations(runs=[self._run()]))

    def test_gateway_without_the_store_is_excused(self):
        self.timeline.changes.append(
            soakrules.Interval('drain', 'desk-1', 90.0)
        )
        with self.timeline.disruption('store'):
            pass
        [disruption] = self.timeline.disruptions
        disruption.begun_at, disruption.ended_at = 95.0, 99.0
        self.assertEqual(set(), self._violations(runs=[self._run()]))

    def _rollout(self, bad: bool, state: str) -> soakrules.Rollout:
        return soakrules.Rollout(['new-1'], bad, 20.0, 90.0, 110.0, state)

    def _sessions(self, first_stamp: str, second_stamp: str, at: float):
        """Returns two calls of each of four sessions."""
        return [
            self._call(
                'draft',
                request=f'gateway-1-{number}-{turn}',
                session=f'session-{number}',
                stamp=stamp,
                sent_at=at + turn,
                whole=False,
            )
            for number in range(4)
            for turn, stamp in enumerate((first_stamp, second_stamp))
        ]

    def test_sessions_that_change_versions_early_in_a_rollout(self):
        self.timeline.rollouts.append(self._rollout(False, 'completed'))
        for stamps in (('engine-1', 'new-1'), ('new-1', 'engine-1')):
            early = self._sessions(*stamps, at=95.0)
            self.assertEqual({'session'}, self._violations(early))
        self.assertEqual(set(), self._violations(early[:6]))
        late = self._sessions('engine-1', 'new-1', at=100.0)
        self.assertEqual(set(), self._violations(late))
        stays = self._sessions('new-1', 'new-1', at=95.0)
        self.assertEqual(set(), self._violations(stays))

    def test_bad_version_with_too_many_requests(self):
        rollout = self._rollout(True, 'rolled_back')
        self.timeline.rollouts.append(rollout)
        runs = [self._run(worker='new-1', kind='draft') for _ in range(40)]
        self.assertEqual({'exposure'}, self._violations(runs=runs))

    def test_rollout_without_a_final_state(self):
        rollout = self._rollout(False, 'running')
        self.timeline.rollouts.append(rollout)
        self.assertEqual({'rollout'}, self._violations())

    def test_planned_stop_with_an_error_code(self):
        self.timeline.add_exit('gateway-1', -9)
        self.assertEqual({'stop'}, self._violations())
