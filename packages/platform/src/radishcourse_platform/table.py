"""Client of the transactional table service."""

import typing
import urllib.parse

import msgspec

from radishcourse_platform import errors
from radishcourse_platform import http

Value = dict[str, typing.Any]

# A condition on this version means that the row must not exist.
ABSENT = 0
SCAN_LIMIT = 1000


class Row(msgspec.Struct, frozen=True):
    """A row; `version` starts at 1 and grows with each write."""

    key: str
    value: Value
    version: int


class Condition(msgspec.Struct, frozen=True):
    """What must hold for a transaction: the version of a row."""

    key: str
    version: int


class Put(msgspec.Struct, frozen=True):
    """A row to be written."""

    key: str
    value: Value


class Transaction(msgspec.Struct, frozen=True):
    """Writes that take effect together, if all conditions hold."""

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
        """Returns the row, or None where there is none.

        Raises:
          Unavailable, ResponseLost: The service did not answer.
        """
        query = urllib.parse.urlencode({'key': key})
        response = await self._client.call('GET', f'/v1/table/row?{query}')
        if response.status == 404:
            return None
        return _decode(response, Row)

    async def scan(
        self, prefix: str, after: str = '', limit: int = SCAN_LIMIT
    ) -> list[Row]:
        """Returns up to `limit` rows by key that come after `after`.

        Raises:
          Unavailable, ResponseLost: The service did not answer.
        """
        query = urllib.parse.urlencode(
            {'prefix': prefix, 'after': after, 'limit': limit}
        )
        response = await self._client.call('GET', f'/v1/table/rows?{query}')
        return _decode(response, _Rows).rows

    async def transact(self, transaction: Transaction) -> dict[str, int]:
        """Writes a transaction and returns the new version of each row.

        Raises:
          Conflict: A condition did not hold; nothing was written.
          Unavailable: Nothing was written.
          ResponseLost: The transaction may have been written. The caller
            reads a row of it to tell; a blind repeat could write twice.
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
    except msgspec.MsgspecError as error:
        raise errors.UnexpectedResponse(f'malformed answer: {error}') from error
