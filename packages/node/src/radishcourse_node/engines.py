"""Client of the model engines: chat completions, streamed or not."""

import contextlib
import socket
import typing

import anyio
import httpcore
import msgspec

from radishcourse_node import errors
from radishcourse_node import job as jobs
from radishcourse_node import timeouts
from radishcourse_platform import http

CONNECT_TIMEOUT_S = 0.5
MAX_CONNECTIONS = 1024
# Suffix of the httpcore trace event before the first byte of a request.
SEND_STARTED = 'send_request_headers.started'
CANCEL_TIMEOUT_S = 1.0
MAX_CANCEL_BODY_BYTES = 64 * 1024
# Limit on an answer that is not streamed.
MAX_COMPLETION_BYTES = 4 * 2**20
# With a small receive buffer, a node that stops reading applies backpressure to
# the engine instead of filling megabytes of kernel buffers. At a round trip of
# 2 ms it still allows 16 MB/s for each connection.
RECEIVE_BUFFER_BYTES = 32 * 1024
_SOCKET_OPTIONS = [(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)]


class Call(msgspec.Struct):
    """Body of a chat completion request to an engine."""

    request_id: str
    model: str
    version: str
    messages: list[jobs.Message]
    max_tokens: int
    stream: bool
    priority: int


class _Usage(msgspec.Struct):
    completion_tokens: int = 0


class _Message(msgspec.Struct):
    content: str = ''


class _Choice(msgspec.Struct):
    finish_reason: str | None = None
    message: _Message | None = None


class _CompletionBody(msgspec.Struct):
    request_id: str
    model: str
    version: str
    choices: list[_Choice]
    usage: _Usage


class Completion(typing.NamedTuple):
    """A complete answer that was not streamed."""

    body: bytes
    content: str
    tokens: int


class EngineHeaders(typing.NamedTuple):
    """Boot id and state that an engine reports in response headers."""

    boot: str
    state: str


_completion_decoder = msgspec.json.Decoder(_CompletionBody)


class ResumeCall(msgspec.Struct):
    """Body of a request to resume a stream at an event index."""

    request_id: str
    from_index: int


class CancelCall(msgspec.Struct):
    """Body of a request to cancel a request and free its slot."""

    request_id: str


class SendTracker:
    """Tracks whether any byte of a request may have left the node.

    Args:
      check: Called with the name of each httpcore trace event; an exception
        that it raises before the first byte stops the request.

    Attributes:
      started: Whether sending may have started.
    """

    def __init__(self, check=None):
        self.started = False
        self._check = check

    async def trace(self, name: str, info: object) -> None:
        """Handles a trace event of httpcore."""
        del info
        if self._check is not None:
            await self._check(name)
        if name.endswith(SEND_STARTED):
            self.started = True


class _Backend(httpcore.AnyIOBackend):
    """Connects within a time that leaves out the lateness of this process.

    An upstream accepts a connection without running, so that a connection that
    takes long is mostly one that this process has not looked at.
    """

    def __init__(self, own_timeouts: timeouts.Timeouts):
        self._timeouts = own_timeouts

    async def connect_tcp(
        self,
        host: str,
        port: int,
        timeout: float | None = None,
        local_address: str | None = None,
        socket_options=None,
    ) -> httpcore.AsyncNetworkStream:
        """Returns a connection; see httpcore.

        Raises:
          ConnectTimeout: It was not established in time.
        """
        limit_s = CONNECT_TIMEOUT_S if timeout is None else timeout
        try:
            with self._timeouts.fail_after(limit_s):
                return await super().connect_tcp(
                    host, port, None, local_address, socket_options
                )
        except TimeoutError as error:
            raise httpcore.ConnectTimeout(
                f'no connection in {limit_s} s'
            ) from error


class Pools:
    """Connection pools, one for each upstream address.

    Args:
      own_timeouts: Limits the time to connect.
      keep_alive: Whether connections are reused. An upstream may close an
        idle connection just as it is reused, and then it is unknown whether
        the request ran.
    """

    def __init__(
        self, own_timeouts: timeouts.Timeouts, keep_alive: bool = True
    ):
        self._backend = _Backend(own_timeouts)
        self._keep_alive = None if keep_alive else 0
        self._pools: dict[str, httpcore.AsyncConnectionPool] = {}

    def get(self, address: str) -> httpcore.AsyncConnectionPool:
        """Returns the pool of an address."""
        pool = self._pools.get(address)
        if pool is None:
            pool = httpcore.AsyncConnectionPool(
                max_connections=MAX_CONNECTIONS,
                max_keepalive_connections=self._keep_alive,
                keepalive_expiry=30,
                socket_options=_SOCKET_OPTIONS,
                network_backend=self._backend,
            )
            self._pools[address] = pool
        return pool

    async def aclose(self) -> None:
        """Closes all connections."""
        for pool in self._pools.values():
            await pool.aclose()


@contextlib.asynccontextmanager
async def open_response(
    pool: httpcore.AsyncConnectionPool,
    method: str,
    url: str,
    headers: list[tuple[bytes, bytes]],
    body: bytes,
    timeout_s: float,
    check=None,
):
    """Yields the response of an upstream with its body unread.

    Args:
      pool: Connection pool of the upstream.
      method: HTTP method.
      url: Absolute URL.
      headers: Request headers.
      body: Request body.
      timeout_s: Limit on the time to the head, and on each read and write
        after it, in seconds.
      check: Called with the name of each httpcore trace event; it may raise
        `AttemptError` or `Refusal` before the first byte is sent.

    Raises:
      AttemptError: The connection failed or timed out.
    """
    tracker = SendTracker(check)
    extensions = {
        'trace': tracker.trace,
        'timeout': {
            'connect': min(CONNECT_TIMEOUT_S, timeout_s),
            'read': timeout_s,
            'write': timeout_s,
            'pool': min(CONNECT_TIMEOUT_S, timeout_s),
        },
    }
    try:
        async with contextlib.AsyncExitStack() as stack:
            # Interim responses without end never let a single read time out.
            with anyio.fail_after(timeout_s):
                response = await stack.enter_async_context(
                    pool.stream(
                        method,
                        url,
                        headers=headers,
                        content=body,
                        extensions=extensions,
                    )
                )
            yield response
    except http.CALL_ERRORS as error:
        timed_out = (httpcore.TimeoutException, TimeoutError)
        reset = not isinstance(error, timed_out)
        raise errors.AttemptError(
            repr(error), tracker.started, reset
        ) from error


def read_engine_headers(response: httpcore.Response) -> EngineHeaders:
    """Returns the engine's boot id and state; empty where not reported."""
    boot = state = ''
    for name, value in response.headers:
        lower = name.lower()
        if lower == b'x-engine-boot':
            boot = value.decode('latin-1')
        elif lower == b'x-engine-state':
            state = value.decode('latin-1')
    return EngineHeaders(boot, state)


def check_status(response: httpcore.Response) -> None:
    """Checks that the engine accepted the request.

    Raises:
      AttemptError: The status is not 200.
    """
    if response.status != 200:
        raise errors.AttemptError(
            f'engine answered with status {response.status}', sent=True
        )


def decode_completion(body: bytes, request_id: str) -> Completion:
    """Decodes and checks a complete answer.

    Raises:
      AttemptError: The body is malformed, cut short, or the answer to
        another request.
    """
    try:
        completion = _completion_decoder.decode(body)
    except (msgspec.MsgspecError, ValueError, RecursionError) as error:
        raise errors.AttemptError(
            f'malformed completion: {error}', sent=True
        ) from error
    if completion.request_id != request_id:
        raise errors.AttemptError(
            'completion carries the id of another request', sent=True
        )
    choice = completion.choices[0] if completion.choices else _Choice()
    if choice.finish_reason is None or choice.message is None:
        raise errors.AttemptError(
            'completion is truncated: no finish reason or message', sent=True
        )
    return Completion(
        body, choice.message.content, completion.usage.completion_tokens
    )


async def cancel(
    pool: httpcore.AsyncConnectionPool, address: str, request_id: str
) -> None:
    """Asks an engine to cancel a request.

    Shielded, because it also runs while the task itself is being cancelled.
    Failures are ignored: an engine that can't be reached has nothing to free.
    """
    with anyio.move_on_after(CANCEL_TIMEOUT_S, shield=True):
        with contextlib.suppress(*http.CALL_ERRORS):
            await http.request(
                pool,
                'POST',
                f'http://{address}/v1/cancel',
                MAX_CANCEL_BODY_BYTES,
                headers=[(b'content-type', b'application/json')],
                content=msgspec.json.encode(CancelCall(request_id)),
            )
