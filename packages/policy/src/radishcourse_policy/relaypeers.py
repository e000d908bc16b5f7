"""Chooses the peer that serves a request while this node is cut off.

Load pattern: a zone, or half of the nodes, loses its links to all upstreams.
Peers of the same zone are near but may be cut off as well; they refuse then,
which is remembered for a moment. All requests of a node go to its peers, so
these are chosen at random.
"""

import dataclasses

from radishcourse_model import ids

# A peer that refused, or did not answer, gets no request for this time.
REFUSED_TTL_S = 1.0
# After a refusal peers that answered this long ago at most are preferred.
ANSWERED_TTL_S = 3.0
# Peers that are asked for one request.
MAX_PEERS = 3


@dataclasses.dataclass(frozen=True)
class Candidate:
    """A peer that takes relayed requests.

    Attributes:
      node: Its id.
      zone: Its availability zone.
    """

    node: ids.NodeId
    zone: ids.ZoneId


class RelayPeers:
    """What is known of peers from relayed requests.

    Args:
      random: Source of randomness.
    """

    def __init__(self, random):
        self._random = random
        self._refused_at: dict[tuple[ids.ServiceId, ids.NodeId], float] = {}
        self._answered_at: dict[tuple[ids.ServiceId, ids.NodeId], float] = {}

    def note_refused(
        self, now: float, service: ids.ServiceId, node: ids.NodeId
    ) -> None:
        """Records that a peer could not serve a request of a service."""
        self._refused_at[service, node] = now
        self._answered_at.pop((service, node), None)

    def note_answered(
        self, now: float, service: ids.ServiceId, node: ids.NodeId
    ) -> None:
        """Records that a peer served a request of a service."""
        self._answered_at[service, node] = now

    def choose(
        self,
        now: float,
        service: ids.ServiceId,
        zone: ids.ZoneId,
        candidates: list[Candidate],
        tried: set[ids.NodeId],
    ) -> ids.NodeId | None:
        """Returns the peer to ask next, None if there is none.

        Args:
          now: Current time in seconds.
          service: The request's service.
          zone: This node's availability zone.
          candidates: The peers.
          tried: Peers that were asked for this request.
        """
        if len(tried) >= MAX_PEERS:
            return None
        open_ones = [
            item
            for item in candidates
            if item.node not in tried
            and not _is_recent(
                self._refused_at.get((service, item.node)), now, REFUSED_TTL_S
            )
        ]
        if not open_ones:
            return None
        preferred = [item for item in open_ones if item.zone == zone]
        if tried:
            answered = [
                item
                for item in open_ones
                if _is_recent(
                    self._answered_at.get((service, item.node)),
                    now,
                    ANSWERED_TTL_S,
                )
            ]
            others = [item for item in open_ones if item.zone != zone]
            preferred = answered or others
        return self._random.choice(preferred or open_ones).node

    def forget(self, now: float) -> None:
        """Drops what is too old to count."""
        self._refused_at = _recent_only(self._refused_at, now, REFUSED_TTL_S)
        self._answered_at = _recent_only(self._answered_at, now, ANSWERED_TTL_S)


def _is_recent(at: float | None, now: float, ttl_s: float) -> bool:
    return at is not None and now - at < ttl_s


def _recent_only(times: dict, now: float, ttl_s: float) -> dict:
    return {key: at for key, at in times.items() if _is_recent(at, now, ttl_s)}
