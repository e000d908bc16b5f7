"""A short run of the soak on gateways, and its checks on made-up histories."""

import testtools

from tests import fleetsoak
from tests import sitefiles
from tests import soakcalls
from tests import soakrules

SECONDS = 8.0
EVENTS_PER_STREAM = 3
RECORD = soakrules.AnswerRecord('gateway-1-0-1', 'first', 200)
# Seeds that failed once, for how long each is played again, and the cause.
REGRESSIONS = {
    2: (SECONDS, 'the machine stood still; the soak notes stalls since'),
    16: (20.0, 'a version that had answered nobody was completed'),
    17: (SECONDS, 'the soak read the state of an earlier order'),
    20: (SECONDS, 'SIGHUP while Python itself started'),
    27: (20.0, 'SIGHUP while the gateway started ended the process'),
    40: (SECONDS, 'open: three late answers on a busy machine'),
}


class SoakTest(testtools.TestCase):
    """Guards against promises that faults break together."""

    def test_short_run_breaks_no_promise(self):
        self.assertEqual([], fleetsoak.run_seed(3, SECONDS, None))

    def test_seeds_that_failed_once_break_no_promise_again(self):
        for seed, (seconds, cause) in REGRESSIONS.items():
            self.assertEqual([], fleetsoak.run_seed(seed, seconds, None), cause)


class SoakRulesTest(testtools.TestCase):
    """Guards against a soak that sees nothing."""

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

    def test_sound_call_breaks_nothing(self):
        self.assertEqual(set(), self._violations([self._call()], [self._run()]))

    def test_order_that_ran_twice(self):
        runs = [self._run(), self._run(worker='desk-2')]
        self.assertEqual({'twice'}, self._violations([self._call()], runs))

    def test_refusal_of_what_ran(self):
        call = self._call(status=503, retry_after='1')
        self.assertEqual({'untrue'}, self._violations([call], [self._run()]))

    def test_refusal_without_a_time_to_return(self):
        call = self._call(status=503)
        self.assertEqual({'no time to return'}, self._violations([call]))

    def test_answer_of_another_request(self):
        call = self._call(body=b'desk-1 POST /order/0-2')
        self.assertEqual({'foreign'}, self._violations([call], [self._run()]))

    def test_stream_with_a_gap_that_looks_whole(self):
        call = self._call('draft', body=b'id: 1\n\nid: 3\n\n')
        self.assertEqual({'stream'}, self._violations([call], [self._run()]))

    def test_answer_that_is_billed_twice(self):
        violations = self._violations(
            [self._call()], [self._run()], [RECORD, RECORD]
        )
        self.assertEqual({'billed'}, violations)

    def test_answer_that_another_organisation_pays(self):
        record = soakrules.AnswerRecord('gateway-1-0-1', 'second', 200)
        violations = self._violations([self._call()], [self._run()], [record])
        self.assertEqual({'billed'}, violations)

    def test_answer_that_nobody_pays(self):
        violations = self._violations([self._call()], [self._run()], [])
        self.assertEqual({'unbilled'}, violations)

    def test_answer_that_no_worker_gave(self):
        self.assertEqual({'unrun'}, self._violations([self._call()]))

    def test_answer_beyond_its_time(self):
        call = self._call(done_at=107.0)
        self.assertEqual({'late'}, self._violations([call], [self._run()]))

    def test_stall_of_the_machine_excuses_only_what_fell_into_it(self):
        self.timeline.add_stall(95.0, 99.0)
        late = self._call(done_at=107.0)
        self.assertEqual({'late'}, self._violations([late], [self._run()]))
        stalled = self._call(sent_at=98.0, done_at=107.0)
        self.assertEqual(set(), self._violations([stalled], [self._run()]))

    def test_withdrawn_key_that_still_opens(self):
        change = soakrules.Interval('key', sitefiles.OTHER_KEY, 90.0)
        self.timeline.changes.append(change)
        call = self._call(key=sitefiles.OTHER_KEY)
        record = soakrules.AnswerRecord('gateway-1-0-1', 'second', 200)
        violations = self._violations([call], [self._run()], [record])
        self.assertEqual({'key'}, violations)

    def test_work_for_a_worker_that_leaves(self):
        self.timeline.changes.append(
            soakrules.Interval('drain', 'desk-1', 90.0)
        )
        self.assertEqual({'drain'}, self._violations(runs=[self._run()]))

    def test_node_that_could_not_know_is_excused(self):
        self.timeline.changes.append(
            soakrules.Interval('drain', 'desk-1', 90.0)
        )
        with self.timeline.disruption('store'):
            pass
        [disruption] = self.timeline.disruptions
        disruption.begun_at, disruption.ended_at = 95.0, 99.0
        self.assertEqual(set(), self._violations(runs=[self._run()]))

    def test_bad_version_that_spreads(self):
        rollout = soakrules.Rollout(['new-1'], True, 90.0, 110.0, 'rolled_back')
        self.timeline.rollouts.append(rollout)
        runs = [self._run(worker='new-1', kind='draft') for _ in range(40)]
        self.assertEqual({'exposure'}, self._violations(runs=runs))

    def test_rollout_without_an_end(self):
        rollout = soakrules.Rollout(['new-1'], False, 90.0, 110.0, 'running')
        self.timeline.rollouts.append(rollout)
        self.assertEqual({'rollout'}, self._violations())

    def test_stop_that_fails(self):
        self.timeline.add_exit('gateway-1', -9)
        self.assertEqual({'stop'}, self._violations())
