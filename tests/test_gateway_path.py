"""The path of a request through the gateway, on real processes."""

import testtools

from radishcourse_node import events
from tests import site as sites
from tests import sitefiles


class SiteTest(testtools.TestCase):
    """A site that is started once for the tests of a class."""

    gateways = 1

    @classmethod
    def setUpClass(cls):
        super().setUpClass()
        cls._running = sites.running(cls.gateways)
        cls.site = cls._running.__enter__()

    @classmethod
    def tearDownClass(cls):
        cls._running.__exit__(None, None, None)
        super().tearDownClass()

    def send(self, method, path, body=None, **headers) -> sites.Answer:
        """Sends a request to the first gateway."""
        return self.site.send('gateway-1', method, path, body, **headers)

    def runs_of(self, answer: sites.Answer) -> list[dict]:
        """Returns the runs of a request at all workers."""
        return [
            run for run in self.site.runs() if run['request'] == answer.request
        ]


class ForwardTest(SiteTest):
    """Guards against requests that reach an upstream other than as sent."""

    def test_request_reaches_an_upstream_unchanged(self):
        answer = self.send('POST', '/order/a%20b?x=1&y=', b'goods')
        (run,) = self.runs_of(answer)
        self.assertEqual((200, True), (answer.status, answer.whole))
        self.assertEqual('POST', run['method'])
        self.assertEqual('/order/a%20b?x=1&y=', run['target'])
        self.assertEqual('goods', run['body'])
        self.assertIn('x-server-stamp', answer.headers)

    def test_upstream_learns_the_organisation_and_not_the_key(self):
        answer = self.send('GET', '/stock/1', X_Tenant='forged')
        (run,) = self.runs_of(answer)
        self.assertEqual('first', run['headers']['x-tenant'])
        self.assertNotIn('api-key', run['headers'])

    def test_callers_can_not_set_what_only_the_gateway_may(self):
        forged = {
            'X_Hold': '1',
            'X_Pin_Ms': '1',
            'X_Kv_Backup': '1',
            'Kv_From': '1',
            'Kv_Fetch': '1',
            'X_Expect_Version': '1',
            'X_Request_Priority': '0',
        }
        answer = self.send('GET', '/draft/1', **forged)
        (run,) = self.runs_of(answer)
        for name in ('x-hold', 'x-pin-ms', 'x-kv-backup', 'kv-from'):
            self.assertNotIn(name, run['headers'])
        self.assertNotIn('kv-fetch', run['headers'])
        self.assertNotIn('x-expect-version', run['headers'])
        self.assertEqual('2', run['headers']['x-request-priority'])

    def test_headers_of_one_connection_are_not_passed_on(self):
        answer = self.send('GET', '/stock/1', Connection='X-Own', X_Own='1')
        (run,) = self.runs_of(answer)
        self.assertNotIn('x-own', run['headers'])
        self.assertNotIn('connection', run['headers'])

    def test_time_that_is_left_is_handed_on(self):
        answer = self.send('GET', '/stock/1', X_Time_Budget_Ms='900')
        (run,) = self.runs_of(answer)
        self.assertLessEqual(int(run['headers']['x-time-budget-ms']), 900)
        without = self.send('GET', '/stock/1', X_Time_Budget_Ms=None)
        (run,) = self.runs_of(without)
        self.assertLessEqual(int(run['headers']['x-time-budget-ms']), 4000)

    def test_stream_is_passed_on_whole(self):
        answer = self.send('POST', '/draft/1', b'prompt')
        self.assertTrue(answer.whole)
        self.assertEqual(3, answer.body.count(b'\n\n'))


class RefusalTest(SiteTest):
    """Guards against requests that nobody allowed, and untrue refusals."""

    def test_unknown_path_is_not_found(self):
        self.assertEqual(404, self.send('GET', '/nothing/1').status)

    def test_unknown_key_is_refused(self):
        for key in ('no-such-key', None):
            answer = self.send('GET', '/stock/1', Api_Key=key)
            self.assertEqual(401, answer.status)
            self.assertEqual([], self.runs_of(answer))

    def test_body_over_the_limit_is_refused(self):
        answer = self.send('POST', '/order/1', b'x' * 70_000)
        self.assertEqual(413, answer.status)
        self.assertEqual([], self.runs_of(answer))


class NoUpstreamTest(SiteTest):
    """Guards against requests that wait for what can't come."""

    def test_nothing_to_serve_is_said_at_once_with_a_time_to_return(self):
        self.site.configure(
            version=9,
            routes=[sitefiles.route('none', '/none/', 'idempotent', 'nobody')],
        )
        sites.await_true(lambda: self.send('GET', '/none/1').status != 404)
        answer = self.send('GET', '/none/1')
        self.assertEqual(503, answer.status)
        self.assertGreater(float(answer.headers['retry-after']), 0)


class FaultTest(SiteTest):
    """Guards against answers that are cut, foreign, doubled or invented."""

    def setUp(self):
        super().setUp()
        for name in self.site.workers:
            self.addCleanup(self.site.behave, name)

    def _spoil(self, service: str, fault: str, count: int = 1000) -> None:
        for name in self.site.workers:
            if name.startswith(service):
                self.site.behave(name, fault=fault, count=count)

    def test_order_that_may_have_run_is_not_repeated(self):
        for fault in ('close', 'truncate', 'foreign', 'unstamped'):
            self._spoil('desk', fault)
            answer = self.send('POST', '/order/1', b'goods')
            self.assertEqual(502, answer.status, fault)
            self.assertEqual(1, len(self.runs_of(answer)), fault)

    def test_failure_of_an_order_is_passed_on_as_it_is(self):
        self._spoil('desk', 'error')
        answer = self.send('POST', '/order/1', b'goods')
        self.assertEqual((500, b'failed'), (answer.status, answer.body))
        self.assertIn('x-server-stamp', answer.headers)
        self.assertEqual(1, len(self.runs_of(answer)))

    def test_order_that_did_not_run_goes_to_another_upstream(self):
        self.site.behave('desk-1', fault='shed')
        for _ in range(6):
            answer = self.send('POST', '/order/1', b'goods')
            self.assertEqual(200, answer.status)
            self.assertEqual(1, len(self.runs_of(answer)))

    def test_order_that_no_upstream_ran_is_refused(self):
        self._spoil('desk', 'shed')
        answer = self.send('POST', '/order/1', b'goods')
        self.assertEqual(503, answer.status)
        self.assertGreater(float(answer.headers['retry-after']), 0)
        self.assertEqual([], self.runs_of(answer))

    def test_lookup_is_repeated_at_another_upstream(self):
        for fault in ('close', 'truncate', 'foreign', 'error', 'hang'):
            self.site.behave('desk-1', fault=fault)
            for _ in range(3):
                answer = self.send('GET', '/stock/1')
                self.assertEqual(200, answer.status, fault)
            self.site.behave('desk-1')

    def test_second_answer_reaches_no_other_request(self):
        self._spoil('desk', 'extra')
        for number in range(8):
            answer = self.send('GET', f'/stock/{number}')
            self.assertEqual(200, answer.status)
            self.assertTrue(answer.body.endswith(b'/%d' % number))

    def test_broken_stream_goes_on_without_a_gap_or_a_double(self):
        for fault in ('cut', 'silent'):
            self._spoil('engine', fault, count=1)
            self.site.behave('engine-2', events=5)
            self.site.behave('engine-1', fault=fault, count=1, events=5)
            for _ in range(4):
                answer = self.send('POST', '/draft/1', b'prompt')
                self.assertTrue(answer.whole, fault)
                ids = [
                    line
                    for line in answer.body.split(b'\n')
                    if line.startswith(b'id:')
                ]
                wanted = [b'id: %d' % number for number in range(1, 6)]
                self.assertEqual(wanted, ids, fault)

    def test_stream_that_can_not_go_on_does_not_look_complete(self):
        self._spoil('engine', 'cut')
        answer = self.send('POST', '/draft/1', b'prompt')
        self.assertFalse(answer.whole)

    def test_warnings_of_libraries_are_lines_of_the_log(self):
        self._spoil('engine', 'cut')
        self.send('POST', '/draft/1', b'prompt')
        [name] = self.site.gateways
        sites.await_true(
            lambda: any(
                line['event'] == events.Event.LIBRARY_WARNED.value
                for line in self.site.log(name)
            )
        )
        text = self.site.gateways[name].log.read_text()
        plain = [x for x in text.splitlines() if not x.startswith('{')]
        self.assertEqual([], plain)

    def test_early_answer_is_passed_on_and_its_connection_not_reused(self):
        self._spoil('desk', 'early', count=1)
        body = b'x' * 60_000
        answers = [self.send('POST', '/order/1', body) for _ in range(4)]
        self.assertEqual({200, 413}, {answer.status for answer in answers})
        for answer in answers:
            for run in self.runs_of(answer):
                self.assertEqual(60_000, len(run['body']))


class ModelTest(SiteTest):
    """Guards against answers of a model that is too small for the request."""

    _SIZE = {'X_Token_Count': '200,300', 'X_Model': '*'}

    def _models(self, confidence: int) -> list[str]:
        for name in ('engine-1', 'engine-2'):
            self.site.behave(name, confidence={'small': confidence})
        answer = self.send('POST', '/sized/1', b'prompt', **self._SIZE)
        self.assertTrue(answer.whole)
        return [run['headers']['x-model'] for run in self.runs_of(answer)]

    def test_confident_small_model_answers(self):
        self.assertEqual(['small'], self._models(95))

    def test_larger_model_is_asked_when_the_small_one_doubts(self):
        self.assertEqual(['large', 'small'], sorted(self._models(5)))
