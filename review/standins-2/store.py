"""Stand-in for the platform's store (PROTOCOL.md), for the review's scripts.

Rows, transactions and the change feed, without faults. Control calls, which
the system never makes, are for the script (`put`, `rows`) and for workers
(`beat`, `leave`). An entry of a worker expires after three status report
intervals of silence.
"""

import asyncio
import base64
import json
import sys
import time
import urllib.parse

EXPIRE_INTERVALS = 3


class Store:
    """The rows and their history.

    Args:
      heartbeat_s: Status report interval of workers.
    """

    def __init__(self, heartbeat_s: float):
        self._heartbeat_s = heartbeat_s
        self._rows: dict[tuple[str, str, str], dict] = {}
        self._version = 0
        self._changed = asyncio.Event()
        self._beats: dict[str, float] = {}

    def _write(self, table: str, part: str, key: str, value: bytes | None):
        self._version += 1
        row = {'table': table, 'part': part, 'key': key, 'ver': self._version}
        if value is None:
            row['deleted'] = True
        else:
            row['value'] = base64.b64encode(value).decode()
        self._rows[table, part, key] = row
        self._changed.set()
        self._changed = asyncio.Event()

    def _live(self, name: tuple[str, str, str]) -> dict | None:
        row = self._rows.get(name)
        return None if row is None or row.get('deleted') else row

    def _reply(self, rows: list[dict], **fields) -> dict:
        now_ms = int(1000 * time.monotonic())
        return {'rows': rows, 'ver': self._version, 'nowMs': now_ms, **fields}

    async def get(self, query: dict) -> tuple[int, dict]:
        """Returns rows of a table in the order of their keys."""
        table, part = query['table'], query.get('part', '')
        first, last = query.get('from', ''), query.get('to')
        limit = min(500, int(query.get('limit', 500)))
        rows = [
            row
            for (t, p, key), row in sorted(self._rows.items())
            if (t, p) == (table, part)
            and key >= first
            and (last is None or key < last)
            and not row.get('deleted')
        ]
        return 200, self._reply(rows[:limit], morePages=len(rows) > limit)

    async def feed(self, query: dict) -> tuple[int, dict]:
        """Returns changes of a table, as soon as there is one."""
        since = int(query.get('sinceRev', 0))
        until = time.monotonic() + int(query.get('waitMs', 0)) / 1000
        while True:
            rows = [
                row
                for row in self._rows.values()
                if row['table'] == query['table'] and row['ver'] > since
            ]
            left = until - time.monotonic()
            if rows or left <= 0:
                rows.sort(key=lambda row: row['ver'])
                return 200, self._reply(rows)
            try:
                await asyncio.wait_for(self._changed.wait(), left)
            except TimeoutError:
                continue

    async def transact(self, body: dict) -> tuple[int, dict]:
        """Applies all entries of a transaction or none."""
        for row in body.get('writes', []) + body.get('remove', []):
            if row['table'] in ('op', 'servers'):
                return 403, {'error': 'the system may not write here'}
        expected = body.get('expectRev', [])
        names = [(r['table'], r.get('part', ''), r['key']) for r in expected]
        current = [self._live(name) for name in names]
        if any(
            (row['ver'] if row else 0) != wanted['ver']
            for row, wanted in zip(current, expected, strict=True)
        ):
            return 412, self._reply([row for row in current if row])
        for row in body.get('writes', []):
            value = base64.b64decode(row['value'])
            self._write(row['table'], row.get('part', ''), row['key'], value)
        for row in body.get('remove', []):
            self._write(row['table'], row.get('part', ''), row['key'], None)
        return 200, self._reply([])

    async def put(self, body: dict) -> tuple[int, dict]:
        """Writes a row of the operator; a value of None removes it."""
        value = body['value']
        data = None if value is None else json.dumps(value).encode()
        self._write(body['table'], '', body['key'], data)
        return 200, self._reply([])

    async def beat(self, body: dict) -> tuple[int, dict]:
        """Takes the status report of a worker."""
        name = ('servers', '', body['id'])
        self._beats[body['id']] = time.monotonic()
        data = json.dumps(body['entry']).encode()
        row = self._live(name)
        if row is None or base64.b64decode(row['value']) != data:
            self._write(*name, data)
        return 200, self._reply([])

    async def leave(self, body: dict) -> tuple[int, dict]:
        """Removes the entry of a worker that has left."""
        self._beats.pop(body['id'], None)
        self._write('servers', '', body['id'], None)
        return 200, self._reply([])

    async def rows(self, query: dict) -> tuple[int, dict]:
        """Returns all rows, for the script."""
        del query
        return 200, self._reply(list(self._rows.values()))

    async def expire(self) -> None:
        """Removes entries of silent workers until cancelled."""
        while True:
            await asyncio.sleep(0.1)
            limit = time.monotonic() - EXPIRE_INTERVALS * self._heartbeat_s
            for name in [n for n, at in self._beats.items() if at < limit]:
                del self._beats[name]
                self._write('servers', '', name, None)


async def _serve(store: Store, reader, writer) -> None:
    calls = {
        ('GET', '/v1/rows-get'): store.get,
        ('GET', '/v1/rows-feed'): store.feed,
        ('POST', '/v1/rows-tx'): store.transact,
        ('POST', '/control/put'): store.put,
        ('POST', '/control/beat'): store.beat,
        ('POST', '/control/leave'): store.leave,
        ('GET', '/control/rows'): store.rows,
    }
    try:
        while head := await reader.readuntil(b'\r\n\r\n'):
            lines = head.decode('latin-1').split('\r\n')
            method, target, _ = lines[0].split(' ')
            length = 0
            for line in lines[1:]:
                name, _, value = line.partition(':')
                if name.lower() == 'content-length':
                    length = int(value)
            body = await reader.readexactly(length)
            path, _, query = target.partition('?')
            call = calls.get((method, path))
            argument = dict(urllib.parse.parse_qsl(query))
            if method == 'POST':
                argument = json.loads(body)
            status, reply = 404, {'error': 'no such call'}
            if call is not None:
                status, reply = await call(argument)
            data = json.dumps(reply).encode()
            writer.write(
                f'HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n'
                f'Content-Length: {len(data)}\r\n\r\n'.encode()
                + data
            )
            await writer.drain()
    except (OSError, asyncio.IncompleteReadError):
        pass
    finally:
        writer.close()


async def main(host: str, port: str, heartbeat_s: str) -> None:
    """Serves until the process is ended."""
    store = Store(float(heartbeat_s))
    server = await asyncio.start_server(
        lambda reader, writer: _serve(store, reader, writer), host, int(port)
    )
    async with server:
        await store.expire()


if __name__ == '__main__':
    asyncio.run(main(*sys.argv[1:]))
