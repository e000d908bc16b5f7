"""Compares the cascade policy with simple policies and a hindsight optimum."""

import collections
import dataclasses
import itertools
import random
import typing

from radishcourse_model import ids
from radishcourse_policy import cascade
from radishcourse_policy import learner
from radishcourse_standins.measure import report
from radishcourse_standins.measure import trace

SEEDS = 5
JOBS = 20_000
CONFIDENCE = 0.9
RATING_S = 0.05
NODES = 8
MERGE_INTERVAL_JOBS = 200
# A group misses its target if its share of good answers is below it by more
# than this many standard errors.
MISS_DEVIATIONS = 1.28


@dataclasses.dataclass(frozen=True)
class Case:
    """A condition under which the policies are measured.

    Attributes:
      name: Name in the table.
      quality_drop: Whether the cheap model gets worse halfway.
      rating_down: Whether the rating service is down in the middle third.
      bias: Probability that a bad answer is rated good.
      nodes: Number of nodes, each with its own learner.
      suffices: Whether the cheap model alone meets every target.
    """

    name: str
    quality_drop: bool = False
    rating_down: bool = False
    bias: float = 0.0
    nodes: int = 1
    suffices: bool = False

    def rating_works(self, position: float) -> bool:
        """Tells whether the rating service works at a position in the trace."""
        return not (self.rating_down and 1 / 3 <= position < 2 / 3)


CASES = (
    Case('steady'),
    Case('suffices', suffices=True),
    Case('8 nodes', nodes=NODES),
    Case('drop', quality_drop=True),
    Case('rating down', rating_down=True),
    Case('rating biased', bias=0.1),
)


class Result(typing.NamedTuple):
    """Result of a job.

    Attributes:
      good: Whether the answer was good and on time.
      cost: Cost of all attempts, in micro-units.
      seconds: Time of all attempts and their ratings.
    """

    good: bool
    cost: float
    seconds: float


Policy = typing.Callable[[trace.Job], Result]


def run_steps(job: trace.Job, steps, rated: bool) -> Result:
    """Runs steps in turn until an answer is good or the next would be late.

    Args:
      job: The job.
      steps: Indices of the models to run.
      rated: Whether answers are rated; else only the first step runs.

    Returns:
      The result; costs and times add up over the steps.
    """
    cost = seconds = 0.0
    for attempt, index in enumerate(steps):
        if attempt and seconds + job.seconds[index] > job.deadline:
            break
        cost += job.cost[index]
        seconds += job.seconds[index] + (RATING_S if rated else 0.0)
        good = job.good[index] and seconds <= job.deadline
        if not rated or good:
            break
    return Result(good, cost, seconds)


def always_dear(job: trace.Job) -> Result:
    """Runs every job on the expensive model only."""
    return run_steps(job, [1], rated=False)


def always_cheap(job: trace.Job) -> Result:
    """Runs every job on the cheap model only."""
    return run_steps(job, [0], rated=False)


def fixed_threshold(job: trace.Job) -> Result:
    """Escalates every bad answer; streamed jobs use the expensive model."""
    if job.streamed:
        return always_dear(job)
    return run_steps(job, [0, 1], rated=True)


def make_random(seed: int) -> Policy:
    """Returns a policy that runs each job on a random model."""
    random_source = random.Random(seed)
    return lambda job: run_steps(job, [random_source.randrange(2)], rated=False)


class LearnedPolicy:
    """The policy under test, with a learner for each node."""

    def __init__(self, case: Case, seed: int):
        self._case = case
        self._random = random.Random(seed)
        self._learners = [learner.Learner() for _ in range(case.nodes)]
        self._jobs = 0

    def __call__(self, job: trace.Job) -> Result:
        """Chooses the steps for a job, runs it and records its outcome."""
        self._jobs += 1
        if self._jobs % MERGE_INTERVAL_JOBS == 0:
            self._merge_learners()
        node_learner = self._random.choice(self._learners)
        group = job.group
        works = self._case.rating_works(job.position)
        state = cascade.RatingState.WORKS if works else (
            cascade.RatingState.DOWN
        )  # fmt: skip
        steps = node_learner.make_steps(
            group.organisation, group.kind, list(trace.MODELS), [400.0, 4000.0]
        )
        balance = node_learner.balance(group.organisation, group.kind)
        balance.note_job(job.streamed)
        choice = cascade.choose(
            cascade.ChoiceInputs(
                steps=steps,
                target=group.target,
                confidence=CONFIDENCE,
                seconds_left=job.deadline,
                streamed=job.streamed,
                rating=state,
                rating_seconds=RATING_S,
                deficit=node_learner.deficit(group.organisation, group.kind),
                streamed_share=balance.streamed_share,
            ),
            self._random,
        )
        return self._run(job, choice, node_learner, steps, works)

    def _run(self, job, choice, node_learner, steps, works) -> Result:
        cost = seconds = 0.0
        for index in range(choice.first, choice.last + 1):
            cost += job.cost[index]
            seconds += job.seconds[index]
            good = job.good[index] and seconds <= job.deadline
            key = self._key(job, choice, index)
            node_learner.note_run(key, job.cost[index], job.seconds[index])
            if index == choice.last:
                self._audit(job, choice, node_learner, key, good, works)
                break
            seconds += RATING_S
            rated = self._rate(job.good[index])
            node_learner.note_rating(key, rated)
            late = seconds + steps[index + 1].seconds > job.deadline
            if rated or late:
                self._note_answer(job, node_learner, rated)
                break
        return Result(good, cost, seconds)

    def _audit(self, job, choice, node_learner, key, good, works) -> None:
        if not works or self._random.random() >= choice.audit_probability:
            return
        rated = self._rate(good)
        node_learner.note_rating(key, rated)
        self._note_answer(job, node_learner, rated, choice.audit_probability)

    def _rate(self, good: bool) -> bool:
        return good or self._random.random() < self._case.bias

    def _note_answer(self, job, node_learner, good, probability=1.0) -> None:
        group = job.group
        balance = node_learner.balance(group.organisation, group.kind)
        balance.note_answer(group.target, good, probability)

    def _key(self, job, choice, index) -> learner.Key:
        entry = learner.Entry.DIRECT
        if index > choice.first:
            entry = learner.Entry.ESCALATED
        group = job.group
        return learner.Key(
            ids.OrganisationId(group.organisation),
            ids.KindId(group.kind),
            ids.ModelId(trace.MODELS[index]),
            entry,
        )

    def _merge_learners(self) -> None:
        records = [item.record() for item in self._learners]
        for own_index, target in enumerate(self._learners):
            for index, record in enumerate(records):
                if index != own_index:
                    target.merge(ids.NodeId(str(index)), record)


def hindsight_cost(jobs: list[trace.Job]) -> float:
    """Returns the minimum cost at which every group meets its target exactly.

    Each group is served by a fixed random mixture of the simple policies,
    chosen separately for its streamed and its other jobs with knowledge of
    all outcomes of the trace.
    """
    by_group = collections.defaultdict(list)
    for job in jobs:
        by_group[job.group].append(job)
    return sum(_group_cost(*item) for item in by_group.items())


def _group_cost(group: trace.Group, jobs: list[trace.Job]) -> float:
    """Returns the minimum cost at which one group meets its target."""
    needed, cost, segments = group.target * len(jobs), 0.0, []
    for streamed in (False, True):
        part_jobs = [job for job in jobs if job.streamed is streamed]
        if not part_jobs:
            continue
        hull = _hull(part_jobs, streamed)
        cost += hull[0][0]
        needed -= hull[0][1]
        for first, second in itertools.pairwise(hull):
            segments.append((second[0] - first[0], second[1] - first[1]))
    segments.sort(key=lambda item: item[0] / item[1])
    for more_cost, more_good in segments:
        if needed <= 0:
            break
        share = min(1.0, needed / more_good)
        cost += share * more_cost
        needed -= share * more_good
    return cost


def _hull(part_jobs, streamed: bool) -> list[tuple[float, float]]:
    """Returns the lower convex hull of the simple policies.

    Its points are pairs of the total cost and the number of good answers.
    """
    policies = [always_cheap, always_dear]
    if not streamed:
        policies.append(fixed_threshold)
    points = []
    for policy in policies:
        results = [policy(job) for job in part_jobs]
        points.append((sum(r.cost for r in results),
                       sum(r.good for r in results)))  # fmt: skip
    points.sort()
    hull: list[tuple[float, float]] = []
    for point in points:
        if hull and point[1] <= hull[-1][1]:
            continue
        if len(hull) == 2:
            first, middle = hull
            slope = (middle[0] - first[0]) / (middle[1] - first[1])
            if (point[0] - first[0]) / (point[1] - first[1]) <= slope:
                hull.pop()
        hull.append(point)
    return hull


def _evaluate(jobs, policy: Policy, best: float) -> dict[str, float]:
    results = [policy(job) for job in jobs]
    by_group = collections.defaultdict(list)
    for job, result in zip(jobs, results, strict=True):
        by_group[job.group].append(result.good)
    missed, worst = 0, 0.0
    for group, good in by_group.items():
        gap = group.target - sum(good) / len(good)
        error = (group.target * (1 - group.target) / len(good)) ** 0.5
        missed += gap > MISS_DEVIATIONS * error
        if len(good) >= 300:
            worst = max(worst, gap)
    seconds = sorted(result.seconds for result in results)
    return {
        'cost / hindsight': sum(r.cost for r in results) / best,
        'groups below target': missed,
        'worst gap, groups of 300+': worst,
        'p95 s': seconds[int(0.95 * len(seconds))],
    }


def measure(case: Case, jobs: int, seeds: int) -> list[report.Row]:
    """Returns the rows of one case."""
    values = collections.defaultdict(list)
    for seed in range(seeds):
        random_source = random.Random(seed)
        groups = trace.make_groups(jobs, random_source)
        if case.suffices:
            groups = [
                dataclasses.replace(
                    item,
                    good_probabilities=(
                        min(0.98, item.target + 0.08),
                        item.good_probabilities[1],
                    ),
                )
                for item in groups
            ]
        trace_jobs = trace.make_jobs(groups, random_source, case.quality_drop)
        best = hindsight_cost(trace_jobs)
        policies = {
            'learned': LearnedPolicy(case, seed),
            'always dear': always_dear,
            'always cheap': always_cheap,
            'fixed threshold': fixed_threshold,
            'random': make_random(seed),
        }
        for name, policy in policies.items():
            for key, value in _evaluate(trace_jobs, policy, best).items():
                values[(name, key)].append(float(value))
    return [
        report.Row(case.name, policy, key, numbers)
        for (policy, key), numbers in values.items()
    ]


def main(
    seeds: int = SEEDS, jobs: int = JOBS, folder: str = report.FOLDER
) -> None:
    """Measures the cascade policy."""
    rows = [row for case in CASES for row in measure(case, jobs, seeds)]
    found = {(row.case, row.policy, row.measure): row for row in rows}
    steady = found[('steady', 'learned', 'cost / hindsight')]
    always_dear_cost = found[
        ('suffices', 'always dear', 'cost / hindsight')
    ].median
    learned_cost = found[('suffices', 'learned', 'cost / hindsight')].median
    missed = found[('steady', 'learned', 'groups below target')]
    figures = [
        f'cost {steady.median:.3f} ({steady.spread}) of hindsight; goal 1.15',
        f'{always_dear_cost / learned_cost:.2f} times cheaper than always dear '
        'where the cheap model suffices; goal 2',
        f'groups below target of 30: {missed.median:.0f} ({missed.spread}); '
        'goal 0',
    ]
    for other in ('always dear', 'fixed threshold'):
        own_p95 = found[('steady', 'learned', 'p95 s')].median
        p95_ratio = own_p95 / found[('steady', other, 'p95 s')].median
        figures.append(f'p95 time {p95_ratio:.3f} of {other}')
    report.publish('cascade', rows, figures, folder)
