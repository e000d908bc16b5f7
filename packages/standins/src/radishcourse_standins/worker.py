"""Stand-in for a worker of the users' platform: an engine or a service.

It writes raw HTTP responses to the socket, so that it can also send invalid
ones.
"""

import collections
import os
import time

import anyio
import fire
import h11
import msgspec

from radishcourse_standins import workerfaults

HANG_S = 60.0
READ_BYTES = 64 * 1024
# Time from the head of an answer to the crash that its prompt causes.
CRASH_DELAY_S = 0.05
# Time for which a worker responds to nothing before it crashes silently.
CRASH_SILENCE_S = 1.0
STAMP_HEADER = 'x-server-stamp'
NOT_EXECUTED_HEADER = 'x-not-executed'
_PROBES = ('/health', '/v1/report')


class Run(msgspec.Struct):
    """A request that was run.

    Attributes:
      request: Its `x-request-id`.
      method: HTTP method.
      target: Request target.
      headers: Header values by lower-case name.
      body: Body, decoded as Latin-1.
    """

    request: str
    method: str
    target: str
    headers: dict[str, str]
    body: str


class Worker:
    """The HTTP interface of the stand-in.

    Args:
      name: Worker id, sent as server stamp.
      stream: Whether it answers with event streams.
      events: Events of a stream until settings change it.
      crash_part: Beginning of the shared parts of prompts that end the process;
        empty for none.
      crash_point: When such a prompt ends it.
    """

    def __init__(
        self,
        name: str,
        stream: bool,
        events: int,
        crash_part: str = '',
        crash_point: workerfaults.CrashPoint = workerfaults.CrashPoint.HEAD,
    ):
        self._name = name
        self._crash_part = crash_part
        self._crash_point = crash_point
        self._stream = stream
        self._settings = workerfaults.Settings(events=events)
        self._runs: list[Run] = []
        self._disconnects: collections.Counter[str] = collections.Counter()
        self._connections = 0
        self._refused = ''

    async def serve(self, port: int) -> None:
        """Serves on a loopback port until cancelled."""
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
        fault = self._next_fault(request)
        if fault is workerfaults.Fault.EARLY:
            await self._send_response(stream, headers, 413, b'too long')
        body = b''
        while isinstance(
            event := await self._next_event(stream, parser), h11.Data
        ):
            body += bytes(event.data)
        parser.send(h11.Response(status_code=200, headers=[]))
        parser.send(h11.EndOfMessage())
        if fault is workerfaults.Fault.EARLY:
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

    def _next_fault(self, request: h11.Request) -> workerfaults.Fault:
        settings = self._settings
        if request.target.startswith(b'/control/') or settings.count <= 0:
            return workerfaults.Fault.NONE
        settings.count -= 1
        return settings.fault

    async def _control(self, stream, target: str, body: bytes) -> None:
        if target == '/control/settings':
            self._settings = msgspec.json.decode(
                body, type=workerfaults.Settings
            )
        state = {
            'runs': self._runs,
            'left': self._disconnects,
            'connections': self._connections,
        }
        await self._send_response(stream, {}, 200, msgspec.json.encode(state))

    async def _run(self, stream, run: Run, fault: workerfaults.Fault) -> bool:
        expected = run.headers.get('x-expect-instance', self._name)
        if expected != self._name:
            await self._send_response(
                stream, run.headers, 421, b'', stamp=False
            )
            return True
        if run.target in _PROBES:
            extra = {'x-instance-id': self._name}
            await self._send_response(
                stream, run.headers, 200, b'', extra=extra
            )
            return True
        if fault is workerfaults.Fault.SHED:
            self._refused = run.request
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
        if fault is workerfaults.Fault.HANG:
            await self._wait_for_disconnect(stream, run.request)
            return False
        await anyio.sleep(self._settings.delay_ms / 1000)
        if fault is workerfaults.Fault.CLOSE:
            return False
        if fault is workerfaults.Fault.HALF_HEAD:
            head = self._head(run.headers, 200, 10)
            await stream.send(head[: len(head) // 2])
            return False
        if fault in (workerfaults.Fault.UNSAID, workerfaults.Fault.STALE):
            await self._send_false_refusal(stream, run, fault)
            return True
        if fault is workerfaults.Fault.ERROR:
            await self._send_response(stream, run.headers, 500, b'failed')
            return True
        if fault in workerfaults.ENDLESS_FAULTS:
            await self._send_endless(stream, run, fault)
        if self._stream:
            return await self._send_stream(stream, run, fault)
        return await self._send_service_answer(stream, run, fault)

    def _log_run(self, run: Run) -> None:
        """Prints a run, so that the log keeps it when the process is killed."""
        line = {
            'run': run.request,
            'worker': self._name,
            'target': run.target,
            'at': time.monotonic(),
        }
        print(msgspec.json.encode(line).decode(), flush=True)

    async def _send_false_refusal(
        self, stream, run: Run, fault: workerfaults.Fault
    ) -> None:
        """Sends a refusal though the request has run."""
        if fault is workerfaults.Fault.UNSAID:
            await self._send_response(stream, run.headers, 503, b'')
            return
        headers = {'x-request-id': self._refused or 'another'}
        extra = {NOT_EXECUTED_HEADER: '1'}
        await self._send_response(
            stream, headers, 503, b'', stamp=False, extra=extra
        )

    async def _send_service_answer(
        self, stream, run: Run, fault: workerfaults.Fault
    ) -> bool:
        body = f'{self._name} {run.method} {run.target}'.encode()
        headers = dict(run.headers)
        if fault is workerfaults.Fault.FOREIGN:
            headers['x-request-id'] = 'another'
        if fault in workerfaults.UNFRAMED_FAULTS:
            head = self._head(headers, 200, None)
            await stream.send(
                head.replace(b'Transfer-Encoding: chunked\r\n', b'')
            )
            if fault is workerfaults.Fault.UNFRAMED:
                await stream.send(body)
                return False
            await stream.send(body[: len(body) // 2])
            await anyio.sleep(CRASH_DELAY_S)
            os._exit(1)
        if fault is workerfaults.Fault.TRUNCATE:
            await stream.send(self._head(headers, 200, len(body) + 10))
            await stream.send(body)
            return False
        stamp = fault is not workerfaults.Fault.UNSTAMPED
        await self._send_response(stream, headers, 200, body, stamp)
        if fault is workerfaults.Fault.EXTRA:
            await self._send_response(stream, headers, 200, body)
        return True

    async def _send_stream(
        self, stream, run: Run, fault: workerfaults.Fault
    ) -> bool:
        headers = dict(run.headers)
        model = headers.get('x-model', '')
        extra = {'content-type': 'text/event-stream'}
        if model in self._settings.confidence:
            extra['x-confidence'] = str(self._settings.confidence[model])
        if self._settings.limit:
            extra['server-limit'] = self._settings.limit
        if fault in workerfaults.UNFRAMED_FAULTS:
            return await self._send_unframed(stream, headers, fault, extra)
        if fault is workerfaults.Fault.NO_STREAM and 'last-event-id' in headers:
            await self._send_response(stream, headers, 404, b'no such stream')
            return True
        if fault is workerfaults.Fault.RESTARTED:
            headers.pop('last-event-id', None)
        crash_point = self._crash_point_of(headers)
        if crash_point in (
            workerfaults.CrashPoint.BEFORE_HEAD,
            workerfaults.CrashPoint.SILENT,
        ):
            await self._crash(crash_point)
        await stream.send(self._head(headers, 200, None, extra=extra))
        if crash_point is workerfaults.CrashPoint.HEAD:
            await self._crash(crash_point)
        first = int(headers.get('last-event-id', '0')) + 1
        try:
            for number in range(first, self._settings.events + 1):
                event = f'id: {number}\ndata: {model} {number}\n\n'.encode()
                cuts = (
                    fault is workerfaults.Fault.CUT
                    or fault in workerfaults.RESUMED_FAULTS
                )
                if cuts and number == first + 1:
                    half = event[: len(event) // 2]
                    await stream.send(b'%x\r\n' % len(half) + half + b'\r\n')
                    return False
                if fault is workerfaults.Fault.SILENT and number == first + 1:
                    await self._wait_for_disconnect(stream, run.request)
                    return False
                await stream.send(b'%x\r\n' % len(event) + event + b'\r\n')
                if crash_point is not None:
                    await self._crash(crash_point)
                await anyio.sleep(self._settings.event_ms / 1000)
            await stream.send(b'0\r\n\r\n')
        except (anyio.BrokenResourceError, anyio.ClosedResourceError):
            self._disconnects[run.request] += 1
            raise
        return True

    def _crash_point_of(self, headers) -> workerfaults.CrashPoint | None:
        """Returns when a prompt ends the process, None if it does not."""
        parts = _shared_parts(headers)
        if self._crash_part and any(
            part.startswith(self._crash_part) for part in parts
        ):
            return self._crash_point
        return None

    async def _crash(self, point: workerfaults.CrashPoint) -> None:
        """Ends the process as a crash at the given point does."""
        if point in (
            workerfaults.CrashPoint.SILENT,
            workerfaults.CrashPoint.STALLED,
        ):
            # Blocks the event loop, so that nothing else is answered.
            time.sleep(CRASH_SILENCE_S)
        else:
            await anyio.sleep(CRASH_DELAY_S)
        os._exit(1)

    async def _send_unframed(self, stream, headers, fault, extra) -> bool:
        """Sends a stream that ends with the connection; a cut one resumes."""
        head = self._head(headers, 200, None, extra=extra)
        await stream.send(head.replace(b'Transfer-Encoding: chunked\r\n', b''))
        first = int(headers.get('last-event-id', '0')) + 1
        model = headers.get('x-model', '')
        for number in range(first, self._settings.events + 1):
            event = f'id: {number}\ndata: {model} {number}\n\n'.encode()
            if (
                fault is workerfaults.Fault.UNFRAMED_CRASH
                and number == first + 1
            ):
                await anyio.sleep(CRASH_DELAY_S)
                os._exit(1)
            if fault is workerfaults.Fault.UNFRAMED_CUT and number == first + 1:
                event = event[: len(event) // 2]
            await stream.send(event)
            if not event.endswith(b'\n\n'):
                break
            await anyio.sleep(self._settings.event_ms / 1000)
        return False

    async def _send_endless(
        self, stream, run: Run, fault: workerfaults.Fault
    ) -> None:
        """Sends a response without end until the caller disconnects."""
        data = b'x' * self._settings.piece_bytes
        start, piece = b'HTTP/1.1 200 X\r\nX-Endless: ', data
        if fault is workerfaults.Fault.ENDLESS_INTERIM:
            start = b''
            piece = b'HTTP/1.1 103 X\r\n\r\n' * max(1, len(data) // 18)
        elif fault is not workerfaults.Fault.ENDLESS_HEAD:
            status = 500 if fault is workerfaults.Fault.ENDLESS_ERROR else 200
            start = self._head(run.headers, status, None)
            piece = b'%x\r\n' % len(data) + data + b'\r\n'
        try:
            await stream.send(start)
            while True:
                await stream.send(piece)
                await anyio.sleep(self._settings.piece_ms / 1000)
        except (anyio.BrokenResourceError, anyio.ClosedResourceError):
            self._disconnects[run.request] += 1
            raise

    async def _wait_for_disconnect(self, stream, request: str) -> None:
        """Waits until the caller closes the connection, for 60 s at most."""
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
        if self._settings.leaving:
            lines.append('Server-Leaving: 1')
        if status == 503 and self._settings.retry_after:
            lines.append(f'Retry-After: {self._settings.retry_after}')
        if length is None:
            lines.append('Transfer-Encoding: chunked')
        else:
            lines.append(f'Content-Length: {length}')
        lines += [f'{name}: {value}' for name, value in (extra or {}).items()]
        return ('\r\n'.join(lines) + '\r\n\r\n').encode()


def _shared_parts(headers: dict[str, str]) -> list[str]:
    parts = headers.get('x-prompt-prefix', '').split(',')
    return [item.partition(':')[0] for item in parts[:-1]]


def main(
    port: int,
    worker: str,
    stream: bool = False,
    events: int = 3,
    crash_part: str = '',
    crash_point: str = 'head',
) -> None:
    """Serves the stand-in."""
    point = workerfaults.CrashPoint(crash_point)
    stand_in = Worker(worker, stream, events, str(crash_part), point)
    anyio.run(stand_in.serve, port)


if __name__ == '__main__':
    fire.Fire(main)
