"""Roll-out of a model version: canary, growing shares, rollback.

During the canary each job on the new version needs a ticket, so the number
of tickets bounds its exposure. The progress is one row. A node reports its
outcomes and takes tickets in one compare-and-set of that row, and `advance`
derives the decision from the row and the report alone, so any node can take
the next step and no two nodes can take different ones.
"""

import enum
import math

import msgspec

from radishcourse_model import ids
from radishcourse_policy import sequentialtest

# Tickets held at once over the whole fleet, which is the number of jobs that
# may still reach a version after the row holds enough evidence against it.
MAX_OUTSTANDING = 16
# Probability that each of the three tests rolls back a version that is as good
# as the running one.
FALSE_STOP_PROBABILITY = 0.002
# Probability that a version that is worse by the margin passes the canary.
FALSE_PASS_PROBABILITY = 0.05
# Evidence at which a version is rolled back after the canary. With 12, at most
# one of 400 good versions was rolled back within 3,000 jobs in service.
CUSUM_LIMIT = 12.0
# Fraction of the margin by which a share may have grown if the tickets are used
# up before the tests decide. At 1/2, 4 of 400 good versions were rolled back.
UNDECIDED_MARGIN_FRACTION = 2 / 3
# Outcomes of the running version that are needed to start the canary and to
# compare a measure.
MIN_REFERENCE_OUTCOMES = 50
# Rated answers of the new version that are needed to pass the canary.
MIN_RATED_ANSWERS = 30
# Outcomes after which the reference is closed: later ones could hide a change
# that affects both versions.
MAX_REFERENCE_OUTCOMES = 5000
# Percentage of jobs on the new version at each step after the canary.
SHARES_PERCENT = (5, 25, 50, 100)
# Outcomes of the new version that are needed to leave a step.
MIN_STEP_JOBS = 200
# Standard deviations from the mean to the 90th percentile of a normal
# distribution.
_P90_DEVIATIONS = 1.28


class Stage(enum.Enum):
    """Stage of a roll-out.

    Attributes:
      REFERENCE: Outcomes of the running version are collected.
      CANARY: Jobs run on the new version with a ticket only.
      WIDENING: The new version gets a growing share of the jobs.
      IN_SERVICE: The new version gets all jobs and is still monitored.
      RETURNED: Rolled back; the new version gets no jobs.
    """

    REFERENCE = 'reference'
    CANARY = 'canary'
    WIDENING = 'widening'
    IN_SERVICE = 'in_service'
    RETURNED = 'returned'


class Measure(enum.Enum):
    """Measure to compare; the value is the tolerated increase of its share."""

    RATING = 0.1
    ERROR = 0.05
    LATENCY = 0.15


class Outcomes(msgspec.Struct):
    """Outcomes of one version.

    Attributes:
      rating: Rated answers; those rated as wrong are bad.
      error: All answers; failures are bad.
      latency: Timed answers; slow ones are bad.
    """

    rating: sequentialtest.Tally = msgspec.field(
        default_factory=sequentialtest.Tally
    )
    error: sequentialtest.Tally = msgspec.field(
        default_factory=sequentialtest.Tally
    )
    latency: sequentialtest.Tally = msgspec.field(
        default_factory=sequentialtest.Tally
    )

    def get(self, measure: Measure) -> sequentialtest.Tally:
        """Returns the tally of a measure."""
        return getattr(self, measure.name.lower())

    def add(self, other: 'Outcomes') -> None:
        """Adds the outcomes of another report."""
        for measure in Measure:
            self.get(measure).add(other.get(measure))


class Times(msgspec.Struct):
    """Sums over answer times, from which the limit for slow answers follows.

    Attributes:
      count: Answers.
      total: Sum of the natural logarithms of their times in seconds.
      squares: Sum of the squares of these logarithms.
    """

    count: int = 0
    total: float = 0.0
    squares: float = 0.0

    def add_time(self, seconds: float) -> None:
        """Adds an answer time."""
        value = math.log(max(1e-4, seconds))
        self.count += 1
        self.total += value
        self.squares += value * value

    def add(self, other: 'Times') -> None:
        """Adds the sums of another report."""
        self.count += other.count
        self.total += other.total
        self.squares += other.squares

    def slow_seconds(self) -> float:
        """Returns the 90th percentile of the times, taken as log-normal."""
        mean = self.total / self.count
        variance = max(0.0, self.squares / self.count - mean * mean)
        return math.exp(mean + _P90_DEVIATIONS * math.sqrt(variance))


class Holder(msgspec.Struct):
    """Tickets of one node.

    Attributes:
      tickets: Tickets that are unused or whose outcome is not reported yet.
      write: Number of the node's last write. It shows whether a write whose
        response was lost took effect.
    """

    tickets: int = 0
    write: int = 0


class Report(msgspec.Struct):
    """What a node reports and requests in one write.

    Attributes:
      node: The node.
      write: Number of this write; grows by one.
      finished: Tickets whose outcome is in this report, or that are returned
        unused.
      wanted: Tickets that the node requests.
      canary: Outcomes of the new version.
      running: Outcomes of the running version.
      times: Answer times of the running version.
      lost: Nodes whose tickets are reclaimed, since their entries have not
        changed for the reclaim time.
    """

    node: ids.NodeId
    write: int
    finished: int = 0
    wanted: int = 0
    canary: Outcomes = msgspec.field(default_factory=Outcomes)
    running: Outcomes = msgspec.field(default_factory=Outcomes)
    times: Times = msgspec.field(default_factory=Times)
    lost: list[ids.NodeId] = []


class Progress(msgspec.Struct):
    """The row of a roll-out.

    Attributes:
      model: The model. Together with `to_version` it identifies the roll-out:
        a row that an earlier one with the same id left is not continued.
      to_version: The new version.
      stage: Stage of the roll-out.
      step: Index into `SHARES_PERCENT` while widening.
      granted: Tickets granted so far.
      step_jobs: Outcomes of the new version at this step.
      canary: Outcomes of the new version.
      running: Outcomes of the running version.
      times: Answer times of the running version.
      slow_seconds: Time above which an answer is slow.
      evidence: CUSUM against the new version after the canary, by measure.
      holders: Tickets by node.
      reason: Measure that caused the rollback, or `undecided`.
    """

    model: ids.ModelId
    to_version: ids.VersionId
    stage: Stage = Stage.REFERENCE
    step: int = 0
    granted: int = 0
    step_jobs: int = 0
    canary: Outcomes = msgspec.field(default_factory=Outcomes)
    running: Outcomes = msgspec.field(default_factory=Outcomes)
    times: Times = msgspec.field(default_factory=Times)
    slow_seconds: float = 0.0
    evidence: dict[str, float] = {}
    holders: dict[ids.NodeId, Holder] = {}
    reason: str = ''

    @property
    def share(self) -> float:
        """Share of jobs that the new version gets without tickets."""
        if self.stage is Stage.WIDENING:
            return SHARES_PERCENT[self.step] / 100
        return 1.0 if self.stage is Stage.IN_SERVICE else 0.0

    @property
    def outstanding(self) -> int:
        """Tickets that are unused or whose outcome is not reported yet."""
        return sum(holder.tickets for holder in self.holders.values())


def advance(progress: Progress, report: Report, canary_jobs: int) -> int:
    """Adds a report to the progress, updates the stage and grants tickets.

    Args:
      progress: The row; changed in place.
      report: A node's report.
      canary_jobs: Maximum number of tickets granted in the whole roll-out.

    Returns:
      Tickets granted to the node.
    """
    _add(progress, report)
    _decide(progress, report, canary_jobs)
    holder = progress.holders[report.node]
    granted = 0
    if progress.stage is Stage.CANARY:
        granted = min(
            report.wanted,
            MAX_OUTSTANDING - progress.outstanding,
            canary_jobs - progress.granted,
        )
        granted = max(0, granted)
    holder.tickets += granted
    progress.granted += granted
    return granted


def _add(progress: Progress, report: Report) -> None:
    for node in report.lost:
        progress.holders.pop(node, None)
    holder = progress.holders.setdefault(report.node, Holder())
    holder.tickets = max(0, holder.tickets - report.finished)
    holder.write = report.write
    progress.canary.add(report.canary)
    progress.step_jobs += report.canary.error.total
    if progress.running.error.total < MAX_REFERENCE_OUTCOMES:
        progress.running.add(report.running)
        progress.times.add(report.times)


def _decide(progress: Progress, report: Report, canary_jobs: int) -> None:
    if progress.stage is Stage.REFERENCE:
        if progress.times.count >= MIN_REFERENCE_OUTCOMES:
            progress.slow_seconds = progress.times.slow_seconds()
            progress.stage = Stage.CANARY
        return
    if progress.stage is Stage.RETURNED:
        return
    worse_measure = _find_worse_measure(progress, report)
    if worse_measure is not None:
        progress.stage = Stage.RETURNED
        progress.reason = worse_measure.name.lower()
    elif progress.stage is Stage.CANARY:
        _end_canary(progress, canary_jobs)
    elif (
        progress.stage is Stage.WIDENING and progress.step_jobs >= MIN_STEP_JOBS
    ):
        progress.step_jobs = 0
        progress.step += 1
        if progress.step == len(SHARES_PERCENT) - 1:
            progress.stage = Stage.IN_SERVICE


def _find_worse_measure(progress: Progress, report: Report) -> Measure | None:
    for measure in Measure:
        reference = progress.running.get(measure)
        if reference.total < MIN_REFERENCE_OUTCOMES:
            continue
        tally = progress.canary.get(measure)
        if progress.stage is Stage.CANARY:
            if sequentialtest.inferiority(tally, reference) >= math.log(
                1 / FALSE_STOP_PROBABILITY
            ):
                return measure
            continue
        # A CUSUM, since good outcomes of the canary must not hide a later
        # change for the worse.
        name = measure.name.lower()
        progress.evidence[name] = sequentialtest.cusum(
            progress.evidence.get(name, 0.0),
            report.canary.get(measure),
            reference,
            measure.value,
        )
        if progress.evidence[name] >= CUSUM_LIMIT:
            return measure
    return None


def _end_canary(progress: Progress, canary_jobs: int) -> None:
    rated = progress.canary.rating.total
    is_non_inferior = rated >= MIN_RATED_ANSWERS and all(
        sequentialtest.non_inferiority(
            progress.canary.get(measure),
            progress.running.get(measure),
            measure.value,
        )
        >= math.log(1 / FALSE_PASS_PROBABILITY)
        for measure in Measure
    )
    all_reported = progress.granted >= canary_jobs and not progress.outstanding
    if is_non_inferior or (
        all_reported
        and rated >= MIN_RATED_ANSWERS
        and _is_within_margins(progress)
    ):
        progress.stage = Stage.WIDENING
        progress.step_jobs = 0
    elif all_reported:
        progress.stage = Stage.RETURNED
        progress.reason = 'undecided'


def _is_within_margins(progress: Progress) -> bool:
    """Tells whether each share grew by a tolerated part of its margin."""
    for measure in Measure:
        canary = progress.canary.get(measure)
        reference = progress.running.get(measure)
        if not canary.total or not reference.total:
            return False
        increase = canary.bad / canary.total - reference.bad / reference.total
        if increase > measure.value * UNDECIDED_MARGIN_FRACTION:
            return False
    return True
