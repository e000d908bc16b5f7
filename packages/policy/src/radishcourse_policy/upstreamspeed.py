"""Speed of each upstream relative to its service, learned from its answers.

The times of answers that pass anyway tell the speed: the time to the head per
expected work, and the pace of streams, by model. They are compared with the
mean of the same kind of request over all upstreams of the service.

Load pattern: upstreams of one service that take 0.7 to 1.7 times the nominal
time, and phases of 0.6 s in which an upstream takes 2.5 times as long. A phase
is no property of the upstream, so it is remembered for a short time only and
never takes the upstream out of service.
"""

import dataclasses
import math
import typing

from radishcourse_model import ids

# Answers within this time count as one observation: streams of one upstream
# share its steps, and a slow phase lasts about as long.
OBSERVATION_S = 0.6
# Observations before an upstream may count as different, and the number over
# which they are averaged, about half a minute of continuous streams.
MIN_OBSERVATIONS = 8
WINDOW_OBSERVATIONS = 48
# An upstream counts as different if the mean logarithm differs from 0 by this
# much and by this many standard errors, and as equal again below the lower
# bound. The test is repeated with each observation, so four standard errors.
MIN_DIFFERENCE = 0.15
EQUAL_DIFFERENCE = 0.08
STANDARD_ERRORS = 4.0
# Least standard deviation of an observation; a few alike do not prove more.
MIN_DEVIATION = 0.1
# Weight of the newest observation in the variance over a service's upstreams.
# Some upstreams happen to have no slow phase for many observations; their own
# variance alone would prove them fast.
VARIANCE_WEIGHT = 0.02
# The mean is shrunk towards 0 as by so many observations of equal speed.
PRIOR_OBSERVATIONS = 4.0
# Bounds of the factor; times beyond them show a fault, not a speed.
MAX_FACTOR = 4.0
# The fastest of this many heads in the time of an observation tells the speed,
# as the others had to wait.
MIN_HEADS = 3
# Bound of the logarithm of an observation: the nominal time and a slow phase.
MAX_RATIO = math.log(2.5)
# Weight of the newest answer in the mean of its kind.
KIND_MEAN_WEIGHT = 0.05
# An answer this many times slower than its upstream's others begins a phase;
# the memory of it halves in 0.2 s, a third of a phase.
PHASE_RATIO = 1.8
PHASE_MEMORY_S = 0.3
# Events over which the pace of a stream is measured.
PACE_EVENTS = 8
# Shorter times tell more of this process than of the upstream.
MIN_HEAD_S = 0.005
MIN_PACE_S = 0.0005
# Streams of an upstream share its steps. One with all slots in use is taken to
# be this much slower than an empty one; on the users' engines it is 1.8 to 2.1
# times. A smaller value errs towards equal speeds.
OCCUPIED_SLOWDOWN = 1.0
# A change by this factor is logged, at most once in a time for an upstream.
LOGGED_CHANGE = 1.25
LOG_INTERVAL_S = 2.0


class Change(typing.NamedTuple):
    """A change of an upstream's speed that operators should see.

    Attributes:
      factor: Its time relative to the service's mean; 1 for equal.
      observations: Observations behind it.
    """

    factor: float
    observations: int


# Other nodes' observations are pooled with the own ones, of so many nodes for
# an upstream. They came when this node had known it for TOLD_DELAY_S, by when
# news of its restart have reached all nodes.
MAX_TOLD_NODES = 24
TOLD_DELAY_S = 3.0
# What a node tells is packed into one byte: its number of observations, of one
# of these classes, and the mean in steps.
TOLD_COUNTS = (1, 3, 8, 20)
TOLD_STEP = 0.1
MAX_TOLD_STEPS = 7
TOLD_OFFSET = len(TOLD_COUNTS) * (2 * MAX_TOLD_STEPS + 1) // 2
# Variance of observations until a node has made its own: that of the slow
# phases.
UNKNOWN_VARIANCE = 0.12


@dataclasses.dataclass
class _Upstream:
    first_at: float
    count: int = 0
    mean: float = 0.0
    variance: float = 0.0
    # Observations and mean by node, and their sums.
    told_by: dict = dataclasses.field(default_factory=dict)
    told_count: int = 0
    told_sum: float = 0.0
    differs: bool = False
    factor: float = 1.0
    logged: float = 1.0
    logged_at: float = float('-inf')
    # Sum and number of the answers of the latest observation.
    began_at: float = 0.0
    sum: float = 0.0
    answers: int = 0
    # Excess of the latest slow answer, and its time.
    phase: float = 0.0
    phase_at: float = 0.0

    @property
    def pooled_mean(self) -> float:
        count = self.count + self.told_count
        if not count:
            return 0.0
        return (self.mean * self.count + self.told_sum) / count

    def observe(self, value: float) -> None:
        self.count = min(self.count + 1, WINDOW_OBSERVATIONS)
        difference = value - self.mean
        self.mean += difference / self.count
        self.variance += (
            difference * (value - self.mean) - self.variance
        ) / self.count

    def refine(self, value: float) -> None:
        """Adds an answer to the latest observation, which is their mean."""
        before = self.sum / self.answers
        self.sum += value
        self.answers += 1
        self.mean += (self.sum / self.answers - before) / self.count

    def add_told(self, node: ids.NodeId, count: int, mean: float) -> None:
        self.remove_told(node)
        if len(self.told_by) >= MAX_TOLD_NODES:
            self.remove_told(next(iter(self.told_by)))
        self.told_by[node] = (count, mean)
        self.told_count += count
        self.told_sum += count * mean

    def remove_told(self, node: ids.NodeId) -> None:
        count, mean = self.told_by.pop(node, (0, 0.0))
        self.told_count -= count
        self.told_sum -= count * mean

    def judge(self, now: float, usual_variance: float) -> None:
        """Decides whether it is measurably different."""
        # Nodes see the same phases, so that together they know no more than
        # one that sees all of them.
        count = min(
            self.count + self.told_count,
            WINDOW_OBSERVATIONS,
            (now - self.first_at) / OBSERVATION_S,
        )
        mean = self.pooled_mean
        bound = EQUAL_DIFFERENCE
        if not self.differs and count:
            variance = max(self.variance, usual_variance)
            deviation = max(MIN_DEVIATION, math.sqrt(variance))
            error = deviation / math.sqrt(count)
            bound = max(MIN_DIFFERENCE, STANDARD_ERRORS * error)
        self.differs = count >= MIN_OBSERVATIONS and abs(mean) > bound
        self.factor = 1.0
        if self.differs:
            shrunk = mean * count / (count + PRIOR_OBSERVATIONS)
            self.factor = math.exp(shrunk)
            self.factor = min(MAX_FACTOR, max(1 / MAX_FACTOR, self.factor))


class Speeds:
    """Learned speeds of upstreams.

    An upstream is identified by its incarnation, so that a restart or another
    version starts anew.

    Args:
      clock: Source of time.
    """

    def __init__(self, clock):
        self._clock = clock
        self._upstreams: dict[tuple, _Upstream] = {}
        self._kind_means: dict[tuple, float] = {}
        self._variances: dict[str, float] = {}
        # Since when heads were counted, their number and the least time.
        self._heads: dict[tuple, tuple[float, int, float]] = {}

    def note_head(
        self, incarnation: tuple, kind: tuple, seconds: float, prefill_s: float
    ) -> Change | None:
        """Records the time to the head of an answer.

        Args:
          incarnation: The upstream.
          kind: The service, route and model.
          seconds: Time from sending the request to the head of the answer.
          prefill_s: Expected prefill time of the prompt.

        Returns:
          The change of its speed, if operators should see it.
        """
        # The base keeps short prompts comparable with long ones.
        value = math.log(max(seconds, MIN_HEAD_S) / (0.05 + prefill_s))
        now = self._clock.now()
        began_at, count, least = self._heads.get(
            (incarnation, kind), (now, 0, value)
        )
        if now - began_at < OBSERVATION_S:
            heads = (began_at, count + 1, min(least, value))
            self._heads[(incarnation, kind)] = heads
            return None
        self._heads[(incarnation, kind)] = (now, 1, value)
        if count < MIN_HEADS:
            return None
        return self._note(incarnation, ('head', *kind), least)

    def note_pace(
        self,
        incarnation: tuple,
        kind: tuple,
        seconds: float,
        events: int,
        occupied: float,
    ) -> Change | None:
        """Records the time that a few events of a stream took.

        Args:
          incarnation: The upstream.
          kind: The service, route and model.
          seconds: Time in which the events arrived.
          events: Their number.
          occupied: Expected share of the upstream's slots that are occupied.

        Returns:
          The change of its speed, if operators should see it.
        """
        pace_s = max(seconds / events, MIN_PACE_S)
        pace_s /= 1 + OCCUPIED_SLOWDOWN * min(1.0, occupied)
        return self._note(incarnation, ('pace', *kind), math.log(pace_s))

    def _note(
        self, incarnation: tuple, kind: tuple, value: float
    ) -> Change | None:
        mean = self._kind_means.setdefault(kind, value)
        self._kind_means[kind] = mean + KIND_MEAN_WEIGHT * (value - mean)
        ratio = max(-MAX_RATIO, min(MAX_RATIO, value - mean))
        now = self._clock.now()
        known = self._known(incarnation, now)
        excess = ratio - known.pooled_mean
        if excess > math.log(PHASE_RATIO):
            known.phase = min(excess, math.log(MAX_FACTOR))
            known.phase_at = now
        elif excess < math.log(PHASE_RATIO) / 2:
            known.phase = 0.0
        self._observe(known, kind[1], ratio, now)
        return self._change(known)

    def _known(self, incarnation: tuple, now: float) -> _Upstream:
        return self._upstreams.setdefault(
            incarnation, _Upstream(first_at=now, began_at=now)
        )

    def _observe(
        self, known: _Upstream, service: str, value: float, now: float
    ) -> None:
        variance = self._variances.get(service, 0.0)
        if not known.answers or now - known.began_at >= OBSERVATION_S:
            known.began_at, known.sum, known.answers = now, value, 1
            known.observe(value)
            square = (value - known.mean) ** 2
            variance += VARIANCE_WEIGHT * (square - variance)
            self._variances[service] = variance
        else:
            known.refine(value)
        known.judge(now, variance)

    def _change(self, known: _Upstream) -> Change | None:
        factor, now = known.factor, self._clock.now()
        if factor == known.logged or now < known.logged_at + LOG_INTERVAL_S:
            return None
        change = abs(math.log(factor / known.logged))
        if 1.0 not in (factor, known.logged) and (
            change < math.log(LOGGED_CHANGE)
        ):
            return None
        known.logged, known.logged_at = factor, now
        return Change(factor, known.count + known.told_count)

    def report(self, incarnation: tuple) -> int | None:
        """Returns what this node tells others of an upstream, in one byte.

        It tells its own observations only, so that none counts twice.
        """
        known = self._upstreams.get(incarnation)
        if known is None or not known.count:
            return None
        steps = round(known.mean / TOLD_STEP)
        steps = max(-MAX_TOLD_STEPS, min(MAX_TOLD_STEPS, steps))
        size = max(
            index
            for index, count in enumerate(TOLD_COUNTS)
            if count <= known.count
        )
        return (steps + MAX_TOLD_STEPS) * len(TOLD_COUNTS) + size - TOLD_OFFSET

    def merge(
        self, node: ids.NodeId, incarnation: tuple, service: str, report: int
    ) -> Change | None:
        """Adds what another node tells of an upstream.

        Args:
          node: The node; what it told before is replaced.
          incarnation: The upstream.
          service: Its service.
          report: What the node's `report` returned; other values are ignored.

        Returns:
          The change of its speed, if operators should see it.
        """
        steps, size = divmod(report + TOLD_OFFSET, len(TOLD_COUNTS))
        if not 0 <= steps <= 2 * MAX_TOLD_STEPS:
            return None
        now = self._clock.now()
        known = self._known(incarnation, now)
        if now - known.first_at < TOLD_DELAY_S:
            return None
        mean = TOLD_STEP * (steps - MAX_TOLD_STEPS)
        known.add_told(node, TOLD_COUNTS[size], mean)
        known.judge(now, self._variances.get(service, UNKNOWN_VARIANCE))
        return self._change(known)

    def factor(self, incarnation: tuple) -> float:
        """Returns an upstream's time relative to the mean of its service.

        It is exactly 1 while the upstream is not measurably different.
        """
        known = self._upstreams.get(incarnation)
        return 1.0 if known is None else known.factor

    def current(self, incarnation: tuple) -> float:
        """Returns the factor together with a slow phase that may go on."""
        known = self._upstreams.get(incarnation)
        if known is None:
            return 1.0
        if not known.phase:
            return known.factor
        age_s = self._clock.now() - known.phase_at
        return known.factor * math.exp(
            known.phase * math.exp(-age_s / PHASE_MEMORY_S)
        )

    def learned(self) -> dict[tuple, float]:
        """Returns the factors of the upstreams that count as different."""
        return {
            incarnation: known.factor
            for incarnation, known in self._upstreams.items()
            if known.differs
        }

    def forget(self, present: set[tuple]) -> None:
        """Drops the upstreams that are not present."""
        for incarnation in self._upstreams.keys() - present:
            del self._upstreams[incarnation]
        for key in [key for key in self._heads if key[0] not in present]:
            del self._heads[key]


@dataclasses.dataclass
class PaceMeter:
    """Cuts a stream into stretches whose pace can be compared.

    Attributes:
      began_at: When the stretch began, in seconds.
      events: Events of the stream by then.
    """

    began_at: float
    events: int = 0

    def stretch(self, now: float, events: int) -> tuple[float, int] | None:
        """Returns the seconds and events of a stretch that is complete.

        Args:
          now: The time.
          events: Events of the stream so far.
        """
        count = events - self.events
        if count < PACE_EVENTS:
            return None
        seconds = now - self.began_at
        self.began_at, self.events = now, events
        return seconds, count
