"""Measures how evenly nodes load upstreams that they know from old reports.

Nodes choose independently, each from its own requests and from what it has
heard of the others in rounds of gossip. Upstreams have slots and a queue, and
differ in speed; each has phases of 0.6 s in which it takes 2.5 times as long.
Every policy meets the same arrivals, speeds and phases. The baseline in
hindsight sees the true loads and speeds of all upstreams.
"""

import collections
import concurrent.futures
import dataclasses
import functools
import pathlib
import random
import statistics

from radishcourse_policy import clock as clocks
from radishcourse_standins.measure import evenpolicies
from radishcourse_standins.measure import queues
from radishcourse_standins.measure import report

SEEDS = 2
SPEEDS = (0.7, 0.7, 1.7)
SLOW_FACTOR, SLOW_SHARE, SLOW_S = 2.5, 0.15, 0.6
ROUND_S = 0.3
SMALL_FLEET_NODES, SMALL_FANOUT, FANOUT = 16, 6, 3
LOST_SHARE = 0.02
SAMPLE_S = 0.05
FIRST_TOKEN_SHARE = 0.05
PROCESSES = 3


@dataclasses.dataclass(frozen=True)
class Case:
    """A fleet and its load.

    Attributes:
      name: Name in the table.
      nodes: Number of nodes.
      upstreams: Number of upstreams.
      slots: Slots of each.
      work_s: Mean time of a request at nominal speed.
      seconds: Simulated time in which requests arrive.
      uneven: Whether upstreams differ in speed and have slow phases.
      disturbed: Whether there is a burst of 1.8 times the load for a tenth of
        the time, an eighth of the nodes frozen for 2.5 s, another eighth cut
        off from gossip for 3 s, and a third of the reports lost.
      queue: Requests that may wait at an upstream; more are refused.
      load: Offered load as a share of the capacity.
      warm_up: Share of the time that the figures leave out; nodes have learned
        little by then.
    """

    name: str
    nodes: int
    upstreams: int
    slots: int = 16
    work_s: float = 1.0
    seconds: float = 24.0
    uneven: bool = True
    disturbed: bool = False
    queue: int = 1000
    load: float = 0.75
    warm_up: float = 0.4

    @property
    def streams(self) -> bool:
        """Whether responses are streams, whose pace tells the speed."""
        return self.work_s >= 1.0


CASES = (
    Case('8 nodes', 8, 6, seconds=24.0),
    Case('73 nodes', 73, 30),
    Case('73, even', 73, 30, uneven=False),
    Case('73, disturbed', 73, 30, disturbed=True, load=0.7),
    Case('73, plain', 73, 4, 6, 0.015, 14.0, queue=24, load=0.7),
    Case('195 nodes', 195, 48, seconds=20.0),
    Case('570 nodes', 570, 72, seconds=16.0),
)


class Upstream:
    """An upstream with slots and a queue, of its own speed."""

    def __init__(self, simulation, index: int, case: Case, source):
        self.index = index
        self.slots = case.slots
        self.speed = SPEEDS[index % len(SPEEDS)] if case.uneven else 1.0
        self.running = 0
        self.waiting: collections.deque = collections.deque()
        self.most = case.queue
        self._simulation = simulation
        self._phase_s = source.random() * SLOW_S / SLOW_SHARE
        self._has_phases = case.uneven

    @property
    def load(self) -> int:
        """Requests that run or wait."""
        return self.running + len(self.waiting)

    @property
    def pace(self) -> float:
        """Time for the same work now, relative to the nominal time."""
        if not self._has_phases:
            return self.speed
        at = (self._simulation.now + self._phase_s) % (SLOW_S / SLOW_SHARE)
        return self.speed * (SLOW_FACTOR if at < SLOW_S else 1.0)

    def add(self, work_s: float, on_start, on_done) -> bool:
        """Takes a request; returns whether there was room for it."""
        if self.running >= self.slots and len(self.waiting) >= self.most:
            return False
        self.waiting.append((work_s, on_start, on_done))
        self._start()
        return True

    def _start(self) -> None:
        while self.waiting and self.running < self.slots:
            work_s, on_start, on_done = self.waiting.popleft()
            self.running += 1
            seconds = work_s * self.pace
            on_start(FIRST_TOKEN_SHARE * seconds)
            at = self._simulation.now + seconds
            self._simulation.schedule(
                at, functools.partial(self._finish, on_done)
            )

    def _finish(self, on_done) -> None:
        self.running -= 1
        on_done()
        self._start()


class Node:
    """What a node knows; the policies choose from it.

    Attributes:
      own: Its requests in progress by upstream.
    """

    def __init__(self, fleet: 'Fleet', index: int, policy: str):
        self.fleet = fleet
        self.index = index
        self.random = random.Random(fleet.seed * 1000 + index)
        self.own = [0] * fleet.case.upstreams
        self.frozen_until = 0.0
        self.policy = evenpolicies.POLICIES[policy](self)

    def send(self, work_s: float) -> None:
        """Sends a request; one that is refused goes on to another upstream."""
        now = self.fleet.clock.now()
        if now < self.frozen_until:
            self.fleet.simulation.schedule(
                self.frozen_until, lambda: self.send(work_s)
            )
            return
        self._attempt(work_s, now, 2)

    def _attempt(self, work_s: float, arrived_at: float, attempts: int) -> None:
        upstream = self.fleet.upstreams[self.policy.choose()]
        index, started = upstream.index, []
        self.own[index] += 1

        def on_start(first_s: float) -> None:
            now = self.fleet.clock.now()
            started.append(now)
            self.fleet.note_first(arrived_at, now + first_s - arrived_at)
            self.policy.note_pace(index, upstream.pace)

        def on_done() -> None:
            self.own[index] -= 1
            seconds = self.fleet.clock.now() - sent_at
            self.policy.note_pace(index, upstream.pace)
            self.policy.note_done(index, seconds, upstream.load)
            self.fleet.note_idle(upstream)

        sent_at = self.fleet.clock.now()
        if not upstream.add(work_s, on_start, on_done):
            self.own[index] -= 1
            self.policy.note_full(index)
            if attempts > 1:
                self._attempt(work_s, arrived_at, attempts - 1)
            else:
                self.fleet.refused += 1


class Fleet:
    """A run of a case with one policy."""

    def __init__(self, case: Case, policy: str, seed: int):
        self.case = case
        self.seed = seed
        self.simulation = queues.Simulation()
        self.clock = clocks.ManualClock(0.0)
        self.clock.now = lambda: self.simulation.now
        source = random.Random(seed)
        self.upstreams = [
            Upstream(self.simulation, index, case, source)
            for index in range(case.upstreams)
        ]
        self.messages = self.refused = self.requests = 0
        self.nodes = [Node(self, index, policy) for index in range(case.nodes)]
        self._first_s: list[float] = []
        self._spreads: list[float] = []
        self._idle_beside_queue: list[bool] = []
        self._queue_beside_room: list[int] = []
        self._gossip_random = random.Random(seed + 1)
        self._arrive(source)
        self._schedule_rounds()
        self._schedule_samples()
        if case.disturbed:
            self._disturb()

    def _arrive(self, source: random.Random) -> None:
        case = self.case
        slowing = 1 + SLOW_SHARE * (SLOW_FACTOR - 1) if case.uneven else 1.0
        capacity = sum(case.slots / item.speed for item in self.upstreams)
        rate = case.load * capacity / slowing / case.work_s
        now = 0.0
        while now < case.seconds:
            share = now / case.seconds
            burst = case.disturbed and 0.5 < share < 0.6
            now += source.expovariate(rate * (1.8 if burst else 1.0))
            node = self.nodes[source.randrange(case.nodes)]
            work_s = queues.draw_seconds(source, case.work_s, 0.6)
            self.requests += 1
            self.simulation.schedule(now, functools.partial(node.send, work_s))

    def _schedule_rounds(self) -> None:
        for node in self.nodes:
            at = self._gossip_random.random() * ROUND_S
            self.simulation.schedule(at, functools.partial(self._round, node))

    def _round(self, node: Node) -> None:
        now, case = self.simulation.now, self.case
        if now > case.seconds:
            return
        self.simulation.schedule(
            now + ROUND_S, functools.partial(self._round, node)
        )
        if now < node.frozen_until or self._is_cut_off(node):
            return
        fanout = SMALL_FANOUT if case.nodes < SMALL_FLEET_NODES else FANOUT
        for _ in range(min(fanout, case.nodes - 1)):
            other = self._gossip_random.choice(self.nodes)
            lost = LOST_SHARE + (1 / 3 if case.disturbed else 0)
            if (
                other is node
                or self._gossip_random.random() < lost
                or now < other.frozen_until
                or self._is_cut_off(other)
            ):
                continue
            node.policy.hear(other.index, other.own, other.policy.tell())

    def _is_cut_off(self, node: Node) -> bool:
        start = 0.6 * self.case.seconds
        return (
            self.case.disturbed
            and node.index % 8 == 1
            and start < self.simulation.now < start + 3.0
        )

    def _disturb(self) -> None:
        at = 0.7 * self.case.seconds

        def freeze() -> None:
            for node in self.nodes[::8]:
                node.frozen_until = at + 2.5

        self.simulation.schedule(at, freeze)

    def _schedule_samples(self) -> None:
        count = round(self.case.seconds / SAMPLE_S)
        for number in range(round(self.case.warm_up * count), count):
            self.simulation.schedule(number * SAMPLE_S, self._sample)

    def _sample(self) -> None:
        loads = [item.load * item.speed / item.slots for item in self.upstreams]
        mean = statistics.fmean(loads)
        self._spreads.append(max(loads) / mean if mean else 1.0)
        queue = max(len(item.waiting) for item in self.upstreams)
        # Room is a quarter of the slots: one that is just free is no fault.
        has_room = any(
            item.running <= 0.75 * item.slots for item in self.upstreams
        )
        self._idle_beside_queue.append(bool(queue and has_room))
        self._queue_beside_room.append(queue if has_room else 0)

    def note_first(self, arrived_at: float, seconds: float) -> None:
        """Records the time to the first token of a request."""
        if arrived_at > self.case.warm_up * self.case.seconds:
            self._first_s.append(seconds)

    def note_idle(self, upstream: Upstream) -> None:
        """Tells a policy that keeps lists of idle upstreams of one."""
        if upstream.load < upstream.slots:
            node = self._gossip_random.choice(self.nodes)
            self.messages += node.policy.note_idle(upstream.index)

    def run(self) -> dict[str, float]:
        """Runs the case and returns its figures by name."""
        self.simulation.run()
        times = sorted(self._first_s)
        return {
            'spread': statistics.fmean(self._spreads),
            'idle': statistics.fmean(self._idle_beside_queue),
            'queue': float(max(self._queue_beside_room)),
            'p50 ms': 1000 * times[len(times) // 2],
            'p99 ms': 1000 * times[int(0.99 * len(times))],
            'refused': self.refused / self.requests,
            'messages': self.messages / self.requests,
        }


def run(case: Case, policy: str, seed: int) -> dict[str, float]:
    """Simulates one run and returns its figures by name."""
    return Fleet(case, policy, seed).run()


def _measure(task) -> dict[str, float]:
    case, policy, seeds = task
    results = [run(case, policy, seed) for seed in range(1, seeds + 1)]
    return {
        name: statistics.median(item[name] for item in results)
        for name in results[0]
    }


def main(
    seeds: int = SEEDS, folder: str = report.FOLDER, cases: str = ''
) -> None:
    """Measures how evenly the policies load upstreams.

    Args:
      seeds: Number of seeds.
      folder: Folder for the table and the plot; created if missing.
      cases: Names of cases, separated by commas; all if empty.
    """
    chosen = [case for case in CASES if not cases or case.name in cases]
    tasks = [
        (case, policy, seeds)
        for case in chosen
        for policy in evenpolicies.POLICIES
    ]
    # The largest first, so that they do not run alone at the end.
    order = sorted(tasks, key=lambda task: -task[0].nodes)
    with concurrent.futures.ProcessPoolExecutor(PROCESSES) as pool:
        measured = dict(
            zip(
                [task[:2] for task in order],
                pool.map(_measure, order),
                strict=True,
            )
        )
    lines = []
    for case, policy, _ in tasks:
        figures = measured[case, policy]
        if not lines:
            names = ''.join(f'{name:>10}' for name in figures)
            lines.append(f'{"case":15}{"policy":18}{names}')
        values = ''.join(f'{value:10.3f}' for value in figures.values())
        lines.append(f'{case.name:15}{policy:18}{values}')
    path = pathlib.Path(folder)
    path.mkdir(parents=True, exist_ok=True)
    (path / 'evenload.txt').write_text('\n'.join(lines) + '\n')
    _plot(measured, chosen, path / 'evenload.svg')
    print('\n'.join(lines))


def _plot(measured, cases, path: pathlib.Path) -> None:
    # Imported here since matplotlib is a development dependency only.
    import matplotlib
    import matplotlib.figure

    # Without these, each run writes another file.
    matplotlib.rcParams['svg.hashsalt'] = 'evenload'
    names = list(evenpolicies.POLICIES)
    figure = matplotlib.figure.Figure(figsize=(11, 5))
    for column, measure in enumerate(('spread', 'p99 ms')):
        axes = figure.add_subplot(1, 2, column + 1)
        for case in cases:
            values = [measured[case, name][measure] for name in names]
            axes.plot(values, range(len(names)), 'o-', label=case.name, ms=3)
        axes.set_yticks(range(len(names)), names, fontsize=7)
        axes.set_xscale('log')
        axes.set_title(measure, fontsize=9)
        axes.legend(fontsize=6)
    figure.tight_layout()
    figure.savefig(path, metadata={'Date': None})
