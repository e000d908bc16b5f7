"""A worker that sends scripted bytes, also such that are no sound answer."""

import contextlib
import dataclasses
import enum
import socket
import struct
import threading
import time
import typing

from radishcourse_standins import processes

ACCEPT_TIMEOUT_S = 0.1
CONNECTION_TIMEOUT_S = 10.0
ENDLESS_S = 6.0
FINISH_S = 0.2
# Bounds what a caller that keeps all of it may gain.
ENDLESS_PAUSE_S = 0.005
FLOOD = b'\xff' * 256 * 1024
# Connections that fill the queue of a listener which accepts none.
QUEUE_FILLERS = 4
# Keeps a long body in the caller's buffers while the worker does not read.
RECEIVE_BUFFER_BYTES = 16 * 1024
PROBES = ('/health', '/v1/report', '/v1/state')
# Requests for this item get a sound answer and are not part of the script.
UNSCRIPTED_ITEM = '/sound'


class End(enum.Enum):
    """What happens to the connection after the bytes of a reply.

    CLOSE resets it where bytes of the request are unread. FINISH ends the
    worker's half, and closes it FINISH_S later.
    """

    KEEP = 'keep'
    CLOSE = 'close'
    RESET = 'reset'
    FINISH = 'finish'


class Listener(enum.Enum):
    """What listens at the worker's address.

    WORKER: the worker itself. NONE: connections are refused. SILENT: attempts
    to connect get no response. MUTE: connections are accepted and get no
    answer. OTHER: another worker, which answers 421. FLOOD: connections are
    accepted and get bytes without end, before any request.
    """

    WORKER = 'worker'
    NONE = 'none'
    SILENT = 'silent'
    MUTE = 'mute'
    OTHER = 'other'
    FLOOD = 'flood'


@dataclasses.dataclass
class Request:
    """A request that arrived.

    Attributes:
      target: Its path and query.
      headers: Header values by lower-case name.
      connection: Number of its connection at the worker.
      body: Its body, or as much of it as has been read.
    """

    target: str
    headers: dict[str, str]
    connection: int
    body: bytes

    @property
    def request_id(self) -> str:
        """Its `x-request-id`."""
        return self.headers.get('x-request-id', '')

    @property
    def last_event(self) -> int:
        """Its `last-event-id`, 0 without one."""
        return int(self.headers.get('last-event-id', '0'))


@dataclasses.dataclass
class Reply:
    """What is sent for one request.

    Attributes:
      data: The bytes.
      end: What happens to the connection then.
      listener: What listens at the address from then on.
      before_end: Called after the bytes, before the connection ends.
      endless: Bytes that are then sent again and again, until the caller closes
        the connection or ENDLESS_S have passed.
    """

    data: bytes
    end: End = End.KEEP
    listener: Listener = Listener.WORKER
    before_end: typing.Callable[[], None] | None = None
    endless: bytes = b''


class Script:
    """Replies of all workers of a service, in the order of the requests.

    Args:
      replies: Functions from a request to its reply; the last one is used for
        all further requests.

    Attributes:
      requests: Requests that arrived.
      body_limit: Bytes of a request's body that are read before its reply;
        None for the whole body.
      probe: Function from a health probe to its reply; None for a sound one.
      probes: Number of probes that got such a reply.
    """

    def __init__(self, *replies: typing.Callable[[Request], Reply]):
        self._replies = replies
        self._lock = threading.Lock()
        self.requests: list[Request] = []
        self.body_limit: int | None = None
        self.probe: typing.Callable[[Request], Reply] | None = None
        self.probes = 0

    def reply(self, request: Request) -> Reply:
        """Records a request and returns its reply."""
        with self._lock:
            index = min(len(self.requests), len(self._replies) - 1)
            self.requests.append(request)
        return self._replies[index](request)


class RawWorker:
    """A worker in threads of this process.

    Args:
      name: Its id.
      script: Its replies.

    Attributes:
      port: Its port on 127.0.0.1.
      listener: What listens there.
    """

    def __init__(self, name: str, script: Script):
        self._name = name
        self._script = script
        self._stopped = threading.Event()
        self._connections = 0
        self._fillers: list[socket.socket] = []
        self.port = processes.free_port()
        self.listener = Listener.WORKER
        self._socket = self._listen(64)
        threading.Thread(target=self._accept, daemon=True).start()

    @property
    def address(self) -> str:
        """Its IP address and port."""
        return f'127.0.0.1:{self.port}'

    def _listen(self, backlog: int) -> socket.socket:
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
        )
        listener.bind(('127.0.0.1', self.port))
        listener.listen(backlog)
        listener.settimeout(ACCEPT_TIMEOUT_S)
        return listener

    def _accept(self) -> None:
        while not self._stopped.is_set():
            if self.listener in (Listener.NONE, Listener.SILENT):
                time.sleep(0.01)
                continue
            with contextlib.suppress(OSError):
                connection, _ = self._socket.accept()
                self._connections += 1
                threading.Thread(
                    target=self._serve,
                    args=(connection, self._connections),
                    daemon=True,
                ).start()

    def change_listener(self, listener: Listener) -> None:
        """Changes what listens at the address, at once."""
        if listener is self.listener:
            return
        self.listener = listener
        if listener in (Listener.NONE, Listener.SILENT):
            # A listener that another thread accepts on closes only after that.
            self._socket.shutdown(socket.SHUT_RDWR)
            self._socket.close()
        if listener is Listener.SILENT:
            self._socket = self._listen(0)
            for _ in range(QUEUE_FILLERS):
                filler = socket.socket()
                filler.setblocking(False)
                filler.connect_ex(('127.0.0.1', self.port))
                self._fillers.append(filler)

    def _serve(self, connection: socket.socket, number: int) -> None:
        connection.settimeout(CONNECTION_TIMEOUT_S)
        with connection, contextlib.suppress(OSError):
            if self.listener is Listener.FLOOD:
                _send_endless(connection, FLOOD)
                return
            while request := _read_request(
                connection, number, self._script.body_limit
            ):
                if not self._answer(connection, request):
                    return

    def _answer(self, connection: socket.socket, request: Request) -> bool:
        if self.listener is Listener.MUTE:
            self._stopped.wait(CONNECTION_TIMEOUT_S)
            return False
        expected = request.headers.get('x-expect-instance', self._name)
        if self.listener is Listener.OTHER or expected != self._name:
            connection.sendall(head(request, 421, length=0))
            return True
        if request.target in PROBES and self._script.probe is not None:
            self._script.probes += 1
            reply = self._script.probe(request)
            connection.sendall(reply.data)
            _send_endless(connection, reply.endless)
            return False
        if request.target in PROBES:
            body = b'{"boot":"raw","state":"warm","slots":64}'
            extra = {'X-Instance-Id': self._name}
            connection.sendall(head(request, 200, len(body), **extra) + body)
            return True
        if request.target.endswith(UNSCRIPTED_ITEM):
            connection.sendall(message(request, 200, b'sound', 'length'))
            return True
        reply = self._script.reply(request)
        connection.sendall(reply.data)
        if reply.endless:
            _send_endless(connection, reply.endless)
        if reply.before_end is not None:
            reply.before_end()
        self.change_listener(reply.listener)
        if reply.end is End.RESET:
            connection.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0)
            )
        if reply.end is End.FINISH:
            connection.shutdown(socket.SHUT_WR)
            self._stopped.wait(FINISH_S)
        if reply.end is End.KEEP:
            _read_rest(connection, request)
        return reply.end is End.KEEP

    def stop(self) -> None:
        """Stops listening."""
        self._stopped.set()
        for item in (self._socket, *self._fillers):
            item.close()


def _send_endless(connection: socket.socket, data: bytes) -> None:
    until = time.monotonic() + ENDLESS_S
    while time.monotonic() < until:
        connection.sendall(data)
        time.sleep(ENDLESS_PAUSE_S)


def _read_request(
    connection: socket.socket, number: int, body_limit: int | None
) -> Request | None:
    data = b''
    while b'\r\n\r\n' not in data:
        part = connection.recv(65536)
        if not part:
            return None
        data += part
    start, _, body = data.partition(b'\r\n\r\n')
    lines = start.decode('latin-1').split('\r\n')
    pairs = (line.partition(':') for line in lines[1:])
    headers = {name.lower(): value.strip() for name, _, value in pairs}
    wanted = int(headers.get('content-length', '0'))
    if body_limit is not None:
        wanted = min(wanted, body_limit)
    while len(body) < wanted:
        part = connection.recv(65536)
        if not part:
            return None
        body += part
    return Request(lines[0].split(' ')[1], headers, number, body)


def _read_rest(connection: socket.socket, request: Request) -> None:
    wanted = int(request.headers.get('content-length', '0'))
    while len(request.body) < wanted:
        part = connection.recv(65536)
        if not part:
            return
        request.body += part


def head(
    request: Request,
    status: int,
    length: int | None = None,
    chunked: bool = False,
    stamp: str = 'raw',
    **extra: str | None,
) -> bytes:
    """Returns the head of an answer.

    Args:
      request: The request that it answers.
      status: HTTP status.
      length: Value of Content-Length, None for no such header.
      chunked: Whether the body comes in chunks.
      stamp: Value of the server stamp, empty for none.
      **extra: More headers, with underscores for dashes; a value of None
        removes one of the others.
    """
    fields: dict[str, str | None] = {'X-Request-Id': request.request_id}
    if stamp:
        fields['X-Server-Stamp'] = stamp
    if length is not None:
        fields['Content-Length'] = str(length)
    if chunked:
        fields['Transfer-Encoding'] = 'chunked'
    fields |= {name.replace('_', '-'): value for name, value in extra.items()}
    lines = [f'HTTP/1.1 {status} X']
    lines += [f'{k}: {v}' for k, v in fields.items() if v is not None]
    return ('\r\n'.join(lines) + '\r\n\r\n').encode('latin-1')


def chunk(data: bytes) -> bytes:
    """Returns a chunk of a chunked body; empty data ends the body."""
    return b'%x\r\n' % len(data) + data + b'\r\n'


def events(first: int, last: int) -> bytes:
    """Returns the events of a stream with the given ids."""
    return b''.join(
        b'id: %d\ndata: part %d\n\n' % (number, number)
        for number in range(first, last + 1)
    )


def message(request: Request, status: int, body: bytes, framing: str, **extra):
    """Returns a whole answer.

    Args:
      request: The request that it answers.
      status: HTTP status.
      body: The body.
      framing: `length`, `chunked` or `close`.
      **extra: More headers.
    """
    if framing == 'length':
        return head(request, status, len(body), **extra) + body
    if framing == 'chunked':
        data = head(request, status, chunked=True, **extra)
        return data + (chunk(body) if body else b'') + chunk(b'')
    return head(request, status, **extra) + body
