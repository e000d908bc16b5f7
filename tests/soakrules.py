"""Checks of a gateway soak's guarantees, on its calls, runs and log records."""

import collections
import contextlib
import dataclasses
import itertools
import re
import time

from tests import sitefiles
from tests import soakcalls

FINAL_STATES = ('completed', 'rolled_back')
# Statuses that tell the caller that the request was not run.
NOT_RUN_STATUSES = (408, 421, 429, 503)
# The users require that a change is in force at every gateway within this time.
PROPAGATION_LIMIT_S = {'key': 5.0, 'drain': 2.0, 'evacuation': 5.0}
# A gateway that has passed on an answer of a leaving worker sends it nothing
# after this time.
LEAVING_LIMIT_S = 2.0
# Prompts that crash upstreams and still reach some from CONTACT_S after the
# fifth crash: as many as the users tolerate.
MAX_LATE_PROMPTS, CRASHES, CONTACT_S = 3, 5, 3.0
# Time that a gateway may take to catch up after a disruption.
RECONNECT_S = 3.0
# Time that an answer may take beyond its deadline.
DEADLINE_MARGIN_S = 1.0
# Share of the draft requests that a bad version may get, and the number of
# requests that it may get beyond this share.
MAX_EXPOSURE_SHARE, EXPOSURE_SLACK = 0.15, 30
# Requests on another version than the one before them in their session that
# the users tolerate in a roll-out.
MAX_CHANGED_SESSIONS = 3
_ORGANISATIONS = {sitefiles.KEY: 'first', sitefiles.OTHER_KEY: 'second'}
_EVENT_ID = re.compile(rb'id: (\d+)\n')


@dataclasses.dataclass(frozen=True)
class Run:
    """A run of a request at a worker.

    Attributes:
      request: The request's id.
      worker: Name of the worker.
      target: The request's path.
      at: When it began, on the monotonic clock in seconds.
    """

    request: str
    worker: str
    target: str
    at: float


@dataclasses.dataclass(frozen=True)
class AnswerRecord:
    """A gateway's log record of a request that it answered.

    Attributes:
      request: The request's id.
      organisation: The organisation that is billed.
      status: HTTP status of the answer.
    """

    request: str
    organisation: str
    status: int


@dataclasses.dataclass
class Interval:
    """The time during which a change, a disruption or a stall lasted.

    Attributes:
      kind: `key`, `drain` or `evacuation` for a change of the operator; else
        `disruption` or `stall`.
      name: The key, worker, gateway or store that is affected.
      begun_at: When it began, on the monotonic clock in seconds.
      ended_at: When it ended; infinity while it lasts.
    """

    kind: str
    name: str
    begun_at: float
    ended_at: float = float('inf')


@dataclasses.dataclass
class Rollout:
    """A roll-out of a new version.

    Attributes:
      names: Workers of the new version.
      bad: Whether these workers answer with errors.
      limit_s: Time limit of the roll-out.
      ordered_at: When it was requested, on the monotonic clock in seconds.
      ended_at: When its state was read for the last time.
      state: The state read then, or None if the store had none.
    """

    names: list[str]
    bad: bool
    limit_s: float
    ordered_at: float = 0.0
    ended_at: float = 0.0
    state: str | None = None

    def begin(self) -> None:
        """Records that the roll-out is requested now."""
        self.ordered_at = time.monotonic()

    def end(self, state: str | None) -> None:
        """Records the state that was read last."""
        self.ended_at, self.state = time.monotonic(), state


class Timeline:
    """Faults and the operator's changes, with their times.

    Attributes:
      changes: Keys withdrawn, workers drained and zones evacuated.
      rollouts: Roll-outs of new versions.
      disruptions: Times when the store, a gateway or a link failed.
      stalls: Times when the machine ran none of the processes.
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
        """Total time of all stalls, in seconds."""
        return sum(stall.ended_at - stall.begun_at for stall in self.stalls)

    @contextlib.contextmanager
    def disruption(self, name: str):
        """Records a failure of the store, a gateway or a worker's link."""
        disruption = Interval('disruption', name, time.monotonic())
        self.disruptions.append(disruption)
        yield
        disruption.ended_at = time.monotonic()

    @contextlib.contextmanager
    def change(self, kind: str, name: str):
        """Records a change of the operator that ends with the context."""
        change = Interval(kind, name, time.monotonic())
        self.changes.append(change)
        yield
        change.ended_at = time.monotonic()

    @contextlib.contextmanager
    def rollout(self, names: list[str], bad: bool, limit_s: float):
        """Yields the record of a roll-out; stores it at the end."""
        rollout = Rollout(names, bad, limit_s)
        yield rollout
        self.rollouts.append(rollout)

    def add_exit(self, name: str, code: int) -> None:
        """Records the exit code of a gateway that was asked to stop."""
        self._exits.append((name, code))

    def add_fault(self, name: str, begun_at: float, ended_at: float) -> None:
        """Records a fault that was injected."""
        self._faults.append((name, begun_at, ended_at))

    def add_stall(self, begun_at: float, ended_at: float) -> None:
        """Records a time when the machine ran none of the processes."""
        self.stalls.append(Interval('stall', 'machine', begun_at, ended_at))

    def _stalled(self, since: float, until: float) -> bool:
        return any(
            stall.begun_at <= until and stall.ended_at >= since
            for stall in self.stalls
        )

    def disrupted(self, name: str, since: float, until: float) -> bool:
        """Tells whether something failed then or less than RECONNECT_S before.

        Stalls of the machine count as failures of everything.
        """
        return self._stalled(since, until) or any(
            disruption.name == name
            and disruption.begun_at <= until
            and disruption.ended_at + RECONNECT_S >= since
            for disruption in self.disruptions
        )

    def excused(self, gateway: str, since: float, until: float) -> bool:
        """Tells whether a gateway may have missed a change in that time."""
        return self.disrupted('store', since, until) or self.disrupted(
            gateway, since, until
        )

    def failed_exits(self) -> list[str]:
        """Returns a violation for each planned stop with a non-zero code."""
        return [
            f'stop: {name} ended with {code}'
            for name, code in self._exits
            if code != 0
        ]

    def fault_counts(self) -> collections.Counter:
        """Returns how often each fault was injected."""
        return collections.Counter(name for name, _, _ in self._faults)

    def rows(self) -> list:
        """Returns faults, intervals and roll-outs, for a JSON file."""
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
    """Returns a line for each violation of a guarantee.

    Args:
      timeline: Faults and changes, which excuse some violations.
      calls: Requests and what their callers received.
      runs: Runs at the workers.
      records: Log records of the gateways' answers.
      events: Number of events in a complete stream.
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
        if change.kind == 'leaving':
            violations += _check_leaving(timeline, change, runs)
        else:
            violations += _check_change(timeline, change, calls, runs)
    violations += _check_prompts(timeline, runs)
    for rollout in timeline.rollouts:
        violations += _check_rollout(timeline, rollout, runs)
        violations += _check_sessions(timeline, rollout, calls)
    return violations


def _check_call(timeline, call: soakcalls.Call, runs: list[Run], events: int):
    if call.kind == 'order' and len(runs) > 1:
        yield f'run twice: {call.request} ran at {[run.worker for run in runs]}'
    if call.status in NOT_RUN_STATUSES and runs:
        yield f'refused but run: {call.request} has status {call.status}'
    if call.status in NOT_RUN_STATUSES and not call.retry_after:
        yield f'no Retry-After: {call.request} has status {call.status}'
    if call.status == 200 and call.whole:
        yield from _check_body(call, events)
    took_s = call.done_at - call.sent_at
    late = took_s > sitefiles.BUDGET_MS / 1000 + DEADLINE_MARGIN_S
    excused = timeline.disrupted(call.gateway, call.sent_at, call.done_at)
    if late and not excused:
        yield (
            f'deadline exceeded: {call.request} took {took_s:.2f} s'
            f' (status {call.status})'
        )


def _check_body(call: soakcalls.Call, events: int):
    if call.kind == 'draft':
        event_ids = [int(number) for number in _EVENT_ID.findall(call.body)]
        if event_ids != list(range(1, events + 1)):
            yield f'wrong stream events: {call.request} has {event_ids}'
        return
    method = 'GET' if call.kind == 'stock' else 'POST'
    if call.body != f'{call.stamp} {method} {call.target}'.encode():
        yield f'wrong answer: {call.request} got {call.body!r}'


def _check_bill(timeline, call, runs: list[Run], records: list[AnswerRecord]):
    """Checks that an answer is billed once, to its caller's organisation."""
    if len(records) > 1:
        yield f'billed twice: {call.request} has {len(records)} records'
    if call.status != 200 or not call.whole:
        return
    if call.stamp not in {run.worker for run in runs}:
        yield f'answered but not run: {call.request} names {call.stamp}'
    payer = _ORGANISATIONS[call.key]
    if any(record.organisation != payer for record in records):
        yield f'wrong organisation billed: {call.request} of {payer}: {records}'
    # A gateway that is killed may lose the log line.
    if not records and not timeline.disrupted(
        call.gateway, call.sent_at, call.done_at
    ):
        yield f'not billed: {call.request} has no record'


def _check_change(timeline: Timeline, change: Interval, calls, runs):
    in_force_at = change.begun_at + PROPAGATION_LIMIT_S[change.kind]
    if change.kind == 'key':
        served = [
            (call.gateway, call.sent_at, call.request)
            for call in calls
            if call.key == change.name and call.status not in (0, 401)
        ]
    else:
        # A request id begins with the gateway's name, such as gateway-1.
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
            yield (
                f'{change.kind}: {request} was accepted'
                f' {at - change.begun_at:.2f} s after the change'
            )


def _gateway_of(run: Run) -> str:
    # A request id begins with the gateway's name, such as gateway-1.
    return '-'.join(run.request.split('-')[:2])


def _check_leaving(timeline: Timeline, change: Interval, runs: list[Run]):
    """Checks that a gateway sends nothing to a worker that it knows leaves."""
    first: dict[str, float] = {}
    for run in sorted(runs, key=lambda run: run.at):
        if run.worker != change.name or not (
            change.begun_at < run.at < change.ended_at
        ):
            continue
        gateway = _gateway_of(run)
        known_at = first.setdefault(gateway, run.at)
        late_s = run.at - known_at
        disrupted = timeline.disrupted(gateway, known_at, run.at)
        worker_failed = timeline.disrupted(run.worker, known_at, run.at)
        if late_s > LEAVING_LIMIT_S and not (disrupted or worker_failed):
            yield (
                f'leaving: {run.request} reached {run.worker} {late_s:.2f} s'
                ' after an answer that it leaves'
            )


def _check_prompts(timeline: Timeline, runs: list[Run]):
    """Checks that prompts which crash upstreams stop reaching them."""
    by_part = collections.defaultdict(list)
    for run in runs:
        if run.target.startswith('/draft/crash'):
            by_part[run.target.rpartition('-')[0]].append(run)
    for part, arrivals in by_part.items():
        # Each of these arrivals ends its worker.
        arrivals.sort(key=lambda run: run.at)
        if len(arrivals) <= CRASHES:
            continue
        known_at = arrivals[CRASHES - 1].at + CONTACT_S
        late = [
            run
            for run in arrivals
            if run.at > known_at
            and not timeline.disrupted(_gateway_of(run), arrivals[0].at, run.at)
        ]
        if len(late) > MAX_LATE_PROMPTS:
            yield f'prompts: {part} reached upstreams {len(late)} times more'


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
        yield (
            f'exposure: {exposed} of {len(draft_runs)} runs'
            f' at bad {rollout.names}'
        )
    if rollout.bad and rollout.state == 'completed':
        yield f'rollout: bad {rollout.names} was completed'
    early = [
        run
        for run in runs
        if run.worker in rollout.names and run.at < rollout.ordered_at
    ]
    if early:
        yield f'rollout: {len(early)} runs before it was requested'
    excused = timeline.disrupted('store', rollout.ordered_at, rollout.ended_at)
    if rollout.state not in FINAL_STATES and not excused:
        yield (f'rollout: {rollout.names} is {rollout.state} at its time limit')


def _check_sessions(timeline: Timeline, rollout: Rollout, calls):
    """Checks that sessions keep their version in a roll-out's first half."""
    half_time = rollout.ordered_at + (rollout.limit_s / 2)
    by_session = collections.defaultdict(list)
    for call in sorted(calls, key=lambda call: call.sent_at):
        if call.kind == 'draft' and call.status == 200:
            by_session[call.session].append(call)
    changed = [
        second.request
        for session_calls in by_session.values()
        for first, second in itertools.pairwise(session_calls)
        if rollout.ordered_at <= second.sent_at < half_time
        and (first.stamp in rollout.names) != (second.stamp in rollout.names)
        and not timeline.excused(
            first.gateway, rollout.ordered_at, second.sent_at
        )
        and not timeline.excused(
            second.gateway, rollout.ordered_at, second.sent_at
        )
    ]
    is_rolled_back = rollout.state == 'rolled_back'
    if len(changed) > MAX_CHANGED_SESSIONS and not is_rolled_back:
        yield f'session: {changed} ran on another version than before'
