"""HTTP/1.1 connections to upstreams.

The parser is h11, which httpcore also uses. It is used directly because bytes
that follow a response have to be detected: they belong to no request, and a
connection on which any arrived is not reused.
"""

import array
import contextlib
import dataclasses
import fcntl
import select
import socket
import termios

import anyio
import h11

from radishcourse_gateway import errors
from radishcourse_policy import answers

# Connecting takes one round trip and about a millisecond; a longer wait means
# that the upstream is gone or packets are lost.
CONNECT_TIMEOUT_S = 0.2
READ_BYTES = 32 * 1024
SEND_BYTES = 64 * 1024
# An upstream whose VM lost power neither responds nor closes its connections. A
# sound one may be silent for MAX_SILENCE_S. The kernel sends keep-alive probes
# after 1, 2 and 3 s and closes an idle connection after 4 s, as the user
# timeout, which overrides the number of probes (tcp(7)), has passed by then but
# not at 3 s. A retransmission after that silence precedes it as well.
MAX_SILENCE_S = 1.5
TCP_USER_TIMEOUT_MS = 3250
TCP_KEEPALIVE_IDLE_S = 1
TCP_KEEPALIVE_PROBES = 3
MAX_HEAD_BYTES = 64 * 1024
# An upstream that sends more interim (1xx) responses is assumed never to send
# the final one.
MAX_INTERIM_RESPONSES = 16
# A request up to this size fits into the kernel's socket buffers, so sending it
# does not block until the upstream reads.
SMALL_REQUEST_BYTES = 8 * 1024
# Time after which an upstream is assumed to close an idle connection when it
# sends no Keep-Alive timeout.
UPSTREAM_IDLE_TIMEOUT_S = 2.0

_STREAM_ERRORS = (
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
    OSError,
)
Headers = list[tuple[bytes, bytes]]


@dataclasses.dataclass(frozen=True)
class Head:
    """Status and headers of a response; header names are in lower case."""

    status: int
    headers: Headers

    @property
    def media_type(self) -> str:
        """Media type of the body, in lower case; empty if it is not named."""
        value, _, _ = (self.get(b'content-type') or b'').partition(b';')
        return value.strip().lower().decode('latin-1')

    def get(self, name: bytes) -> bytes | None:
        """Returns the first value of a header."""
        return next((value for key, value in self.headers if key == name), None)


@dataclasses.dataclass
class Arrival:
    """What has arrived of an answer.

    Attributes:
      framing: What marks the end of its body, None before its head.
      received: Bytes of its body.
      end: How its body ended.
      waited: Whether nothing had arrived when the last part or the end of the
        connection was waited for; only set with `Framing.CLOSE`.
      request_sent: Whether the upstream's kernel had the whole request when
        the body ended; only set with `End.CLOSED`.
    """

    framing: answers.Framing | None = None
    received: int = 0
    end: answers.End = answers.End.OPEN
    waited: bool = False
    request_sent: bool = False


class ConnectionRefused(errors.UpstreamError):
    """No process listens at an upstream's address."""

    code = 'upstream_refused'


class Connection:
    """A connection to an upstream, for one request at a time.

    Attributes:
      last_used_at: When it was opened or last returned to the pool.
    """

    def __init__(self, stream: anyio.abc.SocketStream, now: float):
        self._stream = stream
        self._parser = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES
        )
        self._send_pending = False
        self._closed = False
        self._method = ''
        self._requests = 0
        self._idle_timeout_s = UPSTREAM_IDLE_TIMEOUT_S
        self.last_used_at = now
        self._arrival = Arrival()

    @property
    def fresh(self) -> bool:
        """Whether at most one request was sent on it."""
        return self._requests <= 1

    @property
    def unused(self) -> bool:
        """Whether no request was sent on it."""
        return not self._requests

    @property
    def reusable(self) -> bool:
        """Whether the connection can take another request."""
        return (
            not self._closed
            and not self._send_pending
            and self._parser.our_state is h11.DONE
            and self._parser.their_state is h11.DONE
            and not self._parser.trailing_data[0]
        )

    def is_likely_open(self, now: float) -> bool:
        """Tells whether the upstream most likely still keeps it open."""
        if self._closed or now - self.last_used_at > self._idle_timeout_s / 2:
            return False
        # Readable while idle: closed, or bytes that belong to no request.
        return not self._is_readable()

    def _is_readable(self) -> bool:
        raw = self._stream.extra(anyio.abc.SocketAttribute.raw_socket)
        if raw.fileno() < 0:
            # A failed send has closed it; what had arrived is still queued.
            return True
        poll = select.poll()
        poll.register(raw.fileno(), select.POLLIN)
        return bool(poll.poll(0))

    async def request(
        self,
        method: bytes,
        target: bytes,
        headers: Headers,
        body: bytes,
        arrival: Arrival,
    ) -> Head:
        """Sends a request and returns the head of the response.

        An upstream may respond before it has read the whole body. The rest of
        the body is then not sent, and the connection is not reused.

        Args:
          method: HTTP method.
          target: Path and query.
          headers: Request headers.
          body: Request body.
          arrival: Records what arrives of the answer.

        Raises:
          UpstreamError: There is no valid response.
        """
        if self._parser.our_state is h11.DONE:
            self._parser.start_next_cycle()
        self._method = method.decode('latin-1')
        self._arrival = arrival
        self._requests += 1
        request = h11.Request(method=method, target=target, headers=headers)
        pieces = [self._parser.send(request)]
        if body:
            pieces.append(self._parser.send(h11.Data(body)))
        pieces.append(self._parser.send(h11.EndOfMessage()))
        self._send_pending = True
        if sum(map(len, pieces)) <= SMALL_REQUEST_BYTES:
            await self._send(b''.join(pieces))
            return await self.receive_head()
        head, failure = None, None
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._send, *pieces)
            try:
                head = await self.receive_head()
            except errors.UpstreamError as error:
                # Raised here, the task group would wrap it.
                failure = error
            tasks.cancel_scope.cancel()
        if failure is not None:
            raise failure
        return head

    async def _send(self, *pieces: bytes) -> None:
        # Send errors are ignored: whether a response arrives decides the
        # outcome. The transport copies what the upstream does not read.
        with contextlib.suppress(*_STREAM_ERRORS):
            for piece in map(memoryview, pieces):
                for start in range(0, len(piece), SEND_BYTES):
                    await self._stream.send(piece[start : start + SEND_BYTES])
            self._send_pending = False

    async def receive_head(self) -> Head:
        """Returns the head of the final response, skipping interim (1xx) ones.

        Raises:
          UpstreamError: The connection failed or closed before it, or too many
            interim responses came.
        """
        for _ in range(MAX_INTERIM_RESPONSES + 1):
            event = await self._next_event()
            if isinstance(event, h11.Response):
                head = Head(event.status_code, list(event.headers))
                self._check_values(head)
                self._read_idle_timeout(head)
                self._arrival.framing = answers.framing(
                    self._method,
                    head.status,
                    head.get(b'content-length') is not None,
                    head.get(b'transfer-encoding') is not None,
                )
                return head
            if not isinstance(event, h11.InformationalResponse):
                raise errors.UpstreamError('closed without a response', True)
        raise errors.UpstreamError('too many interim responses', True)

    def _check_values(self, head: Head) -> None:
        if answers.has_control_character(value for _, value in head.headers):
            self._closed = True
            raise errors.UpstreamError(
                'malformed response: control character in a header', True
            )

    async def receive(self) -> bytes | None:
        """Returns the next part of the body, None at its end.

        Raises:
          UpstreamError: The response is truncated or malformed.
        """
        while True:
            event = await self._next_event()
            if isinstance(event, h11.Data):
                self._arrival.received += len(event.data)
                return bytes(event.data)
            if isinstance(event, h11.EndOfMessage):
                self._note_end()
                return None
            if isinstance(event, h11.ConnectionClosed):
                raise errors.UpstreamError('closed within the response', True)

    def _note_end(self) -> None:
        arrival = self._arrival
        if arrival.framing is not answers.Framing.CLOSE:
            arrival.end = answers.End.FRAMED
            return
        arrival.end = answers.End.CLOSED
        arrival.request_sent = self._is_request_sent()

    def _is_request_sent(self) -> bool:
        raw = self._stream.extra(anyio.abc.SocketAttribute.raw_socket)
        if self._send_pending or raw.fileno() < 0:
            return False
        unacknowledged = array.array('i', [0])
        fcntl.ioctl(raw.fileno(), termios.TIOCOUTQ, unacknowledged)
        return not unacknowledged[0]

    async def _next_event(self):
        try:
            while True:
                event = self._parser.next_event()
                if event is h11.PAUSED:
                    raise errors.UpstreamError('bytes after the response', True)
                if event is not h11.NEED_DATA:
                    return event
                if self._arrival.framing is answers.Framing.CLOSE:
                    self._arrival.waited = not self._is_readable()
                try:
                    data = await self._stream.receive(READ_BYTES)
                except anyio.EndOfStream:
                    data = b''
                self._parser.receive_data(data)
        except h11.RemoteProtocolError as error:
            self._closed = True
            self._arrival.end = answers.End.BROKEN
            raise errors.UpstreamError(
                f'malformed response: {error}', True
            ) from error
        except _STREAM_ERRORS as error:
            self._closed = True
            self._arrival.end = answers.End.BROKEN
            raise errors.UpstreamError(
                f'receive failed: {error!r}', True
            ) from error

    def discard(self) -> None:
        """Prevents that it is used for another request."""
        self._closed = True

    def _read_idle_timeout(self, head: Head) -> None:
        value = head.get(b'keep-alive') or b''
        for item in value.lower().split(b','):
            name, _, number = item.strip().partition(b'=')
            if name == b'timeout' and number.isdigit():
                self._idle_timeout_s = float(number)

    async def aclose(self) -> None:
        """Closes the connection at once, so that the upstream stops work."""
        self._closed = True
        with anyio.CancelScope(shield=True):
            await anyio.aclose_forcefully(self._stream)


async def connect(address: str, now: float, fail_after) -> Connection:
    """Opens a connection.

    Args:
      address: IP address and port of the upstream.
      now: Current time of the caller's clock.
      fail_after: Limits the time; see `timeouts.Timeouts`.

    Raises:
      UpstreamError: The upstream can't be reached; nothing was sent.
    """
    host, _, port = address.rpartition(':')
    try:
        with fail_after(CONNECT_TIMEOUT_S):
            stream = await anyio.connect_tcp(host, int(port))
    except (OSError, TimeoutError, ValueError, OverflowError) as error:
        refused = isinstance(error.__cause__ or error, ConnectionRefusedError)
        failure = ConnectionRefused if refused else errors.UpstreamError
        raise failure(f'connect failed: {error!r}', False) from error
    raw = stream.extra(anyio.abc.SocketAttribute.raw_socket)
    for level, option, value in (
        (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
        (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
        (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, TCP_KEEPALIVE_IDLE_S),
        (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, TCP_KEEPALIVE_IDLE_S),
        (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, TCP_KEEPALIVE_PROBES),
        (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS),
    ):
        raw.setsockopt(level, option, value)
    return Connection(stream, now)


async def is_refused(address: str, fail_after) -> bool:
    """Tells whether an address refuses connections: no process listens on it.

    An address that does not respond within CONNECT_TIMEOUT_S does not refuse.
    """
    try:
        connection = await connect(address, 0.0, fail_after)
    except ConnectionRefused:
        return True
    except errors.UpstreamError:
        return False
    await connection.aclose()
    return False


class Pool:
    """Idle connections to upstreams.

    An address may be reassigned to another upstream, so connections are kept
    by upstream and start, not by address, and closed when the upstream is gone.

    Args:
      clock: Source of time.
      fail_after: Limits the time to connect; see `timeouts.Timeouts`.
      max_idle: Idle connections kept for each upstream.
    """

    def __init__(self, clock, fail_after, max_idle: int = 8):
        self._clock = clock
        self._fail_after = fail_after
        self._max_idle = max_idle
        self._idle: dict[tuple, list[Connection]] = {}

    @contextlib.asynccontextmanager
    async def open(self, key: tuple, address: str, reuse: bool):
        """Yields a connection and keeps it afterwards if it is reusable.

        Args:
          key: Identifies the upstream, by `ListedUpstream.incarnation`.
          address: Its IP address and port.
          reuse: Whether an idle connection may be used. The upstream may close
            one at any moment, so a request that must not run twice gets a
            new one.

        Raises:
          UpstreamError: No connection can be opened; nothing was sent.
        """
        connection = await self._take_idle(key) if reuse else None
        if connection is None:
            connection = await connect(
                address, self._clock.now(), self._fail_after
            )
        try:
            yield connection
        except errors.UpstreamError:
            connection.discard()
            raise
        finally:
            await self._release(key, connection)

    async def _take_idle(self, key: tuple) -> Connection | None:
        idle = self._idle.get(key, [])
        while idle:
            connection = idle.pop()
            if connection.is_likely_open(self._clock.now()):
                return connection
            await connection.aclose()
        return None

    async def _release(self, key: tuple, connection: Connection) -> None:
        idle = self._idle.setdefault(key, [])
        if connection.reusable and len(idle) < self._max_idle:
            connection.last_used_at = self._clock.now()
            idle.append(connection)
            return
        await connection.aclose()

    async def close_idle(self, keys: list[tuple]) -> None:
        """Closes the idle connections of some upstreams."""
        for key in keys:
            for connection in self._idle.pop(key, ()):
                await connection.aclose()

    @property
    def keys(self) -> list[tuple]:
        """Keys of upstreams to which there may be idle connections."""
        return list(self._idle)

    async def aclose(self) -> None:
        """Closes all idle connections."""
        await self.close_idle(self.keys)
