"""Requests through a gateway; store, workers and gateway are processes."""

import concurrent.futures
import signal

import testtools

from radishcourse_node import events
from tests import site as sites
from tests import sitefiles

# Attempts that the routes of the site allow.
MAX_ATTEMPTS = 3
# Each attempt at an upstream that cuts its streams brings one event, so all
# attempts together can't complete a stream of this length.
CUT_EVENTS = 10


class SiteTest(testtools.TestCase):
    """Base of tests that share one site for each class."""

    gateways = 1
    retry_slack = sitefiles.RETRY_SLACK

    @classmethod
    def setUpClass(cls):
        super().setUpClass()
        cls._running = sites.running(cls.gateways, retry_slack=cls.retry_slack)
        cls.site = cls._running.__enter__()

    @classmethod
    def tearDownClass(cls):
        cls._running.__exit__(None, None, None)
        super().tearDownClass()

    def send(self, method, path, body=None, **headers) -> sites.Response:
        """Sends a request to the first gateway."""
        return self.site.send('gateway-1', method, path, body, **headers)

    def runs_of(self, response: sites.Response) -> list[dict]:
        """Returns the runs at all workers of the request behind a response."""
        return [
            run
            for run in self.site.runs()
            if run['request'] == response.request
        ]


class RecordTest(SiteTest):
    """Guards against an answer without a record, by which it is billed.

    Its gateway ends as soon as the caller has the answer.
    """

    def test_caller_has_no_answer_before_its_record_is_written(self):
        gateway = self.site.gateways['gateway-1']
        for method, path in (('POST', '/order/1'), ('POST', '/draft/1')) * 20:
            response = self.send(method, path, b'goods')
            gateway.signal(signal.SIGSTOP)
            try:
                written = gateway.log.read_text()
            finally:
                gateway.signal(signal.SIGCONT)
            records = [
                line
                for line in written.splitlines()
                if response.request in line and '"request_answered"' in line
            ]
            self.assertEqual((200, 1), (response.status, len(records)), path)
            self.assertIn('"completed"', records[0])


class ForwardTest(SiteTest):
    """Guards against requests and headers that the gateway changes."""

    def test_request_reaches_an_upstream_unchanged(self):
        response = self.send('POST', '/order/a%20b?x=1&y=', b'goods')
        (run,) = self.runs_of(response)
        self.assertEqual((200, True), (response.status, response.whole))
        self.assertEqual('POST', run['method'])
        self.assertEqual('/order/a%20b?x=1&y=', run['target'])
        self.assertEqual('goods', run['body'])
        self.assertIn('x-server-stamp', response.headers)

    def test_upstream_gets_the_organisation_and_not_the_key(self):
        response = self.send('GET', '/stock/1', X_Tenant='forged')
        (run,) = self.runs_of(response)
        self.assertEqual('first', run['headers']['x-tenant'])
        self.assertNotIn('api-key', run['headers'])

    def test_reserved_headers_of_callers_are_dropped(self):
        forged = {
            'X_Hold': '1',
            'X_Pin_Ms': '1',
            'X_Kv_Backup': '1',
            'Kv_From': '1',
            'Kv_Fetch': '1',
            'X_Expect_Version': '1',
            'X_Request_Priority': '0',
        }
        response = self.send('GET', '/draft/1', **forged)
        (run,) = self.runs_of(response)
        for name in ('x-hold', 'x-pin-ms', 'x-kv-backup', 'kv-from'):
            self.assertNotIn(name, run['headers'])
        self.assertNotIn('kv-fetch', run['headers'])
        self.assertNotIn('x-expect-version', run['headers'])
        self.assertEqual('2', run['headers']['x-request-priority'])

    def test_hop_by_hop_headers_are_not_forwarded(self):
        response = self.send('GET', '/stock/1', Connection='X-Own', X_Own='1')
        (run,) = self.runs_of(response)
        self.assertNotIn('x-own', run['headers'])
        self.assertNotIn('connection', run['headers'])

    def test_remaining_time_budget_is_forwarded(self):
        response = self.send('GET', '/stock/1', X_Time_Budget_Ms='900')
        (run,) = self.runs_of(response)
        self.assertLessEqual(int(run['headers']['x-time-budget-ms']), 900)
        without = self.send('GET', '/stock/1', X_Time_Budget_Ms=None)
        (run,) = self.runs_of(without)
        self.assertLessEqual(int(run['headers']['x-time-budget-ms']), 4000)

    def test_stream_is_forwarded_completely(self):
        response = self.send('POST', '/draft/1', b'prompt')
        self.assertTrue(response.whole)
        self.assertEqual(3, response.body.count(b'\n\n'))


class RefusalTest(SiteTest):
    """Guards against forwarded requests that should have been refused."""

    def test_unknown_path_is_not_found(self):
        self.assertEqual(404, self.send('GET', '/nothing/1').status)

    def test_unknown_key_is_refused(self):
        for key in ('no-such-key', None):
            response = self.send('GET', '/stock/1', Api_Key=key)
            self.assertEqual(401, response.status)
            self.assertEqual([], self.runs_of(response))

    def test_body_over_the_limit_is_refused(self):
        response = self.send('POST', '/order/1', b'x' * 70_000)
        self.assertEqual(413, response.status)
        self.assertEqual([], self.runs_of(response))


class NoUpstreamTest(SiteTest):
    """Guards against requests that wait while no upstream is listed."""

    def test_service_without_upstreams_is_refused_with_retry_after(self):
        self.site.configure(
            version=9,
            routes=[sitefiles.route('none', '/none/', 'idempotent', 'nobody')],
        )
        sites.wait_until(lambda: self.send('GET', '/none/1').status != 404)
        response = self.send('GET', '/none/1')
        self.assertEqual(503, response.status)
        self.assertGreater(float(response.headers['retry-after']), 0)


class FaultTest(SiteTest):
    """Guards against truncated, foreign or repeated responses and double runs.

    The workers inject the faults; `Fault` of the worker stand-in lists them.
    """

    def setUp(self):
        super().setUp()
        for name in self.site.workers:
            self.addCleanup(self.site.set_behaviour, name)

    def _inject_fault(
        self, service: str, fault: str, count: int = 1000, **settings
    ) -> None:
        for name in self.site.workers:
            if name.startswith(service):
                self.site.set_behaviour(
                    name, fault=fault, count=count, **settings
                )

    def test_order_that_may_have_run_is_not_retried(self):
        for fault in ('close', 'truncate', 'foreign', 'unstamped'):
            self._inject_fault('desk', fault)
            response = self.send('POST', '/order/1', b'goods')
            self.assertEqual(502, response.status, fault)
            self.assertEqual(1, len(self.runs_of(response)), fault)

    def test_error_response_to_an_order_is_forwarded_unchanged(self):
        self._inject_fault('desk', 'error')
        response = self.send('POST', '/order/1', b'goods')
        self.assertEqual((500, b'failed'), (response.status, response.body))
        self.assertIn('x-server-stamp', response.headers)
        self.assertEqual(1, len(self.runs_of(response)))

    def test_order_that_did_not_run_is_retried_at_another_upstream(self):
        self.site.set_behaviour('desk-1', fault='shed')
        for _ in range(6):
            response = self.send('POST', '/order/1', b'goods')
            self.assertEqual(200, response.status)
            self.assertEqual(1, len(self.runs_of(response)))

    def test_order_that_no_upstream_ran_is_refused(self):
        self._inject_fault('desk', 'shed')
        response = self.send('POST', '/order/1', b'goods')
        self.assertEqual(503, response.status)
        self.assertGreater(float(response.headers['retry-after']), 0)
        self.assertEqual([], self.runs_of(response))

    def test_lookup_is_retried_at_another_upstream(self):
        for fault in ('close', 'truncate', 'foreign', 'error', 'hang'):
            self.site.set_behaviour('desk-1', fault=fault)
            for _ in range(3):
                response = self.send('GET', '/stock/1')
                self.assertEqual(200, response.status, fault)
            self.site.set_behaviour('desk-1')

    def test_surplus_response_reaches_no_other_request(self):
        self._inject_fault('desk', 'extra')
        for index in range(8):
            response = self.send('GET', f'/stock/{index}')
            self.assertEqual(200, response.status)
            self.assertTrue(response.body.endswith(b'/%d' % index))

    def test_broken_stream_resumes_without_lost_or_repeated_events(self):
        for fault in ('cut', 'silent'):
            self._inject_fault('engine', fault, count=1)
            self.site.set_behaviour('engine-2', events=5)
            self.site.set_behaviour('engine-1', fault=fault, count=1, events=5)
            for _ in range(4):
                response = self.send('POST', '/draft/1', b'prompt')
                self.assertTrue(response.whole, fault)
                event_ids = [
                    line
                    for line in response.body.split(b'\n')
                    if line.startswith(b'id:')
                ]
                expected_ids = [b'id: %d' % index for index in range(1, 6)]
                self.assertEqual(expected_ids, event_ids, fault)

    def test_stream_without_length_that_ends_within_an_event_resumes(self):
        for fault in ('unframed', 'unframed_cut'):
            self.site.set_behaviour('engine-1', events=5)
            self.site.set_behaviour('engine-2', fault=fault, count=1, events=5)
            for _ in range(6):
                response = self.send('POST', '/draft/1', b'prompt')
                lines = response.body.splitlines()
                event_ids = [line for line in lines if line.startswith(b'id:')]
                expected_ids = [b'id: %d' % index for index in range(1, 6)]
                self.assertTrue(response.whole, fault)
                self.assertEqual(expected_ids, event_ids, fault)

    def test_stream_that_can_not_resume_does_not_look_complete(self):
        self._inject_fault('engine', 'cut', events=CUT_EVENTS)
        response = self.send('POST', '/draft/1', b'prompt')
        self.assertFalse(response.whole)
        self.assertLessEqual(len(self.runs_of(response)), MAX_ATTEMPTS)

    def test_warnings_of_libraries_are_logged_as_events(self):
        self._inject_fault('engine', 'cut', events=CUT_EVENTS)
        self.send('POST', '/draft/1', b'prompt')
        [name] = self.site.gateways
        sites.wait_until(
            lambda: any(
                line['event'] == events.Event.LIBRARY_WARNED.value
                for line in self.site.log(name)
            )
        )
        text = self.site.gateways[name].log.read_text()
        plain_lines = [x for x in text.splitlines() if not x.startswith('{')]
        self.assertEqual([], plain_lines)

    def test_early_response_is_forwarded_and_its_connection_not_reused(self):
        self._inject_fault('desk', 'early', count=1)
        body = b'x' * 60_000
        responses = [self.send('POST', '/order/1', body) for _ in range(4)]
        self.assertEqual(
            {200, 413}, {response.status for response in responses}
        )
        for response in responses:
            for run in self.runs_of(response):
                self.assertEqual(60_000, len(run['body']))


class ModelTest(SiteTest):
    """Guards against responses of a model that is too small for the request."""

    _SIZE = {'X_Token_Count': '200,300', 'X_Model': '*'}

    def _models_that_ran(self, confidence: int) -> list[str]:
        for name in ('engine-1', 'engine-2'):
            self.site.set_behaviour(name, confidence={'small': confidence})
        response = self.send('POST', '/sized/1', b'prompt', **self._SIZE)
        self.assertTrue(response.whole)
        return [run['headers']['x-model'] for run in self.runs_of(response)]

    def test_confident_response_of_the_small_model_is_forwarded(self):
        self.assertEqual(['small'], self._models_that_ran(95))

    def test_larger_model_runs_when_the_small_one_lacks_confidence(self):
        self.assertEqual(['large', 'small'], sorted(self._models_that_ran(5)))


class ColdModelTest(SiteTest):
    """Guards against 503 for a request whose poor answer was dropped.

    Cold engines take few requests, so none is left for the larger model.
    """

    # A gateway without peers has a smaller share of a cold engine's rate.
    gateways = 2
    _SIZE = {'X_Token_Count': '200,300', 'X_Model': '*'}
    REQUESTS = 40
    # All requests arrive before the first of them is answered.
    ANSWER_MS = 200

    def _send(self, number: int) -> sites.Response:
        return self.send('POST', f'/sized/{number}', b'p', **self._SIZE)

    def _cold_engines(self) -> set[str]:
        return {
            line['upstream']
            for line in self.site.log('gateway-1')
            if line['event'] == events.Event.UPSTREAM_CHANGED.value
            and line['service'] == 'engine'
            and line['cold_s'] > 10
        }

    def test_poor_answer_is_kept_when_no_engine_may_take_the_larger_run(self):
        for name in ('engine-1', 'engine-2'):
            self.site.set_behaviour(
                name, confidence={'small': 5}, delay_ms=self.ANSWER_MS
            )
            self.site.write_entry(name, 'engine', coldLeftMs=20_000)
        sites.wait_until(lambda: len(self._cold_engines()) == 2)
        with concurrent.futures.ThreadPoolExecutor(self.REQUESTS) as pool:
            responses = list(pool.map(self._send, range(1, self.REQUESTS + 1)))
        models: dict[int, list[list[str]]] = {}
        for response in responses:
            ran = [run['headers']['x-model'] for run in self.runs_of(response)]
            models.setdefault(response.status, []).append(ran)
        self.assertEqual({200, 503}, models.keys())
        self.assertEqual([], [ran for ran in models[503] if ran])
        self.assertIn(['small'], models[200])
