"""Raw HTTP client for streamed responses, for tests."""

import contextlib
import dataclasses
import json
import socket
import threading
import time

from tests import cluster as clusters

READ_BYTES = 16 * 1024


@dataclasses.dataclass
class Answer:
    """A streamed response as received.

    Attributes:
      head: Status line and headers, in lower case.
      body: Body without the chunked encoding.
    """

    head: str
    body: bytes

    @property
    def events(self) -> list[dict]:
        """The JSON events that the engine sent."""
        return [
            json.loads(item[6:])
            for item in self.body.decode().split('\n\n')
            if item.startswith('data: {')
        ]

    @property
    def done(self) -> bool:
        """Whether the response ended with `[DONE]`."""
        return self.body.endswith(b'data: [DONE]\n\n')

    @property
    def interrupted(self) -> bool:
        """Whether the response has an error event and no `[DONE]`."""
        return b'event: error\n' in self.body and b'[DONE]' not in self.body

    def find_fault(self, tokens: int) -> str:
        """Describes the first fault of a complete response, or returns ''.

        Checks that the events have all indexes in order, come from one
        attempt and carry the right tokens, and that `[DONE]` ends them.
        """
        events = self.events
        if [event['index'] for event in events] != list(range(tokens + 1)):
            return f'indexes {[event["index"] for event in events]}'
        names = {event['request_id'] for event in events}
        if len(names) != 1:
            return f'events of several attempts: {names}'
        tail = names.pop()[-6:]
        for event in events[1:-1]:
            content = event['choices'][0]['delta']['content']
            if not content.startswith(f'{tail}.{event["index"]} '):
                return f'wrong token for its index: {event}'
        return '' if self.done else 'no [DONE]'


class Caller:
    """One raw connection to a node, which reads only on request.

    Args:
      node: Process of the node.
      receive_buffer: Size of the socket's receive buffer in bytes; 0 for the
        system's default.
      timeout_s: Timeout of each socket operation.
    """

    def __init__(self, node, receive_buffer: int = 0, timeout_s: float = 60):
        self._socket = socket.socket()
        if receive_buffer:
            self._socket.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer
            )
        self._socket.settimeout(timeout_s)
        self._socket.connect(('127.0.0.1', node.port))
        self._data = bytearray()

    def __enter__(self):
        return self

    def __exit__(self, *exc_info):
        self._socket.close()

    def send(self, data: bytes) -> None:
        """Sends raw bytes."""
        self._socket.sendall(data)

    def send_end(self) -> None:
        """Closes the sending side of the connection."""
        self._socket.shutdown(socket.SHUT_WR)

    def ask(self, headers=None, key=clusters.KEY, kind='quote', **body):
        """Sends a chat request."""
        body.setdefault('messages', [{'role': 'user', 'content': 'Hello'}])
        self.send(make_request(json.dumps(body).encode(), key, kind, headers))

    def read(self, size: int = READ_BYTES) -> bytes:
        """Returns the next bytes; empty when the connection has ended."""
        with contextlib.suppress(ConnectionResetError):
            part = self._socket.recv(size)
            self._data += part
            return part
        return b''

    def read_until(self, marker: bytes) -> bytes:
        """Reads up to a marker or the end; returns all buffered bytes."""
        while marker not in self._data and self.read():
            pass
        return bytes(self._data)

    def read_response(self) -> bytes:
        """Returns head and body of the next response with a content length."""
        head = self.read_until(b'\r\n\r\n').partition(b'\r\n\r\n')[0]
        _, _, rest = head.lower().partition(b'content-length: ')
        length = int(rest.partition(b'\r\n')[0] or b'0')
        while len(self._data) < len(head) + 4 + length and self.read():
            pass
        data = bytes(self._data)
        self._data.clear()
        return data

    def read_stream(self, pause_s: float = 0.0) -> Answer:
        """Returns a streamed response, with a pause after each read."""
        while not self._data.endswith(b'0\r\n\r\n') and self.read():
            time.sleep(pause_s)
        head, _, body = bytes(self._data).partition(b'\r\n\r\n')
        self._data.clear()
        return Answer(head.decode('latin-1').lower(), _join_chunks(body))


def make_request(
    body: bytes,
    key: str = clusters.KEY,
    kind: str = 'quote',
    headers=None,
) -> bytes:
    """Returns the bytes of a chat request with this body."""
    lines = {
        'Host': 'node',
        'Authorization': f'Bearer {key}',
        'X-Radish-Kind': kind,
        'Content-Length': str(len(body)),
        **(headers or {}),
    }
    text = ''.join(f'{name}: {value}\r\n' for name, value in lines.items())
    head = f'POST /v1/chat/completions HTTP/1.1\r\n{text}\r\n'
    return head.encode('latin-1') + body


def stream(node, headers=None, **body) -> Answer:
    """Sends a chat request on a connection of its own; returns the stream."""
    with Caller(node) as caller:
        caller.ask(headers, stream=True, **body)
        return caller.read_stream()


def run_concurrently(count: int, work) -> list:
    """Returns the results of work(0), work(1), ... run in parallel threads."""
    results = [None] * count

    def run(index: int) -> None:
        results[index] = work(index)

    threads = [
        threading.Thread(target=run, args=(index,)) for index in range(count)
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return results


def _join_chunks(body: bytes) -> bytes:
    parts = []
    while body:
        size, _, body = body.partition(b'\r\n')
        length = int(size, 16)
        parts.append(body[:length])
        body = body[length + 2 :]
    return b''.join(parts)
