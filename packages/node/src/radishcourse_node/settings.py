"""Settings of a node, read from a JSON file."""

import pathlib
import typing

import msgspec

from radishcourse_model import ids
from radishcourse_model import schema
from radishcourse_node import errors

Seconds = typing.Annotated[float, msgspec.Meta(gt=0, le=86_400)]


class Seed(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A node that may be asked before the platform's VM list is known."""

    node: ids.NodeId
    address: schema.Address


class Settings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Settings of one node process.

    Attributes:
      node: Its id, which is the platform's name of the VM.
      zone: Its availability zone.
      listen: Address for callers.
      peer_listen: Address for other nodes.
      platform: Base URL of the table service, object store and VM list.
      rating: Base URL of the rating service.
      seeds: Other nodes to ask first.
      peer_advertise: Address at which other nodes reach this one, when it is
        not `peer_listen`.
      peer_routes: Addresses by which this node reaches certain nodes, ahead
        of the addresses that they advertise.
      peer_keys: Secrets by key id that authenticate messages of nodes.
      peer_key: Id of the key that signs this node's messages.
      poll_s: Time between reads of the configuration head.
      gossip_s: Time between rounds of gossip.
      flush_s: Time between flushes of bills.
      shards: Number of shards of upstreams, the same on all nodes.
      drain_delay_s: Time between readiness going down and the last accepted
        request, for the balancer to notice.
      drain_limit_s: Longest time to wait for requests at a stop.
      header_limit_s: Longest time for the headers of a request to arrive.
      body_limit_s: Longest time for the body of a request to arrive.
      max_body_bytes: Largest request body.
      held_bytes: Bytes held for slow readers of all organisations.
      bills_bytes: Bytes of bills held, own and others', before new jobs are
        refused.
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


def read(path: pathlib.Path) -> Settings:
    """Returns the settings in a file.

    Raises:
      SettingsError: The file can't be read or does not fit the schema.
    """
    try:
        return msgspec.json.decode(path.read_bytes(), type=Settings)
    except (OSError, UnicodeDecodeError, msgspec.MsgspecError) as error:
        raise errors.SettingsError(f'{path}: {error}') from error


def split_address(address: str) -> tuple[str, int]:
    """Returns the host and the port of an address."""
    host, _, port = address.rpartition(':')
    return host, int(port)
