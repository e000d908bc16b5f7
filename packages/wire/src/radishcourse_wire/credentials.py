"""Authentication of messages between nodes.

Each connection starts with a random challenge from its server. The HMAC
of a message covers the challenge, the direction and a counter, so that a
recorded message is worth nothing on another connection or a second time.
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
    """Who a node is and the keys that it shares with the others.

    Attributes:
      node: The node's id.
      incarnation: Its incarnation.
      secrets: Secrets by key id; all of them verify.
      signing: Id of the key that signs.
    """

    node: ids.NodeId
    incarnation: ids.Incarnation
    secrets: dict[ids.KeyId, str]
    signing: ids.KeyId

    def sign_request(self, envelope: ttypes.Envelope, challenge: bytes):
        """Fills in sender, key and MAC of a request."""
        self._sign(envelope, challenge, _REQUEST)

    def sign_reply(self, envelope: ttypes.Envelope, challenge: bytes):
        """Fills in sender, key and MAC of a reply."""
        self._sign(envelope, challenge, _REPLY)

    def verify_request(self, envelope: ttypes.Envelope, challenge: bytes):
        """Checks the MAC of a request.

        Raises:
          Unauthenticated: No known key signed it for this connection.
        """
        self._verify(envelope, challenge, _REQUEST)

    def verify_reply(self, envelope: ttypes.Envelope, challenge: bytes):
        """Checks the MAC of a reply.

        Raises:
          Unauthenticated: No known key signed it for this connection.
        """
        self._verify(envelope, challenge, _REPLY)

    def _sign(self, envelope, challenge: bytes, direction: bytes) -> None:
        envelope.sender = self.node
        envelope.incarnation = self.incarnation
        envelope.key = self.signing
        secret = self.secrets.get(self.signing)
        if secret is None:
            raise errors.Unauthenticated('no peer key is configured')
        envelope.mac = _mac(secret, envelope, challenge, direction)

    def _verify(self, envelope, challenge: bytes, direction: bytes) -> None:
        secret = self.secrets.get(envelope.key)
        if secret is None or not isinstance(envelope.mac, bytes):
            raise errors.Unauthenticated('the key is not known')
        wanted = _mac(secret, envelope, challenge, direction)
        if not hmac.compare_digest(wanted, envelope.mac):
            raise errors.Unauthenticated('the MAC does not fit')


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
