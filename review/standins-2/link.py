"""A link between two machines that can be cut, for the review's scripts.

While it is cut, all bytes and the ends of channels are held up, as TCP does
with a path that is interrupted, and are delivered when it heals.
"""

import contextlib
import socket
import threading

CHUNK_BYTES = 64 * 1024


class Link:
    """Forwards channels to one address.

    Args:
      address: Where it listens.
      target: Where it forwards to.
    """

    def __init__(self, address: str, target: str):
        self._target = _split(target)
        self._whole = threading.Event()
        self._whole.set()
        self._listener = socket.create_server(_split(address))
        threading.Thread(target=self._accept, daemon=True).start()

    def cut(self) -> None:
        """Interrupts the path, in both directions."""
        self._whole.clear()

    def heal(self) -> None:
        """Ends the interruption."""
        self._whole.set()

    def _accept(self) -> None:
        while True:
            try:
                near, _ = self._listener.accept()
            except OSError:
                return
            threading.Thread(
                target=self._connect, args=(near,), daemon=True
            ).start()

    def _connect(self, near: socket.socket) -> None:
        self._whole.wait()
        try:
            far = socket.create_connection(self._target)
        except OSError:
            # Nothing listens there: the channel is reset.
            near.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, b'\1\0\0\0\0\0\0\0'
            )
            near.close()
            return
        for ends in ((near, far), (far, near)):
            threading.Thread(target=self._pump, args=ends, daemon=True).start()

    def _pump(self, source: socket.socket, sink: socket.socket) -> None:
        with contextlib.suppress(OSError):
            while True:
                try:
                    data = source.recv(CHUNK_BYTES)
                except OSError:
                    self._whole.wait()
                    sink.setsockopt(
                        socket.SOL_SOCKET, socket.SO_LINGER, b'\1\0\0\0\0\0\0\0'
                    )
                    sink.close()
                    return
                self._whole.wait()
                if not data:
                    sink.shutdown(socket.SHUT_WR)
                    return
                sink.sendall(data)


def _split(address: str) -> tuple[str, int]:
    host, _, port = address.partition(':')
    return host, int(port)
