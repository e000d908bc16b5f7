"""Rows as nodes send them to each other."""

import functools
import zlib

from radishcourse_gateway import records
from radishcourse_wire import errors as wire_errors
from radishcourse_wire.gen.peer import ttypes

# Rows whose packed form is kept, so that it is made once for many askers.
MAX_CACHED_ROWS = 2048


def table_of(topic: str) -> records.Table | None:
    """Returns the table of a topic, None for one that is not known here."""
    try:
        return records.Table(topic)
    except ValueError:
        # A newer version of the program follows more tables.
        return None


def encode(record: records.Record) -> ttypes.RowRecord:
    """Returns a row as it is sent."""
    value = record.value
    return ttypes.RowRecord(
        record.table.value,
        record.key,
        record.version,
        None if value is None else _compress(value),
    )


@functools.lru_cache(MAX_CACHED_ROWS)
def _compress(value: bytes) -> bytes:
    return zlib.compress(value)


def decode(table: records.Table, row: ttypes.RowRecord) -> records.Record:
    """Returns a row that was sent.

    Raises:
      Malformed: Its value can not be unpacked.
    """
    try:
        value = None if row.value is None else zlib.decompress(row.value)
    except zlib.error as error:
        raise wire_errors.Malformed(f'row {row.key}: {error}') from error
    return records.Record(table, row.key, row.version, value)
