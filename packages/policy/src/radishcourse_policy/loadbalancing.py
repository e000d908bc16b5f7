"""Load balancing: chooses the upstream with the least expected wait.

All nodes know the approximate load of each upstream, some tenths of a second
late. If each chose the upstream that looks best, all would choose the same
one, so each compares a few upstreams from a random sample. A prompt also has
a preferred upstream, found by rendezvous hashing of its prefix, which is
likely to have that prefix cached; it is always among those compared.

Load pattern: many prompts with shared prefixes, a few of them so long that
they block an upstream for seconds, and bursts in which one prefix gets a
quarter of a kind's requests.
"""

import dataclasses
import hashlib
import heapq
import random
import typing

from radishcourse_model import ids

# Upstreams that are compared besides the preferred one.
SAMPLE_SIZE = 2
# The same where upstreams differ in speed, and for long prompts, which are too
# few to make the nodes choose alike.
UNEVEN_SAMPLE_SIZE = 3
LONG_SAMPLE_SIZE = 8
# A prompt is long if its prefill takes this time: the shortest goal for the
# time to the first event is 1.5 s, and what waits behind it would miss that.
LONG_PREFILL_S = 1.0
# Waiting prefill with which a short prompt is likely among what waits.
SHORT_WAITING_S = 0.05
# Upstreams of which a choice looks at the load. With a third of the upstreams
# failing, all of them fail once in 43 million choices.
SHORTLIST_SIZE = 16
# Preferred upstreams that are kept for a prefix: the next one is used while
# the first ones are full or failing. And prefixes that are kept.
RANKED_UPSTREAMS = 4
MAX_PREFIXES = 1024
# Expected delay by each request in progress, which slows the steps of the
# others a little. It balances requests also while none waits.
SECONDS_PER_REQUEST = 0.01
# Differences of less than about half a request are ties, which are broken at
# random. Reports that have lost nearly all weight would otherwise still decide:
# 37 of 71 nodes with the same news, 16 service times old, chose one of four.
TIE_S = SECONDS_PER_REQUEST / 2


@dataclasses.dataclass(frozen=True)
class Candidate:
    """An upstream that could take a request.

    Attributes:
      upstream: The upstream.
      waiting_s: Expected time to prefill the prompts of all nodes that wait
        there.
      in_flight: Requests of all nodes in progress there.
      slots: Requests that it runs at once.
      failing: Whether its latest requests failed.
      limited: Whether it names a limit, of which this node may use a share now.
      speed: Time that it takes for the same work, relative to its service; 1
        for upstreams that are not measurably different.
      penalty_s: Expected delay as it has refused requests as full just now.
    """

    upstream: ids.UpstreamId
    waiting_s: float
    in_flight: float
    slots: int
    failing: bool = False
    limited: bool = False
    speed: float = 1.0
    penalty_s: float = 0.0


@dataclasses.dataclass(frozen=True)
class Prompt:
    """What a request saves at the upstream that has its prefix cached.

    Attributes:
      key: Identifies the shared prefix of the prompt; None without one.
      saved_s: Prefill time that the cached prefix saves.
      ranked: Upstreams that are preferred for the prefix, the first most; if
        empty, they are found among those to choose from.
      prefill_s: Expected time of the whole prefill.
    """

    key: str | None = None
    saved_s: float = 0.0
    ranked: tuple[ids.UpstreamId, ...] = ()
    prefill_s: float = 0.0

    @property
    def is_long(self) -> bool:
        """Whether its prefill holds up others for seconds."""
        return self.prefill_s >= LONG_PREFILL_S


def choose(
    candidates: list[Candidate], prompt: Prompt, source: random.Random
) -> Candidate | None:
    """Returns the upstream to send a request to, or None without candidates.

    Failing upstreams are considered only if all are failing, and full ones
    only if all are full.

    Args:
      candidates: Upstreams that may take the request.
      prompt: The request's prompt.
      source: Source of the random sample that is compared.
    """
    healthy = [item for item in candidates if not item.failing] or candidates
    free = [item for item in healthy if item.in_flight < item.slots] or healthy
    if not free:
        return None
    preferred = _preferred(free, prompt)
    sampled = _sample(free, prompt, source)
    if preferred is not None:
        sampled.append(preferred)
    # A share of a limit that is not used is lost, and in a large fleet only a
    # few nodes have one.
    limited = [item for item in free if item.limited]
    if limited:
        sampled.append(source.choice(limited))

    def expected_ties(item: Candidate) -> int:
        saved_s = prompt.saved_s if item is preferred else 0.0
        load_s = SECONDS_PER_REQUEST * item.in_flight
        excess_s = max(0, item.in_flight - item.slots)
        work_s = item.waiting_s + load_s + excess_s - saved_s
        if prompt.is_long:
            # What waits there already would wait for this prefill as well.
            share = min(1.0, item.waiting_s / SHORT_WAITING_S)
            work_s += share * (prompt.prefill_s - saved_s)
        return round((item.speed * work_s + item.penalty_s) / TIE_S)

    return min(sampled, key=expected_ties)


def _preferred(free: list[Candidate], prompt: Prompt) -> Candidate | None:
    if prompt.key is None:
        return None
    if prompt.ranked:
        by_id = {item.upstream: item for item in free}
        return next(
            (by_id[name] for name in prompt.ranked if name in by_id), None
        )
    return max(
        free, key=lambda item: rendezvous_weight(prompt.key, item.upstream)
    )


def shortlist(
    upstreams: typing.Sequence[ids.UpstreamId],
    prompt: Prompt,
    limited: typing.Sequence[ids.UpstreamId],
    source: random.Random,
) -> list[ids.UpstreamId]:
    """Returns the upstreams of which a choice needs to know the load.

    Their number is bounded, so that a choice takes as long in any fleet.

    Args:
      upstreams: Upstreams that may take the request.
      prompt: The request's prompt, with its preferred upstreams.
      limited: Those of the upstreams that name a limit.
      source: Source of the random sample.
    """
    if len(upstreams) <= SHORTLIST_SIZE:
        return list(upstreams)
    names = source.sample(upstreams, SHORTLIST_SIZE)
    names += prompt.ranked
    if limited:
        names.append(source.choice(limited))
    return list(dict.fromkeys(names))


class Preferences:
    """Preferred upstreams by prefix, kept while the upstreams are the same."""

    def __init__(self):
        self._ranked: dict[str, tuple[tuple, tuple]] = {}

    def ranked(
        self, key: str, upstreams: tuple[ids.UpstreamId, ...]
    ) -> tuple[ids.UpstreamId, ...]:
        """Returns the upstreams that are preferred for a prefix, in order."""
        known = self._ranked.pop(key, None)
        if known is None or known[0] != upstreams:
            ranked = heapq.nlargest(
                RANKED_UPSTREAMS,
                upstreams,
                key=lambda name: rendezvous_weight(key, name),
            )
            known = (upstreams, tuple(ranked))
        self._ranked[key] = known
        if len(self._ranked) > MAX_PREFIXES:
            del self._ranked[next(iter(self._ranked))]
        return known[1]


def _sample(
    candidates: list[Candidate], prompt: Prompt, source: random.Random
) -> list[Candidate]:
    """Returns a random sample, in random order so that ties are at random.

    An upstream that is twice as slow holds its slots twice as long, so it is
    drawn half as often. Without this weight it would get as many requests as
    the others wherever the reports of load are too old to tell them apart.
    """
    is_even = all(item.speed == 1.0 for item in candidates)
    count = SAMPLE_SIZE if is_even else UNEVEN_SAMPLE_SIZE
    if prompt.is_long:
        count = LONG_SAMPLE_SIZE
    count = min(count, len(candidates))
    if is_even:
        return source.sample(candidates, count)
    # The keys of weighted sampling without replacement: the first points of
    # Poisson processes with the weights as rates.
    keys = {
        item.upstream: source.expovariate(1.0) * item.speed / item.slots
        for item in candidates
    }
    ranked = sorted(candidates, key=lambda item: keys[item.upstream])
    return ranked[:count]


def rendezvous_weight(key: str, upstream: ids.UpstreamId) -> int:
    """Returns an upstream's weight for a key in rendezvous hashing.

    The upstream with the greatest weight is preferred.
    """
    data = f'{key}/{upstream}'.encode()
    return int.from_bytes(hashlib.blake2b(data, digest_size=8).digest(), 'big')
