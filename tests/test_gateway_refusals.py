"""Answers to other requests, false refusals and false continuations."""

import itertools

from tests import rawsite
from tests import rawworker


def _refusal(request: rawworker.Request) -> bytes:
    return rawworker.message(
        request, 503, b'', 'length', X_Not_Executed='1', stamp=''
    )


class ContinuationTest(rawsite.RawSiteTest):
    """Guards against answers that are taken for the rest of a stream."""

    def _serve_after(self, second, case) -> None:
        """Sends a stream that breaks, gets `second` and then its rest."""
        with self.workers(rawsite.cut_stream, second, rawsite.sound_stream):
            self.assert_stream_served(case)

    def test_answer_that_is_no_event_stream_does_not_continue_one(self):
        bodies = (b'', b'no such prompt', b'data: no such prompt\n\n')
        for status in (200, 201, 202, 206, 301, 307, 400, 404, 409, 413, 429):
            for framing, body in itertools.product(rawsite.FRAMINGS, bodies):

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
                body = b'' if status in (204, 304) else rawsite.ALL_EVENTS
                length = None if status in (204, 304) else len(body)
                data = rawworker.head(request, status, length, **rawsite.STREAM)
                return rawworker.Reply(data + body, rawworker.End.CLOSE)

            self._serve_after(second, status)

    def test_events_that_do_not_follow_the_last_one_are_not_joined(self):
        for name, body in (
            ('begins again', rawsite.ALL_EVENTS),
            ('repeats the last', rawworker.events(2, rawsite.LAST_EVENT)),
            ('leaves one out', rawworker.events(4, rawsite.LAST_EVENT)),
            ('without ids', b'data: part 3\n\ndata: part 4\n\n'),
            ('unreadable id', b'id: three\ndata: part 3\n\n'),
        ):
            for framing in rawsite.FRAMINGS:

                def second(request, body=body, framing=framing):
                    data = rawworker.message(
                        request, 200, body, framing, **rawsite.STREAM
                    )
                    return rawworker.Reply(data, rawworker.End.CLOSE)

                self._serve_after(second, (name, framing))

    def test_answer_to_another_request_does_not_continue(self):
        for framing in rawsite.FRAMINGS:

            def second(request, framing=framing):
                body = rawworker.events(3, rawsite.LAST_EVENT)
                extra = {**rawsite.STREAM, 'X_Request_Id': 'another'}
                return rawworker.Reply(
                    rawworker.message(request, 200, body, framing, **extra),
                    rawworker.End.CLOSE,
                )

            self._serve_after(second, framing)

    def test_stream_whose_events_have_no_ids_is_not_begun_again(self):
        def first(request):
            data = rawworker.head(request, 200, chunked=True, **rawsite.STREAM)
            data += rawworker.chunk(b'data: part\n\n')
            return rawworker.Reply(data, rawworker.End.CLOSE)

        with self.workers(first, first, rawsite.sound_stream):
            self.assert_not_served(self.call('POST', '/raw-draft/1'), 'no ids')

    def test_whole_stream_that_lacked_its_end_is_completed(self):
        def first(request):
            data = rawworker.head(request, 200, chunked=True, **rawsite.STREAM)
            data += rawworker.chunk(rawsite.ALL_EVENTS)
            return rawworker.Reply(data, rawworker.End.CLOSE)

        with self.workers(first, rawsite.sound_stream):
            self.assert_stream_served('empty rest')

    def test_answer_instead_of_a_stream_is_passed_on(self):
        for status, framing in itertools.product(
            (200, 400, 404, 500), rawsite.FRAMINGS
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


class RefusalTest(rawsite.RawSiteTest):
    """Guards against refusals that are believed though they may be false."""

    def _order(self, first, case) -> None:
        """Checks that an order is neither called 'not run' nor run twice."""
        with self.workers(first, rawsite.sound_body) as script:
            response = self.call('POST', '/raw-order/1')
            self.assert_not_served(response, case)
            self.assertEqual(1, len(script.requests), case)

    def test_refusal_of_another_request_is_not_believed(self):
        for status, request_id, framing in itertools.product(
            rawsite.NOT_RUN_STATUSES, ('another', None), rawsite.FRAMINGS
        ):

            def first(
                request, status=status, request_id=request_id, framing=framing
            ):
                extra = {'X_Not_Executed': '1', 'X_Request_Id': request_id}
                data = rawworker.message(request, status, b'', framing, **extra)
                return rawworker.Reply(data, rawworker.End.CLOSE)

            self._order(first, (status, request_id, framing))

    def test_refusal_that_does_not_say_not_run_is_not_passed_on(self):
        for status, framing in itertools.product(
            (408, 429, 503), rawsite.FRAMINGS
        ):

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

        with self.workers(refuse, rawsite.sound_body) as script:
            response = self.call('POST', '/raw-order/1')
            self.assertEqual(b'whole', response.body)
            self.assertEqual(2, len(script.requests))
        with self.workers(refuse):
            response = self.call('POST', '/raw-order/1')
            self.assertEqual(503, response.status)
