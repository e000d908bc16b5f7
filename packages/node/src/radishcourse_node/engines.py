"""Client of the model engines: whole and streamed chat completions."""

import contextlib
import typing

import httpcore
import msgspec
from radishcourse_model import ids
from radishcourse_platform import http

from radishcourse_node import errors
from radishcourse_node import job as jobs

CONNECT_TIMEOUT_S = 0.5
MAX_EVENT_BYTES = 2**20
MAX_CONNECTIONS = 256
_DONE = b'[DONE]'


class Call(msgspec.Struct):
    """A request to an engine."""

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


class _Completion(msgspec.Struct):
    request_id: str
    model: str
    version: str
    choices: list[_Choice]
    usage: _Usage


class _Event(msgspec.Struct):
    request_id: str
    index: int
    choices: list[_Choice]
    usage: _Usage | None = None


class Whole(typing.NamedTuple):
    """A whole answer."""

    body: bytes
    content: str
    tokens: int


class Signs(typing.NamedTuple):
    """What an engine tells of itself in the headers of an answer."""

    boot: str
    state: str


_completion_decoder = msgspec.json.Decoder(_Completion)
_event_decoder = msgspec.json.Decoder(_Event)


class Sent:
    """Tells whether any byte of a request may have left the node."""

    def __init__(self, check=None):
        self.started = False
        self._check = check

    async def trace(self, name: str, info: object) -> None:
        """Takes note of the progress of a request in httpcore."""
        del info
        if self._check is not None:
            await self._check(name)
        if name.endswith('send_request_headers.started'):
            self.started = True


class Pools:
    """Connection pools, one for each upstream address."""

    def __init__(self):
        self._pools: dict[str, httpcore.AsyncConnectionPool] = {}

    def get(self, address: str) -> httpcore.AsyncConnectionPool:
        """Returns the pool of an address."""
        pool = self._pools.get(address)
        if pool is None:
            pool = httpcore.AsyncConnectionPool(
                max_connections=MAX_CONNECTIONS, keepalive_expiry=30
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
      pool: Connections to the upstream.
      method: HTTP method.
      url: Whole URL.
      headers: Request headers.
      body: Request body.
      timeout_s: Longest wait for each read, in seconds.
      check: Called with the name of each step of httpcore; it may raise
        `AttemptError` before the first byte is sent.

    Raises:
      AttemptError: There is no whole response.
    """
    sent = Sent(check)
    extensions = {
        'trace': sent.trace,
        'timeout': {
            'connect': min(CONNECT_TIMEOUT_S, timeout_s),
            'read': timeout_s,
            'write': timeout_s,
            'pool': min(CONNECT_TIMEOUT_S, timeout_s),
        },
    }
    try:
        async with pool.stream(
            method, url, headers=headers, content=body, extensions=extensions
        ) as response:
            yield response
    except http.CALL_ERRORS as error:
        reset = not isinstance(error, httpcore.TimeoutException)
        raise errors.AttemptError(repr(error), sent.started, reset) from error


def read_signs(response: httpcore.Response) -> Signs:
    """Returns what the engine tells of itself; empty where it tells none."""
    boot = state = ''
    for name, value in response.headers:
        lower = name.lower()
        if lower == b'x-engine-boot':
            boot = value.decode('latin-1')
        elif lower == b'x-engine-state':
            state = value.decode('latin-1')
    return Signs(boot, state)


def check_status(response: httpcore.Response) -> None:
    """Raises unless the engine accepted the request.

    Raises:
      AttemptError: Another status than 200.
    """
    if response.status != 200:
        raise errors.AttemptError(f'status {response.status}', sent=True)


def decode_whole(body: bytes, request_id: str) -> Whole:
    """Returns a whole answer, checked.

    Raises:
      AttemptError: The body is malformed, cut short, or the answer to
        another request.
    """
    try:
        completion = _completion_decoder.decode(body)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        raise errors.AttemptError(f'malformed: {error}', sent=True) from error
    if completion.request_id != request_id:
        raise errors.AttemptError('answer to another request', sent=True)
    choice = completion.choices[0] if completion.choices else _Choice()
    if choice.finish_reason is None or choice.message is None:
        raise errors.AttemptError('the answer is cut short', sent=True)
    return Whole(
        body, choice.message.content, completion.usage.completion_tokens
    )


class StreamReader:
    """Checks the server-sent events of one stream.

    Events that were seen already are dropped, a gap or another request's
    event is an error. The `[DONE]` mark is not passed on; the node writes
    its own after the bill.

    Args:
      request_id: The request id that each event must carry.
      start: Index of the first expected event.
    """

    def __init__(self, request_id: ids.RequestId | str, start: int = 0):
        self._request_id = request_id
        self._buffer = b''
        self._next = start
        self.tokens = 0
        self.finished = False

    @property
    def next_index(self) -> int:
        """Index of the next event; a resumed stream goes on from here."""
        return self._next

    def feed(self, chunk: bytes) -> bytes:
        """Returns the checked events in a chunk, as they are passed on.

        Raises:
          AttemptError: The stream does not hold together.
        """
        self._buffer += chunk
        *events, self._buffer = self._buffer.split(b'\n\n')
        if len(self._buffer) > MAX_EVENT_BYTES:
            raise errors.AttemptError('an event is too large', sent=True)
        kept = [event for event in events if self._accept(event)]
        return b'\n\n'.join(kept) + b'\n\n' if kept else b''

    def finish(self) -> None:
        """Checks at the end of the body that the answer is whole.

        Raises:
          AttemptError: The last event did not come.
        """
        if not self.finished:
            raise errors.AttemptError('the stream is cut short', sent=True)

    def _accept(self, event: bytes) -> bool:
        if not event.startswith(b'data: '):
            return False
        data = event[6:]
        if data == _DONE:
            return False
        try:
            decoded = _event_decoder.decode(data)
        except (msgspec.MsgspecError, UnicodeDecodeError) as error:
            message = f'malformed event: {error}'
            raise errors.AttemptError(message, sent=True) from error
        if decoded.request_id != self._request_id:
            raise errors.AttemptError('event of another request', sent=True)
        if decoded.index < self._next:
            return False
        if decoded.index > self._next or self.finished:
            raise errors.AttemptError('a gap in the stream', sent=True)
        self._next += 1
        if decoded.choices and decoded.choices[0].finish_reason is not None:
            self.finished = True
            self.tokens = (
                decoded.usage.completion_tokens if decoded.usage else 0
            )
        return True
