"""Compares the overhead of a node with that of a bare HTTP relay.

Both forward to the same engine and are measured in turns in the same run.
CPU time is that of the measured process alone. The ratios are printed last.
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
CONCURRENT_JOBS = 8
CONCURRENT_STREAMS = 16
TOKENS = 400
PACED_TOKEN_MS = 4
LATENCY_SAMPLES = 400
HELD_REQUESTS = 200
# Time until memory and CPU use are steady.
SETTLE_S = 1.0
# Performance targets: CPU time per token as a multiple of the relay's, and
# median latency added to the relay's.
MAX_TOKEN_COST_RATIO = 2.0
MAX_ADDED_LATENCY_S = 0.003
_LIBRARIES = (
    'anyio,eliot,fire,h11,hdrh.histogram,httpcore,msgspec,thrift,'
    'thrift.protocol.TCompactProtocol,uvicorn,uvicorn.protocols.http.h11_impl,'
    'asyncio'
)


@dataclasses.dataclass
class Target:
    """A measured process and the requests it accepts.

    Attributes:
      process: The process.
      headers: Headers sent with each request.
      body: JSON fields sent with each request.
      idle_share: Share of a core that the process uses when idle. It is
        printed separately and subtracted from the cost of requests.
    """

    process: processes.Process
    headers: dict[str, str]
    body: dict[str, typing.Any]
    idle_share: float = 0.0

    def cpu_s(self) -> float:
        """Returns the CPU time used so far, in seconds."""
        folder = pathlib.Path(f'/proc/{self.process.popen.pid}/task')
        total = 0
        for task in folder.iterdir():
            total += int((task / 'schedstat').read_text().split()[0])
        return total / 1e9

    def resident_bytes(self) -> int:
        """Returns the resident memory of the process."""
        path = pathlib.Path(f'/proc/{self.process.popen.pid}/status')
        return _parse_resident_bytes(path.read_text())

    async def ask(self, pool: httpcore.AsyncConnectionPool, **body) -> bytes:
        """Sends one job and returns the whole response body.

        Raises:
          RuntimeError: The response status was not 200.
        """
        response = await pool.request(
            'POST',
            f'{self.process.url}/v1/chat/completions',
            headers=self.headers,
            content=json.dumps({**self.body, **body}).encode(),
        )
        if response.status != 200:
            raise RuntimeError(f'{response.status}: {response.content!r}')
        return response.content


def _parse_resident_bytes(text: str) -> int:
    for line in text.splitlines():
        if line.startswith('VmRSS:'):
            return int(line.split()[1]) * 1024
    raise RuntimeError('no VmRSS line in the process status')


class Bench:
    """Measures a relay and a node alternately.

    Args:
      engine: Engine that both forward to.
      relay: Baseline.
      node: Node under test.
    """

    def __init__(self, engine, relay: Target, node: Target):
        self._engine = engine
        self.relay = relay
        self.node = node
        self._pool = httpcore.AsyncConnectionPool(
            max_connections=2 * HELD_REQUESTS
        )

    async def run(self) -> list[str]:
        """Prints the measurements and returns the lines with the ratios."""
        self._configure_engine(first_token_ms=0, token_ms=0)
        for target in (self.relay, self.node):
            await self._run_jobs(target, JOBS // 4)
        lines = [await self._measure_latency()]
        lines.append(
            await self._measure('unstreamed job', self._run_jobs, JOBS)
        )
        count = TOKENS * CONCURRENT_STREAMS
        for name, token_ms in (('coalesced', 0), ('paced', PACED_TOKEN_MS)):
            self._configure_engine(first_token_ms=0, token_ms=token_ms)
            lines.append(
                await self._measure(f'{name} token', self._run_streams, count)
            )
        await self._measure_memory()
        return lines

    def _configure_engine(self, **settings) -> None:
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
                start, started_at = target.cpu_s(), time.perf_counter()
                await work(target, count)
                idle_s = target.idle_share * (time.perf_counter() - started_at)
                cost_s = target.cpu_s() - start - idle_s
                costs[index].append(cost_s / count)
        relay, node = (statistics.median(costs[index]) for index in (0, 1))
        print(f'{name}: relay {relay * 1e6:.1f} us, node {node * 1e6:.1f} us')
        return f"{name}: {node / relay:.2f} x the relay's CPU time"

    async def _run_jobs(self, target: Target, count: int) -> None:
        async def work() -> None:
            for _ in range(count // CONCURRENT_JOBS):
                await target.ask(self._pool, max_tokens=1)

        await _run_concurrently(CONCURRENT_JOBS, work)

    async def _run_streams(self, target: Target, count: int) -> None:
        tokens = count // CONCURRENT_STREAMS

        async def work() -> None:
            body = await target.ask(self._pool, max_tokens=tokens, stream=True)
            assert body.endswith(b'data: [DONE]\n\n'), body[-300:]

        await _run_concurrently(CONCURRENT_STREAMS, work)

    async def _measure_latency(self) -> str:
        seconds: dict[int, list[float]] = {0: [], 1: []}
        for _ in range(LATENCY_SAMPLES):
            for index, target in enumerate((self.relay, self.node)):
                start = time.perf_counter()
                await target.ask(self._pool, max_tokens=1)
                seconds[index].append(time.perf_counter() - start)
        relay, node = (
            statistics.quantiles(seconds[index], n=100) for index in (0, 1)
        )
        for name, rank in (('median', 49), ('99th percentile', 98)):
            print(
                f'latency, {name}: relay {relay[rank] * 1e3:.2f} ms, '
                f'node {node[rank] * 1e3:.2f} ms'
            )
        return (
            f'added latency: {(node[49] - relay[49]) * 1e3:.2f} ms at the '
            f'median, {(node[98] - relay[98]) * 1e3:.2f} ms at the 99th '
            'percentile'
        )

    async def _measure_memory(self) -> None:
        self._configure_engine(first_token_ms=3000, token_ms=0)
        before = self.node.resident_bytes()
        async with anyio.create_task_group() as tasks:
            for _ in range(HELD_REQUESTS):
                tasks.start_soon(
                    _send_stream, self.node, self._pool, {'max_tokens': 1}
                )
            await anyio.sleep(SETTLE_S)
            held = self.node.resident_bytes() - before
        print(f'memory per open request: {held / HELD_REQUESTS / 1024:.1f} KB')


async def _send_stream(target: Target, pool, body) -> None:
    await target.ask(pool, stream=True, **body)


async def _run_concurrently(count: int, work) -> None:
    async with anyio.create_task_group() as tasks:
        for _ in range(count):
            tasks.start_soon(work)


def _make_document(engine: processes.Process) -> dict:
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
        text = json.dumps(_make_document(engine))
        (folder / '10-all.json').write_text(text)
        demo.apply(platform, folder)
        nodes = _start_nodes(started, platform, rating)
        for node in nodes:
            processes.wait_http(node, '/readyz')
        yield engine, relay, nodes[0]


def _start_nodes(started, platform, rating) -> list[processes.Process]:
    """Starts three nodes, so that two can replicate the first one's bills."""
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
    """Returns the resident memory of a process that only imports libraries."""
    code = f'import {_LIBRARIES}\nprint(open("/proc/self/status").read())'
    done = subprocess.run(
        [sys.executable, '-c', code], capture_output=True, text=True, check=True
    )
    return _parse_resident_bytes(done.stdout)


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
            f'idle node: {idle / 2**20:.1f} MB more than its libraries alone, '
            f'{share:.2%} of a core'
        )
        bench = Bench(engine, relay_target, node_target)
        lines = anyio.run(bench.run)
        print(
            f"targets: at most {MAX_TOKEN_COST_RATIO:g} x the relay's CPU time "
            f'per token, {MAX_ADDED_LATENCY_S * 1e3:g} ms added median latency'
        )
        print('\n'.join(lines))


if __name__ == '__main__':
    fire.Fire(main)
