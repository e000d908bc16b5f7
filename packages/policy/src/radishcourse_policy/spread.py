"""Choice of the upstream for an attempt, from what all nodes have sent.

Upstreams are compared by the work that they hold. A prompt has a preferred
upstream, found by rendezvous hashing of its shared part, that is likely to
have it cached; it is taken unless it is clearly busier than the others, so
that one popular prompt does not overload an upstream.

Load pattern: many prompts with shared parts, some very long, and bursts in
which one part gets a quarter of a kind's requests.
"""

import dataclasses
import hashlib
import random

from radishcourse_model import ids

# A cached part saves its own tokens; the preferred upstream may hold more
# work than the least busy one by this factor of that.
CACHE_TRUST = 1.0
# Work of a request for each output token, in prompt tokens: a step of a
# batch takes 2 ms and more, in which 140 prompt tokens a ms are read.
OUTPUT_WORK = 20
DRAWN = 2


@dataclasses.dataclass(frozen=True)
class Candidate:
    """An upstream that could take a request.

    Attributes:
      upstream: The upstream.
      work: Work in progress there, of all nodes, in prompt tokens.
      in_flight: Requests in progress there, of all nodes.
      slots: Requests that it runs at once.
      doubtful: Whether its latest requests failed.
    """

    upstream: ids.UpstreamId
    work: float
    in_flight: int
    slots: int
    doubtful: bool = False


def work_of(prompt: int, output: int) -> float:
    """Returns the work of a request in prompt tokens."""
    return prompt + OUTPUT_WORK * output


def choose(
    candidates: list[Candidate],
    cached_key: str | None,
    cached_tokens: int,
    source: random.Random,
) -> Candidate | None:
    """Returns the upstream to send a request to.

    Args:
      candidates: Upstreams that may take it.
      cached_key: Names the shared part of its prompt; None without one.
      cached_tokens: Tokens of that part.
      source: Breaks ties between equally busy upstreams.
    """
    sound = [item for item in candidates if not item.doubtful] or candidates
    free = [item for item in sound if item.in_flight < item.slots] or sound
    if not free:
        return None
    if cached_key is None:
        drawn = source.sample(free, len(free))
        return min(drawn, key=_load)
    ranked = sorted(
        free,
        key=lambda item: rank(cached_key, item.upstream),
        reverse=True,
    )
    allowed = CACHE_TRUST * cached_tokens
    costs = {
        item.upstream: item.work + (0 if place == 0 else allowed)
        for place, item in enumerate(ranked)
    }
    return min(ranked, key=lambda item: costs[item.upstream])


def rank(key: str, upstream: ids.UpstreamId) -> int:
    """Returns an upstream's place for a key (rendezvous hashing)."""
    data = f'{key}/{upstream}'.encode()
    return int.from_bytes(hashlib.blake2b(data, digest_size=8).digest(), 'big')


def _load(item: Candidate) -> float:
    return item.in_flight / max(1, item.slots)
