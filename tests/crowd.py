"""Clients that send much, read nothing and keep their connections open."""

import contextlib
import itertools
import pathlib
import selectors
import socket
import threading
import time
import typing

from tests import memory

# A client that reads nothing lets the server fill its receive buffer only.
RECEIVE_BUFFER_BYTES = 4096
BLOCK_BYTES = 64 * 1024
# Time for which a crowd sends; what it has not sent by then is left out.
SEND_S = 12.0
# A crowd that sends nothing for this long waits for the server.
STALL_S = 4.0
Pieces = typing.Iterable[bytes]


def pipelined(request: bytes, count: int) -> Pieces:
    """Returns requests that are sent ahead, 50 at a time."""
    return itertools.repeat(request * 50, count // 50)


def chunked(head: bytes, size: int, chunk_bytes: int, ends: bool) -> Pieces:
    """Returns a request with a chunked body.

    Args:
      head: Request line and headers without the framing.
      size: Bytes of the body.
      chunk_bytes: Bytes of each chunk.
      ends: Whether the body ends; else its last byte stays out.
    """
    chunk = b'%x\r\n%b\r\n' % (chunk_bytes, b'x' * chunk_bytes)
    per_block = max(1, BLOCK_BYTES // len(chunk))
    blocks, rest = divmod(size // chunk_bytes - 1, per_block)
    yield head + b'Transfer-Encoding: chunked\r\n\r\n'
    yield from itertools.repeat(chunk * per_block, blocks)
    yield chunk * rest
    yield chunk + b'0\r\n\r\n' if ends else chunk[:-3]


def announced(head: bytes, size: int) -> Pieces:
    """Returns a request whose body has a Content-Length."""
    yield head + b'Content-Length: %d\r\n\r\n' % size
    yield from itertools.repeat(b'x' * BLOCK_BYTES, size // BLOCK_BYTES)


def frame(size: int) -> Pieces:
    """Returns a frame of a peer without its last byte."""
    yield size.to_bytes(4, 'big')
    yield from itertools.repeat(b'x' * 4096, size // 4096 - 1)
    yield b'x' * 4095


class _Client:
    def __init__(self, address: tuple[str, int], pieces: Pieces):
        self._pieces = iter(pieces)
        self._piece = memoryview(b'')
        self.socket = socket.socket()
        self.socket.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
        )
        self.socket.setblocking(False)
        self.socket.connect_ex(address)

    def send(self) -> bool:
        """Sends what the socket takes; returns whether more is to be sent.

        Raises:
          OSError: The server closed the connection.
        """
        while not self._piece:
            piece = next(self._pieces, None)
            if piece is None:
                return False
            self._piece = memoryview(piece)
        self._piece = self._piece[self.socket.send(self._piece) :]
        return True


class Crowd:
    """A crowd of clients of one listener.

    Args:
      address: Host and port of the listener.
      clients: What each client sends.
    """

    def __init__(self, address: tuple[str, int], clients: list[Pieces]):
        self._clients = [_Client(address, pieces) for pieces in clients]

    def send(self) -> None:
        """Sends until all has been sent, refused or left waiting."""
        with selectors.DefaultSelector() as selector:
            for client in self._clients:
                selector.register(client.socket, selectors.EVENT_WRITE, client)
            ends_at = time.monotonic() + SEND_S
            while selector.get_map() and time.monotonic() < ends_at:
                ready = selector.select(STALL_S)
                if not ready:
                    return
                for key, _ in ready:
                    self._send_one(selector, key.data)

    def _send_one(self, selector, client: _Client) -> None:
        try:
            more = client.send()
        except BlockingIOError:
            return
        except OSError:
            more = False
        if not more:
            selector.unregister(client.socket)

    def close(self) -> None:
        """Closes all connections."""
        for client in self._clients:
            client.socket.close()


class Watch:
    """The most memory and sockets of a process.

    Args:
      pid: Its process id.

    Attributes:
      most_kb: Most resident memory in KiB.
      most_sockets: Most sockets that it had open.
      most_descriptors: Most descriptors that it had open.
    """

    def __init__(self, pid: int):
        self._pid = pid
        self.most_kb = 0
        self.most_sockets = 0
        self.most_descriptors = 0

    def note(self) -> None:
        """Records what the process has now."""
        self.most_kb = max(self.most_kb, memory.resident_kb(self._pid))
        sockets = descriptors = 0
        for path in pathlib.Path(f'/proc/{self._pid}/fd').iterdir():
            with contextlib.suppress(FileNotFoundError):
                sockets += str(path.readlink()).startswith('socket:')
                descriptors += 1
        self.most_sockets = max(self.most_sockets, sockets)
        self.most_descriptors = max(self.most_descriptors, descriptors)


@contextlib.contextmanager
def watching(process):
    """Yields a `Watch` of a started process, kept up to date in a thread."""
    watch = Watch(process.popen.pid)
    stop = threading.Event()

    def run() -> None:
        with contextlib.suppress(FileNotFoundError):
            while not stop.wait(memory.INTERVAL_S):
                watch.note()

    thread = threading.Thread(target=run)
    thread.start()
    try:
        yield watch
    finally:
        stop.set()
        thread.join()
        with contextlib.suppress(FileNotFoundError):
            watch.note()
