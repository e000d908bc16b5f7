"""HTTP client that maps failures to the errors of this package."""

import contextlib
import socket
import struct
import typing

import anyio
import httpcore

from radishcourse_platform import errors

DEFAULT_TIMEOUT_S = 1.0
MAX_CONNECTIONS = 16
# Closes a connection with a reset. What the system has not delivered is dropped
# then; else it would try for minutes.
_RESET_ON_CLOSE = (
    socket.SOL_SOCKET,
    socket.SO_LINGER,
    struct.pack('ii', 1, 0),
)
# Limit on a body of the platform. Its largest replies are objects that hold an
# answer of a service, which has the same limit.
MAX_BODY_BYTES = 16 * 2**20

# Raised by an HTTP call when no complete response arrives in time.
CALL_ERRORS = (
    httpcore.NetworkError,
    httpcore.TimeoutException,
    httpcore.ProtocolError,
    TimeoutError,
    OSError,
)


class Response(typing.NamedTuple):
    """An HTTP response.

    Attributes:
      status: The status.
      body: The whole body.
      headers: Names, in lower case, and values of the headers.
    """

    status: int
    body: bytes
    headers: tuple[tuple[bytes, bytes], ...] = ()

    def get(self, name: bytes) -> bytes | None:
        """Returns the first value of a header."""
        return next((value for key, value in self.headers if key == name), None)


class BodyTooLarge(httpcore.RemoteProtocolError):
    """The body of a response exceeds its size limit."""


async def read_body(response: httpcore.Response, max_bytes: int) -> bytes:
    """Returns the whole body of a streamed response.

    httpcore itself reads bodies without a limit.

    Args:
      response: The response, with its body unread.
      max_bytes: Maximum size of the body in bytes.

    Raises:
      BodyTooLarge: The body has more than `max_bytes`.
    """
    parts, size = [], 0
    async for part in response.aiter_stream():
        size += len(part)
        if size > max_bytes:
            raise BodyTooLarge(f'response body exceeds {max_bytes} bytes')
        parts.append(part)
    return b''.join(parts)


async def request(
    pool: httpcore.AsyncConnectionPool,
    method: str,
    url: str,
    max_bytes: int,
    **options,
) -> Response:
    """Sends a request and returns the response with its whole body.

    Args:
      pool: Connections to the server.
      method: HTTP method.
      url: Absolute URL.
      max_bytes: Maximum size of the body in bytes.
      options: Further arguments of httpcore: headers, content, extensions.

    Raises:
      BodyTooLarge: The body has more than `max_bytes`.
    """
    async with pool.stream(method, url, **options) as response:
        body = await read_body(response, max_bytes)
    headers = tuple((name.lower(), value) for name, value in response.headers)
    return Response(response.status, body, headers)


class Client:
    """Calls one HTTP service by base URL.

    Args:
      base_url: Scheme, IP address and port.
      timeout_s: Limit in seconds on a whole call, including the body.
      max_body_bytes: Limit on the body of a response.
      reset_on_close: Whether a call that timed out must not be delivered later.
    """

    def __init__(
        self,
        base_url: str,
        timeout_s: float = DEFAULT_TIMEOUT_S,
        max_body_bytes: int = MAX_BODY_BYTES,
        reset_on_close: bool = False,
    ):
        self._base_url = base_url.rstrip('/')
        self._timeout_s = timeout_s
        self._max_body_bytes = max_body_bytes
        self._pool = httpcore.AsyncConnectionPool(
            max_connections=MAX_CONNECTIONS,
            socket_options=[_RESET_ON_CLOSE] if reset_on_close else None,
        )

    async def call(
        self,
        method: str,
        path: str,
        body: bytes | None = None,
        headers: dict[str, str] | None = None,
        before_send: typing.Callable[[], None] | None = None,
    ) -> Response:
        """Sends one request and returns its response.

        Args:
          method: HTTP method.
          path: Path and query.
          body: JSON body, None for none.
          headers: More headers.
          before_send: Called when a connection is open, immediately before the
            first byte is sent. What it raises ends the call.

        Raises:
          Unavailable: The request was not sent, or was refused with 429
            (`RateLimited`) or 503 before it took effect.
          ResponseLost: The request may have been sent, but no complete
            response arrived in time.
        """
        sent = _SentFlag(before_send)
        headers = dict(headers or {})
        if body:
            headers['content-type'] = 'application/json'
        try:
            with anyio.fail_after(self._timeout_s):
                response = await request(
                    self._pool,
                    method,
                    self._base_url + path,
                    self._max_body_bytes,
                    headers=headers,
                    content=body,
                    extensions={'trace': sent.trace},
                )
        except CALL_ERRORS as error:
            if sent.started:
                raise errors.ResponseLost(
                    f'{method} {path}: {error!r}'
                ) from error
            raise errors.Unavailable(f'{method} {path}: {error!r}') from error
        if response.status == 429:
            raise errors.RateLimited(f'{method} {path}: 429')
        if response.status == 503:
            raise errors.Unavailable(f'{method} {path}: {response.status}')
        return response

    async def aclose(self) -> None:
        """Closes the connections."""
        await self._pool.aclose()


class _SentFlag:
    """Records whether any byte of a request may have left the process."""

    def __init__(self, before_send: typing.Callable[[], None] | None = None):
        self.started = False
        self._before_send = before_send

    async def trace(self, event: str, info: object) -> None:
        del info
        if event.endswith('send_request_headers.started'):
            if self._before_send is not None:
                self._before_send()
            self.started = True


@contextlib.asynccontextmanager
async def open_client(base_url: str, *arguments, **options):
    """Yields a `Client`, made with the same arguments; closes it on exit."""
    client = Client(base_url, *arguments, **options)
    try:
        yield client
    finally:
        with anyio.CancelScope(shield=True):
            await client.aclose()
