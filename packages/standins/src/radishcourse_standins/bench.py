"""What the node costs beside a bare relay, in the same run.

Both stand in front of the same engine. Processor time is that of the
measured process alone; the ratios are printed last.
"""

import contextlib
import dataclasses
import hashlib
import json
import pathlib
import statistics
import subprocess
import sys
import tempfile
import time
import typing

import anyio
import fire
import httpcore

from radishcourse_standins import demo
from radishcourse_standins import processes

KEY = 'key-of-the-benchmark'
PEER_SECRET = 'a-secret-of-the-benchmark'
ROUNDS = 3
JOBS = 400
JOBS_AT_ONCE = 8
STREAMS_AT_ONCE = 16
TOKENS = 400
PACED_TOKEN_MS = 4
LATENCY_PAIRS = 400
HELD_REQUESTS = 200
SETTLE_S = 1.0
# Targets: at most this many times the relay for each token, and this much
# added latency at the median.
TOKEN_RATIO = 2.0
ADDED_S = 0.003
_LIBRARIES = (
    'anyio,eliot,fire,h11,hdrh.histogram,httpcore,msgspec,thrift,'
    'thrift.protocol.TCompactProtocol,uvicorn,uvicorn.protocols.http.h11_impl,'
    'asyncio'
)


@dataclasses.dataclass
class Target:
    """A measured process and how requests reach the engine through it.

    Attributes:
      process: The process.
      headers: Headers of its requests.
      body: Body of its requests.
      idle_share: Share of a core that it uses without requests, which is
        printed by itself and left out of the cost of a request.
    """

    process: processes.Process
    headers: dict[str, str]
    body: dict[str, typing.Any]
    idle_share: float = 0.0

    def cpu_s(self) -> float:
        """Processor time that the process has used."""
        folder = pathlib.Path(f'/proc/{self.process.popen.pid}/task')
        total = 0
        for task in folder.iterdir():
            total += int((task / 'schedstat').read_text().split()[0])
        return total / 1e9

    def resident_bytes(self) -> int:
        """Resident memory."""
        path = pathlib.Path(f'/proc/{self.process.popen.pid}/status')
        return _resident(path.read_text())

    async def ask(self, pool: httpcore.AsyncConnectionPool, **body) -> bytes:
        """Sends one job and returns the whole answer."""
        response = await pool.request(
            'POST',
            f'{self.process.url}/v1/chat/completions',
            headers=self.headers,
            content=json.dumps({**self.body, **body}).encode(),
        )
        if response.status != 200:
            raise RuntimeError(f'{response.status}: {response.content!r}')
        return response.content


def _resident(text: str) -> int:
    for line in text.splitlines():
        if line.startswith('VmRSS:'):
            return int(line.split()[1]) * 1024
    raise RuntimeError('no VmRSS')


class Bench:
    """Measures a relay and a node in turns."""

    def __init__(self, engine, relay: Target, node: Target):
        self._engine = engine
        self.relay = relay
        self.node = node
        self._pool = httpcore.AsyncConnectionPool(
            max_connections=2 * HELD_REQUESTS
        )

    async def run(self) -> list[str]:
        """Prints the figures and returns the lines with the ratios."""
        self._set(first_token_ms=0, token_ms=0)
        for target in (self.relay, self.node):
            await self._run_jobs(target, JOBS // 4)
        lines = [await self._measure_latency()]
        lines.append(
            await self._measure('unstreamed job', self._run_jobs, JOBS)
        )
        count = TOKENS * STREAMS_AT_ONCE
        for name, token_ms in (('coalesced', 0), ('paced', PACED_TOKEN_MS)):
            self._set(first_token_ms=0, token_ms=token_ms)
            lines.append(
                await self._measure(f'{name} token', self._run_streams, count)
            )
        await self._measure_memory()
        return lines

    def _set(self, **settings) -> None:
        reply = httpcore.request(
            'POST',
            f'{self._engine.url}/control/settings',
            content=json.dumps(settings).encode(),
        )
        assert reply.status == 200, reply.content

    async def _measure(self, name: str, work, count: int) -> str:
        costs: dict[int, list[float]] = {0: [], 1: []}
        for _ in range(ROUNDS):
            for index, target in enumerate((self.relay, self.node)):
                start, began_at = target.cpu_s(), time.perf_counter()
                await work(target, count)
                idle_s = target.idle_share * (time.perf_counter() - began_at)
                cost_s = target.cpu_s() - start - idle_s
                costs[index].append(cost_s / count)
        relay, node = (statistics.median(costs[index]) for index in (0, 1))
        print(f'{name}: relay {relay * 1e6:.1f} us, node {node * 1e6:.1f} us')
        return f'{name}: {node / relay:.2f} x the relay'

    async def _run_jobs(self, target: Target, count: int) -> None:
        async def work() -> None:
            for _ in range(count // JOBS_AT_ONCE):
                await target.ask(self._pool, max_tokens=1)

        await _at_once(JOBS_AT_ONCE, work)

    async def _run_streams(self, target: Target, count: int) -> None:
        tokens = count // STREAMS_AT_ONCE

        async def work() -> None:
            body = await target.ask(self._pool, max_tokens=tokens, stream=True)
            assert body.endswith(b'data: [DONE]\n\n'), body[-300:]

        await _at_once(STREAMS_AT_ONCE, work)

    async def _measure_latency(self) -> str:
        seconds: dict[int, list[float]] = {0: [], 1: []}
        for _ in range(LATENCY_PAIRS):
            for index, target in enumerate((self.relay, self.node)):
                start = time.perf_counter()
                await target.ask(self._pool, max_tokens=1)
                seconds[index].append(time.perf_counter() - start)
        relay, node = (
            statistics.quantiles(seconds[index], n=100) for index in (0, 1)
        )
        for name, place in (('median', 49), ('99th percentile', 98)):
            print(
                f'latency, {name}: relay {relay[place] * 1e3:.2f} ms, '
                f'node {node[place] * 1e3:.2f} ms'
            )
        return (
            f'added latency: {(node[49] - relay[49]) * 1e3:.2f} ms at the '
            f'median, {(node[98] - relay[98]) * 1e3:.2f} ms at the 99th '
            'percentile'
        )

    async def _measure_memory(self) -> None:
        self._set(first_token_ms=3000, token_ms=0)
        before = self.node.resident_bytes()
        async with anyio.create_task_group() as tasks:
            for _ in range(HELD_REQUESTS):
                tasks.start_soon(
                    _call, self.node, self._pool, {'max_tokens': 1}
                )
            await anyio.sleep(SETTLE_S)
            held = self.node.resident_bytes() - before
        print(f'memory of a held request: {held / HELD_REQUESTS / 1024:.1f} KB')


async def _call(target: Target, pool, body) -> None:
    await target.ask(pool, stream=True, **body)


async def _at_once(count: int, work) -> None:
    async with anyio.create_task_group() as tasks:
        for _ in range(count):
            tasks.start_soon(work)


def _document(engine: processes.Process) -> dict:
    digest = hashlib.sha256(KEY.encode()).hexdigest()
    return {
        'organisations': {
            'benchmark': {
                'keys': [f'sha256:{digest}'],
                'allowed': {'m': ['*']},
                'kinds': {'job': {'cascade': 'c'}},
                'limits': {'concurrent': 1000, 'requests_per_second': 100_000},
            }
        },
        'models': {'m': {'versions': {'v1': {'share': 100}}}},
        'cascades': {'c': {'steps': ['m']}},
        'zones': {'a': {}, 'b': {}, 'c': {}},
        'upstreams': {
            'e': {
                'address': engine.address,
                'zone': 'a',
                'slots': 1000,
                'serves': {'m': ['v1']},
            }
        },
    }


@contextlib.contextmanager
def _started():
    with (
        tempfile.TemporaryDirectory() as name,
        processes.started(pathlib.Path(name)) as started,
    ):
        platform = started.stand_in('platform')
        rating = started.stand_in('rating')
        engine = started.stand_in('engine', slots=1000)
        relay = started.stand_in('relay', target=engine.address)
        for process in (platform, rating, engine, relay):
            processes.wait_http(process, '/v1/state', None)
        folder = started.folder / 'config'
        folder.mkdir()
        text = json.dumps(_document(engine))
        (folder / '10-all.json').write_text(text)
        demo.apply(platform, folder)
        nodes = _start_nodes(started, platform, rating)
        for node in nodes:
            processes.wait_http(node, '/readyz')
        yield engine, relay, nodes[0]


def _start_nodes(started, platform, rating) -> list[processes.Process]:
    """Starts three nodes, so that two can hold the bills of the first."""
    peers = [
        {'node': name, 'address': f'127.0.0.1:{processes.free_port()}'}
        for name in ('entry-a', 'entry-b', 'entry-c')
    ]
    return [
        started.node(
            {
                'node': peer['node'],
                'zone': peer['node'][-1],
                'peer_listen': peer['address'],
                'peer_keys': {'k1': PEER_SECRET},
                'peer_key': 'k1',
                'seeds': [other for other in peers if other is not peer],
                'platform': platform.url,
                'rating': rating.url,
            }
        )
        for peer in peers
    ]


def _libraries_bytes() -> int:
    """Returns the resident memory of a process with the libraries alone."""
    code = f'import {_LIBRARIES}\nprint(open("/proc/self/status").read())'
    done = subprocess.run(
        [sys.executable, '-c', code], capture_output=True, text=True, check=True
    )
    return _resident(done.stdout)


def main() -> None:
    """Runs the benchmark and prints the ratios last."""
    messages = [{'role': 'user', 'content': 'Membrane, 80 m2'}]
    with _started() as (engine, relay, node):
        direct = {'request_id': 'r', 'model': 'm', 'version': 'v1'}
        relay_target = Target(relay, {}, {**direct, 'messages': messages})
        headers = {'Authorization': f'Bearer {KEY}'}
        node_target = Target(node, headers, {'messages': messages})
        time.sleep(5 * SETTLE_S)
        idle = node_target.resident_bytes() - _libraries_bytes()
        start = node_target.cpu_s()
        time.sleep(5 * SETTLE_S)
        share = (node_target.cpu_s() - start) / (5 * SETTLE_S)
        node_target.idle_share = share
        print(
            f'idle node: {idle / 2**20:.1f} MB above its libraries, '
            f'{share:.2%} of a core'
        )
        bench = Bench(engine, relay_target, node_target)
        lines = anyio.run(bench.run)
        print(
            f'targets: {TOKEN_RATIO:g} x the relay for a token, '
            f'{ADDED_S * 1e3:g} ms added at the median'
        )
        print('\n'.join(lines))


if __name__ == '__main__':
    fire.Fire(main)
