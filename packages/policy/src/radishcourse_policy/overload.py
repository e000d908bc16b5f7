"""Decides under a shortage which requests are sent and which are refused.

Load patterns: one organisation sends six times its usual load for 10 s; a
third of the upstreams is lost at once while traffic grows by 1.4 to 2.5;
refused callers repeat their requests at once. Without these decisions the
requests wait in the queues of the upstreams until their deadlines pass.

All state is that of one node and one service. Nothing is refused on doubtful
data: the wait that the work at the upstreams implies and the waits of recent
responses must both be too long.
"""

import collections
import dataclasses
import enum
import math
import random
import typing

from radishcourse_model import ids
from radishcourse_policy import fairshares
from radishcourse_policy import servicetimes

# Callers count a refusal as a fault while less than this share of the slots is
# in use and nothing waits.
MIN_OCCUPIED_SHARE = 0.5
# A request is unservable only if it would wait for this share of the time left:
# without a queue the estimate of its running time may be what is wrong.
MIN_WAIT_SHARE = 0.1
# Callers honour Retry-After up to this share of the time they have left.
MAX_RETRY_SHARE = 1 / 3
MIN_RETRY_S = 0.05
# A smaller share counts as this one in Retry-After.
MIN_SHARE = 0.1
# Range of the random factor of Retry-After, so that callers who were refused
# together do not return together.
RETRY_SPREAD = (0.5, 1.5)
# Windows that the usual time to the head is taken from if there are few recent
# responses. It refuses nothing, so older ones do no harm.
USUAL_WINDOWS = 4
# Refused requests that are remembered, and for how long: callers' deadlines are
# at most 25 s away.
MAX_REFUSED = 1024
REFUSED_TTL_S = 30.0


class Verdict(enum.Enum):
    """What happens to a request, and why it is refused."""

    SEND = 'send'
    UNSERVABLE = 'unservable'
    OVER_SHARE = 'over_share'
    LESS_URGENT = 'less_urgent'


class Repeat(enum.Enum):
    """Whether an answer may be dropped for one of a larger model."""

    ALLOWED = 'allowed'
    AFTER_DEADLINE = 'after_deadline'
    AFTER_GOAL = 'after_goal'
    SHORTAGE = 'shortage'


@dataclasses.dataclass(frozen=True)
class Limits:
    """Parameters of the decisions.

    Attributes:
      window_s: Time for which responses and requests count.
      min_samples: Responses within it that an estimate needs.
      goal_factor: Multiple of the shortest goal above which waits are a
        shortage.
      drain_s: Time in which the queue is to be worked off down to that wait.
      floor_share: Lowest share of requests sent of any organisation and
        priority, relative to the share over all requests.
    """

    window_s: float = 3.0
    min_samples: int = 8
    goal_factor: float = 0.4
    drain_s: float = 2.0
    floor_share: float = 0.3


@dataclasses.dataclass(frozen=True)
class Demand:
    """What a request asks for.

    Attributes:
      request: Identifies it in all attempts of its caller.
      organisation: The organisation that sent it.
      priority: Its priority; 0 is the most urgent.
      cost: Its expected cost.
      goal_s: Seconds after its arrival within which its response has its full
        value.
      arrived_at: When it arrived, in seconds of the node's clock.
      deadline: When its caller stops waiting, on the same clock.
      kind: Route and model, whose running times are compared.
    """

    request: str
    organisation: ids.OrganisationId
    priority: int
    cost: float
    goal_s: float
    arrived_at: float
    deadline: float
    kind: tuple[str, str]


@dataclasses.dataclass(frozen=True)
class Room:
    """Capacity of a service's upstreams and the work there.

    Attributes:
      slots: Slots of all upstreams.
      in_flight: Requests in progress there, waiting ones included.
      mean_waiting_s: Mean time to prefill the prompts that wait.
      best_waiting_s: That time at the upstream with the shortest wait.
      best_excess: Requests above the slots there, in multiples of its slots.
    """

    slots: int
    in_flight: int
    mean_waiting_s: float
    best_waiting_s: float
    best_excess: float

    @property
    def is_occupied(self) -> bool:
        """Whether at least half of the slots are in use."""
        return self.in_flight >= MIN_OCCUPIED_SHARE * max(1, self.slots)


@dataclasses.dataclass(frozen=True)
class Decision:
    """A verdict and its inputs.

    Attributes:
      verdict: What happens to the request.
      retry_after_s: When its caller may return; 0 if it is sent.
      first_s: Least expected time to the first token, None if unknown.
      run_s: Least expected time from there to the end.
      share: Share of such requests that is sent.
      room: The service's capacity and work, None if it was not needed.
    """

    verdict: Verdict
    retry_after_s: float = 0.0
    first_s: float | None = None
    run_s: float = 0.0
    share: float = 1.0
    room: Room | None = None


SEND = Decision(Verdict.SEND)


@dataclasses.dataclass(frozen=True)
class RepeatDecision:
    """Whether a larger model may run, and the inputs.

    Attributes:
      repeat: The decision.
      head_s: Expected time to the head of its response, None if unknown.
      run_s: Expected time from there to the end; 0 if unknown.
    """

    repeat: Repeat
    head_s: float | None = None
    run_s: float = 0.0


class Admission:
    """Decides on the requests for one service.

    Args:
      source: Source of random numbers.

    Attributes:
      limits: Parameters of the decisions.
      times: Times of recent responses.
      shares: Shares of organisations and priorities.
    """

    def __init__(self, source: random.Random):
        self._random = source
        self.limits = Limits()
        self.times = servicetimes.ServiceTimes()
        self.shares = fairshares.FairShares(source)
        self._refused: collections.OrderedDict[str, float] = (
            collections.OrderedDict()
        )

    def first_token_s(self, now: float, room: Room) -> float | None:
        """Returns the least expected time to the first token.

        The smaller one of the time that the work at the best upstream implies
        and of the lower quartile of recent responses; None if either is
        unknown or less than half of the slots are in use.
        """
        observed_s = self._observed_s(now)
        slot_s = self.times.slot_s(self.limits.min_samples)
        if observed_s is None or slot_s is None or not room.is_occupied:
            return None
        implied_s = room.best_waiting_s + room.best_excess * slot_s
        return min(observed_s, implied_s)

    def _observed_s(self, now: float) -> float | None:
        return self.times.head_s(
            now, self.limits.window_s, self.limits.min_samples, 0.25
        )

    def usual_head_s(self, now: float) -> float | None:
        """Returns the median time to the head, None with too few samples."""
        window_s = USUAL_WINDOWS * self.limits.window_s
        return self.times.head_s(now, window_s, self.limits.min_samples, 0.5)

    def least_s(self, now: float, kind: tuple[str, str]) -> float | None:
        """Returns the least expected time of a response.

        None with too few samples.
        """
        observed_s = self._observed_s(now)
        if observed_s is None:
            return None
        return observed_s + self.times.least_run_s(
            kind, self.limits.min_samples
        )

    def decide(
        self,
        now: float,
        demand: Demand,
        read_room: typing.Callable[[], Room],
    ) -> Decision:
        """Decides on a request before its first attempt.

        Args:
          now: Current time in seconds of the node's clock.
          demand: What the request asks for.
          read_room: Returns the service's capacity and work. It is called only
            if recent responses took so long that it matters.
        """
        window_s = self.limits.window_s
        self.shares.note_offered(now, demand, window_s)
        observed_s = self._observed_s(now)
        left_s = demand.deadline - now
        run_s = self.times.least_run_s(demand.kind, self.limits.min_samples)
        allowed_s = self._allowed_s(now)
        if observed_s is None or (
            observed_s <= allowed_s and observed_s + run_s <= left_s
        ):
            return SEND
        room = read_room()
        first_s = self.first_token_s(now, room)
        if first_s is None:
            return SEND
        verdict, share = Verdict.SEND, 1.0
        waits = first_s > MIN_WAIT_SHARE * left_s
        if waits and first_s + run_s > left_s:
            verdict = Verdict.UNSERVABLE
        elif first_s > allowed_s:
            verdict, share = self._share(now, demand, first_s, allowed_s)
        if verdict is Verdict.SEND:
            return dataclasses.replace(SEND, first_s=first_s, room=room)
        self._remember(now, demand.request)
        # Others who were refused return, too: with this share of the requests
        # sent, they are worked off in this time.
        backlog_s = first_s / max(MIN_SHARE, share)
        retry_s = self.retry_after_s(backlog_s, left_s)
        return Decision(verdict, retry_s, first_s, run_s, share, room)

    def _allowed_s(self, now: float) -> float:
        return self.limits.goal_factor * self.shares.least_goal_s(
            now, self.limits.window_s
        )

    def excess_wait_s(self, now: float) -> float:
        """Returns the seconds by which requests wait longer than allowed.

        Taken from the median of recent responses; 0 with too few of them. It
        shows queues that the expected work at the upstreams does not, as when
        upstreams are slow.
        """
        head_s = self.times.head_s(
            now, self.limits.window_s, self.limits.min_samples, 0.5
        )
        return (
            0.0 if head_s is None else max(0.0, head_s - self._allowed_s(now))
        )

    def is_short(self, now: float, room: Room) -> bool:
        """Tells whether requests wait for longer than their goals allow."""
        first_s = self.first_token_s(now, room)
        return first_s is not None and first_s > self._allowed_s(now)

    def _share(
        self, now: float, demand: Demand, first_s: float, allowed_s: float
    ) -> tuple[Verdict, float]:
        self.shares.allot(
            now,
            self.limits.window_s,
            1 - (first_s - allowed_s) / self.limits.drain_s,
            self.limits.floor_share,
        )
        returned = self._returned(now, demand.request)
        if self.shares.take(demand, returned):
            return Verdict.SEND, 1.0
        verdict = Verdict.LESS_URGENT
        if self.shares.is_over(demand.organisation):
            verdict = Verdict.OVER_SHARE
        return verdict, self.shares.share(demand)

    def _remember(self, now: float, request: str) -> None:
        self._refused[request] = now
        self._refused.move_to_end(request)
        if len(self._refused) > MAX_REFUSED:
            self._refused.popitem(last=False)

    def _returned(self, now: float, request: str) -> bool:
        refused_at = self._refused.pop(request, None)
        return refused_at is not None and now - refused_at <= REFUSED_TTL_S

    def backlog_s(self, room: Room) -> float | None:
        """Returns the time in which the best upstream has a free slot.

        None if it is unknown.
        """
        slot_s = self.times.slot_s(self.limits.min_samples)
        return None if slot_s is None else max(1.0, room.best_excess) * slot_s

    def retry_after_s(self, backlog_s: float, left_s: float) -> float:
        """Returns when a refused caller may return.

        Args:
          backlog_s: Time in which the waiting work is worked off.
          left_s: Time to the caller's deadline.
        """
        retry_s = backlog_s * self._random.uniform(*RETRY_SPREAD)
        most_s = MAX_RETRY_SHARE * max(0.0, left_s)
        # Rounded down, as the header has two decimals.
        return math.floor(100 * min(max(MIN_RETRY_S, retry_s), most_s)) / 100

    def judge_repeat(
        self,
        now: float,
        demand: Demand,
        larger: tuple[str, str],
        read_room: typing.Callable[[], Room],
    ) -> RepeatDecision:
        """Decides whether an answer is dropped for one of a larger model.

        It is kept if the larger model is not expected to end before the
        deadline, or, while requests wait, to begin within the goal. It is kept
        under a shortage in any case.

        Args:
          now: Current time in seconds of the node's clock.
          demand: What the request asks for.
          larger: Route and larger model.
          read_room: Returns the service's capacity and work.
        """
        limits = self.limits
        head_s = self.usual_head_s(now)
        if head_s is None:
            return RepeatDecision(Repeat.ALLOWED)
        run_s = self.times.mean_run_s(larger, limits.min_samples) or 0.0
        repeat = Repeat.ALLOWED
        observed_s = self._observed_s(now)
        waits = observed_s is not None and observed_s > self._allowed_s(now)
        if now + head_s + run_s > demand.deadline:
            repeat = Repeat.AFTER_DEADLINE
        elif waits and now + head_s > demand.arrived_at + demand.goal_s:
            repeat = Repeat.AFTER_GOAL
        elif waits and self.is_short(now, read_room()):
            repeat = Repeat.SHORTAGE
        if repeat is Repeat.ALLOWED:
            # The larger run is a request of its organisation like any other.
            self.shares.note_offered(now, demand, limits.window_s)
        return RepeatDecision(repeat, head_s, run_s)
