"""Stand-in for a worker of the users' platform: an engine or a service.

It writes its answers byte by byte, so that it can also send what a sound
server would not.
"""

import collections
import enum
import time

import anyio
import fire
import h11
import msgspec

HANG_S = 60.0
READ_BYTES = 64 * 1024
STAMP_HEADER = 'x-server-stamp'
NOT_EXECUTED_HEADER = 'x-not-executed'


class Fault(enum.Enum):
    """What is wrong with an answer.

    ERROR is a failure after the run, SHED says that it did not run, HANG
    never answers, CLOSE closes after the run, TRUNCATE cuts the body, CUT
    breaks a stream off in the middle of an event, EXTRA sends a second
    answer, FOREIGN answers another request, UNSTAMPED lacks the stamp, EARLY
    answers before the body is read, SILENT stops in the middle of a stream.
    """

    NONE = 'none'
    ERROR = 'error'
    SHED = 'shed'
    HANG = 'hang'
    CLOSE = 'close'
    TRUNCATE = 'truncate'
    CUT = 'cut'
    EXTRA = 'extra'
    FOREIGN = 'foreign'
    UNSTAMPED = 'unstamped'
    EARLY = 'early'
    SILENT = 'silent'


class Settings(msgspec.Struct):
    """Behaviour that `POST /control/settings` changes.

    Attributes:
      fault: What is wrong with the answers.
      count: How many answers have the fault; the others are sound.
      delay_ms: Time until the head of an answer.
      events: Events of a stream.
      event_ms: Time between two events.
      confidence: Opinion of its answers by model.
    """

    fault: Fault = Fault.NONE
    count: int = 1_000_000
    delay_ms: float = 1.0
    events: int = 3
    event_ms: float = 1.0
    confidence: dict[str, int] = {}


class Run(msgspec.Struct):
    """A request that was run."""

    request: str
    method: str
    target: str
    headers: dict[str, str]
    body: str


class Worker:
    """The stand-in.

    Args:
      name: Its id.
      stream: Whether it answers with streams of events.
      events: Events of a stream until the settings say otherwise.
    """

    def __init__(self, name: str, stream: bool, events: int):
        self._name = name
        self._stream = stream
        self._settings = Settings(events=events)
        self._runs: list[Run] = []
        self._disconnects: collections.Counter[str] = collections.Counter()
        self._connections = 0

    async def serve(self, port: int) -> None:
        """Serves until cancelled."""
        listener = await anyio.create_tcp_listener(
            local_host='127.0.0.1', local_port=port
        )
        await listener.serve(self._serve_connection)

    async def _serve_connection(self, stream) -> None:
        self._connections += 1
        parser = h11.Connection(h11.SERVER)
        try:
            async with stream:
                while await self._serve_request(stream, parser):
                    parser.start_next_cycle()
        except (
            anyio.EndOfStream,
            anyio.BrokenResourceError,
            anyio.ClosedResourceError,
            h11.ProtocolError,
        ):
            return

    async def _next_event(self, stream, parser):
        while (event := parser.next_event()) is h11.NEED_DATA:
            try:
                data = await stream.receive(READ_BYTES)
            except anyio.EndOfStream:
                data = b''
            parser.receive_data(data)
        return event

    async def _serve_request(self, stream, parser) -> bool:
        request = await self._next_event(stream, parser)
        if not isinstance(request, h11.Request):
            return False
        headers = {
            name.decode(): value.decode() for name, value in request.headers
        }
        fault = self._take_fault(request)
        if fault is Fault.EARLY:
            await self._send_response(stream, headers, 413, b'too long')
        body = b''
        while isinstance(
            event := await self._next_event(stream, parser), h11.Data
        ):
            body += bytes(event.data)
        parser.send(h11.Response(status_code=200, headers=[]))
        parser.send(h11.EndOfMessage())
        if fault is Fault.EARLY:
            return True
        target = request.target.decode()
        if target.startswith('/control/'):
            await self._control(stream, target, body)
            return True
        run = Run(
            headers.get('x-request-id', ''),
            request.method.decode(),
            target,
            headers,
            body.decode('latin-1'),
        )
        return await self._run(stream, run, fault)

    def _take_fault(self, request: h11.Request) -> Fault:
        settings = self._settings
        if request.target.startswith(b'/control/') or settings.count <= 0:
            return Fault.NONE
        settings.count -= 1
        return settings.fault

    async def _control(self, stream, target: str, body: bytes) -> None:
        if target == '/control/settings':
            self._settings = msgspec.json.decode(body, type=Settings)
        state = {
            'runs': self._runs,
            'left': self._disconnects,
            'connections': self._connections,
        }
        await self._send_response(stream, {}, 200, msgspec.json.encode(state))

    async def _run(self, stream, run: Run, fault: Fault) -> bool:
        expected = run.headers.get('x-expect-instance', self._name)
        if expected != self._name:
            await self._send_response(
                stream, run.headers, 421, b'', stamp=False
            )
            return True
        if fault is Fault.SHED:
            await self._send_response(
                stream,
                run.headers,
                503,
                b'',
                stamp=False,
                extra={NOT_EXECUTED_HEADER: '1'},
            )
            return True
        self._runs.append(run)
        self._log_run(run)
        if fault is Fault.HANG:
            await self._wait_for_disconnect(stream, run.request)
            return False
        await anyio.sleep(self._settings.delay_ms / 1000)
        if fault is Fault.CLOSE:
            return False
        if fault is Fault.ERROR:
            await self._send_response(stream, run.headers, 500, b'failed')
            return True
        if self._stream:
            return await self._send_stream(stream, run, fault)
        return await self._send_service_answer(stream, run, fault)

    def _log_run(self, run: Run) -> None:
        """Writes a run to the log, which outlives the process."""
        line = {
            'run': run.request,
            'worker': self._name,
            'target': run.target,
            'at': time.monotonic(),
        }
        print(msgspec.json.encode(line).decode(), flush=True)

    async def _send_service_answer(
        self, stream, run: Run, fault: Fault
    ) -> bool:
        body = f'{self._name} {run.method} {run.target}'.encode()
        headers = dict(run.headers)
        if fault is Fault.FOREIGN:
            headers['x-request-id'] = 'another'
        if fault is Fault.TRUNCATE:
            await stream.send(self._head(headers, 200, len(body) + 10))
            await stream.send(body)
            return False
        stamp = fault is not Fault.UNSTAMPED
        await self._send_response(stream, headers, 200, body, stamp)
        if fault is Fault.EXTRA:
            await self._send_response(stream, headers, 200, body)
        return True

    async def _send_stream(self, stream, run: Run, fault: Fault) -> bool:
        headers = dict(run.headers)
        model = headers.get('x-model', '')
        extra = {'content-type': 'text/event-stream'}
        if model in self._settings.confidence:
            extra['x-confidence'] = str(self._settings.confidence[model])
        await stream.send(self._head(headers, 200, None, extra=extra))
        first = int(headers.get('last-event-id', '0')) + 1
        try:
            for number in range(first, self._settings.events + 1):
                event = f'id: {number}\ndata: {model} {number}\n\n'.encode()
                if fault is Fault.CUT and number == first + 1:
                    part = event[: len(event) // 2]
                    await stream.send(b'%x\r\n' % len(part) + part + b'\r\n')
                    return False
                if fault is Fault.SILENT and number == first + 1:
                    await self._wait_for_disconnect(stream, run.request)
                    return False
                await stream.send(b'%x\r\n' % len(event) + event + b'\r\n')
                await anyio.sleep(self._settings.event_ms / 1000)
            await stream.send(b'0\r\n\r\n')
        except (anyio.BrokenResourceError, anyio.ClosedResourceError):
            self._disconnects[run.request] += 1
            raise
        return True

    async def _wait_for_disconnect(self, stream, request: str) -> None:
        """Waits until the caller closes."""
        with anyio.move_on_after(HANG_S):
            try:
                await stream.receive(1)
            except (anyio.EndOfStream, anyio.BrokenResourceError):
                self._disconnects[request] += 1

    async def _send_response(
        self, stream, headers, status, body, stamp=True, extra=None
    ) -> None:
        head = self._head(headers, status, len(body), stamp, extra)
        await stream.send(head + body)

    def _head(self, headers, status, length, stamp=True, extra=None) -> bytes:
        lines = [f'HTTP/1.1 {status} X']
        if 'x-request-id' in headers:
            lines.append(f'X-Request-Id: {headers["x-request-id"]}')
        if stamp:
            lines.append(f'{STAMP_HEADER}: {self._name}')
        if length is None:
            lines.append('Transfer-Encoding: chunked')
        else:
            lines.append(f'Content-Length: {length}')
        lines += [f'{name}: {value}' for name, value in (extra or {}).items()]
        return ('\r\n'.join(lines) + '\r\n\r\n').encode()


def main(port: int, worker: str, stream: bool = False, events: int = 3) -> None:
    """Serves the stand-in."""
    anyio.run(Worker(worker, stream, events).serve, port)


if __name__ == '__main__':
    fire.Fire(main)
