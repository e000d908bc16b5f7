"""Work in progress at a service's workers, as one node knows it.

Reports of other nodes are some seconds old, some nodes' reports are missing,
and zones that are out of service hand their work on to the others.
"""

import collections
import dataclasses
import enum
import statistics
import typing

from radishcourse_model import ids

# Nine in ten reports are younger than 11 s with 77 nodes (docs/CAPACITY.md).
# Most requests that an older one counts have ended.
MAX_REPORT_AGE_S = 10.0


class WorkerState(enum.Enum):
    """State of a listed worker."""

    READY = 'ready'
    COLD = 'cold'
    DRAINING = 'draining'


class Worker(typing.NamedTuple):
    """A listed worker.

    Attributes:
      zone: Its availability zone.
      version: Version of its software.
      slots: Requests that it runs at once.
      state: Whether it takes new requests.
    """

    zone: ids.ZoneId
    version: ids.VersionId
    slots: int
    state: WorkerState = WorkerState.READY


class Report(typing.NamedTuple):
    """A node's requests in progress.

    Attributes:
      age_s: Seconds since the node counted them.
      requests: Number of requests by upstream, waiting ones included.
    """

    age_s: float
    requests: typing.Mapping[ids.UpstreamId, int]


@dataclasses.dataclass(frozen=True)
class Snapshot:
    """What the deciding node knows of a service.

    Attributes:
      workers: Listed workers by id.
      reports: The newest report of each node that is alive, its own included.
      nodes: Number of nodes that are alive, its own included.
      zones_out: Zones that get no new requests.
      rolling: Whether a roll-out is in progress.
    """

    workers: typing.Mapping[ids.UpstreamId, Worker]
    reports: typing.Sequence[Report]
    nodes: int
    zones_out: typing.Collection[ids.ZoneId] = frozenset()
    rolling: bool = False

    @property
    def fresh_reports(self) -> list[Report]:
        """The reports that are not older than MAX_REPORT_AGE_S."""
        return [
            report
            for report in self.reports
            if report.age_s <= MAX_REPORT_AGE_S
        ]


@dataclasses.dataclass
class ZoneLoad:
    """The load of a zone.

    Attributes:
      work: Requests in progress, estimated for all nodes.
      demand: The same once zones that are out have handed their work on.
      waiting: Requests above the slots of their workers.
      listed: Workers listed, without draining ones and without those that a
        roll-out adds.
      draining: Workers that drain.
      cold: Workers that are cold.
      slots: Slots of a worker, on average.
    """

    work: float = 0.0
    demand: float = 0.0
    waiting: float = 0.0
    listed: int = 0
    draining: int = 0
    cold: int = 0
    slots: float = 1.0


def measure(
    snapshot: Snapshot, zones: typing.Iterable[ids.ZoneId]
) -> dict[ids.ZoneId, ZoneLoad]:
    """Returns the load of zones; there must be a fresh report.

    Nodes without a fresh report count as the mean of the others.
    """
    loads = {zone: ZoneLoad() for zone in zones}
    _add_work(snapshot, loads)
    _add_workers(snapshot, loads)
    moving = 0.0
    for zone, load in loads.items():
        load.demand = load.work
        if zone in snapshot.zones_out:
            moving += load.work
    in_service = loads.keys() - set(snapshot.zones_out)
    for zone in in_service:
        loads[zone].demand += moving / len(in_service)
    return loads


def _add_work(snapshot: Snapshot, loads: dict[ids.ZoneId, ZoneLoad]) -> None:
    fresh = snapshot.fresh_reports
    by_upstream: dict[ids.UpstreamId, float] = collections.defaultdict(float)
    for report in fresh:
        for upstream, requests in report.requests.items():
            by_upstream[upstream] += requests
    factor = max(1.0, snapshot.nodes / len(fresh))
    for upstream, requests in by_upstream.items():
        worker = snapshot.workers.get(upstream)
        if worker is not None and worker.zone in loads:
            load = loads[worker.zone]
            load.work += factor * requests
            load.waiting += max(0.0, factor * requests - worker.slots)


def _add_workers(snapshot: Snapshot, loads: dict[ids.ZoneId, ZoneLoad]) -> None:
    by_zone = collections.defaultdict(list)
    for worker in snapshot.workers.values():
        by_zone[worker.zone].append(worker)
    mean_slots = statistics.fmean(
        [worker.slots for worker in snapshot.workers.values()] or [1.0]
    )
    for zone, load in loads.items():
        workers = by_zone[zone]
        versions: collections.Counter = collections.Counter()
        for worker in workers:
            load.draining += worker.state is WorkerState.DRAINING
            load.cold += worker.state is WorkerState.COLD
            versions[worker.version] += worker.state is not WorkerState.DRAINING
        load.listed = max(versions.values(), default=0)
        load.slots = mean_slots
        if workers:
            load.slots = statistics.fmean(item.slots for item in workers)
        load.slots = max(1.0, load.slots)
