"""Conversion between gossip messages and the node's own types."""

import math
import zlib

import msgspec

from radishcourse_model import decoding
from radishcourse_model import errors as model_errors
from radishcourse_model import ids
from radishcourse_model import merge
from radishcourse_model import states
from radishcourse_node.controllers import configuration
from radishcourse_platform import revisions
from radishcourse_policy import freshness
from radishcourse_policy import membership
from radishcourse_wire import errors as wire_errors
from radishcourse_wire.gen.peer import ttypes

# A reply also carries other records and must fit into the largest message.
MAX_CHANGES_BYTES = 256 * 1024
MAX_SNAPSHOT_BYTES = 512 * 1024
MAX_DOCUMENT_BYTES = 32 * 2**20
DIGEST_PREFIX_BYTES = 8
_NO_DIGEST = b''


def encode_age(age_s: float | None) -> int | None:
    """Returns an age in ms, rounded up so that it never looks younger."""
    return None if age_s is None else math.ceil(age_s * 1000)


def digest_prefix(digest: str) -> bytes:
    """Returns the first bytes of a configuration digest, for comparison."""
    return bytes.fromhex(digest)[:DIGEST_PREFIX_BYTES]


def encode_changes(
    changes: list[configuration.VerifiedChange],
) -> list[ttypes.Change]:
    """Encodes the first changes, as many as fit into a reply."""
    encoded = []
    size = 0
    for change in changes:
        patch = msgspec.json.encode(change.patch)
        size += len(patch)
        if size > MAX_CHANGES_BYTES:
            break
        digest = bytes.fromhex(change.digest)
        encoded.append(ttypes.Change(change.revision, digest, patch))
    return encoded


def decode_changes(
    changes: list[ttypes.Change],
) -> list[configuration.VerifiedChange]:
    """Decodes the changes of a reply.

    Raises:
      Malformed: A change can't be decoded.
    """
    try:
        return [
            configuration.VerifiedChange(
                ids.Revision(change.revision),
                change.digest.hex(),
                msgspec.json.decode(change.patch, type=merge.Document),
            )
            for change in changes
        ]
    except (*decoding.ERRORS, AttributeError, TypeError) as error:
        raise wire_errors.Malformed(f'invalid change: {error}') from error


def encode_snapshot(
    snapshot: revisions.Snapshot, digest: str
) -> ttypes.Snapshot | None:
    """Compresses a document; returns None if it is too large for a reply."""
    compressed = zlib.compress(msgspec.json.encode(snapshot.document))
    if len(compressed) > MAX_SNAPSHOT_BYTES:
        return None
    return ttypes.Snapshot(snapshot.revision, compressed, bytes.fromhex(digest))


def decode_snapshot(snapshot: ttypes.Snapshot) -> revisions.Snapshot:
    """Decodes a document without checking it against its digest.

    Raises:
      Malformed: The document can't be decoded or is too large.
    """
    inflater = zlib.decompressobj()
    try:
        text = inflater.decompress(snapshot.document, MAX_DOCUMENT_BYTES)
        document = msgspec.json.decode(text, type=merge.Document)
    except (zlib.error, *decoding.ERRORS, TypeError) as error:
        raise wire_errors.Malformed(f'invalid document: {error}') from error
    return revisions.Snapshot(ids.Revision(snapshot.revision), document)


def decode_member_update(
    digest: ttypes.Digest,
    node: ids.NodeId,
    incarnation: ids.Incarnation,
    heartbeat_at: float,
) -> membership.MemberUpdate:
    """Decodes the state of a member from a digest.

    Args:
      digest: The digest.
      node: The member.
      incarnation: The member's process.
      heartbeat_at: When the heartbeat was known to be current, by the local
        clock, in seconds.

    Raises:
      Malformed: A field is missing or the state is unknown.
    """
    if not node or not incarnation or not isinstance(digest.heartbeat, int):
        raise wire_errors.Malformed('the digest is not complete')
    try:
        state = states.MemberState(digest.state or 'alive')
    except ValueError as error:
        raise wire_errors.Malformed(str(error)) from error
    return membership.MemberUpdate(
        node=node,
        incarnation=incarnation,
        heartbeat=digest.heartbeat,
        heartbeat_at=heartbeat_at,
        announced=state,
        zone=ids.ZoneId(digest.zone or ''),
        address=digest.address or '',
    )


def decode_evidence(
    digest: ttypes.Digest, asked_at: float
) -> freshness.Evidence:
    """Decodes a peer's report on its view from the digest of its reply.

    Raises:
      Malformed: A field is missing.
    """
    if not isinstance(digest.revision, int):
        raise wire_errors.Malformed('the digest has no revision')
    return freshness.Evidence(
        asked_at=asked_at,
        revision=ids.Revision(digest.revision),
        platform_reached=bool(digest.platform_reached),
        confirmed_at=freshness.peer_confirmed_at(
            asked_at, digest.confirmed_age_ms
        ),
    )


def encode_member(member: membership.Member, now: float) -> ttypes.Member:
    """Encodes all that is known of a member."""
    digest = ttypes.Digest(
        node=member.node,
        incarnation=member.incarnation,
        zone=member.zone,
        address=member.address,
        state=member.announced.value,
        heartbeat=member.heartbeat,
        revision=0,
        platform_reached=False,
    )
    return ttypes.Member(digest, encode_age(max(0, now - member.heartbeat_at)))


def encode_vouches(
    members: list[membership.Member], now: float
) -> ttypes.Vouches:
    """Encodes the heartbeats of members by hashes of their incarnations."""
    return ttypes.Vouches(
        [membership.hash_incarnation(item.incarnation) for item in members],
        [item.heartbeat for item in members],
        [math.ceil(max(0, now - item.heartbeat_at) * 10) for item in members],
    )


CONFIG_ERRORS = (model_errors.ConfigError, wire_errors.Malformed)
