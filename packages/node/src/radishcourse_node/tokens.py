"""Session tokens that nodes sign and callers send back.

A token is `<payload>.<signature>`, both in URL-safe base64. The payload
contains the id of the signing key, so that keys can be rotated.
"""

import base64
import binascii
import hashlib
import hmac
import secrets
import typing

import msgspec

from radishcourse_model import ids
from radishcourse_model import schema
from radishcourse_model import states
from radishcourse_node import errors
from radishcourse_node import job as jobs

MAX_TOKEN_LENGTH = 1024
Keys = typing.Mapping[ids.KeyId, schema.SessionKey]


class TokenError(errors.NodeError):
    """A token is not valid, or none can be signed."""

    code = 'token_invalid'


class _Payload(msgspec.Struct, array_like=True):
    key: ids.KeyId
    session: ids.SessionId
    organisation: ids.OrganisationId
    model: ids.ModelId
    version: ids.VersionId


def new_session_id() -> ids.SessionId:
    """Returns a random session id."""
    return ids.SessionId(secrets.token_urlsafe(9))


def sign(session: jobs.Session, keys: Keys) -> str:
    """Returns the token of a session.

    Raises:
      TokenError: No key is configured for signing.
    """
    key_id = find_signing_key(keys)
    key = keys[key_id]
    payload = msgspec.json.encode(
        _Payload(
            key_id,
            session.session,
            session.organisation,
            session.model,
            session.version,
        )
    )
    return f'{_encode(payload)}.{_encode(_mac(key, payload))}'


def find_signing_key(keys: Keys) -> ids.KeyId:
    """Returns the id of the key that signs new tokens.

    Raises:
      TokenError: No key is configured for signing.
    """
    for key_id, key in keys.items():
        if key.state is states.KeyState.SIGNING:
            return key_id
    raise TokenError('no session key is configured for signing')


def verify(token: str, keys: Keys) -> jobs.Session:
    """Checks the signature of a token and returns its session.

    Raises:
      TokenError: The token is too long, malformed or not signed by a
        configured key.
    """
    if len(token) > MAX_TOKEN_LENGTH:
        raise TokenError(f'the token exceeds {MAX_TOKEN_LENGTH} characters')
    encoded, _, signature = token.partition('.')
    try:
        payload = _decode(encoded)
        fields = msgspec.json.decode(payload, type=_Payload)
        given = _decode(signature)
    except (ValueError, msgspec.MsgspecError, RecursionError) as error:
        raise TokenError('the token is malformed') from error
    key = keys.get(fields.key)
    if key is None or not hmac.compare_digest(_mac(key, payload), given):
        raise TokenError('the token is not signed by a configured key')
    return jobs.Session(
        fields.session, fields.organisation, fields.model, fields.version
    )


def _mac(key: schema.SessionKey, payload: bytes) -> bytes:
    return hmac.digest(key.secret.encode(), payload, hashlib.sha256)


def _encode(data: bytes) -> str:
    return base64.urlsafe_b64encode(data).rstrip(b'=').decode('ascii')


def _decode(text: str) -> bytes:
    try:
        return base64.b64decode(
            text.encode('ascii') + b'=' * (-len(text) % 4),
            altchars=b'-_',
            validate=True,
        )
    except (binascii.Error, UnicodeEncodeError) as error:
        raise ValueError('not base64') from error
