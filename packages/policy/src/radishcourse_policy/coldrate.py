"""Rate limit on requests to a cold upstream.

The bound applies to the whole fleet and is divided equally between the nodes
that send. A node that does not know the fleet's size assumes a large one.

Load pattern: an upstream that comes back cold while all nodes have work
waiting for it.
"""

import math

from radishcourse_policy import loadbalancing

# Fleet size that is assumed until the node knows of another one.
ASSUMED_FLEET_NODES = 32
# Share of the bound that nodes use. The rest allows for requests that arrive
# in a later second than they were sent in.
USABLE_SHARE = 0.7
# Minimum share of the bound for a node that may send, in requests within one
# second: its burst is at least one request, and the bucket refills meanwhile.
MIN_NODE_BOUND = 1.5
# A node that has started knows nearly all others after this time: its peers
# start within a second or so, and tell whom they know every 1.2 s.
JOIN_S = 2.5


class TokenBucket:
    """A token bucket for one upstream.

    Args:
      now: Current time in seconds.
      tokens: Tokens at the start; None for a full bucket.
    """

    def __init__(self, now: float, tokens: float | None = None):
        self._tokens = tokens
        self._updated_at = now

    def take(self, now: float, per_s: float, burst: float) -> bool:
        """Takes a token for one request; returns False if there is none.

        Args:
          now: Current time in seconds.
          per_s: Refill rate in tokens per second.
          burst: Capacity of the bucket in tokens.
        """
        if self.wait_s(now, per_s, burst) > 0:
            return False
        self._tokens -= 1
        return True

    def wait_s(
        self, now: float, per_s: float, burst: float, tokens: float = 1.0
    ) -> float:
        """Returns the seconds until there are so many tokens.

        The first arguments are those of `take`; `per_s` is positive.
        """
        if self._tokens is None:
            self._tokens = burst
        refill = (now - self._updated_at) * per_s
        self._tokens = min(burst, self._tokens + refill)
        self._updated_at = now
        return max(0.0, tokens - self._tokens) / per_s


def split_rate(
    per_s: float, excess: float, slack: float, nodes: int
) -> tuple[int, float, float]:
    """Divides an upstream's bound between the nodes that may send.

    In any one second the fleet sends at most `per_s * excess + slack`
    requests.

    Args:
      per_s: Requests per second that the upstream can serve while cold.
      excess: Factor on `per_s` that is allowed within one second.
      slack: Requests allowed within one second in addition.
      nodes: Number of nodes in the fleet.

    Returns:
      The number of nodes that may send, and the rate in requests per second
      and the burst in requests of each. A burst is at least one request, so in
      a large fleet only some of the nodes may send.
    """
    usable_bound = USABLE_SHARE * (per_s * excess + slack)
    senders = max(1, min(nodes, int(usable_bound / MIN_NODE_BOUND)))
    node_bound = usable_bound / senders
    rate = min(USABLE_SHARE * per_s / senders, node_bound / 2)
    return senders, rate, max(1.0, node_bound - rate)


def is_sender(
    own: str,
    others: list[str],
    upstream: str,
    senders: int,
    running_s: float = math.inf,
) -> bool:
    """Tells whether a node is one of those that may send to an upstream.

    A node that has just started is none: when all nodes start at once, each
    knows few others, and all of them would take themselves for one.

    Args:
      own: The node's id.
      others: Ids of the other nodes that are known to be alive.
      upstream: The cold upstream.
      senders: How many nodes may send.
      running_s: Seconds since the node's start.
    """
    if running_s < JOIN_S:
        return False
    own_weight = loadbalancing.rendezvous_weight(upstream, own)
    ahead = sum(
        loadbalancing.rendezvous_weight(upstream, node) > own_weight
        for node in others
    )
    return ahead < senders
