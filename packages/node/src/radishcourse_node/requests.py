"""Reads callers' requests within bounds of size and time."""

import anyio

from radishcourse_node import errors

MAX_HEADERS = 100
MAX_HEADER_BYTES = 16 * 1024


class CallerLeft(Exception):
    """The caller closed its connection."""


def read_headers(raw: list[tuple[bytes, bytes]]) -> dict[str, str]:
    """Returns header values by lower-case name.

    Raises:
      Refusal: They are too many or too large.
    """
    size = sum(len(name) + len(value) for name, value in raw)
    if len(raw) > MAX_HEADERS or size > MAX_HEADER_BYTES:
        raise errors.Refusal(
            errors.RefusalCode.HEADERS_TOO_LARGE,
            f'at most {MAX_HEADERS} headers, {MAX_HEADER_BYTES} bytes',
        )
    return {
        name.decode('latin-1'): value.decode('latin-1') for name, value in raw
    }


async def read_body(receive, limit: int, limit_s: float) -> bytes:
    """Returns a request's whole body.

    Args:
      receive: The ASGI function.
      limit: Most bytes.
      limit_s: Longest time in seconds.

    Raises:
      CallerLeft: The connection ended first.
      Refusal: The body is too large, or came too slowly.
    """
    with anyio.move_on_after(limit_s):
        return await _read_parts(receive, limit)
    raise errors.Refusal(
        errors.RefusalCode.BAD_REQUEST,
        f'the body did not arrive within {limit_s:g} s',
    )


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
            raise errors.Refusal(
                errors.RefusalCode.BODY_TOO_LARGE, f'at most {limit} bytes'
            )
        parts.append(part)
        if not message.get('more_body'):
            return b''.join(parts)
