"""Choice of the step of a cascade on which a job starts or goes on."""

import dataclasses

from radishcourse_model import ids


@dataclasses.dataclass(frozen=True)
class Step:
    """A step that a job may take.

    Attributes:
      model: The model.
      cost: Expected cost in micro-units.
      seconds: Expected time to a whole answer.
      good: Probability that its answer is rated good.
      bound: Lower confidence bound on `good`.
    """

    model: ids.ModelId
    cost: float
    seconds: float
    good: float
    bound: float


@dataclasses.dataclass(frozen=True)
class Choice:
    """The decision for the next attempt.

    Attributes:
      index: Index of the step.
      rate: Whether its answer is to be rated before it is given out.
    """

    index: int
    rate: bool


def choose(
    steps: list[Step],
    target: float,
    seconds_left: float,
    streamed: bool,
    rating_works: bool,
) -> Choice:
    """Returns the step on which a job starts.

    A job whose answer can be rated starts on the cheapest step; one whose
    answer cannot (it is streamed, or the rating service is down) goes to the
    cheapest step whose lower bound meets the target, else to the last.

    Args:
      steps: Allowed steps, from the cheapest; not empty.
      target: Share of answers that must be good.
      seconds_left: Time to the deadline.
      streamed: Whether the answer is given out as it is made.
      rating_works: Whether the rating service answers in time.
    """
    last = len(steps) - 1
    if streamed or not rating_works:
        for index, step in enumerate(steps):
            if step.bound >= target and step.seconds <= seconds_left:
                return Choice(index, rate=False)
        return Choice(last, rate=False)
    for index, step in enumerate(steps[:-1]):
        following = steps[index + 1]
        if step.seconds + following.seconds <= seconds_left:
            return Choice(index, rate=True)
    return Choice(last, rate=False)
