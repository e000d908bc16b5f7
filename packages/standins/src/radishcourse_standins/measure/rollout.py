"""Measures exposure to bad versions and false stops of good ones."""

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
JOBS_A_TICK = 20
# A node synchronises once in a tick; results come two ticks after a start.
LAG_TICKS = 2
BASELINE_SHARE = 0.05
SERVICE_TICKS = 150
MAX_TICKS = 3000
RATED_SHARE = 0.5
PROCESSES = 4


class Version(typing.NamedTuple):
    """Behaviour of a version."""

    good: float = 0.9
    errors: float = 0.005
    pace: float = 1.0


GOOD = Version()
BAD = {
    'rating 0.9 to 0.6': Version(good=0.6),
    'errors 0.5% to 15%': Version(errors=0.15),
    'twice as slow': Version(pace=2.0),
    'rating 0.9 to 0.75': Version(good=0.75),
}


@dataclasses.dataclass
class Run:
    """What came of one roll-out."""

    exposed: int = 0
    stopped: bool = False
    in_service: bool = False
    ticks: int = 0


class _Node:
    def __init__(self, index: int):
        self.node = ids.NodeId(f'node-{index}')
        self.tickets = 0
        self.write = 0
        self.waiting: collections.deque = collections.deque()
        self.report = self.fresh()

    def fresh(self) -> rollout.Report:
        return rollout.Report(self.node, 0)


def _outcome(version: Version, source: random.Random):
    return (
        source.random() < version.errors,
        source.lognormvariate(0, 0.4) * version.pace,
        source.random() < version.good,
        source.random() < RATED_SHARE,
    )


def _note(outcomes, outcome, slow_s: float, rated: bool) -> None:
    failed, seconds, good, _ = outcome
    outcomes.error.add(sequentialtest.Tally(1, failed))
    if failed:
        return
    if slow_s:
        outcomes.latency.add(sequentialtest.Tally(1, seconds > slow_s))
    if rated:
        outcomes.rating.add(sequentialtest.Tally(1, not good))


class Fleet:
    """Nodes that share one row."""

    def __init__(self, nodes: int, version: Version, seed: int):
        self._random = random.Random(seed)
        self._nodes = [_Node(index) for index in range(nodes)]
        self._version = version
        self._later: Version | None = None
        self.progress = rollout.Progress(
            ids.ModelId('model'), ids.VersionId('v2')
        )
        self.run = Run()

    def go(self, turns_bad: Version | None = None) -> Run:
        """Runs until the end, or some time in service."""
        served = 0
        for tick in range(MAX_TICKS):
            self.run.ticks = tick
            self._start_jobs(tick)
            for node in self._nodes:
                self._sync(node, tick)
            if self.progress.stage is rollout.Stage.RETURNED:
                self.run.stopped = True
                break
            if self.progress.stage is rollout.Stage.IN_SERVICE:
                served += 1
                self.run.in_service = True
                if served == SERVICE_TICKS // 2 and turns_bad is not None:
                    self._version = turns_bad
                    self.run.exposed = 0
                if served == SERVICE_TICKS:
                    break
        return self.run

    def _start_jobs(self, tick: int) -> None:
        for _ in range(JOBS_A_TICK):
            node = self._random.choice(self._nodes)
            canary = self._random.random() < self.progress.share
            if node.tickets:
                node.tickets -= 1
                canary = True
            self.run.exposed += canary
            version = self._version if canary else GOOD
            outcome = _outcome(version, self._random)
            node.waiting.append((tick + LAG_TICKS, canary, outcome))

    def _sync(self, node: _Node, tick: int) -> None:
        progress, report_ = self.progress, node.fresh()
        node.write += 1
        report_.write = node.write
        while node.waiting and node.waiting[0][0] <= tick:
            _, canary, outcome = node.waiting.popleft()
            outcomes = report_.canary if canary else report_.running
            rated = outcome[3] or progress.stage is rollout.Stage.CANARY
            _note(outcomes, outcome, progress.slow_seconds, rated)
            if canary and progress.stage is rollout.Stage.CANARY:
                report_.finished += 1
            elif not canary:
                report_.times.note(outcome[1])
        share = rollout.MAX_OUTSTANDING // (2 * len(self._nodes))
        report_.wanted = max(1, share) if not node.tickets else 0
        node.tickets += rollout.advance(progress, report_, CANARY_JOBS)


def run_alone(nodes: int, version: Version, seed: int) -> Run:
    """Runs the baseline: a share of jobs, and each node tests by itself."""
    source = random.Random(seed)
    running = [rollout.Outcomes() for _ in range(nodes)]
    canary = [rollout.Outcomes() for _ in range(nodes)]
    stopped = [False] * nodes
    waiting: collections.deque = collections.deque()
    run = Run()
    slow_s = 1.67
    for tick in range(MAX_TICKS):
        for _ in range(JOBS_A_TICK):
            node = source.randrange(nodes)
            chosen = not stopped[node] and source.random() < BASELINE_SHARE
            run.exposed += chosen
            outcome = _outcome(version if chosen else GOOD, source)
            waiting.append((tick + LAG_TICKS, node, chosen, outcome))
        while waiting and waiting[0][0] <= tick:
            _, node, chosen, outcome = waiting.popleft()
            tallies = canary[node] if chosen else running[node]
            _note(tallies, outcome, slow_s, rated=True)
            if chosen and not stopped[node]:
                stopped[node] = _is_harmful(canary[node], running[node])
        if all(stopped):
            run.stopped = True
            break
        if all(item.error.total >= CANARY_JOBS for item in canary):
            break
    return run


def _is_harmful(canary, running) -> bool:
    return any(
        sequentialtest.inferiority(canary.get(item), running.get(item)) >= 6.2
        for item in rollout.Measure
    )


def _go(task) -> Run:
    nodes, version, seed, turns_bad = task
    return Fleet(nodes, version, seed).go(turns_bad)


def _go_alone(task) -> Run:
    return run_alone(*task)


def main(
    seeds: int = SEEDS,
    good_runs: int = GOOD_RUNS,
    folder: str = report.FOLDER,
) -> None:
    """Measures roll-outs."""
    lines, figures = [], []
    with concurrent.futures.ProcessPoolExecutor(PROCESSES) as pool:
        for name, version in BAD.items():
            for nodes in NODE_COUNTS:
                case = f'{name}, {nodes} nodes'
                tasks = [(nodes, version, seed) for seed in range(seeds)]
                runs = list(pool.map(_go, [(*task, None) for task in tasks]))
                alone = list(pool.map(_go_alone, tasks))
                lines += [
                    _line(case, 'tickets', runs),
                    _line(case, 'each node alone', alone),
                ]
                caught = sum(run.stopped for run in runs)
                greatest = max(run.exposed for run in runs)
                figures.append(
                    f'{case}: stopped {caught} of {seeds}, at most {greatest} '
                    f'jobs exposed; goal {CANARY_JOBS}'
                )
        figures += _measure_good(pool, good_runs)
        figures += _measure_turning(pool, seeds)
    report.publish('rollout', lines, figures, folder)


def _line(case: str, policy: str, runs: list[Run]) -> report.Line:
    values = [float(run.exposed) for run in runs]
    return report.Line(case, policy, 'jobs exposed', values)


def _measure_good(pool, good_runs: int) -> list[str]:
    figures = []
    for nodes in NODE_COUNTS:
        tasks = [(nodes, GOOD, seed, None) for seed in range(good_runs)]
        runs = list(pool.map(_go, tasks, chunksize=10))
        stopped = sum(run.stopped for run in runs)
        served = sum(run.in_service for run in runs)
        figures.append(
            f'good version, {nodes} nodes: {stopped} of {good_runs} stopped '
            f'({100 * stopped / good_runs:.2f}%; goal under 1%), {served} '
            'reached all jobs'
        )
    return figures


def _measure_turning(pool, seeds: int) -> list[str]:
    figures = []
    for name, version in BAD.items():
        tasks = [(8, GOOD, seed, version) for seed in range(seeds)]
        caught = [run for run in pool.map(_go, tasks) if run.stopped]
        exposed = sorted(run.exposed for run in caught)
        middle = exposed[len(exposed) // 2] if exposed else 0
        figures.append(
            f'{name} in service, 8 nodes: {len(caught)} of {seeds} stopped, '
            f'{middle} jobs in the median of {JOBS_A_TICK} a tick'
        )
    return figures
