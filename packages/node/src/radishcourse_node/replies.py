"""Builds and sends response headers, error bodies and final events."""

import msgspec

from radishcourse_model import states
from radishcourse_node import errors
from radishcourse_node import job as jobs
from radishcourse_node import pages

REQUEST_ID_HEADER = 'x-radish-request-id'
OUTCOME_HEADER = 'x-radish-outcome'
# Must not have a length (RFC 9110, section 8.6).
NO_CONTENT = 204
DONE_EVENT = b'data: [DONE]\n\n'


class ErrorDetail(msgspec.Struct):
    """What an error body says.

    Attributes:
      code: Error code, as in `RefusalCode`.
      message: Description of the cause.
      outcome: Value of `Outcome`.
      request_id: Id of the request, or empty if it was not parsed.
    """

    code: str
    message: str
    outcome: str
    request_id: str


class ErrorBody(msgspec.Struct):
    """Body of an error response."""

    error: ErrorDetail


def encode_error(refusal: errors.Refusal, request_id: str) -> bytes:
    """Returns the response body of a refusal, in JSON."""
    reason = refusal.reason
    return msgspec.json.encode(
        ErrorBody(
            ErrorDetail(
                reason.label, str(refusal), reason.outcome.value, request_id
            )
        )
    )


def make_error_response(
    refusal: errors.Refusal, request_id: str
) -> pages.Response:
    """Returns the complete response of a refusal."""
    headers = {
        'content-type': 'application/json',
        REQUEST_ID_HEADER: request_id,
        OUTCOME_HEADER: refusal.reason.outcome.value,
    }
    if refusal.retry_after_s is not None:
        headers['retry-after'] = str(refusal.retry_after_s)
    body = encode_error(refusal, request_id)
    return pages.Response(refusal.reason.status, body, headers)


def start_headers(job: jobs.Job, facts: jobs.Facts) -> dict[str, str]:
    """Returns the headers that are known when a stream starts."""
    headers = {
        REQUEST_ID_HEADER: job.request_id,
        'x-radish-model': facts.model,
        'x-radish-steps': str(facts.steps),
        'x-radish-revision': str(facts.revision),
    }
    if facts.version:
        headers['x-radish-version'] = facts.version
    return headers


def answer_headers(job: jobs.Job, facts: jobs.Facts) -> dict[str, str]:
    """Returns the headers of an answer that is not streamed."""
    headers = start_headers(job, facts)
    headers['x-radish-cost'] = str(facts.cost)
    headers[OUTCOME_HEADER] = facts.outcome.value
    if facts.rating is not None:
        headers['x-radish-rating'] = f'{facts.rating:.3f}'
    return headers


def final_event(job: jobs.Job, facts: jobs.Facts) -> bytes:
    """Returns the event with the values known only at a stream's end."""
    data = msgspec.json.encode(answer_headers(job, facts))
    return b'event: radishcourse\ndata: ' + data + b'\n\n' + DONE_EVENT


def error_event(job: jobs.Job, message: str) -> bytes:
    """Returns the event that ends an interrupted stream."""
    refusal = errors.Refusal(errors.RefusalCode.UPSTREAM_FAILED, message)
    assert refusal.reason.outcome is states.Outcome.FAILED
    data = encode_error(refusal, job.request_id)
    return b'event: error\ndata: ' + data + b'\n\n'


async def send_response(send, response: pages.Response) -> None:
    """Sends a complete response."""
    headers = dict(response.headers)
    if response.status != NO_CONTENT:
        headers['content-length'] = str(len(response.body))
    await send_start(send, response.status, headers)
    await send({'type': 'http.response.body', 'body': response.body})


async def send_start(send, status: int, headers: dict[str, str]) -> None:
    """Sends the status and the headers of a response."""
    await send(
        {
            'type': 'http.response.start',
            'status': status,
            'headers': [
                (name.encode('latin-1'), value.encode('latin-1'))
                for name, value in headers.items()
            ],
        }
    )


async def send_part(send, part: bytes) -> None:
    """Sends a part of a response body; more follows."""
    await send({'type': 'http.response.body', 'body': part, 'more_body': True})
