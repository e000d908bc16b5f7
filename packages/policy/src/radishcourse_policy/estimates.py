"""Mergeable sums of ratings and the odds that follow from them."""

import dataclasses
import math
import random
import statistics

# Draws use a belief this many times as firm. Draws from the belief itself
# cost 1.19 of hindsight, these 1.14 (docs/policies/cascade.md).
SAMPLE_WEIGHT = 10.0
# Ratings that a sum remembers; an older rating fades out.
LONG_WINDOW = 400.0
# Ratings of the short sum that shows a change early.
SHORT_WINDOW = 30.0
# A change of quality is assumed when the short sum differs by this many
# standard errors. At 3.5 an unchanged model was reset once in 300,000
# ratings, but after a drop the worst gap was 0.015 instead of 0.008.
CHANGE_STANDARD_ERRORS = 3.0
# Ratings as which what is known of the other organisations counts.
MAX_POOLED_WEIGHT = 8.0
# What is assumed of a model that was never rated.
PRIOR_MEAN = 0.5
PRIOR_WEIGHT = 2.0
_NORMAL = statistics.NormalDist()


@dataclasses.dataclass(frozen=True)
class Posterior:
    """Belief about the share of good answers, as a Beta distribution.

    Attributes:
      good: Ratings that were good, with the share of the prior.
      bad: Ratings that were not.
    """

    good: float
    bad: float

    @property
    def weight(self) -> float:
        """Ratings that the belief rests on."""
        return self.good + self.bad

    @property
    def mean(self) -> float:
        """The expected share."""
        return self.good / self.weight

    def lower_bound(self, confidence: float) -> float:
        """Returns the lower Wilson bound at a one-sided confidence."""
        z = _NORMAL.inv_cdf(confidence)
        weight, mean = self.weight, self.mean
        centre = mean + z * z / (2 * weight)
        spread = z * math.sqrt(
            mean * (1 - mean) / weight + z * z / (4 * weight * weight)
        )
        return max(0.0, (centre - spread) / (1 + z * z / weight))

    def sample(self, random_source: random.Random) -> float:
        """Returns a share drawn from the belief."""
        return random_source.betavariate(
            SAMPLE_WEIGHT * self.good, SAMPLE_WEIGHT * self.bad
        )


@dataclasses.dataclass
class Sums:
    """Sums over the attempts of one model; sums of nodes are added.

    Attributes:
      rated: Ratings, older ones with a lower weight.
      good: Those that were good.
      recent_rated: The same with a short memory.
      recent_good: The same with a short memory.
      runs: Answers with a known cost and time, older ones fading.
      cost: Their cost in micro-units.
      seconds: Their time.
      seconds_squared: The squares of their time.
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
        """Adds a rating; tells whether the earlier ones were given up."""
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
        keep = 1 - 1 / LONG_WINDOW
        self.runs = self.runs * keep + 1
        self.cost = self.cost * keep + cost
        self.seconds = self.seconds * keep + seconds
        self.seconds_squared = self.seconds_squared * keep + seconds * seconds

    def add(self, other: 'Sums', factor: int = 1) -> None:
        """Adds the sums of another node; a factor of -1 takes them off."""
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
    """Returns the odds of an organisation's model.

    Args:
      own: Sums of the organisation and kind.
      pooled: Sums of the model over all organisations and kinds; they count
        as at most `POOLED_WEIGHT` ratings.
    """
    weight = min(MAX_POOLED_WEIGHT, pooled.rated) + PRIOR_WEIGHT
    share = (pooled.good + PRIOR_WEIGHT * PRIOR_MEAN) / (
        pooled.rated + PRIOR_WEIGHT
    )
    bad = max(0.0, own.rated - own.good)
    return Posterior(
        max(0.0, own.good) + weight * share, bad + weight * (1 - share)
    )
