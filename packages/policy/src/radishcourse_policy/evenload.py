"""Expected work of an upstream, from reports that age.

A node knows its own work exactly, and that of each other node as of its last
report. A report loses weight with its age; the rest of the load is assumed to
be spread over the service's upstreams by their slots. The nodes whose work
is known are a sample of the fleet: a deviation from the even spread in that
sample is expected to hold in part for the others too.

Load pattern: 8 to 570 nodes that hear of each other every 0.3 to 60 s, with
requests of 15 ms to 10 s. If each report were believed until the next one, the
nodes would overload upstreams in turns while others are idle.
"""

import dataclasses
import math
import typing

from radishcourse_model import ids

# Time constant with which the weight of an upstream's own load report decays,
# in mean service times. With 1 and 2 the p99 time to the first token was higher
# in every trial (docs/policies/placement.md).
REPORT_DECAY_SERVICES = 0.5
# The same for reports of single nodes. A slow upstream stays busier than others
# for longer than a request takes, and the mean of many reports varies less:
# with 0.5 and 1 the p99 time was higher (docs/design/even-load.md).
NODE_REPORT_DECAY_SERVICES = 2.0
# Mean service time until one was observed.
DEFAULT_SERVICE_S = 1.0
# Variance of the load of an upstream divided by its mean. At random it is 1;
# the greater, the more of the sample's deviation is expected of the others.
# Slow upstreams and phases make it greater; 4 was better than 1 and 2.
DISPERSION = 4.0
# A report of an ejection is believed for this long. Most ejections are shorter,
# but the next report of the node may come only after many seconds.
EJECTION_REPORT_S = 2.0


def report_weight(
    age_s: float, service_s: float, decay: float = REPORT_DECAY_SERVICES
) -> float:
    """Returns the weight of a report of load, from 1 for a new one to 0.

    Args:
      age_s: Age of the report.
      service_s: Mean time for which a request occupies a slot.
      decay: Time constant of the weight, in service times.
    """
    return math.exp(-age_s / (decay * service_s))


def aged(reported: float, mean: float, weight: float) -> float:
    """Returns the expected value of a report that loses weight to a mean."""
    return weight * reported + (1 - weight) * mean


class Work(typing.NamedTuple):
    """A node's work in progress at an upstream.

    Attributes:
      requests: Requests in progress.
      waiting_s: Expected seconds to prefill the prompts that wait there.
      ejected: Whether the node has ejected the upstream.
    """

    requests: int = 0
    waiting_s: float = 0.0
    ejected: bool = False


class Known(typing.NamedTuple):
    """What other nodes reported of an upstream.

    Attributes:
      requests: Requests in progress, by reports that lose weight with age.
      waiting_s: Expected seconds to prefill the prompts that wait, likewise.
      ejecting_nodes: Nodes that have ejected it of late.
      reported_requests: Requests in progress, by reports of any age.
      reported_waiting_s: The same for the prompts that wait.
    """

    requests: float = 0.0
    waiting_s: float = 0.0
    ejecting_nodes: int = 0
    reported_requests: int = 0
    reported_waiting_s: float = 0.0


@dataclasses.dataclass
class _Sums:
    """Sums over the reports on one upstream.

    `elapsed` is the time in time constants, so that a constant that changes
    ages all reports alike and a report can be taken out again exactly.
    """

    at: float
    elapsed: float = 0.0
    requests: float = 0.0
    waiting_s: float = 0.0
    reported_requests: int = 0
    reported_waiting_s: float = 0.0
    reports: int = 0
    # Nodes by the time of their report, the oldest first.
    ejecting: dict = dataclasses.field(default_factory=dict)

    def advance(self, now: float, service_s: float) -> None:
        step = (now - self.at) / (NODE_REPORT_DECAY_SERVICES * service_s)
        if step > 0:
            weight = math.exp(-step)
            self.requests *= weight
            self.waiting_s *= weight
            self.elapsed += step
            self.at = now

    def add(self, work: Work, elapsed: float, sign: int) -> None:
        weight = sign * math.exp(elapsed - self.elapsed)
        self.requests += weight * work.requests
        self.waiting_s += weight * work.waiting_s
        self.reported_requests += sign * work.requests
        self.reported_waiting_s += sign * work.waiting_s
        self.reports += sign
        if not self.reports:
            # Clears the rounding errors of the sums.
            self.requests = self.waiting_s = self.reported_waiting_s = 0.0


class ReportSums:
    """Sums by upstream over the latest report of each other node.

    They are updated when a report arrives, so that a lookup takes the same
    steps in any fleet.

    Args:
      clock: Source of time.
      service_s: Returns the mean seconds of a request at an upstream.
    """

    def __init__(
        self, clock, service_s: typing.Callable[[ids.UpstreamId], float]
    ):
        self._clock = clock
        self._service_s = service_s
        self._sums: dict[ids.UpstreamId, _Sums] = {}
        self._reports: dict[
            ids.NodeId, dict[ids.UpstreamId, tuple[Work, float]]
        ] = {}

    def replace(
        self, node: ids.NodeId, work: dict[ids.UpstreamId, Work]
    ) -> None:
        """Replaces a node's report by a new one."""
        self.withdraw(node)
        now = self._clock.now()
        report = {}
        for upstream, item in work.items():
            sums = self._sums.setdefault(upstream, _Sums(now))
            sums.advance(now, self._service_s(upstream))
            sums.add(item, sums.elapsed, 1)
            report[upstream] = (item, sums.elapsed)
            if item.ejected:
                sums.ejecting[node] = now
        self._reports[node] = report

    def withdraw(self, node: ids.NodeId) -> None:
        """Removes the report of a node, as of one that is gone."""
        for upstream, (item, elapsed) in self._reports.pop(node, {}).items():
            sums = self._sums[upstream]
            sums.add(item, elapsed, -1)
            sums.ejecting.pop(node, None)
            if not sums.reports:
                del self._sums[upstream]

    def requests_of(self, node: ids.NodeId) -> dict[ids.UpstreamId, int]:
        """Returns the requests in progress in a node's latest report."""
        report = self._reports.get(node, {})
        return {
            upstream: work.requests for upstream, (work, _) in report.items()
        }

    def of(self, upstream: ids.UpstreamId) -> Known:
        """Returns what the other nodes reported of an upstream."""
        sums = self._sums.get(upstream)
        if sums is None:
            return Known()
        now = self._clock.now()
        sums.advance(now, self._service_s(upstream))
        while sums.ejecting:
            node, at = next(iter(sums.ejecting.items()))
            if now - at <= EJECTION_REPORT_S:
                break
            del sums.ejecting[node]
        return Known(
            max(0.0, sums.requests),
            max(0.0, sums.waiting_s),
            len(sums.ejecting),
            sums.reported_requests,
            max(0.0, sums.reported_waiting_s),
        )


class UpstreamWork(typing.NamedTuple):
    """Work at an upstream as this node knows it.

    Attributes:
      requests: This node's own requests in progress there.
      waiting_s: Expected seconds to prefill its own prompts that wait there.
      known: What the other nodes reported.
      slots: Requests that the upstream runs at once. A slower one gets fewer
        requests but holds them longer, so that at equal utilisation its slots
        are as full as those of others.
    """

    requests: int
    waiting_s: float
    known: Known
    slots: int


class Level(typing.NamedTuple):
    """Load of a service, for each slot of its upstreams.

    Attributes:
      requests: Requests of all nodes in progress.
      waiting_s: Expected seconds to prefill all prompts that wait.
      known_requests: The part of the requests that is known from this node
        itself and from reports, each with its weight.
      known_waiting_s: The same for the prompts that wait.
      known_share: Share of the nodes whose work is known, likewise.
    """

    requests: float = 0.0
    waiting_s: float = 0.0
    known_requests: float = 0.0
    known_waiting_s: float = 0.0
    known_share: float = 1.0


def make_level(
    upstreams: typing.Iterable[UpstreamWork],
    nodes: int,
    report_ages_s: list[float],
    service_s: float,
) -> Level:
    """Returns the level of load of a service.

    Args:
      upstreams: Work at each of its upstreams.
      nodes: Nodes of the fleet, this one included.
      report_ages_s: Age of the latest report of each node that has sent one.
      service_s: Mean time of a request.
    """
    items = list(upstreams)
    slots = sum(item.slots for item in items)
    if not slots:
        return Level()
    # The nodes that have not reported yet are taken to be like the others.
    scale = (nodes - 1) / max(1, len(report_ages_s)) if nodes > 1 else 0.0
    known_nodes = 1 + sum(
        report_weight(age_s, service_s, NODE_REPORT_DECAY_SERVICES)
        for age_s in report_ages_s
    )
    requests = sum(
        item.requests + scale * item.known.reported_requests for item in items
    )
    waiting_s = sum(
        item.waiting_s + scale * item.known.reported_waiting_s for item in items
    )
    return Level(
        requests / slots,
        waiting_s / slots,
        sum(item.requests + item.known.requests for item in items) / slots,
        sum(item.waiting_s + item.known.waiting_s for item in items) / slots,
        min(1.0, known_nodes / max(1, nodes)),
    )


class Expected(typing.NamedTuple):
    """Expected work of all nodes at an upstream.

    Attributes:
      requests: Requests in progress.
      waiting_s: Expected seconds to prefill the prompts that wait there.
    """

    requests: float
    waiting_s: float


def expected(item: UpstreamWork, level: Level) -> Expected:
    """Returns the expected work at an upstream; never less than the own."""
    share = level.known_share
    # Least squares for a load whose variance is DISPERSION times its mean, of
    # which a random share of the requests is known.
    factor = DISPERSION / (1 - share + DISPERSION * share)

    def estimate(known: float, known_level: float, mean: float) -> float:
        deviation = known - known_level * item.slots
        return mean * item.slots + factor * deviation

    requests = estimate(
        item.requests + item.known.requests,
        level.known_requests,
        level.requests,
    )
    waiting_s = estimate(
        item.waiting_s + item.known.waiting_s,
        level.known_waiting_s,
        level.waiting_s,
    )
    return Expected(
        max(requests, item.requests), max(waiting_s, item.waiting_s)
    )


class FullPenalty:
    """Expected delay at an upstream that has refused requests as full.

    Each refusal counts for about the time of a request, after which there is
    room again, and it is weighed against the load of the others. An ejection
    would send all requests of a node to the others at once, which are close to
    full by then.
    """

    def __init__(self):
        self._refusals = 0.0
        self._at = 0.0

    def _left(self, now: float, service_s: float) -> float:
        return self._refusals * math.exp((self._at - now) / service_s)

    def add(self, now: float, service_s: float) -> float:
        """Adds a refusal at a time; returns the delay from now on."""
        self._refusals, self._at = self._left(now, service_s) + 1, now
        return self.seconds(now, service_s)

    def seconds(self, now: float, service_s: float) -> float:
        """Returns the delay at a time.

        Args:
          now: The time.
          service_s: Mean time of a request at the upstream.
        """
        return self._left(now, service_s) * service_s


def spread(loads: list[tuple[float, float]]) -> float:
    """Returns the busiest upstream's load as a multiple of the mean.

    Args:
      loads: Requests in progress and slots of each upstream.
    """
    requests = sum(item[0] for item in loads)
    slots = sum(item[1] for item in loads)
    if not slots or not requests:
        return 1.0
    return max(load / count for load, count in loads) * slots / requests
