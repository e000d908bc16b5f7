"""A stand-in of the platform's store: rows with versions, in memory."""

import asyncio
import base64
import http
import json
import sys
import time
import urllib.parse

# Tables that only the operator and the workers write.
_PROTECTED = ('op', 'servers')
_PAGE_ROWS = 500


class Store:
    """The rows, and the calls on them."""

    def __init__(self):
        self._rows: dict[tuple[str, str, str], dict] = {}
        self._version = 0
        self._changed = asyncio.Event()

    def _reply(self, **fields) -> dict:
        now_ms = int(1000 * time.monotonic())
        return {'ver': self._version, 'nowMs': now_ms, **fields}

    def _of_table(self, table: str) -> list[dict]:
        rows = [row for key, row in self._rows.items() if key[0] == table]
        return sorted(rows, key=lambda row: row['key'].encode())

    def get(self, query: dict[str, str]) -> dict:
        """Returns the rows of a range of keys."""
        first, last = query.get('from', ''), query.get('to')
        limit = min(_PAGE_ROWS, int(query.get('limit', _PAGE_ROWS)))
        rows = [
            row
            for row in self._of_table(query['table'])
            if row['part'] == query.get('part', '')
            and not row.get('deleted')
            and row['key'] >= first
            and (last is None or row['key'] < last)
        ]
        return self._reply(rows=rows[:limit], morePages=len(rows) > limit)

    async def feed(self, query: dict[str, str]) -> dict:
        """Returns the rows that have changed since a version."""
        since = int(query['sinceRev'])
        until = time.monotonic() + int(query['waitMs']) / 1000
        while True:
            rows = [
                row
                for row in self._of_table(query['table'])
                if row['ver'] > since
            ]
            left_s = until - time.monotonic()
            if rows or left_s <= 0:
                rows.sort(key=lambda row: row['ver'])
                return self._reply(rows=rows)
            try:
                await asyncio.wait_for(self._changed.wait(), left_s)
            except TimeoutError:
                continue

    def transact(self, body: dict, trusted: bool) -> tuple[int, dict]:
        """Writes and removes rows under a condition."""
        changes = [*body.get('writes', ()), *body.get('remove', ())]
        if not trusted and any(row['table'] in _PROTECTED for row in changes):
            return http.HTTPStatus.FORBIDDEN, {}
        expected = body.get('expectRev', ())
        current = [self._find(_key(row)) for row in expected]
        if any(
            row['ver'] != (known['ver'] if known else 0)
            for row, known in zip(expected, current, strict=True)
        ):
            return http.HTTPStatus.PRECONDITION_FAILED, self._reply(
                rows=[known for known in current if known]
            )
        self._version += 1
        for row in body.get('writes', ()):
            self._put(_key(row), value=row['value'])
        for row in body.get('remove', ()):
            if self._find(_key(row)):
                self._put(_key(row), deleted=True)
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()
        return http.HTTPStatus.OK, self._reply()

    def _find(self, key) -> dict | None:
        row = self._rows.get(key)
        return None if row is None or row.get('deleted') else row

    def _put(self, key, **fields) -> None:
        names = dict(zip(('table', 'part', 'key'), key, strict=True))
        self._rows[key] = {**names, 'ver': self._version, **fields}

    async def answer(self, method, target, headers, body) -> tuple[int, dict]:
        """Returns the status and the body for a call."""
        path, _, text = target.partition('?')
        query = dict(urllib.parse.parse_qsl(text))
        if (method, path) == ('GET', '/v1/rows-get'):
            return http.HTTPStatus.OK, self.get(query)
        if (method, path) == ('GET', '/v1/rows-feed'):
            return http.HTTPStatus.OK, await self.feed(query)
        if (method, path) == ('POST', '/v1/rows-tx'):
            trusted = headers.get('x-writer') == 'platform'
            return self.transact(json.loads(body), trusted)
        return http.HTTPStatus.NOT_FOUND, {}

    async def serve(self, reader, writer) -> None:
        """Serves one connection."""
        try:
            while True:
                head = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1')
                first, *lines = head.strip().split('\r\n')
                method, target, _ = first.split(' ')
                pairs = (line.partition(':') for line in lines)
                headers = {k.lower(): v.strip() for k, _, v in pairs}
                length = int(headers.get('content-length', 0))
                body = await reader.readexactly(length)
                status, reply = await self.answer(method, target, headers, body)
                data = json.dumps(reply).encode()
                writer.write(
                    f'HTTP/1.1 {int(status)} X\r\n'
                    f'Content-Type: application/json\r\n'
                    f'Content-Length: {len(data)}\r\n\r\n'.encode()
                    + data
                )
                await writer.drain()
        except (asyncio.IncompleteReadError, OSError):
            pass
        finally:
            writer.close()


def _key(row: dict) -> tuple[str, str, str]:
    return row['table'], row.get('part', ''), row['key']


def encode_value(value: object) -> str:
    """Returns a row's value as the store keeps it."""
    return base64.b64encode(json.dumps(value).encode()).decode()


async def _main(address: str) -> None:
    host, _, port = address.rpartition(':')
    server = await asyncio.start_server(Store().serve, host, int(port))
    async with server:
        await server.serve_forever()


if __name__ == '__main__':
    asyncio.run(_main(sys.argv[1]))
