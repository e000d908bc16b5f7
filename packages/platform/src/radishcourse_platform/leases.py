"""Leases stored as rows of the table service."""

import typing
import uuid

import msgspec

from radishcourse_model import ids
from radishcourse_platform import errors
from radishcourse_platform import table

PREFIX = 'lease/'


class Lease(msgspec.Struct, frozen=True):
    """Value of a lease's row.

    Attributes:
      holder: Node that holds the lease; empty after a release.
      incarnation: Process of the holder that wrote the row.
      epoch: Fencing token; grows with each change of holder.
      length_s: Seconds that the lease lasts after each renewal.
      write_id: Unique for each write of the row.
    """

    holder: ids.NodeId
    incarnation: ids.Incarnation
    epoch: ids.Epoch
    length_s: float
    write_id: ids.WriteId = ids.WriteId('')


class VersionedLease(typing.NamedTuple):
    """A lease and its row's version; None and ABSENT without a row."""

    lease: Lease | None
    version: int


class LeaseRows:
    """Reads and writes the rows of leases."""

    def __init__(self, rows: table.Table):
        self._rows = rows

    async def read(self, name: ids.LeaseName) -> VersionedLease:
        """Returns a lease with the version of its row.

        Raises:
          Unavailable, ResponseLost: The platform did not respond.
        """
        return _decode(await self._rows.read(PREFIX + name))

    async def write(
        self, name: ids.LeaseName, lease: Lease, version: int
    ) -> int:
        """Writes a lease if its row still has the given version.

        When the response is lost, the row is read again: the write took
        effect if the row carries this write's id.

        Args:
          name: The lease's name.
          lease: The new value; its `write_id` is set here.
          version: Expected version of the row, ABSENT to create it.

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
            # Raising `Unavailable` would claim that nothing was written.
            raise lost from error
        if row is None or row.value.get('write_id') != write_id:
            raise lost
        return row.version


def decode_conflict(conflict: errors.Conflict) -> VersionedLease:
    """Returns the lease that a failed write found in place.

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
