"""Measures exposure to bad versions and false rollbacks of good ones."""

import collections
import concurrent.futures
import dataclasses
import random
import typing

from radishcourse_model import ids
from radishcourse_policy import rollout
from radishcourse_policy import sequentialtest
from radishcourse_standins.measure import report

SEEDS = 30
GOOD_RUNS = 400
NODE_COUNTS = (2, 4, 8)
CANARY_JOBS = 300
JOBS_PER_TICK = 20
# A node writes its report once per tick; a job ends two ticks after its start.
RESULT_DELAY_TICKS = 2
# Share of its jobs that a node of the baseline sends to the new version.
BASELINE_SHARE = 0.05
IN_SERVICE_TICKS = 150
MAX_TICKS = 3000
# Share of answers that are rated outside of the canary stage.
RATED_SHARE = 0.5
PROCESSES = 4


class Version(typing.NamedTuple):
    """Behaviour of a version.

    Attributes:
      good_probability: Probability that an answer is rated good.
      error_probability: Probability that a job fails.
      slowdown: Factor on the answer time.
    """

    good_probability: float = 0.9
    error_probability: float = 0.005
    slowdown: float = 1.0


GOOD = Version()
BAD_VERSIONS = {
    'rating 0.9 to 0.6': Version(good_probability=0.6),
    'errors 0.5% to 15%': Version(error_probability=0.15),
    'twice as slow': Version(slowdown=2.0),
    'rating 0.9 to 0.75': Version(good_probability=0.75),
}


@dataclasses.dataclass
class Run:
    """Result of a simulated roll-out.

    Attributes:
      exposed_jobs: Jobs that ran on the new version; counted anew once a
        version in service degrades.
      stopped: Whether the roll-out was rolled back.
      in_service: Whether the version came into service.
      last_tick: Last simulated tick.
    """

    exposed_jobs: int = 0
    stopped: bool = False
    in_service: bool = False
    last_tick: int = 0


class _Node:
    def __init__(self, index: int):
        self.node = ids.NodeId(f'node-{index}')
        self.tickets = 0
        self.writes = 0
        self.pending: collections.deque = collections.deque()
        self.report = self.make_report()

    def make_report(self) -> rollout.Report:
        return rollout.Report(self.node, 0)


def _draw_outcome(version: Version, random_source: random.Random):
    return (
        random_source.random() < version.error_probability,
        random_source.lognormvariate(0, 0.4) * version.slowdown,
        random_source.random() < version.good_probability,
        random_source.random() < RATED_SHARE,
    )


def _add_outcome(outcomes, outcome, slow_seconds: float, rated: bool) -> None:
    failed, seconds, good, _ = outcome
    outcomes.error.add(sequentialtest.Tally(1, failed))
    if failed:
        return
    if slow_seconds:
        outcomes.latency.add(sequentialtest.Tally(1, seconds > slow_seconds))
    if rated:
        outcomes.rating.add(sequentialtest.Tally(1, not good))


class Fleet:
    """Nodes that share the row of one roll-out."""

    def __init__(self, nodes: int, version: Version, seed: int):
        self._random = random.Random(seed)
        self._nodes = [_Node(index) for index in range(nodes)]
        self._version = version
        self._later_version: Version | None = None
        self.progress = rollout.Progress(
            ids.ModelId('model'), ids.VersionId('v2')
        )
        self.run = Run()

    def simulate(self, degraded_version: Version | None = None) -> Run:
        """Runs until the rollback or until the version was in service for long.

        Args:
          degraded_version: Behaviour of the new version from the middle of its
            time in service on; None if it does not change.
        """
        in_service_ticks = 0
        for tick in range(MAX_TICKS):
            self.run.last_tick = tick
            self._start_jobs(tick)
            for node in self._nodes:
                self._sync(node, tick)
            if self.progress.stage is rollout.Stage.RETURNED:
                self.run.stopped = True
                break
            if self.progress.stage is rollout.Stage.IN_SERVICE:
                in_service_ticks += 1
                self.run.in_service = True
                if (
                    in_service_ticks == IN_SERVICE_TICKS // 2
                    and degraded_version is not None
                ):
                    self._version = degraded_version
                    self.run.exposed_jobs = 0
                if in_service_ticks == IN_SERVICE_TICKS:
                    break
        return self.run

    def _start_jobs(self, tick: int) -> None:
        for _ in range(JOBS_PER_TICK):
            node = self._random.choice(self._nodes)
            canary = self._random.random() < self.progress.share
            if node.tickets:
                node.tickets -= 1
                canary = True
            self.run.exposed_jobs += canary
            version = self._version if canary else GOOD
            outcome = _draw_outcome(version, self._random)
            node.pending.append((tick + RESULT_DELAY_TICKS, canary, outcome))

    def _sync(self, node: _Node, tick: int) -> None:
        progress, node_report = self.progress, node.make_report()
        node.writes += 1
        node_report.write = node.writes
        while node.pending and node.pending[0][0] <= tick:
            _, canary, outcome = node.pending.popleft()
            outcomes = node_report.canary if canary else node_report.running
            rated = outcome[3] or progress.stage is rollout.Stage.CANARY
            _add_outcome(outcomes, outcome, progress.slow_seconds, rated)
            if canary and progress.stage is rollout.Stage.CANARY:
                node_report.finished += 1
            elif not canary:
                node_report.times.note(outcome[1])
        share = rollout.MAX_OUTSTANDING // (2 * len(self._nodes))
        node_report.wanted = max(1, share) if not node.tickets else 0
        node.tickets += rollout.advance(progress, node_report, CANARY_JOBS)


def simulate_independent_nodes(nodes: int, version: Version, seed: int) -> Run:
    """Simulates the baseline without tickets or a shared row.

    Each node sends a fixed share of its jobs to the new version and tests its
    own outcomes only.
    """
    random_source = random.Random(seed)
    running = [rollout.Outcomes() for _ in range(nodes)]
    canary = [rollout.Outcomes() for _ in range(nodes)]
    stopped = [False] * nodes
    pending: collections.deque = collections.deque()
    run = Run()
    # The 90th percentile of the times of a good version.
    slow_seconds = 1.67
    for tick in range(MAX_TICKS):
        for _ in range(JOBS_PER_TICK):
            node = random_source.randrange(nodes)
            is_canary = (
                not stopped[node] and random_source.random() < BASELINE_SHARE
            )
            run.exposed_jobs += is_canary
            outcome = _draw_outcome(
                version if is_canary else GOOD, random_source
            )
            pending.append(
                (tick + RESULT_DELAY_TICKS, node, is_canary, outcome)
            )
        while pending and pending[0][0] <= tick:
            _, node, is_canary, outcome = pending.popleft()
            tallies = canary[node] if is_canary else running[node]
            _add_outcome(tallies, outcome, slow_seconds, rated=True)
            if is_canary and not stopped[node]:
                stopped[node] = _is_worse(canary[node], running[node])
        if all(stopped):
            run.stopped = True
            break
        if all(item.error.total >= CANARY_JOBS for item in canary):
            break
    return run


def _is_worse(canary, running) -> bool:
    # The limit is that of a roll-out: log(1 / rollout.FALSE_STOP_PROBABILITY).
    return any(
        sequentialtest.inferiority(canary.get(item), running.get(item)) >= 6.2
        for item in rollout.Measure
    )


def _simulate(task) -> Run:
    nodes, version, seed, degraded_version = task
    return Fleet(nodes, version, seed).simulate(degraded_version)


def _simulate_independent_nodes(task) -> Run:
    return simulate_independent_nodes(*task)


def main(
    seeds: int = SEEDS,
    good_runs: int = GOOD_RUNS,
    folder: str = report.FOLDER,
) -> None:
    """Measures the roll-out policy."""
    rows, figures = [], []
    with concurrent.futures.ProcessPoolExecutor(PROCESSES) as pool:
        for name, version in BAD_VERSIONS.items():
            for nodes in NODE_COUNTS:
                case = f'{name}, {nodes} nodes'
                tasks = [(nodes, version, seed) for seed in range(seeds)]
                runs = list(
                    pool.map(_simulate, [(*task, None) for task in tasks])
                )
                independent_runs = list(
                    pool.map(_simulate_independent_nodes, tasks)
                )
                rows += [
                    _exposure_row(case, 'tickets', runs),
                    _exposure_row(case, 'each node alone', independent_runs),
                ]
                stopped = sum(run.stopped for run in runs)
                max_exposed = max(run.exposed_jobs for run in runs)
                figures.append(
                    f'{case}: stopped {stopped} of {seeds}, at most '
                    f'{max_exposed} jobs exposed; goal {CANARY_JOBS}'
                )
        figures += _measure_good_versions(pool, good_runs)
        figures += _measure_degraded_versions(pool, seeds)
    report.publish('rollout', rows, figures, folder)


def _exposure_row(case: str, policy: str, runs: list[Run]) -> report.Row:
    values = [float(run.exposed_jobs) for run in runs]
    return report.Row(case, policy, 'jobs exposed', values)


def _measure_good_versions(pool, good_runs: int) -> list[str]:
    figures = []
    for nodes in NODE_COUNTS:
        tasks = [(nodes, GOOD, seed, None) for seed in range(good_runs)]
        runs = list(pool.map(_simulate, tasks, chunksize=10))
        stopped = sum(run.stopped for run in runs)
        in_service = sum(run.in_service for run in runs)
        figures.append(
            f'good version, {nodes} nodes: {stopped} of {good_runs} stopped '
            f'({100 * stopped / good_runs:.2f}%; goal under 1%), {in_service} '
            'came into service'
        )
    return figures


def _measure_degraded_versions(pool, seeds: int) -> list[str]:
    figures = []
    for name, version in BAD_VERSIONS.items():
        tasks = [(8, GOOD, seed, version) for seed in range(seeds)]
        stopped = [run for run in pool.map(_simulate, tasks) if run.stopped]
        exposed_jobs = sorted(run.exposed_jobs for run in stopped)
        median = exposed_jobs[len(exposed_jobs) // 2] if exposed_jobs else 0
        figures.append(
            f'{name} in service, 8 nodes: {len(stopped)} of {seeds} stopped, '
            f'{median} jobs in the median of {JOBS_PER_TICK} a tick'
        )
    return figures
