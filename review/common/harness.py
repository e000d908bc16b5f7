"""A small deployment on loopback addresses: platform, workers, gateways.

The platform's store and the clients run in the script's own process. Gateways
are started as the deploy file says, workers by `worker.py`.
"""

import asyncio
import base64
import collections
import contextlib
import itertools
import json
import os
import pathlib
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
WORKER = pathlib.Path(__file__).with_name('worker.py')
HOST = 'site.example'
ZONES = ('zone-a', 'zone-b', 'zone-c', 'zone-d')
HEARTBEAT_S = 1.2
STORE_DELAY_S = 0.004
START_TIMEOUT_S = 20.0
FIRST_PORT = 12_000
LAST_PORT = 32_000
BOUNDS = {
    'seedLagS': 3,
    'addrReuseS': 2,
    'contactMs': 3000,
    'ackMs': 4000,
    'syncS': 4,
    'drainMs': 2000,
    'graceS': 8,
    'lossSlackMs': 200,
    'configApplyMs': 2000,
    'rollbackSlackMs': 250,
    'stretchMaxMs': 5000,
    'strictRevoke': False,
    'revokeMs': 5000,
    'budgetRatio': 0.9,
    'budgetWindowS': 10,
    'retrySlack': 56,
    'exposeShare': 0.15,
    'exposeSlack': 30,
    'rollbackMs': 5000,
    'coldExcess': 1.5,
    'coldSlack': 5,
    'evacMs': 5000,
    'recoverS': 12,
    'passMs': 120,
    'reuseWindowS': 6.8,
    'sessionS': 5,
}


def _ports():
    """Yields ports below those that the kernel gives to clients."""
    while True:
        yield from range(FIRST_PORT + 7 * (os.getpid() % 2000), LAST_PORT)


_candidates = _ports()


def free_port(host: str = '127.0.0.1') -> int:
    """Returns a port that is free on a loopback address."""
    for port in _candidates:
        with socket.socket() as probe, contextlib.suppress(OSError):
            probe.bind((host, port))
            return port
    raise CannotRun('no free port')


class Record:
    """Writes what happens to record.txt and to standard output."""

    def __init__(self, folder: pathlib.Path):
        self._file = (folder / 'record.txt').open('w')
        self._start = time.monotonic()

    def note(self, text: str) -> None:
        """Writes one line with the time since the start."""
        self._file.write(f'{time.monotonic() - self._start:9.3f} s  {text}\n')
        self._file.flush()

    def say(self, text: str) -> None:
        """Writes one line, also to standard output."""
        self.note(text)
        print(text, flush=True)


Poll = collections.namedtuple('Poll', 'at gateway call table')


class Platform:
    """The platform's store; each gateway reaches it at an own port.

    Attributes:
      polls: Reads of tables by gateways, in order.
    """

    def __init__(self):
        self._rows: dict[tuple[str, str], tuple[int, bytes | None]] = {}
        self._version = 0
        self._changed = asyncio.Event()
        self.polls: list[Poll] = []

    async def listen(self, gateway: str) -> str:
        """Serves one gateway; returns the address for its settings."""

        async def serve(reader, writer):
            try:
                while await self._serve_call(gateway, reader, writer):
                    pass
            except (OSError, asyncio.IncompleteReadError):
                pass
            finally:
                writer.close()

        port = free_port()
        await asyncio.start_server(serve, '127.0.0.1', port)
        return f'127.0.0.1:{port}'

    def put(self, table: str, key: str, value: object) -> float:
        """Writes a row, None removes it; returns when it is acknowledged."""
        self._version += 1
        data = None if value is None else json.dumps(value).encode()
        self._rows[table, key] = (self._version, data)
        self._changed.set()
        self._changed = asyncio.Event()
        return time.monotonic()

    async def _serve_call(self, gateway, reader, writer) -> bool:
        head = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1')
        first, *lines = head.split('\r\n')
        method, target, _ = first.split(' ')
        pairs = (line.partition(':') for line in lines if line)
        headers = {name.lower(): value.strip() for name, _, value in pairs}
        body = await reader.readexactly(int(headers.get('content-length', '0')))
        path, _, query = target.partition('?')
        fields = dict(urllib.parse.parse_qsl(query))
        await asyncio.sleep(STORE_DELAY_S)
        status, answer = 404, {}
        if path == '/v1/rows-get':
            self._note_poll(gateway, 'get', fields)
            status, answer = 200, self._get(fields)
        elif path == '/v1/rows-feed':
            self._note_poll(gateway, 'feed', fields)
            status, answer = 200, await self._feed(fields)
        elif (method, path) == ('POST', '/v1/rows-tx'):
            status, answer = self._transact(json.loads(body))
        data = json.dumps(answer).encode()
        writer.write(
            b'HTTP/1.1 %d Status\r\nContent-Type: application/json\r\n'
            b'Content-Length: %d\r\n\r\n' % (status, len(data)) + data
        )
        await writer.drain()
        return True

    def _note_poll(self, gateway: str, call: str, fields: dict) -> None:
        self.polls.append(
            Poll(time.monotonic(), gateway, call, fields['table'])
        )

    def _answer(self, rows: list) -> dict:
        return {
            'rows': rows,
            'morePages': False,
            'ver': self._version,
            'nowMs': int(1000 * time.monotonic()),
        }

    @staticmethod
    def _encode(name, row) -> dict:
        version, data = row
        fields = {'table': name[0], 'part': '', 'key': name[1], 'ver': version}
        if data is None:
            return {**fields, 'deleted': True}
        return {**fields, 'value': base64.b64encode(data).decode()}

    def _get(self, fields: dict) -> dict:
        start = fields.get('from', '')
        return self._answer(
            [
                self._encode(name, row)
                for name, row in sorted(self._rows.items())
                if name[0] == fields['table']
                and name[1] >= start
                and row[1] is not None
            ][: int(fields.get('limit', '500'))]
        )

    async def _feed(self, fields: dict) -> dict:
        since = int(fields['sinceRev'])
        until = time.monotonic() + int(fields['waitMs']) / 1000
        while True:
            rows = [
                (row[0], self._encode(name, row))
                for name, row in self._rows.items()
                if name[0] == fields['table'] and row[0] > since
            ]
            left_s = until - time.monotonic()
            if rows or left_s <= 0:
                rows.sort(key=lambda item: item[0])
                return self._answer([row for _, row in rows])
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), left_s)

    def _transact(self, body: dict) -> tuple[int, dict]:
        for row in body.get('expectRev', ()):
            known = self._rows.get((row['table'], row['key']))
            version = known[0] if known and known[1] is not None else 0
            if version != row['ver']:
                return 412, self._answer([])
        for row in body.get('writes', ()):
            value = json.loads(base64.b64decode(row['value']))
            self.put(row['table'], row['key'], value)
        return 200, self._answer([])


class Worker:
    """A worker's process and its entry in the store."""

    _ids = itertools.count(1)

    def __init__(
        self, site: 'Site', service: str, framed: bool = False, **fields
    ):
        self.framed = framed
        self.id = f'i-{next(self._ids):08x}'
        self.service = service
        self.port = free_port()
        self._site = site
        self._fields = fields
        self._state = 'ready'
        self._listed = True
        self._calls = 0
        self._warm_at = 0.0
        self.popen = None
        self.start()

    def start(self) -> None:
        """Starts its process."""
        self.born = int(1000 * time.time())
        self.popen = self._site.start_process(
            [
                sys.executable,
                str(WORKER),
                f'--id={self.id}',
                f'--port={self.port}',
                f'--born={self.born}',
                f'--log={self._site.run_log}',
                *(['--framed'] if self.framed else []),
            ],
            f'worker-{self.id}',
        )

    def write_entry(self) -> float | None:
        """Writes its entry; returns when the store acknowledged it."""
        if not self._listed:
            return None
        self._calls += 1
        return self._site.platform.put(
            'servers',
            self.id,
            {
                'service': self.service,
                'address': f'127.0.0.1:{self.port}',
                'zone': ZONES[0],
                'version': 'v1',
                'slots': 16,
                'state': self._state,
                'coldLeftMs': max(
                    0, int(1000 * (self._warm_at - time.monotonic()))
                ),
                'callSeq': self._calls,
                'born': self.born,
                **self._fields,
            },
        )

    def drain(self) -> float:
        """Reports that it drains; returns when the store acknowledged it."""
        self._state = 'draining'
        return self.write_entry()

    def expire(self) -> float:
        """Removes its entry; returns when that is in force."""
        self._listed = False
        return self._site.platform.put('servers', self.id, None)

    def silence(self) -> None:
        """Ends its status reports."""
        self._listed = False

    def resume(self, cold_s: float = 0.0) -> None:
        """Reports again; it is cold for some seconds."""
        self._listed = True
        self._warm_at = time.monotonic() + cold_s
        self.write_entry()


Answer = collections.namedtuple('Answer', 'status headers body whole')
NO_ANSWER = Answer(0, {}, b'', False)


class Client:
    """A requester with one connection, which it keeps while it can."""

    _ids = itertools.count(1)

    def __init__(self, site: 'Site', gateway: 'Gateway'):
        self._site = site
        self.gateway = gateway
        self._reader = self._writer = None

    async def send(
        self,
        method: str,
        path: str,
        key: str | None = None,
        body: bytes = b'',
        budget_ms: int = 8000,
        **headers,
    ) -> tuple[str, Answer]:
        """Sends one request; returns its id and the answer."""
        request_id = f'{next(self._ids):016x}'
        fields = {
            'Host': HOST,
            'X-Request-Id': request_id,
            'X-Time-Budget-Ms': budget_ms,
            **{
                name.replace('_', '-'): value for name, value in headers.items()
            },
        }
        if key is not None:
            fields['Api-Key'] = key
        if body:
            fields['Content-Length'] = len(body)
        lines = [f'{method} {path} HTTP/1.1']
        lines += [f'{name}: {value}' for name, value in fields.items()]
        data = ('\r\n'.join(lines) + '\r\n\r\n').encode() + body
        self._site.record.note(
            f'sent {request_id} {method} {path} to {self.gateway.name}'
        )
        try:
            async with asyncio.timeout(budget_ms / 1000 + 1):
                answer = await self._exchange(data)
        except (OSError, TimeoutError, asyncio.IncompleteReadError) as error:
            self.close()
            self._site.record.note(f'no answer to {request_id}: {error!r}')
            return request_id, NO_ANSWER
        self._site.record.note(
            f'answer to {request_id}: {answer.status}, {len(answer.body)} B, '
            f'{"whole" if answer.whole else "broken off"}'
        )
        if not answer.whole or answer.headers.get('connection') == 'close':
            self.close()
        return request_id, answer

    async def _exchange(self, data: bytes) -> Answer:
        if self._writer is None:
            host, port = self.gateway.front
            self._reader, self._writer = await asyncio.open_connection(
                host, port, limit=2**22
            )
        self._writer.write(data)
        head = (await self._reader.readuntil(b'\r\n\r\n')).decode('latin-1')
        first, *lines = head.split('\r\n')
        pairs = (line.partition(':') for line in lines if line)
        headers = {name.lower(): value.strip() for name, _, value in pairs}
        status, body = int(first.split(' ')[1]), b''
        try:
            if headers.get('transfer-encoding') == 'chunked':
                while size := int(await self._reader.readline(), 16):
                    body += (await self._reader.readexactly(size + 2))[:-2]
                await self._reader.readline()
            else:
                length = int(headers['content-length'])
                body = await self._reader.readexactly(length)
        except (OSError, ValueError, asyncio.IncompleteReadError):
            return Answer(status, headers, body, False)
        return Answer(status, headers, body, True)

    @property
    def is_open(self) -> bool:
        """Whether it has kept its connection."""
        return self._writer is not None

    @property
    def is_closed_by_gateway(self) -> bool:
        """Whether the gateway has closed the kept connection."""
        return self._writer is None or self._reader.at_eof()

    def close(self) -> None:
        """Closes its connection."""
        if self._writer is not None:
            self._writer.close()
        self._reader = self._writer = None


class Gateway:
    """A gateway's process.

    Attributes:
      name: Its node in the settings.
      polled_as: The name under which the platform records its calls.
      front: Host and port for requesters.
    """

    def __init__(
        self,
        site: 'Site',
        index: int,
        polled_as: str,
        store: str,
        seeds: list[str],
    ):
        self.polled_as = polled_as
        self.name = f'front-{ZONES[index % len(ZONES)]}-{index + 1}'
        self._site = site
        self.ip = f'127.{20 + os.getpid() % 200}.{index + 1}.1'
        self.front = (self.ip, free_port(self.ip))
        self.ready = (self.ip, free_port(self.ip))
        self.control = f'{self.ip}:{free_port(self.ip)}'
        self._settings = site.folder / f'{self.name}.toml'
        self._write_settings(index, store, seeds)
        self.popen = None

    def _write_settings(self, index: int, store: str, seeds) -> None:
        zones = '\n'.join(f'{zone} = "region"' for zone in ZONES)
        bounds = '\n'.join(
            f'{name} = {json.dumps(value)}' for name, value in BOUNDS.items()
        )
        ports = [free_port(self.ip) for _ in range(2)]
        self._settings.write_text(
            f"""
node = "{self.name}"
role = "gateway"
machineClass = "front"
serves = ["front", "control"]
ip = "{self.ip}"
zone = "{ZONES[index % len(ZONES)]}"
region = "region"
portRange = {sorted(ports)}
seeds = {json.dumps(seeds)}
bootstrap = true
countsAsLoss = false
discovery = "platform"
entry = "vip"
heartbeatMs = {int(1000 * HEARTBEAT_S)}
[zones]
{zones}
[listen]
front = "{self.front[0]}:{self.front[1]}"
readiness = "{self.ready[0]}:{self.ready[1]}"
control = "{self.control}"
[limits]
cpuShare = 0.537
cores = 2
memoryMb = 300
maxFds = 4100
linkMbps = 1000.0
diskMb = 0
[faultTolerance]
machines = 2
zones = 1
regions = 0
[bounds]
{bounds}
[platform]
address = "{store}"
form = "table"
writesPerS = 400
readsPerS = 2000
txMs = 5.0
partWritesS = 200
rowBytes = 65536
across = false
historyS = 20
"""
        )

    def start(self) -> None:
        """Starts its process as the deploy file does."""
        environment = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        environment['RADISHCOURSE_NODE_FILE'] = str(self._settings)
        environment['PYTHONPATH'] = 'target/deps'
        self.popen = self._site.start_process(
            ['python3', '-S', '-m', 'radishcourse_adapter'],
            self.name,
            env=environment,
            cwd=ROOT,
        )

    def signal(self, number: signal.Signals) -> None:
        """Sends a signal to its process."""
        self._site.record.note(f'{number.name} to {self.name}')
        self.popen.send_signal(number)

    async def is_ready(self) -> bool:
        """Tells whether it says that it is ready."""
        try:
            async with asyncio.timeout(1):
                reader, writer = await asyncio.open_connection(*self.ready)
                writer.write(
                    b'GET /v1/readiness HTTP/1.1\r\nHost: node\r\n'
                    b'Connection: close\r\n\r\n'
                )
                line = await reader.readline()
                writer.close()
        except (OSError, TimeoutError):
            return False
        return b' 200 ' in line


class Site:
    """A running deployment.

    Args:
      folder: For settings, logs and the workers' record of runs.
      record: The record of the script.
    """

    def __init__(self, folder: pathlib.Path, record: Record):
        self.folder = folder
        self.record = record
        self.run_log = folder / 'runs.jsonl'
        self.run_log.touch()
        self.platform = Platform()
        self.workers: list[Worker] = []
        self.gateways: list[Gateway] = []
        self._processes: list[subprocess.Popen] = []
        self._version = 100

    def start_process(self, arguments, name: str, **options):
        """Starts a process whose output goes to a log file."""
        with (self.folder / f'{name}.log').open('ab') as log:
            popen = subprocess.Popen(
                arguments,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                **options,
            )
        self._processes.append(popen)
        return popen

    def stop(self) -> None:
        """Ends all processes that were started."""
        for popen in self._processes:
            if popen.poll() is None:
                popen.kill()
        for popen in self._processes:
            popen.wait()

    def configure(self, routes, services, tenants) -> float:
        """Writes a manifest; returns when it is acknowledged."""
        self._version += 3
        return self.platform.put(
            'op',
            'config',
            {
                'version': self._version,
                'routes': routes,
                'services': services,
                'limits': {
                    'maxHeaderBytes': 16384,
                    'maxBodyBytes': 4194304,
                    'headerTimeoutMs': 5000,
                    'idleTimeoutMs': 20000,
                },
                'tenants': [
                    {'name': name, 'apiKeys': keys}
                    for name, keys in tenants.items()
                ],
            },
        )

    def add_worker(
        self, service: str, framed: bool = False, **fields
    ) -> Worker:
        """Starts a worker; a framed one marks the end of all its answers."""
        worker = Worker(self, service, framed, **fields)
        self.workers.append(worker)
        worker.write_entry()
        return worker

    async def heartbeats(self) -> None:
        """Writes the workers' entries until cancelled."""
        while True:
            for worker in list(self.workers):
                worker.write_entry()
                await asyncio.sleep(HEARTBEAT_S / max(1, len(self.workers)))

    async def start_gateways(self, count: int) -> None:
        """Starts gateways and waits until all of them are ready."""
        seeds: list[str] = []
        for index in range(count):
            name = f'front-{index}'
            store = await self.platform.listen(name)
            gateway = Gateway(self, index, name, store, seeds[:3])
            seeds.append(gateway.control)
            self.gateways.append(gateway)
        for gateway in self.gateways:
            gateway.start()
        until = time.monotonic() + START_TIMEOUT_S
        for gateway in self.gateways:
            while not await gateway.is_ready():
                if time.monotonic() > until:
                    raise CannotRun(f'{gateway.name} does not become ready')
                await asyncio.sleep(0.1)

    def runs(self) -> list[dict]:
        """Returns what the workers recorded."""
        return [
            json.loads(line) for line in self.run_log.read_text().splitlines()
        ]


class CannotRun(Exception):
    """The case can't be run here."""


def route(name, prefix, kind, service, **fields) -> dict:
    """Returns a route of a manifest."""
    return {
        'name': name,
        'host': HOST,
        'prefix': prefix,
        'kind': kind,
        'service': service,
        'timeoutMs': 8000,
        'goalMs': 1000,
        'priority': 1,
        'maxAttempts': 3,
        'anonymous': False,
        **fields,
    }


def run(case, folder: pathlib.Path) -> int:
    """Runs a case; returns the exit status of its script.

    With KEEP in the environment, settings and logs are copied to that folder.

    Args:
      case: Coroutine function from a `Site` and whether there is trouble to
        whether the rule held.
      folder: The folder of the case.
    """
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    trouble = os.environ.get('TROUBLE', '1') != '0'
    record = Record(folder)
    record.say(f'disruption: {"yes" if trouble else "no"}')

    async def play(site: Site) -> bool:
        beats = asyncio.create_task(site.heartbeats())
        try:
            async with asyncio.timeout(110):
                return await case(site, trouble)
        finally:
            beats.cancel()

    with tempfile.TemporaryDirectory() as name:
        site = Site(pathlib.Path(name), record)
        try:
            held = asyncio.run(play(site))
        except (CannotRun, TimeoutError, OSError) as error:
            record.say(f'could not run: {error!r}')
            return 2
        finally:
            site.stop()
            for item in site.runs():
                record.note(f'worker record: {json.dumps(item)}')
            if keep := os.environ.get('KEEP'):
                shutil.copytree(name, keep, dirs_exist_ok=True)
    record.say('the rule held' if held else 'the rule was broken')
    return 0 if held else 1
