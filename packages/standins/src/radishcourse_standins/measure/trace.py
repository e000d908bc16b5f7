"""Seeded traces of jobs with the outcome that each model would have."""

import dataclasses
import math
import random

MODELS = ('cheap', 'dear')


@dataclasses.dataclass(frozen=True)
class Group:
    """Jobs of one kind of one organisation.

    Attributes:
      organisation: The organisation.
      kind: The kind.
      jobs: Number of jobs in the trace.
      target: Share of answers that must be good.
      good_probabilities: Probability of a good answer by model.
      streamed: Share of jobs that are streamed.
    """

    organisation: str
    kind: str
    jobs: int
    target: float
    good_probabilities: tuple[float, float]
    streamed: float


@dataclasses.dataclass(frozen=True)
class Job:
    """A job and the outcome that each model would have.

    Attributes:
      group: Its organisation and kind.
      position: Position in the trace, from 0 to 1.
      streamed: Whether it is streamed.
      deadline: Time to the deadline, in seconds.
      good: Whether each model's answer is good.
      cost: Cost of each model's answer, in micro-units.
      seconds: Time that each model takes.
    """

    group: Group
    position: float
    streamed: bool
    deadline: float
    good: tuple[bool, ...]
    cost: tuple[float, ...]
    seconds: tuple[float, ...]


def make_groups(jobs: int, random_source: random.Random) -> list[Group]:
    """Returns the groups of ten organisations with three kinds each.

    Args:
      jobs: Approximate number of jobs in all groups.
      random_source: Source of randomness.
    """
    shares = [0.3, 0.2, 0.15, 0.1, 0.08, 0.07, 0.05, 0.03, 0.015, 0.005]
    kinds = [('survey', 0.9, 0.2), ('brief', 0.8, 0.5), ('verdict', 0.7, 0.1)]
    groups = []
    for index, share in enumerate(shares):
        for kind, target, streamed in kinds:
            cheap = min(0.97, max(0.2, random_source.gauss(target - 0.05, 0.1)))
            dear = min(
                0.99, max(target + 0.03, random_source.gauss(0.96, 0.02))
            )
            groups.append(
                Group(
                    f'organisation-{index}',
                    kind,
                    max(5, round(jobs * share / len(kinds))),
                    target,
                    (cheap, dear),
                    streamed,
                )
            )
    return groups


def make_jobs(
    groups: list[Group],
    random_source: random.Random,
    quality_drop: bool = False,
) -> list[Job]:
    """Returns the jobs of all groups in random order.

    Args:
      groups: The groups.
      random_source: Source of randomness.
      quality_drop: Whether the cheap model gives half as many good answers in
        the second half of the trace.
    """
    order = [group for group in groups for _ in range(group.jobs)]
    random_source.shuffle(order)
    return [
        _make_job(group, index / len(order), random_source, quality_drop)
        for index, group in enumerate(order)
    ]


def _make_job(
    group: Group,
    position: float,
    random_source: random.Random,
    quality_drop: bool,
) -> Job:
    # Half of the variance of a job's difficulty is common to both models.
    common_difficulty = random_source.gauss(0, 1)
    good = []
    for index, probability in enumerate(group.good_probabilities):
        if quality_drop and index == 0 and position >= 0.5:
            probability /= 2
        difficulty = math.sqrt(0.5) * (
            common_difficulty + random_source.gauss(0, 1)
        )
        good.append(_normal_cdf(difficulty) < probability)
    tokens = random_source.lognormvariate(5.5, 0.6)
    return Job(
        group=group,
        position=position,
        streamed=random_source.random() < group.streamed,
        deadline=random_source.choice([8.0, 20.0, 60.0]),
        good=tuple(good),
        cost=(200 + tokens, 1000 + 12 * tokens),
        seconds=tuple(
            tokens * seconds_per_token * random_source.lognormvariate(0, 0.3)
            for seconds_per_token in (0.004, 0.012)
        ),
    )


def _normal_cdf(value: float) -> float:
    return 0.5 * (1 + math.erf(value / math.sqrt(2)))
