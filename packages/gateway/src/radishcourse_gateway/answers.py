"""Passes an upstream's answer on to the caller."""

import dataclasses

from radishcourse_gateway import channels
from radishcourse_gateway import errors
from radishcourse_gateway import inboundrequest

# Answers up to this size are read as a whole before the caller gets any of
# it, so that one that is cut short can still be replaced.
MAX_HELD_BYTES = 256 * 1024
_WITHOUT_BODY = (204, 304)


@dataclasses.dataclass
class Whole:
    """An answer that was read as a whole."""

    head: channels.Head
    body: bytes


def has_body(method: bytes, status: int) -> bool:
    """Tells whether an answer has a body."""
    return method != b'HEAD' and status not in _WITHOUT_BODY


async def read_failure(
    method: bytes, channel: channels.Channel, head: channels.Head
) -> Whole:
    """Returns an upstream's failure with its body.

    Raises:
      ChannelError: It is cut short, or too long for a failure.
    """
    body = b''
    while has_body(method, head.status):
        part = await channel.receive()
        if part is None:
            break
        body += part
        if len(body) > MAX_HELD_BYTES:
            raise errors.ChannelError('a failure that is too long', True)
    return Whole(head, body)


async def pass_on(
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
    parts, held = [], 0
    complete = not has_body(request.method, head.status)
    while not complete and held <= MAX_HELD_BYTES:
        part = await channel.receive()
        if part is None:
            complete = True
        else:
            parts.append(part)
            held += len(part)
    if complete:
        await send(request, plan, Whole(head, b''.join(parts)), out)
        return
    plan.begun = True
    await out.start(head.status, inboundrequest.caller_headers(head.headers))
    for part in parts:
        await out.write(part)
    while (part := await channel.receive()) is not None:
        await out.write(part)
    await out.end()


async def send(
    request: inboundrequest.InboundRequest, plan, answer: Whole, out
) -> None:
    """Sends an answer that was read as a whole."""
    headers = inboundrequest.caller_headers(answer.head.headers)
    if has_body(request.method, answer.head.status):
        length = b'%d' % len(answer.body)
        headers = [item for item in headers if item[0] != b'content-length']
        headers.append((b'content-length', length))
    plan.begun = True
    await out.start(answer.head.status, headers)
    if answer.body:
        await out.write(answer.body)
    await out.end()
