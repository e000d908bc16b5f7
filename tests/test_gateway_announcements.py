"""What upstreams say of themselves in answers, and what gateways then send."""

import time

import hypothesis
from hypothesis import strategies
import testtools

from radishcourse_adapter import manifest
from radishcourse_gateway import records
from radishcourse_gateway import view as views
from radishcourse_model import ids
from radishcourse_policy import clock as clocks
from radishcourse_policy import position as positions
from radishcourse_policy import retryafter
from tests import rawsite
from tests import rawworker
from tests import test_adapter

# Requests that a machine may still send between half a second after a 503 with
# Retry-After and the end of that time.
MAX_EARLY = 2
LEAVING = {'Server_Leaving': '1'}
PATHS = (
    ('POST', '/raw-order/1'),
    ('GET', '/raw-stock/1'),
    ('POST', '/raw-draft/1'),
    ('POST', '/raw-once/1'),
)


def _by_path(request: rawworker.Request, status: int, **extra):
    """Returns an answer of the sort that the request's route has."""
    is_stream = request.target.startswith(('/raw-draft/', '/raw-once/'))
    if status == 200 and is_stream:
        body = rawworker.events(request.last_event + 1, rawsite.LAST_EVENT)
        return rawworker.Reply(
            rawworker.message(
                request, 200, body, 'chunked', **rawsite.STREAM, **extra
            )
        )
    return rawworker.Reply(
        rawworker.message(request, status, b'body', 'length', **extra)
    )


class _AnnouncementTest(rawsite.RawSiteTest):
    """Base of tests in which the first worker asked announces something."""

    def setUp(self):
        super().setUp()
        self.announcer = None
        self.announced_at = 0.0

    def _announce_first(self, make):
        """Returns a script by which the first worker asked announces once."""

        def reply(request: rawworker.Request) -> rawworker.Reply:
            worker = request.headers['x-expect-instance']
            if self.announcer is None:
                self.announcer, self.announced_at = worker, time.monotonic()
                return make(request)
            return _by_path(request, 200)

        return reply

    def _arrivals(self, script) -> int:
        """Returns the requests at the announcer after the first one."""
        return (
            sum(
                request.headers['x-expect-instance'] == self.announcer
                for request in script.requests
            )
            - 1
        )

    def _send_all(self, times: int = 10) -> list:
        return [
            self.call(*PATHS[number % len(PATHS)])
            for number in range(times * len(PATHS))
        ]


class LeavingTest(_AnnouncementTest):
    """Guards against requests to an upstream that has said that it leaves."""

    def _check(self, method: str, path: str, make) -> None:
        self.announcer = None
        with self.workers(self._announce_first(make), count=2) as script:
            self.call(method, path)
            answers = self._send_all()
            self.assertEqual(0, self._arrivals(script), (method, path))
            self.assertEqual({200}, {answer.status for answer in answers})

    def test_any_answer_binds(self):
        for method, path in PATHS:
            self._check(
                method, path, lambda request: _by_path(request, 200, **LEAVING)
            )

    def test_failures_and_refusals_bind(self):
        for status, extra in (
            (500, {}),
            (503, {'X_Not_Executed': '1', 'X_Server_Stamp': None}),
            (404, {}),
        ):
            self._check(
                'GET',
                '/raw-stock/1',
                lambda request, status=status, extra=extra: _by_path(
                    request, status, **LEAVING, **extra
                ),
            )

    def test_stream_that_breaks_off_is_resumed_elsewhere(self):
        def cut(request: rawworker.Request) -> rawworker.Reply:
            data = rawworker.head(
                request, 200, chunked=True, **rawsite.STREAM, **LEAVING
            )
            data += rawworker.chunk(rawworker.events(1, 2))
            return rawworker.Reply(data, rawworker.End.CLOSE)

        with self.workers(self._announce_first(cut), count=2) as script:
            self.assert_stream_served('cut')
            self._send_all()
            self.assertEqual(0, self._arrivals(script))

    def test_service_whose_upstreams_all_leave_refuses_at_once(self):
        def leave(request: rawworker.Request) -> rawworker.Reply:
            return _by_path(request, 200, **LEAVING)

        with self.workers(leave, count=2) as script:
            for _ in range(4):
                self.call('GET', '/raw-stock/1')
            self.assertEqual(2, len(script.requests))
            sent_at = time.monotonic()
            response = self.call('POST', '/raw-order/1')
            self.assertLess(time.monotonic() - sent_at, 0.5)
            self.assertEqual(503, response.status)
            self.assertGreater(float(response.headers['retry-after']), 0)


class PauseTest(_AnnouncementTest):
    """Guards against requests to an upstream that has asked for a pause."""

    def _check(self, pause: str, seconds: float, **extra) -> None:
        self.announcer = None

        def refuse(request: rawworker.Request) -> rawworker.Reply:
            return _by_path(request, 503, Retry_After=pause, **extra)

        with self.workers(self._announce_first(refuse), count=2) as script:
            self.call('GET', '/raw-stock/1')
            while (
                time.monotonic() - self.announced_at < min(seconds, 2.0) - 0.1
            ):
                self.assertEqual(200, self.call('GET', '/raw-stock/1').status)
            self.assertLessEqual(self._arrivals(script), MAX_EARLY, pause)
            if seconds > 2.0:
                return
            while time.monotonic() - self.announced_at < seconds + 1.0:
                self.call('GET', '/raw-stock/1')
            self.assertGreater(self._arrivals(script), 0, pause)

    def test_refusal_with_a_pause_is_kept_and_ends(self):
        for extra in (
            {},
            {'X_Not_Executed': '1', 'X_Server_Stamp': None},
        ):
            self._check('1.5', 1.5, **extra)

    def test_pause_of_days_is_kept(self):
        self._check('1e9', 1e9)

    def test_malformed_pause_is_none(self):
        for pause in ('-3', 'soon', 'nan', 'Sat, 05 Dec 2026 07:00:00 GMT'):
            self._check(pause, 0.0)

    def test_service_whose_upstreams_all_pause_tells_callers_for_how_long(self):
        def refuse(request: rawworker.Request) -> rawworker.Reply:
            return _by_path(
                request,
                503,
                Retry_After='20',
                X_Not_Executed='1',
                X_Server_Stamp=None,
            )

        with self.workers(refuse, count=2) as script:
            for _ in range(3):
                self.call('GET', '/raw-stock/1')
            self.assertEqual(2, len(script.requests))
            response = self.call('POST', '/raw-order/1')
            self.assertEqual(503, response.status)
            self.assertGreater(float(response.headers['retry-after']), 15)


class RetryAfterTest(testtools.TestCase):
    """Guards against pauses without end, and values that raise errors."""

    @hypothesis.given(strategies.binary(max_size=12))
    def test_any_value_is_a_bounded_pause_or_none(self, value):
        seconds = retryafter.parse(value)
        if seconds is not None:
            self.assertTrue(0 <= seconds <= retryafter.MAX_PAUSE_S)

    def test_fractions_and_huge_values(self):
        for value, seconds in (
            (b'0', 0.0),
            (b'1.25', 1.25),
            (b'1e300', retryafter.MAX_PAUSE_S),
            (b'inf', None),
            (b'-1', None),
            (b'', None),
        ):
            self.assertEqual(seconds, retryafter.parse(value))


class EntryTest(testtools.TestCase):
    """Guards against an entry that lifts what its upstream has said."""

    def setUp(self):
        super().setUp()
        self.clock = clocks.ManualClock(100.0)
        self.view = views.View(self.clock, manifest.Decoder())
        self._versions = iter(range(1, 100))

    def _list(self, state: str = 'ready', born: int = 1):
        entry = {**test_adapter.EntryTest.ENTRY, 'state': state, 'born': born}
        row = records.Record(
            records.Table.UPSTREAMS,
            'a',
            positions.Position(1, next(self._versions)),
            manifest.msgspec.json.encode(entry),
        )
        self.view.apply([row], 'test')
        return self.view.upstreams[ids.UpstreamId('a')]

    def _is_usable(self) -> bool:
        return bool(self.view.usable(ids.ServiceId('engine')))

    def test_later_entry_of_the_same_run_does_not_lift_it(self):
        listed = self._list()
        self.view.note_leaving(listed)
        self.view.pause(listed, 30.0)
        for state in ('ready', 'draining', 'ready'):
            again = self._list(state)
            self.assertFalse(self._is_usable())
            self.assertEqual(130.0, again.paused_until)

    def test_new_run_lifts_it(self):
        listed = self._list()
        self.view.note_leaving(listed)
        self.view.pause(listed, 30.0)
        again = self._list(born=2)
        self.assertTrue(self._is_usable())
        self.assertEqual(0.0, again.paused_until)

    def test_answer_of_an_earlier_run_does_not_bind_the_new_one(self):
        listed = self._list()
        self._list(born=2)
        self.view.note_leaving(listed)
        self.view.pause(listed, 30.0)
        self.assertTrue(self._is_usable())
