"""Decides whether a request is repeated on a larger model.

The smallest model answers first and reports its confidence ahead of the first
event of the stream. The request is repeated on the largest model if the
expected gain, which is the probability of a poor answer times the value of a
good one, exceeds the cost of the larger model and of the delay it causes.

Expected load: about half of the requests are easy, and a large model costs up
to fifteen times as much and takes up to ten times as long. In bursts, or when
upstreams are lost, runs of large models delay all other requests.
"""

import dataclasses
import math

from radishcourse_model import ids

# Value of a good answer per thousand weighted tokens (prompt + 10 x output),
# in the unit of the models' costs. Default of value_per_1k_tokens.
VALUE_PER_1K = 0.45
# Weight of an output token relative to a prompt token in a request's value,
# and of a prompt token relative to an output token in a model's cost. Both
# are fixed by the contract.
OUTPUT_VALUE_WEIGHT = 10.0
PROMPT_COST_WEIGHT = 0.25
# Midpoint and scale of the logistic curve from confidence (0 to 100) to the
# probability of a poor answer. For half of the answers of the smallest model
# the confidence is below 20 or above 80.
MIDPOINT_CONFIDENCE = 50.0
MAX_CONFIDENCE = 100.0
LOGISTIC_SCALE = 4.0
# Cost of a second of prefill to the requests queued behind it, in the unit of
# the models' costs, while they wait for a second. It grows with the wait, as
# more requests are behind it.
PREFILL_DELAY_COST_PER_S = 8.0
# Shares of occupied slots at which a second run begins to delay other
# requests, and at which the delay costs as much as the run can gain.
CONTENTION_START_SHARE = 0.3
CONTENTION_FULL_SHARE = 0.8


@dataclasses.dataclass(frozen=True)
class RequestSize:
    """A request's size in tokens."""

    prompt: int
    output: int

    @property
    def value(self) -> float:
        """Weighted tokens in thousands; output tokens weigh more."""
        return (self.prompt + OUTPUT_VALUE_WEIGHT * self.output) / 1000

    def cost(self, per_1k: float) -> float:
        """Returns the cost of a run, given a model's cost per 1000 tokens."""
        return per_1k * (PROMPT_COST_WEIGHT * self.prompt + self.output) / 1000


def parse_confidence(value: bytes) -> float | None:
    """Returns a confidence from 0 to 100, None if the value is none."""
    try:
        confidence = float(value)
    except ValueError:
        return None
    return confidence if 0 <= confidence <= MAX_CONFIDENCE else None


def poor_answer_probability(confidence: float) -> float:
    """Returns the probability that an answer is poor.

    Args:
      confidence: The model's confidence in its answer, 0 to 100.
    """
    return 1 / (
        1 + math.exp((confidence - MIDPOINT_CONFIDENCE) / LOGISTIC_SCALE)
    )


def contention(occupied: float) -> float:
    """Returns the cost of a second run to other requests.

    All requests of an upstream share its processing steps, so a run of a
    large model causes the more delay, the more of them there are.

    Args:
      occupied: Share of the upstreams' slots that are occupied.

    Returns:
      The cost as a share of the request's value, 0 to 1.
    """
    part = (occupied - CONTENTION_START_SHARE) / (
        CONTENTION_FULL_SHARE - CONTENTION_START_SHARE
    )
    return min(1.0, max(0.0, part))


def prefill_delay_cost(prefill_s: float, waiting_s: float) -> float:
    """Returns the cost of a prompt's prefill to the requests behind it.

    Args:
      prefill_s: Time to process the prompt.
      waiting_s: Time that prompts currently wait for their prefill.
    """
    return PREFILL_DELAY_COST_PER_S * prefill_s * waiting_s


def choose_larger(
    models: tuple[ids.ModelId, ...],
    answered_by: ids.ModelId,
    confidence: float | None,
    size: RequestSize,
    costs: dict[ids.ModelId, float],
    value_per_1k: float = VALUE_PER_1K,
    prefill_s: float = 0.0,
    waiting_s: float = 0.0,
    occupied: float = 0.0,
) -> ids.ModelId | None:
    """Returns the model to repeat a request on, None to keep the answer.

    This is always the largest model: a run of one in between costs extra and
    its answer often has to be repeated as well.

    Args:
      models: Models to choose from, smallest first.
      answered_by: The model that answered.
      confidence: Its confidence, 0 to 100, or None if it reported none.
      size: The request's size.
      costs: Cost per thousand tokens by model.
      value_per_1k: Value per thousand weighted tokens.
      prefill_s: Time that the largest model takes to process the prompt.
      waiting_s: Mean time that prompts currently wait at the upstreams.
      occupied: Share of the upstreams' slots that are occupied.
    """
    largest = models[-1]
    if answered_by == largest or confidence is None:
        return None
    gain = poor_answer_probability(confidence) * size.value * value_per_1k
    cost = size.cost(costs.get(largest, 0.0))
    cost += prefill_delay_cost(prefill_s, waiting_s)
    cost += contention(occupied) * size.value * value_per_1k
    if gain <= cost:
        return None
    return largest
