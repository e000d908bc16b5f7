"""Orders the number of workers of each service that may scale.

The holder of the duty decides from what all nodes report of their work and from
the list of upstreams (`policy/autoscaling.py`). The second interface tells
nothing back, so that an order is sent until it is accepted, and each number is
sent anew after a change of the holder.
"""

import dataclasses
import typing

import anyio

from radishcourse_gateway import directory as directories
from radishcourse_gateway import duties
from radishcourse_gateway import upstreams
from radishcourse_gateway import view as views
from radishcourse_model import ids
from radishcourse_node import events
from radishcourse_platform import errors as platform_errors
from radishcourse_policy import autoscaling
from radishcourse_policy import canary
from radishcourse_policy import workload

# Reports are seconds old, so that more frequent decisions would know no more.
DECISION_INTERVAL_S = 1.0
# Delay until an order is sent again. It doubles with each failure.
BASE_RETRY_S = 0.5
MAX_RETRY_S = 8.0
# A zone's decisions to hold are logged at most once in this time.
HOLD_LOG_INTERVAL_S = 5.0


class _Subject(typing.NamedTuple):
    service: ids.ServiceId
    zone: ids.ZoneId


@dataclasses.dataclass
class _Order:
    count: int
    reason: autoscaling.Reason
    accepted: int | None = None
    failures: int = 0
    retry_at: float = float('-inf')


@duties.register(duties.Duty.SCALING)
class Autoscaler:
    """Decides on and sends the numbers of workers while this node may.

    Args:
      gateway: Provides the view, load, peers, roll-outs and the interface.
    """

    def __init__(self, gateway):
        self._gateway = gateway
        self._clock = gateway.environment.clock
        self._view: views.View = gateway.view
        self._token: int | None = None
        self._scalers: dict[ids.ServiceId, autoscaling.Scaler] = {}
        self._orders: dict[_Subject, _Order] = {}
        self._decided_at = float('-inf')
        # By subject, the last decision to hold that was logged, and when.
        self._held: dict[_Subject, tuple[autoscaling.Reason, float]] = {}

    async def step(self, term: duties.Term) -> None:
        """Decides, and sends the orders that are due.

        Decisions go on while calls wait, so that slow calls leave no gap in
        what the policy knows of the load.

        Args:
          term: The time for which this node holds the duty.
        """
        if term.token != self._token:
            self._forget(term.token)
        self._decide()
        due = self._due_orders()
        if not due:
            return
        async with anyio.create_task_group() as deciding:
            deciding.start_soon(self._decide_repeatedly)
            async with anyio.create_task_group() as sending:
                for subject in due:
                    sending.start_soon(self._send, term, subject)
            deciding.cancel_scope.cancel()

    def _forget(self, token: int) -> None:
        """Forgets an earlier term: others may have ordered since."""
        self._token = token
        self._scalers.clear()
        self._orders.clear()
        self._held.clear()
        self._decided_at = float('-inf')

    async def _decide_repeatedly(self) -> None:
        while True:
            await anyio.sleep(DECISION_INTERVAL_S)
            self._decide()

    def _decide(self) -> None:
        now = self._clock.now()
        directory = self._view.directory
        if directory is None or now - self._decided_at < DECISION_INTERVAL_S:
            return
        self._decided_at = now
        scaling = {
            name: service.scaling
            for name, service in directory.services.items()
            if service.scaling is not None
        }
        self._remove_others(scaling)
        reports = self._reports(now) if scaling else []
        for service, limits in scaling.items():
            snapshot = self._snapshot(service, reports, now)
            scaler = self._scaler(service, limits)
            decisions = scaler.decide(snapshot, now)
            for zone, decision in decisions.items():
                subject = _Subject(service, zone)
                if decision.count is not None:
                    self._note_order(subject, decision)
                self._log(subject, decision, snapshot, now)

    def _remove_others(self, scaling: dict) -> None:
        """Forgets services that may no longer scale."""
        for service in self._scalers.keys() - scaling.keys():
            del self._scalers[service]
        for subject in list(self._orders):
            if subject.service not in scaling:
                del self._orders[subject]
                self._held.pop(subject, None)

    def _scaler(
        self, service: ids.ServiceId, limits: directories.Scaling
    ) -> autoscaling.Scaler:
        policy_limits = autoscaling.Limits(
            limits.min_workers, limits.max_workers, limits.boot_s
        )
        scaler = self._scalers.get(service)
        if scaler is None:
            scaler = autoscaling.Scaler(policy_limits)
            self._scalers[service] = scaler
        scaler.limits = policy_limits
        return scaler

    def _reports(self, now: float) -> list[workload.Report]:
        """Returns the work that all nodes that are alive have reported."""
        own = {
            ids.UpstreamId(item.upstream): item.requests
            for item in self._gateway.load.reported_work()
        }
        reports = [workload.Report(0.0, own)]
        for peer in self._gateway.peers.alive:
            if not peer.reported_at:
                # It is known from others only.
                continue
            requests = self._gateway.peers.requests_of(peer.node)
            reports.append(workload.Report(now - peer.reported_at, requests))
        return reports

    def _snapshot(
        self,
        service: ids.ServiceId,
        reports: list[workload.Report],
        now: float,
    ) -> workload.Snapshot:
        workers = {
            name: workload.Worker(
                listed.upstream.zone,
                listed.upstream.version,
                listed.upstream.slots,
                _state(listed, now),
            )
            for name, listed in self._view.upstreams.items()
            if listed.upstream.service == service and listed.gone_at is None
        }
        rollout = self._gateway.rollouts.find(service)
        versions = {worker.version for worker in workers.values()}
        return workload.Snapshot(
            workers,
            reports,
            len(self._gateway.peers.alive) + 1,
            frozenset(self._view.disabled_zones),
            len(versions) > 1
            or (
                rollout is not None
                and rollout.state is canary.RolloutState.RUNNING
            ),
        )

    def _note_order(
        self, subject: _Subject, decision: autoscaling.Decision
    ) -> None:
        known = self._orders.get(subject)
        if known is None:
            known = _Order(decision.count, decision.reason)
            self._orders[subject] = known
        known.count, known.reason = decision.count, decision.reason
        # The same number is ordered again if workers did not leave.
        known.accepted = None

    def _due_orders(self) -> list[_Subject]:
        now = self._clock.now()
        return [
            subject
            for subject, order in self._orders.items()
            if order.accepted != order.count and now >= order.retry_at
        ]

    async def _send(self, term: duties.Term, subject: _Subject) -> None:
        """Sends the order of a subject once."""
        order = self._orders[subject]
        began_at = self._clock.now()
        sent: list[int] = []

        async def send(holder, token, check) -> None:
            # The number may have changed while the call waited for its turn.
            sent.append(order.count)
            await self._gateway.control_api.set_capacity(
                holder, token, *subject, order.count, check=check
            )

        error = None
        try:
            await term.call(send)
        except duties.TermEnded:
            return
        except platform_errors.PlatformError as failure:
            error = failure
        now = self._clock.now()
        if error is not None:
            delay_s = min(MAX_RETRY_S, BASE_RETRY_S * 2**order.failures)
            order.retry_at = now + delay_s
            order.failures += 1
        else:
            order.accepted, order.failures = sent[-1], 0
        if order.failures <= 1:
            events.log(
                events.Event.SCALING_SENT,
                **subject._asdict(),
                count=sent[-1] if sent else order.count,
                reason=order.reason.value,
                token=term.token,
                seconds=round(now - began_at, 3),
                error=str(error) if error else None,
            )
        self._count(subject, error)

    def _count(self, subject: _Subject, error: Exception | None) -> None:
        labels = {
            **subject._asdict(),
            'outcome': 'failed' if error else 'accepted',
        }
        self._gateway.metrics.add('radishcourse_scaling_orders_total', labels)

    def _log(
        self,
        subject: _Subject,
        decision: autoscaling.Decision,
        snapshot: workload.Snapshot,
        now: float,
    ) -> None:
        """Logs orders, and changes of the reason to hold."""
        if decision.count is None:
            reason, logged_at = self._held.get(subject, (None, float('-inf')))
            if decision.reason is reason or (
                now - logged_at < HOLD_LOG_INTERVAL_S
            ):
                return
            self._held[subject] = (decision.reason, now)
        load = decision.load or workload.ZoneLoad()
        order = self._orders.get(subject)
        events.log(
            events.Event.SCALING_DECIDED,
            **subject._asdict(),
            count=decision.count,
            ordered=order.count if order else None,
            reason=decision.reason.value,
            work=round(load.work, 1),
            demand=round(load.demand, 1),
            waiting=round(load.waiting, 1),
            listed=load.listed,
            draining=load.draining,
            cold=load.cold,
            slots=load.slots,
            nodes=snapshot.nodes,
            fresh=len(snapshot.fresh_reports),
            rolling=snapshot.rolling,
        )


def _state(listed: views.ListedUpstream, now: float) -> workload.WorkerState:
    entry = listed.upstream
    if listed.leaving or entry.state is upstreams.ListedState.DRAINING:
        return workload.WorkerState.DRAINING
    if listed.cold_until > now:
        return workload.WorkerState.COLD
    return workload.WorkerState.READY
