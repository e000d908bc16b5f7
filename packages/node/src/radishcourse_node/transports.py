"""The transport of a caller's connection."""

import asyncio

# A caller that is still sending when its response ends must be able to read
# the response, so that what it sends is discarded within these limits.
DISCARD_S = 10.0
DISCARD_BYTES = 64 * 2**20
# A closed connection whose caller does not read the rest is cut off.
CLOSE_S = 30.0


class BatchingTransport:
    """Batches the writes of one event loop iteration into one.

    The system call is the largest cost of a token, so tokens that arrived in
    one read from the engine are sent in one call.

    Args:
      transport: The transport of the event loop.
      loop: The event loop.
      connection: Its protocol.
    """

    def __init__(self, transport: asyncio.Transport, loop, connection):
        self._transport = transport
        self._loop = loop
        self._connection = connection
        self._parts: list[bytes] = []
        self._size = 0
        self._discards = False
        self._discarded = 0
        self._close_timer: asyncio.TimerHandle | None = None
        self._reading_paused = False
        self._reading_held = False

    def write(self, data: bytes) -> None:
        """Schedules a write for the next event loop iteration."""
        if self._discards:
            return
        if not self._parts:
            self._loop.call_soon(self._flush)
        self._parts.append(data)
        self._size += len(data)

    def get_write_buffer_size(self) -> int:
        """Bytes that are not yet in the kernel's send buffer."""
        return self._size + self._transport.get_write_buffer_size()

    def is_closing(self) -> bool:
        """Whether the connection is closing; nothing more is handled."""
        return self._discards or self._transport.is_closing()

    def pause_reading(self) -> None:
        """Stops reading until `resume_reading` is called."""
        self._reading_paused = True
        self._update_reading()

    def resume_reading(self) -> None:
        """Continues reading, unless it is held."""
        self._reading_paused = False
        self._update_reading()

    def hold_reading(self, held: bool) -> None:
        """Stops or continues reading, for the sake of bytes not yet parsed."""
        if held is not self._reading_held:
            self._reading_held = held
            self._update_reading()

    def _update_reading(self) -> None:
        paused = self._reading_paused or self._reading_held
        if paused and not self._discards:
            self._transport.pause_reading()
        else:
            self._transport.resume_reading()

    def close(self) -> None:
        """Writes the pending bytes and closes.

        The sending side is closed first if the caller may still be sending.
        """
        if self.is_closing():
            return
        self._flush()
        if self._transport.is_closing():
            return
        limit_s = CLOSE_S
        if self._connection.has_incomplete_input:
            limit_s = DISCARD_S
            self._discards = True
            self._transport.write_eof()
            self._update_reading()
        else:
            self._transport.close()
        if self._discards or self._transport.get_write_buffer_size():
            self._close_timer = self._loop.call_later(limit_s, self.abort)

    def abort(self) -> None:
        """Closes at once and discards unsent bytes."""
        self.cancel_timer()
        self._parts.clear()
        self._size = 0
        self._transport.abort()

    def cancel_timer(self) -> None:
        """Cancels the limit on closing."""
        if self._close_timer is not None:
            self._close_timer.cancel()
            self._close_timer = None

    def discards(self, size: int) -> bool:
        """Tells whether received bytes are discarded.

        Args:
          size: Number of the bytes.
        """
        if self._discards:
            self._discarded += size
            if self._discarded > DISCARD_BYTES:
                self.abort()
        return self.is_closing()

    def set_write_buffer_limits(self, high: int) -> None:
        """Sets the buffer size at which writing is paused, in bytes."""
        self._flush()
        self._transport.set_write_buffer_limits(high=high)

    def _flush(self) -> None:
        if self._parts:
            data = b''.join(self._parts)
            self._parts.clear()
            self._size = 0
            self._transport.write(data)
        self._connection.note_unread(self._transport.get_write_buffer_size())

    def __getattr__(self, name: str):
        return getattr(self._transport, name)
