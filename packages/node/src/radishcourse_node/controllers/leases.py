"""Watches, acquires, renews and releases leases in the platform's table."""

import typing

import anyio

from radishcourse_model import ids
from radishcourse_node import events
from radishcourse_platform import errors as platform_errors
from radishcourse_platform import leases as rows
from radishcourse_policy import freshness as freshness_policy
from radishcourse_policy import leases as policy

TICK_S = 0.5
# How long a known holder is used before its row is read again.
HOLDER_TTL_S = 5.0
# While no holder is known, `find_holder` reads the row at most once in this
# time.
MIN_LOOKUP_INTERVAL_S = 1.0


class Roster(typing.NamedTuple):
    """Members that may hold leases.

    Attributes:
      members: This node and the others.
      live: Whether dead members are left out. If they are not, all members
        watch each lease, because the preferred ones may all be dead.
    """

    members: list[ids.NodeId]
    live: bool


class _KnownHolder(typing.NamedTuple):
    holder: ids.NodeId | None
    at: float


class Leases:
    """Holds leases, and watches those for which this node is preferred.

    Args:
      environment: Clock of the process.
      settings: The node's settings.
      incarnation: This node's incarnation.
      lease_rows: Rows of leases in the platform's table.
      freshness: The freshness controller, which has the outage evidence.
      names: Returns the names of all leases in use.
      roster: Returns the members that may hold leases.
    """

    def __init__(
        self,
        environment,
        settings,
        incarnation,
        lease_rows: rows.LeaseRows,
        freshness,
        names: typing.Callable[[], list[ids.LeaseName]],
        roster: typing.Callable[[], Roster],
    ):
        self._clock = environment.clock
        self._node: ids.NodeId = settings.node
        self._incarnation = incarnation
        self._rows = lease_rows
        self._freshness = freshness
        self._names = names
        self._roster = roster
        self._held_leases: dict[ids.LeaseName, policy.HeldLease] = {}
        self._watches: dict[ids.LeaseName, policy.Watch] = {}
        self._observed: dict[ids.LeaseName, rows.VersionedLease] = {}
        self._next_step_at: dict[ids.LeaseName, float] = {}
        self._known_holders: dict[ids.LeaseName, _KnownHolder] = {}
        self._uptime = policy.Uptime()
        self._leaving = False

    def held_epoch(self, name: ids.LeaseName) -> ids.Epoch | None:
        """Returns the fencing token if this node holds the lease, or None."""
        held = self._held_leases.get(name)
        if held is None:
            return None
        was_lapsed = held.lapsed
        outage = self._freshness.view is freshness_policy.View.OUTAGE
        if held.check(self._clock.now(), outage):
            return held.epoch
        if held.lapsed and not was_lapsed:
            self._log_lost(name, 'lapsed')
        return None

    def held_lease(self, name: ids.LeaseName) -> policy.HeldLease | None:
        """Returns the lease if this node holds it, or None."""
        return (
            self._held_leases[name]
            if self.held_epoch(name) is not None
            else None
        )

    def holder(self, name: ids.LeaseName) -> ids.NodeId | None:
        """Returns the last known holder of the lease, or None."""
        if self.held_epoch(name) is not None:
            return self._node
        known = self._known_holders.get(name)
        return known.holder if known else None

    def preferred_members(self, name: ids.LeaseName) -> list[ids.NodeId]:
        """Returns the members that watch a lease, the most preferred first."""
        roster = self._roster()
        count = policy.WATCHERS if roster.live else len(roster.members)
        return policy.preferred_members(name, roster.members, count)

    async def find_holder(self, name: ids.LeaseName) -> ids.NodeId | None:
        """Returns the lease's holder, reading the row if it is not known."""
        now = self._clock.now()
        known = self._known_holders.get(name, _KnownHolder(None, -HOLDER_TTL_S))
        limit = HOLDER_TTL_S if known.holder else MIN_LOOKUP_INTERVAL_S
        if self.held_epoch(name) is None and now - known.at >= limit:
            # Set before the read, so that concurrent callers read only once.
            self._known_holders[name] = _KnownHolder(known.holder, now)
            try:
                self._observe(name, await self._rows.read(name))
            except platform_errors.PlatformError:
                return known.holder
        return self.holder(name)

    def forget_holder(self, name: ids.LeaseName) -> None:
        """Notes that the known holder does not hold the lease."""
        known = self._known_holders.get(name)
        if known is not None and known.holder is not None:
            self._known_holders[name] = _KnownHolder(None, known.at)

    def note_holder(self, name: ids.LeaseName, node: ids.NodeId) -> None:
        """Notes that a node has just answered as the lease's holder."""
        self._known_holders[name] = _KnownHolder(node, self._clock.now())

    async def run(self) -> None:
        """Renews and watches leases every `TICK_S`."""
        while True:
            await self.tick()
            await anyio.sleep(TICK_S)

    async def tick(self) -> None:
        """Renews and watches the leases that are due."""
        async with anyio.create_task_group() as tasks:
            for name in set(self._names()) | set(self._held_leases):
                tasks.start_soon(self._step, name)

    async def _step(self, name: ids.LeaseName) -> None:
        # The check also extends the lease if there is outage evidence.
        self.held_epoch(name)
        now = self._clock.now()
        if now < self._next_step_at.get(name, 0.0):
            return
        try:
            if name in self._held_leases:
                await self._renew(name)
            elif not self._leaving:
                await self._watch(name)
        except platform_errors.PlatformError as error:
            self._uptime = self._uptime.after_failure()
            events.log(
                events.Event.PLATFORM_FAILED, what=name, error=str(error)
            )

    async def _renew(self, name: ids.LeaseName) -> None:
        held = self._held_leases[name]
        sent_at = self._clock.now()
        if not held.lapsed and sent_at < held.sent_at + policy.RENEW_INTERVAL_S:
            return
        lease = self._make_lease(held.epoch)
        try:
            version = await self._write(name, lease, held.version)
        except platform_errors.Conflict as conflict:
            self._handle_conflict(name, rows.decode_conflict(conflict))
            return
        held.record_renewal(version, sent_at)

    def _handle_conflict(
        self, name: ids.LeaseName, seen: rows.VersionedLease
    ) -> None:
        """Handles a renewal that conflicted with the row that is there.

        If this process wrote that row and the answer was lost, its version is
        adopted; otherwise the lease is lost.
        """
        own = seen.lease is not None and (
            seen.lease.incarnation == self._incarnation
        )
        if own and name in self._held_leases:
            self._held_leases[name].version = seen.version
            return
        if self._held_leases.pop(name, None) is not None:
            self._log_lost(name, 'taken')
        self._observe(name, seen)

    async def _watch(self, name: ids.LeaseName) -> None:
        preferred = self.preferred_members(name)
        if self._node not in preferred:
            return
        self._next_step_at[name] = self._clock.now() + policy.WATCH_INTERVAL_S
        seen = await self._rows.read(name)
        now = self._clock.now()
        self._uptime = self._uptime.after_answer(now)
        self._observe(name, seen)
        watch = self._watches[name]
        rank = min(preferred.index(self._node), policy.WATCHERS - 1)
        if policy.may_acquire(watch, self._uptime, now, rank):
            await self._acquire(name, watch.version)

    def _observe(self, name: ids.LeaseName, seen: rows.VersionedLease) -> None:
        now = self._clock.now()
        known = self._watches.get(name)
        released = seen.lease is None or not seen.lease.holder
        watch = policy.observe(known, seen.version, released, now)
        self._watches[name] = watch
        if watch is known:
            return
        self._observed[name] = seen
        holder = None if released else seen.lease.holder
        self._known_holders[name] = _KnownHolder(holder, now)
        # This process acquired the lease, but the answer was lost. The time of
        # that write is unknown, so the lease must be renewed before its use.
        if not released and seen.lease.incarnation == self._incarnation:
            held = policy.HeldLease(seen.lease.epoch, seen.version, 0, now)
            held.lapsed = True
            self._held_leases.setdefault(name, held)
            self._next_step_at.pop(name, None)

    async def _acquire(self, name: ids.LeaseName, version: int) -> None:
        previous = self._observed[name].lease
        epoch = ids.Epoch((previous.epoch if previous else 0) + 1)
        sent_at = self._clock.now()
        try:
            written = await self._write(name, self._make_lease(epoch), version)
        except platform_errors.Conflict as conflict:
            self._observe(name, rows.decode_conflict(conflict))
            return
        now = self._clock.now()
        self._held_leases[name] = policy.HeldLease(epoch, written, sent_at, now)
        self._next_step_at.pop(name, None)
        events.log(events.Event.LEASE_ACQUIRED, lease=name, epoch=epoch)

    def _make_lease(self, epoch: ids.Epoch) -> rows.Lease:
        return rows.Lease(
            self._node, self._incarnation, epoch, policy.DURATION_S
        )

    async def _write(self, name, lease: rows.Lease, version: int) -> int:
        written = await self._rows.write(name, lease, version)
        self._uptime = self._uptime.after_answer(self._clock.now())
        return written

    async def release(self) -> None:
        """Releases all leases; their use ends before the rows are written."""
        self._leaving = True
        held_leases, self._held_leases = self._held_leases, {}
        for name, held in held_leases.items():
            lease = rows.Lease(
                ids.NodeId(''),
                self._incarnation,
                held.epoch,
                policy.DURATION_S,
            )
            try:
                await self._rows.write(name, lease, held.version)
            except platform_errors.PlatformError as error:
                self._log_lost(name, f'not released: {error}')

    def _log_lost(self, name: ids.LeaseName, why: str) -> None:
        events.log(events.Event.LEASE_LOST, lease=name, why=why)
