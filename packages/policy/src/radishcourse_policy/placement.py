"""Choice of the upstream for one attempt.

The score of an upstream is the expected time to the first token: the wait
for a slot, the part of the prompt that is not cached, and the way to its
zone. Only two upstreams drawn at random and those that are likely to have
the prompt cached are compared, so that nodes with the same old reports do
not all choose the same upstream.
"""

import dataclasses
import math
import random
import statistics

from radishcourse_model import ids

# Assumed times until some were observed, in seconds.
SERVICE_S = 1.0
PREFILL_S = 0.3
ZONE_DELAY_S = 0.001
# A cached part is worth nothing when it is likely to be evicted before use.
MIN_CACHED_SHARE = 0.05
# A report loses trust with this share of a service time. With 1 and 2 the
# p99 time was higher in every trial (docs/policies/placement.md).
TRUST_SERVICES = 0.5
DRAWN = 2
_NORMAL = statistics.NormalDist()


@dataclasses.dataclass(frozen=True)
class Candidate:
    """An upstream that could take an attempt.

    Attributes:
      upstream: The upstream.
      slots: Requests that it runs at once.
      in_flight: Requests of this node that it runs now.
      reported: Load that it reported last, in requests.
      report_age_s: Age of that report.
      same_zone: Whether it is in this node's availability zone.
      cached_share: Share of the prompt that it is likely to have cached.
      cold: Whether it needs a permit.
      in_flight_then: Requests of this node in that report.
      service_s: Mean time for which a request keeps a slot.
      prefill_s: Time to process the prompt when nothing of it is cached.
      preferred: Whether nodes that know nothing of the prompt's place agree
        on this upstream for it.
    """

    upstream: ids.UpstreamId
    slots: int
    in_flight: int = 0
    reported: float = 0.0
    report_age_s: float = 0.0
    same_zone: bool = True
    cached_share: float = 0.0
    cold: bool = False
    in_flight_then: int = 0
    service_s: float = SERVICE_S
    prefill_s: float = PREFILL_S
    preferred: bool = False

    @property
    def others(self) -> float:
        """Requests of other nodes in the last report."""
        return max(0.0, self.reported - self.in_flight_then)


def choose(
    candidates: list[Candidate], random_source: random.Random
) -> Candidate | None:
    """Returns the upstream with the least expected time to a first token."""
    warm = [item for item in candidates if not item.cold] or candidates
    if not warm:
        return None
    drawn = random_source.sample(warm, min(DRAWN, len(warm)))
    drawn += [
        item
        for item in warm
        if item.preferred or item.cached_share >= MIN_CACHED_SHARE
    ]
    mean = statistics.fmean(item.others / item.slots for item in warm)
    return min(drawn, key=lambda item: expected_seconds(item, mean))


def expected_seconds(candidate: Candidate, mean_others: float) -> float:
    """Returns the expected time to the first token.

    Args:
      candidate: The upstream.
      mean_others: Requests of other nodes for each slot, over all
        upstreams; an old report is worth no more than this mean.
    """
    trust = math.exp(
        -candidate.report_age_s / (TRUST_SERVICES * candidate.service_s)
    )
    others = trust * candidate.others + (1 - trust) * (
        mean_others * candidate.slots
    )
    load = candidate.in_flight + others
    # What changed since the report is about as large as a Poisson count.
    spread = math.sqrt(0.25 + (1 - trust) * others)
    excess = (load + 1 - candidate.slots) / spread
    waiting = spread * (_NORMAL.pdf(excess) + excess * _NORMAL.cdf(excess))
    seconds = waiting * candidate.service_s / candidate.slots
    seconds += (1 - candidate.cached_share) * candidate.prefill_s
    return seconds if candidate.same_zone else seconds + ZONE_DELAY_S


def choose_of_two(
    candidates: list[Candidate], random_source: random.Random
) -> Candidate | None:
    """Returns the less loaded of two candidates; a baseline."""
    drawn = random_source.sample(candidates, min(2, len(candidates)))
    return min(
        drawn, key=lambda item: (item.in_flight + item.reported) / item.slots
    )
