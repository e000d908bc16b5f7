"""Calls of the second interface: what is sent, and what counts as taken."""

import anyio
import testtools

from radishcourse_adapter import controlapi
from radishcourse_gateway import duties
from radishcourse_platform import errors
from radishcourse_platform import http
from tests import rawworker


class CallTest(testtools.TestCase):
    """Guards against calls that are malformed, or sent after a term."""

    def _call(self, status=200, check=None, order=False, **options):
        """Reports once, or orders; returns what the interface received."""
        received = []

        def reply(request: rawworker.Request) -> rawworker.Reply:
            received.append(request)
            if 'endless' in options:
                data = rawworker.head(request, 200, chunked=True)
                return rawworker.Reply(data, endless=options['endless'])
            return rawworker.Reply(
                rawworker.message(request, status, b'{}', 'length')
            )

        worker = rawworker.RawWorker('control', rawworker.Script(reply))
        self.addCleanup(worker.stop)

        async def call() -> None:
            async with http.open_client(
                f'http://{worker.address}',
                2.0,
                controlapi.MAX_BODY_BYTES,
                reset_on_close=True,
            ) as client:
                api = controlapi.ControlApi(client)
                if order:
                    await api.set_capacity('front-1', 77, 's', 'z', 6, check)
                else:
                    await api.report_usage('front-1', 77, 12, {'a': 3}, check)

        self.received = received
        anyio.run(call)
        return received

    def test_report_names_its_holder_and_token(self):
        (request,) = self._call()
        self.assertEqual('/usage', request.target)
        self.assertEqual(b'{"windowId":12,"counts":{"a":3}}', request.body)
        self.assertEqual('front-1', request.headers['x-lease-holder'])
        self.assertEqual('77', request.headers['x-fencing-token'])
        self.assertEqual('application/json', request.headers['content-type'])

    def test_order_names_service_zone_and_number(self):
        (request,) = self._call(order=True)
        self.assertEqual('/scale', request.target)
        self.assertEqual(
            b'{"service":"s","zone":"z","desired":6}', request.body
        )
        self.assertEqual('77', request.headers['x-fencing-token'])

    def test_check_that_fails_sends_nothing(self):
        def check():
            raise duties.TermEnded('ended')

        self.assertRaises(duties.TermEnded, self._call, check=check)
        self.assertEqual([], self.received)

    def test_other_statuses_are_failures(self):
        for status in (204, 307, 400, 500):
            self.assertRaises(errors.UnexpectedResponse, self._call, status)
        self.assertRaises(errors.RateLimited, self._call, 429)
        self.assertRaises(errors.Unavailable, self._call, 503)

    def test_body_without_end_is_a_lost_response(self):
        chunk = rawworker.chunk(b'x' * 1024)
        self.assertRaises(errors.ResponseLost, self._call, endless=chunk)
