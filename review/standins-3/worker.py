"""A stand-in of a worker: answers requests piece by piece, logs its runs.

The argument is a JSON object with the fields of `Options`.
"""

import dataclasses
import itertools
import json
import os
import pathlib
import signal
import socket
import sys
import threading
import time
import typing

import client

HEARTBEAT_S = 1.2
EVENT_STREAM = 'text/event-stream'


@dataclasses.dataclass
class Options:
    """What a worker is and how it answers.

    Attributes:
      worker: Its id.
      service: Its service.
      address: Where it listens.
      store: Address of the store.
      zone: Its zone.
      log: File to which it appends a line for each begin and end of a run.
      pieces: Number of pieces in an answer.
      piece_bytes: Size of a piece.
      gap_s: Time between two pieces.
      framing: `chunked`, `length` or `close`: what marks the end of a body.
      unframed_every: With one of so many answers, the end of its connection
        marks the end of its body instead; 0 for none.
      stream: Whether a piece is an event of a stream.
      confidence: Value of X-Confidence by model; empty for no such header.
      engine: Whether it is a model engine, which has a report.
      crash_part: Part of a prompt under whose answer it crashes; empty for
        none.
    """

    worker: str
    service: str
    address: str
    store: str
    zone: str
    log: str
    pieces: int = 1
    piece_bytes: int = 800
    gap_s: float = 0.0
    framing: str = 'length'
    unframed_every: int = 0
    stream: bool = False
    confidence: dict[str, int] = dataclasses.field(default_factory=dict)
    engine: bool = False
    crash_part: str = ''


class Worker:
    """One worker process.

    Args:
      options: What it is.
    """

    def __init__(self, options: Options):
        self._options = options
        self._born = int(1000 * time.time())
        self._state = 'ready'
        self._write_lock = threading.Lock()
        self._answers = itertools.count(1)
        self._log_path = pathlib.Path(options.log)

    def run(self) -> None:
        """Serves until killed.

        SIGUSR1 makes it leave without a report, by the removal of its entry,
        SIGUSR2 report that it is draining.
        """
        host, _, port = self._options.address.rpartition(':')
        listener = socket.create_server((host, int(port)), backlog=256)
        signal.signal(signal.SIGUSR1, lambda *_: self._leave('removed'))
        signal.signal(signal.SIGUSR2, lambda *_: self._leave('draining'))
        threading.Thread(target=self._beat, daemon=True).start()
        while True:
            connection, _ = listener.accept()
            threading.Thread(
                target=self._serve, args=(connection,), daemon=True
            ).start()

    def _leave(self, state: str) -> None:
        self._state = state
        threading.Thread(target=self._write_entry, daemon=True).start()

    def _beat(self) -> None:
        while True:
            self._write_entry()
            time.sleep(HEARTBEAT_S)

    def _write_entry(self) -> None:
        entry = {
            'service': self._options.service,
            'address': self._options.address,
            'zone': self._options.zone,
            'version': 'v1',
            'slots': 64,
            'coldLeftMs': 0,
            'callSeq': 0,
            'born': self._born,
        }
        with self._write_lock:
            state = self._state
            client.put_row(
                self._options.store,
                'servers',
                self._options.worker,
                None if state == 'removed' else {**entry, 'state': state},
            )
            self._log('entry', '', state=state)

    def _log(self, event: str, request_id: str, **fields) -> None:
        line = {
            'at': round(time.monotonic(), 3),
            'worker': self._options.worker,
            'born': self._born,
            'event': event,
            'request': request_id,
            **fields,
        }
        with self._log_path.open('a') as file:
            file.write(json.dumps(line) + '\n')

    def _serve(self, connection: socket.socket) -> None:
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        try:
            with connection:
                while request := client.read_message(connection):
                    if not self._answer(connection, request):
                        return
        except OSError:
            return

    def _answer(self, connection, request: client.Message) -> bool:
        """Answers a request; returns whether the connection stays open."""
        method, target, _ = request.first_line.split(' ')
        options = self._options
        names = {'X-Instance-Id': options.worker}
        expected = request.headers.get('x-expect-instance', options.worker)
        request_id = request.headers.get('x-request-id', '')
        if expected != options.worker:
            _send(connection, 421, {**names, 'X-Request-Id': request_id}, b'')
            return True
        if method == 'GET' and target in ('/health', '/v1/report'):
            body = json.dumps(self._report()).encode()
            _send(connection, 200, names, body)
            return True
        model = request.headers.get('x-model', '')
        framing = options.framing
        if options.unframed_every:
            is_unframed = not next(self._answers) % options.unframed_every
            framing = 'close' if is_unframed else framing
        self._log(
            'begin', request_id, target=target, model=model, framing=framing
        )
        first = int(request.headers.get('last-event-id', 0)) + 1
        headers = {
            'X-Request-Id': request_id,
            'X-Server-Stamp': f'{options.worker}.{self._born}.{request_id}',
        }
        if options.stream:
            headers['Content-Type'] = EVENT_STREAM
        if model in options.confidence:
            headers['X-Confidence'] = str(options.confidence[model])
        parts = request.headers.get('x-prompt-prefix', '').split(',')
        names = [part.partition(':')[0] for part in parts[:-1]]
        crashes = bool(options.crash_part) and options.crash_part in names
        self._send_body(
            connection, headers, first, request_id, framing, crashes
        )
        self._log('end', request_id)
        return framing != 'close'

    def _send_body(
        self,
        connection,
        headers,
        first: int,
        request_id,
        framing: str,
        crashes: bool,
    ) -> None:
        options = self._options
        chunked = framing == 'chunked'
        numbers = range(first, options.pieces + 1)
        if framing == 'length':
            size = sum(len(self.piece(number)) for number in numbers)
            headers['Content-Length'] = str(size)
        if chunked:
            headers['Transfer-Encoding'] = 'chunked'
        connection.sendall(client.encode_head('HTTP/1.1 200 OK', headers))
        if crashes:
            self._log('crash', request_id)
            os.kill(os.getpid(), signal.SIGKILL)
        for number in numbers:
            data = self.piece(number)
            connection.sendall(
                b'%x\r\n%s\r\n' % (len(data), data) if chunked else data
            )
            self._log('piece', request_id, number=number)
            time.sleep(options.gap_s)
        if chunked:
            connection.sendall(b'0\r\n\r\n')

    def piece(self, number: int) -> bytes:
        """Returns a piece of an answer; the same at each worker."""
        return make_piece(
            number, self._options.piece_bytes, self._options.stream
        )

    def _report(self) -> dict[str, typing.Any]:
        return {
            'born': self._born,
            'stage': 'mixed',
            'models': [],
            'busy': False,
            'callSeq': 0,
            'queued': 0,
            'running': 0,
            'kvUsed': 0,
            'kvTotal': 444000,
            'handles': 0,
        }


def make_piece(number: int, size: int, stream: bool) -> bytes:
    """Returns a piece of an answer.

    Args:
      number: Its number, from 1.
      size: Its size in bytes.
      stream: Whether it is an event of a stream.
    """
    text = b'piece %07d ' % number
    text = (text * (size // len(text) + 1))[:size]
    return b'id: %d\ndata: %s\n\n' % (number, text) if stream else text


def _send(connection, status: int, headers, body: bytes) -> None:
    headers = {**headers, 'Content-Length': str(len(body))}
    if status == 421:
        headers['X-Not-Executed'] = '1'
    head = client.encode_head(f'HTTP/1.1 {status} X', headers)
    connection.sendall(head + body)


if __name__ == '__main__':
    Worker(Options(**json.loads(sys.argv[1]))).run()
