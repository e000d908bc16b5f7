"""Forwards an upstream's response to the caller."""

import dataclasses

from radishcourse_gateway import errors
from radishcourse_gateway import inboundrequest
from radishcourse_gateway import upstreamconnections

# Responses up to this size are buffered before the caller gets any of them, so
# that the request can still be retried if one is truncated.
MAX_BUFFERED_BYTES = 256 * 1024
_WITHOUT_BODY = (204, 304)


@dataclasses.dataclass
class BufferedResponse:
    """A response that was read completely."""

    head: upstreamconnections.Head
    body: bytes


def has_body(method: bytes, status: int) -> bool:
    """Tells whether a response with a status may have a body."""
    return method != b'HEAD' and status not in _WITHOUT_BODY


async def read_error_response(
    method: bytes,
    connection: upstreamconnections.Connection,
    head: upstreamconnections.Head,
) -> BufferedResponse:
    """Returns an upstream's error response with its body.

    Raises:
      UpstreamError: It is truncated or larger than MAX_BUFFERED_BYTES.
    """
    body = b''
    while has_body(method, head.status):
        part = await connection.receive()
        if part is None:
            break
        body += part
        if len(body) > MAX_BUFFERED_BYTES:
            raise errors.UpstreamError('error response too large', True)
    return BufferedResponse(head, body)


async def forward(
    request: inboundrequest.InboundRequest,
    plan,
    connection: upstreamconnections.Connection,
    head: upstreamconnections.Head,
    out,
) -> None:
    """Forwards a response, buffered unless it exceeds MAX_BUFFERED_BYTES.

    Raises:
      UpstreamError: It is truncated.
    """
    parts, held = [], 0
    complete = not has_body(request.method, head.status)
    while not complete and held <= MAX_BUFFERED_BYTES:
        part = await connection.receive()
        if part is None:
            complete = True
        else:
            parts.append(part)
            held += len(part)
    if complete:
        await send_buffered(
            request, plan, BufferedResponse(head, b''.join(parts)), out
        )
        return
    plan.begun = True
    await out.start(head.status, inboundrequest.caller_headers(head.headers))
    for part in parts:
        await out.write(part)
    while (part := await connection.receive()) is not None:
        await out.write(part)
    await out.end()


async def send_buffered(
    request: inboundrequest.InboundRequest,
    plan,
    response: BufferedResponse,
    out,
) -> None:
    """Sends a buffered response to the caller."""
    headers = inboundrequest.caller_headers(response.head.headers)
    if has_body(request.method, response.head.status):
        length = b'%d' % len(response.body)
        headers = [item for item in headers if item[0] != b'content-length']
        headers.append((b'content-length', length))
    plan.begun = True
    await out.start(response.head.status, headers)
    if response.body:
        await out.write(response.body)
    await out.end()
