"""Mergeable sums of ratings, and the answer quality estimated from them."""

import dataclasses
import math
import random
import statistics

# Samples are drawn from a posterior with its weight multiplied by this factor.
# It lowered the cost from 1.19 to 1.14 times the least cost in hindsight
# (docs/policies/cascade.md).
SAMPLE_WEIGHT = 10.0
# Number of samples over which the long-term sums decay exponentially.
LONG_WINDOW = 400.0
# Number of ratings over which the short-term sums decay; they show a change of
# quality early.
SHORT_WINDOW = 30.0
# A change of quality is assumed if the short-term mean differs from the older
# one by this many standard errors. At 3.5 a model of unchanged quality was
# reset only once in 300,000 ratings, but after a drop of quality the worst gap
# to a target was 0.015 instead of 0.008.
CHANGE_STANDARD_ERRORS = 3.0
# The pooled ratings of all organisations count as at most so many ratings.
MAX_POOLED_WEIGHT = 8.0
# Prior of a model that was never rated; the weight is a number of ratings.
PRIOR_MEAN = 0.5
PRIOR_WEIGHT = 2.0
_NORMAL = statistics.NormalDist()


@dataclasses.dataclass(frozen=True)
class Posterior:
    """Beta distribution of the share of good answers.

    Attributes:
      good: Number of good ratings, including those of the prior.
      bad: Number of bad ratings, including those of the prior.
    """

    good: float
    bad: float

    @property
    def weight(self) -> float:
        """Number of ratings, including those of the prior."""
        return self.good + self.bad

    @property
    def mean(self) -> float:
        """Expected share of good answers."""
        return self.good / self.weight

    def lower_bound(self, confidence: float) -> float:
        """Returns the lower Wilson score bound at a one-sided confidence."""
        z = _NORMAL.inv_cdf(confidence)
        weight, mean = self.weight, self.mean
        centre = mean + z * z / (2 * weight)
        margin = z * math.sqrt(
            mean * (1 - mean) / weight + z * z / (4 * weight * weight)
        )
        return max(0.0, (centre - margin) / (1 + z * z / weight))

    def sample(self, random_source: random.Random) -> float:
        """Returns a random share of good answers for Thompson sampling."""
        return random_source.betavariate(
            SAMPLE_WEIGHT * self.good, SAMPLE_WEIGHT * self.bad
        )


@dataclasses.dataclass
class Sums:
    """Exponentially decaying sums over the answers of one model.

    The sums of several nodes are merged by addition.

    Attributes:
      rated: Number of ratings.
      good: Number of good ratings.
      recent_rated: Number of ratings, decaying over SHORT_WINDOW.
      recent_good: Number of good ratings, decaying over SHORT_WINDOW.
      runs: Number of answers with a known cost and time.
      cost: Their cost in micro-units.
      seconds: Their time to the whole answer.
      seconds_squared: Squares of that time, for its variance.
    """

    rated: float = 0.0
    good: float = 0.0
    recent_rated: float = 0.0
    recent_good: float = 0.0
    runs: float = 0.0
    cost: float = 0.0
    seconds: float = 0.0
    seconds_squared: float = 0.0

    def note_rating(self, good: bool) -> bool:
        """Adds a rating.

        Returns:
          Whether a change of quality was detected; if so, only the recent
          ratings are kept.
        """
        self.rated = self.rated * (1 - 1 / LONG_WINDOW) + 1
        self.good = self.good * (1 - 1 / LONG_WINDOW) + good
        self.recent_rated = self.recent_rated * (1 - 1 / SHORT_WINDOW) + 1
        self.recent_good = self.recent_good * (1 - 1 / SHORT_WINDOW) + good
        if not self._has_changed():
            return False
        self.rated, self.good = self.recent_rated, self.recent_good
        return True

    def note_run(self, cost: float, seconds: float) -> None:
        """Adds the cost and the time of an answer."""
        decay = 1 - 1 / LONG_WINDOW
        self.runs = self.runs * decay + 1
        self.cost = self.cost * decay + cost
        self.seconds = self.seconds * decay + seconds
        self.seconds_squared = self.seconds_squared * decay + seconds * seconds

    def add(self, other: 'Sums', factor: int = 1) -> None:
        """Adds other sums; a factor of -1 subtracts them."""
        self.rated += factor * other.rated
        self.good += factor * other.good
        self.recent_rated += factor * other.recent_rated
        self.recent_good += factor * other.recent_good
        self.runs += factor * other.runs
        self.cost += factor * other.cost
        self.seconds += factor * other.seconds
        self.seconds_squared += factor * other.seconds_squared

    def _has_changed(self) -> bool:
        older = self.rated - self.recent_rated
        if older < SHORT_WINDOW or self.recent_rated < SHORT_WINDOW / 3:
            return False
        mean = (self.good - self.recent_good) / older
        mean = min(0.98, max(0.02, mean))
        weight = min(self.recent_rated, 2 * SHORT_WINDOW)
        error = math.sqrt(mean * (1 - mean) / weight)
        recent = self.recent_good / self.recent_rated
        return abs(recent - mean) > CHANGE_STANDARD_ERRORS * error


def make_posterior(own: Sums, pooled: Sums) -> Posterior:
    """Returns the estimated quality of a model for an organisation and kind.

    Args:
      own: Sums of the organisation and kind.
      pooled: Sums of the model over all organisations and kinds, which serve
        as the prior.
    """
    weight = min(MAX_POOLED_WEIGHT, pooled.rated) + PRIOR_WEIGHT
    share = (pooled.good + PRIOR_WEIGHT * PRIOR_MEAN) / (
        pooled.rated + PRIOR_WEIGHT
    )
    bad = max(0.0, own.rated - own.good)
    return Posterior(
        max(0.0, own.good) + weight * share, bad + weight * (1 - share)
    )
