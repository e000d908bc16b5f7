"""Prefixes of prompts that upstreams are likely to have cached.

A node knows at once what it sent itself. What other nodes sent it learns
late and with gaps, from the engines' cache events.
"""

import collections
import hashlib

from radishcourse_model import ids

# Prefixes remembered per upstream; the least recently noted is dropped.
MAX_PREFIXES = 4096
# Probability that a prefix is still cached after this node sent it, and after
# the upstream reported that it stored it.
SENT_PROBABILITY = 0.8
REPORTED_PROBABILITY = 0.9
# Preferred upstreams of a prefix, on which all nodes agree without messages.
PREFERRED_UPSTREAMS = 2


class CachedPrefixes:
    """Prefixes that are likely to be cached, by upstream."""

    def __init__(self):
        self._probabilities: dict[
            ids.UpstreamId, collections.OrderedDict[str, float]
        ] = collections.defaultdict(collections.OrderedDict)

    def note_sent(self, upstream: ids.UpstreamId, prefix: str) -> None:
        """Notes that this node sent a prompt with a prefix."""
        known = self._probabilities[upstream]
        self._keep(
            upstream, prefix, max(SENT_PROBABILITY, known.get(prefix, 0.0))
        )

    def note_stored(self, upstream: ids.UpstreamId, prefix: str) -> None:
        """Notes a cache event by which an upstream stored a prefix."""
        self._keep(upstream, prefix, REPORTED_PROBABILITY)

    def note_evicted(self, upstream: ids.UpstreamId, prefix: str) -> None:
        """Notes a cache event by which an upstream evicted a prefix."""
        self._probabilities[upstream].pop(prefix, None)

    def forget(self, upstream: ids.UpstreamId) -> None:
        """Drops all prefixes of an upstream that lost its cache."""
        self._probabilities.pop(upstream, None)

    def cached_probability(
        self, upstream: ids.UpstreamId, prefix: str
    ) -> float:
        """Returns the probability that an upstream has a prefix cached."""
        return self._probabilities[upstream].get(prefix, 0.0)

    def _keep(self, upstream, prefix: str, probability: float) -> None:
        known = self._probabilities[upstream]
        known[prefix] = probability
        known.move_to_end(prefix)
        if len(known) > MAX_PREFIXES:
            known.popitem(last=False)


def preferred_upstreams(
    prefix: str,
    upstreams: list[ids.UpstreamId],
    count: int = PREFERRED_UPSTREAMS,
) -> list[ids.UpstreamId]:
    """Returns the preferred upstreams of a prefix by rendezvous hashing."""

    def weight(upstream: ids.UpstreamId) -> bytes:
        text = f'{prefix}\0{upstream}'.encode()
        return hashlib.blake2b(text, digest_size=8).digest()

    return sorted(upstreams, key=weight)[:count]
