"""Records bills, copies them to peers and flushes them to the platform.

An answer is completed when two other nodes hold a copy of its bill, or when
the bill is flushed. If neither is possible (no peers, and the platform is
down), the node continues to serve and counts the bill as at risk.

Each bill is stored exactly once because of the mark, a row of each owner with
the set of flushed sequence numbers. A flush writes the missing bills and the
new mark in one transaction, on condition that the mark is unchanged. Whichever
node flushes, and however often a flush is retried after a lost answer, only one
transaction can take the mark from one version to the next.
"""

import anyio
import msgspec

from radishcourse_model import ids
from radishcourse_node import errors
from radishcourse_node import events
from radishcourse_node import job as jobs
from radishcourse_node.controllers import billrows
from radishcourse_node.controllers import replication
from radishcourse_platform import errors as platform_errors
from radishcourse_platform import table
from radishcourse_policy import billing
from radishcourse_policy import intervals
from radishcourse_wire import errors as wire_errors
from radishcourse_wire.gen.peer import ttypes

# A row is written in one transaction. At one row per flush interval a node
# flushes about ten times the bills that it records at peak load, so that after
# an outage the backlog is flushed without more writes per second than usual.
MAX_ROW_BYTES = 128 * 1024
MAX_ROW_BILLS = 1000
# Rows that a node writes for other owners in each round.
MAX_FOREIGN_ROWS = 2
MAX_ATTEMPTS = 4
# Holders flush for an owner that they have not heard from for this long.
OWNER_SILENT_S = 6.0
# They also flush for an owner that sends messages but has flushed no bills for
# this long while the platform was up.
OWNER_STUCK_S = 30.0
# Minimum time between flushes that answers wait for.
MIN_URGENT_INTERVAL_S = 0.05
# Time between the flushes of a stopping node.
DRAIN_INTERVAL_S = 0.05
# Largest deviation from the flush interval, as a fraction of it.
JITTER = 0.25


class Bills:
    """Buffers, copies and flushes bills of this node and of other owners.

    Args:
      environment: Clock and random source.
      settings: The node's settings.
      owner: This node's incarnation.
      rows: The platform's table.
      replicator: Sends copies to peers.
      membership: The membership controller, or None if there is none.
    """

    def __init__(
        self,
        environment,
        settings,
        owner: ids.Incarnation,
        rows: table.Table,
        replicator: replication.BillReplicator,
        membership=None,
    ):
        self._clock = environment.clock
        self._random = environment.random
        self._settings = settings
        self._owner = owner
        self._rows = rows
        self._replicator = replicator
        self._membership = membership
        self._buffer = billing.Buffer(settings.bills_bytes)
        self._known_flushed = intervals.EMPTY
        self._at_risk: set[int] = set()
        self._last_contact_at: dict[str, float] = {}
        self._last_drop_at: dict[str, float] = {}
        self._next_sequence = 1
        self._lock = anyio.Lock()
        self._last_urgent_at = 0.0
        self._skip_urgent_until = 0.0
        self._failed_at = -OWNER_STUCK_S

    @property
    def held(self) -> int:
        """Number of this node's bills that are not flushed yet."""
        return self._buffer.count(self._owner)

    @property
    def held_for_others(self) -> int:
        """Number of other owners' bills that this node holds."""
        owners = self._buffer.owners
        return sum(map(self._buffer.count, owners)) - self.held

    @property
    def held_bytes(self) -> int:
        """Size of all bills in memory, in bytes."""
        return self._buffer.bytes_held

    @property
    def at_risk(self) -> int:
        """Number of bills of completed answers that only this node has."""
        return len(self._at_risk)

    def check_room(self) -> None:
        """Refuses new jobs while too many bills are in memory.

        Jobs in progress still record their bills, so the limit can be exceeded
        by one record for each of them.

        Raises:
          Refusal: There is no room.
        """
        if self._buffer.full:
            raise errors.Refusal(
                errors.RefusalCode.BILLING_BACKLOG,
                'too many bills are waiting to be flushed',
                retry_after_s=10,
            )

    async def record(self, job: jobs.Job, facts: jobs.Facts) -> None:
        """Records a job's bill; afterwards its answer may be completed."""
        bill = billrows.Bill(
            sequence=self._next_sequence,
            request_id=job.request_id,
            organisation=job.organisation_id,
            kind=job.kind_id,
            model=facts.model,
            version=facts.version,
            cost=facts.cost,
            at=self._clock.wall(),
        )
        self._next_sequence += 1
        packed = msgspec.msgpack.encode(bill)
        record = billing.Record(bill.sequence, packed)
        self._buffer.add(self._owner, record)
        # A caller that disconnects must not cancel the copy: other jobs of the
        # same batch wait for it.
        with anyio.CancelScope(shield=True):
            await self._replicate_or_flush(record)

    async def _replicate_or_flush(self, record: billing.Record) -> None:
        if await self._replicator.replicate(record) >= replication.COPY_COUNT:
            return
        await self._flush_urgently(record.sequence)
        if self._buffer.contains(self._owner, record.sequence):
            self._at_risk.add(record.sequence)

    async def _flush_urgently(self, sequence: int) -> None:
        """Flushes a bill at once, unless the platform has just failed."""
        async with self._lock:
            while (
                self._buffer.contains(self._owner, sequence)
                and self._clock.now() >= self._skip_urgent_until
            ):
                wait_s = (
                    self._last_urgent_at
                    + MIN_URGENT_INTERVAL_S
                    - self._clock.now()
                )
                await anyio.sleep(max(0.0, wait_s))
                self._last_urgent_at = self._clock.now()
                await self._flush_row(self._owner)

    async def run(self) -> None:
        """Flushes once per flush interval, with jitter."""
        while True:
            jitter = self._random.uniform(1 - JITTER, 1 + JITTER)
            await anyio.sleep(self._settings.flush_s * jitter)
            await self._flush_round()

    async def _flush_round(self) -> None:
        """Writes at most one row for this node, and some for other owners."""
        succeeded = await self._flush_once(self._owner)
        due = [owner for owner in self._buffer.owners if self._is_due(owner)]
        self._random.shuffle(due)
        for owner in due[:MAX_FOREIGN_ROWS]:
            succeeded = succeeded and await self._flush_once(owner)
        if not succeeded:
            await self.restore_copies()
        for known in (self._last_contact_at, self._last_drop_at):
            for owner in set(known) - set(self._buffer.owners):
                del known[owner]

    def _is_due(self, owner: str) -> bool:
        """Tells whether this node should flush for another owner.

        Flushing for an owner that is alive is harmless, so its silence
        suffices as a reason.
        """
        if owner == self._owner:
            return False
        if self._membership is not None and self._membership.is_dead(owner):
            return True
        now = self._clock.now()
        if now - self._last_contact_at.get(owner, now) >= OWNER_SILENT_S:
            return True
        last_drop_at = self._last_drop_at.get(owner, now)
        return now - max(last_drop_at, self._failed_at) >= OWNER_STUCK_S

    async def restore_copies(self) -> None:
        """Copies bills again if their holders were lost during an outage."""
        for owner in self._buffer.owners:
            if owner != self._owner and not self._is_due(owner):
                continue
            records = self._buffer.records(owner)
            copies = await self._replicator.restore(owner, records)
            if owner == self._owner:
                self._update_at_risk(records, copies)

    def _update_at_risk(self, records, copies: int) -> None:
        sequences = {record.sequence for record in records}
        if copies >= replication.COPY_COUNT:
            self._at_risk -= sequences
        elif copies == 0:
            held = self._buffer.records(self._owner)
            self._at_risk |= sequences & {record.sequence for record in held}
        if self._at_risk:
            events.log(events.Event.BILLS_AT_RISK, held=len(self._at_risk))

    async def finish(self) -> bool:
        """Flushes all bills at a stop, or else copies them to other nodes.

        Returns:
          Whether all bills of this node were flushed.
        """
        while self.held:
            if not await self._flush_once(self._owner):
                await self.restore_copies()
                return False
            await anyio.sleep(DRAIN_INTERVAL_S)
        return True

    async def _flush_once(self, owner: str) -> bool:
        async with self._lock:
            return await self._flush_row(owner)

    async def _flush_row(self, owner: str) -> bool:
        """Writes one row of an owner's bills; False if the platform failed."""
        if not self._buffer.count(owner):
            return True
        try:
            await self._write_row(owner)
        except platform_errors.PlatformError as error:
            self._failed_at = self._clock.now()
            self._skip_urgent_until = self._failed_at + self._settings.flush_s
            events.log(
                events.Event.BILL_FLUSH_FAILED,
                owner=owner,
                held=self._buffer.count(owner),
                error=str(error),
            )
            return False
        self._skip_urgent_until = 0.0
        return True

    async def _write_row(self, owner: str) -> None:
        key = billrows.mark_key_of(owner)
        row = await self._rows.read(key)
        for attempt in range(MAX_ATTEMPTS):
            mark = billrows.read_mark(row)
            self._drop_flushed(owner, mark.flushed)
            plan = billing.plan_flush(
                mark.flushed,
                self._buffer.records(owner),
                MAX_ROW_BYTES,
                MAX_ROW_BILLS,
            )
            if not plan.records:
                return
            try:
                await self._rows.transact(
                    billrows.make_transaction(owner, row, plan)
                )
            except platform_errors.Conflict as conflict:
                row = billrows.conflicting_row(conflict, key)
            except platform_errors.ResponseLost:
                # It may have been written; the mark shows whether it was.
                if attempt + 1 == MAX_ATTEMPTS:
                    raise
                row = await self._rows.read(key)
            else:
                self._drop_flushed(owner, plan.flushed)
                events.log(
                    events.Event.BILLS_FLUSHED,
                    owner=owner,
                    count=len(plan.records),
                )
                return

    def _drop_flushed(self, owner: str, flushed: intervals.Intervals) -> None:
        dropped = self._buffer.drop(owner, flushed)
        if dropped:
            self._last_drop_at[owner] = self._clock.now()
        if owner == self._owner:
            self._known_flushed = intervals.union(self._known_flushed, flushed)
            self._at_risk.difference_update(dropped)

    async def hold_copies(self, sender, request: ttypes.HoldBills):
        """Handles `HoldBills`: keeps copies of another node's bills.

        Returns:
          A reply with the number of the owner's bills that are held.

        Raises:
          Rejected: There is no room, or a record is malformed.
        """
        records = [
            billrows.validate_record(record) for record in request.bills or []
        ]
        if records and self._buffer.full:
            raise wire_errors.Rejected('no room for more bills')
        owner, now = request.owner, self._clock.now()
        if owner.startswith(f'{sender.node}.'):
            self._last_contact_at[owner] = now
        self._last_contact_at.setdefault(owner, now)
        if not self._buffer.count(owner):
            self._last_drop_at[owner] = now
        for record in records:
            self._buffer.add(owner, record)
        return ttypes.HoldBillsReply(held=self._buffer.count(owner))

    def flushed(self) -> list[ttypes.Flushed]:
        """Returns the intervals of this node's bills known to be flushed."""
        if not self._known_flushed:
            return []
        bounds = [
            bound for interval in self._known_flushed for bound in interval
        ]
        return [ttypes.Flushed(owner=self._owner, bounds=bounds)]

    def drop(self, flushed: list[ttypes.Flushed]) -> None:
        """Drops copies of bills that other nodes report as flushed."""
        for item in flushed:
            if item.owner == self._owner:
                continue
            bounds = item.bounds or []
            pairs = tuple(zip(bounds[::2], bounds[1::2], strict=False))
            self._drop_flushed(item.owner, pairs)
