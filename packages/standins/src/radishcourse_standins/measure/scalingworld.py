"""Simulated zones whose workers may be ordered, under a seeded load.

Each zone has one queue in front of the slots of its workers, which is what a
good balancer comes near to. Requests go to their own zone while it is in
service, and to the others otherwise. Time passes in steps of TICK_S.
"""

import collections
import dataclasses
import heapq
import itertools
import math
import random
import typing

from radishcourse_model import ids
from radishcourse_policy import workload

TICK_S = 0.1
ZONES = tuple(ids.ZoneId(f'zone-{name}') for name in 'abcd')
START = dict(zip(ZONES, (12, 11, 11, 11), strict=True))
MIN_WORKERS, MAX_WORKERS, BOOT_S, SLOTS = 10, 23, 8.0, 16
MEAN_SERVICE_S, SERVICE_SIGMA = 4.0, 0.5
# A first event after the goal has this share of the worth; the deadline limits
# the whole time. Ranges of both in seconds.
LATE_WORTH = 0.5
GOALS_S, DEADLINES_S = (1.5, 6.0), (12.0, 25.0)
WORKER_S_COST = 1 / 50
# Time for which a worker that leaves still drains.
DRAIN_S = 4.0
# A zone that was out of service or lost comes back cold for this long, with
# this share of its slots.
COLD_S, COLD_SHARE = 4.0, 0.3
# Nodes that report, and the share of them that the holder hears of in a second:
# the median age of a report is then 4 s, as with 77 nodes.
NODES, HEARD_SHARE = 24, 0.16
OLD_VERSION, NEW_VERSION = ids.VersionId('v1'), ids.VersionId('v2')


@dataclasses.dataclass(frozen=True)
class Phase:
    """A time in which something is the case in a zone, or in all.

    Attributes:
      begin_s: When it begins.
      end_s: When it ends.
      zone: The zone, None for all.
      amount: Factor on the load, or share of what is affected.
    """

    begin_s: float
    end_s: float
    zone: ids.ZoneId | None = None
    amount: float = 1.0

    def includes(self, at: float, zone: ids.ZoneId | None = None) -> bool:
        """Tells whether a time, and a zone if one is named, are part of it."""
        return self.begin_s <= at < self.end_s and (
            self.zone is None or zone is None or zone == self.zone
        )


@dataclasses.dataclass(frozen=True)
class Pattern:
    """A load pattern.

    Attributes:
      length_s: Its length.
      load: Mean load as a share of the slots at the start.
      swing: Amplitude of the waves, as a share of the load.
      period_s: Period of the waves; zones have different phases.
      loads: Phases with a factor on the load.
      crashes: Phases in which a share of a zone's workers is gone.
      lost: Phases in which a zone, its nodes included, is gone.
      evacuated: Phases in which a zone gets no new requests.
      rolling: Phases of a roll-out.
      cut_off: Phases in which the holder hears of a share of the nodes only.
    """

    length_s: float = 90.0
    load: float = 0.65
    swing: float = 0.0
    period_s: float = 17.0
    loads: tuple[Phase, ...] = ()
    crashes: tuple[Phase, ...] = ()
    lost: tuple[Phase, ...] = ()
    evacuated: tuple[Phase, ...] = ()
    rolling: tuple[Phase, ...] = ()
    cut_off: tuple[Phase, ...] = ()

    def arrivals_per_s(self, at: float, zone: ids.ZoneId) -> float:
        """Returns the rate of requests from a zone's callers."""
        slots = SLOTS * sum(START.values()) / len(ZONES)
        angle = 2 * math.pi * (at / self.period_s + ZONES.index(zone) / 4)
        wave = 1 + self.swing * math.sin(angle)
        rate = self.load * slots / MEAN_SERVICE_S * wave
        for phase in self.loads:
            if phase.includes(at, zone):
                rate *= phase.amount
        return rate


@dataclasses.dataclass
class _Zone:
    running: list = dataclasses.field(default_factory=list)
    waiting: collections.deque = dataclasses.field(
        default_factory=collections.deque
    )
    ready: int = 0
    boots: list[float] = dataclasses.field(default_factory=list)
    drains: list[float] = dataclasses.field(default_factory=list)
    cold_until: float = 0.0
    away: bool = False

    @property
    def work(self) -> int:
        return len(self.running) + len(self.waiting)


class _Request(typing.NamedTuple):
    arrived_at: float
    goal_at: float
    deadline: float
    service_s: float


@dataclasses.dataclass
class Result:
    """Outcome of a run.

    Attributes:
      offered: Number of requests.
      value: Worth of the answers.
      worker_s: Worker-seconds that were charged.
      orders: Numbers ordered by zone, with their times.
      demand: Work by zone, once a second.
    """

    offered: int = 0
    value: float = 0.0
    worker_s: float = 0.0
    orders: dict[ids.ZoneId, list[tuple[float, int]]] = dataclasses.field(
        default_factory=lambda: collections.defaultdict(list)
    )
    demand: list[dict] = dataclasses.field(default_factory=list)

    @property
    def net(self) -> float:
        """Worth of the answers less the cost of the workers."""
        return self.value - WORKER_S_COST * self.worker_s

    def reversals(self, within_s: float) -> int:
        """Returns how often a number rose and fell, or the reverse, in a time.

        Args:
          within_s: The time in seconds.
        """
        count = 0
        for orders in self.orders.values():
            changes = [
                (at, number > before)
                for (_, before), (at, number) in itertools.pairwise(orders)
                if number != before
            ]
            count += sum(
                later - at <= within_s and up != later_up
                for (at, up), (later, later_up) in itertools.pairwise(changes)
            )
        return count


# Returns the numbers to order by zone, for a snapshot and a time.
Policy = typing.Callable[
    [workload.Snapshot, float], typing.Mapping[ids.ZoneId, int]
]


class World:
    """Runs a pattern with a policy.

    Args:
      pattern: The load pattern.
      policy: Decides once a second.
      seed: Seed of the load and of the reports.
      unlimited: Whether each request gets a slot at once.
    """

    def __init__(
        self,
        pattern: Pattern,
        policy: Policy,
        seed: int,
        unlimited: bool = False,
    ):
        self._pattern = pattern
        self._policy = policy
        self._arrivals = random.Random(seed)
        self._reporting = random.Random(seed + 1_000_003)
        self._unlimited = unlimited
        self._zones = {zone: _Zone(ready=START[zone]) for zone in ZONES}
        self._reports: dict[int, tuple[float, dict]] = {}
        self.result = Result()
        for zone, count in START.items():
            self.result.orders[zone].append((0.0, count))

    def run(self) -> Result:
        """Returns the outcome of the whole pattern."""
        per_s = round(1 / TICK_S)
        for tick in range(round(self._pattern.length_s * per_s)):
            now = tick * TICK_S
            self._change_zones(now)
            for zone in ZONES:
                self._add_arrivals(zone, now)
                self._serve(zone, now)
            if tick % per_s == 0:
                self.result.demand.append(
                    {name: zone.work for name, zone in self._zones.items()}
                )
                self._exchange(now)
                for zone, count in self._policy(self.look(now), now).items():
                    self._order(zone, count, now)
        self._finish()
        return self.result

    def _finish(self) -> None:
        """Serves what is left after the end, with the workers that are left."""
        begin = self._pattern.length_s
        for tick in range(round(DEADLINES_S[1] / TICK_S)):
            for zone in ZONES:
                self._serve(zone, begin + tick * TICK_S)
        for zone in self._zones.values():
            self.result.value += sum(worth for _, worth, _ in zone.running)

    def _is(self, phases, now: float, zone: ids.ZoneId) -> bool:
        return any(phase.includes(now, zone) for phase in phases)

    def _change_zones(self, now: float) -> None:
        for name, zone in self._zones.items():
            lost = self._is(self._pattern.lost, now, name)
            away = lost or self._is(self._pattern.evacuated, now, name)
            if zone.away and not away:
                zone.cold_until = now + COLD_S
            zone.away = away
            zone.ready += sum(at <= now for at in zone.boots)
            zone.boots = [at for at in zone.boots if at > now]
            zone.drains = [at for at in zone.drains if at > now]
            present = zone.ready + len(zone.boots) + len(zone.drains)
            if not lost:
                self.result.worker_s += TICK_S * present

    def _present(self, name: ids.ZoneId, now: float) -> int:
        """Returns the workers that run now, without crashed ones."""
        if self._is(self._pattern.lost, now, name):
            return 0
        gone = sum(
            phase.amount
            for phase in self._pattern.crashes
            if phase.includes(now, name)
        )
        return max(0, round(self._zones[name].ready * (1 - gone)))

    def _slots(self, name: ids.ZoneId, now: float) -> int:
        if self._unlimited:
            return 10**9
        slots = SLOTS * self._present(name, now)
        if now < self._zones[name].cold_until:
            slots = int(slots * COLD_SHARE)
        return slots

    def _add_arrivals(self, origin: ids.ZoneId, now: float) -> None:
        source = self._arrivals
        number, product = 0, source.random()
        limit = math.exp(-TICK_S * self._pattern.arrivals_per_s(now, origin))
        while product > limit:
            product *= source.random()
            number += 1
        for _ in range(number):
            service_s = source.lognormvariate(
                math.log(MEAN_SERVICE_S) - SERVICE_SIGMA**2 / 2, SERVICE_SIGMA
            )
            request = _Request(
                now,
                now + source.uniform(*GOALS_S),
                now + source.uniform(*DEADLINES_S),
                service_s,
            )
            self.result.offered += 1
            self._zones[self._target(origin)].waiting.append(request)

    def _target(self, origin: ids.ZoneId) -> ids.ZoneId:
        if not self._zones[origin].away:
            return origin
        others = [name for name in ZONES if not self._zones[name].away]
        return min(
            others or ZONES,
            key=lambda name: (
                self._zones[name].work / max(1, self._zones[name].ready)
            ),
        )

    def _serve(self, name: ids.ZoneId, now: float) -> None:
        zone = self._zones[name]
        while zone.running and zone.running[0][0] <= now:
            self.result.value += heapq.heappop(zone.running)[1]
        slots = self._slots(name, now)
        draining = SLOTS * len(zone.drains)
        while len(zone.running) > slots + draining:
            # A crash: resumable streams begin again elsewhere.
            _, _, request = zone.running.pop()
            zone.waiting.appendleft(request)
        if zone.away and zone.waiting:
            request = zone.waiting.popleft()
            self._zones[self._target(name)].waiting.append(request)
        while zone.waiting and len(zone.running) < slots:
            request = zone.waiting.popleft()
            end = now + request.service_s
            if end > request.deadline:
                continue
            worth = 1.0 if now <= request.goal_at else LATE_WORTH
            heapq.heappush(zone.running, (end, worth, request))
        heapq.heapify(zone.running)

    def _exchange(self, now: float) -> None:
        """Lets the holder hear of some of the nodes."""
        cut_off = [item for item in self._pattern.cut_off if item.includes(now)]
        heard = min((phase.amount for phase in cut_off), default=1.0)
        for node in range(NODES):
            zone = ZONES[node % len(ZONES)]
            if self._is(self._pattern.lost, now, zone) or (
                node >= heard * NODES
            ):
                self._reports.pop(node, None)
                continue
            known = node in self._reports
            if not known or self._reporting.random() < HEARD_SHARE:
                self._reports[node] = (now, self._count(now))

    def _count(self, now: float) -> dict[ids.UpstreamId, float]:
        """Returns one node's share of the work, with its noise."""
        nodes = sum(
            not self._is(self._pattern.lost, now, ZONES[node % len(ZONES)])
            for node in range(NODES)
        )
        requests = {}
        for name, zone in self._zones.items():
            workers = self._present(name, now)
            share = zone.work / nodes
            noise = self._reporting.gauss(0, math.sqrt(share))
            for index in range(workers):
                requests[_worker_id(name, index)] = (
                    max(0.0, share + noise) / workers
                )
        return requests

    def look(self, now: float) -> workload.Snapshot:
        """Returns what the holder knows."""
        workers = {}
        rolling = any(phase.includes(now) for phase in self._pattern.rolling)
        for name, zone in self._zones.items():
            state = workload.WorkerState.READY
            if now < zone.cold_until:
                state = workload.WorkerState.COLD
            for index in range(self._present(name, now)):
                worker = workload.Worker(name, OLD_VERSION, SLOTS, state)
                workers[_worker_id(name, index)] = worker
                if rolling:
                    workers[_worker_id(name, index, 'new')] = worker._replace(
                        version=NEW_VERSION
                    )
            for index in range(len(zone.drains)):
                workers[_worker_id(name, index, 'drain')] = workload.Worker(
                    name, OLD_VERSION, SLOTS, workload.WorkerState.DRAINING
                )
        reports = [
            workload.Report(now - at, requests)
            for at, requests in self._reports.values()
        ]
        evacuated = self._pattern.evacuated
        out = {name for name in ZONES if self._is(evacuated, now, name)}
        return workload.Snapshot(workers, reports, len(reports), out, rolling)

    def _order(self, name: ids.ZoneId, count: int, now: float) -> None:
        zone = self._zones[name]
        if count == self.result.orders[name][-1][1]:
            return
        self.result.orders[name].append((now, count))
        present = zone.ready + len(zone.boots)
        zone.boots += [now + BOOT_S] * max(0, count - present)
        for _ in range(max(0, present - count)):
            if zone.boots:
                zone.boots.pop()
            else:
                zone.ready -= 1
                zone.drains.append(now + DRAIN_S)


def _worker_id(zone: ids.ZoneId, index: int, kind: str = '') -> ids.UpstreamId:
    return ids.UpstreamId(f'{zone}-{kind}{index}')
