"""Upstreams that fall over when they refuse too many requests in a second.

An upstream that is brittle says how many it can refuse. All nodes together stay
below that without hearing of each other in time: each limits its own refusals
to its part of the number. A refusal closes the upstream for the node, longer in
a larger fleet, and lowers the share of the node's requests that it sends to the
service's brittle upstreams at all. The share rises again so slowly that, with a
refusal for each rise, all nodes together stay below the number.

Load pattern: more requests than a service has room for, from 3 to 570 nodes,
while its upstreams let fewer requests wait.
"""

import dataclasses
import math
import random
import typing

# A refusal closes an upstream for a node. If all nodes were refused each time
# they return, they would have this multiple of the upstream's number in a
# second; the share of the requests keeps most of them away.
CLOSED_FACTOR = 2.0
# A smaller number counts as this one, so that some request learns of its end.
MIN_REFUSALS = 1.0
# A higher value is no number that nodes could reach.
MAX_REFUSALS = 1e6
# An upstream of whose state nothing was heard for this long is not brittle.
TTL_S = 20.0
# An upstream is closed for this long at most, so that it is used again soon
# after it stopped being brittle.
MAX_CLOSED_S = 30.0
# Closed times grow by this factor with each refusal in a row.
CLOSED_GROWTH = 2.0
MAX_GROWTH = 8.0
# Closed times are spread by this factor, so that nodes do not return together.
CLOSED_SPREAD = (0.5, 1.5)
# Factor on the share of requests with each refusal, and its least value.
SHARE_DECREASE = 0.35
MIN_SHARE = 0.05
# Share from the moment at which a service becomes brittle that has this many
# requests for each slot. What waits has to be worked off before fewer may wait.
SATURATED_LOAD = 1.25
SATURATED_SHARE = 0.5
# Time for which the share does not rise after a service became brittle: its
# upstreams may let fewer wait within that time.
HOLD_S = 5.0
# Part of an upstream's number that is refused while the shares stay the same.
# Refusals come in bursts, so that the mean has to be far below the number.
STEADY_SHARE = 0.1
# Factor on the number of own requests in progress at which one was refused.
WINDOW_DECREASE = 0.7


def parse(value: bytes) -> float | None:
    """Returns the refusals per second that an upstream bears.

    Returns:
      A number from MIN_REFUSALS to MAX_REFUSALS; zero counts as the least one.
      None if the value is no number or negative.
    """
    try:
        refusals = float(value)
    except ValueError:
        return None
    if math.isnan(refusals) or refusals < 0:
        return None
    return min(MAX_REFUSALS, max(MIN_REFUSALS, refusals))


class Service(typing.NamedTuple):
    """The service of a brittle upstream.

    Attributes:
      name: Its name.
      upstreams: Number of its upstreams that are usable.
      nodes: Number of nodes in the fleet.
    """

    name: str
    upstreams: int
    nodes: int


@dataclasses.dataclass
class _State:
    """What a node knows of a brittle upstream."""

    refusals_per_s: float
    said_at: float
    closed_until: float = -math.inf
    growth: float = 1.0
    window: float = math.inf


@dataclasses.dataclass
class _Share:
    """Share of a service's requests that are sent to brittle upstreams.

    Attributes:
      value: The share when it was updated.
      upstreams: Number of upstreams for which it holds.
      hold_until: Until when it does not rise.
      updated_at: When that was.
      refusals_per_s: Refusals at which the share stays the same.
      tokens: Repeats of refused requests that are left.
    """

    upstreams: int
    hold_until: float
    updated_at: float
    value: float = 1.0
    refusals_per_s: float = 0.0
    tokens: float = 0.0

    def advance(self, now: float) -> None:
        """Adds what the time since the last update has earned."""
        seconds = max(0.0, now - self.updated_at)
        rising_s = min(seconds, max(0.0, now - self.hold_until))
        rise = (1 - SHARE_DECREASE) * self.refusals_per_s * rising_s
        self.value = min(1.0, self.value + rise)
        self.tokens = min(
            self.refusals_per_s, self.tokens + self.refusals_per_s * seconds
        )
        self.updated_at = now

    def resize(self, upstreams: int) -> None:
        """Keeps the requests to each upstream when their number changes."""
        if upstreams > 0:
            self.value = min(1.0, self.value * upstreams / self.upstreams)
            self.upstreams = upstreams


class Brittleness:
    """Limits a node's requests to brittle upstreams.

    Args:
      source: Source of random numbers.
    """

    def __init__(self, source: random.Random):
        self._random = source
        self._states: dict[tuple, _State] = {}
        self._shares: dict[str, _Share] = {}

    @property
    def is_empty(self) -> bool:
        """Whether no upstream is known to be brittle."""
        return not self._states

    def note_said(
        self, key: tuple, refusals_per_s: float | None, now: float
    ) -> bool:
        """Records what an answer said; returns whether it is a change.

        Args:
          key: Identifies the run of the upstream.
          refusals_per_s: The number that it named, None if it named none.
          now: Current time in seconds.
        """
        known = self._states.get(key)
        if refusals_per_s is None:
            return self._states.pop(key, None) is not None
        if known is None:
            self._states[key] = _State(refusals_per_s, now)
            return True
        changed = known.refusals_per_s != refusals_per_s
        known.refusals_per_s, known.said_at = refusals_per_s, now
        return changed

    def said_after(self, key: tuple, sent_at: float) -> bool:
        """Tells whether an upstream said it after a request was sent."""
        known = self._states.get(key)
        return known is not None and known.said_at > sent_at

    def find(self, key: tuple, now: float) -> float | None:
        """Returns the refusals per second that an upstream bears, if brittle.

        Args:
          key: Identifies the run of the upstream.
          now: Current time in seconds.
        """
        known = self._states.get(key)
        if known is None:
            return None
        if now - known.said_at > TTL_S and now >= known.closed_until:
            return None
        return known.refusals_per_s

    def wait_s(self, key: tuple, now: float, own_requests: int) -> float:
        """Returns the seconds until this node may send to an upstream.

        Infinite while its own requests there have to end first.

        Args:
          key: Identifies the run of the upstream.
          now: Current time in seconds.
          own_requests: This node's requests in progress there.
        """
        if self.find(key, now) is None:
            return 0.0
        known = self._states[key]
        if now < known.closed_until:
            return known.closed_until - now
        return 0.0 if own_requests < known.window else math.inf

    def admits(self, service: Service, now: float) -> bool:
        """Draws whether a request may go to a service's brittle upstreams."""
        share = self._shares.get(service.name)
        if share is None:
            return True
        share.advance(now)
        share.resize(service.upstreams)
        return self._random.random() < share.value

    def may_repeat(self, service: Service, now: float) -> bool:
        """Takes a token for sending a refused request to another upstream.

        In a large fleet no node has one, as refusals would multiply.
        """
        share = self._shares.get(service.name)
        if share is None:
            return True
        share.advance(now)
        if share.tokens < 1:
            return False
        share.tokens -= 1
        return True

    def note_refused(
        self, key: tuple, service: Service, now: float, own_requests: int
    ) -> float:
        """Records that a brittle upstream had no room for a request.

        Args:
          key: Identifies the run of the upstream.
          service: Its service.
          now: Current time in seconds.
          own_requests: This node's other requests in progress there.

        Returns:
          The seconds for which the upstream is closed for this node; 0 if it is
          not brittle.
        """
        if self.find(key, now) is None:
            return 0.0
        known = self._states[key]
        closed_s = (
            known.growth
            * service.nodes
            / (CLOSED_FACTOR * known.refusals_per_s)
        )
        closed_s *= self._random.uniform(*CLOSED_SPREAD)
        closed_s = min(closed_s, MAX_CLOSED_S)
        known.closed_until = max(known.closed_until, now + closed_s)
        known.growth = min(MAX_GROWTH, CLOSED_GROWTH * known.growth)
        known.window = max(1.0, WINDOW_DECREASE * own_requests)
        share = self._share(service, known.refusals_per_s, now)
        share.value = max(MIN_SHARE, SHARE_DECREASE * share.value)
        return closed_s

    def note_brittle(
        self,
        service: Service,
        refusals_per_s: float,
        now: float,
        occupied: float,
    ) -> None:
        """Records that an upstream of a service is brittle.

        Args:
          service: The service.
          refusals_per_s: The number that the upstream named.
          now: Current time in seconds.
          occupied: Requests in progress for each slot of the service.
        """
        is_new = service.name not in self._shares
        share = self._share(service, refusals_per_s, now)
        if is_new and occupied >= SATURATED_LOAD:
            share.value = SATURATED_SHARE

    def _share(
        self, service: Service, refusals_per_s: float, now: float
    ) -> _Share:
        steady = STEADY_SHARE * refusals_per_s * service.upstreams
        steady /= service.nodes
        share = self._shares.setdefault(
            service.name,
            _Share(service.upstreams, now + HOLD_S, now, tokens=steady),
        )
        share.advance(now)
        share.refusals_per_s = steady
        return share

    def note_accepted(self, key: tuple) -> None:
        """Records that an upstream took a request."""
        known = self._states.get(key)
        if known is not None:
            known.growth = max(1.0, known.growth / CLOSED_GROWTH)
            known.window += 1.0 / known.window

    def trim(self, present: typing.Container, now: float) -> None:
        """Forgets upstreams that are gone or no longer brittle."""
        for key in list(self._states):
            if key not in present or self.find(key, now) is None:
                del self._states[key]
        if not self._states:
            self._shares.clear()
