"""Status of a node, its upstreams and its peers, for operators."""

import msgspec

from radishcourse_model import ids
from radishcourse_node.controllers import membership


class UpstreamStatus(msgspec.Struct):
    """An upstream as this node sees it.

    Attributes:
      upstream: Id of the upstream.
      zone: Availability zone of the upstream.
      state: Value of `UpstreamState`.
      in_flight: Number of requests from this node that are running on it.
    """

    upstream: str
    zone: str
    state: str
    in_flight: int


class MemberStatus(msgspec.Struct):
    """Another node as this node sees it.

    Attributes:
      node: Id of the node.
      zone: Availability zone of the node.
      state: Value of `MemberState`.
      incarnation: Id of the node's process.
      address: Address for peers.
      age_ms: Time since its latest heartbeat, in milliseconds.
    """

    node: str
    zone: str
    state: str
    incarnation: str
    address: str
    age_ms: int


class NodeStatus(msgspec.Struct):
    """The status that a node reports about itself.

    Attributes:
      node: Id of the node.
      incarnation: Id of the node's process.
      zone: Availability zone of the node.
      state: Value of `MemberState`.
      revision: Configuration revision in force.
      view: Value of the freshness `View`.
      confirmed_age_ms: Time since the revision was last confirmed, in
        milliseconds; None if it never was.
      platform_reached: Whether the last call to the platform was answered in
        time.
      in_progress: Number of requests in progress.
      bills_held: Number of the node's bills that are not flushed yet.
      bills_held_for_others: Number of other owners' bills that it holds.
      bills_at_risk: Number of bills of completed answers that only this node
        has.
      upstreams: All configured upstreams.
      members: The other nodes that it has heard of.
    """

    node: str
    incarnation: str
    zone: str
    state: str
    revision: int
    view: str
    confirmed_age_ms: int | None
    platform_reached: bool
    in_progress: int
    bills_held: int
    bills_held_for_others: int
    bills_at_risk: int
    upstreams: list[UpstreamStatus]
    members: list[MemberStatus]


def describe_member(
    node: ids.NodeId, member: membership.Member
) -> MemberStatus:
    """Returns the status of another node."""
    return MemberStatus(
        node=node,
        zone=member.zone,
        state=member.state.value,
        incarnation=member.incarnation,
        address=member.address,
        age_ms=int(member.age_s * 1000),
    )
