"""What this node knows of its peers."""

import dataclasses

from radishcourse_model import ids
from radishcourse_policy import evenload
from radishcourse_wire.gen.peer import ttypes


def work_of(
    reply: ttypes.SyncReply,
) -> dict[ids.UpstreamId, evenload.Work]:
    """Returns the work that a node reported, by upstream."""
    return {
        ids.UpstreamId(item.upstream): evenload.Work(
            item.requests, item.waiting_ms / 1000, bool(item.doubted)
        )
        for item in reply.work or ()
    }


@dataclasses.dataclass
class Peer:
    """Another node.

    Attributes:
      node: Its id.
      incarnation: Identifies one run of its process.
      zone: Its availability zone.
      address: Address at which it serves peers.
      last_heard_at: When it was last known to be alive.
      limited: Limited upstreams for which it has requests.
      lost: Tables that the store did not give it at its last poll.
      reported_at: When this node received its last report of work.
      relay_address: Address at which it takes relayed requests, None if it
        takes none or it is not known.
    """

    node: ids.NodeId
    incarnation: ids.Incarnation
    zone: ids.ZoneId
    address: str
    last_heard_at: float
    limited: frozenset[ids.UpstreamId] = frozenset()
    lost: frozenset[str] = frozenset()
    reported_at: float = 0.0
    relay_address: str | None = None

    def note_report(self, reply: ttypes.SyncReply, now: float) -> None:
        """Records what the node reported of upstreams at a time."""
        self.reported_at = now
        self.lost = frozenset(
            topic.topic for topic in reply.topics or () if topic.lost
        )
        self.limited = frozenset(
            ids.UpstreamId(item.upstream)
            for item in reply.limits or ()
            if item.wanted
        )
