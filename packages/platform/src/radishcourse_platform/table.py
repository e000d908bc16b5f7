"""Client of the transactional table service."""

import typing
import urllib.parse

import msgspec

from radishcourse_model import decoding
from radishcourse_platform import errors
from radishcourse_platform import http

Value = dict[str, typing.Any]

# A condition on this version requires that the row does not exist.
ABSENT = 0
# Rows on a page of a scan.
SCAN_LIMIT = 1000


class Row(msgspec.Struct, frozen=True):
    """A row.

    Attributes:
      key: Unique in the table.
      value: A JSON object.
      version: 1 for the first write; grows with each later one.
    """

    key: str
    value: Value
    version: int


class Condition(msgspec.Struct, frozen=True):
    """A precondition of a transaction: a row has the given version."""

    key: str
    version: int


class Put(msgspec.Struct, frozen=True):
    """A row to write."""

    key: str
    value: Value


class Transaction(msgspec.Struct, frozen=True):
    """Writes and deletes applied atomically if all conditions hold.

    Attributes:
      conditions: Expected versions of rows.
      puts: Rows to write.
      deletes: Keys of rows to delete.
    """

    conditions: list[Condition] = []
    puts: list[Put] = []
    deletes: list[str] = []


class _Versions(msgspec.Struct):
    versions: dict[str, int]


class _Conflicts(msgspec.Struct):
    conflicts: list[Row]


class _Rows(msgspec.Struct):
    rows: list[Row]


class Table:
    """Reads and writes rows of the table service."""

    def __init__(self, client: http.Client):
        self._client = client

    async def read(self, key: str) -> Row | None:
        """Returns the row, or None if it does not exist.

        Raises:
          Unavailable, ResponseLost: The service did not respond.
        """
        query = urllib.parse.urlencode({'key': key})
        response = await self._client.call('GET', f'/v1/table/row?{query}')
        if response.status == 404:
            return None
        return _decode(response, Row)

    async def scan(
        self, prefix: str, after: str = '', limit: int = SCAN_LIMIT
    ) -> list[Row]:
        """Returns one page of rows, in order of their keys.

        Args:
          prefix: Only rows whose key starts with it.
          after: Only rows whose key sorts after it.
          limit: Number of rows at most.

        Raises:
          Unavailable, ResponseLost: The service did not respond.
        """
        query = urllib.parse.urlencode(
            {'prefix': prefix, 'after': after, 'limit': limit}
        )
        response = await self._client.call('GET', f'/v1/table/rows?{query}')
        return _decode(response, _Rows).rows

    async def transact(self, transaction: Transaction) -> dict[str, int]:
        """Commits a transaction and returns the new version of each row.

        Raises:
          Conflict: A condition did not hold; nothing was written.
          Unavailable: Nothing was written.
          ResponseLost: The transaction may have been committed. The caller
            must read one of its rows to find out: a retry could write twice.
        """
        response = await self._client.call(
            'POST', '/v1/table/transact', msgspec.json.encode(transaction)
        )
        if response.status == 409:
            conflicts = _decode(response, _Conflicts, 409).conflicts
            raise errors.Conflict(tuple(conflicts))
        return _decode(response, _Versions).versions


def _decode(response: http.Response, kind: type, status: int = 200):
    if response.status != status:
        raise errors.UnexpectedResponse(f'unexpected status {response.status}')
    try:
        return msgspec.json.decode(response.body, type=kind)
    except decoding.ERRORS as error:
        raise errors.UnexpectedResponse(
            f'malformed response: {error}'
        ) from error
