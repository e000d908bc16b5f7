"""Passes an upstream's answer on to the caller."""

import dataclasses

from radishcourse_gateway import channels
from radishcourse_gateway import errors
from radishcourse_gateway import inboundrequest

# Answers up to this size are read as a whole before the caller gets any of
# it, so that one that is cut short can still be replaced.
MAX_BUFFERED_BYTES = 256 * 1024
_STATUSES_WITHOUT_BODY = (204, 304)


@dataclasses.dataclass
class BufferedResponse:
    """An answer that was read as a whole."""

    head: channels.Head
    body: bytes


def may_have_body(method: bytes, status: int) -> bool:
    """Tells whether an answer has a body."""
    return method != b'HEAD' and status not in _STATUSES_WITHOUT_BODY


async def read_error_response(
    method: bytes, channel: channels.Channel, head: channels.Head
) -> BufferedResponse:
    """Returns an upstream's failure with its body.

    Raises:
      ChannelError: It is cut short, or too long for a failure.
    """
    body = b''
    while may_have_body(method, head.status):
        part = await channel.receive()
        if part is None:
            break
        body += part
        if len(body) > MAX_BUFFERED_BYTES:
            raise errors.ChannelError('a failure that is too long', True)
    return BufferedResponse(head, body)


async def forward(
    request: inboundrequest.InboundRequest,
    plan,
    channel: channels.Channel,
    head: channels.Head,
    out,
) -> None:
    """Passes an answer on, as a whole when it is not too large.

    Raises:
      ChannelError: It is cut short.
    """
    parts, size = [], 0
    complete = not may_have_body(request.method, head.status)
    while not complete and size <= MAX_BUFFERED_BYTES:
        part = await channel.receive()
        if part is None:
            complete = True
        else:
            parts.append(part)
            size += len(part)
    if complete:
        await send_buffered(
            request, plan, BufferedResponse(head, b''.join(parts)), out
        )
        return
    plan.begun = True
    await out.start(head.status, inboundrequest.caller_headers(head.headers))
    for part in parts:
        await out.write(part)
    while (part := await channel.receive()) is not None:
        await out.write(part)
    await out.end()


async def send_buffered(
    request: inboundrequest.InboundRequest,
    plan,
    response: BufferedResponse,
    out,
) -> None:
    """Sends an answer that was read as a whole."""
    headers = inboundrequest.caller_headers(response.head.headers)
    if may_have_body(request.method, response.head.status):
        length = b'%d' % len(response.body)
        headers = [item for item in headers if item[0] != b'content-length']
        headers.append((b'content-length', length))
    plan.begun = True
    await out.start(response.head.status, headers)
    if response.body:
        await out.write(response.body)
    await out.end()
