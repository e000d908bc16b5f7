"""Chooses the upstream for one attempt.

The score of an upstream is the expected time to the first token: the wait
for a slot, the prefill of the part of the prompt that is not cached, and the
network delay to its availability zone. Only two upstreams sampled at random
and those that are likely to have the prompt cached are compared, so that
nodes with the same stale reports do not all choose the same upstream.
"""

import dataclasses
import math
import random
import statistics

from radishcourse_model import ids
from radishcourse_policy import evenload

# Times assumed until some were observed.
DEFAULT_SERVICE_S = 1.0
DEFAULT_PREFILL_S = 0.3
CROSS_ZONE_DELAY_S = 0.001
# A smaller cached share is ignored: it is likely to be evicted before use.
MIN_CACHED_SHARE = 0.05
# Upstreams sampled at random for each choice.
SAMPLE_SIZE = 2
_NORMAL = statistics.NormalDist()


@dataclasses.dataclass(frozen=True)
class Candidate:
    """An upstream that could take an attempt.

    Attributes:
      upstream: The upstream.
      slots: Number of requests that it runs concurrently.
      in_flight: Requests that this node currently has in flight there.
      reported: Load in its last report, in requests.
      report_age_s: Age of that report.
      same_zone: Whether it is in this node's availability zone.
      cached_share: Share of the prompt that it is likely to have cached.
      cold: Whether it is cold, so that a request needs a permit.
      in_flight_at_report: Requests of this node that are counted in the
        report.
      service_s: Mean time for which a request occupies a slot.
      prefill_s: Time to process the prompt if none of it is cached.
      preferred: Whether all nodes pick this upstream for the prompt's prefix,
        even without knowing where the prefix is cached.
    """

    upstream: ids.UpstreamId
    slots: int
    in_flight: int = 0
    reported: float = 0.0
    report_age_s: float = 0.0
    same_zone: bool = True
    cached_share: float = 0.0
    cold: bool = False
    in_flight_at_report: int = 0
    service_s: float = DEFAULT_SERVICE_S
    prefill_s: float = DEFAULT_PREFILL_S
    preferred: bool = False

    @property
    def reported_others(self) -> float:
        """Load of other nodes in the last report, in requests."""
        return max(0.0, self.reported - self.in_flight_at_report)


def choose(
    candidates: list[Candidate], random_source: random.Random
) -> Candidate | None:
    """Returns the upstream that is expected to give the first token earliest.

    Only the sampled, cached and preferred candidates are compared. Cold ones
    are considered only if there are no others.

    Args:
      candidates: The upstreams to choose from.
      random_source: Source of the random sample.

    Returns:
      The chosen upstream, None if there are no candidates.
    """
    warm = [item for item in candidates if not item.cold] or candidates
    if not warm:
        return None
    sampled = random_source.sample(warm, min(SAMPLE_SIZE, len(warm)))
    sampled += [
        item
        for item in warm
        if item.preferred or item.cached_share >= MIN_CACHED_SHARE
    ]
    mean = statistics.fmean(item.reported_others / item.slots for item in warm)
    return min(sampled, key=lambda item: expected_seconds(item, mean))


def expected_seconds(
    candidate: Candidate, mean_others_per_slot: float
) -> float:
    """Returns the expected time to the first token, in seconds.

    The load is modelled as normally distributed; it is the more uncertain, the
    older the report is.

    Args:
      candidate: The upstream.
      mean_others_per_slot: Load of other nodes per slot, averaged over all
        upstreams; this mean replaces the report as it grows stale.
    """
    report_weight = evenload.report_weight(
        candidate.report_age_s, candidate.service_s
    )
    others = evenload.aged(
        candidate.reported_others,
        mean_others_per_slot * candidate.slots,
        report_weight,
    )
    load = candidate.in_flight + others
    # The change since the report is assumed to vary like a Poisson count.
    deviation = math.sqrt(0.25 + (1 - report_weight) * others)
    excess = (load + 1 - candidate.slots) / deviation
    waiting = deviation * (_NORMAL.pdf(excess) + excess * _NORMAL.cdf(excess))
    seconds = waiting * candidate.service_s / candidate.slots
    seconds += (1 - candidate.cached_share) * candidate.prefill_s
    return seconds if candidate.same_zone else seconds + CROSS_ZONE_DELAY_S


def choose_power_of_two(
    candidates: list[Candidate], random_source: random.Random
) -> Candidate | None:
    """Returns the less loaded of two random candidates.

    This is the baseline to which `choose` is compared.
    """
    sampled = random_source.sample(candidates, min(2, len(candidates)))
    return min(
        sampled, key=lambda item: (item.in_flight + item.reported) / item.slots
    )
