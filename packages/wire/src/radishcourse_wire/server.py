"""Server for the requests of peers."""

import dataclasses
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
        because of an invalid message or `IDLE_TIMEOUT_S` without one.
    """

    def __init__(
        self,
        own_credentials: credentials.Credentials,
        on_reject: typing.Callable[[str], None],
    ):
        self._credentials = own_credentials
        self._on_reject = on_reject
        self._handlers: dict[messages.MessageKind, Handler] = {}
        self._connection_limiter = anyio.CapacityLimiter(MAX_CONNECTIONS)

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
        await listener.serve(self._serve_stream)

    async def _serve_stream(self, stream) -> None:
        connection = frames.Connection(stream)
        try:
            async with self._connection_limiter:
                await self._serve_connection(connection)
        except errors.Unreachable:
            pass
        except (errors.WireError, TimeoutError) as error:
            self._on_reject(repr(error))
        finally:
            with anyio.CancelScope(shield=True):
                await connection.aclose()

    async def _serve_connection(self, connection: frames.Connection) -> None:
        challenge = credentials.new_challenge()
        await connection.send_raw(challenge)
        counter = 0
        while True:
            with anyio.fail_after(IDLE_TIMEOUT_S):
                envelope = await connection.receive()
            self._credentials.verify_request(envelope, challenge)
            counter += 1
            if envelope.counter != counter:
                raise errors.Unauthenticated('the request is out of order')
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
