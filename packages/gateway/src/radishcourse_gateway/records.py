"""Replica of the platform's tables, filled from the store or from peers.

A replica holds the newest state of each followed table and the position up to
which that state is complete. A node that can't reach the store takes newer
rows from any peer. Both sources lead to the same states in the same order, and
the position of a replica never goes back.

When the store comes back from a copy, the table is read anew. Rows that changed
in what the store has lost are missing or older at first, and are written again
by their authors. Until then, the node goes on with what it has shown.
"""

import dataclasses
import enum
import typing

from radishcourse_policy import position as positions


class Table(enum.Enum):
    """Tables that nodes follow."""

    CONFIGURATION = 'configuration'
    UPSTREAMS = 'upstreams'


# Time after a restore for which rows that are older or missing in the copy are
# not taken from it. Upstreams write their entries again within two seconds.
HOLD_S = {Table.CONFIGURATION: 5.0, Table.UPSTREAMS: 1.8}
# The same for the entry of an upstream that had been removed. It expires in the
# store after some heartbeats, if the upstream has left.
REMOVED_HOLD_S = 5.0


class Record(typing.NamedTuple):
    """A row of a table.

    Attributes:
      table: Its table.
      key: Its key within the table.
      position: Where in the store's history it was written or deleted.
      value: Its content, None when it was deleted.
      revision: Number that its author gave to its content, None without one.
        It increases with each content, whatever the store has lost.
    """

    table: Table
    key: str
    position: positions.Position
    value: bytes | None
    revision: int | None = None


class Changes(typing.NamedTuple):
    """Changed rows of a table, and the position that they lead to.

    Attributes:
      records: The rows, at most one for each key.
      position: Applying the rows completes the table up to this position.
      complete: Whether these are all rows of the table; known rows that are
        missing were deleted.
    """

    records: list[Record]
    position: positions.Position
    complete: bool = False


class _Held(typing.NamedTuple):
    record: Record
    due_at: float


@dataclasses.dataclass
class _TableState:
    position: positions.Position = positions.START
    confirmed_at: float | None = None
    lost: bool = False
    rows: dict[str, Record] = dataclasses.field(default_factory=dict)
    # What the node goes on with, where that is not what the store has.
    shown: dict[str, Record] = dataclasses.field(default_factory=dict)
    held: dict[str, _Held] = dataclasses.field(default_factory=dict)


class Replica:
    """The newest known state of the followed tables.

    Args:
      clock: Source of time.
    """

    def __init__(self, clock):
        self._clock = clock
        self._tables = {table: _TableState() for table in Table}

    def position(self, table: Table) -> positions.Position:
        """Returns the position up to which a table is complete."""
        return self._tables[table].position

    def confirmed_at(self, table: Table) -> float | None:
        """Returns when the store last confirmed this state as current."""
        return self._tables[table].confirmed_at

    def is_lost(self, table: Table) -> bool:
        """Tells whether the store did not answer the last poll of a table."""
        return self._tables[table].lost

    def note_poll(self, table: Table, answered: bool) -> None:
        """Records whether the store answered a poll of a table."""
        self._tables[table].lost = not answered

    def rows(self, table: Table) -> typing.Iterable[Record]:
        """Returns the rows of a table, deleted ones included."""
        return self._tables[table].rows.values()

    def revision(self, table: Table) -> int | None:
        """Returns the highest revision of a row; None without one."""
        revisions = [
            row.revision for row in self.rows(table) if row.revision is not None
        ]
        return max(revisions, default=None)

    def confirm(
        self, table: Table, position: positions.Position, at: float
    ) -> None:
        """Records that a position was the newest in the store at a time."""
        state = self._tables[table]
        if state.position.is_after(position):
            return
        if state.confirmed_at is None or at > state.confirmed_at:
            state.confirmed_at = at

    def can_apply(self, table: Table, changes: Changes) -> bool:
        """Tells whether changes lead from this state to a newer one.

        Those of a later era do only if they are complete.
        """
        position = self._tables[table].position
        if changes.position.is_of_earlier_era(position):
            return False
        return changes.complete or not changes.position.is_of_later_era(
            position
        )

    def apply(self, table: Table, changes: Changes) -> list[Record]:
        """Applies changes and returns the rows that were new.

        After a restore, rows that may be written again are not among them.
        """
        state = self._tables[table]
        if not self.can_apply(table, changes):
            return self._apply_revisions(state, changes)
        if changes.position.is_of_later_era(state.position):
            return self._apply_restored(table, state, changes)
        new_records = [
            record for record in changes.records if _is_newer(state, record)
        ]
        if changes.complete and not state.position.is_after(changes.position):
            new_records += _deleted(table, state, changes)
        for record in new_records:
            state.rows[record.key] = record
            state.held.pop(record.key, None)
            state.shown.pop(record.key, None)
        state.position = positions.latest(state.position, changes.position)
        return new_records

    @staticmethod
    def _apply_revisions(state: _TableState, changes: Changes) -> list[Record]:
        """Applies rows of another era whose revision is higher."""
        new_records = [
            record
            for record in changes.records
            if record.revision is not None and _is_newer(state, record)
        ]
        for record in new_records:
            state.rows[record.key] = record
        return new_records

    def _apply_restored(
        self, table: Table, state: _TableState, changes: Changes
    ) -> list[Record]:
        """Replaces a table after a restore; returns the rows to show now."""
        now, new_records = self._clock.now(), []
        shown = {**state.rows, **state.shown}
        rows = {record.key: record for record in changes.records}
        for key in shown.keys() - rows.keys():
            rows[key] = Record(table, key, changes.position, None)
        state.held, state.shown = {}, {}
        for key, record in rows.items():
            known = shown.get(key)
            if known is None:
                new_records.append(record)
            elif known.revision is not None and (
                record.revision is None or record.revision <= known.revision
            ):
                rows[key] = known._replace(position=changes.position)
            elif record.revision is not None:
                new_records.append(record)
            elif known.value != record.value:
                state.shown[key] = known
                hold_s = HOLD_S[table]
                if known.value is None:
                    hold_s = REMOVED_HOLD_S
                state.held[key] = _Held(record, now + hold_s)
        state.rows, state.position = rows, changes.position
        return new_records

    def take_due(self, table: Table) -> list[Record]:
        """Returns the rows whose authors did not write them again in time."""
        state, now = self._tables[table], self._clock.now()
        due = [item.record for item in state.held.values() if item.due_at < now]
        for record in due:
            del state.held[record.key]
            state.shown.pop(record.key, None)
        return due

    def changes_after(
        self,
        table: Table,
        position: positions.Position,
        revision: int | None = None,
    ) -> Changes:
        """Returns what leads from a position to this state.

        All rows if the position is of an earlier era, none if of a later one.

        Args:
          table: The table.
          position: The position.
          revision: Highest revision of a row that is known there, if any. Rows
            with a higher one are included, whatever the position.
        """
        state = self._tables[table]
        if state.position.is_of_later_era(position):
            rows = [row for row in state.rows.values() if row.value is not None]
            return Changes(rows, state.position, complete=True)
        records = [
            row
            for row in state.rows.values()
            if row.position.is_after(position)
            or (
                revision is not None
                and row.revision is not None
                and row.revision > revision
            )
        ]
        return Changes(records, state.position)


def _is_newer(state: _TableState, record: Record) -> bool:
    known = state.rows.get(record.key)
    if known is None:
        return True
    if known.revision is not None and record.revision is not None:
        return record.revision > known.revision
    return record.position.is_after(known.position)


def _deleted(table, state: _TableState, changes: Changes) -> list[Record]:
    listed = {record.key for record in changes.records}
    return [
        Record(table, key, changes.position, None)
        for key, row in state.rows.items()
        if key not in listed
        and row.value is not None
        and not row.position.is_after(changes.position)
    ]
