"""Measures useful throughput, fairness and recovery under overload."""

import collections
import random

from radishcourse_model import ids
from radishcourse_policy import admission
from radishcourse_standins.measure import queues
from radishcourse_standins.measure import report

SEEDS = 5
NODES = 8
SLOTS = 72
SERVICE_S = 1.0
SPREAD = 0.5
# Load of the phases as a share of the capacity, and their lengths.
BEFORE_S, OVERLOAD_S, AFTER_S = 60.0, 90.0, 60.0
CALM = 0.7
OVERLOAD = 2.0
WINDOW_S = 1.0
KINDS = (('long', 3.0, 30.0, 2.0), ('brief', 1.0, 10.0, 1.0),
         ('verdict', 0.5, 4.0, 0.4))  # fmt: skip
SHARES = (0.3, 0.2, 0.15, 0.1, 0.08, 0.07, 0.05, 0.03, 0.015, 0.005)
# The organisations that send too much; the others keep their calm load.
LARGE = 3
POLICIES = ('no limit', 'limit, first come', 'fair, no drops', 'chosen')


class Job:
    """A job and what became of it."""

    def __init__(self, at, organisation, kind, source):
        _, self.weight, allowed, pace = kind
        self.at = at
        self.organisation = organisation
        self.expected_s = SERVICE_S * pace
        self.deadline = at + allowed
        seconds = queues.draw_seconds(source, self.expected_s, SPREAD)
        self.request = queues.Request(at, '', 0.0, seconds)
        self.ended_at: float | None = None

    @property
    def on_time(self) -> bool:
        """Whether it was answered in time."""
        return self.ended_at is not None and self.ended_at <= self.deadline


class Node:
    """A node's admission."""

    def __init__(self, policy: str, model, upstream):
        self._policy = policy
        self._model = model
        self._upstream = upstream
        self._fair = admission.FairQueue()
        self._jobs: dict[admission.QueuedJob, Job] = {}
        self._first: collections.deque[Job] = collections.deque()
        self._in_progress = 0
        self._limit = admission.max_in_progress(SLOTS, NODES)

    def enter(self, job: Job) -> None:
        """Takes a job."""
        if self._policy == 'no limit':
            self._run(job)
        elif self._policy == 'limit, first come':
            self._first.append(job)
        else:
            waiting = admission.QueuedJob(
                ids.OrganisationId(job.organisation),
                1.0,
                job.weight,
                job.expected_s,
                job.deadline,
                self._model.now,
            )
            self._fair.add(waiting)
            self._jobs[waiting] = job
        self._next()

    def _next(self) -> None:
        while self._in_progress < self._limit:
            if self._first:
                self._run(self._first.popleft())
                continue
            if self._policy == 'chosen':
                for waiting in self._fair.drop_late(self._model.now):
                    del self._jobs[waiting]
            taken = self._fair.take()
            if taken is None:
                return
            self._run(self._jobs.pop(taken))

    def _run(self, job: Job) -> None:
        self._in_progress += 1

        def done() -> None:
            self._in_progress -= 1
            job.ended_at = self._model.now
            self._next()

        self._upstream.add(job.request, done)


def run(policy: str, seed: int, overload: float) -> list[Job]:
    """Returns the jobs of one run."""
    source = random.Random(seed)
    model = queues.Model()
    upstream = queues.Upstream(model, 'all', SLOTS, 1, 1.0, 0.0)
    nodes = [Node(policy, model, upstream) for _ in range(NODES)]
    jobs = _make_jobs(source, overload)
    for job in jobs:
        node = source.choice(nodes)
        model.at(job.at, lambda n=node, j=job: n.enter(j))
    model.run()
    return jobs


def _make_jobs(source: random.Random, overload: float) -> list[Job]:
    mean_s = SERVICE_S * sum(kind[3] for kind in KINDS) / len(KINDS)
    capacity = SLOTS / mean_s
    large = sum(SHARES[:LARGE])
    jobs = []
    for index, share in enumerate(SHARES):
        calm = CALM * share * capacity
        raised = calm
        if index < LARGE:
            raised = (overload - CALM * (1 - large)) * capacity * share / large
        phases = ((calm, BEFORE_S), (raised, OVERLOAD_S), (calm, AFTER_S))
        start = 0.0
        for rate, length in phases:
            now = start + source.expovariate(rate)
            while now < start + length:
                kind = source.choice(KINDS)
                jobs.append(Job(now, f'organisation-{index}', kind, source))
                now += source.expovariate(rate)
            start += length
    return sorted(jobs, key=lambda job: job.at)


def _phase(jobs: list[Job]) -> list[Job]:
    # The first seconds of the overload fill the queues.
    start, end = BEFORE_S + 10, BEFORE_S + OVERLOAD_S
    return [job for job in jobs if start <= job.at < end]


def _useful(jobs: list[Job]) -> float:
    chosen = [job for job in _phase(jobs) if job.on_time]
    return sum(job.weight for job in chosen) / (OVERLOAD_S - 10)


def _small_on_time(jobs: list[Job]) -> float:
    names = {f'organisation-{i}' for i in range(LARGE, len(SHARES))}
    small = [job for job in _phase(jobs) if job.organisation in names]
    return sum(job.on_time for job in small) / len(small)


def _recovery_s(jobs: list[Job]) -> float:
    """Returns the time from the overload's end to the last bad window.

    A window is bad when fewer than 99% of the jobs that arrive in it are
    on time.
    """
    end, last = BEFORE_S + OVERLOAD_S, 0.0
    windows = collections.defaultdict(list)
    for job in jobs:
        if job.at >= end:
            windows[int((job.at - end) / WINDOW_S)].append(job.on_time)
    for index, results in windows.items():
        if sum(results) < 0.99 * len(results):
            last = max(last, (index + 1) * WINDOW_S)
    return last


def main(seeds: int = SEEDS, folder: str = report.FOLDER) -> None:
    """Measures admission."""
    lines, figures = [], []
    full = [_useful(run('chosen', s, 1.0)) for s in range(seeds)]
    lines.append(report.Line('load 1.0', 'chosen', 'useful weight/s', full))
    for policy in POLICIES:
        runs = [run(policy, s, OVERLOAD) for s in range(seeds)]
        for name, measure in (
            ('useful weight/s', _useful),
            ('small organisations on time', _small_on_time),
            ('recovery s', _recovery_s),
        ):
            values = [measure(jobs) for jobs in runs]
            lines.append(report.Line('load 2.0', policy, name, values))
        ratios = [
            _useful(jobs) / best for jobs, best in zip(runs, full, strict=True)
        ]
        line = report.Line('', policy, 'ratio', ratios)
        figures.append(
            f'{policy}: useful throughput at 2x {line.median:.3f} '
            f'({line.spread}) of that at capacity; goal 0.95'
        )
    report.publish('admission', lines, figures, folder)
