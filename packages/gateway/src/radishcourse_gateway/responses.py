"""Forwards an upstream's response to the caller."""

import dataclasses

from radishcourse_gateway import errors
from radishcourse_gateway import inboundrequest
from radishcourse_gateway import upstreamconnections
from radishcourse_policy import answers

# Responses up to this size are buffered before the caller gets any of them, so
# that the request can still be retried if one is truncated.
MAX_BUFFERED_BYTES = 256 * 1024
# Must not have a length (RFC 9110, section 8.6), by which some callers would
# wait for a body.
_NO_CONTENT = 204
_WITHOUT_BODY = (_NO_CONTENT, 304)


@dataclasses.dataclass
class BufferedResponse:
    """A response whose body was read, or the start of a long one.

    Attributes:
      head: Status and headers.
      body: What was read of the body.
      complete: Whether that is the whole body.
    """

    head: upstreamconnections.Head
    body: bytes
    complete: bool


def refusal_body(reason: errors.Reason) -> bytes:
    """Returns the body of the gateway's own response."""
    return b'{"error":"%s"}' % reason.label.encode()


def has_body(method: bytes, status: int) -> bool:
    """Tells whether a response with a status may have a body."""
    return method != b'HEAD' and status not in _WITHOUT_BODY


def unsized_headers(
    head: upstreamconnections.Head,
) -> inboundrequest.Headers:
    """Returns a response's headers for a body whose size is not known yet.

    The rest of a stream that is resumed may have another size, and the
    Content-Length beside a chunked body does not count (RFC 9112, section 6.3).
    """
    headers = inboundrequest.caller_headers(head.headers)
    return [item for item in headers if item[0] != b'content-length']


async def read_error_response(
    request: inboundrequest.InboundRequest,
    connection: upstreamconnections.Connection,
    head: upstreamconnections.Head,
) -> BufferedResponse:
    """Returns an upstream's error response with its body.

    Raises:
      UpstreamError: It is truncated or larger than MAX_BUFFERED_BYTES.
    """
    response = await read_start(request, connection, head)
    if not response.complete:
        raise errors.UpstreamError('error response too large', True)
    return response


async def read_start(
    request: inboundrequest.InboundRequest,
    connection: upstreamconnections.Connection,
    head: upstreamconnections.Head,
) -> BufferedResponse:
    """Reads a body until its end or until it exceeds MAX_BUFFERED_BYTES.

    Raises:
      UpstreamError: It is truncated.
    """
    parts, size = [], 0
    complete = not has_body(request.method, head.status)
    while not complete and size <= MAX_BUFFERED_BYTES:
        part = await connection.receive()
        if part is None:
            complete = True
        else:
            parts.append(part)
            size += len(part)
            # If it gives way, the caller's connection is closed and this task
            # cancelled.
            request.hold_response(size)
    return BufferedResponse(head, b''.join(parts), complete)


async def forward_long(
    plan,
    connection: upstreamconnections.Connection,
    response: BufferedResponse,
    out,
) -> None:
    """Forwards a response of which the start was read, but not its end.

    Raises:
      UpstreamError: The rest is truncated.
    """
    plan.begun = True
    head = response.head
    headers = unsized_headers(head)
    if plan.arrival.framing is answers.Framing.LENGTH:
        headers = inboundrequest.caller_headers(head.headers)
    await out.start(head.status, headers)
    await out.write(response.body)
    while (part := await connection.receive()) is not None:
        await out.write(part)


async def send_buffered(
    request: inboundrequest.InboundRequest,
    plan,
    response: BufferedResponse,
    out,
) -> None:
    """Sends a buffered response to the caller."""
    headers = inboundrequest.caller_headers(response.head.headers)
    if response.head.status == _NO_CONTENT:
        headers = unsized_headers(response.head)
    elif has_body(request.method, response.head.status):
        length = b'%d' % len(response.body)
        headers = unsized_headers(response.head)
        headers.append((b'content-length', length))
    plan.begun = True
    await out.start(response.head.status, headers)
    await out.end(response.body)
