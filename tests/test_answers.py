"""Decisions on what an upstream's answer is worth, without processes."""

import itertools
import socket

import anyio
import hypothesis
from hypothesis import strategies
import testtools

from radishcourse_gateway import errors
from radishcourse_gateway import eventstream
from radishcourse_gateway import upstreamconnections
from radishcourse_policy import answers
from tests import rawworker

State, Framing, End, Sender = (
    answers.State,
    answers.Framing,
    answers.End,
    answers.Sender,
)
REQUEST = rawworker.Request('/', {'x-request-id': 'own'}, 1, b'')
ODD = (0, 99, 100, 199, 600, 999, 1000)
SOUND_SENDERS = (Sender.RUNNING, Sender.LEAVING)


class _Stream:
    """A connection on which given bytes arrive, and then its end or a reset."""

    def __init__(self, parts: list[bytes], reset: bool):
        self._parts = list(parts)
        self._reset = reset
        self._socket, _ = socket.socketpair()

    def extra(self, attribute) -> socket.socket:
        del attribute
        return self._socket

    async def send(self, data: bytes) -> None:
        del data

    async def receive(self, most: int) -> bytes:
        del most
        if self._parts:
            return self._parts.pop(0)
        if self._reset:
            raise anyio.BrokenResourceError
        raise anyio.EndOfStream


def _receive(parts: list[bytes], reset: bool):
    """Returns head, body and arrival of an answer that arrives in parts."""
    connection = upstreamconnections.Connection(_Stream(parts, reset), 0.0)
    arrival, body = upstreamconnections.Arrival(), b''

    async def read():
        nonlocal body
        head = await connection.request(
            b'GET', b'/', [(b'host', b'a')], b'', arrival
        )
        while (part := await connection.receive()) is not None:
            body += part
        return head

    try:
        return anyio.run(read), body, arrival
    except errors.UpstreamError:
        return None, body, arrival


@strategies.composite
def _split(draw, data: bytes) -> list[bytes]:
    """Draws parts in which bytes arrive."""
    positions = strategies.integers(0, len(data))
    bounds = [0, *sorted(draw(strategies.lists(positions, max_size=5)))]
    pairs = itertools.pairwise([*bounds, len(data)])
    return [data[start:end] for start, end in pairs if end > start]


class EndTest(testtools.TestCase):
    """Guards against broken answers that count as whole."""

    @hypothesis.given(strategies.data())
    def test_answer_that_is_cut_anywhere_is_whole_only_if_all_shows_it(
        self, data
    ):
        body = data.draw(strategies.binary(max_size=60))
        framing = data.draw(
            strategies.sampled_from(['length', 'chunked', 'close'])
        )
        status = data.draw(strategies.sampled_from([200, 201, 404, 500]))
        whole = rawworker.message(REQUEST, status, body, framing)
        cut = data.draw(strategies.integers(0, len(whole)))
        reset = data.draw(strategies.booleans())
        sender = data.draw(strategies.sampled_from([None, *Sender]))
        parts = data.draw(_split(whole[:cut]))
        head, received, arrival = _receive(parts, reset)
        state = answers.judge_end(
            arrival.framing,
            arrival.end,
            sender,
            request_sent=arrival.request_sent,
        )
        if state is State.WHOLE:
            self.assertIsNotNone(head)
            if framing == 'close':
                self.assertFalse(reset)
                self.assertIn(sender, SOUND_SENDERS)
            else:
                self.assertEqual(body, received)
        elif cut == len(whole) and framing != 'close':
            self.fail(f'a sound answer is {state}')
        elif cut == len(whole) and not reset and sender in SOUND_SENDERS:
            self.fail(f'a sound answer without length is {state}')

    @hypothesis.given(strategies.lists(strategies.binary()))
    def test_arbitrary_bytes_are_no_answer(self, parts):
        head, _, arrival = _receive([part for part in parts if part], False)
        self.assertIsNone(head)
        state = answers.judge_end(
            arrival.framing, arrival.end, Sender.RUNNING, request_sent=True
        )
        self.assertIs(State.BROKEN, state)

    def test_only_a_known_sender_ends_an_answer_without_length(self):
        for end, sender in itertools.product(End, (None, *Sender)):
            state = answers.judge_end(
                Framing.CLOSE, end, sender, request_sent=True
            )
            whole = end in (End.FRAMED, End.CLOSED) and sender in SOUND_SENDERS
            expected = State.WHOLE if whole else State.BROKEN
            self.assertIs(expected, state, (end, sender))

    def test_stream_that_ends_within_an_event_is_broken(self):
        for framing, end in itertools.product(
            (Framing.LENGTH, Framing.CHUNKED, Framing.CLOSE), End
        ):
            state = answers.judge_end(
                framing,
                end,
                Sender.RUNNING,
                unfinished=True,
                request_sent=True,
            )
            self.assertIs(State.BROKEN, state, (framing, end))

    def test_only_the_framing_ends_an_answer_to_a_request_sent_in_part(self):
        for framing, end, sender in itertools.product(
            Framing, End, (None, *Sender)
        ):
            state = answers.judge_end(framing, end, sender, request_sent=False)
            framed = end in (End.FRAMED, End.CLOSED)
            whole = framing is Framing.NO_BODY or (
                framed and framing is not Framing.CLOSE
            )
            expected = State.WHOLE if whole else State.BROKEN
            self.assertIs(expected, state, (framing, end, sender))


@strategies.composite
def _heads(draw) -> answers.Head:
    return answers.Head(
        status=draw(
            strategies.sampled_from(
                [200, 204, 301, 400, 404, 408, 421, 429, 500, 503, 504, *ODD]
            )
        ),
        request_id=draw(strategies.sampled_from(['own', 'another', None])),
        stamped=draw(strategies.booleans()),
        marked_not_run=draw(strategies.booleans()),
        encoded=draw(strategies.booleans()),
        media_type=draw(strategies.sampled_from(['', answers.EVENT_STREAM])),
    )


class HeadTest(testtools.TestCase):
    """Guards against answers of other requests and false 'not run'."""

    @hypothesis.given(_heads(), strategies.booleans(), strategies.booleans())
    def test_state_claims_no_more_than_the_head_says(
        self, head, fresh, resumed
    ):
        expected = answers.Expectation('own', fresh, resumed)
        state = answers.judge_head(expected, head)
        if head.request_id == 'another':
            self.assertIs(State.FOREIGN, state)
        if state not in (State.FOREIGN, State.UNUSABLE):
            self.assertIn(head.status, range(200, 600))
        if state is State.NOT_RUN:
            self.assertEqual('own', head.request_id)
            self.assertTrue(head.marked_not_run or head.status == 421)
        if state in (State.ARRIVING, State.FAILED):
            self.assertTrue(head.stamped and not head.encoded)
            self.assertTrue(head.request_id == 'own' or fresh)
        if state is State.ARRIVING:
            self.assertLess(head.status, 500)
            self.assertNotIn(head.status, answers.NOT_RUN_STATUSES)
            if resumed:
                self.assertEqual(200, head.status)
                self.assertEqual(answers.EVENT_STREAM, head.media_type)
        if state is State.FAILED and not resumed:
            self.assertNotIn(head.status, answers.NOT_RUN_STATUSES)

    def test_sound_heads_are_believed(self):
        sound = answers.Head(200, 'own', True, False, False, '')
        for fresh in (True, False):
            expected = answers.Expectation('own', fresh)
            for head, state in (
                (sound, State.ARRIVING),
                (sound._replace(status=404), State.ARRIVING),
                (sound._replace(status=500), State.FAILED),
                (sound._replace(status=421, stamped=False), State.NOT_RUN),
                (
                    sound._replace(
                        status=503, stamped=False, marked_not_run=True
                    ),
                    State.NOT_RUN,
                ),
            ):
                self.assertIs(state, answers.judge_head(expected, head), head)


class EventIdsTest(testtools.TestCase):
    """Guards against events of two runs that are joined in one stream."""

    @hypothesis.given(
        strategies.data(),
        strategies.integers(0, 5),
        strategies.integers(1, 6),
        strategies.integers(-7, 7),
    )
    def test_stream_goes_on_only_with_its_next_event(
        self, data, sent, count, shift
    ):
        event_ids, sent_bytes = answers.EventIds(), b''
        first = eventstream.Splitter(event_ids)
        for part in data.draw(_split(rawworker.events(1, sent + 1))):
            sent_bytes += first.feed(part)
        begin = max(1, sent + 2 + shift)
        rest = rawworker.events(begin, begin + count - 1)
        second = eventstream.Splitter(event_ids, resumed=True)
        try:
            for part in data.draw(_split(b': comment\n\n' + rest)):
                sent_bytes += second.feed(part)
        except errors.UpstreamError:
            self.assertNotEqual(sent + 2, begin)
        else:
            self.assertEqual(sent + 2, begin)
        sent_bytes = sent_bytes.replace(b': comment\n\n', b'')
        last = sent_bytes.count(b'\n\n')
        self.assertEqual(rawworker.events(1, last), sent_bytes)

    def test_ids_go_on_by_the_same_step(self):
        event_ids = answers.EventIds()
        event_ids.note([b'9', b'18', b'27'])
        self.assertTrue(event_ids.may_precede(b'36'))
        for event_id in (b'9', b'27', b'28', b'45', b'', b'x', None):
            self.assertFalse(event_ids.may_precede(event_id), event_id)

    def test_irregular_ids_only_increase(self):
        event_ids = answers.EventIds()
        event_ids.note([b'1', b'2', b'6', b'7'])
        self.assertEqual(
            [False, True, True],
            [event_ids.may_precede(item) for item in (b'7', b'8', b'12')],
        )
        event_ids.note([b'8'])
        self.assertTrue(event_ids.may_precede(b'9'))
