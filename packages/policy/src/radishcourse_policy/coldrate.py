"""Requests that a node may send to a cold upstream.

The bound holds over the whole fleet: each node has an equal part of it. A
node that does not know the size of the fleet assumes a large one.

Load pattern: an upstream that comes back cold while all nodes have work
waiting for it.
"""

from radishcourse_policy import loadbalancing

# Assumed nodes while no other node was heard of.
UNKNOWN_FLEET = 32
# Part of the bound that nodes use; the rest covers requests that arrive in
# another second than they were sent in.
SAFETY = 0.7
# Requests in a second that a node needs to be of use: one in its burst, and
# one later.
LEAST_SHARE = 1.5


class ColdRate:
    """A token bucket for one cold upstream.

    Args:
      now: Current time in seconds.
    """

    def __init__(self, now: float):
        self._tokens: float | None = None
        self._at = now

    def take(self, now: float, per_s: float, burst: float) -> bool:
        """Takes a permission to send one request.

        Args:
          now: Current time in seconds.
          per_s: This node's requests a second.
          burst: Most permissions that are saved up.
        """
        if self._tokens is None:
            self._tokens = burst
        earned = (now - self._at) * per_s
        self._tokens = min(burst, self._tokens + earned)
        self._at = now
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


def parts(
    per_s: float, excess: float, slack: float, nodes: int
) -> tuple[int, float, float]:
    """Divides the bound over the nodes.

    Args:
      per_s: Requests a second that the upstream bears.
      excess: Factor on that up to which a second may go.
      slack: Requests on top of it.
      nodes: Nodes in the fleet.

    Returns:
      How many of the nodes may send, and for each of these its requests a
      second and its burst. A burst is at least one request, so a large fleet
      lets a part of its nodes send.
    """
    most = SAFETY * (per_s * excess + slack)
    senders = max(1, min(nodes, int(most / LEAST_SHARE)))
    share = most / senders
    rate = min(SAFETY * per_s / senders, share / 2)
    return senders, rate, max(1.0, share - rate)


def is_sender(own: str, others: list[str], upstream: str, senders: int) -> bool:
    """Tells whether a node is one of those that may send to an upstream.

    Args:
      own: The node's id.
      others: Ids of the other nodes that are known to live.
      upstream: The cold upstream.
      senders: How many nodes may send.
    """
    place = loadbalancing.rendezvous_weight(upstream, own)
    ahead = sum(
        loadbalancing.rendezvous_weight(upstream, node) > place
        for node in others
    )
    return ahead < senders
