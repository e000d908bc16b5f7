"""Bills: recorded in memory, flushed to the platform in batches.

Exactly once rests on the mark row of each owner, the set of sequence
numbers that were flushed. A flush writes the missing bills and the new
mark in one transaction, on condition that the mark has not changed.
"""

import uuid

import anyio
import msgspec
from radishcourse_model import ids
from radishcourse_platform import errors as platform_errors
from radishcourse_platform import table
from radishcourse_policy import intervals

from radishcourse_node import errors
from radishcourse_node import events
from radishcourse_node import job as jobs

MAX_HELD_BYTES = 24 * 2**20
MAX_BILLS_IN_ROW = 2000


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


class Bills:
    """Keeps and flushes the bills of this node."""

    def __init__(self, environment, settings, incarnation, rows: table.Table):
        self._clock = environment.clock
        self._settings = settings
        self._owner: ids.Incarnation = incarnation
        self._rows = rows
        self._held: dict[int, Bill] = {}
        self._next = 1
        self._lock = anyio.Lock()

    @property
    def held(self) -> int:
        """Bills that are not flushed yet."""
        return len(self._held)

    def check_room(self) -> None:
        """Refuses new jobs while too many bills wait.

        Raises:
          Refusal: There is no room.
        """
        if len(self._held) * 256 > MAX_HELD_BYTES:
            raise errors.Refusal(
                errors.RefusalCode.BILLING_BACKLOG,
                'too many bills wait for the platform',
                retry_after_s=10,
            )

    async def record(self, job: jobs.Job, facts: jobs.Facts) -> None:
        """Records the bill of a completed job."""
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
        self._held[bill.sequence] = bill

    async def run(self) -> None:
        """Flushes again and again."""
        while True:
            await anyio.sleep(self._settings.flush_s)
            await self.flush()

    async def flush(self) -> bool:
        """Writes all held bills; False when the platform did not answer."""
        async with self._lock:
            while self._held:
                try:
                    await self._flush_some()
                except platform_errors.Conflict:
                    continue
                except platform_errors.PlatformError as error:
                    events.log(
                        events.Event.BILL_FLUSH_FAILED,
                        held=self.held,
                        error=str(error),
                    )
                    return False
        return True

    async def _flush_some(self) -> None:
        mark_key = f'billmark/{self._owner}'
        row = await self._rows.read(mark_key)
        mark = msgspec.convert(row.value, Mark) if row else Mark()
        for sequence in list(self._held):
            if intervals.contains(mark.flushed, sequence):
                del self._held[sequence]
        batch = list(self._held.values())[:MAX_BILLS_IN_ROW]
        if not batch:
            return
        sequences = [bill.sequence for bill in batch]
        flushed = intervals.add(mark.flushed, sequences)
        bills_key = f'bills/{self._owner}/{uuid.uuid4().hex}'
        await self._rows.transact(
            table.Transaction(
                conditions=[
                    table.Condition(mark_key, row.version if row else 0)
                ],
                puts=[
                    table.Put(mark_key, msgspec.to_builtins(Mark(flushed))),
                    table.Put(bills_key, {'bills': msgspec.to_builtins(batch)}),
                ],
            )
        )
        for sequence in sequences:
            self._held.pop(sequence, None)
        events.log(events.Event.BILLS_FLUSHED, count=len(batch))
