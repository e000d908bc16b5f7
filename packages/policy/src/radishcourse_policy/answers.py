"""Decides from what arrived what an upstream's answer is worth.

An answer is judged twice: when its head has arrived, and when its body has
ended. Framing follows RFC 9112, section 6.3; the ids of events follow the HTML
standard, section 9.2.
"""

import enum
import re
import typing

# Statuses that tell a caller that its request has not run and never will.
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
MISDIRECTED_REQUEST = 421
EVENT_STREAM = 'text/event-stream'
# A longer number is a name rather than a position; Python converts none of more
# than 4,300 digits.
_MAX_ID_DIGITS = 18
# Invalid in a value (RFC 9110, section 5.5), but let through by the parser.
_CONTROL_CHARACTER = re.compile(rb'[\x00-\x08\x0a-\x1f\x7f]')
_STATUSES_WITHOUT_BODY = (204, 304)
# Final statuses (RFC 9110, section 15). Others have no meaning for a caller,
# and its server refuses to send them.
_FINAL_STATUSES = range(200, 600)


def has_control_character(values: typing.Iterable[bytes]) -> bool:
    """Tells whether header values hold what callers may not be able to read."""
    return any(_CONTROL_CHARACTER.search(value) for value in values)


class State(enum.Enum):
    """What an answer is to the request that waits for it.

    ARRIVING: its head belongs to the request, its body has not ended.
    WHOLE: all of it has arrived.
    BROKEN: it ended early, or nothing shows that it did not.
    NOT_RUN: the upstream has not run the request.
    FAILED: the upstream ran the request without success.
    FOREIGN: it belongs to another request, or can't be attributed to one.
    UNUSABLE: it must not reach the caller, and the request may have run.
    """

    ARRIVING = 'arriving'
    WHOLE = 'whole'
    BROKEN = 'broken'
    NOT_RUN = 'not_run'
    FAILED = 'failed'
    FOREIGN = 'foreign'
    UNUSABLE = 'unusable'


class Framing(enum.Enum):
    """What marks the end of a body; with CLOSE, the end of the connection."""

    NO_BODY = 'no_body'
    LENGTH = 'length'
    CHUNKED = 'chunked'
    CLOSE = 'close'


class End(enum.Enum):
    """How a body ended.

    OPEN: it has not ended.
    FRAMED: where its framing says.
    CLOSED: it is framed by its connection, which the upstream closed.
    BROKEN: reset, malformed, or closed before the end that its framing says.
    """

    OPEN = 'open'
    FRAMED = 'framed'
    CLOSED = 'closed'
    BROKEN = 'broken'


class Sender(enum.Enum):
    """What is known of the process that sent an answer, after its end.

    RUNNING: it has answered since.
    LEAVING: it had announced that it would end, or outlived its entry.
    ENDED: nothing, or another process, listens at its address.
    UNKNOWN: its address does not respond.
    """

    RUNNING = 'running'
    LEAVING = 'leaving'
    ENDED = 'ended'
    UNKNOWN = 'unknown'


class Expectation(typing.NamedTuple):
    """The request that waits for an answer.

    Attributes:
      request_id: Its id, empty if the caller set none.
      fresh: Whether no other request was sent on the connection before.
      resumed: Whether the answer continues a stream that the caller has begun
        to receive.
    """

    request_id: str
    fresh: bool
    resumed: bool = False


class Head(typing.NamedTuple):
    """Status and headers that decide.

    Attributes:
      status: HTTP status.
      request_id: Id of the request that it names, None if it names none.
      stamped: Whether a header that reaches the caller says that the upstream
        itself produced the answer.
      marked_not_run: Whether a header says that the request was not run.
      encoded: Whether the body has a content encoding.
      media_type: Media type without parameters in lower case, empty if unset.
    """

    status: int
    request_id: str | None
    stamped: bool
    marked_not_run: bool
    encoded: bool
    media_type: str


def framing(
    method: str, status: int, has_length: bool, has_coding: bool
) -> Framing:
    """Returns what marks the end of a body.

    Args:
      method: Method of the request.
      status: Status of the answer.
      has_length: Whether the answer has a Content-Length header.
      has_coding: Whether it has a Transfer-Encoding header.
    """
    if method == 'HEAD' or status in _STATUSES_WITHOUT_BODY:
        return Framing.NO_BODY
    if has_coding:
        return Framing.CHUNKED
    return Framing.LENGTH if has_length else Framing.CLOSE


def judge_head(expected: Expectation, head: Head) -> State:
    """Returns what an answer is by its head; ARRIVING if its body decides."""
    refused = head.status == MISDIRECTED_REQUEST or head.marked_not_run
    if not _is_own(expected, head, refused):
        return State.FOREIGN
    if head.status not in _FINAL_STATUSES:
        return State.UNUSABLE
    if refused:
        return State.NOT_RUN
    if not head.stamped or head.encoded:
        return State.UNUSABLE
    if expected.resumed and head.status < 500:
        continues = head.status == 200 and head.media_type == EVENT_STREAM
        return State.ARRIVING if continues else State.UNUSABLE
    if head.status in NOT_RUN_STATUSES:
        # Passed on, it would promise what the upstream did not say.
        return State.UNUSABLE
    return State.FAILED if head.status >= 500 else State.ARRIVING


def _is_own(expected: Expectation, head: Head, refused: bool) -> bool:
    if head.request_id is not None:
        return head.request_id == expected.request_id
    if not expected.request_id:
        return expected.fresh
    # Nothing else can have been answered on a fresh connection, but the promise
    # that a request has not run needs its id.
    return expected.fresh and not refused


class EventIds:
    """Ids of the events of a stream that the caller has received.

    Attributes:
      last: The last id as it was sent, None before the first.
    """

    def __init__(self):
        self.last: bytes | None = None
        self._last_number: int | None = None
        self._step: int | None = None
        self._regular = True

    def note(self, event_ids: list[bytes]) -> None:
        """Records the ids of further events, in order."""
        for event_id in event_ids:
            number, before = _to_number(event_id), self._last_number
            self.last, self._last_number = event_id, number
            if number is None or before is None:
                continue
            if self._step not in (None, number - before):
                self._regular = False
            self._step = number - before

    def may_precede(self, event_id: bytes | None) -> bool:
        """Tells whether an event may be the next one.

        Ids increase. Where they have done so by the same step, the next one
        does, too. Ids that are no numbers can't be judged.
        """
        number = None if event_id is None else _to_number(event_id)
        if number is None or self._last_number is None:
            return False
        growth = number - self._last_number
        if not self._regular:
            return growth > 0
        return growth > 0 and growth == (self._step or 1)


def _to_number(event_id: bytes) -> int | None:
    if not event_id.isdigit() or len(event_id) > _MAX_ID_DIGITS:
        return None
    return int(event_id)


def judge_end(
    framing: Framing | None,
    end: End,
    sender: Sender | None = None,
    unfinished: bool = False,
    empty: bool = False,
    request_sent: bool = False,
) -> State:
    """Returns WHOLE or BROKEN for an answer whose body has ended.

    A process that crashes closes its connections like one that has sent all.
    One that closes while it is still being sent the request is not known to
    have run it, so that nothing shows that its answer is whole.

    Args:
      framing: What marks the end of the body, None before the head.
      end: How the body ended.
      sender: What is known of the upstream's process after the end; only
        needed with `Framing.CLOSE`.
      unfinished: Whether a stream ended within an event.
      empty: Whether a stream ended before its first event.
      request_sent: Whether the whole request had been sent before the end; only
        needed with `Framing.CLOSE`.
    """
    if framing is Framing.NO_BODY:
        return State.WHOLE
    if unfinished or end not in (End.FRAMED, End.CLOSED):
        return State.BROKEN
    if framing is not Framing.CLOSE:
        return State.WHOLE
    if empty or not request_sent:
        return State.BROKEN
    if sender not in (Sender.RUNNING, Sender.LEAVING):
        return State.BROKEN
    return State.WHOLE
