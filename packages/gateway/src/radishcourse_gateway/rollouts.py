"""Roll-outs of versions: assignment of sessions, evidence and decision.

Every node counts the answers of both versions and tells its counts to the
others. Any node may decide; the store's row, written under the version that
was read, makes one decision final, and nodes that decided otherwise follow.
"""

import contextlib

import anyio

from radishcourse_gateway import incumbents
from radishcourse_gateway import interfaces
from radishcourse_gateway import trials
from radishcourse_gateway import view as views
from radishcourse_model import ids
from radishcourse_node import events
from radishcourse_platform import errors as platform_errors
from radishcourse_policy import canary
from radishcourse_policy import loadbalancing
from radishcourse_wire.gen.peer import ttypes

PERIOD_S = 0.2
# Nodes try to publish one after the other, so that mostly one call is made.
TURN_S = 0.4
# A node that hears no peer looks for a published decision this often.
LOOK_S = 1.0


class Rollouts:
    """All roll-outs that this node knows.

    Args:
      gateway: The gateway, for its settings, view, peers and store.
    """

    def __init__(self, gateway):
        self._clock = gateway.environment.clock
        self._current = gateway.current_settings
        self._view: views.View = gateway.view
        self._peers = gateway.peers
        self._store: interfaces.Store = gateway.store
        self._trials: dict[ids.ServiceId, trials.Trial] = {}
        self._incumbents = incumbents.Incumbents(gateway.view)
        self._durations = canary.Durations()

    def _trial(self, service: ids.ServiceId) -> trials.Trial | None:
        in_force = self._view.orders.get(service)
        if in_force is None:
            self._trials.pop(service, None)
            return None
        trial = self._trials.get(service)
        if trial is None or trial.version != in_force.version:
            trial = trials.Trial(
                in_force.order, in_force.version, self._clock.now()
            )
            self._trials[service] = trial
        if not trial.since_ms:
            trial.since_ms = self._store.now_ms(trial.seen_at) or 0
        return trial

    def _age_s(self, trial: trials.Trial) -> float:
        now = self._clock.now()
        now_ms = self._store.now_ms(now)
        if now_ms is None or not trial.since_ms:
            return now - trial.seen_at
        return max(0.0, (now_ms - trial.since_ms) / 1000)

    def version_for(
        self, service: ids.ServiceId, session: str
    ) -> ids.VersionId | None:
        """Returns the version for a session; None when any will do."""
        present = self._view.versions(service)
        trial = self._trial(service)
        if trial is None:
            return self._incumbents.version(service, present)
        new = trial.order.to_version
        old = [version for version in present if version != new]
        if new not in present or not old:
            return next(iter(old), new if present else None)
        if self._serves_new(trial, session):
            return new
        return max(old, key=lambda version: (present[version], version))

    def _serves_new(self, trial: trials.Trial, session: str) -> bool:
        if trial.state is canary.RolloutState.COMPLETED:
            return True
        if trial.state is not canary.RolloutState.RUNNING:
            return False
        part = canary.new_version_share(
            self._age_s(trial),
            trial.order.within_s,
            self._current.value.bounds.exposure_share,
        )
        place = canary.session_hash(session, trial.order.service, trial.version)
        return place < part

    @contextlib.contextmanager
    def count(self, service: ids.ServiceId, version: ids.VersionId):
        """Counts a request on the old version while it is in progress."""
        trial = self._trial(service)
        if trial is None or version == trial.order.to_version:
            yield
            return
        trial.old_in_flight += 1
        try:
            yield
        finally:
            trial.old_in_flight -= 1

    def note(
        self,
        listed: views.Listed,
        route: str,
        model: str,
        seconds: float,
        reading_s: float,
        failed: bool,
    ) -> None:
        """Counts an answer.

        Args:
          listed: The upstream that gave it.
          route: Name of the request's route.
          model: Its model, or an empty text.
          seconds: Time until the head of the answer.
          reading_s: Expected time to read its prompt.
          failed: Whether it was a failure.
        """
        trial, arm = self._arm(listed.upstream)
        slow = False
        if not failed and self._is_warm(listed):
            kind = (listed.upstream.service, route, model)
            learn = arm is canary.Arm.OLD
            slow = self._durations.note(kind, seconds, reading_s, learn)
        self._count_answer(trial, arm, route, slow, failed)

    def note_pace(
        self, listed: views.Listed, route: str, model: str, seconds, events
    ) -> None:
        """Counts the end of a stream.

        Args:
          listed: The upstream that made it.
          route: Name of the request's route.
          model: Its model, or an empty text.
          seconds: Time from its head to its end.
          events: Events in that time.
        """
        if not self._is_warm(listed):
            return
        trial, arm = self._arm(listed.upstream)
        kind = (listed.upstream.service, model)
        learn = arm is canary.Arm.OLD
        slow = self._durations.note_pace(kind, seconds, events, learn)
        if slow is not None:
            self._count_answer(trial, arm, canary.pace_route(route), slow)

    def _is_warm(self, listed: views.Listed) -> bool:
        return self._clock.now() > listed.cold_until

    def _arm(self, entry) -> tuple[trials.Trial | None, canary.Arm]:
        trial = self._trial(entry.service)
        if trial is None:
            return None, canary.Arm.OLD
        return trial, views.arm_of(trial.order, entry.version)

    def _count_answer(self, trial, arm, route, slow, failed=False) -> None:
        if trial is None or trial.state in trials.FINAL:
            return
        tally = trial.tallies.setdefault((arm, route), canary.Tally())
        tally.total += 1
        tally.bad += failed
        tally.slow += slow

    async def run(self) -> None:
        """Decides and publishes until cancelled."""
        while True:
            self._incumbents.note()
            for service in list(self._view.orders):
                trial = self._trial(service)
                try:
                    if trial is not None:
                        await self._step(trial)
                except platform_errors.PlatformError as error:
                    trial.due_at = self._clock.now() + TURN_S
                    events.log(
                        events.Event.PLATFORM_FAILED,
                        service=service,
                        error=str(error),
                    )
            await anyio.sleep(PERIOD_S)

    async def _step(self, trial: trials.Trial) -> None:
        if trial.state in trials.FINAL and trial.published:
            return
        now = self._clock.now()
        alone = not self._peers.alive
        if trial.state is None or (
            alone and now - (trial.looked_at or 0.0) > LOOK_S
        ):
            await self._look(trial)
        if trial.state is canary.RolloutState.RUNNING:
            self._decide(trial)
        if trial.state is None or trial.published:
            return
        if trial.due_at is None:
            trial.due_at = now + TURN_S * self._place()
        if now >= trial.due_at:
            await self._publish(trial)

    def _place(self) -> int:
        own = loadbalancing.rendezvous_weight(
            'publish', self._current.value.node
        )
        return sum(
            loadbalancing.rendezvous_weight('publish', peer.node) > own
            for peer in self._peers.alive
        )

    async def _look(self, trial: trials.Trial) -> interfaces.StatusRow:
        trial.looked_at = self._clock.now()
        row = await self._store.read_status(trial.order.service)
        if row.status is not None and row.status.order == trial.version:
            self._adopt(trial, row.status)
        elif trial.state is None:
            trial.state = canary.RolloutState.RUNNING
        return row

    def _adopt(self, trial: trials.Trial, status: canary.Status) -> None:
        """Takes over a published state; a final one is never replaced."""
        if status.since_ms and trial.state is not status.state:
            trial.since_ms = min(
                trial.since_ms or status.since_ms, status.since_ms
            )
        if trial.published and trial.state in trials.FINAL:
            return
        if (
            status.state is canary.RolloutState.RUNNING
            and trial.state in trials.FINAL
        ):
            return
        changed = trial.state is not status.state
        trial.state, trial.published = status.state, True
        if changed:
            self._log(trial, 'published')

    def _decide(self, trial: trials.Trial) -> None:
        tallies, old_in_flight = trial.merged()
        age = self._age_s(trial)
        state = None
        if canary.is_regression(tallies):
            state = canary.RolloutState.ROLLED_BACK
        elif trial.order.to_version in self._view.versions(
            trial.order.service
        ) and canary.may_complete(
            age,
            trial.order.within_s,
            self._current.value.bounds.exposure_share,
            old_in_flight,
            tallies,
        ):
            state = canary.RolloutState.COMPLETED
        if state is None:
            return
        trial.decide(state)
        self._log(trial, 'decided', tallies, old_in_flight)

    async def _publish(self, trial: trials.Trial) -> None:
        row = await self._look(trial)
        if trial.published:
            return
        status = canary.Status(
            trial.order.service,
            trial.order.to_version,
            trial.state,
            trial.version,
            trial.since_ms,
        )
        await self._store.write_status(status, row.version)
        if trial.state is status.state:
            trial.published = True
        events.log(
            events.Event.ROLLOUT_PUBLISHED,
            service=status.service,
            state=status.state.value,
            order=status.order,
        )

    def _log(self, trial, source: str, tallies=None, in_flight=None) -> None:
        counts = {
            f'{arm.value}/{route}': [tally.total, tally.bad, tally.slow]
            for (arm, route), tally in (tallies or {}).items()
        }
        events.log(
            events.Event.ROLLOUT_CHANGED,
            service=trial.order.service,
            version=trial.order.to_version,
            state=trial.state.value,
            order=trial.version,
            age_s=round(self._age_s(trial), 3),
            source=source,
            counts=counts,
            old_in_flight=in_flight,
        )

    def reports(self) -> list[ttypes.RolloutReport]:
        """Returns this node's counts for undecided roll-outs.

        Those of others are not passed on: the size of an answer would grow
        with the fleet, and a few nodes' counts show a bad version.
        """
        return [
            trial.report(self._peers.incarnation, self._clock.now())
            for trial in self._trials.values()
            if not (trial.state in trials.FINAL and trial.published)
        ]

    def statuses(self) -> list[ttypes.RolloutStatus]:
        """Returns the states of roll-outs that others may not know."""
        return [
            ttypes.RolloutStatus(
                service,
                trial.order.to_version,
                trial.state.value,
                trial.version,
                trial.since_ms,
                trial.published,
            )
            for service, trial in self._trials.items()
            if trial.state is not None
        ]

    def merge(
        self,
        reports: list[ttypes.RolloutReport],
        statuses: list[ttypes.RolloutStatus],
    ) -> None:
        """Takes over what a peer told."""
        for report in reports:
            trial = self._trials.get(report.service_id)
            if trial is None or trial.version != report.order:
                continue
            if report.node == self._peers.incarnation:
                continue
            trial.take(report)
        for told in statuses:
            self._merge_status(told)

    def _merge_status(self, told: ttypes.RolloutStatus) -> None:
        trial = self._trial(ids.ServiceId(told.service_id))
        if trial is None or trial.version != told.order:
            return
        if told.since_ms:
            trial.since_ms = min(trial.since_ms or told.since_ms, told.since_ms)
        state = canary.RolloutState(told.state)
        if told.published:
            self._adopt(
                trial,
                canary.Status(
                    trial.order.service,
                    trial.order.to_version,
                    state,
                    told.order,
                    told.since_ms,
                ),
            )
        elif (
            state is canary.RolloutState.ROLLED_BACK
            and trial.state is canary.RolloutState.RUNNING
        ):
            # To stop is safe before the decision is published.
            trial.decide(state)
            self._log(trial, 'told')
