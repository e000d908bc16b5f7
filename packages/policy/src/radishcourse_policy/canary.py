"""Roll-out of a new version of a service, decided on the fleet's evidence.

A fixed part of the sessions runs on the new version until late in the time
limit, so that no session has to move between versions. Then the others follow
evenly, so late that the exposure up to the limit stays within its bound: a
version that is bad in a way that nobody met keeps it too. Sessions are
assigned by hash, so all nodes agree without messages, and a growing part only
moves sessions from the old version to the new one.

Load pattern: a version that fails or delays a part of its requests, at
once, later, under load or on one route only.
"""

import dataclasses
import enum
import hashlib
import math

from radishcourse_model import ids

# Part of the sessions on trial, relative to the permitted exposure: leaves
# room for requests that arrive while the decision spreads.
TRIAL_OF_EXPOSURE = 0.4
# No session moves before all nodes know of the order: it takes them a call of
# a follower and two rounds between nodes.
START_S = 1.0
# What all other sessions may add to the exposure before the time limit: a
# version that shows its fault to nobody before then must not exceed it either.
MOVE_OF_EXPOSURE = 0.6
# Part of the time from the first of these sessions to the limit in which they
# move, evenly: at no moment do many depend on how well the clocks agree.
MOVING = 0.5
# They take at least this long altogether, however short the limit: requests
# of the old version end meanwhile.
LEAST_MOVE_S = 2.0
# A new version completes at the latest this long before its time limit: a
# store call and the turn of a second node fit in.
COMPLETE_EARLY_S = 0.7
# Time after the last session moved before completion: the notice of requests
# in progress at other nodes takes two rounds.
SETTLE_S = 0.7
# Fewer bad answers than this can be one upstream's own trouble.
MIN_BAD = 4
# A version that has given fewer good answers is not known well enough to stop
# the old one; its duty is missed then.
LEAST_GOOD = 3
# Share of failures, above the old version's own, that condemns.
BAD_EXCESS = 0.18
# The same for slow answers. Any version has some, behind long prompts, so a
# share of them is taken as usual, and one more is needed.
MIN_SLOW = 5
SLOW_EXCESS = 0.2
USUAL_SLOW = 0.08
# How much less likely such counts must be at a share a little above the usual
# one (logarithm of the bound on their probability): a few slow answers while
# sessions move to upstreams that have no prompt cached condemn nobody.
EVIDENCE = 4.0
MARGIN = 0.05
# An answer is slow at this multiple of what such answers take. The users'
# slow versions take eight times as long; half of that is also reached behind
# a long prompt.
SLOW_FACTOR = 3.0
# The same for the time between events, which all streams of an upstream share:
# it varies less (nine in ten below 1.6 times the median on the users' engines).
PACE_FACTOR = 2.2
MIN_EVENTS = 4
# Weight of the newest answer in the running mean, and the shortest times that
# are told apart.
MEAN_WEIGHT = 0.05
LEAST_S = 0.05
LEAST_PACE_S = 0.002


class RolloutState(enum.Enum):
    """Published state of a roll-out."""

    RUNNING = 'running'
    COMPLETED = 'completed'
    ROLLED_BACK = 'rolled_back'


class Arm(enum.Enum):
    """The version that answered a request."""

    OLD = 'old'
    NEW = 'new'


@dataclasses.dataclass(frozen=True)
class Status:
    """State of a service's roll-out.

    Attributes:
      service: The service.
      to_version: The new version.
      state: How far it is.
      order: Version of the row of the order that it answers.
      since_ms: Time of the order on the store's clock in milliseconds.
    """

    service: ids.ServiceId
    to_version: ids.VersionId
    state: RolloutState
    order: int = 0
    since_ms: int = 0


@dataclasses.dataclass
class Tally:
    """Answers of one arm on one route.

    Attributes:
      total: Answers.
      bad: Those that were failures.
      slow: Those that took several times as long as the old version's.
    """

    total: int = 0
    bad: int = 0
    slow: int = 0

    def add(self, other: 'Tally') -> None:
        """Adds the counts of another tally."""
        self.total += other.total
        self.bad += other.bad
        self.slow += other.slow


Tallies = dict[tuple[Arm, str], Tally]


def place(session: str, service: ids.ServiceId, order: int) -> float:
    """Returns a session's place between 0 and 1 in the order of moving."""
    text = f'{service}/{order}/{session}'.encode()
    digest = hashlib.blake2b(text, digest_size=8).digest()
    return int.from_bytes(digest, 'big') / 2**64


def part(age_s: float, within_s: float, exposure: float) -> float:
    """Returns the part of the sessions that the new version serves.

    Args:
      age_s: Time since the order.
      within_s: Its time limit.
      exposure: Permitted share of requests on a bad version.
    """
    if age_s < START_S:
        return 0.0
    trial = TRIAL_OF_EXPOSURE * exposure
    begin, end = _move(within_s, exposure)
    moved = (age_s - begin) / (end - begin)
    return trial + (1 - trial) * min(1.0, max(0.0, moved))


def _move(within_s: float, exposure: float) -> tuple[float, float]:
    """Returns the ages between which all sessions but the trial's move."""
    # They expose the mean of the moving time and the whole time after it.
    left = MOVE_OF_EXPOSURE * exposure * within_s / (1 - MOVING / 2)
    left = max(left, LEAST_MOVE_S)
    # In the first half no session may come to the new version.
    begin = max(within_s / 2, within_s - left)
    return begin, begin + MOVING * (within_s - begin)


def is_bad(tallies: Tallies) -> bool:
    """Tells whether the new version is worse than the old one."""
    routes = {route for arm, route in tallies if arm is Arm.NEW}
    new, old = Tally(), Tally()
    for route in routes:
        of_new = tallies.get((Arm.NEW, route), Tally())
        of_old = tallies.get((Arm.OLD, route), Tally())
        if _is_worse(of_new, of_old):
            return True
        new.add(of_new)
        old.add(of_old)
    return _is_worse(new, old)


def may_complete(
    age_s: float,
    within_s: float,
    exposure: float,
    old_in_flight: int,
    tallies: Tallies,
) -> bool:
    """Tells whether the old version's upstreams may be stopped.

    Args:
      age_s: Time since the order.
      within_s: Its time limit.
      exposure: Permitted share of requests on a bad version.
      old_in_flight: Requests in progress on the old version.
      tallies: Counts of answers; failures that are too few to condemn the
        new version still keep the old one, and so does a lack of answers.
    """
    new = Tally()
    for (arm, _), tally in tallies.items():
        if arm is Arm.NEW:
            new.add(tally)
    if new.bad > BAD_EXCESS * new.total or new.total - new.bad < LEAST_GOOD:
        return False
    if age_s >= within_s - COMPLETE_EARLY_S:
        return True
    settled = age_s >= _move(within_s, exposure)[1] + SETTLE_S
    return settled and old_in_flight == 0


def pace_route(route: str) -> str:
    """Returns the name under which a route's times between events count."""
    return f'{route} (pace)'


class Durations:
    """What answers of the version in service take, by kind of request.

    Times are compared as multiples of the time to read the prompt, and their
    mean is geometric, so that a few long waits do not move it. The time
    between the events of a stream is counted apart: a version may begin in
    time and then go on slowly.
    """

    def __init__(self):
        self._means: dict[tuple, float] = {}

    def note_pace(
        self, kind: tuple, seconds: float, events: int, learn: bool
    ) -> bool | None:
        """Notes the end of a stream and tells whether it was slow.

        Args:
          kind: Names the service and model.
          seconds: Time from its head to its end.
          events: Events in that time.
          learn: Whether it is of the version in service.

        Returns:
          None for a stream that is too short to tell.
        """
        if events < MIN_EVENTS:
            return None
        value = math.log(max(seconds / events, LEAST_PACE_S))
        return self._compare(kind, value, learn, PACE_FACTOR)

    def note(
        self, kind: tuple, seconds: float, reading_s: float, learn: bool
    ) -> bool:
        """Notes an answer and tells whether it was slow.

        Args:
          kind: Names the service, route and model.
          seconds: Time to its head.
          reading_s: Expected time to read its prompt.
          learn: Whether it is of the version in service.
        """
        value = math.log(max(seconds, LEAST_S) / (LEAST_S + reading_s))
        return self._compare(kind, value, learn, SLOW_FACTOR)

    def _compare(
        self, kind: tuple, value: float, learn: bool, factor: float
    ) -> bool:
        mean = self._means.get(kind)
        if learn:
            known = value if mean is None else mean
            self._means[kind] = known + MEAN_WEIGHT * (value - known)
        return mean is not None and value > mean + math.log(factor)


def _is_worse(new: Tally, old: Tally) -> bool:
    if _exceeds(new.bad, new.total, old.bad, old.total, MIN_BAD, BAD_EXCESS):
        return True
    usual = max(old.slow, USUAL_SLOW * old.total)
    if not old.total:
        usual, old = USUAL_SLOW, Tally(1)
    return _exceeds(
        new.slow, new.total, usual, old.total, MIN_SLOW, SLOW_EXCESS
    )


def _exceeds(
    count: int,
    total: int,
    usual: float,
    usual_total: int,
    least: int,
    excess: float,
) -> bool:
    if count < least:
        return False
    share = usual / usual_total if usual_total else 0.0
    seen = count / total
    if seen <= share + excess:
        return False
    return total * _divergence(seen, share + MARGIN) >= EVIDENCE


def _divergence(seen: float, expected: float) -> float:
    """Returns the relative entropy of two shares (Chernoff's bound)."""
    value = seen * math.log(seen / expected)
    if seen < 1:
        value += (1 - seen) * math.log((1 - seen) / (1 - expected))
    return value
