"""Heads of upstreams' answers that can not be passed on as they are."""

import itertools
import socket

import h11

from tests import rawsite
from tests import rawworker
from tests import sitefiles

STATUSES = ('600', '999', '000', '0', '99', '1000', 'abc', '', '-200', '0200')
INTERIM_STATUSES = (100, 101, 103, 199)
# Below the limit of a head, and above.
LONG_VALUE = 'x' * (60 * 1024)
LONGER_VALUE = 'x' * (128 * 1024)
# More than Python can convert to a number.
LONG_NUMBER = '9' * 5000
KEEP, CLOSE = rawworker.End.KEEP, rawworker.End.CLOSE


def _reply(status, body: bytes, framing: str, end=KEEP, **extra):
    """Returns a reply with a whole answer."""

    def reply(request: rawworker.Request) -> rawworker.Reply:
        data = rawworker.message(request, status, body, framing, **extra)
        return rawworker.Reply(data, end)

    return reply


class HeadSiteTest(rawsite.RawSiteTest):
    """Base of tests whose caller reads any head, but only well-formed ones."""

    def exchange(self, method: str, path: str):
        """Returns status, headers and body of a whole answer, else None."""
        process = self.site.gateways['gateway-1']
        parser = h11.Connection(h11.CLIENT, 2**20)
        number = next(self._numbers)
        request = h11.Request(
            method=method,
            target=path,
            headers=[
                ('Host', sitefiles.HOST),
                ('Api-Key', sitefiles.KEY),
                ('X-Request-Id', f'heads-{number}'),
                ('X-Time-Budget-Ms', str(sitefiles.BUDGET_MS)),
                ('Content-Length', '0'),
            ],
        )
        address = (process.host, process.port)
        with socket.create_connection(address, timeout=10) as connection:
            connection.sendall(parser.send(request))
            parser.send(h11.EndOfMessage())
            try:
                return _read(connection, parser)
            except (h11.RemoteProtocolError, OSError):
                return None

    def assert_order_fails(self, reply, case) -> None:
        """Checks that an order gets the gateway's own failure."""
        with self.workers(reply, rawsite.sound_body) as script:
            answer = self.exchange('POST', '/raw-order/1')
            self.assertIsNotNone(answer, case)
            self.assertEqual(502, answer[0], case)
            self.assertEqual(1, len(script.requests), case)

    def assert_passed_on(self, reply, body: bytes, case, status=200) -> None:
        """Checks that an order gets the upstream's answer."""
        with self.workers(reply) as script:
            answer = self.exchange('POST', '/raw-order/1')
            self.assertIsNotNone(answer, case)
            self.assertEqual((status, body), (answer[0], answer[2]), case)
            self.assertIn(b'x-server-stamp', answer[1], case)
            self.assertEqual(1, len(script.requests), case)

    def assert_retried(self, reply, case) -> None:
        """Checks that a request that may be repeated is answered elsewhere."""
        with self.workers(reply, rawsite.sound_body):
            answer = self.exchange('GET', '/raw-stock/1')
            self.assertIsNotNone(answer, case)
            self.assertEqual((200, b'whole'), (answer[0], answer[2]), case)


def _read(connection: socket.socket, parser: h11.Connection):
    status, headers, body = 0, {}, b''
    while True:
        event = parser.next_event()
        if event is h11.NEED_DATA:
            parser.receive_data(connection.recv(65536))
        elif isinstance(event, h11.Response):
            status, headers = event.status_code, dict(event.headers)
        elif isinstance(event, h11.Data):
            body += bytes(event.data)
        elif isinstance(event, h11.EndOfMessage):
            return status, headers, body
        elif isinstance(event, h11.ConnectionClosed):
            return None


class StatusTest(HeadSiteTest):
    """Guards against statuses that leave a caller without an answer."""

    def test_order_gets_an_answer_whatever_status_its_upstream_sends(self):
        for status, framing in itertools.product(STATUSES, rawsite.FRAMINGS):
            reply = _reply(status, b'body', framing, CLOSE)
            self.assert_order_fails(reply, (status, framing))

    def test_request_with_an_odd_status_is_retried(self):
        for status, framing in itertools.product(STATUSES, rawsite.FRAMINGS):
            reply = _reply(status, b'body', framing, CLOSE)
            self.assert_retried(reply, (status, framing))

    def test_request_whose_upstreams_all_send_an_odd_status_is_answered(self):
        for status in STATUSES:
            reply = _reply(status, b'body', 'length', CLOSE)
            with self.workers(reply):
                for method, path in (
                    ('GET', '/raw-stock/1'),
                    ('POST', '/raw-once/1'),
                    ('POST', '/raw-draft/1'),
                ):
                    answer = self.exchange(method, path)
                    self.assertIsNotNone(answer, (status, path))
                    self.assertEqual(502, answer[0], (status, path))

    def test_stream_with_an_odd_status_is_served_elsewhere(self):
        for status in STATUSES:
            reply = _reply(
                status, rawsite.ALL_EVENTS, 'chunked', CLOSE, **rawsite.STREAM
            )
            with self.workers(reply, rawsite.sound_stream):
                self.assert_stream_served(status)
            with self.workers(rawsite.cut_stream, reply, rawsite.sound_stream):
                self.assert_stream_served(status)

    def test_interim_status_is_no_answer(self):
        for status in INTERIM_STATUSES:
            reply = _reply(status, b'body', 'length', CLOSE)
            self.assert_order_fails(reply, status)
            self.assert_retried(reply, status)


class FramingTest(HeadSiteTest):
    """Guards against answers whose framing does not fit what is sent."""

    def test_length_beside_chunks_does_not_count(self):
        for length, body in itertools.product(
            ('3', '5', '1000'), (b'whole', rawsite.LONG_BODY)
        ):
            reply = _reply(200, body, 'chunked', Content_Length=length)
            self.assert_passed_on(reply, body, (length, len(body)))

    def test_stream_with_a_length_beside_chunks_is_passed_on(self):
        for length in ('3', '1000'):
            reply = _reply(
                200,
                rawsite.ALL_EVENTS,
                'chunked',
                Content_Length=length,
                **rawsite.STREAM,
            )
            with self.workers(reply):
                self.assert_stream_served(length)

    def test_lengths_that_differ_are_no_answer(self):
        reply = _reply(200, b'whole', 'length', Content_Length='5, 6')
        self.assert_order_fails(reply, 'differ')
        self.assert_retried(reply, 'differ')
        reply = _reply(200, b'whole', 'length', Content_Length='5, 5')
        self.assert_passed_on(reply, b'whole', 'same')

    def test_answer_without_content_has_no_length(self):
        for framing, body in itertools.product(
            ('length', 'chunked'), (b'', b'body')
        ):
            for status in (204, 304):
                reply = _reply(status, body, framing, CLOSE)
                with self.workers(reply):
                    answer = self.exchange('POST', '/raw-order/1')
                    case = (status, framing, body)
                    self.assertIsNotNone(answer, case)
                    self.assertEqual((status, b''), (answer[0], answer[2]))
                    if status == 204:
                        self.assertNotIn(b'content-length', answer[1], case)

    def test_reset_content_is_passed_on(self):
        for framing in ('length', 'chunked'):
            for body in (b'', b'body'):
                reply = _reply(205, body, framing)
                self.assert_passed_on(reply, body, (framing, body), 205)

    def test_connection_options_do_not_reach_the_caller(self):
        for value in ('close', 'keep-alive', 'close, keep-alive', 'upgrade'):
            for framing in ('length', 'chunked'):
                reply = _reply(200, b'whole', framing, Connection=value)
                self.assert_passed_on(reply, b'whole', (value, framing))

    def test_trailers_are_dropped(self):
        def reply(request):
            data = rawworker.head(request, 200, chunked=True, Trailer='X-End')
            data += rawworker.chunk(b'whole') + b'0\r\nX-End: 1\r\n\r\n'
            return rawworker.Reply(data)

        self.assert_passed_on(reply, b'whole', 'trailers')


class HeaderTest(HeadSiteTest):
    """Guards against header lines that callers can't read or that mislead."""

    def test_stamp_is_not_dropped_as_a_connection_option(self):
        for name in ('X-Server-Stamp', 'x-server-stamp, close'):
            reply = _reply(200, b'whole', 'length', Connection=name)
            self.assert_order_fails(reply, name)
            self.assert_retried(reply, name)

    def test_control_characters_reach_no_caller(self):
        for character in ('\x01', '\x08', '\x1f', '\x7f'):
            reply = _reply(200, b'whole', 'length', X_Note=f'a{character}b')
            self.assert_order_fails(reply, repr(character))
            self.assert_retried(reply, repr(character))

    def test_malformed_header_lines_are_no_answer(self):
        for name in ('', 'X Note', 'X\x01', ' X', 'X\xff'):
            reply = _reply(200, b'whole', 'length', **{name: 'a'})
            self.assert_order_fails(reply, name)
            self.assert_retried(reply, name)

    def test_large_and_many_headers_are_passed_on(self):
        many = {f'X{number}': '1' for number in range(4000)}
        for extra in (
            many,
            {'X_Note': LONG_VALUE},
            {'X_Note': 'a\xffb'},
            {'X_Note': ''},
        ):
            reply = _reply(200, b'whole', 'length', **extra)
            self.assert_passed_on(reply, b'whole', len(extra))

    def test_head_over_the_limit_is_no_answer(self):
        reply = _reply(200, b'whole', 'length', X_Note=LONGER_VALUE)
        self.assert_order_fails(reply, 'long head')
        self.assert_retried(reply, 'long head')

    def test_odd_values_of_other_headers_are_passed_on(self):
        for name, value in itertools.product(
            ('Keep_Alive', 'Retry_After', 'Server_Limit', 'X_Cold_Ms'),
            ('timeout=' + LONG_NUMBER, LONG_NUMBER, 'nan', '\xff', '-1'),
        ):
            reply = _reply(200, b'whole', 'length', **{name: value})
            self.assert_passed_on(reply, b'whole', (name, value[:9]))

    def test_confidence_that_is_no_number_is_passed_on(self):
        for value in ('high', '', 'nan', 'inf', '1e999', '\xff', LONG_NUMBER):
            reply = _reply(200, b'whole', 'length', X_Confidence=value)
            self.assert_passed_on(reply, b'whole', value[:9])


class EventIdTest(HeadSiteTest):
    """Guards against ids of events that cut a stream."""

    def test_event_ids_that_are_no_numbers_are_passed_on(self):
        for event_id in (LONG_NUMBER.encode(), b'\xff', b'\x01', b'a b'):
            body = b'id: %b\ndata: a\n\nid: %b\ndata: b\n\n' % (
                event_id,
                event_id,
            )
            reply = _reply(200, body, 'chunked', **rawsite.STREAM)
            for path in ('/raw-once/1', '/raw-draft/1'):
                with self.workers(reply):
                    response = self.call('POST', path)
                    self.assertIsNotNone(response, event_id[:9])
                    self.assertTrue(response.whole, event_id[:9])
                    self.assertEqual(body, response.body, event_id[:9])

    def test_stream_whose_last_id_can_not_be_sent_on_is_not_ended(self):
        for event_id in (LONG_NUMBER.encode(), b'\xff', b'a ', b'\x01'):
            body = b'id: %b\ndata: a\n\n' % event_id

            def cut(request, body=body):
                data = rawworker.head(
                    request, 200, chunked=True, **rawsite.STREAM
                )
                return rawworker.Reply(data + rawworker.chunk(body), CLOSE)

            with self.workers(cut, rawsite.sound_stream):
                response = self.call('POST', '/raw-draft/1')
                self.assert_not_served(response, event_id[:9])
