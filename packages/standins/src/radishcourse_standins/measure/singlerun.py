"""Compares ways to choose the model of a request that may run once at most.

Requests of one kind are answered by one of three models. A request is too hard
for a model with the probability that the case gives; what is too hard for a
larger model is so for the smaller ones. The model's confidence in its answer is
random, lower for poor answers.

A good answer is worth its value, a poor one nothing, less the cost of the run.
The result is the sum as a share of what the best model for each request would
have earned, which hindsight knows. The best model for all requests of a case is
the other reference.
"""

import collections
import dataclasses
import random
import statistics
import typing

from radishcourse_model import ids
from radishcourse_policy import modelchoice
from radishcourse_policy import singlerun
from radishcourse_standins.measure import report

MODELS = tuple(map(ids.ModelId, ('small', 'middle', 'large')))
COSTS = dict(zip(MODELS, (0.026, 0.19, 0.39), strict=True))
REQUESTS = 2000
FEW_REQUESTS = 20
SEEDS = (1, 2, 3, 4, 5)
CONFIDENCE_GOOD, CONFIDENCE_POOR, CONFIDENCE_SPREAD = 80.0, 20.0, 25.0
KIND = 'kind'
GREEDY_EXPLORATION = 0.05
# Share of the best fixed model's result that the policy must reach in the mean
# of the seeds, and in a case with few requests.
GOAL_SHARE = 0.95
FEW_GOAL_SHARE = 0.85


@dataclasses.dataclass(frozen=True)
class Case:
    """A load.

    Attributes:
      name: Its name.
      poor: Probabilities of a poor answer by model; one tuple for each part of
        the requests, in order.
      requests: Number of requests.
    """

    name: str
    poor: tuple[tuple[float, float, float], ...]
    requests: int = REQUESTS


CASES = (
    Case('half are hard', ((0.46, 0.36, 0.0),)),
    Case('few are hard', ((0.03, 0.02, 0.0),)),
    Case('most are hard', ((0.9, 0.8, 0.05),)),
    Case('the middle one suffices', ((0.6, 0.05, 0.03),)),
    Case('none is better', ((0.6, 0.6, 0.6),)),
    Case('few, then most are hard', ((0.03, 0.02, 0.0), (0.9, 0.8, 0.05))),
    Case('most, then few are hard', ((0.9, 0.8, 0.05), (0.03, 0.02, 0.0))),
    Case('half are hard, 20 requests', ((0.46, 0.36, 0.0),), FEW_REQUESTS),
)


@dataclasses.dataclass(frozen=True)
class Request:
    """A request of a trace.

    Attributes:
      size: Its size.
      is_poor: Whether each model's answer is poor.
      confidences: Each model's confidence.
    """

    size: modelchoice.RequestSize
    is_poor: dict[ids.ModelId, bool]
    confidences: dict[ids.ModelId, float]

    def worth(self, model: ids.ModelId) -> float:
        """Returns what a run of a model earns."""
        value = self.size.value * modelchoice.VALUE_PER_1K
        earned = 0.0 if self.is_poor[model] else value
        return earned - self.size.cost(COSTS[model])


def make_trace(case: Case, seed: int) -> list[Request]:
    """Returns the requests of a case."""
    random_source = random.Random(f'{case.name}/{seed}')
    trace = []
    for index in range(case.requests):
        part = case.poor[index * len(case.poor) // case.requests]
        hardness = random_source.random()
        is_poor = {
            model: hardness < share
            for model, share in zip(MODELS, part, strict=True)
        }
        confidences = {
            model: min(
                100.0,
                max(
                    0.0,
                    random_source.gauss(
                        CONFIDENCE_POOR if poor else CONFIDENCE_GOOD,
                        CONFIDENCE_SPREAD,
                    ),
                ),
            )
            for model, poor in is_poor.items()
        }
        size = modelchoice.RequestSize(
            int(random_source.lognormvariate(6.4, 1.0)),
            int(random_source.lognormvariate(5.0, 0.7)),
        )
        trace.append(Request(size, is_poor, confidences))
    return trace


Choose = typing.Callable[[Request], ids.ModelId]
Note = typing.Callable[[ids.ModelId, float], None]


def _make_fixed(index: int):
    def make(random_source: random.Random) -> tuple[Choose, Note]:
        return lambda request: MODELS[index], lambda model, confidence: None

    return make


def _make_random(random_source: random.Random) -> tuple[Choose, Note]:
    return (
        lambda request: random_source.choice(MODELS),
        lambda model, confidence: None,
    )


def _make_greedy(random_source: random.Random) -> tuple[Choose, Note]:
    """Takes the best by the mean of all answers, and now and then any."""
    counts = collections.Counter()
    poor = collections.Counter()

    def choose(request: Request) -> ids.ModelId:
        if random_source.random() < GREEDY_EXPLORATION:
            return random_source.choice(MODELS)

        def worth(model):
            share = poor[model] / counts[model] if counts[model] else 0.0
            value = request.size.value * modelchoice.VALUE_PER_1K
            return (1 - share) * value - request.size.cost(COSTS[model])

        return max(MODELS, key=worth)

    def note(model, confidence):
        counts[model] += 1
        poor[model] += modelchoice.poor_answer_probability(confidence)

    return choose, note


def _make_policy(random_source: random.Random) -> tuple[Choose, Note]:
    runs = singlerun.SingleRuns(random_source)

    def choose(request: Request) -> ids.ModelId:
        return runs.choose(KIND, MODELS, request.size, COSTS).model

    def note(model, confidence):
        runs.note_answer(KIND, model, confidence)

    return choose, note


POLICIES = {
    'always small': _make_fixed(0),
    'always middle': _make_fixed(1),
    'always large': _make_fixed(2),
    'random': _make_random,
    'greedy': _make_greedy,
    'policy': _make_policy,
}
FIXED = ('always small', 'always middle', 'always large')


def play(trace: list[Request], make, seed: int) -> float:
    """Returns what a way to choose earns as a share of hindsight."""
    choose, note = make(random.Random(seed))
    total = 0.0
    for request in trace:
        model = choose(request)
        total += request.worth(model)
        note(model, request.confidences[model])
    best = sum(max(map(request.worth, MODELS)) for request in trace)
    return total / best


def compare(case: Case, seeds: tuple[int, ...] = SEEDS) -> dict:
    """Returns what each way to choose earns in a case, by seed."""
    return {
        name: [play(make_trace(case, seed), make, seed) for seed in seeds]
        for name, make in POLICIES.items()
    }


def shares_of_best_fixed(results: dict[str, list[float]]) -> list[float]:
    """Returns what the policy earns relative to the best fixed model, by seed.

    Args:
      results: What each way to choose earns, as `compare` returns it.
    """
    best = map(max, *(results[name] for name in FIXED))
    return [
        value / fixed
        for value, fixed in zip(results['policy'], best, strict=True)
    ]


def goal_share(case: Case) -> float:
    """Returns the share of the best fixed model's result that is asked for."""
    return FEW_GOAL_SHARE if case.requests < REQUESTS else GOAL_SHARE


def main(folder: str = report.FOLDER) -> None:
    """Prints and writes the comparison."""
    rows, figures = [], []
    for case in CASES:
        results = compare(case)
        rows += [
            report.Row(case.name, name, 'share of hindsight', values)
            for name, values in results.items()
        ]
        shares = shares_of_best_fixed(results)
        figures.append(
            f'{case.name}: policy / best fixed model, mean of the seeds '
            f'{statistics.fmean(shares):.3f}, worst {min(shares):.3f}, '
            f'goal of the mean {goal_share(case)}'
        )
    report.publish('singlerun', rows, figures, folder)


if __name__ == '__main__':
    main()
