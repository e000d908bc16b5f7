"""Request rates that upstreams name as their limit for all nodes together.

Nodes share the limit equally, each with a token bucket. In a small fleet, where
each node soon hears of all others, only those that have requests for the
upstream share it. As a bucket holds a request at least, and the sum of all
buckets must stay within the bound, only some nodes of a large fleet send,
chosen by hash.

A limit counts requests, whatever their work. So prompts with more work than the
others take its tokens first, and the others go to upstreams without a limit and
take tokens that would be lost.

Load pattern: upstreams in need name a fraction of their usual rate while the
load goes on, and nodes stop and start.
"""

import math
import typing

from radishcourse_model import ids
from radishcourse_policy import coldrate

# The users' bound: in WINDOW_S at most EXCESS times what the limit allows, and
# SLACK requests in addition.
WINDOW_S = 4.0
EXCESS = 1.5
SLACK = 5.0
# Share of what the bound leaves above the limit that the buckets hold together.
# The rest allows for requests on their way and for nodes that come and go.
USABLE_SHARE = 0.8
# A lower limit counts as this one, so that some request learns of its end.
MIN_PER_S = 0.1
# A higher value is no limit that a node could reach.
MAX_PER_S = 1e6
# Ages in messages grow by their way, so that a limit seems this much newer.
AGE_ERROR_S = 0.05
# A limit of which no node hears for this long has ended unnoticed.
LIMIT_TTL_S = 20.0
# A node has requests for an upstream for this long after the last one.
DEMAND_S = 4.0
# Weight of the newest request in the mean of the requests' work.
MEAN_WEIGHT = 0.02


class Share(typing.NamedTuple):
    """A node's share of a limit.

    Attributes:
      senders: Number of nodes that may send.
      per_s: Refill rate of each one's bucket, in requests per second.
      burst: Capacity of the bucket, in requests.
    """

    senders: int
    per_s: float
    burst: float


class NamedLimit(typing.NamedTuple):
    """A limit that an upstream named, or that it has ended.

    Attributes:
      per_s: Requests per second, None when answers no longer name a limit.
      named_at: When the answer arrived, on this node's clock in seconds.
    """

    per_s: float | None
    named_at: float


def parse(value: bytes) -> float | None:
    """Returns a limit in requests per second, None if the value is no rate."""
    try:
        per_s = float(value)
    except ValueError:
        return None
    if not math.isfinite(per_s) or per_s < 0:
        return None
    return min(MAX_PER_S, max(MIN_PER_S, per_s))


def split(per_s: float, nodes: int) -> Share:
    """Divides a limit between nodes.

    Args:
      per_s: The limit, in requests per second.
      nodes: Number of nodes that share it.
    """
    burst = USABLE_SHARE * ((EXCESS - 1) * WINDOW_S * per_s + SLACK)
    senders = max(1, min(nodes, int(burst)))
    return Share(senders, per_s / senders, max(1.0, burst / senders))


class MeanWork:
    """Mean work of requests, by service."""

    def __init__(self):
        self._means: dict[ids.ServiceId, float] = {}

    def is_heavy(self, service: ids.ServiceId, work: float) -> bool:
        """Records a request; tells whether it has at least the mean work.

        Args:
          service: The service that serves it.
          work: Its work, in any unit.
        """
        mean = self._means.get(service, work)
        self._means[service] = mean + MEAN_WEIGHT * (work - mean)
        return work >= mean


class Limits:
    """The limits that a node knows, and its share of each."""

    def __init__(self):
        self._limits: dict[tuple, NamedLimit] = {}
        self._buckets: dict[tuple, coldrate.TokenBucket] = {}
        self._wanted_at: dict[tuple, float] = {}

    def find(self, key: tuple, now: float) -> float | None:
        """Returns the limit of an upstream, None without one.

        Args:
          key: Identifies the run of the upstream.
          now: Current time in seconds.
        """
        known = self._limits.get(key)
        if known is None or now - known.named_at > LIMIT_TTL_S:
            return None
        return known.per_s

    def note(self, key: tuple, limit: NamedLimit) -> bool:
        """Records what an answer said; returns whether the limit changed."""
        known = self._limits.get(key)
        if known is not None:
            margin_s = AGE_ERROR_S if limit.per_s == known.per_s else 0.0
            if limit.named_at <= known.named_at + margin_s:
                return False
        if known is None and limit.per_s is None:
            return False
        self._limits[key] = limit
        return known is None or known.per_s != limit.per_s

    def named_after(self, key: tuple, sent_at: float) -> bool:
        """Tells whether a limit was named after a request was sent."""
        known = self._limits.get(key)
        return known is not None and known.named_at > sent_at

    def is_wanted(self, key: tuple, now: float) -> bool:
        """Tells whether this node has requests for a limited upstream."""
        return now - self._wanted_at.get(key, -math.inf) < DEMAND_S

    def wait_s(
        self, key: tuple, now: float, share: Share, heavy: bool = True
    ) -> float:
        """Returns the seconds until a request may be sent.

        A node that had no requests for some time begins without a token, as the
        others have used its share.

        Args:
          key: Identifies the run of the upstream.
          now: Current time in seconds.
          share: The node's share of the limit.
          heavy: Whether the request has more work than others; else it waits
            until the bucket is full.
        """
        if not self.is_wanted(key, now):
            self._buckets[key] = coldrate.TokenBucket(now, 0.0)
        self._wanted_at[key] = now
        tokens = 1.0 if heavy else share.burst
        bucket = self._buckets[key]
        return bucket.wait_s(now, share.per_s, share.burst, tokens)

    def take(self, key: tuple, now: float, share: Share) -> None:
        """Takes a token for a request, after `wait_s` returned 0."""
        self._buckets[key].take(now, share.per_s, share.burst)

    def reports(self) -> list[tuple[tuple, NamedLimit]]:
        """Returns the limits, and ends of limits, to report to other nodes."""
        return list(self._limits.items())

    def trim(self, present: typing.Container, now: float) -> None:
        """Forgets limits that have expired or whose upstream is gone."""
        for key, limit in list(self._limits.items()):
            if key not in present or now - limit.named_at > LIMIT_TTL_S:
                del self._limits[key]
                self._buckets.pop(key, None)
                self._wanted_at.pop(key, None)


class Senders:
    """Tells which upstreams with limits a node may send to.

    The answers are kept while the nodes that share a limit are the same, as
    each takes a hash for every node.

    Args:
      own: The node's id.
    """

    def __init__(self, own: ids.NodeId):
        self._own = own
        self._known: dict[ids.UpstreamId, tuple[list, int, bool]] = {}

    def may_send(
        self, others: list[ids.NodeId], upstream: ids.UpstreamId, share: Share
    ) -> bool:
        """Tells whether this node is one of those that may send.

        Args:
          others: Ids of the other nodes that share the limit.
          upstream: The upstream.
          share: The node's share of the limit.
        """
        if share.senders > len(others):
            return True
        known = self._known.get(upstream)
        if known is not None and known[:2] == (others, share.senders):
            return known[2]
        chosen = coldrate.is_sender(self._own, others, upstream, share.senders)
        self._known[upstream] = (others, share.senders, chosen)
        return chosen

    def forget(self, present: typing.Container) -> None:
        """Drops the answers on upstreams that are not present."""
        for upstream in list(self._known):
            if upstream not in present:
                del self._known[upstream]
