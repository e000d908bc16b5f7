"""Choice of a model size for a request, and when to ask a larger one.

The smallest model answers first. Its own confidence, which comes before the
first event, tells how likely the answer is too poor; a larger model is
asked when what a good answer is worth outweighs the larger model's cost.

Load pattern: a mix of requests of which most are easy, where a large model
costs up to fifteen times as much and takes up to ten times as long.
"""

import dataclasses

from radishcourse_model import ids

# Value of a request for each thousand of prompt + 10 x output tokens, in
# the unit of the models' costs. The settings may replace it.
VALUE_PER_1K = 0.45
# Weight of an output token against a prompt token in a request's value, and
# of a prompt token against an output token in a model's cost (the contract).
OUTPUT_WEIGHT = 10.0
PROMPT_COST = 0.25
# Confidence at which an answer is as likely poor as good. Opinions are
# rough: the chance falls linearly from certain to none over the spread.
EVEN_CONFIDENCE = 50.0
SPREAD = 60.0


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
    chance = 0.5 + (EVEN_CONFIDENCE - confidence) / SPREAD
    return min(1.0, max(0.0, chance))


def larger(
    models: tuple[ids.ModelId, ...],
    used: ids.ModelId,
    confidence: float | None,
    size: Size,
    costs: dict[ids.ModelId, float],
    value_per_1k: float = VALUE_PER_1K,
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
    """
    largest = models[-1]
    if used == largest or confidence is None:
        return None
    gain = chance_poor(confidence) * size.value * value_per_1k
    if gain <= size.cost(costs.get(largest, 0.0)):
        return None
    return largest
