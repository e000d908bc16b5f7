"""Sequential tests of a share of bad outcomes against a reference.

Evidence is the natural logarithm of a likelihood ratio. If the share is no
higher than the reference, the probability that `inferiority` ever exceeds
ln(1/a) is at most a, however often it is evaluated (Ville's inequality for
mixtures of likelihood ratios).
"""

import math
import statistics

import msgspec

# Alternatives in a mixture of likelihood ratios.
_GRID_SIZE = 16
# Confidence of each bound on the reference share, which is itself an estimate.
_REFERENCE_CONFIDENCE = 0.99
_Z = statistics.NormalDist().inv_cdf(_REFERENCE_CONFIDENCE)
# With a reference share of exactly 0 or 1, a single outcome would decide.
_MIN_SHARE = 0.002
_MAX_SHARE = 0.98


class Tally(msgspec.Struct):
    """Counts of outcomes, which can be added over nodes.

    Attributes:
      total: All outcomes.
      bad: Outcomes that count against the version.
    """

    total: int = 0
    bad: int = 0

    def add(self, other: 'Tally') -> None:
        """Adds the counts of another tally."""
        self.total += other.total
        self.bad += other.bad

    def bound(self, upper: bool) -> float:
        """Returns a bound of the Wilson interval of the share of bad outcomes.

        Args:
          upper: Whether to return the upper bound rather than the lower one.
        """
        if not self.total:
            return _MAX_SHARE if upper else _MIN_SHARE
        share, weight = self.bad / self.total, self.total
        centre = share + _Z * _Z / (2 * weight)
        half_width = _Z * math.sqrt(
            share * (1 - share) / weight + _Z * _Z / (4 * weight * weight)
        )
        bound = centre + half_width if upper else centre - half_width
        bound /= 1 + _Z * _Z / weight
        return min(_MAX_SHARE, max(_MIN_SHARE, bound))


def log_likelihood_ratio(
    tally: Tally, alternative: float, reference: float
) -> float:
    """Returns the log likelihood ratio of two shares of bad outcomes.

    Args:
      tally: The observed outcomes.
      alternative: Share in the numerator, strictly between 0 and 1.
      reference: Share in the denominator, strictly between 0 and 1.
    """
    good = tally.total - tally.bad
    return tally.bad * math.log(alternative / reference) + good * math.log(
        (1 - alternative) / (1 - reference)
    )


def inferiority(tally: Tally, reference: Tally) -> float:
    """Returns the evidence that the share is higher than the reference's."""
    null_share = reference.bound(upper=True)
    grid = [
        null_share + (0.99 - null_share) * ((index + 1) / _GRID_SIZE) ** 2
        for index in range(_GRID_SIZE)
    ]
    return _mixture(
        [log_likelihood_ratio(tally, share, null_share) for share in grid]
    )


def non_inferiority(tally: Tally, reference: Tally, margin: float) -> float:
    """Returns the evidence that the share is not higher by a margin.

    Args:
      tally: The observed outcomes.
      reference: Outcomes to compare with.
      margin: Tolerated increase of the share.
    """
    null_share = min(_MAX_SHARE, reference.bound(upper=False) + margin)
    grid = [
        null_share * (index + 0.5) / _GRID_SIZE for index in range(_GRID_SIZE)
    ]
    return _mixture(
        [log_likelihood_ratio(tally, share, null_share) for share in grid]
    )


def cusum(
    evidence: float, tally: Tally, reference: Tally, margin: float
) -> float:
    """Returns the evidence of a change for the worse after more outcomes.

    This is Page's CUSUM: it never falls below 0, so that a long period of
    good outcomes does not delay the detection of a change.

    Args:
      evidence: Value before these outcomes.
      tally: New outcomes.
      reference: Outcomes to compare with.
      margin: Increase of the share that is to be detected.
    """
    null_share = reference.bound(upper=True)
    alternative = min(0.99, null_share + margin)
    return max(
        0.0, evidence + log_likelihood_ratio(tally, alternative, null_share)
    )


def _mixture(ratios: list[float]) -> float:
    highest = max(ratios)
    total = sum(math.exp(item - highest) for item in ratios)
    return highest + math.log(total / len(ratios))
