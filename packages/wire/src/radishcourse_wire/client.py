"""Calls to peers over kept connections."""

import collections

import anyio

from radishcourse_wire import codec
from radishcourse_wire import credentials
from radishcourse_wire import errors
from radishcourse_wire import frames
from radishcourse_wire import messages
from radishcourse_wire.gen.peer import ttypes

CALL_TIMEOUT_S = 1.0
MAX_IDLE = 2


class _Link:
    """One connection; one call at a time."""

    def __init__(self, connection: frames.Connection, challenge: bytes):
        self.connection = connection
        self.challenge = challenge
        self.counter = 0


class Client:
    """Calls peers by address.

    Args:
      own: This node's credentials.
    """

    def __init__(self, own: credentials.Credentials):
        self._own = own
        self._idle: dict[str, collections.deque[_Link]] = {}

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
          timeout_s: Limit on the call as a whole, in seconds.

        Raises:
          Unreachable: There was no answer; the peer may have acted.
          Rejected: The peer could not do what was asked.
          Malformed, Unauthenticated: The answer is not to be trusted.
        """
        link = None
        done = False
        try:
            with anyio.fail_after(timeout_s):
                link = await self._connect(address)
                reply = await self._exchange(link, kind, message)
                done = True
        except TimeoutError as error:
            raise errors.Unreachable(f'{address}: timeout') from error
        finally:
            if link is not None:
                await self._put_back(address, link, done)
        if reply.error is not None:
            raise errors.Rejected(reply.error)
        return codec.decode(kind.reply, reply.body or b'')

    async def _connect(self, address: str) -> _Link:
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
        return _Link(connection, challenge)

    async def _exchange(self, link: _Link, kind, message) -> ttypes.Envelope:
        link.counter += 1
        envelope = ttypes.Envelope(
            kind=kind.number,
            counter=link.counter,
            body=codec.encode(message),
        )
        self._own.sign_request(envelope, link.challenge)
        await link.connection.send(envelope)
        reply = await link.connection.receive()
        self._own.verify_reply(reply, link.challenge)
        if (reply.kind, reply.counter) != (kind.number, link.counter):
            raise errors.Malformed('the reply belongs to another request')
        return reply

    async def _put_back(self, address: str, link: _Link, usable: bool):
        idle = self._idle.setdefault(address, collections.deque())
        if usable and len(idle) < MAX_IDLE:
            idle.append(link)
            return
        with anyio.CancelScope(shield=True):
            await link.connection.aclose()

    async def aclose(self) -> None:
        """Closes all connections."""
        for idle in self._idle.values():
            while idle:
                await idle.pop().connection.aclose()
