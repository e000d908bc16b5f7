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
SENT_SHARE = 0.8
TOLD_SHARE = 0.9
# Upstreams on which the nodes agree for a prefix without a message.
HOMES = 2


class Prefixes:
    """Remembers prefixes by upstream."""

    def __init__(self):
        self._known: dict[
            ids.UpstreamId, collections.OrderedDict[str, float]
        ] = collections.defaultdict(collections.OrderedDict)

    def note_sent(self, upstream: ids.UpstreamId, prefix: str) -> None:
        """Takes note of a prompt that this node sent."""
        known = self._known[upstream]
        self._keep(upstream, prefix, max(SENT_SHARE, known.get(prefix, 0.0)))

    def note_stored(self, upstream: ids.UpstreamId, prefix: str) -> None:
        """Takes note of a cache event."""
        self._keep(upstream, prefix, TOLD_SHARE)

    def note_evicted(self, upstream: ids.UpstreamId, prefix: str) -> None:
        """Takes note of an eviction."""
        self._known[upstream].pop(prefix, None)

    def forget(self, upstream: ids.UpstreamId) -> None:
        """Drops all prefixes of an upstream, which restarted."""
        self._known.pop(upstream, None)

    def share(self, upstream: ids.UpstreamId, prefix: str) -> float:
        """Returns the chance that an upstream has a prefix cached."""
        return self._known[upstream].get(prefix, 0.0)

    def _keep(self, upstream, prefix: str, share: float) -> None:
        known = self._known[upstream]
        known[prefix] = share
        known.move_to_end(prefix)
        if len(known) > MAX_PREFIXES:
            known.popitem(last=False)


def homes(
    prefix: str, upstreams: list[ids.UpstreamId], count: int = HOMES
) -> list[ids.UpstreamId]:
    """Returns the upstreams of a prefix by rendezvous hashing."""

    def weight(upstream: ids.UpstreamId) -> bytes:
        text = f'{prefix}\0{upstream}'.encode()
        return hashlib.blake2b(text, digest_size=8).digest()

    return sorted(upstreams, key=weight)[:count]
