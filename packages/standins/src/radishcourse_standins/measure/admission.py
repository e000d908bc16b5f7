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
SERVICE_SIGMA = 0.5
# Lengths of the phases, and their loads as shares of the capacity.
BEFORE_S, OVERLOAD_S, AFTER_S = 60.0, 90.0, 60.0
NORMAL_LOAD = 0.7
OVERLOAD_LOAD = 2.0
RECOVERY_WINDOW_S = 1.0
# Name, weight, time to the deadline in seconds, factor on the service time.
KINDS = (('long', 3.0, 30.0, 2.0), ('brief', 1.0, 10.0, 1.0),
         ('verdict', 0.5, 4.0, 0.4))  # fmt: skip
# Share of the load by organisation, largest first.
LOAD_SHARES = (0.3, 0.2, 0.15, 0.1, 0.08, 0.07, 0.05, 0.03, 0.015, 0.005)
# Number of organisations that cause the overload; the load of the others stays
# normal.
LARGE_ORGANISATIONS = 3
POLICIES = ('no limit', 'limit, first come', 'fair, no drops', 'chosen')


class Job:
    """A job and the time at which it ended."""

    def __init__(self, arrived_at, organisation, kind, random_source):
        _, self.weight, deadline_s, service_factor = kind
        self.arrived_at = arrived_at
        self.organisation = organisation
        self.expected_service_s = SERVICE_S * service_factor
        self.deadline = arrived_at + deadline_s
        seconds = queues.draw_seconds(
            random_source, self.expected_service_s, SERVICE_SIGMA
        )
        self.request = queues.Request(arrived_at, '', 0.0, seconds)
        self.ended_at: float | None = None

    @property
    def on_time(self) -> bool:
        """Whether it was answered by its deadline."""
        return self.ended_at is not None and self.ended_at <= self.deadline


class Node:
    """A node that admits jobs by one of the policies."""

    def __init__(self, policy: str, simulation, upstream):
        self._policy = policy
        self._simulation = simulation
        self._upstream = upstream
        self._fair_queue = admission.FairQueue()
        self._jobs: dict[admission.QueuedJob, Job] = {}
        self._fifo_queue: collections.deque[Job] = collections.deque()
        self._in_progress = 0
        self._limit = admission.max_in_progress(SLOTS, NODES)

    def submit(self, job: Job) -> None:
        """Queues a job, or starts it at once without a limit."""
        if self._policy == 'no limit':
            self._start(job)
        elif self._policy == 'limit, first come':
            self._fifo_queue.append(job)
        else:
            queued = admission.QueuedJob(
                ids.OrganisationId(job.organisation),
                1.0,
                job.weight,
                job.expected_service_s,
                job.deadline,
                self._simulation.now,
            )
            self._fair_queue.add(queued)
            self._jobs[queued] = job
        self._start_next()

    def _start_next(self) -> None:
        while self._in_progress < self._limit:
            if self._fifo_queue:
                self._start(self._fifo_queue.popleft())
                continue
            if self._policy == 'chosen':
                for queued in self._fair_queue.drop_late(self._simulation.now):
                    del self._jobs[queued]
            next_job = self._fair_queue.take()
            if next_job is None:
                return
            self._start(self._jobs.pop(next_job))

    def _start(self, job: Job) -> None:
        self._in_progress += 1

        def done() -> None:
            self._in_progress -= 1
            job.ended_at = self._simulation.now
            self._start_next()

        self._upstream.add(job.request, done)


def run(policy: str, seed: int, overload: float) -> list[Job]:
    """Simulates one run.

    Args:
      policy: One of `POLICIES`.
      seed: Seed of the trace.
      overload: Load during the overload, as a share of the capacity.

    Returns:
      All jobs, in order of arrival.
    """
    random_source = random.Random(seed)
    simulation = queues.Simulation()
    upstream = queues.Upstream(simulation, 'all', SLOTS, 1, 1.0, 0.0)
    nodes = [Node(policy, simulation, upstream) for _ in range(NODES)]
    jobs = _make_jobs(random_source, overload)
    for job in jobs:
        node = random_source.choice(nodes)
        simulation.schedule(job.arrived_at, lambda n=node, j=job: n.submit(j))
    simulation.run()
    return jobs


def _make_jobs(random_source: random.Random, overload: float) -> list[Job]:
    mean_s = SERVICE_S * sum(kind[3] for kind in KINDS) / len(KINDS)
    capacity = SLOTS / mean_s
    large_share = sum(LOAD_SHARES[:LARGE_ORGANISATIONS])
    jobs = []
    for index, share in enumerate(LOAD_SHARES):
        normal_rate = NORMAL_LOAD * share * capacity
        overload_rate = normal_rate
        if index < LARGE_ORGANISATIONS:
            overload_rate = (
                (overload - NORMAL_LOAD * (1 - large_share))
                * capacity
                * share
                / large_share
            )
        phases = (
            (normal_rate, BEFORE_S),
            (overload_rate, OVERLOAD_S),
            (normal_rate, AFTER_S),
        )
        start = 0.0
        for rate, length in phases:
            now = start + random_source.expovariate(rate)
            while now < start + length:
                kind = random_source.choice(KINDS)
                jobs.append(
                    Job(now, f'organisation-{index}', kind, random_source)
                )
                now += random_source.expovariate(rate)
            start += length
    return sorted(jobs, key=lambda job: job.arrived_at)


def _overload_jobs(jobs: list[Job]) -> list[Job]:
    # Leaves out the first 10 s, in which the queues fill.
    start, end = BEFORE_S + 10, BEFORE_S + OVERLOAD_S
    return [job for job in jobs if start <= job.arrived_at < end]


def _useful_throughput(jobs: list[Job]) -> float:
    completed = [job for job in _overload_jobs(jobs) if job.on_time]
    return sum(job.weight for job in completed) / (OVERLOAD_S - 10)


def _small_on_time_share(jobs: list[Job]) -> float:
    names = {
        f'organisation-{i}'
        for i in range(LARGE_ORGANISATIONS, len(LOAD_SHARES))
    }
    small = [job for job in _overload_jobs(jobs) if job.organisation in names]
    return sum(job.on_time for job in small) / len(small)


def _recovery_s(jobs: list[Job]) -> float:
    """Returns the time from the end of the overload to the last late window.

    A window is late if fewer than 99% of the jobs that arrive in it are
    on time.
    """
    end, recovery_s = BEFORE_S + OVERLOAD_S, 0.0
    windows = collections.defaultdict(list)
    for job in jobs:
        if job.arrived_at >= end:
            windows[int((job.arrived_at - end) / RECOVERY_WINDOW_S)].append(
                job.on_time
            )
    for index, results in windows.items():
        if sum(results) < 0.99 * len(results):
            recovery_s = max(recovery_s, (index + 1) * RECOVERY_WINDOW_S)
    return recovery_s


def main(seeds: int = SEEDS, folder: str = report.FOLDER) -> None:
    """Measures the admission policy."""
    rows, figures = [], []
    at_capacity = [
        _useful_throughput(run('chosen', s, 1.0)) for s in range(seeds)
    ]
    rows.append(
        report.Row('load 1.0', 'chosen', 'useful weight/s', at_capacity)
    )
    for policy in POLICIES:
        runs = [run(policy, s, OVERLOAD_LOAD) for s in range(seeds)]
        for name, measure in (
            ('useful weight/s', _useful_throughput),
            ('small organisations on time', _small_on_time_share),
            ('recovery s', _recovery_s),
        ):
            values = [measure(jobs) for jobs in runs]
            rows.append(report.Row('load 2.0', policy, name, values))
        ratios = [
            _useful_throughput(jobs) / best
            for jobs, best in zip(runs, at_capacity, strict=True)
        ]
        row = report.Row('', policy, 'ratio', ratios)
        figures.append(
            f'{policy}: useful throughput at 2x {row.median:.3f} '
            f'({row.spread}) of that at capacity; goal 0.95'
        )
    report.publish('admission', rows, figures, folder)
