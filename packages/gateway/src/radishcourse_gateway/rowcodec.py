"""Encodes and decodes rows for the exchange between nodes."""

import functools
import zlib

from radishcourse_gateway import records
from radishcourse_policy import position as positions
from radishcourse_wire import errors as wire_errors
from radishcourse_wire.gen.peer import ttypes

# Compressed values that are cached, as many peers ask for the same rows.
MAX_CACHED_ROWS = 2048


def table_of(topic: str) -> records.Table | None:
    """Returns the table of a topic, None for an unknown one."""
    try:
        return records.Table(topic)
    except ValueError:
        # Sent by a newer version of the program that follows more tables.
        return None


def encode(record: records.Record) -> ttypes.RowRecord:
    """Returns a row as a thrift record with a compressed value."""
    value = record.value
    return ttypes.RowRecord(
        record.table.value,
        record.key,
        record.position.version,
        None if value is None else _compress(value),
        record.revision,
        record.position.era or None,
    )


@functools.lru_cache(MAX_CACHED_ROWS)
def _compress(value: bytes) -> bytes:
    return zlib.compress(value)


def decode(table: records.Table, row: ttypes.RowRecord) -> records.Record:
    """Returns a row from a thrift record.

    Raises:
      Malformed: Its value can't be decompressed.
    """
    try:
        value = None if row.value is None else zlib.decompress(row.value)
    except zlib.error as error:
        raise wire_errors.Malformed(f'row {row.key}: {error}') from error
    return records.Record(table, row.key, position_of(row), value, row.revision)


def position_of(
    item: ttypes.RowRecord | ttypes.TopicState,
) -> positions.Position:
    """Returns the position of a row or a table in a message."""
    return positions.Position(item.era or 0, item.version or 0)
