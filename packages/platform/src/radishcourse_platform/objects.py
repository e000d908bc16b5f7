"""Client of the object store."""

import urllib.parse

from radishcourse_platform import errors
from radishcourse_platform import http


class ObjectStore:
    """Reads and writes whole objects by key."""

    def __init__(self, client: http.Client):
        self._client = client

    async def read(self, key: str) -> bytes | None:
        """Returns the object, or None if it does not exist.

        Raises:
          Unavailable, ResponseLost: The store did not respond.
        """
        response = await self._client.call('GET', _path(key))
        if response.status == 404:
            return None
        if response.status != 200:
            raise errors.UnexpectedResponse(
                f'unexpected status {response.status}'
            )
        return response.body

    async def write(self, key: str, body: bytes) -> None:
        """Writes an object; retrying with the same bytes is safe.

        Raises:
          Unavailable, ResponseLost: The store did not respond.
        """
        response = await self._client.call('PUT', _path(key), body)
        if response.status != 200:
            raise errors.UnexpectedResponse(
                f'unexpected status {response.status}'
            )


def _path(key: str) -> str:
    return '/v1/object?' + urllib.parse.urlencode({'key': key})
