"""Answers that begin while the request is still being sent."""

import itertools

from tests import rawsite
from tests import rawworker

# More than the socket buffers of both sides hold.
UPLOAD = bytes(range(97, 123)) * 300_000
# Fits into the buffers, so that sending it does not wait for the worker.
SHORT_UPLOAD = UPLOAD[: 512 * 1024]
FEW_BYTES = 1024
ENDS = (
    rawworker.End.RESET,
    rawworker.End.CLOSE,
    rawworker.End.FINISH,
)
LISTENERS = (
    rawworker.Listener.WORKER,
    rawworker.Listener.NONE,
    rawworker.Listener.OTHER,
)
EVENTS = rawworker.events(1, 2)


def _part(framing: str, body: bytes, end, listener, **extra):
    """Returns a reply with a part of a body of the given framing."""

    def reply(request: rawworker.Request) -> rawworker.Reply:
        length = 2 * len(body) if framing == 'length' else None
        chunked = framing == 'chunked'
        data = rawworker.head(request, 200, length, chunked, **extra)
        data += rawworker.chunk(body) if chunked else body
        return rawworker.Reply(data, end, listener)

    return reply


def _cases():
    """Returns framings, ends and listeners of answers that break off."""
    running = rawworker.Listener.WORKER
    yield from itertools.product(('close',), ENDS, LISTENERS)
    yield from itertools.product(('length', 'chunked'), ENDS, (running,))


class EarlyAnswerTest(rawsite.RawSiteTest):
    """Guards against parts of early answers that are passed on as whole."""

    max_body_bytes = 16 * 2**20

    def _upload(self, path: str, case, *replies, upload: bytes = UPLOAD):
        """Returns a response and the requests that reached the workers."""
        with self.workers(*replies) as script:
            script.body_limit = FEW_BYTES
            response = self.call('POST', path, upload)
            for request in script.requests:
                self.assertTrue(upload.startswith(request.body), case)
            return response, script.requests

    def test_order_gets_no_part_of_an_early_answer_as_whole(self):
        for case in _cases():
            reply = _part(case[0], b'half', *case[1:])
            for upload in (UPLOAD, SHORT_UPLOAD):
                response, requests = self._upload(
                    '/raw-order/1', case, reply, upload=upload
                )
                self.assertIsNotNone(response, case)
                self.assert_not_served(response, case)
                self.assertEqual(1, len(requests), case)

    def test_part_of_an_early_answer_is_retried(self):
        for case in _cases():
            reply = _part(case[0], b'half', *case[1:])
            response, requests = self._upload(
                '/raw-stock/1', case, reply, rawsite.sound_body
            )
            self.assertIsNotNone(response, case)
            self.assertEqual((200, b'whole'), (response.status, response.body))
            self.assertEqual(2, len(requests), case)

    def test_long_part_of_an_early_answer_is_not_ended_as_whole(self):
        for case in _cases():
            reply = _part(case[0], rawsite.LONG_BODY, *case[1:])
            response, requests = self._upload('/raw-order/1', case, reply)
            self.assert_not_served(response, case)
            self.assertEqual(1, len(requests), case)

    def test_part_of_an_early_stream_is_not_ended_as_whole(self):
        for case in _cases():
            reply = _part(case[0], EVENTS, *case[1:], **rawsite.STREAM)
            response, _ = self._upload('/raw-once/1', case, reply)
            self.assert_not_served(response, case)

    def test_part_of_an_early_stream_is_resumed(self):
        for case in _cases():
            reply = _part(case[0], EVENTS, *case[1:], **rawsite.STREAM)
            response, requests = self._upload(
                '/raw-draft/1', case, reply, rawsite.sound_stream
            )
            self.assertIsNotNone(response, case)
            self.assertEqual(rawsite.ALL_EVENTS, response.body, case)
            self.assertTrue(response.whole, case)
            self.assertEqual(2, len(requests), case)

    def test_whole_early_answer_is_passed_on_and_its_connection_closed(self):
        for framing, end in itertools.product(
            ('length', 'chunked'),
            (rawworker.End.KEEP, rawworker.End.FINISH),
        ):

            def reply(request, framing=framing, end=end):
                data = rawworker.message(request, 200, b'whole', framing)
                return rawworker.Reply(data, end)

            case = (framing, end)
            for path in ('/raw-order/1', '/raw-stock/1'):
                response, requests = self._upload(path, case, reply)
                self.assertIsNotNone(response, case)
                self.assertEqual(b'whole', response.body, case)
                self.assertEqual(1, len(requests), case)
