"""Compares what gateways do when upstreams have more work than capacity.

`shortageload` has the load patterns, `shortagesim` the nodes and upstreams.
"""

import dataclasses
import random
import statistics
import typing

from radishcourse_model import ids
from radishcourse_policy import fairshares
from radishcourse_policy import overload
from radishcourse_standins.measure import report
from radishcourse_standins.measure import shortageload
from radishcourse_standins.measure import shortagesim

WINDOW_S = 10.0
SEEDS = (1, 2, 3, 4, 5, 6, 7)


class FirstComeFirstServed:
    """Sends everything at once, as the gateway did before."""

    def __init__(self, source: random.Random):
        del source

    def admit(
        self, now: float, request: shortageload.Request, room
    ) -> float | None:
        """Returns None."""
        del now, request, room

    def note_sent(self, now: float, request: shortageload.Request) -> None:
        """Does nothing."""

    def note_failed(self, request: shortageload.Request) -> None:
        """Does nothing."""

    def note_head(self, now: float, request: shortageload.Request) -> None:
        """Does nothing."""

    def note_end(self, request: shortageload.Request) -> None:
        """Does nothing."""


class Shares:
    """The gateway's decisions."""

    def __init__(self, source: random.Random):
        self.admission = overload.Admission(source)

    def admit(
        self, now: float, request: shortageload.Request, room
    ) -> float | None:
        """Returns None to send a request, else its Retry-After in seconds."""
        decision = self.admission.decide(now, request.demand(now), room)
        if decision.verdict is overload.Verdict.SEND:
            return None
        return decision.retry_after_s

    def note_sent(self, now: float, request: shortageload.Request) -> None:
        """Records that a request was sent."""
        self.admission.times.note_sent(request, now)

    def note_failed(self, request: shortageload.Request) -> None:
        """Records that an attempt ended without a response."""
        self.admission.times.note_failed(request)

    def note_head(self, now: float, request: shortageload.Request) -> None:
        """Records a time to the head."""
        self.admission.times.note_head(request, now)
        self.admission.shares.note_drained(
            now, request.run_s, self.admission.limits.window_s
        )

    def note_end(self, request: shortageload.Request) -> None:
        """Records a running time."""
        kind = (str(request.kind.priority), '')
        self.admission.times.note_run(kind, request.run_s)


class UnservableOnly(Shares):
    """Refuses only what can't be served; no shares."""

    def admit(
        self, now: float, request: shortageload.Request, room
    ) -> float | None:
        """Returns None to send a request, else its Retry-After in seconds."""
        self.admission.limits = dataclasses.replace(
            self.admission.limits, goal_factor=1000.0
        )
        return super().admit(now, request, room)


class StrictPriority(Shares):
    """Shares without organisations and without a floor."""

    def admit(
        self, now: float, request: shortageload.Request, room
    ) -> float | None:
        """Returns None to send a request, else its Retry-After in seconds."""
        self.admission.limits = dataclasses.replace(
            self.admission.limits, floor_share=0.0
        )
        demand = dataclasses.replace(
            request.demand(now), organisation=ids.OrganisationId('')
        )
        decision = self.admission.decide(now, demand, room)
        if decision.verdict is overload.Verdict.SEND:
            return None
        return decision.retry_after_s


class SharedCounts(Shares):
    """Shares by the counts of all nodes, as if they were known at once."""

    def __init__(self, source: random.Random, counts: fairshares.FairShares):
        super().__init__(source)
        self.admission.shares = counts


def _share_counts(sources: list[random.Random]) -> list[shortagesim.Policy]:
    counts = fairshares.FairShares(sources[0])
    return [SharedCounts(source, counts) for source in sources]


MakePolicies = typing.Callable[[list[random.Random]], list[shortagesim.Policy]]


def by_node(
    policy: typing.Callable[[random.Random], shortagesim.Policy],
) -> MakePolicies:
    """Returns a function that makes a policy for each node."""

    def make(sources: list[random.Random]) -> list[shortagesim.Policy]:
        return [policy(source) for source in sources]

    return make


POLICIES: dict[str, MakePolicies] = {
    'first come': by_node(FirstComeFirstServed),
    'unservable': by_node(UnservableOnly),
    'strict priority': by_node(StrictPriority),
    'shares': by_node(Shares),
    'shared counts': _share_counts,
}


def _value_share(requests: list[shortageload.Request]) -> float:
    worth = sum(request.worth for request in requests)
    return sum(request.value for request in requests) / worth if worth else 1.0


def _served_share(requests: list[shortageload.Request]) -> float:
    return statistics.fmean(request.value > 0 for request in requests)


def measures(requests: list[shortageload.Request]) -> dict[str, float]:
    """Returns the measures of a run."""
    short = [
        request
        for request in requests
        if shortageload.SHORT_FROM_S
        <= request.arrived_at
        < shortageload.SHORT_TO_S + WINDOW_S
    ]
    overall = _served_share(short)
    organisations = [
        _served_share([item for item in short if item.organisation == name])
        for name in shortageload.ORGANISATIONS
    ]
    kinds = [
        _served_share([item for item in short if item.kind is kind])
        for kind in shortageload.KINDS
    ]
    windows = [
        _value_share(
            [
                item
                for item in requests
                if start <= item.arrived_at < start + WINDOW_S
            ]
        )
        for start in range(0, int(shortageload.DURATION_S - WINDOW_S) + 1, 5)
    ]
    waits = sorted(
        item.first_at - item.arrived_at for item in short if item.value
    )
    return {
        'value': _value_share(short),
        'worst organisation': min(organisations) / overall,
        'worst kind': min(kinds) / overall,
        'most urgent kind': kinds[0] / overall,
        'worst 10 s': min(windows),
        'first token p99, s': waits[int(0.99 * len(waits))],
    }


def main(folder: str = report.FOLDER) -> None:
    """Measures value, worst organisation, kind and window of each policy."""
    rows, figures = [], []
    for name, case in shortageload.CASES.items():
        for policy, make_policies in POLICIES.items():
            results, faults = [], 0
            for seed in SEEDS:
                simulation = shortagesim.Simulation(case, make_policies, seed)
                simulation.run()
                results.append(measures(simulation.requests))
                faults += simulation.faults
            rows += _rows(name, policy, results)
            figures.append(f'{name}, {policy}: {faults} refusals at half load')
        results = [
            measures(shortagesim.run_hindsight(case, seed)) for seed in SEEDS
        ]
        rows += _rows(name, 'hindsight', results)
    report.publish('shortage', rows, figures, folder)


def _rows(case: str, policy: str, results: list[dict]) -> list[report.Row]:
    return [
        report.Row(case, policy, measure, [item[measure] for item in results])
        for measure in results[0]
    ]
