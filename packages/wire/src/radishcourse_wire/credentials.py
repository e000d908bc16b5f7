"""Authentication of messages between nodes.

Each connection starts with a random challenge from its server. The HMAC
of a message covers the challenge, the direction and a counter, so that a
recorded message can't be replayed on the same or another connection.
"""

import dataclasses
import hashlib
import hmac
import secrets

from radishcourse_model import ids
from radishcourse_wire import errors
from radishcourse_wire.gen.peer import ttypes

CHALLENGE_BYTES = 16
_REQUEST = b'request'
_REPLY = b'reply'


@dataclasses.dataclass(frozen=True)
class Credentials:
    """Identity of a node and the keys that it shares with its peers.

    Attributes:
      node: Id of the node.
      incarnation: Identifier of the current run of its process.
      secrets: Shared secrets by key id; each is accepted in verification.
      signing_key: Id of the key that signs outgoing messages.
    """

    node: ids.NodeId
    incarnation: ids.Incarnation
    secrets: dict[ids.KeyId, str]
    signing_key: ids.KeyId

    def sign_request(self, envelope: ttypes.Envelope, challenge: bytes):
        """Sets the sender, key and MAC of a request.

        Raises:
          Unauthenticated: The signing key has no secret.
        """
        self._sign(envelope, challenge, _REQUEST)

    def sign_reply(self, envelope: ttypes.Envelope, challenge: bytes):
        """Sets the sender, key and MAC of a reply.

        Raises:
          Unauthenticated: The signing key has no secret.
        """
        self._sign(envelope, challenge, _REPLY)

    def verify_request(self, envelope: ttypes.Envelope, challenge: bytes):
        """Verifies the MAC of a request.

        Raises:
          Unauthenticated: It was not signed with a known key for this
            connection.
        """
        self._verify(envelope, challenge, _REQUEST)

    def verify_reply(self, envelope: ttypes.Envelope, challenge: bytes):
        """Verifies the MAC of a reply.

        Raises:
          Unauthenticated: It was not signed with a known key for this
            connection.
        """
        self._verify(envelope, challenge, _REPLY)

    def _sign(self, envelope, challenge: bytes, direction: bytes) -> None:
        envelope.sender = self.node
        envelope.incarnation = self.incarnation
        envelope.key = self.signing_key
        secret = self.secrets.get(self.signing_key)
        if secret is None:
            raise errors.Unauthenticated(
                'the signing key is not among the peer keys'
            )
        envelope.mac = _mac(secret, envelope, challenge, direction)

    def _verify(self, envelope, challenge: bytes, direction: bytes) -> None:
        secret = self.secrets.get(envelope.key)
        if secret is None or not isinstance(envelope.mac, bytes):
            raise errors.Unauthenticated('unknown key, or no MAC')
        expected_mac = _mac(secret, envelope, challenge, direction)
        if not hmac.compare_digest(expected_mac, envelope.mac):
            raise errors.Unauthenticated('the MAC does not match')


def new_challenge() -> bytes:
    """Returns a random challenge for a connection."""
    return secrets.token_bytes(CHALLENGE_BYTES)


def _mac(secret: str, envelope, challenge: bytes, direction: bytes) -> bytes:
    fields = (
        direction,
        challenge,
        str(envelope.kind).encode(),
        (envelope.sender or '').encode(),
        (envelope.incarnation or '').encode(),
        (envelope.key or '').encode(),
        str(envelope.counter).encode(),
        envelope.body or b'',
        (envelope.error or '').encode(),
    )
    data = b''.join(len(field).to_bytes(4, 'big') + field for field in fields)
    return hmac.digest(secret.encode(), data, hashlib.sha256)
