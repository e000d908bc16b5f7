"""Names of HTTP headers, which differ between installations."""

import dataclasses

# Headers that concern one connection only (RFC 9110, section 7.6.1).
HOP_BY_HOP = frozenset(
    {
        b'connection',
        b'keep-alive',
        b'proxy-connection',
        b'proxy-authenticate',
        b'proxy-authorization',
        b'te',
        b'trailer',
        b'transfer-encoding',
        b'upgrade',
    }
)


@dataclasses.dataclass(frozen=True)
class HeaderNames:
    """Header names in lower case, by what they hold.

    Attributes:
      request_id: Id that the caller gives each of its attempts.
      key: The caller's key.
      budget_ms: Milliseconds for which the sender will wait.
      organisation: Name of the organisation, for upstreams.
      expected_upstream: Id of the upstream that may run the request.
      expected_version: Version that may run the request.
      priority: Urgency, 0 to 9, for upstreams.
      model: Name of the model.
      tokens: Prompt tokens and most output tokens, separated by a comma.
      prompt_parts: Parts of the prompt as ID:TOKENS entries.
      length_hint: The caller's estimate of the output tokens.
      session: Requests with the same value belong together.
      last_event: Id of the last event that the sender has received.
      confidence: The model's opinion of its answer, 0 to 100.
      stamp: Proof that an upstream made the answer.
      not_run: Present when the upstream did not run the request.
      cold_ms: How long the upstream stays cold.
      reserved: Headers that only the gateway may set.
    """

    request_id: bytes
    key: bytes
    budget_ms: bytes
    organisation: bytes
    expected_upstream: bytes
    expected_version: bytes
    priority: bytes
    model: bytes
    tokens: bytes
    prompt_parts: bytes
    length_hint: bytes
    session: bytes
    last_event: bytes
    confidence: bytes
    stamp: bytes
    not_run: bytes
    cold_ms: bytes
    reserved: frozenset[bytes]
