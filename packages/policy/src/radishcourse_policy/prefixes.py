"""Where prefixes of prompts are likely to be cached.

What a node sent itself is known at once; what others sent comes late and
with gaps from the engines' cache events.
"""

import collections
import hashlib

from radishcourse_model import ids

# Prefixes that are remembered for each upstream.
MAX_PREFIXES = 4096
# Chance that a prefix is still cached, by what is known of it.
SENT_PROBABILITY = 0.8
REPORTED_PROBABILITY = 0.9
# Upstreams on which the nodes agree for a prefix without a message.
PREFERRED_UPSTREAMS = 2


class CachedPrefixes:
    """Remembers prefixes by upstream."""

    def __init__(self):
        self._probabilities: dict[
            ids.UpstreamId, collections.OrderedDict[str, float]
        ] = collections.defaultdict(collections.OrderedDict)

    def note_sent(self, upstream: ids.UpstreamId, prefix: str) -> None:
        """Takes note of a prompt that this node sent."""
        known = self._probabilities[upstream]
        self._keep(
            upstream, prefix, max(SENT_PROBABILITY, known.get(prefix, 0.0))
        )

    def note_stored(self, upstream: ids.UpstreamId, prefix: str) -> None:
        """Takes note of a cache event."""
        self._keep(upstream, prefix, REPORTED_PROBABILITY)

    def note_evicted(self, upstream: ids.UpstreamId, prefix: str) -> None:
        """Takes note of an eviction."""
        self._probabilities[upstream].pop(prefix, None)

    def forget(self, upstream: ids.UpstreamId) -> None:
        """Drops all prefixes of an upstream, which restarted."""
        self._probabilities.pop(upstream, None)

    def cached_probability(
        self, upstream: ids.UpstreamId, prefix: str
    ) -> float:
        """Returns the chance that an upstream has a prefix cached."""
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
    """Returns the upstreams of a prefix by rendezvous hashing."""

    def weight(upstream: ids.UpstreamId) -> bytes:
        text = f'{prefix}\0{upstream}'.encode()
        return hashlib.blake2b(text, digest_size=8).digest()

    return sorted(upstreams, key=weight)[:count]
