"""Choice of the upstream for one attempt."""

import dataclasses
import random

from radishcourse_model import ids


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
    """

    upstream: ids.UpstreamId
    slots: int
    in_flight: int = 0
    reported: float = 0.0
    report_age_s: float = 0.0
    same_zone: bool = True
    cached_share: float = 0.0
    cold: bool = False


def choose(
    candidates: list[Candidate], random_source: random.Random
) -> Candidate | None:
    """Returns the less loaded of two candidates drawn at random."""
    warm = [item for item in candidates if not item.cold] or candidates
    if not warm:
        return None
    drawn = random_source.sample(warm, min(2, len(warm)))
    return min(drawn, key=_load)


def _load(candidate: Candidate) -> float:
    return (candidate.in_flight + candidate.reported) / candidate.slots
