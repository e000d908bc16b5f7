"""Settings of a node, read from a JSON file."""

import pathlib
import typing

import msgspec

from radishcourse_model import ids
from radishcourse_model import schema
from radishcourse_node import errors

Count = typing.Annotated[int, msgspec.Meta(ge=1, le=2**31)]
Seconds = typing.Annotated[float, msgspec.Meta(gt=0, le=86_400)]


class Seed(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A node to contact before the platform's VM list is known."""

    node: ids.NodeId
    address: schema.Address


class Settings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Settings of one node process.

    Attributes:
      node: Id of the node, which is the platform's name of the VM.
      zone: Availability zone of the node.
      listen: Address on which callers are served.
      peer_listen: Address on which other nodes are served.
      platform: Base URL of the table service, object store and VM list.
      rating: Base URL of the rating service.
      seeds: Other nodes to contact first.
      peer_advertise: Address at which other nodes reach this one, if it is
        not `peer_listen`.
      peer_routes: Addresses by node id at which this node reaches other
        nodes, instead of the addresses that they advertise.
      peer_keys: Secrets by key id that authenticate messages between nodes.
      peer_key: Id of the key that signs this node's messages.
      poll_s: Seconds between reads of the configuration head.
      gossip_s: Seconds between rounds of gossip.
      flush_s: Seconds between flushes of bills.
      shards: Number of shards of upstreams, the same on all nodes.
      drain_delay_s: Seconds during which a node that is no longer ready still
        accepts requests, so that the load balancer can notice.
      drain_limit_s: Maximum seconds to wait for requests in progress at a stop.
      header_limit_s: Maximum seconds for the headers of a request to arrive.
      body_limit_s: Maximum seconds for the body of a request to arrive.
      max_body_bytes: Largest request body, in bytes.
      held_bytes: Maximum bytes buffered for slow readers of all organisations.
      bills_bytes: Bytes of held bills, own and others', above which new jobs
        are refused.
      memory_mb: Memory of the VM in MB (2**20 bytes), from which the limits on
        bytes held for clients follow; None sets no limits.
      max_fds: Descriptors that the process may open, from which the limits on
        connections follow; None sets no limits.
    """

    node: ids.NodeId
    zone: ids.ZoneId
    listen: schema.Address
    peer_listen: schema.Address
    platform: str
    rating: str
    seeds: list[Seed] = []
    peer_advertise: schema.Address | None = None
    peer_routes: dict[ids.NodeId, schema.Address] = {}
    peer_keys: dict[ids.KeyId, schema.Secret] = {}
    peer_key: ids.KeyId = ids.KeyId('')
    poll_s: Seconds = 0.5
    gossip_s: Seconds = 0.5
    flush_s: Seconds = 2.0
    shards: typing.Annotated[int, msgspec.Meta(ge=1, le=4096)] = 16
    drain_delay_s: Seconds = 2.0
    drain_limit_s: Seconds = 600.0
    header_limit_s: Seconds = 10.0
    body_limit_s: Seconds = 30.0
    max_body_bytes: schema.Size = 4 * 2**20
    held_bytes: schema.Size = 64 * 2**20
    bills_bytes: schema.Size = 24 * 2**20
    memory_mb: Count | None = None
    max_fds: Count | None = None


def read(path: pathlib.Path) -> Settings:
    """Returns the settings in a file.

    Raises:
      SettingsError: The file can't be read or does not match the schema.
    """
    try:
        return msgspec.json.decode(path.read_bytes(), type=Settings)
    except (OSError, UnicodeDecodeError, msgspec.MsgspecError) as error:
        raise errors.SettingsError(f'{path}: {error}') from error


def split_address(address: str) -> tuple[str, int]:
    """Returns the host and the port of an address."""
    host, _, port = address.rpartition(':')
    return host, int(port)
