"""Stand-in for a worker: one process, which serves HTTP/1.1 on loopback.

Paths tell it what to send; see `_Worker.answer`. Each run is written as one
line of JSON to the log file before the request is worked on.
"""

import argparse
import asyncio
import json
import os
import time

IDLE_TIMEOUT_S = 30


class _Worker:
    def __init__(self, options):
        self._options = options
        self._log = os.open(
            options.log, os.O_WRONLY | os.O_APPEND | os.O_CREAT, 0o644
        )

    def _record(self, event: str, headers: dict, target: str) -> None:
        line = {
            'at': time.monotonic(),
            'event': event,
            'worker': self._options.id,
            'pid': os.getpid(),
            'request': headers.get('x-request-id', ''),
            'target': target,
            'tenant': headers.get('x-tenant', ''),
            'last_event': headers.get('last-event-id', ''),
            'model': headers.get('x-model', ''),
        }
        os.write(self._log, json.dumps(line).encode() + b'\n')

    async def serve(self) -> None:
        """Serves until it is stopped."""
        server = await asyncio.start_server(
            self._serve_connection, '127.0.0.1', self._options.port
        )
        async with server:
            await server.serve_forever()

    async def _serve_connection(self, reader, writer) -> None:
        try:
            while await self._serve_request(reader, writer):
                pass
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def _serve_request(self, reader, writer) -> bool:
        head = await reader.readuntil(b'\r\n\r\n')
        first, *lines = head.decode('latin-1').split('\r\n')
        method, target, _ = first.split(' ')
        pairs = (line.partition(':') for line in lines if line)
        headers = {name.lower(): value.strip() for name, _, value in pairs}
        length = int(headers.get('content-length', '0'))
        body = await reader.readexactly(length)
        return await self.answer(writer, method, target, headers, body)

    def _head(self, headers: dict, status: int, **extra) -> bytes:
        fields = {
            'X-Request-Id': headers.get('x-request-id', ''),
            'X-Server-Stamp': f'stamp.{self._options.id}',
            'X-Instance-Id': self._options.id,
            **{name.replace('_', '-'): value for name, value in extra.items()},
        }
        lines = [f'HTTP/1.1 {status} Status']
        lines += [f'{name}: {value}' for name, value in fields.items()]
        return ('\r\n'.join(lines) + '\r\n\r\n').encode()

    async def answer(self, writer, method, target, headers, body) -> bool:
        """Answers one request; returns whether the connection stays open.

        The path ends with /PIECES/PAUSE_MS: that many pieces are sent, with a
        pause after each. `/stream` sends events in chunks, `/plain` a body with
        a length after all pauses, `/unframed` a body without a length, and
        `/open` events without one; a worker that frames all its answers sends
        both in chunks. `?confidence=N` is the confidence of the
        model `small` in its answer.
        """
        del method, body
        expected = headers.get('x-expect-instance')
        if expected not in (None, self._options.id):
            writer.write(
                self._head(headers, 421, X_Not_Executed='1', Content_Length=0)
            )
            return True
        if target in ('/health', '/v1/report'):
            data = json.dumps(
                {'stage': 'mixed', 'models': [], 'born': self._options.born}
            ).encode()
            writer.write(
                self._head(headers, 200, Content_Length=len(data)) + data
            )
            return True
        self._record('run', headers, target)
        path, _, query = target.partition('?')
        *_, kind, pieces, pause_ms = path.split('/')
        pieces, pause_s = int(pieces), int(pause_ms) / 1000
        if kind == 'plain':
            await asyncio.sleep(pieces * pause_s)
            data = b'piece of the answer\n' * pieces
            writer.write(
                self._head(headers, 200, Content_Length=len(data)) + data
            )
            await writer.drain()
        elif kind in ('unframed', 'open'):
            await self._send_pieces(writer, headers, kind, pieces, pause_s)
        else:
            await self._stream(writer, headers, pieces, pause_s, query)
        self._record('end', headers, target)
        return kind not in ('unframed', 'open') or self._options.framed

    async def _send_pieces(self, writer, headers, kind, pieces, pause_s):
        framed = self._options.framed
        extra = {} if framed else {'Connection': 'close'}
        if framed:
            extra['Transfer_Encoding'] = 'chunked'
        if kind == 'open':
            extra['Content_Type'] = 'text/event-stream'
        writer.write(self._head(headers, 200, **extra))
        start = int(headers.get('last-event-id', '0'))
        for number in range(start + 1, pieces + 1):
            piece = b'piece %03d of %03d\n' % (number, pieces)
            if kind == 'open':
                piece = _event(number, pieces)
            if framed:
                piece = b'%x\r\n%s\r\n' % (len(piece), piece)
            writer.write(piece)
            await writer.drain()
            await asyncio.sleep(pause_s)
        if framed:
            writer.write(b'0\r\n\r\n')
            await writer.drain()

    async def _stream(self, writer, headers, pieces, pause_s, query) -> None:
        extra = {}
        if query.startswith('confidence='):
            own = query.removeprefix('confidence=')
            small = headers.get('x-model') == 'small'
            extra['X_Confidence'] = own if small else '95'
        writer.write(
            self._head(
                headers,
                200,
                Content_Type='text/event-stream',
                Transfer_Encoding='chunked',
                **extra,
            )
        )
        start = int(headers.get('last-event-id', '0'))
        for number in range(start + 1, pieces + 1):
            event = _event(number, pieces)
            writer.write(b'%x\r\n%s\r\n' % (len(event), event))
            await writer.drain()
            await asyncio.sleep(pause_s)
        writer.write(b'0\r\n\r\n')
        await writer.drain()


def _event(number: int, pieces: int) -> bytes:
    return b'id: %d\ndata: event %d of %d\n\n' % (number, number, pieces)


def main() -> None:
    """Runs the worker."""
    parser = argparse.ArgumentParser()
    parser.add_argument('--id', required=True)
    parser.add_argument('--port', type=int, required=True)
    parser.add_argument('--born', type=int, required=True)
    parser.add_argument('--log', required=True)
    parser.add_argument('--framed', action='store_true')
    asyncio.run(_Worker(parser.parse_args()).serve())


if __name__ == '__main__':
    main()
