"""Measures placement: time to first token if nodes choose independently."""

import collections
import concurrent.futures
import dataclasses
import random

from radishcourse_model import ids
from radishcourse_policy import placement
from radishcourse_policy import prefixes
from radishcourse_standins.measure import queues
from radishcourse_standins.measure import report

SEEDS = 5
JOBS = 12_000
NODES = 8
UPSTREAMS = 9
SLOTS = 8
CACHE_PREFIXES = 10
SHARED_PREFIXES = 60
PREFILL_S = 0.4
DECODE_S = 1.0
# Share of the prefill time that a cached prefix saves.
CACHED_SHARE = 0.8
REPORT_EVERY_S = 0.5
EVENT_DELAY_S = 1.0
EVENT_LOSS_PROBABILITY = 0.1
# Weight of a new value in the mean service time.
SERVICE_SMOOTHING = 0.02
# Share of the requests, at the start, that the results leave out.
WARM_UP_SHARE = 0.2
PROCESSES = 4


@dataclasses.dataclass(frozen=True)
class Case:
    """A condition under which the policies are measured.

    Attributes:
      load: Offered load as a share of the capacity.
      report_lag_s: Delay after which a load report is visible to the nodes.
      shared_prefixes: Whether prompts share prefixes.
      slowdown: Factor on all processing times of the first upstream.
    """

    load: float
    report_lag_s: float = 0.5
    shared_prefixes: bool = True
    slowdown: float = 1.0

    @property
    def name(self) -> str:
        """Name in the table."""
        parts = [f'{self.load:.0%}', f'reports {self.report_lag_s:g} s']
        parts.append('shared' if self.shared_prefixes else 'no shared')
        if self.slowdown != 1:
            parts.append(f'one {self.slowdown:g}x slow')
        return ', '.join(parts)


CASES = [
    *(Case(load, shared_prefixes=shared)
      for load in (0.3, 0.7, 0.95) for shared in (True, False)),
    *(Case(0.7, lag_s, shared)
      for lag_s in (0.0, 2.0, 10.0) for shared in (True, False)),
    *(Case(0.7, shared_prefixes=shared, slowdown=3.0)
      for shared in (True, False)),
]  # fmt: skip


class Node:
    """A node that chooses upstreams from its own view of them."""

    def __init__(self, policy: str, case: Case, upstreams, seed: int):
        self._policy = policy
        self._case = case
        self._upstreams = upstreams
        self._random = random.Random(seed)
        self._report_phase_s = self._random.random() * REPORT_EVERY_S
        self._in_flight: collections.Counter = collections.Counter()
        self._in_flight_changes: dict[str, list] = collections.defaultdict(list)
        self._prefixes = prefixes.CachedPrefixes()
        self._events_read = collections.Counter()
        self._mean_service_s = dict.fromkeys(
            (item.name for item in upstreams), PREFILL_S + DECODE_S
        )
        self._next_index = self._random.randrange(UPSTREAMS)

    def place(
        self, simulation: queues.Simulation, request: queues.Request
    ) -> None:
        """Sends a request to the upstream that the policy chooses."""
        upstream = self._choose(simulation.now, request)
        started_at, name = simulation.now, upstream.name
        self._in_flight[name] += 1
        self._in_flight_changes[name].append((started_at, 1))
        if request.prefix:
            self._prefixes.note_sent(ids.UpstreamId(name), request.prefix)

        def done() -> None:
            self._in_flight[name] -= 1
            self._in_flight_changes[name].append((simulation.now, -1))
            # The wait for a slot is not part of the service time.
            slot_s = request.decode_s * upstream.slowdown + request.prefill_s
            self._mean_service_s[name] += SERVICE_SMOOTHING * (
                slot_s - self._mean_service_s[name]
            )

        upstream.add(request, done)

    def _choose(self, now: float, request) -> queues.Upstream:
        if self._policy == 'random':
            return self._random.choice(self._upstreams)
        if self._policy == 'round robin':
            self._next_index = (self._next_index + 1) % UPSTREAMS
            return self._upstreams[self._next_index]
        candidates = [
            self._make_candidate(now, item, request) for item in self._upstreams
        ]
        if self._policy == 'least reported':
            chosen = min(
                candidates, key=lambda item: (item.reported, item.upstream)
            )
        elif self._policy == 'power of two':
            chosen = placement.choose_power_of_two(candidates, self._random)
        else:
            self._apply_cache_events(now)
            chosen = placement.choose(
                self._add_prefix_matches(candidates, request), self._random
            )
        return next(
            item for item in self._upstreams if item.name == chosen.upstream
        )

    def _make_candidate(self, now, upstream, request) -> placement.Candidate:
        sampled_at = (
            now
            - (now + self._report_phase_s) % REPORT_EVERY_S
            - self._case.report_lag_s
        )
        index = int(sampled_at / queues.SAMPLE_INTERVAL_S)
        reported = 0
        if 0 <= index < len(upstream.load_history):
            reported = upstream.load_history[index]
        return placement.Candidate(
            upstream=ids.UpstreamId(upstream.name),
            slots=upstream.slots,
            in_flight=self._in_flight[upstream.name],
            reported=reported,
            report_age_s=now - sampled_at,
            in_flight_at_report=self._in_flight_at(upstream.name, sampled_at),
            service_s=self._mean_service_s[upstream.name],
            prefill_s=request.prefill_s,
        )

    def _in_flight_at(self, name: str, sampled_at: float) -> int:
        changes = self._in_flight_changes[name]
        in_flight = self._in_flight[name]
        for changed_at, change in reversed(changes):
            if changed_at <= sampled_at:
                break
            in_flight -= change
        if len(changes) > 2000:
            del changes[:1000]
        return in_flight

    def _apply_cache_events(self, now: float) -> None:
        for upstream in self._upstreams:
            start = self._events_read[upstream.name]
            for changed_at, prefix, stored in upstream.cache_events[start:]:
                if changed_at > now - EVENT_DELAY_S:
                    break
                self._events_read[upstream.name] += 1
                if self._random.random() < EVENT_LOSS_PROBABILITY:
                    continue
                name = ids.UpstreamId(upstream.name)
                if stored:
                    self._prefixes.note_stored(name, prefix)
                else:
                    self._prefixes.note_evicted(name, prefix)

    def _add_prefix_matches(self, candidates, request):
        if not request.prefix:
            return candidates
        names = [item.upstream for item in candidates]
        is_cached_anywhere = any(
            self._prefixes.cached_probability(name, request.prefix)
            for name in names
        )
        preferred = (
            set(prefixes.preferred_upstreams(request.prefix, names))
            if is_cached_anywhere
            else ()
        )
        return [
            dataclasses.replace(
                item,
                cached_share=CACHED_SHARE
                * self._prefixes.cached_probability(
                    item.upstream, request.prefix
                ),
                preferred=item.upstream in preferred,
            )
            for item in candidates
        ]


def run(case: Case, policy: str, seed: int, jobs: int) -> dict[str, float]:
    """Simulates one run and returns its values by measure."""
    random_source = random.Random(seed)
    simulation = queues.Simulation()
    upstreams = [
        queues.Upstream(
            simulation, f'u{index}', SLOTS, CACHE_PREFIXES,
            case.slowdown if index == 0 else 1.0, CACHED_SHARE,
        )
        for index in range(UPSTREAMS)
    ]  # fmt: skip
    nodes = [
        Node(policy, case, upstreams, seed * 100 + index)
        for index in range(NODES)
    ]
    requests = _make_requests(case, random_source, jobs)
    for request in requests:
        node = random_source.choice(nodes)
        simulation.schedule(
            request.arrived_at, lambda n=node, r=request: n.place(simulation, r)
        )
    max_load = [0]

    def sample() -> None:
        for upstream in upstreams:
            upstream.load_history.append(upstream.load)
            max_load[0] = max(max_load[0], upstream.load)
        if simulation.now < requests[-1].arrived_at:
            simulation.schedule(
                simulation.now + queues.SAMPLE_INTERVAL_S, sample
            )

    simulation.schedule(0.0, sample)
    simulation.run()
    measured = requests[int(WARM_UP_SHARE * jobs) :]
    times = sorted(item.first_token_s for item in measured)
    return {
        'p50 s': times[len(times) // 2],
        'p99 s': times[int(0.99 * len(times))],
        'greatest load': float(max_load[0]),
    }


def _make_requests(
    case: Case, random_source, jobs: int
) -> list[queues.Request]:
    rate = case.load * UPSTREAMS * SLOTS / (PREFILL_S + DECODE_S)
    weights = [1 / (index + 1) for index in range(SHARED_PREFIXES)]
    now, requests = 0.0, []
    for index in range(jobs):
        now += random_source.expovariate(rate)
        prefix_index = random_source.choices(range(SHARED_PREFIXES), weights)[0]
        requests.append(
            queues.Request(
                now,
                f'p{prefix_index}' if case.shared_prefixes else f'own{index}',
                queues.draw_seconds(random_source, PREFILL_S, 0.3),
                queues.draw_seconds(random_source, DECODE_S, 0.6),
            )
        )
    return requests


POLICIES = (
    'random', 'round robin', 'least reported', 'power of two', 'chosen',
)  # fmt: skip


def _measure(task) -> tuple[Case, str, list[dict[str, float]]]:
    case, policy, seeds, jobs = task
    return case, policy, [run(case, policy, s, jobs) for s in range(seeds)]


def main(
    seeds: int = SEEDS, jobs: int = JOBS, folder: str = report.FOLDER
) -> None:
    """Measures the placement policy."""
    tasks = [(c, p, seeds, jobs) for c in CASES for p in POLICIES]
    rows, p99 = [], {}
    with concurrent.futures.ProcessPoolExecutor(PROCESSES) as pool:
        for case, policy, results in pool.map(_measure, tasks):
            p99[case, policy] = [item['p99 s'] for item in results]
            rows += [
                report.Row(case.name, policy, key, [r[key] for r in results])
                for key in results[0]
            ]
    figures = []
    for case in CASES:
        ratios = [
            own / other
            for own, other in zip(
                p99[case, 'chosen'], p99[case, 'power of two'], strict=True
            )
        ]
        goal = 0.7 if case.shared_prefixes else 1.05
        row = report.Row(case.name, 'chosen', 'ratio', ratios)
        figures.append(
            f'{case.name}: p99 {row.median:.3f} ({row.spread}) of power of '
            f'two; goal {goal}'
        )
    report.publish('placement', rows, figures, folder)
