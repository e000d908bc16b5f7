"""Settings, states and request formats of the engine stand-in."""

import enum

import msgspec


class State(enum.Enum):
    """State that the engine reports."""

    COLD = 'cold'
    WARM = 'warm'
    LEAVING = 'leaving'


class Disorder(enum.Enum):
    """Fault in the order or content of a stream's events.

    DUPLICATE sends each event twice, REORDER swaps adjacent events, FOREIGN
    inserts events of another request. CRLF is no fault: it ends lines with
    CR LF and adds comments, as the SSE format allows.
    """

    NONE = 'none'
    DUPLICATE = 'duplicate'
    REORDER = 'reorder'
    FOREIGN = 'foreign'
    CRLF = 'crlf'


class Settings(msgspec.Struct):
    """Behaviour that `POST /control/settings` sets.

    Attributes:
      quality: Mean quality by `model/version`; 0.9 for all others.
      token_ms: Time between tokens.
      first_token_ms: Time to the first token when warm.
      cold_first_token_ms: Time to the first token when cold.
      warm_after: Answers after which a cold engine is warm.
      truncate: Share of answers that are truncated, chosen by a hash of the
        request id; resumed streams are complete.
      fail: Share of requests answered with status 500, chosen likewise.
      load_lag_ms: Age of the load that the engine reports.
      event_lag_ms: Delay after which a cache event is published.
      event_gap_every: Cache events whose sequence number is a multiple of
        this are lost; 0 for none.
      cut_at: Token index at which streams end early; 0 for never. Resumed
        streams are complete.
      padding: Bytes added to each token.
      disorder: Fault in the events of streams.
    """

    quality: dict[str, float] = {}
    token_ms: float = 1.0
    first_token_ms: float = 5.0
    cold_first_token_ms: float = 50.0
    warm_after: int = 3
    truncate: float = 0.0
    fail: float = 0.0
    load_lag_ms: float = 0.0
    event_lag_ms: float = 0.0
    event_gap_every: int = 0
    cut_at: int = 0
    padding: int = 0
    disorder: Disorder = Disorder.NONE


class Completion(msgspec.Struct):
    """A request for a chat completion."""

    request_id: str
    model: str
    version: str
    messages: list[dict] = []
    max_tokens: int = 16
    stream: bool = False
    priority: int = 5


class Resume(msgspec.Struct):
    """A request to resume a stream at a token index."""

    request_id: str
    from_index: int
