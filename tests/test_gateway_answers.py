"""Answers of upstreams that are not what their last byte suggests."""

import itertools
import time

from radishcourse_gateway import verifier
from tests import rawsite
from tests import rawworker
from tests import site as sites


class UnframedAnswerTest(rawsite.RawSiteTest):
    """Guards against answers that end as their upstream crashes."""

    def test_stream_that_ends_with_its_upstream_is_resumed(self):
        for listener in rawsite.AFTER_A_CRASH:
            first = rawsite.unframed(
                rawworker.events(1, 2), listener, **rawsite.STREAM
            )
            with self.workers(first, rawsite.sound_stream) as script:
                self.assert_stream_served(listener)
                self.assertEqual(2, len(script.requests), listener)

    def test_stream_that_can_not_resume_is_not_ended_as_whole(self):
        for listener in rawsite.AFTER_A_CRASH:
            first = rawsite.unframed(
                rawworker.events(1, 2), listener, **rawsite.STREAM
            )
            with self.workers(first) as script:
                response = self.call('POST', '/raw-once/1')
                self.assert_not_served(response, listener)
                self.assertEqual(1, len(script.requests), listener)

    def test_body_that_ends_with_its_upstream_is_not_passed_on(self):
        for listener in rawsite.AFTER_A_CRASH:
            first = rawsite.unframed(b'half', listener)
            with self.workers(first, rawsite.sound_body) as script:
                self.assert_not_served(
                    self.call('POST', '/raw-order/1'), listener
                )
                self.assertEqual(1, len(script.requests), listener)
            with self.workers(first, rawsite.sound_body):
                response = self.call('GET', '/raw-stock/1')
                self.assertEqual(b'whole', response.body, listener)

    def test_long_body_that_ends_with_its_upstream_is_not_whole(self):
        for listener in rawsite.AFTER_A_CRASH:
            with self.workers(
                rawsite.unframed(rawsite.LONG_BODY, listener)
            ) as script:
                for number, (method, path) in enumerate(rawsite.REQUESTS, 1):
                    self.assert_not_served(self.call(method, path), listener)
                    self.assertEqual(number, len(script.requests), listener)

    def test_error_that_ends_with_its_upstream_is_not_passed_on(self):
        for listener in rawsite.AFTER_A_CRASH:
            with self.workers(rawsite.unframed(b'half', listener, 500)):
                response = self.call('POST', '/raw-order/1')
                self.assertEqual(502, response.status, listener)


class SoundUnframedAnswerTest(rawsite.RawSiteTest):
    """Guards against sound answers without length that are not served."""

    def _drain(self) -> None:
        """Lists the workers as draining, which most do before they end."""
        for name, address in self.addresses.items():
            self.site.write_entry(
                name, 'raw', address=address, state='draining'
            )
        self._wait_left()

    def _remove(self) -> None:
        """Removes the workers' entries, as the others do."""
        for name in self.addresses:
            self.site.put('servers', name, None)
        self._wait_left()
        time.sleep(verifier.SUSPENSION_MARGIN_S)

    def _wait_left(self) -> None:
        path = f'/raw-stock{rawworker.UNSCRIPTED_ITEM}'
        sites.wait_until(lambda: self.send('GET', path).status == 503)

    def test_answer_of_a_running_upstream_is_served_once(self):
        worker = rawworker.Listener.WORKER
        for method, path in rawsite.REQUESTS:
            for body in (b'whole', b'', rawsite.LONG_BODY):
                with self.workers(rawsite.unframed(body, worker)) as script:
                    response = self.call(method, path)
                    self.assertEqual(200, response.status)
                    self.assertTrue(response.whole)
                    self.assertEqual(body, response.body)
                    self.assertEqual(1, len(script.requests))

    def test_stream_of_a_running_upstream_is_served_once(self):
        first = rawsite.unframed(
            rawsite.ALL_EVENTS, rawworker.Listener.WORKER, **rawsite.STREAM
        )
        for path in ('/raw-draft/1', '/raw-once/1'):
            with self.workers(first) as script:
                response = self.call('POST', path)
                self.assertTrue(response.whole)
                self.assertEqual(rawsite.ALL_EVENTS, response.body)
                self.assertEqual(1, len(script.requests))

    def test_answer_of_an_upstream_that_leaves_in_order_is_served_once(self):
        for leave, listener in itertools.product(
            (self._drain, self._remove), rawsite.AFTER_A_CRASH
        ):
            for method, path, body, extra in (
                ('POST', '/raw-order/1', b'whole', {}),
                ('GET', '/raw-stock/1', b'whole', {}),
                ('POST', '/raw-draft/1', rawsite.ALL_EVENTS, rawsite.STREAM),
                ('POST', '/raw-once/1', rawsite.ALL_EVENTS, rawsite.STREAM),
            ):
                reply = rawsite.unframed(body, listener, **extra)

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


class BrokenHeadTest(rawsite.RawSiteTest):
    """Guards against answers whose heads break off."""

    def test_answer_whose_head_breaks_off_is_not_passed_on(self):
        for framing in rawsite.FRAMINGS:
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
                data = rawsite.sound_stream(request).data
                return rawworker.Reply(data[:cut], rawworker.End.CLOSE)

            with self.workers(first, rawsite.sound_stream):
                self.assert_stream_served(cut)

    def test_stream_whose_continuation_breaks_off_in_its_head(self):
        for cut in range(1, 80, 13):

            def second(request, cut=cut):
                data = rawsite.sound_stream(request).data
                return rawworker.Reply(data[:cut], rawworker.End.CLOSE)

            with self.workers(rawsite.cut_stream, second, rawsite.sound_stream):
                self.assert_stream_served(cut)
