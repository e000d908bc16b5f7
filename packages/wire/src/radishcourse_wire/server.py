"""Server for the requests of peers."""

import dataclasses
import socket
import typing

import anyio

from radishcourse_model import errors as model_errors
from radishcourse_model import ids
from radishcourse_wire import codec
from radishcourse_wire import credentials
from radishcourse_wire import errors
from radishcourse_wire import frames
from radishcourse_wire import messages
from radishcourse_wire.gen.peer import ttypes

IDLE_TIMEOUT_S = 60.0
MAX_CONNECTIONS = 2048
# Bounds how much anyio reads ahead on a connection, which is not counted; the
# system doubles it.
RECEIVE_BUFFER_BYTES = 32 * 1024


@dataclasses.dataclass(frozen=True)
class Sender:
    """The authenticated peer that sent a request.

    Attributes:
      node: Id of the node.
      incarnation: Identifier of the current run of its process.
    """

    node: ids.NodeId
    incarnation: ids.Incarnation


Handler = typing.Callable[[Sender, typing.Any], typing.Awaitable[typing.Any]]


class Server:
    """Replies to the kinds of messages that have a handler.

    Args:
      own_credentials: Credentials of this node.
      on_reject: Called with the reason when a connection is closed
        because of an invalid message, `IDLE_TIMEOUT_S` without one or too
        many connections.
      max_connections: Most connections; MAX_CONNECTIONS if None. At the limit
        the oldest one that has not sent a valid message is closed.
      open_holding: Returns an object whose `try_resize` is called with the
        number of bytes held of an incomplete message. Its argument is a
        function that closes the connection. None if they are not counted.
    """

    def __init__(
        self,
        own_credentials: credentials.Credentials,
        on_reject: typing.Callable[[str], None],
        max_connections: int | None = None,
        open_holding=None,
    ):
        self._credentials = own_credentials
        self._on_reject = on_reject
        self._handlers: dict[messages.MessageKind, Handler] = {}
        self._max_connections = max_connections or MAX_CONNECTIONS
        self._open_holding = open_holding
        # Tells of each connection, by the scope of its task, whether its peer
        # is authenticated; the oldest is first.
        self._authenticated: dict[anyio.CancelScope, bool] = {}

    def register(self, kind: messages.MessageKind, handler: Handler) -> None:
        """Registers the handler for a kind of message."""
        self._handlers[kind] = handler

    async def serve(self, host: str, port: int) -> None:
        """Serves peers until cancelled.

        Raises:
          OSError: The address can't be listened on.
        """
        listener = await anyio.create_tcp_listener(
            local_host=host, local_port=port
        )
        await self.serve_on(listener)

    async def serve_on(self, listener: anyio.abc.Listener) -> None:
        """Serves peers on a listener until cancelled."""
        raw = listener.extra(anyio.abc.SocketAttribute.raw_socket)
        raw.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
        )
        await listener.serve(self._serve_stream)

    async def _serve_stream(self, stream) -> None:
        connection = frames.Connection(stream)
        try:
            with anyio.CancelScope() as scope:
                if self._admit(scope):
                    await self._serve_connection(connection, scope)
        except errors.Unreachable:
            pass
        except (errors.WireError, TimeoutError) as error:
            self._on_reject(repr(error))
        finally:
            self._authenticated.pop(scope, None)
            with anyio.CancelScope(shield=True):
                await connection.aclose()

    def _admit(self, scope: anyio.CancelScope) -> bool:
        """Adds a connection; returns whether there is room for it."""
        if len(self._authenticated) >= self._max_connections:
            oldest = next(
                (
                    key
                    for key, known in self._authenticated.items()
                    if not known
                ),
                None,
            )
            if oldest is None:
                self._on_reject('too many connections')
                return False
            del self._authenticated[oldest]
            oldest.cancel()
            self._on_reject('too many connections; the oldest is closed')
        self._authenticated[scope] = False
        return True

    async def _serve_connection(
        self, connection: frames.Connection, scope: anyio.CancelScope
    ) -> None:
        challenge = credentials.new_challenge()
        await connection.send_raw(challenge)
        counter = 0
        resize = None
        if self._open_holding is not None:
            resize = self._open_holding(scope.cancel).try_resize
        while True:
            with anyio.fail_after(IDLE_TIMEOUT_S):
                envelope = await connection.receive(resize)
            self._credentials.verify_request(envelope, challenge)
            counter += 1
            if envelope.counter != counter:
                raise errors.Unauthenticated('the request is out of order')
            self._authenticated[scope] = True
            reply = await self._answer(envelope)
            reply.kind, reply.counter = envelope.kind, counter
            self._credentials.sign_reply(reply, challenge)
            await connection.send(reply)

    async def _answer(self, envelope: ttypes.Envelope) -> ttypes.Envelope:
        kind = messages.BY_NUMBER.get(envelope.kind)
        handler = self._handlers.get(kind)
        if handler is None:
            return ttypes.Envelope(error=f'no handler of {envelope.kind}')
        request = codec.decode(kind.request, envelope.body or b'')
        sender = Sender(
            ids.NodeId(envelope.sender), ids.Incarnation(envelope.incarnation)
        )
        try:
            reply = await handler(sender, request)
        except model_errors.RadishcourseError as error:
            return ttypes.Envelope(error=f'{error.code}: {error}')
        return ttypes.Envelope(body=codec.encode(reply))
