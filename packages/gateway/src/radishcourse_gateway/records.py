"""Rows of the platform's store as nodes keep and relay them.

A replica holds the newest state of some tables and, for each, the version
up to which that state is complete. A node that can't reach the store takes
newer rows from any peer; both ways lead to the same states in the same
order, and a replica never goes back.
"""

import dataclasses
import enum
import typing


class Table(enum.Enum):
    """Tables that nodes follow."""

    CONFIGURATION = 'configuration'
    UPSTREAMS = 'upstreams'


class Record(typing.NamedTuple):
    """A row; `value` is None when it was deleted."""

    table: Table
    key: str
    version: int
    value: bytes | None


class Changes(typing.NamedTuple):
    """Rows of a table that changed, and the version they lead to.

    Attributes:
      records: The rows, at most one for each key.
      version: The table is complete up to this version.
      complete: Whether the rows are all of the table, so that rows that are
        not among them do not exist.
    """

    records: list[Record]
    version: int
    complete: bool = False


@dataclasses.dataclass
class _TableState:
    version: int = 0
    confirmed_at: float | None = None
    rows: dict[str, Record] = dataclasses.field(default_factory=dict)


class Replica:
    """The newest known state of the followed tables."""

    def __init__(self):
        self._tables = {table: _TableState() for table in Table}

    def version(self, table: Table) -> int:
        """Returns the version up to which a table is complete."""
        return self._tables[table].version

    def confirmed_at(self, table: Table) -> float | None:
        """Returns when the store last confirmed this state as current."""
        return self._tables[table].confirmed_at

    def rows(self, table: Table) -> typing.Iterable[Record]:
        """Returns the rows of a table, deleted ones included."""
        return self._tables[table].rows.values()

    def confirm(self, table: Table, version: int, at: float) -> None:
        """Notes that the store had nothing newer than a version at a time."""
        state = self._tables[table]
        if version < state.version:
            return
        if state.confirmed_at is None or at > state.confirmed_at:
            state.confirmed_at = at

    def apply(self, table: Table, changes: Changes) -> list[Record]:
        """Takes over changes and returns the rows that are new."""
        state = self._tables[table]
        new_records = [
            record
            for record in changes.records
            if self._is_newer(state, record)
        ]
        if changes.complete and changes.version >= state.version:
            new_records += self._deleted(table, state, changes)
        for record in new_records:
            state.rows[record.key] = record
        state.version = max(state.version, changes.version)
        return new_records

    def changes_after(self, table: Table, version: int) -> Changes:
        """Returns the rows that changed after a version."""
        state = self._tables[table]
        records = [row for row in state.rows.values() if row.version > version]
        return Changes(records, state.version)

    @staticmethod
    def _is_newer(state: _TableState, record: Record) -> bool:
        known = state.rows.get(record.key)
        return known is None or record.version > known.version

    @staticmethod
    def _deleted(table, state: _TableState, changes: Changes) -> list[Record]:
        listed = {record.key for record in changes.records}
        return [
            Record(table, key, changes.version, None)
            for key, row in state.rows.items()
            if key not in listed
            and row.value is not None
            and row.version <= changes.version
        ]
