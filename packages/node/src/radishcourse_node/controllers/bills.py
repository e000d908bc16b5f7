"""Bills: recorded, copied to holders, flushed to the platform in batches.

An answer is completed when two other nodes hold a copy of its bill, or when
the bill is flushed. Without either (no peer, and the platform is down) the
node goes on serving and counts the bill as at risk.

Exactly once rests on the mark row of each owner, the set of sequence
numbers that were flushed. A flush writes the missing bills and the new mark
in one transaction, on condition that the mark has not changed. Whoever
flushes, and however often a flush is repeated after a lost answer, one
transaction alone can move the mark from one version to the next.
"""

import anyio
import msgspec

from radishcourse_model import ids
from radishcourse_node import errors
from radishcourse_node import events
from radishcourse_node import job as jobs
from radishcourse_node.controllers import replication
from radishcourse_platform import errors as platform_errors
from radishcourse_platform import table
from radishcourse_policy import billing
from radishcourse_policy import intervals
from radishcourse_wire import errors as wire_errors
from radishcourse_wire.gen.peer import ttypes

# A row is written in one transaction. At one row each flush interval a node
# drains about ten times what it bills at the peak, so that the end of an
# outage brings no more writes a second than usual.
MAX_ROW_BYTES = 128 * 1024
MAX_ROW_BILLS = 1000
# Rows of dead owners that a node writes at most in one round.
MAX_FOREIGN_ROWS = 2
MAX_TRIES = 4
# Without word from an owner for this long its holders flush for it.
OWNER_SILENT_S = 6.0
# So they do when an owner is heard of, but its bills are not flushed for this
# long while the platform is up.
OWNER_STUCK_S = 30.0
# Flushes that answers wait for are at least this far apart.
URGENT_GAP_S = 0.05
# The same between the flushes of a node that stops.
DRAIN_GAP_S = 0.05
JITTER = 0.25


class Bill(msgspec.Struct, array_like=True, frozen=True):
    """One job's bill; `at` is wall time in seconds, `cost` micro-units."""

    sequence: int
    request_id: ids.RequestId
    organisation: ids.OrganisationId
    kind: ids.KindId
    model: str
    version: str
    cost: int
    at: float


class Mark(msgspec.Struct):
    """Sequence numbers of an owner that were flushed."""

    flushed: intervals.Intervals = intervals.EMPTY


_decoder = msgspec.msgpack.Decoder(Bill)


class Bills:
    """Keeps, copies and flushes the bills of this node and of dead ones.

    Args:
      environment: Clock and random source.
      settings: The node's settings.
      owner: This node's incarnation.
      rows: The platform's table.
      copies: Where copies are kept.
      membership: The membership controller, or None while there is none.
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
        self._flushed = intervals.EMPTY
        self._at_risk: set[int] = set()
        self._heard_at: dict[str, float] = {}
        self._dropped_at: dict[str, float] = {}
        self._next = 1
        self._lock = anyio.Lock()
        self._urgent_at = 0.0
        self._down_until = 0.0
        self._failed_at = -OWNER_STUCK_S

    @property
    def held(self) -> int:
        """Bills of this node that are not flushed yet."""
        return self._buffer.count(self._owner)

    @property
    def held_for_others(self) -> int:
        """Bills of other owners that this node holds."""
        owners = self._buffer.owners
        return sum(map(self._buffer.count, owners)) - self.held

    @property
    def held_bytes(self) -> int:
        """Bytes of all bills in memory."""
        return self._buffer.bytes_held

    @property
    def at_risk(self) -> int:
        """Bills of completed answers that only this node has."""
        return len(self._at_risk)

    def check_room(self) -> None:
        """Refuses new jobs while too many bills wait.

        Jobs in progress still record theirs, so the bound can be passed by
        as many records as there are jobs in progress.

        Raises:
          Refusal: There is no room.
        """
        if self._buffer.full:
            raise errors.Refusal(
                errors.RefusalCode.BILLING_BACKLOG,
                'too many bills wait for the platform',
                retry_after_s=10,
            )

    async def record(self, job: jobs.Job, facts: jobs.Facts) -> None:
        """Records the bill of a job; its answer may be completed then."""
        bill = Bill(
            sequence=self._next,
            request_id=job.request_id,
            organisation=job.organisation_id,
            kind=job.kind_id,
            model=facts.model,
            version=facts.version,
            cost=facts.cost,
            at=self._clock.wall(),
        )
        self._next += 1
        packed = msgspec.msgpack.encode(bill)
        record = billing.Record(bill.sequence, packed)
        self._buffer.add(self._owner, record)
        # A caller that leaves now must not stop the copy, which others of
        # the same group wait for.
        with anyio.CancelScope(shield=True):
            await self._secure(record)

    async def _secure(self, record: billing.Record) -> None:
        if await self._replicator.replicate(record) >= replication.COPY_COUNT:
            return
        await self._flush_urgently(record.sequence)
        if self._buffer.contains(self._owner, record.sequence):
            self._at_risk.add(record.sequence)

    async def _flush_urgently(self, sequence: int) -> None:
        """Flushes before an answer, unless the platform just failed."""
        async with self._lock:
            while (
                self._buffer.contains(self._owner, sequence)
                and self._clock.now() >= self._down_until
            ):
                gap = self._urgent_at + URGENT_GAP_S - self._clock.now()
                await anyio.sleep(max(0.0, gap))
                self._urgent_at = self._clock.now()
                await self._flush_row(self._owner)

    async def run(self) -> None:
        """Flushes again and again."""
        while True:
            jitter = self._random.uniform(1 - JITTER, 1 + JITTER)
            await anyio.sleep(self._settings.flush_s * jitter)
            await self._round()

    async def _round(self) -> None:
        """Writes at most a row of this node and some of dead owners."""
        up = await self._flush_once(self._owner)
        due = [owner for owner in self._buffer.owners if self._is_due(owner)]
        self._random.shuffle(due)
        for owner in due[:MAX_FOREIGN_ROWS]:
            up = up and await self._flush_once(owner)
        if not up:
            await self.restore_copies()
        for known in (self._heard_at, self._dropped_at):
            for owner in set(known) - set(self._buffer.owners):
                del known[owner]

    def _is_due(self, owner: str) -> bool:
        """Tells whether this node looks after another owner's bills.

        Flushing for an owner that lives is harmless, so silence is enough.
        """
        if owner == self._owner:
            return False
        if self._membership is not None and self._membership.is_dead(owner):
            return True
        now = self._clock.now()
        if now - self._heard_at.get(owner, now) >= OWNER_SILENT_S:
            return True
        dropped_at = self._dropped_at.get(owner, now)
        return now - max(dropped_at, self._failed_at) >= OWNER_STUCK_S

    async def restore_copies(self) -> None:
        """Copies bills again whose holders were lost during an outage."""
        for owner in self._buffer.owners:
            if owner != self._owner and not self._is_due(owner):
                continue
            records = self._buffer.records(owner)
            found = await self._replicator.restore(owner, records)
            if owner == self._owner:
                self._note_copies(records, found)

    def _note_copies(self, records, found: int) -> None:
        numbers = {record.sequence for record in records}
        if found >= replication.COPY_COUNT:
            self._at_risk -= numbers
        elif found == 0:
            held = self._buffer.records(self._owner)
            self._at_risk |= numbers & {record.sequence for record in held}
        if self._at_risk:
            events.log(events.Event.BILLS_AT_RISK, held=len(self._at_risk))

    async def finish(self) -> bool:
        """Flushes at a stop, or leaves the bills with other nodes.

        Returns:
          Whether the platform has all bills of this node.
        """
        while self.held:
            if not await self._flush_once(self._owner):
                await self.restore_copies()
                return False
            await anyio.sleep(DRAIN_GAP_S)
        return True

    async def _flush_once(self, owner: str) -> bool:
        async with self._lock:
            return await self._flush_row(owner)

    async def _flush_row(self, owner: str) -> bool:
        """Writes one row of an owner's bills; False without the platform."""
        if not self._buffer.count(owner):
            return True
        try:
            await self._write_row(owner)
        except platform_errors.PlatformError as error:
            self._failed_at = self._clock.now()
            self._down_until = self._failed_at + self._settings.flush_s
            events.log(
                events.Event.BILL_FLUSH_FAILED,
                owner=owner,
                held=self._buffer.count(owner),
                error=str(error),
            )
            return False
        self._down_until = 0.0
        return True

    async def _write_row(self, owner: str) -> None:
        key = f'billmark/{owner}'
        row = await self._rows.read(key)
        for attempt in range(MAX_TRIES):
            mark = msgspec.convert(row.value, Mark) if row else Mark()
            self._forget(owner, mark.flushed)
            plan = billing.plan_flush(
                mark.flushed,
                self._buffer.records(owner),
                MAX_ROW_BYTES,
                MAX_ROW_BILLS,
            )
            if not plan.records:
                return
            try:
                await self._rows.transact(_transaction(owner, row, plan))
            except platform_errors.Conflict as conflict:
                row = _find_row(conflict, key)
            except platform_errors.ResponseLost:
                # It may have been written: the mark tells.
                if attempt + 1 == MAX_TRIES:
                    raise
                row = await self._rows.read(key)
            else:
                self._forget(owner, plan.flushed)
                events.log(
                    events.Event.BILLS_FLUSHED,
                    owner=owner,
                    count=len(plan.records),
                )
                return

    def _forget(self, owner: str, flushed: intervals.Intervals) -> None:
        gone = self._buffer.drop(owner, flushed)
        if gone:
            self._dropped_at[owner] = self._clock.now()
        if owner == self._owner:
            self._flushed = intervals.union(self._flushed, flushed)
            self._at_risk.difference_update(gone)

    async def hold(self, sender, request: ttypes.HoldBills):
        """Keeps copies of another node's bills; a handler of messages.

        The reply tells how many bills of the owner are held.

        Raises:
          Rejected: There is no room, or a record is malformed.
        """
        records = [_check(record) for record in request.bills or []]
        if records and self._buffer.full:
            raise wire_errors.Rejected('no room for more bills')
        owner, now = request.owner, self._clock.now()
        if owner.startswith(f'{sender.node}.'):
            self._heard_at[owner] = now
        self._heard_at.setdefault(owner, now)
        if not self._buffer.count(owner):
            self._dropped_at[owner] = now
        for record in records:
            self._buffer.add(owner, record)
        return ttypes.HoldBillsReply(held=self._buffer.count(owner))

    def flushed(self) -> list[ttypes.Flushed]:
        """Returns what is known to be flushed of this node's bills."""
        if not self._flushed:
            return []
        bounds = [bound for interval in self._flushed for bound in interval]
        return [ttypes.Flushed(owner=self._owner, bounds=bounds)]

    def drop(self, flushed: list[ttypes.Flushed]) -> None:
        """Forgets copies of bills that other nodes say are flushed."""
        for item in flushed:
            if item.owner == self._owner:
                continue
            bounds = item.bounds or []
            pairs = tuple(zip(bounds[::2], bounds[1::2], strict=False))
            self._forget(item.owner, pairs)


def _check(record: ttypes.BillRecord) -> billing.Record:
    """Returns a received record; one that can't be decoded stops a flush."""
    try:
        bill = _decoder.decode(record.packed or b'')
    except msgspec.MsgspecError as error:
        raise wire_errors.Rejected(f'not a bill: {error}') from error
    if bill.sequence != record.sequence:
        raise wire_errors.Rejected('a bill under another number')
    return billing.Record(record.sequence, record.packed)


def _transaction(owner: str, row, plan: billing.FlushPlan) -> table.Transaction:
    mark_key = f'billmark/{owner}'
    version = row.version if row else table.ABSENT
    # The row of bills is named after the version of the mark that it makes.
    bills_key = f'bills/{owner}/{version + 1:08d}'
    bills = [_decoder.decode(record.packed) for record in plan.records]
    mark = Mark(plan.flushed)
    return table.Transaction(
        conditions=[
            table.Condition(mark_key, version),
            table.Condition(bills_key, table.ABSENT),
        ],
        puts=[
            table.Put(mark_key, msgspec.to_builtins(mark)),
            table.Put(bills_key, {'bills': msgspec.to_builtins(bills)}),
        ],
    )


def _find_row(conflict: platform_errors.Conflict, key: str):
    for row in conflict.rows:
        if row.key == key and row.version != table.ABSENT:
            return row
    raise conflict
