"""Rows of leases in the table service."""

import typing
import uuid

import msgspec

from radishcourse_model import ids
from radishcourse_platform import errors
from radishcourse_platform import table

PREFIX = 'lease/'


class Lease(msgspec.Struct, frozen=True):
    """A lease's row.

    Attributes:
      holder: Node that holds it; empty when it was released.
      incarnation: The holder's process.
      epoch: Fencing token; it grows with each change of holder.
      length_s: Seconds for which it is held after each renewal.
      write_id: Unique for each write of the row.
    """

    holder: ids.NodeId
    incarnation: ids.Incarnation
    epoch: ids.Epoch
    length_s: float
    write_id: ids.WriteId = ids.WriteId('')


class VersionedLease(typing.NamedTuple):
    """A lease's row and its version; ABSENT without a row."""

    lease: Lease | None
    version: int


class LeaseRows:
    """Reads and writes the rows of leases."""

    def __init__(self, rows: table.Table):
        self._rows = rows

    async def read(self, name: ids.LeaseName) -> VersionedLease:
        """Returns a lease's row.

        Raises:
          Unavailable, ResponseLost: The platform did not answer.
        """
        return _decode(await self._rows.read(PREFIX + name))

    async def write(
        self, name: ids.LeaseName, lease: Lease, version: int
    ) -> int:
        """Writes a row whose version is still the given one.

        A lost answer is resolved by reading the row: the write took effect
        if the row carries the id of this write.

        Returns:
          The row's new version.

        Raises:
          Conflict: The row has another version; nothing was written.
          Unavailable: Nothing was written.
          ResponseLost: The write may yet take effect.
        """
        lease = msgspec.structs.replace(lease, write_id=uuid.uuid4().hex)
        key = PREFIX + name
        transaction = table.Transaction(
            conditions=[table.Condition(key, version)],
            puts=[table.Put(key, msgspec.to_builtins(lease))],
        )
        try:
            return (await self._rows.transact(transaction))[key]
        except errors.ResponseLost as lost:
            return await self._resolve(key, lease.write_id, lost)

    async def _resolve(self, key, write_id, lost) -> int:
        try:
            row = await self._rows.read(key)
        except errors.PlatformError as error:
            # `Unavailable` would say that the write did not take effect.
            raise lost from error
        if row is None or row.value.get('write_id') != write_id:
            raise lost
        return row.version


def decode_conflict(conflict: errors.Conflict) -> VersionedLease:
    """Returns the row that a write found instead of the expected one.

    Raises:
      ResponseLost: The row is malformed.
    """
    return _decode(conflict.rows[0])


def _decode(row: table.Row | None) -> VersionedLease:
    if row is None or row.version == table.ABSENT:
        return VersionedLease(None, table.ABSENT)
    try:
        return VersionedLease(msgspec.convert(row.value, Lease), row.version)
    except msgspec.ValidationError as error:
        raise errors.ResponseLost(f'malformed lease: {error}') from error
