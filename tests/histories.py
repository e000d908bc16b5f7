"""Histories of requests, and the guarantees as functions over them.

A history holds the answer to each request, the runs at the upstreams and
the bills. `python -m tests.histories FILE` checks a saved history again.
"""

import collections
import pathlib
import sys
import typing

import msgspec

NOT_RUN = 'not_run'
COMPLETED = 'completed'
UNKNOWN = 'unknown'


class Call(msgspec.Struct):
    """One request and the answer to its caller.

    Attributes:
      kind: `order`, `chat` or `stream`.
      name: Name of the order or chat request, the same for its repeats.
      node: The node that was asked.
      key: Idempotency key, or empty.
      status: HTTP status; 0 when there was no whole answer.
      code: Error code of a refusal.
      outcome: Outcome that the answer states; empty without an answer.
      request_id: The node's id of the request.
      repeated: Id of the earlier request whose stored outcome was returned.
      whole: Whether the answer was complete and belongs to the request.
      note: Network error that the client got instead of an answer.
    """

    kind: str
    name: str
    node: str
    key: str = ''
    status: int = 0
    code: str = ''
    outcome: str = ''
    request_id: str = ''
    repeated: str = ''
    whole: bool = False
    note: str = ''


class History(msgspec.Struct):
    """The requests of a run, with what the upstreams and the bills show.

    Attributes:
      seed: Seed of the run.
      calls: All requests.
      runs: Number of runs at the desks, by name of the order.
      ran: Number of runs at the desks and engines, by request id.
      billed: Request id of each bill.
    """

    seed: int = 0
    calls: list[Call] = []
    runs: dict[str, int] = {}
    ran: dict[str, int] = {}
    billed: list[str] = []


class Verdict(typing.NamedTuple):
    """Number of cases checked, and a line for each violation."""

    cases: int
    violations: list[str]


def billed_once(history: History) -> Verdict:
    """G4: a completed request has one bill, one that did not run has none."""
    bills = collections.Counter(history.billed)
    violations = [f'{item} has {n} bills' for item, n in bills.items() if n > 1]
    told = [call for call in history.calls if call.outcome]
    for call in told:
        owner = call.repeated or call.request_id
        if call.outcome == COMPLETED and not bills[owner]:
            violations.append(f'completed without a bill: {call}')
        if call.outcome == NOT_RUN and bills[call.request_id]:
            violations.append(f'not run, yet billed: {call}')
    return Verdict(len(told), violations)


def billed_once_for_a_key(history: History) -> Verdict:
    """G4: all requests with the same idempotency key have one bill at most."""
    bills = collections.Counter(history.billed)
    owners = collections.defaultdict(set)
    for call in history.calls:
        if call.key:
            owners[call.key].add(call.request_id)
            owners[call.key].add(call.repeated)
    violations = []
    for key, requests in owners.items():
        count = sum(bills[request] for request in requests if request)
        if count > 1:
            violations.append(f'key {key} was billed {count} times')
    return Verdict(len(owners), violations)


def answers_whole(history: History) -> Verdict:
    """G7: a completed answer is complete and belongs to its request."""
    done = [call for call in history.calls if call.outcome == COMPLETED]
    violations = [
        f'incomplete or wrong answer: {call}' for call in done if not call.whole
    ]
    return Verdict(len(done), violations)


def refused_did_not_run(history: History) -> Verdict:
    """G8: a request whose answer states `not_run` ran nowhere."""
    refused = [call for call in history.calls if call.outcome == NOT_RUN]
    violations = [
        f'answered with not_run, yet it ran: {call}'
        for call in refused
        if history.ran.get(call.request_id)
    ]
    return Verdict(len(refused), violations)


def orders_run_once(history: History) -> Verdict:
    """G9: an order runs at most once; a completed one ran."""
    orders = collections.defaultdict(list)
    for call in history.calls:
        if call.kind == 'order':
            orders[call.name].append(call)
    violations = []
    for name, calls in orders.items():
        runs = history.runs.get(name, 0)
        completed = any(call.outcome == COMPLETED for call in calls)
        if runs > 1 or (completed and not runs):
            violations.append(f'order {name} ran {runs} times: {calls}')
    return Verdict(len(orders), violations)


GUARANTEES: dict[str, typing.Callable[[History], Verdict]] = {
    'G4 each request is billed once': billed_once,
    'G4 a repeated key is billed once': billed_once_for_a_key,
    'G7 a completed answer is whole': answers_whole,
    'G8 "not run" is true': refused_did_not_run,
    'G9 an order runs at most once': orders_run_once,
}


def check(history: History) -> dict[str, Verdict]:
    """Returns the verdict on each guarantee."""
    return {name: judge(history) for name, judge in GUARANTEES.items()}


def unknown_share(history: History) -> float:
    """Returns the share of answers that state `unknown`.

    Answers with the code `still_running` are not counted as unknown.
    """
    told = [call for call in history.calls if call.outcome]
    unknown = [
        call
        for call in told
        if call.outcome == UNKNOWN and call.code != 'still_running'
    ]
    return len(unknown) / max(1, len(told))


def describe(history: History) -> str:
    """Returns a table with a line for each guarantee, and all violations."""
    lines = [f'{"guarantee":38}{"cases":>8}{"violations":>12}']
    found = []
    for name, verdict in check(history).items():
        count = len(verdict.violations)
        lines.append(f'{name:38}{verdict.cases:>8}{count:>12}')
        found += verdict.violations
    outcomes = collections.Counter(
        call.code or call.outcome or 'no answer' for call in history.calls
    )
    lines.append(f'seed {history.seed}; outcomes: {dict(outcomes)}')
    lines.append(f'unknown: {unknown_share(history):.2%} of answers')
    return '\n'.join(lines + found)


def violated(history: History) -> bool:
    """Tells whether any guarantee is violated."""
    return any(verdict.violations for verdict in check(history).values())


def save(history: History, path: pathlib.Path) -> None:
    """Writes a history to a file."""
    path.write_bytes(msgspec.json.encode(history))


def main(arguments: list[str]) -> int:
    """Checks a saved history; returns 1 when a guarantee is violated."""
    data = pathlib.Path(arguments[0]).read_bytes()
    history = msgspec.json.decode(data, type=History)
    print(describe(history))
    return int(violated(history))


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))
