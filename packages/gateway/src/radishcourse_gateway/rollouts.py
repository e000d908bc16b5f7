"""Canary roll-outs: assigns sessions to versions and completes or rolls back.

Every node counts the responses of both versions and reports its counts to its
peers. Any node may decide. The decision is written to the store's status row
by compare-and-set on the row's version, so only one becomes final; nodes that
decided otherwise adopt it.
"""

import anyio

from radishcourse_gateway import interfaces
from radishcourse_gateway import localrollout
from radishcourse_gateway import olddrain
from radishcourse_gateway import records
from radishcourse_gateway import responsecounts
from radishcourse_gateway import sessiontracker
from radishcourse_gateway import settings as gateway_settings
from radishcourse_gateway import stableversions
from radishcourse_gateway import versionwork
from radishcourse_gateway import view as views
from radishcourse_model import ids
from radishcourse_node import events
from radishcourse_platform import errors as platform_errors
from radishcourse_policy import canary
from radishcourse_policy import loadbalancing
from radishcourse_policy import position as positions
from radishcourse_policy import versiondrain
from radishcourse_wire import errors as wire_errors
from radishcourse_wire.gen.peer import ttypes

STEP_INTERVAL_S = 0.2
# Delay between the nodes' turns to publish a decision, so that in most cases
# only one of them calls the store.
PUBLISH_TURN_S = 0.4
# Interval at which a node without live peers reads the status row.
STATUS_READ_INTERVAL_S = 1.0


class Rollouts:
    """The roll-outs of all services.

    Args:
      gateway: Provides the settings, view, peers and store.

    Attributes:
      sessions: Sessions that keep the old version for some time.
      counts: Counts of the responses of both versions.
      work: This node's attempts in progress by version.
    """

    def __init__(self, gateway):
        self._clock = gateway.environment.clock
        self._current_settings = gateway.current_settings
        self._view: views.View = gateway.view
        self._peers = gateway.peers
        self._store: interfaces.Store = gateway.store
        self._replica: records.Replica = gateway.replica
        self._by_service: dict[ids.ServiceId, localrollout.LocalRollout] = {}
        self._removed: dict[ids.ServiceId, localrollout.LocalRollout] = {}
        self._store_position = positions.START
        self._stable_versions = stableversions.StableVersions(gateway.view)
        self.sessions = sessiontracker.SessionTracker(gateway, self)
        self.counts = responsecounts.ResponseCounts(gateway, self)
        self.work = versionwork.VersionWork()
        self._drain = olddrain.OldVersionDrain(gateway, self, self.work)

    @property
    def _bounds(self) -> gateway_settings.Bounds:
        return self._current_settings.value.bounds

    def find(self, service: ids.ServiceId) -> localrollout.LocalRollout | None:
        """Returns the roll-out of a service, None if none is ordered."""
        row = self._view.orders.get(service)
        rollout = self._by_service.get(service)
        if rollout is not None and (
            row is None or rollout.identity != row.identity
        ):
            # The order may be back after a restore of the store.
            del self._by_service[service]
            self._removed[service] = rollout
            self._adopt_completed(rollout)
            rollout = None
        if row is None:
            return None
        if rollout is None:
            rollout = self._begin(row)
            self._by_service[service] = rollout
        if not rollout.since_ms:
            rollout.since_ms = self._store.now_ms(rollout.seen_at) or 0
        return rollout

    def _begin(self, row: views.OrderRow) -> localrollout.LocalRollout:
        """Returns the roll-out of an order that is new, or back."""
        removed = self._removed.pop(row.order.service, None)
        if removed is not None and removed.identity == row.identity:
            return removed
        rollout = localrollout.LocalRollout(
            row.order, row.identity, self._clock.now()
        )
        self.sessions.add_recent(rollout)
        return rollout

    def age_s(self, rollout: localrollout.LocalRollout) -> float:
        """Returns the seconds since a roll-out was ordered."""
        now = self._clock.now()
        now_ms = self._store.now_ms(now)
        if now_ms is None or not rollout.since_ms:
            return now - rollout.seen_at
        return max(0.0, (now_ms - rollout.since_ms) / 1000)

    def version_for(
        self, service: ids.ServiceId, session: str, request_id: str
    ) -> ids.VersionId | None:
        """Returns the version that serves a request, or None for any.

        Args:
          service: The service.
          session: The request's session, empty without one.
          request_id: Id of the request; without a session it decides.
        """
        present = self._view.versions(service)
        rollout = self.find(service)
        if rollout is None:
            return self._stable_versions.version(service, present)
        new = rollout.order.to_version
        old = self._old_version(rollout, present)
        if new not in present or old is None:
            return old or (new if present else None)
        if rollout.serves_new(
            session or request_id,
            self.age_s(rollout),
            self._bounds.exposure_share,
        ):
            return new
        return old

    def _old_version(
        self,
        rollout: localrollout.LocalRollout,
        present: dict[ids.VersionId, int],
    ) -> ids.VersionId | None:
        """Returns the version that a roll-out replaces, None if it is gone.

        A version that an earlier roll-out has withdrawn or replaced is listed
        until its upstreams have stopped, and gets no requests.

        Args:
          rollout: The roll-out.
          present: Number of usable upstreams by version.
        """
        service, new = rollout.order.service, rollout.order.to_version
        old = {name: present[name] for name in present if name != new}
        if len(old) <= 1:
            return next(iter(old), None)
        stable = self._stable_versions.version(service, old)
        if stable in old:
            return stable
        return max(old, key=lambda version: (old[version], version))

    def replaces(
        self, rollout: localrollout.LocalRollout, version: ids.VersionId
    ) -> bool:
        """Tells whether a version is the one that a roll-out replaces."""
        service = rollout.order.service
        if version == self._stable_versions.known(service):
            return True
        present = self._view.versions(service)
        return version == (self._old_version(rollout, present) or version)

    def _adopt_completed(self, rollout: localrollout.LocalRollout) -> None:
        if rollout.state is canary.RolloutState.COMPLETED:
            self._stable_versions.adopt(
                rollout.order.service, rollout.order.to_version
            )

    def retires(self, service: ids.ServiceId, version: ids.VersionId) -> bool:
        """Tells whether a roll-out leaves a version without requests.

        The upstreams of such a version may be stopped at any moment.
        """
        rollout = self.find(service)
        if rollout is None or not self._may_retire(rollout):
            return False
        return rollout.retires(
            version, self.age_s(rollout), self._bounds.exposure_share
        )

    def retires_old(self, rollout: localrollout.LocalRollout) -> bool:
        """Tells whether a roll-out leaves the old version without requests."""
        return self._may_retire(rollout) and rollout.retires_old(
            self.age_s(rollout), self._bounds.exposure_share
        )

    def _may_retire(self, rollout: localrollout.LocalRollout) -> bool:
        """Tells whether requests need not stay where they are.

        Without an upstream of the new version, the old one serves them.
        """
        return (
            rollout.state is not canary.RolloutState.RUNNING
            or rollout.order.to_version
            in self._view.versions(rollout.order.service)
        )

    async def run(self) -> None:
        """Decides roll-outs and publishes the decisions until cancelled."""
        while True:
            self._stable_versions.update()
            self.counts.count_overdue()
            self._note_restore()
            for service in list(self._view.orders):
                rollout = self.find(service)
                try:
                    if rollout is not None:
                        await self._step(rollout)
                except platform_errors.PlatformError as error:
                    rollout.publish_at = self._clock.now() + PUBLISH_TURN_S
                    events.log(
                        events.Event.PLATFORM_FAILED,
                        service=service,
                        error=str(error),
                    )
            await anyio.sleep(STEP_INTERVAL_S)

    def _note_restore(self) -> None:
        """Publishes states again that a restored store may have lost."""
        position = self._replica.position(records.Table.CONFIGURATION)
        known, self._store_position = self._store_position, position
        if not position.is_of_later_era(known):
            return
        for rollout in (*self._by_service.values(), *self._removed.values()):
            rollout.published = False
            rollout.publish_at = None

    async def _step(self, rollout: localrollout.LocalRollout) -> None:
        self._adopt_completed(rollout)
        if rollout.state in localrollout.FINAL_STATES and rollout.published:
            return
        now = self._clock.now()
        isolated = not self._peers.alive
        if rollout.state is None or (
            isolated
            and now - (rollout.status_read_at or 0.0) > STATUS_READ_INTERVAL_S
        ):
            await self._read_status(rollout)
        if rollout.state is canary.RolloutState.RUNNING:
            await self._drain.report(rollout)
        if rollout.state is canary.RolloutState.RUNNING:
            self._decide(rollout)
        if rollout.state is None or rollout.published:
            return
        if rollout.publish_at is None:
            rollout.publish_at = now + PUBLISH_TURN_S * self._publish_rank()
        if now >= rollout.publish_at:
            await self._publish(rollout)

    def _publish_rank(self) -> int:
        own_weight = loadbalancing.rendezvous_weight(
            'publish', self._current_settings.value.node
        )
        return sum(
            loadbalancing.rendezvous_weight('publish', peer.node) > own_weight
            for peer in self._peers.alive
        )

    async def _read_status(
        self, rollout: localrollout.LocalRollout
    ) -> interfaces.StatusRow:
        rollout.status_read_at = self._clock.now()
        row = await self._store.read_status(rollout.order.service)
        status = row.status
        if status is not None and self._identify(
            rollout, status.to_version, status.order
        ):
            self._adopt(rollout, status)
        elif rollout.state is None:
            rollout.state = canary.RolloutState.RUNNING
        return row

    def _identify(
        self,
        rollout: localrollout.LocalRollout,
        to_version: ids.VersionId,
        identity: positions.Position,
    ) -> bool:
        """Tells whether a status of an order is about a roll-out.

        A node that does not know that the order was written before a restore of
        the store learns that from the status.
        """
        if identity == rollout.identity:
            return True
        if to_version != rollout.order.to_version or (
            not rollout.identity.is_of_later_era(identity)
        ):
            return False
        rollout.identity = identity
        self._view.identify_order(rollout.order.service, identity)
        return True

    def _adopt(
        self, rollout: localrollout.LocalRollout, status: canary.Status
    ) -> None:
        """Adopts a published state; a published final one is never replaced."""
        if status.since_ms and rollout.state is not status.state:
            rollout.since_ms = min(
                rollout.since_ms or status.since_ms, status.since_ms
            )
        if rollout.published and rollout.state in localrollout.FINAL_STATES:
            return
        if (
            status.state is canary.RolloutState.RUNNING
            and rollout.state in localrollout.FINAL_STATES
        ):
            return
        changed = rollout.state is not status.state
        rollout.state, rollout.published = status.state, True
        if changed:
            self._log(rollout, 'published')

    def _decide(self, rollout: localrollout.LocalRollout) -> None:
        work = self._drain.own_work(rollout)
        tallies, old_in_flight = rollout.merged_counts(work.in_flight)
        age_s, within_s = self.age_s(rollout), rollout.order.within_s
        exposure = self._bounds.exposure_share
        undrained = self._drain.count_undrained(rollout)
        if canary.is_regression(tallies):
            rollout.decide(canary.RolloutState.ROLLED_BACK)
            source = 'regression'
        elif self._may_retire(rollout) and canary.may_complete(
            age_s,
            within_s,
            exposure,
            old_in_flight,
            tallies,
            undrained,
            rollout.approved,
        ):
            rollout.decide(canary.RolloutState.COMPLETED)
            source = 'decided'
        elif not rollout.approved and canary.may_approve(
            age_s, within_s, exposure, tallies
        ):
            rollout.approved = True
            source = 'approved'
        elif canary.must_roll_back(age_s, within_s) and not (
            self._may_retire(rollout)
            and canary.may_wait(tallies, undrained, rollout.approved)
        ):
            rollout.decide(canary.RolloutState.ROLLED_BACK, unproven=True)
            source = 'unproven'
        else:
            return
        self._log(rollout, source, tallies, old_in_flight, undrained)

    async def _publish(self, rollout: localrollout.LocalRollout) -> None:
        row = await self._read_status(rollout)
        if rollout.published:
            return
        status = canary.Status(
            rollout.order.service,
            rollout.order.to_version,
            rollout.state,
            rollout.identity,
            rollout.since_ms,
        )
        await self._store.write_status(status, row.version)
        if rollout.state is status.state:
            rollout.published = True
        events.log(
            events.Event.ROLLOUT_PUBLISHED,
            service=status.service,
            state=status.state.value,
            order=status.order.version,
            era=status.order.era,
        )

    def _log(
        self,
        rollout,
        source: str,
        tallies=None,
        in_flight=None,
        undrained=None,
    ) -> None:
        counts = {
            f'{arm.value}/{route}': [
                tally.total,
                tally.bad,
                tally.slow,
                tally.timed,
            ]
            for (arm, route), tally in (tallies or {}).items()
        }
        events.log(
            events.Event.ROLLOUT_CHANGED,
            service=rollout.order.service,
            version=rollout.order.to_version,
            state=rollout.state.value,
            order=rollout.identity.version,
            era=rollout.identity.era,
            age_s=round(self.age_s(rollout), 3),
            source=source,
            counts=counts,
            old_in_flight=in_flight,
            undrained=undrained,
        )

    def reports(self) -> list[ttypes.RolloutReport]:
        """Returns this node's counts of roll-outs without a published decision.

        The counts of other nodes are not relayed: replies would grow with the
        fleet, and the counts of a few nodes suffice to show a bad version.
        """
        return [
            self.report(rollout, self._drain.own_work(rollout))
            for rollout in self._by_service.values()
            if not (
                rollout.state in localrollout.FINAL_STATES and rollout.published
            )
        ]

    def report(
        self, rollout: localrollout.LocalRollout, work: versiondrain.NodeWork
    ) -> ttypes.RolloutReport:
        """Returns this node's counts of a roll-out.

        Args:
          rollout: The roll-out.
          work: This node's requests on the old version.
        """
        return rollout.report(self._peers.incarnation, self._clock.now(), work)

    def statuses(self) -> list[ttypes.RolloutStatus]:
        """Returns the state of each roll-out for this node's peers."""
        return [
            ttypes.RolloutStatus(
                service,
                rollout.order.to_version,
                rollout.reported_state.value,
                rollout.identity.version,
                rollout.since_ms,
                rollout.published,
                rollout.encoded_open_sessions(),
                rollout.identity.era or None,
                rollout.approved or None,
            )
            for service, rollout in self._by_service.items()
            if rollout.state is not None
        ]

    def merge(
        self,
        reports: list[ttypes.RolloutReport],
        statuses: list[ttypes.RolloutStatus],
    ) -> None:
        """Merges the counts and states that a peer reported."""
        for report in reports:
            self.merge_report(report)
        for status in statuses:
            self._merge_status(status)

    def merge_report(self, report: ttypes.RolloutReport) -> bool:
        """Merges a peer's counts; returns whether the order is known here."""
        rollout = self._by_service.get(report.service_id)
        if rollout is None or rollout.identity != localrollout.identity_of(
            report
        ):
            return False
        if report.node != self._peers.incarnation:
            rollout.add_report(report)
        return True

    def _merge_status(self, status: ttypes.RolloutStatus) -> None:
        rollout = self.find(ids.ServiceId(status.service_id))
        identity = localrollout.identity_of(status)
        if rollout is None or not self._identify(
            rollout, ids.VersionId(status.version), identity
        ):
            return
        if status.since_ms:
            rollout.since_ms = min(
                rollout.since_ms or status.since_ms, status.since_ms
            )
        if status.open_sessions is not None:
            try:
                rollout.open_sessions.merge(status.open_sessions)
            except ValueError as error:
                raise wire_errors.Malformed(str(error)) from error
        rollout.approved = rollout.approved or bool(status.approved)
        state = canary.RolloutState(status.state)
        if status.published:
            self._adopt(
                rollout,
                canary.Status(
                    rollout.order.service,
                    rollout.order.to_version,
                    state,
                    identity,
                    status.since_ms,
                ),
            )
        elif (
            state is canary.RolloutState.ROLLED_BACK
            and rollout.state is canary.RolloutState.RUNNING
        ):
            # Rolling back is safe even before the decision is published.
            rollout.decide(state)
            self._log(rollout, 'told')
