"""The promises that a soak on gateways checks, on what callers saw."""

import collections
import contextlib
import dataclasses
import re
import time

from tests import sitefiles
from tests import soakcalls

FINAL_STATES = ('completed', 'rolled_back')
# Statuses that say that a request was not run.
NOT_RUN_STATUSES = (408, 421, 429, 503)
# The users' bounds in seconds, by the kind of change.
PROPAGATION_LIMIT_S = {'key': 5.0, 'drain': 2.0, 'evacuation': 5.0}
# A gateway counts as in touch again this long after a trouble.
RECONNECT_S = 3.0
# What an answer may take beyond its budget.
DEADLINE_MARGIN_S = 1.0
MAX_EXPOSURE_SHARE, EXPOSURE_SLACK = 0.15, 30
_ORGANISATIONS = {sitefiles.KEY: 'first', sitefiles.OTHER_KEY: 'second'}
_EVENT_ID = re.compile(rb'id: (\d+)\n')


@dataclasses.dataclass(frozen=True)
class Run:
    """A request that a worker ran.

    Attributes:
      request: The request's id.
      worker: The worker.
      target: The request's path.
      at: When it began, on the steady clock in seconds.
    """

    request: str
    worker: str
    target: str
    at: float


@dataclasses.dataclass(frozen=True)
class AnswerRecord:
    """What a gateway's log says of a request that it answered.

    Attributes:
      request: The request's id.
      organisation: Who pays for it.
      status: Status of the answer.
    """

    request: str
    organisation: str
    status: int


@dataclasses.dataclass
class Interval:
    """An order of the operator, or a trouble, while it lasts.

    Attributes:
      kind: What it is.
      name: What it is about.
      begun_at: When it began, on the steady clock in seconds.
      ended_at: When it ended.
    """

    kind: str
    name: str
    begun_at: float
    ended_at: float = float('inf')


@dataclasses.dataclass
class Rollout:
    """A version that was ordered.

    Attributes:
      names: Its workers.
      bad: Whether it fails.
      ordered_at: When it was ordered.
      ended_at: When its state was read for the last time.
      state: That state.
    """

    names: list[str]
    bad: bool
    ordered_at: float = 0.0
    ended_at: float = 0.0
    state: str | None = None

    def begin(self) -> None:
        """Notes the order."""
        self.ordered_at = time.monotonic()

    def end(self, state: str | None) -> None:
        """Notes the state at the end."""
        self.ended_at, self.state = time.monotonic(), state


class Timeline:
    """What was done to the site, and when.

    Attributes:
      changes: Orders of the operator.
      rollouts: Versions that were ordered.
      troubles: When the store, gateways or links were at fault.
      stalls: When the machine stalled, with all processes.
    """

    def __init__(self):
        self.changes: list[Interval] = []
        self.rollouts: list[Rollout] = []
        self.disruptions: list[Interval] = []
        self.stalls: list[Interval] = []
        self._exits: list[tuple[str, int]] = []
        self._faults: list[tuple[str, float, float]] = []

    @property
    def stalled_s(self) -> float:
        """How long the machine stalled, in seconds."""
        return sum(stall.ended_at - stall.begun_at for stall in self.stalls)

    @contextlib.contextmanager
    def disruption(self, name: str):
        """Notes that the store, a gateway or a worker's link is at fault."""
        disruption = Interval('trouble', name, time.monotonic())
        self.disruptions.append(disruption)
        yield
        disruption.ended_at = time.monotonic()

    @contextlib.contextmanager
    def change(self, kind: str, name: str):
        """Notes an order of the operator that holds while it lasts."""
        change = Interval(kind, name, time.monotonic())
        self.changes.append(change)
        yield
        change.ended_at = time.monotonic()

    @contextlib.contextmanager
    def rollout(self, names: list[str], bad: bool):
        """Yields the notes of a roll-out."""
        rollout = Rollout(names, bad)
        yield rollout
        self.rollouts.append(rollout)

    def add_exit(self, name: str, code: int) -> None:
        """Notes how a gateway ended that was asked to stop."""
        self._exits.append((name, code))

    def add_fault(self, name: str, begun_at: float, ended_at: float) -> None:
        """Notes a fault that was played."""
        self._faults.append((name, begun_at, ended_at))

    def add_stall(self, begun_at: float, ended_at: float) -> None:
        """Notes that no process of the machine went on."""
        self.stalls.append(Interval('stall', 'machine', begun_at, ended_at))

    def _stalled(self, since: float, until: float) -> bool:
        return any(
            stall.begun_at <= until and stall.ended_at >= since
            for stall in self.stalls
        )

    def disrupted(self, name: str, since: float, until: float) -> bool:
        """Tells whether something was at fault, or shortly before, then."""
        return self._stalled(since, until) or any(
            disruption.name == name
            and disruption.begun_at <= until
            and disruption.ended_at + RECONNECT_S >= since
            for disruption in self.disruptions
        )

    def excused(self, gateway: str, since: float, until: float) -> bool:
        """Tells whether a gateway could not know of a change in time."""
        return self.disrupted('store', since, until) or self.disrupted(
            gateway, since, until
        )

    def failed_exits(self) -> list[str]:
        """Returns planned stops that did not end well."""
        return [
            f'stop: {name} ended with {code}'
            for name, code in self._exits
            if code != 0
        ]

    def fault_counts(self) -> collections.Counter:
        """Returns how often each fault was played."""
        return collections.Counter(name for name, _, _ in self._faults)

    def rows(self) -> list:
        """Returns all notes for a file."""
        rollouts = [dataclasses.asdict(item) for item in self.rollouts]
        items = self.disruptions + self.stalls + self.changes
        return [self._faults, [dataclasses.asdict(i) for i in items], rollouts]


def check(
    timeline: Timeline,
    calls: list[soakcalls.Call],
    runs: list[Run],
    records: list[AnswerRecord],
    events: int,
) -> list[str]:
    """Returns the promises that were broken.

    Args:
      timeline: What was done to the site, and when.
      calls: What callers saw.
      runs: What workers ran.
      records: What gateways wrote of answered requests.
      events: Events of a whole stream.
    """
    runs_by_request = collections.defaultdict(list)
    for run in runs:
        runs_by_request[run.request].append(run)
    records_by_request = collections.defaultdict(list)
    for record in records:
        records_by_request[record.request].append(record)
    violations = timeline.failed_exits()
    for call in calls:
        violations += _check_call(
            timeline, call, runs_by_request[call.request], events
        )
        violations += _check_bill(
            timeline,
            call,
            runs_by_request[call.request],
            records_by_request[call.request],
        )
    for change in timeline.changes:
        violations += _check_change(timeline, change, calls, runs)
    for rollout in timeline.rollouts:
        violations += _check_rollout(timeline, rollout, runs)
    return violations


def _check_call(timeline, call: soakcalls.Call, runs: list[Run], events: int):
    if call.kind == 'order' and len(runs) > 1:
        yield f'twice: {call.request} ran at {[run.worker for run in runs]}'
    if call.status in NOT_RUN_STATUSES and runs:
        yield f'untrue: {call.request} has {call.status} and ran'
    if call.status in NOT_RUN_STATUSES and not call.retry_after:
        yield f'no time to return: {call.request} has {call.status}'
    if call.status == 200 and call.whole:
        yield from _check_body(call, events)
    took_s = call.done_at - call.sent_at
    late = took_s > sitefiles.BUDGET_MS / 1000 + DEADLINE_MARGIN_S
    excused = timeline.disrupted(call.gateway, call.sent_at, call.done_at)
    if late and not excused:
        yield f'late: {call.request} took {took_s:.2f} s ({call.status})'


def _check_body(call: soakcalls.Call, events: int):
    if call.kind == 'draft':
        event_ids = [int(number) for number in _EVENT_ID.findall(call.body)]
        if event_ids != list(range(1, events + 1)):
            yield f'stream: {call.request} has events {event_ids}'
        return
    method = 'GET' if call.kind == 'stock' else 'POST'
    if call.body != f'{call.stamp} {method} {call.target}'.encode():
        yield f'foreign: {call.request} got {call.body!r}'


def _check_bill(timeline, call, runs: list[Run], records: list[AnswerRecord]):
    """Checks that what is answered is paid once, by whom it was done for."""
    if len(records) > 1:
        yield f'billed: {call.request} has {len(records)} records'
    if call.status != 200 or not call.whole:
        return
    if call.stamp not in {run.worker for run in runs}:
        yield f'unrun: {call.request} has an answer of {call.stamp}'
    payer = _ORGANISATIONS[call.key]
    if any(record.organisation != payer for record in records):
        yield f'billed: {call.request} of {payer} has {records}'
    # Its line may be lost with the process.
    if not records and not timeline.disrupted(
        call.gateway, call.sent_at, call.done_at
    ):
        yield f'unbilled: {call.request} has no record'


def _check_change(timeline: Timeline, change: Interval, calls, runs):
    in_force_at = change.begun_at + PROPAGATION_LIMIT_S[change.kind]
    if change.kind == 'key':
        served = [
            (call.gateway, call.sent_at, call.request)
            for call in calls
            if call.key == change.name and call.status not in (0, 401)
        ]
    else:
        # Ids begin with the gateway's name and its number.
        served = [
            ('-'.join(run.request.split('-')[:2]), run.at, run.request)
            for run in runs
            if run.worker == change.name
            and not timeline.disrupted(run.worker, change.begun_at, run.at)
        ]
    for gateway, at, request in served:
        if not in_force_at < at < change.ended_at:
            continue
        if not timeline.excused(gateway, change.begun_at, at):
            yield f'{change.kind}: {request} after {at - change.begun_at:.2f} s'


def _check_rollout(timeline: Timeline, rollout: Rollout, runs: list[Run]):
    draft_runs = [
        run
        for run in runs
        if run.target.startswith('/draft/')
        and rollout.ordered_at <= run.at <= rollout.ended_at
    ]
    exposed = sum(run.worker in rollout.names for run in draft_runs)
    if (
        rollout.bad
        and exposed > MAX_EXPOSURE_SHARE * len(draft_runs) + EXPOSURE_SLACK
    ):
        yield f'exposure: {exposed} of {len(draft_runs)} for {rollout.names}'
    if rollout.bad and rollout.state == 'completed':
        yield f'rollout: bad {rollout.names} was completed'
    early = [
        run
        for run in runs
        if run.worker in rollout.names and run.at < rollout.ordered_at
    ]
    if early:
        yield f'rollout: {len(early)} runs before the order'
    excused = timeline.disrupted('store', rollout.ordered_at, rollout.ended_at)
    if rollout.state not in FINAL_STATES and not excused:
        yield f'rollout: {rollout.names} is {rollout.state} at its limit'
