"""Reads the body of a caller's request within bounds of size and time."""

import anyio


class CallerLeft(Exception):
    """The caller closed its connection."""


class TooLarge(Exception):
    """The body has more bytes than are allowed."""


class TooSlow(Exception):
    """The body did not arrive in time."""


async def read(receive, limit: int, limit_s: float) -> bytes:
    """Returns a request's whole body.

    Args:
      receive: The ASGI function.
      limit: Most bytes.
      limit_s: Longest time in seconds.

    Raises:
      CallerLeft, TooLarge, TooSlow: There is no whole body.
    """
    with anyio.move_on_after(limit_s):
        return await _read_parts(receive, limit)
    raise TooSlow(f'no whole body in {limit_s:g} s')


async def _read_parts(receive, limit: int) -> bytes:
    parts = []
    size = 0
    while True:
        message = await receive()
        if message['type'] == 'http.disconnect':
            raise CallerLeft
        part = message.get('body', b'')
        size += len(part)
        if size > limit:
            raise TooLarge(f'at most {limit} bytes')
        parts.append(part)
        if not message.get('more_body'):
            return b''.join(parts)
