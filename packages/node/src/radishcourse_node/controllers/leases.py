"""Leases in the platform's table: watching, taking, renewing, using."""

import typing

import anyio

from radishcourse_model import ids
from radishcourse_node import events
from radishcourse_platform import errors as platform_errors
from radishcourse_platform import leases as rows
from radishcourse_policy import freshness as freshness_policy
from radishcourse_policy import leases as policy

TICK_S = 0.5
# How long the holder that a row named is asked for permits unchecked.
HEARD_S = 5.0
# A row is read for a caller at most this often.
FIND_S = 1.0


class Roster(typing.NamedTuple):
    """Members that may hold leases.

    Attributes:
      members: This node and the others.
      live: Whether dead members are left out. Without this knowledge all
        members watch, because the preferred ones may all be dead.
    """

    members: list[ids.NodeId]
    live: bool


class _Heard(typing.NamedTuple):
    holder: ids.NodeId | None
    at: float


class Leases:
    """Holds and watches the leases that this node prefers.

    Args:
      environment: The process's environment.
      settings: The node's settings.
      incarnation: This process.
      lease_rows: Rows of leases.
      freshness: Tells outage evidence.
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
        self._holds: dict[ids.LeaseName, policy.HeldLease] = {}
        self._watches: dict[ids.LeaseName, policy.Watch] = {}
        self._seen: dict[ids.LeaseName, rows.VersionedLease] = {}
        self._next: dict[ids.LeaseName, float] = {}
        self._heard: dict[ids.LeaseName, _Heard] = {}
        self._uptime = policy.Uptime()
        self._leaving = False

    def held_epoch(self, name: ids.LeaseName) -> ids.Epoch | None:
        """Returns the fencing token while this node holds the lease."""
        hold = self._holds.get(name)
        if hold is None:
            return None
        was_lapsed = hold.lapsed
        outage = self._freshness.view is freshness_policy.View.OUTAGE
        if hold.check(self._clock.now(), outage):
            return hold.epoch
        if hold.lapsed and not was_lapsed:
            self._log_lost(name, 'lapsed')
        return None

    def held_lease(self, name: ids.LeaseName) -> policy.HeldLease | None:
        """Returns the lease's count of time while this node holds it."""
        return self._holds[name] if self.held_epoch(name) is not None else None

    def holder(self, name: ids.LeaseName) -> ids.NodeId | None:
        """Returns who holds the lease, as last read or heard."""
        if self.held_epoch(name) is not None:
            return self._node
        heard = self._heard.get(name)
        return heard.holder if heard else None

    def preferred_members(self, name: ids.LeaseName) -> list[ids.NodeId]:
        """Returns the members that watch a lease, the first one first."""
        roster = self._roster()
        count = policy.WATCHERS if roster.live else len(roster.members)
        return policy.preferred_members(name, roster.members, count)

    async def find_holder(self, name: ids.LeaseName) -> ids.NodeId | None:
        """Returns who holds the lease; reads the row when it knows no one."""
        now = self._clock.now()
        heard = self._heard.get(name, _Heard(None, -HEARD_S))
        limit = HEARD_S if heard.holder else FIND_S
        if self.held_epoch(name) is None and now - heard.at >= limit:
            # Set first, so that callers at the same time read once.
            self._heard[name] = _Heard(heard.holder, now)
            try:
                self._observe(name, await self._rows.read(name))
            except platform_errors.PlatformError:
                return heard.holder
        return self.holder(name)

    def forget_holder(self, name: ids.LeaseName) -> None:
        """Notes that the node that was heard of does not hold the lease."""
        heard = self._heard.get(name)
        if heard is not None and heard.holder is not None:
            self._heard[name] = _Heard(None, heard.at)

    def note_holder(self, name: ids.LeaseName, node: ids.NodeId) -> None:
        """Notes a node that has just answered as the lease's holder."""
        self._heard[name] = _Heard(node, self._clock.now())

    async def run(self) -> None:
        """Renews what this node holds and watches what it prefers."""
        while True:
            await self.tick()
            await anyio.sleep(TICK_S)

    async def tick(self) -> None:
        """Renews and watches the leases that are due."""
        async with anyio.create_task_group() as tasks:
            for name in set(self._names()) | set(self._holds):
                tasks.start_soon(self._step, name)

    async def _step(self, name: ids.LeaseName) -> None:
        # The check also carries the lease on by outage evidence.
        self.held_epoch(name)
        now = self._clock.now()
        if now < self._next.get(name, 0.0):
            return
        try:
            if name in self._holds:
                await self._renew(name)
            elif not self._leaving:
                await self._watch(name)
        except platform_errors.PlatformError as error:
            self._uptime = self._uptime.after_failure()
            events.log(
                events.Event.PLATFORM_FAILED, what=name, error=str(error)
            )

    async def _renew(self, name: ids.LeaseName) -> None:
        hold = self._holds[name]
        sent_at = self._clock.now()
        if not hold.lapsed and sent_at < hold.sent_at + policy.RENEW_INTERVAL_S:
            return
        lease = self._make(hold.epoch)
        try:
            version = await self._write(name, lease, hold.version)
        except platform_errors.Conflict as conflict:
            self._lose(name, rows.decode_conflict(conflict))
            return
        hold.record_renewal(version, sent_at)

    def _lose(self, name: ids.LeaseName, seen: rows.VersionedLease) -> None:
        """Adopts an own write whose answer was lost, or gives the lease up."""
        own = seen.lease is not None and (
            seen.lease.incarnation == self._incarnation
        )
        if own and name in self._holds:
            self._holds[name].version = seen.version
            return
        if self._holds.pop(name, None) is not None:
            self._log_lost(name, 'taken')
        self._observe(name, seen)

    async def _watch(self, name: ids.LeaseName) -> None:
        preferred = self.preferred_members(name)
        if self._node not in preferred:
            return
        self._next[name] = self._clock.now() + policy.WATCH_INTERVAL_S
        seen = await self._rows.read(name)
        now = self._clock.now()
        self._uptime = self._uptime.after_answer(now)
        self._observe(name, seen)
        watch = self._watches[name]
        rank = min(preferred.index(self._node), policy.WATCHERS - 1)
        if policy.may_acquire(watch, self._uptime, now, rank):
            await self._take(name, watch.version)

    def _observe(self, name: ids.LeaseName, seen: rows.VersionedLease) -> None:
        now = self._clock.now()
        known = self._watches.get(name)
        released = seen.lease is None or not seen.lease.holder
        watch = policy.observe(known, seen.version, released, now)
        self._watches[name] = watch
        if watch is known:
            return
        self._seen[name] = seen
        holder = None if released else seen.lease.holder
        self._heard[name] = _Heard(holder, now)
        # The answer to this process's own taking was lost. The time of that
        # write is not known any more, so a renewal must come first.
        if not released and seen.lease.incarnation == self._incarnation:
            hold = policy.HeldLease(seen.lease.epoch, seen.version, 0, now)
            hold.lapsed = True
            self._holds.setdefault(name, hold)
            self._next.pop(name, None)

    async def _take(self, name: ids.LeaseName, version: int) -> None:
        before = self._seen[name].lease
        epoch = ids.Epoch((before.epoch if before else 0) + 1)
        sent_at = self._clock.now()
        try:
            written = await self._write(name, self._make(epoch), version)
        except platform_errors.Conflict as conflict:
            self._observe(name, rows.decode_conflict(conflict))
            return
        now = self._clock.now()
        self._holds[name] = policy.HeldLease(epoch, written, sent_at, now)
        self._next.pop(name, None)
        events.log(events.Event.LEASE_ACQUIRED, lease=name, epoch=epoch)

    def _make(self, epoch: ids.Epoch) -> rows.Lease:
        return rows.Lease(
            self._node, self._incarnation, epoch, policy.DURATION_S
        )

    async def _write(self, name, lease: rows.Lease, version: int) -> int:
        written = await self._rows.write(name, lease, version)
        self._uptime = self._uptime.after_answer(self._clock.now())
        return written

    async def release(self) -> None:
        """Gives up all leases; their use ends before the rows are written."""
        self._leaving = True
        holds, self._holds = self._holds, {}
        for name, hold in holds.items():
            lease = rows.Lease(
                ids.NodeId(''),
                self._incarnation,
                hold.epoch,
                policy.DURATION_S,
            )
            try:
                await self._rows.write(name, lease, hold.version)
            except platform_errors.PlatformError as error:
                self._log_lost(name, f'not released: {error}')

    def _log_lost(self, name: ids.LeaseName, why: str) -> None:
        events.log(events.Event.LEASE_LOST, lease=name, why=why)
