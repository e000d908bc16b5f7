"""Client for calls to peers over pooled connections."""

import collections

import anyio

from radishcourse_wire import codec
from radishcourse_wire import credentials
from radishcourse_wire import errors
from radishcourse_wire import frames
from radishcourse_wire import messages
from radishcourse_wire.gen.peer import ttypes

CALL_TIMEOUT_S = 1.0
MAX_IDLE_PER_PEER = 2


class _PooledConnection:
    """A connection that carries one call at a time.

    Attributes:
      connection: Connection to the peer.
      challenge: Random bytes that the server sent at the start.
      counter: Number of the latest request on this connection.
    """

    def __init__(self, connection: frames.Connection, challenge: bytes):
        self.connection = connection
        self.challenge = challenge
        self.counter = 0


class Client:
    """Calls peers by address.

    Args:
      own_credentials: Credentials of this node.
      fail_after: Returns a context that raises TimeoutError after some seconds.
    """

    def __init__(
        self,
        own_credentials: credentials.Credentials,
        fail_after=anyio.fail_after,
    ):
        self._credentials = own_credentials
        self._fail_after = fail_after
        self._idle: dict[str, collections.deque[_PooledConnection]] = {}

    async def call(
        self,
        address: str,
        kind: messages.MessageKind,
        message,
        timeout_s: float = CALL_TIMEOUT_S,
    ):
        """Sends a request and returns the peer's reply.

        Args:
          address: IP address and port of the peer.
          kind: Kind of message.
          message: An object of the kind's request class.
          timeout_s: Limit on connecting and waiting for the reply, in
            seconds.

        Raises:
          Unreachable: There was no reply; the peer may still have processed
            the request.
          Rejected: The peer replied with an error.
          Malformed: The message can't be encoded or the reply can't be
            decoded.
          Unauthenticated: The reply is not signed with a known key.
        """
        pooled = None
        succeeded = False
        try:
            with self._fail_after(timeout_s):
                pooled = await self._connect(address)
                reply = await self._exchange(pooled, kind, message)
                succeeded = True
        except TimeoutError as error:
            raise errors.Unreachable(
                f'{address}: no reply within {timeout_s} s'
            ) from error
        finally:
            if pooled is not None:
                await self._release(address, pooled, succeeded)
        if reply.error is not None:
            raise errors.Rejected(reply.error)
        return codec.decode(kind.reply, reply.body or b'')

    async def _connect(self, address: str) -> _PooledConnection:
        idle = self._idle.get(address)
        if idle:
            return idle.pop()
        host, _, port = address.rpartition(':')
        try:
            stream = await anyio.connect_tcp(host, int(port))
        except OSError as error:
            raise errors.Unreachable(f'{address}: {error!r}') from error
        connection = frames.Connection(stream)
        try:
            challenge = await connection.receive_raw(
                credentials.CHALLENGE_BYTES
            )
        except BaseException:
            with anyio.CancelScope(shield=True):
                await connection.aclose()
            raise
        return _PooledConnection(connection, challenge)

    async def _exchange(
        self, pooled: _PooledConnection, kind, message
    ) -> ttypes.Envelope:
        pooled.counter += 1
        envelope = ttypes.Envelope(
            kind=kind.number,
            counter=pooled.counter,
            body=codec.encode(message),
        )
        self._credentials.sign_request(envelope, pooled.challenge)
        await pooled.connection.send(envelope)
        reply = await pooled.connection.receive()
        self._credentials.verify_reply(reply, pooled.challenge)
        if (reply.kind, reply.counter) != (kind.number, pooled.counter):
            raise errors.Malformed('the reply does not match the request')
        return reply

    async def _release(
        self, address: str, pooled: _PooledConnection, reusable: bool
    ):
        idle = self._idle.setdefault(address, collections.deque())
        if reusable and len(idle) < MAX_IDLE_PER_PEER:
            idle.append(pooled)
            return
        with anyio.CancelScope(shield=True):
            await pooled.connection.aclose()

    async def aclose(self) -> None:
        """Closes all connections."""
        for idle in self._idle.values():
            while idle:
                await idle.pop().connection.aclose()
