"""Answers of upstreams that are not what their last byte suggests."""

import contextlib
import http.client
import itertools
import time

from radishcourse_gateway import verifier
from tests import rawworker
from tests import site as sites
from tests import sitefiles
from tests import test_gateway_path

STREAM = {'Content_Type': 'text/event-stream'}
LAST_EVENT = 5
ALL_EVENTS = rawworker.events(1, LAST_EVENT)
LONG_BODY = b'x' * (300 * 1024)
# What may listen at the address of a process that has ended or was cut off.
AFTER_A_CRASH = (
    rawworker.Listener.NONE,
    rawworker.Listener.SILENT,
    rawworker.Listener.MUTE,
    rawworker.Listener.OTHER,
)
NOT_RUN_STATUSES = (408, 421, 429, 503)
FRAMINGS = ('length', 'chunked', 'close')
REQUESTS = (('POST', '/raw-order/1'), ('GET', '/raw-stock/1'))


class RawSiteTest(test_gateway_path.SiteTest):
    """Base of tests with workers whose answers are scripted."""

    # Each case has retries left.
    retry_slack = 100_000
    _numbers = itertools.count(1)

    @classmethod
    def setUpClass(cls):
        super().setUpClass()
        cls._listed = len(cls.site.workers)
        routes = sitefiles.manifest()['routes']
        stream = {'gapTargetMs': 500, 'affinity': True}
        routes += [
            sitefiles.route('r1', '/raw-order/', 'non_idempotent', 'raw'),
            sitefiles.route('r2', '/raw-stock/', 'idempotent', 'raw'),
            sitefiles.route('r3', '/raw-once/', 'stream', 'raw', **stream),
            sitefiles.route(
                'r4',
                '/raw-draft/',
                'stream',
                'raw',
                streamResume=True,
                **stream,
            ),
        ]
        services = sitefiles.manifest()['services']
        services.append({'name': 'raw', 'healthPath': '/health'})
        cls.site.configure(version=5, routes=routes, services=services)
        sites.wait_until(
            lambda: (
                cls.site.send('gateway-1', 'GET', '/raw-stock/1').status == 503
            )
        )

    @contextlib.contextmanager
    def workers(self, *replies, count: int = 3):
        """Yields the script of workers that send replies in turn."""
        script = rawworker.Script(*replies)
        names = [f'raw-{next(self._numbers)}' for _ in range(count)]
        started = {name: rawworker.RawWorker(name, script) for name in names}
        for name, worker in started.items():
            self.site.write_entry(name, 'raw', address=worker.address)
        # A gateway counts removed upstreams as well, and learns of changes in
        # their order.
        type(self)._listed += count
        self.site.wait_listed(self._listed)
        try:
            yield script
        finally:
            for name, worker in started.items():
                self.site.put('servers', name, None)
                worker.stop()

    def call(self, method: str, path: str) -> sites.Response | None:
        """Sends a request; None if the connection ends without an answer."""
        body = b'goods' if method == 'POST' else None
        try:
            return self.send(method, path, body)
        except (http.client.HTTPException, OSError):
            return None

    def assert_stream_served(self, case) -> None:
        """Checks that a caller gets each event once and a whole answer."""
        response = self.call('POST', '/raw-draft/1')
        self.assertIsNotNone(response, case)
        self.assertEqual(ALL_EVENTS, response.body, case)
        self.assertEqual((200, True), (response.status, response.whole), case)

    def assert_not_served(self, response, case) -> None:
        """Checks that an answer claims neither success nor 'not run'."""
        if response is None or not response.whole:
            return
        self.assertGreaterEqual(response.status, 500, case)
        self.assertNotIn(response.status, NOT_RUN_STATUSES, case)


def sound_stream(request: rawworker.Request) -> rawworker.Reply:
    """Returns the rest of a stream in chunks."""
    body = rawworker.events(request.last_event + 1, LAST_EVENT)
    return rawworker.Reply(
        rawworker.message(request, 200, body, 'chunked', **STREAM)
    )


def sound_body(request: rawworker.Request) -> rawworker.Reply:
    """Returns a whole answer with a length."""
    return rawworker.Reply(rawworker.message(request, 200, b'whole', 'length'))


def unframed(body: bytes, listener, status: int = 200, **extra):
    """Returns a reply without length that ends with its connection."""

    def reply(request: rawworker.Request) -> rawworker.Reply:
        data = rawworker.message(request, status, body, 'close', **extra)
        return rawworker.Reply(data, rawworker.End.CLOSE, listener)

    return reply


def cut_stream(request: rawworker.Request) -> rawworker.Reply:
    """Returns two events of a chunked stream that breaks off."""
    data = rawworker.head(request, 200, chunked=True, **STREAM)
    data += rawworker.chunk(rawworker.events(1, 2))
    return rawworker.Reply(data, rawworker.End.CLOSE)


def _refusal(request: rawworker.Request) -> bytes:
    return rawworker.message(
        request, 503, b'', 'length', X_Not_Executed='1', stamp=''
    )


class UnframedAnswerTest(RawSiteTest):
    """Guards against answers that end as their upstream crashes."""

    def test_stream_that_ends_with_its_upstream_is_resumed(self):
        for listener in AFTER_A_CRASH:
            first = unframed(rawworker.events(1, 2), listener, **STREAM)
            with self.workers(first, sound_stream) as script:
                self.assert_stream_served(listener)
                self.assertEqual(2, len(script.requests), listener)

    def test_stream_that_can_not_resume_is_not_ended_as_whole(self):
        for listener in AFTER_A_CRASH:
            first = unframed(rawworker.events(1, 2), listener, **STREAM)
            with self.workers(first) as script:
                response = self.call('POST', '/raw-once/1')
                self.assert_not_served(response, listener)
                self.assertEqual(1, len(script.requests), listener)

    def test_body_that_ends_with_its_upstream_is_not_passed_on(self):
        for listener in AFTER_A_CRASH:
            first = unframed(b'half', listener)
            with self.workers(first, sound_body) as script:
                self.assert_not_served(
                    self.call('POST', '/raw-order/1'), listener
                )
                self.assertEqual(1, len(script.requests), listener)
            with self.workers(first, sound_body):
                response = self.call('GET', '/raw-stock/1')
                self.assertEqual(b'whole', response.body, listener)

    def test_long_body_that_ends_with_its_upstream_is_not_whole(self):
        for listener in AFTER_A_CRASH:
            with self.workers(unframed(LONG_BODY, listener)) as script:
                for number, (method, path) in enumerate(REQUESTS, 1):
                    self.assert_not_served(self.call(method, path), listener)
                    self.assertEqual(number, len(script.requests), listener)

    def test_error_that_ends_with_its_upstream_is_not_passed_on(self):
        for listener in AFTER_A_CRASH:
            with self.workers(unframed(b'half', listener, 500)):
                response = self.call('POST', '/raw-order/1')
                self.assertEqual(502, response.status, listener)


class SoundUnframedAnswerTest(RawSiteTest):
    """Guards against sound answers without length that are not served."""

    def _drain(self) -> None:
        """Lists the workers as draining, which most do before they end."""
        for name, address in self._addresses.items():
            self.site.write_entry(
                name, 'raw', address=address, state='draining'
            )
        self._wait_left()

    def _remove(self) -> None:
        """Removes the workers' entries, as the others do."""
        for name in self._addresses:
            self.site.put('servers', name, None)
        self._wait_left()
        time.sleep(verifier.SUSPENSION_MARGIN_S)

    def _wait_left(self) -> None:
        path = f'/raw-stock{rawworker.UNSCRIPTED_ITEM}'
        sites.wait_until(lambda: self.send('GET', path).status == 503)

    def test_answer_of_a_running_upstream_is_served_once(self):
        worker = rawworker.Listener.WORKER
        for method, path in REQUESTS:
            for body in (b'whole', b'', LONG_BODY):
                with self.workers(unframed(body, worker)) as script:
                    response = self.call(method, path)
                    self.assertEqual(200, response.status)
                    self.assertTrue(response.whole)
                    self.assertEqual(body, response.body)
                    self.assertEqual(1, len(script.requests))

    def test_stream_of_a_running_upstream_is_served_once(self):
        first = unframed(ALL_EVENTS, rawworker.Listener.WORKER, **STREAM)
        for path in ('/raw-draft/1', '/raw-once/1'):
            with self.workers(first) as script:
                response = self.call('POST', path)
                self.assertTrue(response.whole)
                self.assertEqual(ALL_EVENTS, response.body)
                self.assertEqual(1, len(script.requests))

    def test_answer_of_an_upstream_that_leaves_in_order_is_served_once(self):
        for leave, listener in itertools.product(
            (self._drain, self._remove), AFTER_A_CRASH
        ):
            for method, path, body, extra in (
                ('POST', '/raw-order/1', b'whole', {}),
                ('GET', '/raw-stock/1', b'whole', {}),
                ('POST', '/raw-draft/1', ALL_EVENTS, STREAM),
                ('POST', '/raw-once/1', ALL_EVENTS, STREAM),
            ):
                reply = unframed(body, listener, **extra)

                def leave_after(request, reply=reply, leave=leave):
                    made = reply(request)
                    made.before_end = leave
                    return made

                with self.workers(leave_after, count=1) as script:
                    response = self.call(method, path)
                    case = (leave.__name__, listener, path)
                    self.assertTrue(response.whole, case)
                    self.assertEqual(200, response.status, case)
                    self.assertEqual(body, response.body, case)
                    self.assertEqual(1, len(script.requests), case)

    @contextlib.contextmanager
    def workers(self, *replies, count: int = 3):
        with super().workers(*replies, count=count) as script:
            self._addresses = {
                row['key']: row['value']['address']
                for row in self.site.entries()
                if row['value']['service'] == 'raw'
            }
            yield script


class ContinuationTest(RawSiteTest):
    """Guards against answers that are taken for the rest of a stream."""

    def _serve_after(self, second, case) -> None:
        """Sends a stream that breaks, gets `second` and then its rest."""
        with self.workers(cut_stream, second, sound_stream):
            self.assert_stream_served(case)

    def test_answer_that_is_no_event_stream_does_not_continue_one(self):
        bodies = (b'', b'no such prompt', b'data: no such prompt\n\n')
        for status in (200, 201, 202, 206, 301, 307, 400, 404, 409, 413, 429):
            for framing, body in itertools.product(FRAMINGS, bodies):

                def second(request, status=status, framing=framing, body=body):
                    extra = {'Content_Type': 'text/plain'}
                    data = rawworker.message(
                        request, status, body, framing, **extra
                    )
                    return rawworker.Reply(data, rawworker.End.CLOSE)

                self._serve_after(second, (status, framing, body))

    def test_error_that_calls_itself_an_event_stream_does_not_continue(self):
        for status in (204, 304, 400, 404, 500, 503, 504):

            def second(request, status=status):
                body = b'' if status in (204, 304) else ALL_EVENTS
                length = None if status in (204, 304) else len(body)
                data = rawworker.head(request, status, length, **STREAM)
                return rawworker.Reply(data + body, rawworker.End.CLOSE)

            self._serve_after(second, status)

    def test_events_that_do_not_follow_the_last_one_are_not_joined(self):
        for name, body in (
            ('begins again', ALL_EVENTS),
            ('repeats the last', rawworker.events(2, LAST_EVENT)),
            ('leaves one out', rawworker.events(4, LAST_EVENT)),
            ('without ids', b'data: part 3\n\ndata: part 4\n\n'),
            ('unreadable id', b'id: three\ndata: part 3\n\n'),
        ):
            for framing in FRAMINGS:

                def second(request, body=body, framing=framing):
                    data = rawworker.message(
                        request, 200, body, framing, **STREAM
                    )
                    return rawworker.Reply(data, rawworker.End.CLOSE)

                self._serve_after(second, (name, framing))

    def test_answer_to_another_request_does_not_continue(self):
        for framing in FRAMINGS:

            def second(request, framing=framing):
                body = rawworker.events(3, LAST_EVENT)
                extra = {**STREAM, 'X_Request_Id': 'another'}
                return rawworker.Reply(
                    rawworker.message(request, 200, body, framing, **extra),
                    rawworker.End.CLOSE,
                )

            self._serve_after(second, framing)

    def test_stream_whose_events_have_no_ids_is_not_begun_again(self):
        def first(request):
            data = rawworker.head(request, 200, chunked=True, **STREAM)
            data += rawworker.chunk(b'data: part\n\n')
            return rawworker.Reply(data, rawworker.End.CLOSE)

        with self.workers(first, first, sound_stream):
            self.assert_not_served(self.call('POST', '/raw-draft/1'), 'no ids')

    def test_whole_stream_that_lacked_its_end_is_completed(self):
        def first(request):
            data = rawworker.head(request, 200, chunked=True, **STREAM)
            data += rawworker.chunk(ALL_EVENTS)
            return rawworker.Reply(data, rawworker.End.CLOSE)

        with self.workers(first, sound_stream):
            self.assert_stream_served('empty rest')

    def test_answer_instead_of_a_stream_is_passed_on(self):
        for status, framing in itertools.product(
            (200, 400, 404, 500), FRAMINGS
        ):

            def first(request, status=status, framing=framing):
                extra = {'Content_Type': 'text/plain'}
                return rawworker.Reply(
                    rawworker.message(request, status, b'no', framing, **extra),
                    rawworker.End.CLOSE,
                )

            with self.workers(first):
                response = self.call('POST', '/raw-once/1')
                case = (status, framing)
                self.assertEqual(status, response.status, case)
                self.assertEqual((b'no', True), (response.body, response.whole))


class RefusalTest(RawSiteTest):
    """Guards against refusals that are believed though they may be false."""

    def _order(self, first, case) -> None:
        """Checks that an order is neither called 'not run' nor run twice."""
        with self.workers(first, sound_body) as script:
            response = self.call('POST', '/raw-order/1')
            self.assert_not_served(response, case)
            self.assertEqual(1, len(script.requests), case)

    def test_refusal_of_another_request_is_not_believed(self):
        for status, request_id, framing in itertools.product(
            NOT_RUN_STATUSES, ('another', None), FRAMINGS
        ):

            def first(
                request, status=status, request_id=request_id, framing=framing
            ):
                extra = {'X_Not_Executed': '1', 'X_Request_Id': request_id}
                data = rawworker.message(request, status, b'', framing, **extra)
                return rawworker.Reply(data, rawworker.End.CLOSE)

            self._order(first, (status, request_id, framing))

    def test_refusal_that_does_not_say_not_run_is_not_passed_on(self):
        for status, framing in itertools.product((408, 429, 503), FRAMINGS):

            def first(request, status=status, framing=framing):
                data = rawworker.message(request, status, b'no', framing)
                return rawworker.Reply(data, rawworker.End.CLOSE)

            self._order(first, (status, framing))

    def test_refusal_that_breaks_off_is_not_believed(self):
        def first(request):
            data = rawworker.head(request, 503, 10, X_Not_Executed='1')
            return rawworker.Reply(data + b'half', rawworker.End.CLOSE)

        self._order(first, 'cut')

    def test_refusal_repeated_on_a_kept_connection_is_not_believed(self):
        refused: list[rawworker.Request] = []

        def repeat(request):
            refused.append(request)
            return rawworker.Reply(_refusal(refused[0]))

        with self.workers(repeat, count=1) as script:
            for number in range(1, 4):
                self.call('GET', f'/raw-stock/{number}')
            answers = [self.call('GET', f'/raw-stock/{n}') for n in range(4, 9)]
            for answer in answers:
                self.assert_not_served(answer, 'repeated')
            # No connection is used after a refusal of another request on it.
            used = [
                item.connection
                for item in script.requests
                if item.request_id != refused[0].request_id
            ]
            self.assertEqual(len(set(used)), len(used))

    def test_sound_refusal_is_believed(self):
        def refuse(request):
            return rawworker.Reply(_refusal(request))

        with self.workers(refuse, sound_body) as script:
            response = self.call('POST', '/raw-order/1')
            self.assertEqual(b'whole', response.body)
            self.assertEqual(2, len(script.requests))
        with self.workers(refuse):
            response = self.call('POST', '/raw-order/1')
            self.assertEqual(503, response.status)


class BrokenHeadTest(RawSiteTest):
    """Guards against answers whose heads break off."""

    def test_answer_whose_head_breaks_off_is_not_passed_on(self):
        for framing in FRAMINGS:
            size = []

            def first(request, framing=framing, size=size):
                data = rawworker.message(request, 200, b'whole', framing)
                cut = data.index(b'\r\n\r\n') + 3 if not size else size[-1] - 9
                size.append(cut)
                end = rawworker.End.RESET if cut % 2 else rawworker.End.CLOSE
                return rawworker.Reply(data[:cut], end)

            with self.workers(first, count=1) as script:
                while not size or size[-1] > 9:
                    response = self.call('POST', '/raw-order/1')
                    self.assert_not_served(response, (framing, size[-1]))
                self.assertEqual(len(size), len(script.requests))

    def test_stream_whose_head_breaks_off_is_served_elsewhere(self):
        for cut in range(1, 80, 13):

            def first(request, cut=cut):
                data = sound_stream(request).data
                return rawworker.Reply(data[:cut], rawworker.End.CLOSE)

            with self.workers(first, sound_stream):
                self.assert_stream_served(cut)

    def test_stream_whose_continuation_breaks_off_in_its_head(self):
        for cut in range(1, 80, 13):

            def second(request, cut=cut):
                data = sound_stream(request).data
                return rawworker.Reply(data[:cut], rawworker.End.CLOSE)

            with self.workers(cut_stream, second, sound_stream):
                self.assert_stream_served(cut)
