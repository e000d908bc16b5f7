"""Reads the body of a caller's request within bounds of size and time."""

import anyio


class CallerDisconnected(Exception):
    """The caller closed its connection."""


class TooLarge(Exception):
    """The body has more bytes than are allowed."""


class TooSlow(Exception):
    """The body did not arrive in time."""


async def read(receive, max_bytes: int, timeout_s: float) -> bytes:
    """Returns a request's whole body.

    Args:
      receive: The ASGI function.
      max_bytes: Maximum size of the body in bytes.
      timeout_s: Time limit for the whole body in seconds.

    Raises:
      CallerLeft, TooLarge, TooSlow: There is no whole body.
    """
    with anyio.move_on_after(timeout_s):
        return await _read_parts(receive, max_bytes)
    raise TooSlow(f'no whole body in {timeout_s:g} s')


async def _read_parts(receive, max_bytes: int) -> bytes:
    parts = []
    size = 0
    while True:
        message = await receive()
        if message['type'] == 'http.disconnect':
            raise CallerDisconnected
        part = message.get('body', b'')
        size += len(part)
        if size > max_bytes:
            raise TooLarge(f'at most {max_bytes} bytes')
        parts.append(part)
        if not message.get('more_body'):
            return b''.join(parts)
