"""Reads requests of callers within limits of size and time."""

from radishcourse_node import bodies
from radishcourse_node import errors

# The bodies that used up the memory end or are cut off within about this time.
NO_MEMORY_RETRY_S = 1
MAX_HEADERS = 100
MAX_HEADER_BYTES = 16 * 1024


def read_headers(raw: list[tuple[bytes, bytes]]) -> dict[str, str]:
    """Returns header values by lower-case name.

    Raises:
      Refusal: There are too many headers, or they are too large.
    """
    size = sum(len(name) + len(value) for name, value in raw)
    if len(raw) > MAX_HEADERS or size > MAX_HEADER_BYTES:
        raise errors.Refusal(
            errors.RefusalCode.HEADERS_TOO_LARGE,
            f'more than {MAX_HEADERS} headers or {MAX_HEADER_BYTES} bytes',
        )
    return {
        name.decode('latin-1'): value.decode('latin-1') for name, value in raw
    }


async def read_body(
    reader: bodies.Reader, receive, headers, max_bytes: int, timeout_s: float
) -> bytes:
    """Returns the complete body of a request.

    Args:
      reader: Reads the body and accounts for it.
      receive: The ASGI receive function.
      headers: The headers; names in lower case.
      max_bytes: Maximum size of the body in bytes.
      timeout_s: Time limit for the whole body in seconds.

    Raises:
      CallerDisconnected: The caller disconnected first.
      Refusal: The body is too large, did not arrive in time, or the memory for
        requests is used up.
    """
    try:
        return await reader.read(receive, headers, max_bytes, timeout_s)
    except bodies.TooLarge as error:
        raise errors.Refusal(
            errors.RefusalCode.BODY_TOO_LARGE, str(error)
        ) from error
    except bodies.TooSlow as error:
        raise errors.Refusal(
            errors.RefusalCode.BAD_REQUEST, str(error)
        ) from error
    except bodies.NoMemory as error:
        raise errors.Refusal(
            errors.RefusalCode.OVERLOADED, str(error), NO_MEMORY_RETRY_S
        ) from error
