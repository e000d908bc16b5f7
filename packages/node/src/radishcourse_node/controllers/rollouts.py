"""Roll-outs at one node: choice of versions, tickets and reports.

The row of a roll-out is changed by compare-and-set only, and each change is
derived from the row and one node's report, so nodes and operators can't take
conflicting decisions.
"""

import contextlib
import dataclasses

import anyio
import msgspec

from radishcourse_model import ids
from radishcourse_model import schema
from radishcourse_model import states
from radishcourse_node import errors
from radishcourse_node import events
from radishcourse_node import job as jobs
from radishcourse_platform import errors as platform_errors
from radishcourse_platform import table
from radishcourse_policy import rollout as policy

PREFIX = 'rollout/'
POLL_S = 0.5
# Tickets and shares are valid for this long after the row was last read, so
# that a node that can't reach the platform sends no new work to a canary.
TICKET_TTL_S = 3.0
# Tickets of a node whose entry has not changed for this long are reclaimed.
# This is far longer than that node may still use them.
RECLAIM_AFTER_S = 60.0


@dataclasses.dataclass
class _LocalState:
    """This node's state of one roll-out.

    Attributes:
      progress: The row as it was last read or written.
      version: The row's version, or `table.ABSENT` if there is no row.
      report: Outcomes since the last write.
      pending: The report that is to be written or whose write is not
        confirmed, or None.
      tickets: Unused tickets.
      synced_at: When the last read of the row began, by the node's clock.
      observed_holders: For each node, its entry in the row and the time at
        which this entry was first read.
    """

    progress: policy.Progress
    version: int = table.ABSENT
    report: policy.Report | None = None
    pending: policy.Report | None = None
    tickets: int = 0
    synced_at: float = -TICKET_TTL_S
    observed_holders: dict[ids.NodeId, tuple[policy.Holder, float]] = (
        dataclasses.field(default_factory=dict)
    )


class Rollouts:
    """Chooses versions and reports outcomes for the running roll-outs."""

    def __init__(self, node, rows: table.Table):
        self._clock = node.environment.clock
        self._random = node.environment.random
        self._node = node.settings.node
        self._configuration = node.configuration
        self._rows = rows
        self._local_states: dict[ids.RolloutId, _LocalState] = {}
        self._last_write = int(self._clock.wall() * 1000)

    def choose(self, job: jobs.Job, model: ids.ModelId) -> ids.VersionId | None:
        """Returns the version that a roll-out selects for a job, or None."""
        if job.session is not None and job.session.model == model:
            return None
        found = self._find(model)
        if found is None:
            return None
        configured, local = found
        if not self._may_use(job, configured, configured.to_version):
            return None
        if local.progress.stage is policy.Stage.RETURNED:
            # The configured shares may still name the rolled-back version.
            previous = configured.from_version
            return (
                previous if self._may_use(job, configured, previous) else None
            )
        if self._clock.now() - local.synced_at > TICKET_TTL_S:
            return None
        if local.progress.stage is policy.Stage.CANARY:
            # A ticket is for one job, and a session would send more.
            if local.tickets < 1 or job.opens_session:
                return None
            local.tickets -= 1
            return configured.to_version
        if self._random.random() < local.progress.share:
            return configured.to_version
        return None

    def _may_use(self, job, configured: schema.Rollout, version) -> bool:
        model = self._configuration.config.models.get(configured.model)
        found = model.versions.get(version) if model else None
        return (
            found is not None
            and found.state is not states.VersionState.WITHDRAWN
            and job.organisation.allows(configured.model, version)
        )

    def _find(self, model) -> tuple[schema.Rollout, _LocalState] | None:
        for rollout_id, configured in self._running().items():
            if configured.model == model and rollout_id in self._local_states:
                return configured, self._local_states[rollout_id]
        return None

    def _running(self) -> dict[ids.RolloutId, schema.Rollout]:
        return {
            rollout_id: configured
            for rollout_id, configured in (
                self._configuration.config.rollouts.items()
            )
            if configured.state is states.RolloutState.RUNNING
        }

    def is_canary(self, model: str, version: str) -> bool:
        """Tells whether a version is a canary, whose answers are all rated."""
        found = self._find(ids.ModelId(model))
        return (
            found is not None
            and found[0].to_version == version
            and found[1].progress.stage is policy.Stage.CANARY
        )

    @contextlib.contextmanager
    def track(self, job: jobs.Job, model, version):
        """Notes the outcome of an attempt on a version."""
        started_at = self._clock.now()
        try:
            yield
        except errors.AttemptError:
            self._note_outcome(model, version, True, None)
            raise
        except BaseException:
            self._note_outcome(model, version, None, None)
            raise
        # The duration of a stream depends on how fast its caller reads.
        seconds = None if job.streamed else self._clock.now() - started_at
        self._note_outcome(model, version, False, seconds)

    def _note_outcome(self, model, version, failed, seconds) -> None:
        found = self._find(model)
        if found is None:
            return
        configured, local = found
        report = self._report(local)
        outcomes = _outcomes(configured, report, version)
        if outcomes is None:
            return
        if version == configured.to_version:
            report.finished += 1
        if failed is not None:
            outcomes.error.total += 1
            outcomes.error.bad += failed
        if seconds is None:
            return
        slow_seconds = local.progress.slow_seconds
        if slow_seconds:
            outcomes.latency.total += 1
            outcomes.latency.bad += seconds > slow_seconds
        if version == configured.from_version:
            report.times.add_time(seconds)

    def note_rating(self, model, version, good: bool) -> None:
        """Notes the rating of an answer."""
        found = self._find(model)
        if found is None:
            return
        configured, local = found
        outcomes = _outcomes(configured, self._report(local), version)
        if outcomes is not None:
            outcomes.rating.total += 1
            outcomes.rating.bad += not good

    def _report(self, local: _LocalState) -> policy.Report:
        if local.report is None:
            local.report = policy.Report(self._node, 0)
        return local.report

    async def run(self) -> None:
        """Reads and writes the rows of running roll-outs until cancelled."""
        while True:
            running = self._running()
            for rollout_id in set(self._local_states) - set(running):
                del self._local_states[rollout_id]
            for rollout_id, configured in running.items():
                with contextlib.suppress(platform_errors.PlatformError):
                    await self._sync(rollout_id, configured)
            await anyio.sleep(POLL_S * self._random.uniform(0.8, 1.2))

    async def _sync(self, rollout_id, configured: schema.Rollout) -> None:
        sent_at = self._clock.now()
        row = await self._rows.read(PREFIX + rollout_id)
        local = self._update_from_row(rollout_id, configured, row)
        self._return_expired_tickets(local, sent_at)
        local.synced_at = sent_at
        if local.pending is None:
            self._prepare_report(local, sent_at)
        if local.pending is not None:
            await self._write_row(rollout_id, configured, local)

    def _update_from_row(self, rollout_id, configured, row) -> _LocalState:
        initial = policy.Progress(configured.model, configured.to_version)
        local = self._local_states.setdefault(rollout_id, _LocalState(initial))
        before = local.progress.stage
        local.progress, local.version = initial, table.ABSENT
        if row is not None:
            local.version = row.version
            progress = msgspec.convert(row.value, policy.Progress)
            if _matches(progress, configured):
                local.progress = progress
        holder = local.progress.holders.get(self._node)
        pending = local.pending
        if pending and holder and holder.write == pending.write:
            # The response was lost, but the write took effect. Its tickets
            # are returned, because this node does not know how many it got.
            self._report(local).finished += holder.tickets
            local.tickets, local.pending = 0, None
        self._log_change(rollout_id, before, local.progress)
        return local

    def _return_expired_tickets(self, local: _LocalState, now: float) -> None:
        if now - local.synced_at > TICKET_TTL_S and local.tickets:
            self._report(local).finished += local.tickets
            local.tickets = 0

    def _prepare_report(self, local: _LocalState, now: float) -> None:
        report, local.report = self._report(local), None
        local.pending = report
        report.lost = self._find_lost(local, now)
        if local.progress.stage is policy.Stage.CANARY and not local.tickets:
            nodes = max(1, len(local.progress.holders))
            report.wanted = max(1, policy.MAX_OUTSTANDING // (2 * nodes))
        if report == policy.Report(self._node, 0):
            local.pending = None
            return
        self._last_write += 1
        report.write = self._last_write

    def _find_lost(self, local: _LocalState, now: float) -> list[ids.NodeId]:
        lost = []
        for node, holder in local.progress.holders.items():
            known = local.observed_holders.get(node)
            if known is None or known[0] != holder:
                local.observed_holders[node] = (holder, now)
            elif holder.tickets and now - known[1] > RECLAIM_AFTER_S:
                lost.append(node)
        return [node for node in lost if node != self._node]

    async def _write_row(
        self, rollout_id, configured, local: _LocalState
    ) -> None:
        before = local.progress.stage
        progress = msgspec.convert(
            msgspec.to_builtins(local.progress), policy.Progress
        )
        report = local.pending
        granted = policy.advance(progress, report, configured.canary_jobs)
        key = PREFIX + rollout_id
        value = msgspec.to_builtins(progress)
        try:
            versions = await self._rows.transact(
                table.Transaction(
                    [table.Condition(key, local.version)],
                    [table.Put(key, value)],
                )
            )
        except (platform_errors.Conflict, platform_errors.Unavailable):
            # Nothing was written, so the same report is written next time.
            return
        local.progress, local.version = progress, versions[key]
        local.pending = None
        local.tickets += granted
        self._log_change(rollout_id, before, progress)

    def _log_change(self, rollout_id, before, progress) -> None:
        if before is not progress.stage:
            events.log(
                events.Event.ROLLOUT_CHANGED,
                rollout=rollout_id,
                stage=progress.stage.value,
                reason=progress.reason,
            )


def _matches(progress: policy.Progress, configured: schema.Rollout) -> bool:
    return (
        progress.model == configured.model
        and progress.to_version == configured.to_version
    )


def _outcomes(
    configured: schema.Rollout, report: policy.Report, version: str
) -> policy.Outcomes | None:
    if version == configured.to_version:
        return report.canary
    if version == configured.from_version:
        return report.running
    return None
