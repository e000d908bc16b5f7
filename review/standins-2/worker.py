"""Stand-in for a worker (PROTOCOL.md), for the review's scripts.

It writes its entry into the store each heartbeat. On SIGTERM it reports
`draining`, serves on for `drainMs` and a little longer, and then leaves once
its requests have ended. A request whose channel closes is dropped. While it is
cold, it crashes at a rate of requests that it is told.

The path of a request says how long its answer takes and how it is framed:
`/PREFIX/close/10/100/ID` is an answer of 10 pieces, 100 ms apart, that has no
length and ends with its channel; with `length` or `chunked` it is framed so.
A further part of the path is the size of a piece in bytes.
`events` in place of these is a stream of events in chunks, and `openevents`
one that ends with its channel; both go on at `Last-Event-Id`. `pausedevents`
is a stream that stands still once, as one that is preempted and read in again.
"""

import asyncio
import contextlib
import json
import os
import signal
import sys
import time
import urllib.request

LINGER_S = 0.5
# An answer that remains unread for so long is cut off.
UNREAD_S = 5.0
# How long a stream stands still that is preempted.
PREEMPTED_S = 2.6


class Worker:
    """One lifetime of a worker.

    Args:
      options: Its id, address, service, zone, store, log and times.
    """

    def __init__(self, options: dict):
        self._options = options
        self._id = options['id']
        self._born = int(1000 * time.time())
        self._state = 'ready'
        self._running = 0
        self._slots = asyncio.Semaphore(options.get('slots', 1000))
        self._arrivals: list[float] = []
        self._log = open(options['log'], 'a', buffering=1)  # noqa: SIM115

    def _note(self, what: str, **fields) -> None:
        line = {'at': time.time(), 'worker': self._id, 'born': self._born}
        self._log.write(json.dumps({**line, 'what': what, **fields}) + '\n')

    def _call_store(self, path: str, body: dict) -> None:
        request = urllib.request.Request(
            f'http://{self._options["store"]}/control/{path}',
            json.dumps({'id': self._id, **body}).encode(),
        )
        with urllib.request.urlopen(request, timeout=2) as reply:
            reply.read()

    def _cold_left_ms(self) -> int:
        cold_ms = 1000 * self._options.get('coldS', 0)
        return max(0, int(self._born + cold_ms - 1000 * time.time()))

    def _count_cold(self) -> None:
        """Crashes if more requests come than a cold worker bears."""
        limit = self._options.get('coldLimit', 0)
        if not limit or not self._cold_left_ms():
            return
        now = time.monotonic()
        self._arrivals = [at for at in self._arrivals if now - at < 1.0]
        self._arrivals.append(now)
        if len(self._arrivals) > limit:
            self._note('crashed', running=self._running)
            os._exit(1)

    async def beat(self) -> None:
        """Reports the entry."""
        entry = {
            'service': self._options['service'],
            'address': self._options['listed'],
            'zone': self._options['zone'],
            'version': self._options['version'],
            'slots': 16,
            'state': self._state,
            'coldLeftMs': self._cold_left_ms(),
            'callSeq': 0,
            'born': self._born,
        }
        # The store may be down; the next report follows.
        with contextlib.suppress(OSError):
            await asyncio.to_thread(self._call_store, 'beat', {'entry': entry})

    async def run(self) -> None:
        """Serves until the worker has left."""
        stop = asyncio.Event()
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, stop.set)
        host, _, port = self._options['address'].rpartition(':')
        server = await asyncio.start_server(self._serve, host, int(port))
        self._note('started')
        async with server:
            while not stop.is_set():
                await self.beat()
                try:
                    await asyncio.wait_for(
                        stop.wait(), self._options['heartbeatS']
                    )
                except TimeoutError:
                    continue
            self._state = 'draining'
            await self.beat()
            self._note('draining')
            until = time.monotonic() + self._options['drainS'] + LINGER_S
            while time.monotonic() < until or self._running:
                await asyncio.sleep(0.1)
                await self.beat()
            await asyncio.to_thread(self._call_store, 'leave', {})
            self._note('left')

    async def _serve(self, reader, writer) -> None:
        try:
            while await self._answer(reader, writer):
                pass
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def _answer(self, reader, writer) -> bool:
        head = await reader.readuntil(b'\r\n\r\n')
        lines = head.decode('latin-1').split('\r\n')
        method, target, _ = lines[0].split(' ')
        pairs = (line.partition(':') for line in lines[1:])
        headers = {name.lower(): value.strip() for name, _, value in pairs}
        body = await reader.readexactly(int(headers.get('content-length', 0)))
        request = headers.get('x-request-id', '')
        echo = f'X-Request-Id: {request}\r\n' if request else ''
        if headers.get('x-expect-instance', self._id) != self._id:
            writer.write(
                f'HTTP/1.1 421 X\r\n{echo}X-Instance-Id: {self._id}\r\n'
                'Content-Length: 0\r\n\r\n'.encode()
            )
            return True
        if target in ('/health', '/v1/report'):
            status = 200 if self._state == 'ready' else 503
            data = json.dumps({'born': self._born, 'stage': 'mixed'}).encode()
            writer.write(
                f'HTTP/1.1 {status if target == "/health" else 200} X\r\n'
                f'{echo}X-Instance-Id: {self._id}\r\n'
                f'Content-Type: application/json\r\n'
                f'Content-Length: {len(data)}\r\n\r\n'.encode()
                + data
            )
            return True
        slots = self._options.get('slots', 1000)
        if self._running >= slots + self._options.get('queue', 0):
            # It runs as many as it can, and enough of them wait.
            writer.write(
                f'HTTP/1.1 503 X\r\n{echo}X-Not-Executed: 1\r\n'
                'Content-Length: 0\r\n\r\n'.encode()
            )
            self._note('sheds', request=request)
            return True
        self._note('runs', request=request, method=method, target=target)
        self._running += 1
        self._count_cold()
        closed = asyncio.ensure_future(reader.read(1))
        answer = asyncio.ensure_future(
            self._wait_and_run(
                writer, headers, target, request, echo, len(body)
            )
        )
        try:
            await asyncio.wait(
                (closed, answer),
                timeout=int(headers.get('x-time-budget-ms', 60000)) / 1000,
                return_when=asyncio.FIRST_COMPLETED,
            )
            if not answer.done() and not closed.done():
                # It stops work at its time limit.
                self._note('stopped', request=request)
                return False
            if not answer.done():
                self._note('dropped', request=request)
                return False
            return answer.result()
        finally:
            self._running -= 1
            closed.cancel()
            answer.cancel()
            await asyncio.gather(closed, answer, return_exceptions=True)

    async def _wait_and_run(self, *arguments) -> bool:
        async with self._slots:
            return await self._run(*arguments)

    async def _run(self, writer, headers, target, request, echo, size) -> bool:
        framing, count, pause_ms, name, *more = target.split('/')[2:]
        count, pause_s = int(count), int(pause_ms) / 1000
        piece_bytes = int(more[0]) if more else 0
        first = int(headers.get('last-event-id', '0'))
        streams = framing.endswith('events')
        pieces = [
            event(name, number) if streams else piece(name, number, piece_bytes)
            for number in range(first + 1, count + 1)
        ]
        chunked = framing in ('chunked', 'events', 'pausedevents')
        fields = f'{echo}X-Server-Stamp: {self._id}.{self._born}.{size}\r\n'
        if streams:
            fields += 'Content-Type: text/event-stream\r\n'
        if chunked:
            fields += 'Transfer-Encoding: chunked\r\n'
        elif framing == 'length':
            fields += f'Content-Length: {sum(map(len, pieces))}\r\n'
        else:
            fields += 'Connection: close\r\n'
        writer.write(f'HTTP/1.1 200 OK\r\n{fields}\r\n'.encode())
        for index, data in enumerate(pieces, first + 1):
            if framing.startswith('paused') and index == count // 2:
                await asyncio.sleep(PREEMPTED_S)
            if chunked:
                data = b'%x\r\n' % len(data) + data + b'\r\n'
            writer.write(data)
            try:
                await asyncio.wait_for(writer.drain(), UNREAD_S)
            except TimeoutError:
                self._note('unread', request=request)
                writer.transport.abort()
                return False
            await asyncio.sleep(pause_s)
        if chunked:
            writer.write(b'0\r\n\r\n')
        await writer.drain()
        self._note('ended', request=request, pieces=len(pieces))
        return chunked or framing == 'length'


def piece(name: str, number: int, size: int = 0) -> bytes:
    """Returns a piece of an answer, of a size at least."""
    return f'{name} piece {number:04d}\n'.encode().ljust(size, b'.')


def event(name: str, number: int) -> bytes:
    """Returns an event of a stream."""
    return f'id: {number}\ndata: {name} {number:04d}\n\n'.encode()


if __name__ == '__main__':
    asyncio.run(Worker(json.loads(sys.argv[1])).run())
