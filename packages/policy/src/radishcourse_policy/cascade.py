"""Chooses the steps of a cascade on which a job may run.

A plan starts on one step and may escalate up to another. Plans differ in
expected cost and in the expected share of good answers. The cheapest mixture
of plans that reaches a quality target follows the lower convex hulls of
(quality, cost), one of streamed jobs and one of others, and takes their
segments in the order of their slopes, the least cost per quality first. The
deficit of good answers, among those returned so far, raises the quality that
the mixture must reach; a surplus lowers it.
"""

import dataclasses
import enum
import itertools
import math
import random
import statistics

from radishcourse_model import ids
from radishcourse_policy import estimates

# Number of jobs over which a deficit of good answers is made up.
DEFICIT_HORIZON_JOBS = 100.0
# Bounds of the deficit, in good answers. The surplus is bounded so that an old
# one does not make up for a model whose quality has dropped.
MAX_SURPLUS = 15.0
MAX_DEFICIT = 60.0
# Probability with which a returned answer is rated once its step has enough
# ratings and, in cascades of several steps, is known to meet the target.
AUDIT_PROBABILITY = 0.5
# With fewer ratings of a step, every answer of it is rated.
MIN_RATINGS = 40.0
_NORMAL = statistics.NormalDist()


class RatingState(enum.Enum):
    """Whether the rating service can be used."""

    WORKS = 'works'
    DOWN = 'down'


@dataclasses.dataclass(frozen=True)
class Step:
    """A step of a cascade with its estimates.

    Attributes:
      model: The model.
      cost: Expected cost in micro-units.
      seconds: Expected time to the whole answer.
      variance: Variance of that time, in square seconds.
      direct: Estimated quality of jobs that start on this step.
      escalated: Estimated quality after the step before gave a bad answer.
    """

    model: ids.ModelId
    cost: float
    seconds: float
    variance: float
    direct: estimates.Posterior
    escalated: estimates.Posterior


@dataclasses.dataclass(frozen=True)
class ChoiceInputs:
    """Inputs of the choice for one job.

    Attributes:
      steps: Allowed steps, cheapest first; not empty.
      target: Share of answers that must be good.
      confidence: Confidence with which a step must meet the target before its
        answers are rated only by sample, or not at all.
      seconds_left: Time to the deadline.
      streamed: Whether the answer is streamed to the caller, so that it can't
        be rated before.
      rating: Whether the rating service can be used.
      rating_seconds: Expected time of a rating.
      deficit: Number of good answers by which those returned so far fall
        short of the target; negative for a surplus.
      streamed_share: Share of streamed jobs among those of the same
        organisation and kind.
    """

    steps: list[Step]
    target: float
    confidence: float
    seconds_left: float
    streamed: bool
    rating: RatingState
    rating_seconds: float = 0.0
    deficit: float = 0.0
    streamed_share: float = 0.0


@dataclasses.dataclass(frozen=True)
class Choice:
    """The steps chosen for a job.

    Attributes:
      first: Index of the step on which it starts.
      last: Index of the last step to which it may escalate; answers of
        earlier steps are rated before they are returned.
      audit_probability: Probability with which an answer that is not rated
        before it is returned is rated afterwards.
    """

    first: int
    last: int
    audit_probability: float = 0.0


@dataclasses.dataclass(frozen=True)
class _Plan:
    first: int
    last: int
    cost: float
    quality: float


def choose(inputs: ChoiceInputs, random_source: random.Random) -> Choice:
    """Returns the steps on which a job may run."""
    if inputs.rating is RatingState.DOWN:
        return _choose_unrated(inputs)
    plans = _make_plans(inputs, random_source)
    needed = inputs.target + inputs.deficit / DEFICIT_HORIZON_JOBS
    plan = _choose_plan(inputs, plans, needed, random_source.random())
    return Choice(plan.first, plan.last, _audit_probability(inputs, plan))


def _choose_unrated(inputs: ChoiceInputs) -> Choice:
    # Without ratings a drop of quality can't be detected, so the cheapest step
    # is taken whose lower bound of quality meets the target.
    for index, step in enumerate(inputs.steps):
        certain = step.direct.lower_bound(inputs.confidence) >= inputs.target
        if certain and step.seconds <= inputs.seconds_left:
            return Choice(index, index)
    steps = inputs.steps
    for index in reversed(range(len(steps))):
        if steps[index].seconds <= inputs.seconds_left:
            return Choice(index, index)
    index = min(range(len(steps)), key=lambda item: steps[item].seconds)
    return Choice(index, index)


def _make_plans(
    inputs: ChoiceInputs, random_source: random.Random
) -> list[_Plan]:
    # Thompson sampling: a random quality in place of the mean keeps trying
    # steps that may turn out to be better.
    direct = [step.direct.sample(random_source) for step in inputs.steps]
    later = [step.escalated.sample(random_source) for step in inputs.steps]
    plans = []
    for start, step in enumerate(inputs.steps):
        cost, bad = step.cost, 1 - direct[start]
        mean, variance = step.seconds, step.variance
        quality = direct[start] * _on_time_probability(
            mean, variance, inputs.seconds_left
        )
        plans.append(_Plan(start, start, cost, quality))
        for index in range(start + 1, len(inputs.steps)):
            if inputs.streamed:
                break
            following = inputs.steps[index]
            mean += following.seconds + inputs.rating_seconds
            variance += following.variance
            cost += bad * following.cost
            quality += (
                bad
                * later[index]
                * _on_time_probability(mean, variance, inputs.seconds_left)
            )
            bad *= 1 - later[index]
            plans.append(_Plan(start, index, cost, quality))
    return plans


def _on_time_probability(mean: float, variance: float, limit: float) -> float:
    """Returns the probability that a log-normal time is within a limit."""
    if mean <= 0 or limit <= 0:
        return 1.0 if mean <= limit else 0.0
    log_variance = math.log1p(variance / (mean * mean))
    if log_variance <= 0:
        return 1.0 if mean <= limit else 0.0
    log_mean = math.log(mean) - log_variance / 2
    return _NORMAL.cdf((math.log(limit) - log_mean) / math.sqrt(log_variance))


def _choose_plan(
    inputs: ChoiceInputs, plans: list[_Plan], needed: float, uniform: float
) -> _Plan:
    """Returns the job's plan in the cheapest mixture of quality `needed`.

    Args:
      inputs: Inputs of the choice.
      plans: All plans of the job.
      needed: Share of good answers that the mixture must reach.
      uniform: Random number in [0, 1) that selects the plan in the mixture.
    """
    single = [plan for plan in plans if plan.first == plan.last]
    hulls = {True: _lower_hull(single), False: _lower_hull(plans)}
    shares = {True: inputs.streamed_share, False: 1 - inputs.streamed_share}
    missing = needed - sum(
        shares[key] * hull[0].quality for key, hull in hulls.items()
    )
    chosen = hulls[inputs.streamed][0]
    for _, streamed, cheaper, better in _segments(hulls):
        if missing <= 0:
            break
        gain = shares[streamed] * (better.quality - cheaper.quality)
        # The last segment that is needed applies to only a part of the jobs.
        if streamed is inputs.streamed and uniform * gain < missing:
            chosen = better
        missing -= gain
    return chosen


def _segments(hulls: dict[bool, list[_Plan]]):
    """Returns the segments of all hulls, the least cost per quality first."""
    segments = [
        (
            (better.cost - cheaper.cost) / (better.quality - cheaper.quality),
            streamed,
            cheaper,
            better,
        )
        for streamed, hull in hulls.items()
        for cheaper, better in itertools.pairwise(hull)
    ]
    return sorted(segments, key=lambda segment: segment[:2])


def _lower_hull(plans: list[_Plan]) -> list[_Plan]:
    """Returns the lower convex hull of plans in (quality, cost).

    Each plan on it is cheaper than any mixture of others of the same quality.
    The plans are in ascending order of quality.
    """
    hull: list[_Plan] = []
    for plan in sorted(plans, key=lambda item: (item.cost, -item.quality)):
        if hull and plan.quality <= hull[-1].quality:
            continue
        while len(hull) > 1 and _is_above(hull[-2], hull[-1], plan):
            hull.pop()
        hull.append(plan)
    return hull


def _is_above(first: _Plan, middle: _Plan, last: _Plan) -> bool:
    rise = (last.cost - first.cost) * (middle.quality - first.quality)
    return (middle.cost - first.cost) * (last.quality - first.quality) >= rise


def _audit_probability(inputs: ChoiceInputs, plan: _Plan) -> float:
    step = inputs.steps[plan.last]
    posterior = step.direct if plan.last == plan.first else step.escalated
    if posterior.weight < MIN_RATINGS:
        return 1.0
    # With a single step the ratings decide nothing.
    if len(inputs.steps) == 1:
        return AUDIT_PROBABILITY
    # A sample suffices only if the lower bound of quality meets the target.
    certain = posterior.lower_bound(inputs.confidence) >= inputs.target
    return AUDIT_PROBABILITY if certain else 1.0


@dataclasses.dataclass
class Balance:
    """Shortfall of good answers of one organisation and kind.

    Attributes:
      deficit: Number of good answers by which those returned so far fall
        short of the target; negative for a surplus.
      jobs: Number of jobs, decaying exponentially.
      streamed: Number of streamed jobs, decaying likewise.
    """

    deficit: float = 0.0
    jobs: float = 0.0
    streamed: float = 0.0

    @property
    def streamed_share(self) -> float:
        """Share of streamed jobs."""
        return self.streamed / self.jobs if self.jobs else 0.0

    def note_job(self, streamed: bool) -> None:
        """Counts a job on its arrival."""
        self.jobs = self.jobs * (1 - 1 / estimates.LONG_WINDOW) + 1
        self.streamed = (
            self.streamed * (1 - 1 / estimates.LONG_WINDOW) + streamed
        )

    def note_answer(
        self, target: float, good: bool, probability: float = 1.0
    ) -> None:
        """Adds a rated answer that was returned to the caller.

        Args:
          target: Share of answers that must be good.
          good: Whether it was rated good.
          probability: Probability with which this answer was rated. Its weight
            is the inverse, so that it also stands for unrated answers.
        """
        deficit = self.deficit + (target - good) / probability
        self.deficit = max(-MAX_SURPLUS, min(MAX_DEFICIT, deficit))
