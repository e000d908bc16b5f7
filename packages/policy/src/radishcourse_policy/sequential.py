"""Sequential tests of a share of bad outcomes against a reference.

Evidence is the natural logarithm of a likelihood ratio. Under the
hypothesis that the share is no higher than the reference, the chance that
the evidence of `harm` ever exceeds ln(1/a) is at most a (Ville's inequality
for mixtures of likelihood ratios), however often one looks.
"""

import math
import statistics

import msgspec

_GRID = 16
# Confidence of the bounds on the reference, which is itself an estimate.
_REFERENCE_CONFIDENCE = 0.99
_Z = statistics.NormalDist().inv_cdf(_REFERENCE_CONFIDENCE)
# A reference of exactly 0 or 1 would make one outcome decide.
_LOWEST = 0.002
_HIGHEST = 0.98


class Tally(msgspec.Struct):
    """Counts of outcomes; tallies of nodes are added."""

    total: int = 0
    bad: int = 0

    def add(self, other: 'Tally') -> None:
        """Adds the counts of another tally."""
        self.total += other.total
        self.bad += other.bad

    def bound(self, upper: bool) -> float:
        """Returns an upper or a lower bound on the share of bad outcomes."""
        if not self.total:
            return _HIGHEST if upper else _LOWEST
        share, weight = self.bad / self.total, self.total
        centre = share + _Z * _Z / (2 * weight)
        spread = _Z * math.sqrt(
            share * (1 - share) / weight + _Z * _Z / (4 * weight * weight)
        )
        bound = centre + spread if upper else centre - spread
        bound /= 1 + _Z * _Z / weight
        return min(_HIGHEST, max(_LOWEST, bound))


def ratio(tally: Tally, alternative: float, reference: float) -> float:
    """Returns the log likelihood ratio of two shares of bad outcomes."""
    good = tally.total - tally.bad
    return tally.bad * math.log(alternative / reference) + good * math.log(
        (1 - alternative) / (1 - reference)
    )


def harm(tally: Tally, reference: Tally) -> float:
    """Returns the evidence that a tally is worse than its reference."""
    start = reference.bound(upper=True)
    grid = [
        start + (0.99 - start) * ((index + 1) / _GRID) ** 2
        for index in range(_GRID)
    ]
    return _mixture([ratio(tally, share, start) for share in grid])


def harmlessness(tally: Tally, reference: Tally, margin: float) -> float:
    """Returns the evidence that a tally is not worse by a margin."""
    limit = min(_HIGHEST, reference.bound(upper=False) + margin)
    grid = [limit * (index + 0.5) / _GRID for index in range(_GRID)]
    return _mixture([ratio(tally, share, limit) for share in grid])


def watch(
    evidence: float, tally: Tally, reference: Tally, margin: float
) -> float:
    """Returns the evidence of a change for the worse after more outcomes.

    It is Page's CUSUM: evidence for the reference is not saved up, so that
    a long good time does not delay the detection of a change.
    """
    start = reference.bound(upper=True)
    alternative = min(0.99, start + margin)
    return max(0.0, evidence + ratio(tally, alternative, start))


def _mixture(ratios: list[float]) -> float:
    highest = max(ratios)
    total = sum(math.exp(item - highest) for item in ratios)
    return highest + math.log(total / len(ratios))
