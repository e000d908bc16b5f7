"""Faults of the worker stand-in's answers, and its settings."""

import enum

import msgspec


class Fault(enum.Enum):
    """Fault of a response.

    ERROR answers 500 after running the request, SHED answers 503 without
    running it, HANG runs it and never answers, CLOSE runs it and closes the
    connection, TRUNCATE sends less than the announced body, CUT closes a
    stream within an event, EXTRA sends a second response, FOREIGN answers
    with another request's id, UNFRAMED ends an answer by closing its connection
    and UNFRAMED_CUT does so within an event, UNFRAMED_CRASH ends the process
    after a part of such an answer, HALF_HEAD closes within the head, UNSAID
    refuses after running a request, without saying that it has not, STALE sends
    an earlier refusal once more after running a request, NO_STREAM answers 404
    where a stream is to be resumed and RESTARTED begins it again at its first
    event (both cut other streams), UNSTAMPED omits the server stamp,
    EARLY answers before reading the body, SILENT stops sending in the middle of
    a stream.

    ENDLESS_HEAD sends a header without end, ENDLESS_INTERIM interim responses,
    ENDLESS_BODY a body and ENDLESS_ERROR the body of an error, each until the
    caller disconnects.
    """

    NONE = 'none'
    ERROR = 'error'
    SHED = 'shed'
    HANG = 'hang'
    CLOSE = 'close'
    TRUNCATE = 'truncate'
    CUT = 'cut'
    EXTRA = 'extra'
    FOREIGN = 'foreign'
    UNSTAMPED = 'unstamped'
    EARLY = 'early'
    SILENT = 'silent'
    UNFRAMED = 'unframed'
    UNFRAMED_CUT = 'unframed_cut'
    UNFRAMED_CRASH = 'unframed_crash'
    HALF_HEAD = 'half_head'
    UNSAID = 'unsaid'
    STALE = 'stale'
    NO_STREAM = 'no_stream'
    RESTARTED = 'restarted'
    ENDLESS_HEAD = 'endless_head'
    ENDLESS_INTERIM = 'endless_interim'
    ENDLESS_BODY = 'endless_body'
    ENDLESS_ERROR = 'endless_error'


class CrashPoint(enum.Enum):
    """When a worker ends under a prompt that crashes it.

    HEAD: shortly after the head of its answer. EVENT: after the first event.
    BEFORE_HEAD: shortly before the head. SILENT: without a head, after it has
    not responded to anything for a second. STALLED: the same after the first
    event.
    """

    HEAD = 'head'
    EVENT = 'event'
    BEFORE_HEAD = 'before_head'
    SILENT = 'silent'
    STALLED = 'stalled'


UNFRAMED_FAULTS = (Fault.UNFRAMED, Fault.UNFRAMED_CUT, Fault.UNFRAMED_CRASH)
# Faults that cut a stream, and change the answer that is to continue it.
RESUMED_FAULTS = (Fault.NO_STREAM, Fault.RESTARTED)
ENDLESS_FAULTS = (
    Fault.ENDLESS_HEAD,
    Fault.ENDLESS_INTERIM,
    Fault.ENDLESS_BODY,
    Fault.ENDLESS_ERROR,
)


class Settings(msgspec.Struct):
    """Behaviour that `POST /control/settings` sets.

    Attributes:
      fault: Fault of the responses.
      count: Number of responses with the fault; later ones are correct.
      delay_ms: Time until a response starts.
      events: Events of a stream.
      event_ms: Time between two events.
      piece_bytes: Bytes in each piece of an endless response.
      piece_ms: Time between two pieces.
      confidence: Value of the `x-confidence` header of streams by model.
      limit: Value of the `server-limit` header of streams; empty for none.
      leaving: Whether all answers say that the worker leaves.
      retry_after: Value of the `retry-after` header of answers with status 503;
        empty for none.
    """

    fault: Fault = Fault.NONE
    count: int = 1_000_000
    delay_ms: float = 1.0
    events: int = 3
    event_ms: float = 1.0
    piece_bytes: int = 16 * 1024
    piece_ms: float = 0.0
    confidence: dict[str, int] = {}
    limit: str = ''
    leaving: bool = False
    retry_after: str = ''
