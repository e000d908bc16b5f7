"""Choice of the upstream for an attempt: the least expected wait.

All nodes know roughly what waits at each upstream, some tenths of a second
late. If each took the upstream that looks best, all would take the same
one; so each compares a few that are drawn at random. A prompt has a
preferred upstream, found by rendezvous hashing of its shared part, that is
likely to have that part cached; it is always among those compared.

Load pattern: many prompts with shared parts, a few of them so long that
they hold up an upstream for seconds, and bursts in which one part gets a
quarter of a kind's requests.
"""

import dataclasses
import hashlib
import random

from radishcourse_model import ids

# Upstreams compared besides the preferred one.
SAMPLE_SIZE = 2
# Each request in progress slows the steps of the others a little; this
# spreads them while nothing waits.
SECONDS_PER_REQUEST = 0.01


@dataclasses.dataclass(frozen=True)
class Candidate:
    """An upstream that could take a request.

    Attributes:
      upstream: The upstream.
      waiting_s: Expected time to read the prompts that wait there, of all
        nodes.
      in_flight: Requests in progress there, of all nodes.
      slots: Requests that it runs at once.
      failing: Whether its latest requests failed.
    """

    upstream: ids.UpstreamId
    waiting_s: float
    in_flight: int
    slots: int
    failing: bool = False


@dataclasses.dataclass(frozen=True)
class Prompt:
    """What a request would save at its preferred upstream.

    Attributes:
      key: Names the shared part of its prompt; None without one.
      saved_s: Time that a cached part saves.
    """

    key: str | None = None
    saved_s: float = 0.0


def choose(
    candidates: list[Candidate], prompt: Prompt, source: random.Random
) -> Candidate | None:
    """Returns the upstream to send a request to.

    Args:
      candidates: Upstreams that may take it.
      prompt: The request's prompt.
      source: Draws the upstreams that are compared.
    """
    healthy = [item for item in candidates if not item.failing] or candidates
    free = [item for item in healthy if item.in_flight < item.slots] or healthy
    if not free:
        return None
    preferred = None
    if prompt.key is not None:
        preferred = max(
            free, key=lambda item: rendezvous_weight(prompt.key, item.upstream)
        )
    sampled = source.sample(free, min(SAMPLE_SIZE, len(free)))
    if preferred is not None:
        sampled.append(preferred)

    def expected_s(item: Candidate) -> float:
        saved_s = prompt.saved_s if item is preferred else 0.0
        load_s = SECONDS_PER_REQUEST * item.in_flight
        excess_s = max(0, item.in_flight - item.slots)
        return item.waiting_s + load_s + excess_s - saved_s

    return min(sampled, key=expected_s)


def rendezvous_weight(key: str, upstream: ids.UpstreamId) -> int:
    """Returns an upstream's place for a key (rendezvous hashing)."""
    data = f'{key}/{upstream}'.encode()
    return int.from_bytes(hashlib.blake2b(data, digest_size=8).digest(), 'big')
