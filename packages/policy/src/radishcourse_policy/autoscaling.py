"""Number of workers of a service in each availability zone.

One node decides for all. It knows the work in progress at each worker from the
reports of all nodes, which are some seconds old, and the workers that are
listed. What it ordered before counts as present: ordered workers serve within
the boot time, and crashed ones come back sooner than a new one would.

A worker-second costs about a fiftieth of an answer, and a busy worker gives
several answers in a second. A worker is therefore worth its cost if it is
needed in one second of a hundred, and the number follows the peak of the work
rather than its mean.

Load pattern: days of 35 to 90 s with waves by zone, bursts of 4 to 6 s (shorter
than a boot of 8 s, so that only workers that run already help), crashed workers
that are back in 2 to 5 s, roll-outs that double the workers for up to 24 s,
zones that are lost, or evacuated and back with cold workers.
"""

import collections
import dataclasses
import enum
import math
import typing

from radishcourse_model import ids
from radishcourse_policy import workload

# Share of the slots that the peak of the work may use. A jump of the traffic by
# 1.5 then still finds free slots.
TARGET_SHARE = 0.65
# Share of the slots above which workers are added. The distance to TARGET_SHARE
# keeps the noise of a steady load from adding workers after a step down.
HIGH_SHARE = 0.8
# Share of the work that waits for slots at single workers above which a worker
# is added although the zone has free slots.
WAITING_SHARE = 0.1
# Longest period of the waves in the load. The peak is taken over one wave and
# a boot.
WAVE_S = 20.0
# For this long, nodes that were heard of count as part of the fleet. It exceeds
# a day, so that the half of a divided fleet does not take itself for the whole.
FLEET_MEMORY_S = 120.0
# Least share of the fleet that must be known for a step down. Restarts of
# single nodes stay above it, a lost zone does not.
KNOWN_SHARE = 0.9
# A decision after a longer pause starts a new window: the process was paused,
# data was missing, or calls to the platform took that long. A burst, of 4 to
# 6 s, may otherwise be missing in the window.
MAX_PAUSE_S = 5.0
# Least time from one addition to the next, in which reports can change.
ADDITION_INTERVAL_S = 2.0
# Longer boots count as this one, so that the window of the peak stays short.
MAX_BOOT_S = 600.0
# A step down takes this share of the workers, and one at least.
STEP_SHARE = 1 / 8
# Least share of the ordered workers that must be listed for a step down.
PRESENT_SHARE = 0.75


@dataclasses.dataclass(frozen=True)
class Limits:
    """Limits of a service's scaling.

    Attributes:
      min_workers: Least number of workers in a zone.
      max_workers: Largest number of workers in a zone.
      boot_s: Seconds until a new worker serves.
    """

    min_workers: int
    max_workers: int
    boot_s: float


class Reason(enum.Enum):
    """Why a number was ordered, or why it stays."""

    LOAD = 'load'
    WAITING = 'waiting'
    IDLE = 'idle'
    LIMITS = 'limits'
    ADOPTED = 'adopted'
    ENOUGH = 'enough'
    STALE = 'stale'
    OBSERVING = 'observing'
    ZONE_OUT = 'zone_out'
    DWELL = 'dwell'


class Decision(typing.NamedTuple):
    """The decision for a zone and its inputs.

    Attributes:
      count: Number of workers to order, None to hold.
      reason: Why.
      load: The zone's load, None if it is not known.
    """

    count: int | None
    reason: Reason
    load: workload.ZoneLoad | None = None


@dataclasses.dataclass
class _Zone:
    seen_at: float
    most_listed: int = 0
    ordered: int | None = None
    changed_at: float = float('-inf')
    grown: bool = False
    window: collections.deque[tuple[float, float]] = dataclasses.field(
        default_factory=collections.deque
    )


class _Inputs(typing.NamedTuple):
    now: float
    load: workload.ZoneLoad
    may_shrink: bool
    rolling: bool


class Scaler:
    """Decides for the zones of one service.

    A node that becomes the holder makes a new one. It takes the largest number
    of workers that it sees listed within a boot for what was ordered before.

    Args:
      limits: Limits of the service.

    Attributes:
      limits: Limits of the service; may be replaced at any time.
    """

    def __init__(self, limits: Limits):
        self.limits = limits
        self._zones: dict[ids.ZoneId, _Zone] = {}
        self._fleet: collections.deque[tuple[float, int]] = collections.deque()
        self._decided_at = float('-inf')

    def decide(
        self, snapshot: workload.Snapshot, now: float
    ) -> dict[ids.ZoneId, Decision]:
        """Returns the decision for each zone that has, or had, workers.

        Args:
          snapshot: What is known of the service.
          now: Time in seconds.
        """
        for worker in snapshot.workers.values():
            self._zones.setdefault(worker.zone, _Zone(now))
        fleet_size = self._fleet_size(snapshot.nodes, now)
        if 2 * len(snapshot.fresh_reports) <= fleet_size:
            return dict.fromkeys(self._zones, Decision(None, Reason.STALE))
        if now - self._decided_at > MAX_PAUSE_S:
            for state in self._zones.values():
                state.window.clear()
        self._decided_at = now
        may_shrink = (
            snapshot.nodes >= KNOWN_SHARE * fleet_size and not snapshot.rolling
        )
        decisions = {}
        for zone, load in workload.measure(snapshot, self._zones).items():
            state = self._zones[zone]
            is_out = zone in snapshot.zones_out
            self._note(state, load, now, is_out)
            inputs = _Inputs(now, load, may_shrink, snapshot.rolling)
            if is_out:
                # Its workers come back cold; new ones would be no warmer.
                count, reason = None, Reason.ZONE_OUT
            else:
                count, reason = self._decide_zone(state, inputs)
            decisions[zone] = Decision(count, reason, load)
        return decisions

    def _fleet_size(self, nodes: int, now: float) -> int:
        """Returns the largest number of nodes within FLEET_MEMORY_S."""
        while self._fleet and self._fleet[-1][1] <= nodes:
            self._fleet.pop()
        self._fleet.append((now, nodes))
        while self._fleet[0][0] < now - FLEET_MEMORY_S:
            self._fleet.popleft()
        return self._fleet[0][1]

    @property
    def _boot_s(self) -> float:
        return min(self.limits.boot_s, MAX_BOOT_S)

    @property
    def _window_s(self) -> float:
        return WAVE_S + self._boot_s

    @property
    def _bounds(self) -> tuple[int, int]:
        low = max(1, self.limits.min_workers)
        return low, max(low, self.limits.max_workers)

    def _note(
        self, state: _Zone, load: workload.ZoneLoad, now: float, is_out: bool
    ) -> None:
        state.most_listed = max(state.most_listed, load.listed)
        if is_out or not _is_present(state, load):
            # The work of this time says nothing about the time after it.
            state.window.clear()
        state.window.append((now, load.demand))
        # One item from before the window shows that it is covered.
        while len(state.window) > 1 and state.window[1][0] <= (
            now - self._window_s
        ):
            state.window.popleft()

    def _decide_zone(
        self, state: _Zone, inputs: _Inputs
    ) -> tuple[int | None, Reason]:
        if state.ordered is None:
            return self._adopt(state, inputs)
        self._take_over(state, inputs)
        low, high = self._bounds
        if state.ordered < low:
            return self._order(state, inputs.now, low, Reason.LIMITS)
        more = self._count_for_load(state.ordered, inputs)
        if more is not None:
            if self._may_grow(state, inputs.now):
                return self._order(state, inputs.now, *more)
            return None, Reason.DWELL
        if state.ordered > high:
            least, reason = high, Reason.LIMITS
        elif inputs.now - state.window[0][0] < self._window_s:
            return None, Reason.ENOUGH
        else:
            peak = max(demand for _, demand in state.window)
            least = max(low, _needed(peak, inputs.load.slots))
            reason = Reason.IDLE
        if least >= state.ordered:
            return None, Reason.ENOUGH
        if not self._may_shrink(state, inputs):
            return None, Reason.DWELL
        step = max(1, int(state.ordered * STEP_SHARE))
        count = max(least, state.ordered - step)
        return self._order(state, inputs.now, count, reason)

    def _adopt(
        self, state: _Zone, inputs: _Inputs
    ) -> tuple[int | None, Reason]:
        """Finds out what a previous holder ordered, and orders it again."""
        if not state.most_listed:
            # The list may be incomplete, or the zone lost for a while.
            return None, Reason.OBSERVING
        low, high = self._bounds
        more = self._count_for_load(state.most_listed, inputs)
        if more is not None and state.most_listed >= low:
            return self._order(state, inputs.now, *more)
        observed_s = inputs.now - state.seen_at
        if inputs.rolling or observed_s < self._boot_s:
            return None, Reason.OBSERVING
        if state.most_listed > high:
            # Steps lead from here to the limit.
            state.ordered = state.most_listed
            return None, Reason.OBSERVING
        count = max(state.most_listed, low)
        return self._order(state, inputs.now, count, Reason.ADOPTED)

    def _take_over(self, state: _Zone, inputs: _Inputs) -> None:
        """Takes workers that were added, or did not leave, as ordered.

        The next step down starts from them, and asks them to leave again.
        """
        settled = inputs.now - state.changed_at >= self._window_s
        if settled and not inputs.rolling and not inputs.load.draining:
            state.ordered = max(state.ordered, inputs.load.listed)

    def _count_for_load(
        self, present: int, inputs: _Inputs
    ) -> tuple[int, Reason] | None:
        """Returns a number above the present one, None if that is enough."""
        high, load = self._bounds[1], inputs.load
        if present >= high:
            return None
        if load.demand > HIGH_SHARE * present * load.slots:
            count = _needed(load.demand, load.slots)
            return min(high, max(count, load.listed)), Reason.LOAD
        # What waits for crashed or booting workers needs no others.
        all_serve = load.listed - load.cold >= present
        if all_serve and load.waiting > WAITING_SHARE * load.work:
            return min(high, max(present + 1, load.listed)), Reason.WAITING
        return None

    def _may_grow(self, state: _Zone, now: float) -> bool:
        dwell_s = self._boot_s / 2
        if state.grown:
            dwell_s = ADDITION_INTERVAL_S
        return now - state.changed_at >= dwell_s

    def _may_shrink(self, state: _Zone, inputs: _Inputs) -> bool:
        """Tells whether workers may go.

        Workers that drain hold open sessions; the next ones go after them.
        """
        dwell_s = self._window_s if state.grown else self._boot_s
        load = inputs.load
        return (
            inputs.may_shrink
            and not load.draining
            and not load.cold
            and _is_present(state, load)
            and load.listed <= state.ordered
            and inputs.now - state.changed_at >= dwell_s
        )

    @staticmethod
    def _order(
        state: _Zone, now: float, count: int, reason: Reason
    ) -> tuple[int, Reason]:
        state.changed_at = now
        # What is adopted may just have been raised.
        state.grown = count > (state.ordered or 0)
        state.ordered = count
        return count, reason


def _is_present(state: _Zone, load: workload.ZoneLoad) -> bool:
    """Tells whether most of the workers of a zone are listed."""
    expected = state.ordered or state.most_listed
    return load.listed >= PRESENT_SHARE * expected


def _needed(work: float, slots: float) -> int:
    return max(1, math.ceil(work / (slots * TARGET_SHARE)))
