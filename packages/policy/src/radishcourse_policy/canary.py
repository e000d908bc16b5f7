"""Canary roll-out of a new version of a service.

A fixed share of the sessions is the canary: it runs on the new version until
late in the time limit. Sessions that are open when the canary starts stay on
the old version until then, so that no session has to change versions. Then the
remaining sessions are ramped up linearly, so late that the exposure up to the
limit stays within its bound even for a bad version that has not shown its
fault to anyone. Sessions are assigned by hash, so nodes only have to agree on
the open ones, and a growing share only moves sessions from the old version to
the new one.

Load pattern: a version that fails or delays a part of its requests, at
once, later, under load or on one route only.
"""

import dataclasses
import enum
import hashlib
import math

from radishcourse_model import ids
from radishcourse_policy import position as positions

# Share of the sessions in the canary, as a fraction of the permitted exposure:
# leaves room for requests that arrive while the decision spreads.
CANARY_EXPOSURE_FRACTION = 0.4
# No session moves before all nodes know of the order. It reaches them after one
# store call of a follower and two rounds between nodes.
ORDER_PROPAGATION_S = 1.0
# The canary starts when all nodes also know the sessions that the others had
# open, which takes some rounds between nodes.
SESSION_PROPAGATION_S = 2.0
CANARY_START_S = ORDER_PROPAGATION_S + SESSION_PROPAGATION_S
# Exposure that the ramp may add before the time limit, as a fraction of the
# permitted one. The bound must also hold for a bad version whose fault does not
# show before the time limit.
RAMP_EXPOSURE_FRACTION = 0.6
# Fraction of the time from the start of the ramp to the limit in which sessions
# move. They move evenly, so that at no moment many of them depend on how well
# the clocks agree.
RAMP_TIME_FRACTION = 0.5
# Minimum time from the start of the ramp to the limit, unless half the limit is
# shorter: requests on the old version end meanwhile.
MIN_RAMP_WINDOW_S = 2.0
# A roll-out completes at the latest this long before its time limit, which
# leaves time for a store call and, if the first node does not publish the
# completion, for the second one to do so.
COMPLETION_MARGIN_S = 0.7
# Time from the last move of a session to completion: reports of requests in
# progress at other nodes take two rounds.
SETTLE_S = 0.7
# Fewer failures than this can be a fault of a single upstream.
MIN_BAD = 4
# A roll-out that is not completed this long before its time limit is rolled
# back: the evidence did not suffice. Nodes with less evidence than others learn
# of a completion until then.
ROLLBACK_MARGIN_S = 0.5
# With fewer good answers of the new version it is not completed, nor with fewer
# that show by their time that it is not slow.
MIN_GOOD = 6
# Increase of the share of slow answers above which the version is not completed
# before more answers decide, and number of slow ones that may be chance.
DOUBTFUL_SLOW_EXCESS = 0.1
MAX_CHANCE_SLOW = 1
# Increase of the share of failures over the old version's above which the new
# one is rejected.
MAX_BAD_EXCESS = 0.18
# The same for slow answers. Any version has some, behind long prompts, so a
# baseline share is assumed and one more slow answer is needed.
MIN_SLOW = 5
MAX_SLOW_EXCESS = 0.2
BASELINE_SLOW_SHARE = 0.08
# Negative natural logarithm of the Chernoff bound on the probability of such
# counts at a share of the baseline plus a margin: a few slow answers while
# sessions move to upstreams without a cached prompt must not reject a version.
MIN_EVIDENCE = 4.0
BASELINE_MARGIN = 0.05
# The same for so low counts at a share that would reject the version: it is
# completed only with this much evidence that it is none of those.
MIN_APPROVAL_EVIDENCE = 1.0
_PACE_SUFFIX = ' (pace)'


class RolloutState(enum.Enum):
    """Published state of a roll-out."""

    RUNNING = 'running'
    COMPLETED = 'completed'
    ROLLED_BACK = 'rolled_back'


class Evidence(enum.Enum):
    """What the counts of answers show of the new version.

    MISSING: Too few answers. DOUBTFUL: Enough answers, which do not show
    that it is as good as the old version. GOOD: It is as good.
    """

    MISSING = 'missing'
    DOUBTFUL = 'doubtful'
    GOOD = 'good'


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
      state: State of the roll-out.
      order: Where in the store's history the order was written first.
      since_ms: Time of the order on the store's clock in milliseconds.
    """

    service: ids.ServiceId
    to_version: ids.VersionId
    state: RolloutState
    order: positions.Position = positions.START
    since_ms: int = 0


@dataclasses.dataclass
class Tally:
    """Counts of one arm's answers on one route.

    Attributes:
      total: All answers.
      bad: Failures.
      slow: Answers that took several times as long as the old version's.
      untimed: Answers whose time does not tell whether the version is slow.
    """

    total: int = 0
    bad: int = 0
    slow: int = 0
    untimed: int = 0

    @property
    def timed(self) -> int:
        """Answers whose time tells whether the version is slow."""
        return max(0, self.total - self.untimed)

    def count(self, slow: bool | None, failed: bool = False) -> None:
        """Counts an answer.

        Args:
          slow: Whether it was slow, None if its time does not tell.
          failed: Whether it is a failure.
        """
        self.total += 1
        self.bad += failed
        self.slow += bool(slow)
        self.untimed += slow is None

    def add(self, other: 'Tally') -> None:
        """Adds the counts of another tally."""
        self.total += other.total
        self.bad += other.bad
        self.slow += other.slow
        self.untimed += other.untimed


Tallies = dict[tuple[Arm, str], Tally]


def session_hash(session: str, service: ids.ServiceId, order: int) -> float:
    """Returns a session's hash, uniform in [0, 1).

    The new version serves the sessions whose hash is below its share.

    Args:
      session: The session.
      service: The service.
      order: Version of the order's row, so that each roll-out begins with
        other sessions.
    """
    name = f'{service}/{order}/{session}'.encode()
    digest = hashlib.blake2b(name, digest_size=8).digest()
    return int.from_bytes(digest, 'big') / 2**64


def new_version_share(
    age_s: float, time_limit_s: float, exposure: float
) -> float:
    """Returns the share of sessions below which the new version serves them.

    Args:
      age_s: Time since the order.
      time_limit_s: Time limit of the roll-out, counted from the order.
      exposure: Permitted share of requests on a bad version.
    """
    if is_before_canary(age_s, time_limit_s):
        return 0.0
    begin, end = _ramp_ages(time_limit_s, exposure)
    ramped = (age_s - begin) / (end - begin)
    share = canary_share(exposure)
    return share + (1 - share) * min(1.0, max(0.0, ramped))


def has_moved_all(
    age_s: float, time_limit_s: float, exposure: float, approved: bool = False
) -> bool:
    """Tells whether the new version serves all sessions.

    Args:
      age_s: Time since the order.
      time_limit_s: Time limit of the roll-out, counted from the order.
      exposure: Permitted share of requests on a bad version.
      approved: Whether the new version has been found good. It then goes on
        serving them after the time limit.
    """
    if age_s >= time_limit_s:
        return approved
    return moved_all_at(time_limit_s, exposure) <= age_s


def moved_all_at(time_limit_s: float, exposure: float) -> float:
    """Returns the age at which the new version serves all sessions.

    Args:
      time_limit_s: Time limit of the roll-out, counted from the order.
      exposure: Permitted share of requests on a bad version.
    """
    return _ramp_ages(time_limit_s, exposure)[1]


def canary_share(exposure: float) -> float:
    """Returns the canary's share of the sessions.

    Args:
      exposure: Permitted share of requests on a bad version.
    """
    return CANARY_EXPOSURE_FRACTION * exposure


def is_before_canary(age_s: float, time_limit_s: float) -> bool:
    """Tells whether the canary has not started yet.

    Args:
      age_s: Time since the order.
      time_limit_s: Time limit of the roll-out, counted from the order.
    """
    return age_s < _canary_start(time_limit_s)


def is_settling(age_s: float, time_limit_s: float) -> bool:
    """Tells whether a node may not know all open sessions yet.

    Args:
      age_s: Time since the order.
      time_limit_s: Time limit of the roll-out, counted from the order.
    """
    return age_s < _canary_start(time_limit_s) + SESSION_PROPAGATION_S


def _canary_start(time_limit_s: float) -> float:
    """Returns the age at which the canary starts."""
    start_s = min(CANARY_START_S, time_limit_s / 2)
    return max(ORDER_PROPAGATION_S, start_s)


def serves_new(
    hash_value: float,
    is_open: bool,
    age_s: float,
    time_limit_s: float,
    exposure: float,
    approved: bool = False,
) -> bool:
    """Tells whether the new version serves a session.

    Args:
      hash_value: The session's hash.
      is_open: Whether the session was open before the canary started.
      age_s: Time since the order.
      time_limit_s: Time limit of the roll-out, counted from the order.
      exposure: Permitted share of requests on a bad version.
      approved: Whether the new version has been found good. After the time
        limit it then serves all sessions, and else none.
    """
    if age_s >= time_limit_s:
        # A completed roll-out does not ask.
        return approved
    if is_open and age_s < _ramp_ages(time_limit_s, exposure)[0]:
        return False
    return hash_value < new_version_share(age_s, time_limit_s, exposure)


def _ramp_ages(time_limit_s: float, exposure: float) -> tuple[float, float]:
    """Returns the ages at which the ramp begins and ends."""
    # On average half of the sessions are exposed during the ramp, and all of
    # them after it.
    window_s = (
        RAMP_EXPOSURE_FRACTION
        * exposure
        * time_limit_s
        / (1 - RAMP_TIME_FRACTION / 2)
    )
    window_s = max(window_s, MIN_RAMP_WINDOW_S)
    # No session may be added in the first half of the time limit.
    begin = max(time_limit_s / 2, time_limit_s - window_s)
    return begin, begin + RAMP_TIME_FRACTION * (time_limit_s - begin)


def is_regression(tallies: Tallies) -> bool:
    """Tells whether the new version is worse than the old one."""
    routes = {route for arm, route in tallies if arm is Arm.NEW}
    for route in routes:
        of_new = tallies.get((Arm.NEW, route), Tally())
        of_old = tallies.get((Arm.OLD, route), Tally())
        if _is_worse(of_new, of_old):
            return True
    heads, paces = _sum(tallies, False), _sum(tallies, True)
    return _is_worse(*heads) or _is_worse(*paces)


def _sum(tallies: Tallies, of_paces: bool) -> tuple[Tally, Tally]:
    """Returns the new and the old version's sums over routes.

    Args:
      tallies: Counts of answers.
      of_paces: Whether to sum the counts of streams by their pace, or those of
        answers by their head.
    """
    new, old = Tally(), Tally()
    for (arm, route), tally in tallies.items():
        if route.endswith(_PACE_SUFFIX) is of_paces:
            (new if arm is Arm.NEW else old).add(tally)
    return new, old


def evidence(tallies: Tallies) -> Evidence:
    """Returns what counts of answers show of the new version.

    Failures that are too few to reject the new version still make it doubtful.
    """
    heads, paces = _sum(tallies, False), _sum(tallies, True)
    new = heads[0]
    found = {_speed_evidence(*heads), _speed_evidence(*paces)}
    if new.total >= MIN_GOOD and new.bad > MAX_BAD_EXCESS * new.total:
        found.add(Evidence.DOUBTFUL)
    if new.total - new.bad < MIN_GOOD:
        found.add(Evidence.MISSING)
    if Evidence.DOUBTFUL in found:
        return Evidence.DOUBTFUL
    return Evidence.MISSING if Evidence.MISSING in found else Evidence.GOOD


def may_approve(
    age_s: float, time_limit_s: float, exposure: float, tallies: Tallies
) -> bool:
    """Tells whether the new version may be approved.

    Nodes that have seen too few answers of it then follow those that have seen
    enough. That is decided as late as the ramp, as a fault may show late.

    Args:
      age_s: Time since the order.
      time_limit_s: Time limit of the roll-out, counted from the order.
      exposure: Permitted share of requests on a bad version.
      tallies: Counts of answers.
    """
    if age_s < _ramp_ages(time_limit_s, exposure)[0]:
        return False
    return evidence(tallies) is Evidence.GOOD


def may_complete(
    age_s: float,
    time_limit_s: float,
    exposure: float,
    old_in_flight: int,
    tallies: Tallies,
    undrained: int = 0,
    approved: bool = False,
) -> bool:
    """Tells whether the old version's upstreams may be stopped.

    Args:
      age_s: Time since the order.
      time_limit_s: Time limit of the roll-out, counted from the order.
      exposure: Permitted share of requests on a bad version.
      old_in_flight: Requests in progress on the old version. Those that are
        left shortly before the time limit are repeated on the new version.
      tallies: Counts of answers. Failures that are too few to reject the new
        version still prevent its completion, and so do too few answers.
      undrained: Number of nodes that may have requests on the old version that
        can't be repeated. They are waited for, also after the time limit.
      approved: Whether a node has approved the new version.
    """
    known = evidence(tallies)
    if known is Evidence.DOUBTFUL or undrained:
        return False
    if known is Evidence.MISSING and not approved:
        return False
    if age_s >= time_limit_s - COMPLETION_MARGIN_S:
        return True
    settled = age_s >= moved_all_at(time_limit_s, exposure) + SETTLE_S
    return settled and old_in_flight == 0


def may_wait(tallies: Tallies, undrained: int, approved: bool) -> bool:
    """Tells whether a roll-out may go on after its time limit.

    Completing it would cut off requests, and rolling it back would give up a
    good version.

    Args:
      tallies: Counts of answers.
      undrained: Number of nodes that may have requests on the old version that
        can't be repeated.
      approved: Whether a node has approved the new version.
    """
    return (
        approved
        and undrained > 0
        and evidence(tallies) is not Evidence.DOUBTFUL
    )


def must_roll_back(age_s: float, time_limit_s: float) -> bool:
    """Tells whether a version that is not completed is to be rolled back.

    Args:
      age_s: Time since the order.
      time_limit_s: Time limit of the roll-out, counted from the order.
    """
    return age_s >= time_limit_s - ROLLBACK_MARGIN_S


def pace_route(route: str) -> str:
    """Returns the route name under which the pace of streams is counted."""
    return route + _PACE_SUFFIX


def _speed_evidence(new: Tally, old: Tally) -> Evidence:
    """Returns whether answers show that a version is as fast as the old one.

    That can't be told where the old version has no answers of the sort.
    """
    if not old.timed:
        return Evidence.GOOD
    if not new.timed:
        return Evidence.MISSING
    baseline = _slow_share(old)
    observed = new.slow / new.timed
    if (
        new.slow > MAX_CHANCE_SLOW
        and observed > baseline + DOUBTFUL_SLOW_EXCESS
    ):
        return Evidence.DOUBTFUL
    if new.timed - new.slow < MIN_GOOD:
        return Evidence.MISSING
    too_high = min(0.99, baseline + MAX_SLOW_EXCESS + BASELINE_MARGIN)
    if observed >= too_high:
        return Evidence.DOUBTFUL
    proof = new.timed * _divergence(observed, too_high)
    if proof < MIN_APPROVAL_EVIDENCE:
        return Evidence.MISSING
    return Evidence.GOOD


def _slow_share(old: Tally) -> float:
    """Returns the share of slow answers that a good version may have."""
    share = old.slow / old.timed if old.timed else 0.0
    return max(share, BASELINE_SLOW_SHARE)


def _is_worse(new: Tally, old: Tally) -> bool:
    if _exceeds(
        new.bad, new.total, old.bad, old.total, MIN_BAD, MAX_BAD_EXCESS
    ):
        return True
    if not new.timed:
        return False
    baseline = _slow_share(old) * max(1, old.timed)
    return _exceeds(
        new.slow,
        new.timed,
        baseline,
        max(1, old.timed),
        MIN_SLOW,
        MAX_SLOW_EXCESS,
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
    """Returns the relative entropy of two shares, as in Chernoff's bound."""
    value = 0.0
    if observed > 0:
        value = observed * math.log(observed / expected)
    if observed < 1:
        value += (1 - observed) * math.log((1 - observed) / (1 - expected))
    return value
