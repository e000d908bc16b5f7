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
CANARY_EXPOSURE_FRACTION = 0.4
# No session moves before all nodes know of the order: it takes them a call of
# a follower and two rounds between nodes.
ORDER_PROPAGATION_S = 1.0
# What all other sessions may add to the exposure before the time limit: a
# version that shows its fault to nobody before then must not exceed it either.
RAMP_EXPOSURE_FRACTION = 0.6
# Part of the time from the first of these sessions to the limit in which they
# move, evenly: at no moment do many depend on how well the clocks agree.
RAMP_TIME_FRACTION = 0.5
# They take at least this long altogether, however short the limit: requests
# of the old version end meanwhile.
MIN_RAMP_WINDOW_S = 2.0
# A new version completes at the latest this long before its time limit: a
# store call and the turn of a second node fit in.
COMPLETION_MARGIN_S = 0.7
# Time after the last session moved before completion: the notice of requests
# in progress at other nodes takes two rounds.
SETTLE_S = 0.7
# Fewer bad answers than this can be one upstream's own trouble.
MIN_BAD = 4
# A version that has given fewer good answers is not known well enough to stop
# the old one; its duty is missed then.
MIN_GOOD = 3
# Share of failures, above the old version's own, that condemns.
MAX_BAD_EXCESS = 0.18
# The same for slow answers. Any version has some, behind long prompts, so a
# share of them is taken as usual, and one more is needed.
MIN_SLOW = 5
MAX_SLOW_EXCESS = 0.2
BASELINE_SLOW_SHARE = 0.08
# How much less likely such counts must be at a share a little above the usual
# one (logarithm of the bound on their probability): a few slow answers while
# sessions move to upstreams that have no prompt cached condemn nobody.
MIN_EVIDENCE = 4.0
BASELINE_MARGIN = 0.05
# An answer is slow at this multiple of what such answers take. The users'
# slow versions take eight times as long; half of that is also reached behind
# a long prompt.
SLOW_FACTOR = 3.0
# The same for the time between events, which all streams of an upstream share:
# it varies less (nine in ten below 1.6 times the median on the users' engines).
SLOW_PACE_FACTOR = 2.2
MIN_PACE_EVENTS = 4
# Weight of the newest answer in the running mean, and the shortest times that
# are told apart.
MEAN_WEIGHT = 0.05
MIN_HEAD_S = 0.05
MIN_PACE_S = 0.002


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


def session_hash(session: str, service: ids.ServiceId, order: int) -> float:
    """Returns a session's place between 0 and 1 in the order of moving."""
    name = f'{service}/{order}/{session}'.encode()
    digest = hashlib.blake2b(name, digest_size=8).digest()
    return int.from_bytes(digest, 'big') / 2**64


def new_version_share(
    age_s: float, time_limit_s: float, exposure: float
) -> float:
    """Returns the part of the sessions that the new version serves.

    Args:
      age_s: Time since the order.
      time_limit_s: Its time limit.
      exposure: Permitted share of requests on a bad version.
    """
    if age_s < ORDER_PROPAGATION_S:
        return 0.0
    canary_share = CANARY_EXPOSURE_FRACTION * exposure
    begin, end = _ramp_ages(time_limit_s, exposure)
    ramped = (age_s - begin) / (end - begin)
    return canary_share + (1 - canary_share) * min(1.0, max(0.0, ramped))


def _ramp_ages(time_limit_s: float, exposure: float) -> tuple[float, float]:
    """Returns the ages between which all sessions but the trial's move."""
    # They expose the mean of the moving time and the whole time after it.
    window_s = (
        RAMP_EXPOSURE_FRACTION
        * exposure
        * time_limit_s
        / (1 - RAMP_TIME_FRACTION / 2)
    )
    window_s = max(window_s, MIN_RAMP_WINDOW_S)
    # In the first half no session may come to the new version.
    begin = max(time_limit_s / 2, time_limit_s - window_s)
    return begin, begin + RAMP_TIME_FRACTION * (time_limit_s - begin)


def is_regression(tallies: Tallies) -> bool:
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
    time_limit_s: float,
    exposure: float,
    old_in_flight: int,
    tallies: Tallies,
) -> bool:
    """Tells whether the old version's upstreams may be stopped.

    Args:
      age_s: Time since the order.
      time_limit_s: Its time limit.
      exposure: Permitted share of requests on a bad version.
      old_in_flight: Requests in progress on the old version.
      tallies: Counts of answers; failures that are too few to condemn the
        new version still keep the old one, and so does a lack of answers.
    """
    new = Tally()
    for (arm, _), tally in tallies.items():
        if arm is Arm.NEW:
            new.add(tally)
    if new.bad > MAX_BAD_EXCESS * new.total or new.total - new.bad < MIN_GOOD:
        return False
    if age_s >= time_limit_s - COMPLETION_MARGIN_S:
        return True
    settled = age_s >= _ramp_ages(time_limit_s, exposure)[1] + SETTLE_S
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
        if events < MIN_PACE_EVENTS:
            return None
        value = math.log(max(seconds / events, MIN_PACE_S))
        return self._compare(kind, value, learn, SLOW_PACE_FACTOR)

    def note(
        self, kind: tuple, seconds: float, prefill_s: float, learn: bool
    ) -> bool:
        """Notes an answer and tells whether it was slow.

        Args:
          kind: Names the service, route and model.
          seconds: Time to its head.
          prefill_s: Expected time to read its prompt.
          learn: Whether it is of the version in service.
        """
        value = math.log(max(seconds, MIN_HEAD_S) / (MIN_HEAD_S + prefill_s))
        return self._compare(kind, value, learn, SLOW_FACTOR)

    def _compare(
        self, kind: tuple, value: float, learn: bool, factor: float
    ) -> bool:
        mean = self._means.get(kind)
        if learn:
            previous = value if mean is None else mean
            self._means[kind] = previous + MEAN_WEIGHT * (value - previous)
        return mean is not None and value > mean + math.log(factor)


def _is_worse(new: Tally, old: Tally) -> bool:
    if _exceeds(
        new.bad, new.total, old.bad, old.total, MIN_BAD, MAX_BAD_EXCESS
    ):
        return True
    baseline = max(old.slow, BASELINE_SLOW_SHARE * old.total)
    if not old.total:
        baseline, old = BASELINE_SLOW_SHARE, Tally(1)
    return _exceeds(
        new.slow, new.total, baseline, old.total, MIN_SLOW, MAX_SLOW_EXCESS
    )


def _exceeds(
    count: int,
    total: int,
    baseline: float,
    baseline_total: int,
    min_count: int,
    excess: float,
) -> bool:
    if count < min_count:
        return False
    share = baseline / baseline_total if baseline_total else 0.0
    observed = count / total
    if observed <= share + excess:
        return False
    return (
        total * _divergence(observed, share + BASELINE_MARGIN) >= MIN_EVIDENCE
    )


def _divergence(observed: float, expected: float) -> float:
    """Returns the relative entropy of two shares (Chernoff's bound)."""
    value = observed * math.log(observed / expected)
    if observed < 1:
        value += (1 - observed) * math.log((1 - observed) / (1 - expected))
    return value
