"""Stand-in for the store of the users' platform: rows and a change feed."""

import base64
import enum
import random

import anyio
import fire
import msgspec

from radishcourse_standins import asgi

HANG_S = 60.0
# Tables whose authors write their rows again after a restore.
AUTHORED_TABLES = ('op', 'servers')


class Mode(enum.Enum):
    """How the store answers.

    BUSY answers 503, HANG answers after 60 s, LOSE performs a transaction and
    closes the connection without an answer.
    """

    UP = 'up'
    BUSY = 'busy'
    HANG = 'hang'
    LOSE = 'lose'


class Row(msgspec.Struct, omit_defaults=True):
    """A row as requests and replies carry it.

    Attributes:
      table: Table of the row.
      key: Key within the table.
      ver: Store version at which the row was last written; 0 if absent.
      value: Value in base64, or None.
      part: Not used by the stand-in.
      deleted: Whether the row was deleted at this version.
    """

    table: str
    key: str
    ver: int = 0
    value: str | None = None
    part: str = ''
    deleted: bool = False


class _Transaction(msgspec.Struct, rename='camel'):
    expect_rev: list[Row] = []
    writes: list[Row] = []
    remove: list[Row] = []


class _Put(msgspec.Struct):
    table: str
    key: str
    value: object = None


class _Restore(msgspec.Struct):
    """A restore that `POST /control/restore` begins.

    Attributes:
      age_s: Age of the copy that the store comes back from.
      down_s: Time for which the store refuses requests before.
      rewrite_s: Time from its return until lost rows have been written again by
        their authors, at most.
      seed: Seed of the order and the times at which they are.
    """

    age_s: float
    down_s: float = 0.5
    rewrite_s: float = 1.0
    seed: int = 0


class Faults(msgspec.Struct):
    """Faults that `POST /control/faults` sets.

    Attributes:
      mode: How the store answers.
      refused: Addresses in `x-forwarded-for` that always get 503.
    """

    mode: Mode = Mode.UP
    refused: list[str] = []


class Store:
    """The HTTP interface of the stand-in."""

    def __init__(self):
        self._rows: dict[tuple[str, str], Row] = {}
        self._version = 0
        self._compacted_version = 0
        self._changed = anyio.Event()
        self._faults = Faults()
        self._calls = 0
        self._era = 1
        # All writes with their times, to make copies from.
        self._log: list[tuple[float, Row]] = []
        # Rows written in this era.
        self._written: set[tuple[str, str]] = set()
        self.app = asgi.App()
        for method, path, handler in (
            ('GET', '/v1/rows-get', self._get),
            ('GET', '/v1/rows-feed', self._feed),
            ('POST', '/v1/rows-tx', self._transact),
            ('POST', '/control/put', self._put),
            ('POST', '/control/faults', self._set_faults),
            ('POST', '/control/compact', self._compact),
            ('POST', '/control/restore', self._restore),
            ('GET', '/control/rows', self._list),
        ):
            self.app.route(method, path)(handler)

    async def _apply_faults(
        self, request: asgi.Request
    ) -> asgi.Response | None:
        self._calls += 1
        refused = request.headers.get('x-forwarded-for') in self._faults.refused
        if self._faults.mode is Mode.BUSY or refused:
            return self._refuse('busy', 503)
        if self._faults.mode is Mode.HANG:
            await anyio.sleep(HANG_S)
        return None

    def _refuse(self, error: str, status: int) -> asgi.Response:
        return asgi.reply({'error': error}, status, store_era=str(self._era))

    def _make_reply(self, rows: list[Row], status: int = 200) -> asgi.Response:
        return asgi.reply(
            {
                'rows': rows,
                'morePages': False,
                'ver': self._version,
                'nowMs': int(1000 * anyio.current_time()),
            },
            status,
            store_era=str(self._era),
        )

    async def _get(self, request: asgi.Request) -> asgi.Response:
        if refusal := await self._apply_faults(request):
            return refusal
        start = request.query.get('from', '')
        limit = int(request.query.get('limit', '500'))
        rows = [
            row
            for (table, key), row in sorted(self._rows.items())
            if table == request.query['table']
            and key >= start
            and not row.deleted
        ]
        return self._make_reply(rows[:limit])

    async def _feed(self, request: asgi.Request) -> asgi.Response:
        if refusal := await self._apply_faults(request):
            return refusal
        since = int(request.query['sinceRev'])
        if not self._compacted_version <= since <= self._version:
            return self._refuse('history is gone', 410)
        era = self._era
        with anyio.move_on_after(int(request.query['waitMs']) / 1000):
            while not self._rows_after(request.query['table'], since):
                await self._changed.wait()
        if era != self._era:
            raise asgi.DropConnection
        return self._make_reply(self._rows_after(request.query['table'], since))

    def _rows_after(self, table: str, since: int) -> list[Row]:
        rows = [
            row
            for row in self._rows.values()
            if row.table == table and row.ver > since
        ]
        return sorted(rows, key=lambda row: row.ver)

    async def _transact(self, request: asgi.Request) -> asgi.Response:
        if refusal := await self._apply_faults(request):
            return refusal
        transaction = request.json(_Transaction)
        for row in transaction.expect_rev:
            current = self._rows.get((row.table, row.key))
            actual = current.ver if current and not current.deleted else 0
            if actual != row.ver:
                return self._make_reply([current] if current else [], 412)
        self._version += 1
        for row in transaction.writes:
            self._write(row.table, row.key, row.value)
        for row in transaction.remove:
            self._write(row.table, row.key, None)
        if self._faults.mode is Mode.LOSE:
            raise asgi.DropConnection
        return self._make_reply([])

    def _write(self, table: str, key: str, value: str | None) -> None:
        row = Row(table, key, self._version, value, deleted=value is None)
        self._rows[(table, key)] = row
        self._log.append((anyio.current_time(), row))
        self._written.add((table, key))
        self._changed.set()
        self._changed = anyio.Event()

    async def _put(self, request: asgi.Request) -> asgi.Response:
        put = request.json(_Put)
        self._version += 1
        value = None
        if isinstance(put.value, str):
            # Text is stored unencoded, so that tests can make invalid rows.
            value = base64.b64encode(put.value.encode()).decode()
        elif put.value is not None:
            value = base64.b64encode(msgspec.json.encode(put.value)).decode()
        self._write(put.table, put.key, value)
        return self._make_reply([])

    async def _set_faults(self, request: asgi.Request) -> asgi.Response:
        self._faults = request.json(Faults)
        return asgi.reply({})

    async def _compact(self, request: asgi.Request) -> asgi.Response:
        del request
        self._compacted_version = self._version
        return asgi.reply({})

    async def _restore(self, request: asgi.Request) -> asgi.Response:
        """Comes back from a copy after a time without service."""
        restore = request.json(_Restore)
        copied_at = anyio.current_time() - restore.age_s
        before, self._faults = self._faults, Faults(mode=Mode.BUSY)
        self._drop_waiting()
        await anyio.sleep(restore.down_s)
        lost = self._return_to(copied_at)
        self._faults = before
        await self._write_again(lost, restore)
        return asgi.reply({'lost': len(lost), 'era': self._era})

    def _drop_waiting(self) -> None:
        self._changed.set()
        self._changed = anyio.Event()

    def _return_to(self, copied_at: float) -> list[Row]:
        """Drops what was written since; returns the newest of these rows."""
        kept = [item for item in self._log if item[0] <= copied_at]
        written = dict(self._rows)
        self._log = kept
        self._rows = {(row.table, row.key): row for _, row in kept}
        self._version = max((row.ver for _, row in kept), default=0)
        self._compacted_version = min(self._compacted_version, self._version)
        self._era += 1
        self._written = set()
        self._drop_waiting()
        return [
            row
            for name, row in written.items()
            if row.table in AUTHORED_TABLES and self._rows.get(name) != row
        ]

    async def _write_again(self, lost: list[Row], restore: _Restore) -> None:
        """Writes lost rows as their authors do, unless they have changed."""
        source, era = random.Random(restore.seed), self._era
        source.shuffle(lost)
        for row in lost:
            await anyio.sleep(source.uniform(0, restore.rewrite_s / len(lost)))
            if era != self._era or (row.table, row.key) in self._written:
                continue
            self._version += 1
            self._write(row.table, row.key, row.value)

    async def _list(self, request: asgi.Request) -> asgi.Response:
        del request
        return asgi.reply(
            {'rows': list(self._rows.values()), 'calls': self._calls}
        )


def main(port: int, host: str = '127.0.0.1') -> None:
    """Serves the stand-in."""
    anyio.run(asgi.serve, Store().app, host, port)


if __name__ == '__main__':
    fire.Fire(main)
