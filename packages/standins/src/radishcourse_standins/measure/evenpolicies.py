"""Policies that `evenload` compares, by name."""

import typing

from radishcourse_model import ids
from radishcourse_policy import evenload
from radishcourse_policy import loadbalancing
from radishcourse_policy import upstreamspeed

LEVEL_REFRESH_S = 0.25
SUBSET_SIZE = 4
# Bytes saved by leaving out the empty lists of a reply.
SPARE_BYTES = 6
KIND = ('service', 'route', 'model')
# Pace of 8 events at nominal speed.
PACE_S = 0.05

POLICIES: dict[str, typing.Callable] = {}


def register(name: str, **fields):
    """Returns a decorator that enters a policy with some settings."""

    def enter(policy):
        POLICIES[name] = lambda node: policy(node, **fields)
        return policy

    return enter


class Policy:
    """Chooses upstreams for a node; the base chooses at random.

    Args:
      node: The node.
    """

    def __init__(self, node):
        self._node = node
        self._fleet = node.fleet
        self._random = node.random
        self._count = node.fleet.case.upstreams

    def choose(self) -> int:
        """Returns the index of the upstream for a request."""
        return self._random.randrange(self._count)

    def hear(self, node: int, work: list[int], speeds: dict) -> None:
        """Receives a node's report of its requests by upstream."""

    def tell(self) -> dict[int, int]:
        """Returns what it tells others of the speed of upstreams."""
        return {}

    def note_pace(self, upstream: int, pace: float) -> None:
        """Observes how long an upstream takes, relative to the nominal."""

    def note_done(self, upstream: int, seconds: float, load: int) -> None:
        """Observes an answer, and the load that the upstream has then."""

    def note_full(self, upstream: int) -> None:
        """Observes a refusal."""

    def note_idle(self, upstream: int) -> int:
        """Is told that an upstream has a free slot; returns the messages."""
        del upstream
        return 0

    def _sample(self, count: int) -> list[int]:
        return self._random.sample(range(self._count), min(count, self._count))


register('shares by hash')(Policy)


@register('own work, 2')
class OwnWork(Policy):
    """The least own work of two."""

    def choose(self) -> int:
        """Returns the index of the upstream for a request."""
        return min(self._sample(2), key=self._node.own.__getitem__)


@register('stable subset')
class Subset(Policy):
    """The least own work of a few upstreams that stay the same."""

    def __init__(self, node):
        super().__init__(node)
        names = range(self._count)
        self._subset = sorted(
            names,
            key=lambda name: loadbalancing.rendezvous_weight(
                f'{node.index}', ids.UpstreamId(f'{name}')
            ),
        )[:SUBSET_SIZE]

    def choose(self) -> int:
        """Returns the index of the upstream for a request."""
        self._random.shuffle(self._subset)
        return min(self._subset, key=self._node.own.__getitem__)


@register('reports, 2 (before)', count=2)
@register('reports, 5', count=5)
class Reports(Policy):
    """The least work by the latest reports, whatever their age."""

    def __init__(self, node, count: int):
        super().__init__(node)
        self._compared = count
        self._reports: dict[int, list[int]] = {}
        self._sums = [0] * self._count

    def hear(self, node: int, work: list[int], speeds: dict) -> None:
        """Receives a node's report of its requests by upstream."""
        old = self._reports.get(node)
        self._reports[node] = new = list(work)
        for index, value in enumerate(new):
            self._sums[index] += value - (old[index] if old else 0)

    def _load(self, index: int) -> float:
        return self._node.own[index] + self._sums[index]

    def choose(self) -> int:
        """Returns the index of the upstream for a request."""
        return min(self._sample(self._compared), key=self._load)


@register('expected change')
class ExpectedChange(Reports):
    """Reports, and the own change since them taken for that of all nodes."""

    def __init__(self, node):
        super().__init__(node, 2)
        self._own_before = list(node.own)

    def hear(self, node: int, work: list[int], speeds: dict) -> None:
        """Receives a node's report of its requests by upstream."""
        super().hear(node, work, speeds)
        # The own work as of the mean time of the reports.
        for index, value in enumerate(self._node.own):
            old = self._own_before[index]
            self._own_before[index] = old + (value - old) / max(
                1, len(self._reports)
            )

    def _load(self, index: int) -> float:
        change = self._node.own[index] - self._own_before[index]
        return max(0.0, super()._load(index) + change * len(self._reports))


@register('told in answers')
class Told(Policy):
    """The load that upstreams tell in answers, discounted by age."""

    def __init__(self, node):
        super().__init__(node)
        self._told: dict[int, tuple[float, float]] = {}
        self._mean = 0.0

    def note_done(self, upstream: int, seconds: float, load: int) -> None:
        """Observes an answer, and the load that the upstream has then."""
        self._told[upstream] = (load, self._fleet.clock.now())
        self._mean += 0.1 * (load - self._mean)

    def _load(self, index: int) -> float:
        load, at = self._told.get(index, (self._mean, 0.0))
        age_s = self._fleet.clock.now() - at
        weight = evenload.report_weight(age_s, self._fleet.case.work_s)
        return evenload.aged(load, self._mean, weight) + self._node.own[index]

    def choose(self) -> int:
        """Returns the index of the upstream for a request."""
        return min(self._sample(2), key=self._load)


@register('C3')
class C3(Told):
    """Ranks replicas by service time and the cube of the queue (C3, 2015).

    The own work is multiplied by the number of nodes.
    """

    def __init__(self, node):
        super().__init__(node)
        self._seconds = [self._fleet.case.work_s] * self._count

    def note_done(self, upstream: int, seconds: float, load: int) -> None:
        """Observes an answer, and the load that the upstream has then."""
        super().note_done(upstream, seconds, load)
        old = self._seconds[upstream]
        self._seconds[upstream] = old + 0.1 * (seconds - old)

    def choose(self) -> int:
        """Returns the index of the upstream for a request."""
        nodes = self._fleet.case.nodes

        def score(index: int) -> float:
            told = self._told.get(index, (self._mean, 0.0))[0]
            queue = 1 + self._node.own[index] * nodes + told
            seconds = self._seconds[index]
            return seconds * (1 + (queue / self._fleet.case.slots) ** 3)

        return min(self._sample(5), key=score)


@register('probes, 2 (Prequal)')
class Probes(Policy):
    """Asks two upstreams for their load before each choice."""

    def choose(self) -> int:
        """Returns the index of the upstream for a request."""
        sampled = self._sample(2)
        self._fleet.messages += len(sampled)
        return min(sampled, key=lambda i: self._fleet.upstreams[i].load)


@register('join idle queue')
class IdleQueue(Policy):
    """Upstreams with a free slot tell a random node."""

    def __init__(self, node):
        super().__init__(node)
        self._idle: list[int] = []

    def note_idle(self, upstream: int) -> int:
        """Is told that an upstream has a free slot; returns the messages."""
        self._idle.append(upstream)
        return 1

    def choose(self) -> int:
        """Returns the index of the upstream for a request."""
        return self._idle.pop(0) if self._idle else super().choose()


@register('aged reports', learn=False, tell=False)
@register('aged, own speeds', learn=True, tell=False)
@register('chosen', learn=True, tell=True)
class EvenLoad(Policy):
    """The gateway's own: aged reports, draws by capacity, learned speeds."""

    def __init__(self, node, learn: bool, tell: bool):
        super().__init__(node)
        self._clock = self._fleet.clock
        self._slots = self._fleet.case.slots
        self._service_s = self._fleet.case.work_s
        self._learn = learn
        self._tell = tell
        self._told = 0
        self._speeds = upstreamspeed.Speeds(self._clock)
        self._sums = evenload.ReportSums(
            self._clock, lambda upstream: self._service_s
        )
        self._heard_at: dict[int, float] = {}
        self._level = evenload.Level()
        self._renew_at = -1.0
        self._full = [evenload.FullPenalty() for _ in range(self._count)]

    def hear(self, node: int, work: list[int], speeds: dict) -> None:
        """Receives a node's report of its requests by upstream."""
        report = {
            index: evenload.Work(count)
            for index, count in enumerate(work)
            if count
        }
        self._sums.replace(node, report)
        self._heard_at[node] = self._clock.now()
        for upstream, report in speeds.items():
            self._speeds.merge(node, (upstream,), KIND[0], report)

    def tell(self) -> dict[int, int]:
        """Returns what it tells others of the speed of upstreams."""
        if not self._tell:
            return {}
        self._told += 1
        busy = [index for index, count in enumerate(self._node.own) if count]
        count = min(len(busy), (len(busy) + SPARE_BYTES) // 2)
        start = self._told * count
        turn = [
            busy[number % len(busy)] for number in range(start, start + count)
        ]
        reports = {index: self._speeds.report((index,)) for index in turn}
        return {
            index: report
            for index, report in reports.items()
            if report is not None
        }

    def note_pace(self, upstream: int, pace: float) -> None:
        """Observes how long an upstream takes, relative to the nominal."""
        if self._learn and self._fleet.case.streams:
            self._speeds.note_pace((upstream,), KIND, PACE_S * pace, 8, 0.0)

    def note_done(self, upstream: int, seconds: float, load: int) -> None:
        """Observes an answer, and the load that the upstream has then."""
        del load
        if self._learn and not self._fleet.case.streams:
            self._speeds.note_head((upstream,), KIND, seconds, 0.0)
        self._service_s += 0.05 * (seconds - self._service_s)

    def note_full(self, upstream: int) -> None:
        """Observes a refusal."""
        self._full[upstream].add(self._clock.now(), self._service_s)

    def _penalty_s(self, upstream: int) -> float:
        return self._full[upstream].seconds(self._clock.now(), self._service_s)

    def _work(self, index: int) -> evenload.UpstreamWork:
        return evenload.UpstreamWork(
            self._node.own[index], 0.0, self._sums.of(index), self._slots
        )

    def choose(self) -> int:
        """Returns the index of the upstream for a request."""
        now = self._clock.now()
        if now >= self._renew_at:
            self._renew_at = now + LEVEL_REFRESH_S
            self._level = evenload.make_level(
                [self._work(index) for index in range(self._count)],
                self._fleet.case.nodes,
                [now - at for at in self._heard_at.values()],
                self._service_s,
            )
        names = loadbalancing.shortlist(
            range(self._count), loadbalancing.Prompt(), (), self._random
        )
        candidates = [
            loadbalancing.Candidate(
                index,
                0.0,
                evenload.expected(self._work(index), self._level).requests,
                self._slots,
                speed=self._speeds.current((index,)),
                penalty_s=self._penalty_s(index),
            )
            for index in names
        ]
        return loadbalancing.choose(
            candidates, loadbalancing.Prompt(), self._random
        ).upstream


@register('hindsight')
class Hindsight(Policy):
    """Sees the true loads and speeds of all upstreams."""

    def choose(self) -> int:
        """Returns the index of the upstream for a request."""
        self._random.random()
        return min(
            self._fleet.upstreams,
            key=lambda item: (
                item.pace * max(1.0, (item.load + 1) / item.slots),
                self._random.random(),
            ),
        ).index
