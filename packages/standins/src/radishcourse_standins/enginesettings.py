"""Settings of the engine stand-in, its states and its requests."""

import enum

import msgspec


class State(enum.Enum):
    """State of the engine, as it tells it."""

    COLD = 'cold'
    WARM = 'warm'
    LEAVING = 'leaving'


class Disorder(enum.Enum):
    """What is wrong with the events of a stream.

    DUPLICATE sends each event twice, REORDER swaps neighbours, FOREIGN adds
    events of another request, CRLF ends lines with CR LF and adds comments.
    """

    NONE = 'none'
    DUPLICATE = 'duplicate'
    REORDER = 'reorder'
    FOREIGN = 'foreign'
    CRLF = 'crlf'


class Settings(msgspec.Struct):
    """Behaviour that `POST /control/settings` changes.

    Attributes:
      quality: Mean quality by `model/version`; 0.9 for all others.
      token_ms: Time between tokens.
      first_token_ms: Time to the first token when warm.
      cold_first_token_ms: Time to the first token when cold.
      warm_after: Answers after which a cold engine is warm.
      truncate: Share of answers that end before their last part, by the
        request's hash; resumed streams are whole.
      cut_at: Index at which streams end, when not 0; resumed streams are
        whole.
      padding: Bytes added to each token.
      disorder: What is wrong with the events of streams.
      fail: Share of requests answered with 500, by the request's hash.
      load_lag_ms: Age of the load that the engine tells.
      event_lag_ms: Age at which an event of the cache is published.
      event_gap_every: Each event of the cache whose number is a multiple of
        this is lost; 0 for none.
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
    """A request to go on with a stream from a token's index."""

    request_id: str
    from_index: int
