"""Bounded in-memory buffers of packed bills, and planning of their flushes.

To store each bill exactly once, a flush writes its records and the owner's
mark in one transaction, on condition that the mark is unchanged since the
flush was planned. The mark lists the sequence numbers that are flushed.
"""

import typing

from radishcourse_policy import intervals

# Memory of a record besides its packed bytes: a dict entry, the sequence
# number and the header of the bytes object.
RECORD_OVERHEAD_BYTES = 160

Owner = str


class Record(typing.NamedTuple):
    """A packed bill with its owner's sequence number."""

    sequence: int
    packed: bytes


class FlushPlan(typing.NamedTuple):
    """Records that a flush writes, and the new mark that includes them."""

    records: list[Record]
    flushed: intervals.Intervals


class Buffer:
    """Packed bills that are not known to be flushed, by owner.

    Args:
      limit_bytes: Size in bytes at which the buffer is full.
    """

    def __init__(self, limit_bytes: int):
        self._limit_bytes = limit_bytes
        self._bytes = 0
        self._records: dict[Owner, dict[int, bytes]] = {}

    @property
    def bytes_held(self) -> int:
        """Size of all records including their overhead, in bytes."""
        return self._bytes

    @property
    def full(self) -> bool:
        """Whether the buffer should accept no more records."""
        return self._bytes >= self._limit_bytes

    @property
    def owners(self) -> list[Owner]:
        """Owners that have records in the buffer."""
        return list(self._records)

    def count(self, owner: Owner) -> int:
        """Returns the number of an owner's records."""
        return len(self._records.get(owner, ()))

    def contains(self, owner: Owner, sequence: int) -> bool:
        """Tells whether the buffer holds a record."""
        return sequence in self._records.get(owner, ())

    def records(self, owner: Owner) -> list[Record]:
        """Returns an owner's records, sorted by sequence number."""
        held = self._records.get(owner, {})
        return [Record(sequence, held[sequence]) for sequence in sorted(held)]

    def add(self, owner: Owner, record: Record) -> None:
        """Adds a record; a known sequence number changes nothing."""
        held = self._records.setdefault(owner, {})
        if record.sequence not in held:
            held[record.sequence] = record.packed
            self._bytes += _size(record.packed)

    def drop(self, owner: Owner, flushed: intervals.Intervals) -> list[int]:
        """Drops an owner's flushed records; returns their sequence numbers."""
        held = self._records.get(owner, {})
        dropped = [
            number for number in held if intervals.contains(flushed, number)
        ]
        for number in dropped:
            self._bytes -= _size(held.pop(number))
        if not held:
            self._records.pop(owner, None)
        return dropped


def plan_flush(
    flushed: intervals.Intervals,
    records: list[Record],
    max_bytes: int,
    max_count: int,
) -> FlushPlan:
    """Returns what the next flush writes, of bounded size.

    Args:
      flushed: The mark that the flush is conditioned on.
      records: The owner's records, sorted by sequence number.
      max_bytes: Maximum packed bytes in a row of bills; a single larger record
        is still written.
      max_count: Maximum number of records in a row of bills.
    """
    chosen: list[Record] = []
    size = 0
    for record in records:
        if intervals.contains(flushed, record.sequence):
            continue
        size += len(record.packed)
        if chosen and (size > max_bytes or len(chosen) >= max_count):
            break
        chosen.append(record)
    numbers = [record.sequence for record in chosen]
    return FlushPlan(chosen, intervals.add(flushed, numbers))


def _size(packed: bytes) -> int:
    return len(packed) + RECORD_OVERHEAD_BYTES
