"""Divides a service's capacity among organisations and priorities.

Load pattern: one organisation sends six times its usual load for 10 s, or all
callers together send more than the upstreams can serve.

Capacity and demand are sums of costs that decay with time, so that a burst
counts for a few seconds. The capacity is divided by max-min fairness among the
organisations, and within an organisation by priority. Each organisation and
priority keeps a floor, so that none starves.
"""

import dataclasses
import math
import random

from radishcourse_model import ids

# The division is computed anew after this time.
ALLOT_INTERVAL_S = 0.25
# Steps of the search for the level of the organisations' shares; each halves
# the error.
LEVEL_STEPS = 30
# The capacity is not taken to be smaller than this share of what the upstreams
# have begun to serve, however long the queue is.
MIN_CAPACITY_SHARE = 0.2
# A refused request that returns needs so much credit, one that has just
# arrived needs 1.
RETURNED_CREDIT = 0.5
MAX_CREDIT = 2.0
# Demand below this cost is forgotten; each request counts as at least MIN_COST.
MIN_DEMAND = 1e-3
MIN_COST = 0.01

Key = tuple[ids.OrganisationId, int]


class DecayingSum:
    """A sum whose terms decay exponentially."""

    def __init__(self):
        self._value = 0.0
        self._at = 0.0

    def add(self, now: float, term: float, time_constant_s: float) -> None:
        """Adds a term.

        Args:
          now: Current time in seconds.
          term: The term.
          time_constant_s: Age at which a term has decayed to 1/e.
        """
        self._value = self.value(now, time_constant_s) + term
        self._at = now

    def value(self, now: float, time_constant_s: float) -> float:
        """Returns the sum; the arguments are those of `add`."""
        age_s = max(0.0, now - self._at)
        return self._value * math.exp(-age_s / max(1e-3, time_constant_s))


@dataclasses.dataclass
class _Account:
    """Demand and allowance of an organisation and priority.

    Attributes:
      offered: Cost of the requests that arrived.
      share: Share of them that is sent.
      credit: Requests that may be sent now.
      goal_s: Goal of the newest of them.
    """

    credit: float
    offered: DecayingSum = dataclasses.field(default_factory=DecayingSum)
    share: float = 1.0
    goal_s: float = math.inf


class FairShares:
    """Shares of one service, as one node sees its demand.

    Args:
      source: Source of random numbers.
    """

    def __init__(self, source: random.Random):
        self._random = source
        self._accounts: dict[Key, _Account] = {}
        self._over: set[ids.OrganisationId] = set()
        self._drained = DecayingSum()
        self._allotted_at = -math.inf
        self._least_goal_s = math.inf
        self._goals_at = -math.inf

    def note_offered(self, now: float, demand, window_s: float) -> None:
        """Records a request that arrived.

        Args:
          now: Current time in seconds.
          demand: The request's organisation, priority, cost and goal.
          window_s: Time constant of the sums.
        """
        key = (demand.organisation, demand.priority)
        account = self._accounts.get(key)
        if account is None:
            # The first requests are rounded at random, so that nodes with few
            # requests do not all send or all refuse them.
            account = self._accounts[key] = _Account(self._random.random())
        account.offered.add(now, max(MIN_COST, demand.cost), window_s)
        account.goal_s = demand.goal_s

    def note_drained(self, now: float, cost: float, window_s: float) -> None:
        """Records a request that an upstream has begun to serve."""
        self._drained.add(now, cost, window_s)

    def least_goal_s(self, now: float, window_s: float) -> float:
        """Returns the shortest goal of recent requests in seconds."""
        if now - self._goals_at >= ALLOT_INTERVAL_S:
            self._goals_at = now
            self._least_goal_s = min(
                (
                    account.goal_s
                    for account in self._accounts.values()
                    if account.offered.value(now, window_s) >= MIN_DEMAND
                ),
                default=math.inf,
            )
        return self._least_goal_s

    def allot(
        self, now: float, window_s: float, left_share: float, floor_share: float
    ) -> None:
        """Divides the capacity, at most every ALLOT_INTERVAL_S.

        Args:
          now: Current time in seconds.
          window_s: Time constant of the sums.
          left_share: Share of the capacity that is left for new requests while
            the queue is worked off; negative values count as 0.
          floor_share: Share of the requests sent that each organisation and
            priority keeps, relative to the share over all requests.
        """
        if now - self._allotted_at < ALLOT_INTERVAL_S:
            return
        self._allotted_at = now
        offered: dict[ids.OrganisationId, dict[int, float]] = {}
        for key, account in list(self._accounts.items()):
            cost = account.offered.value(now, window_s)
            if cost < MIN_DEMAND:
                del self._accounts[key]
            else:
                offered.setdefault(key[0], {})[key[1]] = cost
        total = sum(sum(costs.values()) for costs in offered.values())
        capacity = self._drained.value(now, window_s) * min(
            1.0, max(MIN_CAPACITY_SHARE, left_share)
        )
        overall = min(1.0, capacity / total) if total else 1.0
        floor = floor_share * overall
        level = _level(
            [sum(costs.values()) for costs in offered.values()],
            overall * total,
            floor,
        )
        self._over = set()
        for organisation, costs in offered.items():
            cost = sum(costs.values())
            allowance = min(cost, max(floor * cost, level))
            if allowance < overall * cost:
                self._over.add(organisation)
            for priority, share in _by_priority(
                costs, allowance, floor
            ).items():
                self._accounts[(organisation, priority)].share = share

    def take(self, demand, returned: bool) -> bool:
        """Tells whether a request may be sent, and counts it if so.

        Args:
          demand: The request's organisation and priority.
          returned: Whether it was refused before.
        """
        account = self._accounts[(demand.organisation, demand.priority)]
        account.credit = min(MAX_CREDIT, account.credit + account.share)
        if account.credit < (RETURNED_CREDIT if returned else 1.0):
            return False
        account.credit -= 1.0
        return True

    def share(self, demand) -> float:
        """Returns the share of such requests that is sent."""
        return self._accounts[(demand.organisation, demand.priority)].share

    def is_over(self, organisation: ids.OrganisationId) -> bool:
        """Tells whether an organisation asks for more than its fair share."""
        return organisation in self._over


def _level(costs: list[float], capacity: float, floor: float) -> float:
    """Returns the cost up to which each organisation is served.

    Args:
      costs: Cost of the requests of each organisation.
      capacity: Cost that can be served.
      floor: Share of its requests that each organisation keeps.
    """
    low, high = 0.0, max(costs, default=0.0)
    for _ in range(LEVEL_STEPS):
        level = (low + high) / 2
        if sum(min(c, max(floor * c, level)) for c in costs) > capacity:
            high = level
        else:
            low = level
    return high


def _by_priority(
    costs: dict[int, float], allowance: float, floor: float
) -> dict[int, float]:
    """Divides an organisation's allowance among its priorities.

    Each keeps the floor; the rest goes to the more urgent ones first.

    Returns:
      The share of requests to send by priority.
    """
    rest = max(0.0, allowance - floor * sum(costs.values()))
    shares = {}
    for priority, cost in sorted(costs.items()):
        extra = min(rest, (1 - floor) * cost)
        rest -= extra
        shares[priority] = min(1.0, floor + extra / cost)
    return shares
