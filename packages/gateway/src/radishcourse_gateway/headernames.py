"""Names of the HTTP headers, which differ between installations."""

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
# Set on a relayed request that may run once at most. The peer may have another
# version of the configuration, in which such requests may be repeated.
RUN_ONCE = b'radishcourse-run-once'


@dataclasses.dataclass(frozen=True)
class HeaderNames:
    """Header names in lower case, by meaning.

    Attributes:
      request_id: Id that the caller sets on each of its attempts.
      api_key: The caller's API key.
      time_budget_ms: Milliseconds for which the sender waits for a response.
      organisation: Name of the organisation, for upstreams.
      expected_upstream: Id of the only upstream that may run the request.
      upstream: Id of the upstream, in its answers to probes.
      expected_version: The only version that may run the request.
      priority: Priority for upstreams, 0 (most urgent) to 9.
      model: Name of the model to use.
      token_counts: Prompt tokens and maximum output tokens, comma-separated.
      prompt_parts: Parts of the prompt as ID:TOKENS entries.
      length_hint: The caller's estimate of the output tokens.
      session: Id shared by the requests of a session.
      last_event: Id of the last event that the sender has received.
      confidence: The model's confidence in its output, 0 to 100.
      rate_limit: Requests per second that the upstream takes from all nodes.
      brittle: Refusals per second for want of room that the upstream bears.
      leaving: `1` in all answers of an upstream that is about to stop.
      stamp: Set by the upstream on each response that it produced itself.
      not_run: Present when the upstream did not run the request.
      cold_ms: Milliseconds for which the upstream stays cold.
      reserved: Headers that only the gateway may set.
    """

    request_id: bytes
    api_key: bytes
    time_budget_ms: bytes
    organisation: bytes
    expected_upstream: bytes
    upstream: bytes
    expected_version: bytes
    priority: bytes
    model: bytes
    token_counts: bytes
    prompt_parts: bytes
    length_hint: bytes
    session: bytes
    last_event: bytes
    confidence: bytes
    rate_limit: bytes
    brittle: bytes
    leaving: bytes
    stamp: bytes
    not_run: bytes
    cold_ms: bytes
    reserved: frozenset[bytes]
