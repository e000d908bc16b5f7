"""Chooses the model of a request that may run once at most.

Such a request can't be repeated on a larger model once its answer turns out to
be poor, so its model is chosen beforehand, by the confidence that models had in
their latest answers to requests of the same kind. Gain and cost are those of a
repeat on a larger model (`modelchoice`).

Expected load: kinds with few or many hard requests, which change as versions
and callers do; some kinds have only a few requests a minute at each node.
"""

import collections
import dataclasses
import math
import random

from radishcourse_model import ids
from radishcourse_policy import modelchoice

# Answers of a kind after which an older one counts 1/e as much.
WINDOW_ANSWERS = 200
# Answers of an unknown model that the prior counts as, and its share of poor
# ones. The prior of a larger model is lower, as it answers hard requests, too.
PRIOR_ANSWERS = 1.0
PRIOR_POOR_SHARE = 0.5
PRIOR_POOR_SHARE_LARGER = 0.2
# Weight of an answer in the draws, whose spread falls with it: models that are
# likely worse are tried less often.
ANSWER_WEIGHT = 4.0
# Kinds of which answers are remembered; the one not used for longest is
# forgotten.
MAX_KINDS = 1024


@dataclasses.dataclass
class _Answers:
    """Discounted answers of one model.

    Attributes:
      count: Number of answers.
      poor: Expected number of poor ones.
    """

    count: float = 0.0
    poor: float = 0.0


@dataclasses.dataclass(frozen=True)
class Load:
    """Load that a run of a larger model meets.

    Attributes:
      prefill_s: Time that the largest model takes to process the prompt.
      waiting_s: Mean time that prompts currently wait at the upstreams.
      occupied: Share of the upstreams' slots that are occupied.
    """

    prefill_s: float = 0.0
    waiting_s: float = 0.0
    occupied: float = 0.0


@dataclasses.dataclass(frozen=True)
class Choice:
    """A model that was chosen for a request.

    Attributes:
      model: The model.
      poor_shares: Expected share of poor answers by model, of those models
        whose answers are known.
    """

    model: ids.ModelId
    poor_shares: dict[ids.ModelId, float]


class SingleRuns:
    """Answers of models by kind of request, and choices made by them.

    A model is chosen by shares of poor answers that are drawn from what is
    known of each (Thompson sampling): models of which little is known are
    tried from time to time.

    Args:
      random_source: Source of the draws.
    """

    def __init__(self, random_source: random.Random):
        self._random = random_source
        self._kinds: collections.OrderedDict[
            str, dict[ids.ModelId, _Answers]
        ] = collections.OrderedDict()

    def note_answer(
        self, kind: str, model: ids.ModelId, confidence: float
    ) -> None:
        """Records a model's confidence, from 0 to 100, in an answer."""
        answers = self._kinds.setdefault(kind, {})
        self._kinds.move_to_end(kind)
        if len(self._kinds) > MAX_KINDS:
            self._kinds.popitem(last=False)
        for item in answers.values():
            item.count *= math.exp(-1 / WINDOW_ANSWERS)
            item.poor *= math.exp(-1 / WINDOW_ANSWERS)
        item = answers.setdefault(model, _Answers())
        item.count += 1
        item.poor += modelchoice.poor_answer_probability(confidence)

    def choose(
        self,
        kind: str,
        models: tuple[ids.ModelId, ...],
        size: modelchoice.RequestSize | None,
        costs: dict[ids.ModelId, float],
        value_per_1k: float = modelchoice.VALUE_PER_1K,
        load: Load = Load(),
    ) -> Choice:
        """Returns the model for the only run of a request.

        This is the smallest one while nothing is known of its answers.

        Args:
          kind: Kind of the request.
          models: Models to choose from, smallest first; not empty.
          size: The request's size, None if unknown.
          costs: Cost per thousand tokens by model.
          value_per_1k: Value per thousand weighted tokens.
          load: Load that a larger model meets.
        """
        answers = self._kinds.get(kind, {})
        shares = {
            model: item.poor / item.count
            for model, item in answers.items()
            if item.count
        }
        if size is None or models[0] not in answers:
            return Choice(models[0], shares)
        value = size.value * value_per_1k
        delay_cost = modelchoice.prefill_delay_cost(
            load.prefill_s, load.waiting_s
        )
        delay_cost += modelchoice.contention(load.occupied) * value
        best, best_worth, poor_share = models[0], -math.inf, 1.0
        for model in models:
            larger = model != models[0]
            # A larger model answers at least what a smaller one does.
            poor_share = min(
                poor_share, self._draw_poor_share(answers.get(model), larger)
            )
            worth = (1 - poor_share) * value - size.cost(costs.get(model, 0.0))
            if larger:
                worth -= delay_cost
            if worth > best_worth:
                best, best_worth = model, worth
        return Choice(best, shares)

    def _draw_poor_share(self, answers: _Answers | None, larger: bool) -> float:
        answers = answers or _Answers()
        prior = PRIOR_POOR_SHARE_LARGER if larger else PRIOR_POOR_SHARE
        poor, good = answers.poor, answers.count - answers.poor
        return self._random.betavariate(
            ANSWER_WEIGHT * poor + prior * PRIOR_ANSWERS,
            ANSWER_WEIGHT * good + (1 - prior) * PRIOR_ANSWERS,
        )
