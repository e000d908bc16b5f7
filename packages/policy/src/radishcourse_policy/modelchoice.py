"""Choice of a model size for a request, and when to ask a larger one.

The smallest model answers first. Its own confidence, which comes before the
first event, tells how likely the answer is too poor; a larger model is
asked when what a good answer is worth outweighs the larger model's cost.

Load pattern: a mix of requests of which half are easy, where a large model
costs up to fifteen times as much and takes up to ten times as long; and
bursts, or a loss of upstreams, in which large models hold up all others.
"""

import dataclasses
import math

from radishcourse_model import ids

# Value of a request for each thousand of prompt + 10 x output tokens, in
# the unit of the models' costs. The settings may replace it.
VALUE_PER_1K = 0.45
# Weight of an output token against a prompt token in a request's value, and
# of a prompt token against an output token in a model's cost (the contract).
OUTPUT_WEIGHT = 10.0
PROMPT_COST = 0.25
# Confidence at which an answer is as likely poor as good, and how fast the
# chance falls around it (a logistic curve). Half of the answers of the
# smallest model say less than 20 or more than 80.
EVEN_CONFIDENCE = 50.0
SCALE = 4.0
# What a second of reading costs the requests that wait behind it, in the
# unit of the models' costs, once the wait is as long as the second number.
WAIT_COST_PER_S = 8.0
FULL_WAIT_S = 1.0
# Shares of the slots at which a second run begins to cost the others, and at
# which it costs them as much as it can gain.
FREE_SLOTS = 0.3
FULL_SLOTS = 0.8


@dataclasses.dataclass(frozen=True)
class Size:
    """A request's size in tokens."""

    prompt: int
    output: int

    @property
    def value(self) -> float:
        """Thousands of tokens, weighted as in a request's value."""
        return (self.prompt + OUTPUT_WEIGHT * self.output) / 1000

    def cost(self, per_1k: float) -> float:
        """Returns what a model costs for it."""
        return per_1k * (PROMPT_COST * self.prompt + self.output) / 1000


def chance_poor(confidence: float) -> float:
    """Returns the chance that an answer is too poor.

    Args:
      confidence: The model's opinion, 0 to 100.
    """
    return 1 / (1 + math.exp((confidence - EVEN_CONFIDENCE) / SCALE))


def crowding(occupied: float) -> float:
    """Returns the part of a request's value that a second run costs others.

    All requests of an upstream share its steps, so a large model's run
    delays the others by more, the more of them there are.

    Args:
      occupied: Share of the upstreams' slots that are taken.
    """
    part = (occupied - FREE_SLOTS) / (FULL_SLOTS - FREE_SLOTS)
    return min(1.0, max(0.0, part))


def wait_cost(reading_s: float, waiting_s: float) -> float:
    """Returns what reading a prompt costs the requests behind it.

    Args:
      reading_s: Time to read the prompt.
      waiting_s: Time that prompts wait already.
    """
    return WAIT_COST_PER_S * reading_s * min(1.0, waiting_s / FULL_WAIT_S)


def larger(
    models: tuple[ids.ModelId, ...],
    used: ids.ModelId,
    confidence: float | None,
    size: Size,
    costs: dict[ids.ModelId, float],
    value_per_1k: float = VALUE_PER_1K,
    reading_s: float = 0.0,
    waiting_s: float = 0.0,
    occupied: float = 0.0,
) -> ids.ModelId | None:
    """Returns the model to ask instead, None to keep the answer.

    The largest model is asked at once: a middle one costs a run more and
    often has to be repeated as well.

    Args:
      models: Models to choose from, smallest first.
      used: The model that answered.
      confidence: Its opinion, None when it gave none.
      size: The request's size.
      costs: Cost of a thousand tokens by model.
      value_per_1k: Value of a thousand weighted tokens.
      reading_s: Time that the largest model takes to read the prompt.
      waiting_s: Time that prompts wait at the upstreams now, on the mean.
      occupied: Share of the upstreams' slots that are taken.
    """
    largest = models[-1]
    if used == largest or confidence is None:
        return None
    gain = chance_poor(confidence) * size.value * value_per_1k
    cost = size.cost(costs.get(largest, 0.0))
    cost += wait_cost(reading_s, waiting_s)
    cost += crowding(occupied) * size.value * value_per_1k
    if gain <= cost:
        return None
    return largest
