"""Minimal ASGI framework of the stand-ins: routing, JSON, serving."""

import contextlib
import signal
import typing
import urllib.parse

import anyio
import msgspec
import uvicorn

Handler = typing.Callable[['Request'], typing.Awaitable['Response']]


class Request:
    """One HTTP request.

    Attributes:
      method: HTTP method.
      path: Path without the query.
      query: Query parameters; the last value of each.
      headers: Header values by lower-case name.
      body: Whole body.
      receive: ASGI callable for further events of the connection.
    """

    def __init__(self, scope, body: bytes, receive):
        self.method: str = scope['method']
        self.path: str = scope['path']
        self.query = _parse_query(scope['query_string'])
        self.headers = {
            name.decode('latin-1'): value.decode('latin-1')
            for name, value in scope['headers']
        }
        self.body = body
        self.receive = receive

    def json(self, kind: type = dict) -> typing.Any:
        """Returns the decoded body.

        Raises:
          msgspec.MsgspecError: The body is not JSON of type `kind`.
        """
        return msgspec.json.decode(self.body, type=kind)


class Response(typing.NamedTuple):
    """A response; `stream`, if set, yields the body instead of `body`."""

    status: int = 200
    body: bytes = b''
    headers: dict[str, str] = {}
    stream: typing.AsyncIterator[bytes] | None = None


class DropConnection(Exception):
    """Raised by a handler to close the connection without a full response."""


def reply(value: object, status: int = 200, **headers: str) -> Response:
    """Returns a JSON response; underscores in header names become hyphens."""
    names = {name.replace('_', '-'): text for name, text in headers.items()}
    return Response(
        status,
        msgspec.json.encode(value),
        {'content-type': 'application/json', **names},
    )


class App:
    """An ASGI application with exact and prefix routes.

    Args:
      abort_on_disconnect: Whether a handler is cancelled when its caller
        disconnects.
    """

    def __init__(self, abort_on_disconnect: bool = False):
        self._abort_on_disconnect = abort_on_disconnect
        self._routes: list[tuple[str, str, Handler]] = []

    def route(self, method: str, path: str):
        """Registers a handler; a path that ends in `*` is a prefix."""

        def register(handler: Handler) -> Handler:
            self._routes.append((method, path, handler))
            return handler

        return register

    async def __call__(self, scope, receive, send) -> None:
        """Answers one HTTP request."""
        if scope['type'] != 'http':
            return
        body = await _read_body(receive)
        request = Request(scope, body, receive)
        if not self._abort_on_disconnect:
            await self._answer(request, send)
            return
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(_cancel_on_disconnect, receive, tasks.cancel_scope)
            await self._answer(request, send)
            tasks.cancel_scope.cancel()

    async def _answer(self, request: Request, send) -> None:
        handler = self._find(request)
        if handler is None:
            await _send(send, reply({'error': 'not found'}, 404))
            return
        try:
            response = await handler(request)
        except msgspec.MsgspecError as error:
            response = reply({'error': str(error)}, 400)
        except DropConnection:
            # uvicorn answers an exception with status 500, unless the response
            # has already started: then it closes the connection.
            await _start(send, Response(headers={'content-length': '1'}))
            raise
        await _send(send, response)

    def _find(self, request: Request) -> Handler | None:
        for method, path, handler in self._routes:
            if method not in (request.method, 'ANY'):
                continue
            if path == request.path:
                return handler
            if path.endswith('*') and request.path.startswith(path[:-1]):
                return handler
        return None


async def serve(app, host: str, port: int, **options) -> None:
    """Serves an ASGI application until SIGTERM or SIGINT."""
    config = uvicorn.Config(
        app,
        host=host,
        port=port,
        lifespan='off',
        log_config=None,
        access_log=False,
        timeout_graceful_shutdown=1,
        **options,
    )
    server = uvicorn.Server(config)
    server.capture_signals = contextlib.nullcontext
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(_stop_on_signal, server)
        await server.serve()
        tasks.cancel_scope.cancel()


async def _stop_on_signal(server: uvicorn.Server) -> None:
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for _ in signals:
            server.should_exit = True


async def _cancel_on_disconnect(receive, scope: anyio.CancelScope) -> None:
    while (await receive())['type'] != 'http.disconnect':
        pass
    scope.cancel()


async def _read_body(receive) -> bytes:
    parts = []
    while True:
        message = await receive()
        if message['type'] != 'http.request':
            return b''.join(parts)
        parts.append(message.get('body', b''))
        if not message.get('more_body'):
            return b''.join(parts)


async def _send(send, response: Response) -> None:
    headers = dict(response.headers)
    if response.stream is None:
        headers['content-length'] = str(len(response.body))
    await _start(send, response._replace(headers=headers))
    if response.stream is None:
        await send({'type': 'http.response.body', 'body': response.body})
        return
    async for part in response.stream:
        await send(
            {'type': 'http.response.body', 'body': part, 'more_body': True}
        )
    await send({'type': 'http.response.body', 'body': b''})


async def _start(send, response: Response) -> None:
    await send(
        {
            'type': 'http.response.start',
            'status': response.status,
            'headers': [
                (name.encode('latin-1'), value.encode('latin-1'))
                for name, value in response.headers.items()
            ],
        }
    )


def _parse_query(raw: bytes) -> dict[str, str]:
    return dict(urllib.parse.parse_qsl(raw.decode('latin-1')))
