"""Bills in memory: bounded buffers of packed records, plans of a flush.

Exactly once rests on one rule: a flush writes its records together with
the owner's mark, on condition that the mark is the one it was planned on.
"""

import typing

from radishcourse_policy import intervals

# What a record takes beside its packed bytes: a dict entry, the sequence
# number and the header of the bytes object.
RECORD_OVERHEAD_BYTES = 160

Owner = str


class Record(typing.NamedTuple):
    """A packed bill with its owner's sequence number."""

    sequence: int
    packed: bytes


class Plan(typing.NamedTuple):
    """What a flush writes: records, and the mark that includes them."""

    records: list[Record]
    flushed: intervals.Intervals


class Buffer:
    """Packed bills that are not known to be flushed, by owner.

    Args:
      limit_bytes: Bytes at which the buffer is full.
    """

    def __init__(self, limit_bytes: int):
        self._limit_bytes = limit_bytes
        self._bytes = 0
        self._records: dict[Owner, dict[int, bytes]] = {}

    @property
    def bytes_held(self) -> int:
        """Bytes of all records with their overhead."""
        return self._bytes

    @property
    def full(self) -> bool:
        """Whether no more records should be taken on."""
        return self._bytes >= self._limit_bytes

    @property
    def owners(self) -> list[Owner]:
        """Owners of whom there are records."""
        return list(self._records)

    def count(self, owner: Owner) -> int:
        """Returns how many records of an owner there are."""
        return len(self._records.get(owner, ()))

    def has(self, owner: Owner, sequence: int) -> bool:
        """Tells whether a record is held."""
        return sequence in self._records.get(owner, ())

    def records(self, owner: Owner) -> list[Record]:
        """Returns an owner's records by sequence number."""
        held = self._records.get(owner, {})
        return [Record(sequence, held[sequence]) for sequence in sorted(held)]

    def add(self, owner: Owner, record: Record) -> None:
        """Holds a record; a repeat changes nothing."""
        held = self._records.setdefault(owner, {})
        if record.sequence not in held:
            held[record.sequence] = record.packed
            self._bytes += _size(record.packed)

    def drop(self, owner: Owner, flushed: intervals.Intervals) -> list[int]:
        """Forgets an owner's flushed records and returns their numbers."""
        held = self._records.get(owner, {})
        gone = [
            number for number in held if intervals.contains(flushed, number)
        ]
        for number in gone:
            self._bytes -= _size(held.pop(number))
        if not held:
            self._records.pop(owner, None)
        return gone


def plan(
    flushed: intervals.Intervals,
    records: list[Record],
    max_bytes: int,
    max_count: int,
) -> Plan:
    """Returns what the next flush writes, of bounded size.

    Args:
      flushed: The mark that the flush is conditioned on.
      records: Records that are held, by sequence number.
      max_bytes: Packed bytes of a row of bills; one record always fits.
      max_count: Records of a row of bills.
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
    return Plan(chosen, intervals.add(flushed, numbers))


def _size(packed: bytes) -> int:
    return len(packed) + RECORD_OVERHEAD_BYTES
