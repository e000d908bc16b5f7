"""Stand-in for the platform: table, object store and VM list, with faults.

`POST /control/faults` sets a fault; `GET /control/counts` returns the numbers
of reads, writes and requests refused by the rate limit.
"""

import enum
import random

import anyio
import fire
import msgspec

from radishcourse_platform import table
from radishcourse_platform import vms
from radishcourse_standins import asgi


class Mode(enum.Enum):
    """How the platform behaves.

    DOWN answers 503, HANG never answers, SLOW delays each answer,
    LOSE_ANSWERS performs writes without answering, STALE_READS returns the
    previous version of a row.
    """

    UP = 'up'
    DOWN = 'down'
    HANG = 'hang'
    SLOW = 'slow'
    LOSE_ANSWERS = 'lose_answers'
    STALE_READS = 'stale_reads'


class Faults(msgspec.Struct):
    """The active fault.

    Attributes:
      mode: Kind of fault.
      delay_ms: Delay of each answer in SLOW mode.
      probability: Share of writes without an answer in LOSE_ANSWERS mode, or
        of stale row reads in STALE_READS mode.
    """

    mode: Mode = Mode.UP
    delay_ms: int = 0
    probability: float = 1.0


class RateLimit:
    """A token bucket that holds one second's tokens and refills steadily.

    Args:
      per_second: Tokens per second.
    """

    def __init__(self, per_second: float):
        self._per_second = per_second
        self._tokens = per_second
        self._updated_at = anyio.current_time()

    def take(self) -> bool:
        """Takes one token; returns False if none is left."""
        now = anyio.current_time()
        refill = (now - self._updated_at) * self._per_second
        self._tokens = min(self._per_second, self._tokens + refill)
        self._updated_at = now
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


class Store:
    """Rows, objects and VMs, in memory.

    Attributes:
      rows: Current rows by key.
      previous: The version of a row before its current one, by key.
      objects: Bodies of objects by key.
      vms: VM list.
    """

    def __init__(self):
        self.rows: dict[str, table.Row] = {}
        self.previous: dict[str, table.Row] = {}
        self.objects: dict[str, bytes] = {}
        self.vms: list[vms.Vm] = []
        # A row that is created again continues the versions of the deleted
        # one, so that a condition on an old version does not hold for it.
        self._last_versions: dict[str, int] = {}

    def conflicts(self, transaction: table.Transaction) -> list[table.Row]:
        """Returns the current rows whose version condition does not hold."""
        found = []
        for condition in transaction.conditions:
            row = self.rows.get(condition.key)
            version = row.version if row else table.ABSENT
            if version != condition.version:
                found.append(row or table.Row(condition.key, {}, table.ABSENT))
        return found

    def write(self, transaction: table.Transaction) -> dict[str, int]:
        """Writes a transaction, whose conditions must hold.

        Returns:
          New versions by key of the rows put.
        """
        versions = {}
        for put in transaction.puts:
            version = self._last_versions.get(put.key, 0) + 1
            self._last_versions[put.key] = version
            if put.key in self.rows:
                self.previous[put.key] = self.rows[put.key]
            self.rows[put.key] = table.Row(put.key, put.value, version)
            versions[put.key] = version
        for key in transaction.deletes:
            self.rows.pop(key, None)
        return versions


class Platform:
    """The HTTP interface of the stand-in.

    Args:
      reads: Limit of reads per second.
      writes: Limit of writes per second.
      seed: Seed of the faults that occur with a probability.
    """

    def __init__(self, reads: float, writes: float, seed: int):
        self._store = Store()
        self._faults = Faults()
        self._random = random.Random(seed)
        self._reads = RateLimit(reads)
        self._writes = RateLimit(writes)
        self._counts = {'reads': 0, 'writes': 0, 'refused': 0}
        self.app = asgi.App()
        self._add_routes()

    def _add_routes(self) -> None:
        routes = [
            ('GET', '/v1/table/row', self._read_row),
            ('GET', '/v1/table/rows', self._scan),
            ('GET', '/v1/vms', self._read_vms),
            ('GET', '/v1/object', self._read_object),
            ('POST', '/v1/table/transact', self._transact),
            ('PUT', '/v1/object', self._write_object),
        ]
        for method, path, handler in routes:
            self.app.route(method, path)(self._guard(handler))
        self.app.route('POST', '/control/faults')(self._set_faults)
        self.app.route('POST', '/control/vms')(self._set_vms)
        self.app.route('GET', '/control/counts')(self._get_counts)
        self.app.route('GET', '/control/rows')(self._scan)

    def _guard(self, handler):
        async def guarded(request: asgi.Request) -> asgi.Response:
            writing = _is_write(request)
            limit = self._writes if writing else self._reads
            self._counts['writes' if writing else 'reads'] += 1
            if not limit.take():
                self._counts['refused'] += 1
                return asgi.reply({'error': 'rate limit'}, 429)
            faults = self._faults
            if faults.mode is Mode.DOWN:
                return asgi.reply({'error': 'outage'}, 503)
            if faults.mode is Mode.HANG:
                await anyio.sleep_forever()
            if faults.mode is Mode.SLOW:
                await anyio.sleep(faults.delay_ms / 1000)
            response = await handler(request)
            if (
                writing
                and faults.mode is Mode.LOSE_ANSWERS
                and self._draw_fault()
            ):
                await anyio.sleep_forever()
            return response

        return guarded

    def _draw_fault(self) -> bool:
        return self._random.random() < self._faults.probability

    async def _read_row(self, request: asgi.Request) -> asgi.Response:
        key = request.query.get('key', '')
        row = self._store.rows.get(key)
        if self._faults.mode is Mode.STALE_READS and self._draw_fault():
            row = self._store.previous.get(key, row)
        if row is None:
            return asgi.reply({'error': 'no such row'}, 404)
        return asgi.reply(row)

    async def _scan(self, request: asgi.Request) -> asgi.Response:
        prefix = request.query.get('prefix', '')
        after = request.query.get('after', '')
        limit = int(request.query.get('limit', table.SCAN_LIMIT))
        keys = sorted(
            key
            for key in self._store.rows
            if key.startswith(prefix) and key > after
        )
        rows = [self._store.rows[key] for key in keys[:limit]]
        return asgi.reply({'rows': rows})

    async def _transact(self, request: asgi.Request) -> asgi.Response:
        transaction = request.json(table.Transaction)
        conflicts = self._store.conflicts(transaction)
        if conflicts:
            return asgi.reply({'conflicts': conflicts}, 409)
        return asgi.reply({'versions': self._store.write(transaction)})

    async def _read_object(self, request: asgi.Request) -> asgi.Response:
        body = self._store.objects.get(request.query.get('key', ''))
        if body is None:
            return asgi.reply({'error': 'no such object'}, 404)
        return asgi.Response(200, body)

    async def _write_object(self, request: asgi.Request) -> asgi.Response:
        self._store.objects[request.query.get('key', '')] = request.body
        return asgi.reply({})

    async def _read_vms(self, request: asgi.Request) -> asgi.Response:
        del request
        return asgi.reply({'vms': self._store.vms})

    async def _set_faults(self, request: asgi.Request) -> asgi.Response:
        self._faults = request.json(Faults)
        return asgi.reply(self._faults)

    async def _set_vms(self, request: asgi.Request) -> asgi.Response:
        self._store.vms = request.json(list[vms.Vm])
        return asgi.reply({})

    async def _get_counts(self, request: asgi.Request) -> asgi.Response:
        del request
        return asgi.reply(self._counts)


def _is_write(request: asgi.Request) -> bool:
    """Returns whether a request writes.

    A transaction with conditions only counts as a read, for rate limits and
    faults too.
    """
    if request.path != '/v1/table/transact':
        return request.method != 'GET'
    transaction = request.json(table.Transaction)
    return bool(transaction.puts or transaction.deletes)


def serve(
    host: str = '127.0.0.1',
    port: int = 9000,
    reads: float = 2000,
    writes: float = 400,
    seed: int = 1,
) -> None:
    """Serves the stand-in; `reads` and `writes` are limits per second."""

    async def main() -> None:
        platform = Platform(reads, writes, seed)
        await asgi.serve(platform.app, host, port)

    anyio.run(main)


if __name__ == '__main__':
    fire.Fire(serve)
