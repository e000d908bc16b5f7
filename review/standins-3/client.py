"""HTTP/1.1 on plain sockets: messages, a caller, writes to the store."""

import dataclasses
import json
import socket
import time
import typing

import store

CALL_TIMEOUT_S = 30.0
READ_BYTES = 16 * 1024


@dataclasses.dataclass
class Message:
    """A request, or the head of a response.

    Attributes:
      first_line: Request line or status line.
      headers: Values by name in lower case.
      body: The body of a request; of a response, what came with its head.
    """

    first_line: str
    headers: dict[str, str]
    body: bytes


@dataclasses.dataclass
class Answer:
    """What a caller got.

    Attributes:
      status: HTTP status, None without a head.
      headers: Values by name in lower case.
      body: Bytes of the body.
      whole: Whether the answer says that this is the whole body.
      seconds: Time from the request to the end.
      error: How the connection failed, empty if it did not.
    """

    status: int | None = None
    headers: dict[str, str] = dataclasses.field(default_factory=dict)
    body: bytes = b''
    whole: bool = False
    seconds: float = 0.0
    error: str = ''


def encode_head(first_line: str, headers: dict[str, str]) -> bytes:
    """Returns the head of a message."""
    lines = [first_line, *(f'{k}: {v}' for k, v in headers.items())]
    return ('\r\n'.join(lines) + '\r\n\r\n').encode('latin-1')


def read_message(connection: socket.socket) -> Message | None:
    """Returns the next message with its body; None at the end."""
    message = _read_head(connection)
    if message is None:
        return None
    length = int(message.headers.get('content-length', 0))
    while len(message.body) < length:
        part = connection.recv(READ_BYTES)
        if not part:
            return None
        message.body += part
    return message


def _read_head(connection: socket.socket) -> Message | None:
    data = b''
    while b'\r\n\r\n' not in data:
        part = connection.recv(READ_BYTES)
        if not part:
            return None
        data += part
    head, _, body = data.partition(b'\r\n\r\n')
    first, *lines = head.decode('latin-1').split('\r\n')
    pairs = (line.partition(':') for line in lines)
    return Message(first, {k.lower(): v.strip() for k, _, v in pairs}, body)


class _Body:
    """Decodes the body of a response."""

    def __init__(self, headers: dict[str, str]):
        self._length = headers.get('content-length')
        self._chunked = 'chunked' in headers.get('transfer-encoding', '')
        self._raw = b''
        self.data = b''
        self.whole = False

    def feed(self, part: bytes) -> None:
        """Adds bytes of the connection."""
        if not self._chunked:
            self.data += part
            self.whole = len(self.data) == int(self._length or -1)
            return
        self._raw += part
        while not self.whole:
            line, end, rest = self._raw.partition(b'\r\n')
            size = int(line, 16) if end else 0
            if not end or len(rest) < size + 2:
                return
            self.data += rest[:size]
            self._raw = rest[size + 2 :]
            self.whole = size == 0


def call(
    address: str,
    method: str,
    target: str,
    headers: dict[str, str],
    body: bytes = b'',
    receive_buffer: int | None = None,
    pause: typing.Callable[[int], None] = lambda size: None,
) -> Answer:
    """Sends a request on a new connection and returns the answer.

    Args:
      address: IP address and port.
      method: HTTP method.
      target: Path and query.
      headers: The headers.
      body: The body.
      receive_buffer: Size of the kernel's receive buffer, None for its own.
      pause: Called after each read with the number of bytes of the body.
    """
    answer, began_at = Answer(), time.monotonic()
    host, _, port = address.rpartition(':')
    try:
        with socket.socket() as connection:
            if receive_buffer is not None:
                connection.setsockopt(
                    socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer
                )
            connection.settimeout(CALL_TIMEOUT_S)
            connection.connect((host, int(port)))
            if body:
                headers = {**headers, 'Content-Length': str(len(body))}
            first = f'{method} {target} HTTP/1.1'
            connection.sendall(encode_head(first, headers) + body)
            _read_answer(connection, answer, pause)
    except OSError as error:
        answer.error = repr(error)
    answer.seconds = time.monotonic() - began_at
    return answer


def _read_answer(connection, answer: Answer, pause) -> None:
    head = _read_head(connection)
    if head is None:
        answer.error = 'closed without a head'
        return
    answer.status = int(head.first_line.split(' ')[1])
    answer.headers = head.headers
    decoder = _Body(head.headers)
    part = head.body
    while True:
        decoder.feed(part)
        answer.body, answer.whole = decoder.data, decoder.whole
        if answer.whole:
            return
        pause(len(answer.body))
        part = connection.recv(READ_BYTES)
        if not part:
            answer.error = 'closed before the end'
            return


def put_row(address: str, table: str, key: str, value: object) -> None:
    """Writes a row as the operator or a worker does; None removes it.

    Raises:
      OSError: The store did not take it.
    """
    row = {'table': table, 'part': '', 'key': key}
    body: dict[str, list] = {'remove': [row]}
    if value is not None:
        body = {'writes': [{**row, 'value': store.encode_value(value)}]}
    answer = call(
        address,
        'POST',
        '/v1/rows-tx',
        {'Host': address, 'X-Writer': 'platform'},
        json.dumps(body).encode(),
    )
    if answer.status != 200:
        raise OSError(f'store: {answer}')
