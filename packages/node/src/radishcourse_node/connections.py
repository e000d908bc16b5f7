"""Connections of callers: buffers, malformed requests, graceful closing."""

import asyncio
import contextlib
import socket
import sys

import h11
from uvicorn.protocols.http import h11_impl

from radishcourse_node import errors
from radishcourse_node import replies
from radishcourse_node.controllers import readers

# Bounds the kernel buffer of a caller that does not read. At a round trip of
# 10 ms it still allows 12 MB/s for each connection.
SEND_BUFFER_BYTES = 128 * 1024
# Delay before idle connections are closed at shutdown, because a request may
# already be on its way on them.
IDLE_CLOSE_DELAY_S = 1.0
STATE_KEY = 'connection'


class _BatchingTransport:
    """Batches the writes of one event loop iteration into one.

    The system call is the largest cost of a token, so tokens that arrived in
    one read from the engine are sent in one call.
    """

    def __init__(self, transport: asyncio.Transport, loop):
        self._transport = transport
        self._loop = loop
        self._parts: list[bytes] = []
        self._size = 0

    def write(self, data: bytes) -> None:
        """Schedules a write for the next event loop iteration."""
        if not self._parts:
            self._loop.call_soon(self._flush)
        self._parts.append(data)
        self._size += len(data)

    def get_write_buffer_size(self) -> int:
        """Bytes that are not yet in the kernel's send buffer."""
        return self._size + self._transport.get_write_buffer_size()

    def close(self) -> None:
        """Writes the pending bytes and closes."""
        self._flush()
        self._transport.close()

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

    def __getattr__(self, name: str):
        return getattr(self._transport, name)


class Connection(h11_impl.H11Protocol):
    """A caller's connection; the ASGI scope's state refers to it.

    The connection is closed if the headers of a request, or the rest of a
    body that was refused, do not arrive within `header_limit_s` seconds.

    Attributes:
      on_disconnect: Called when the connection is lost, or None.
    """

    def __init__(
        self, config, server_state, app_state, _loop=None, header_limit_s=10.0
    ):
        state = {**app_state, STATE_KEY: self}
        super().__init__(config, server_state, state, _loop)
        self.on_disconnect = None
        self._header_limit_s = header_limit_s
        self._request_timer: asyncio.TimerHandle | None = None
        self._disconnected = False

    def held_bytes(self) -> int:
        """Written bytes that are not yet in the kernel's send buffer."""
        return self.transport.get_write_buffer_size()

    def is_paused(self) -> bool:
        """Whether writing is paused because the buffer is full."""
        return self.flow.write_paused

    async def wait_flushed(self) -> None:
        """Waits until the kernel has all bytes or the caller disconnects."""
        self.transport.set_write_buffer_limits(high=0)
        try:
            await self.flow.drain()
        finally:
            self._set_limits()

    def abort(self) -> None:
        """Closes the connection and discards unsent bytes."""
        self.transport.abort()

    def _set_limits(self) -> None:
        self.transport.set_write_buffer_limits(
            high=readers.HIGH_WATERMARK_BYTES
        )

    def connection_made(self, transport) -> None:
        """Limits the buffers and the time for the first request."""
        super().connection_made(_BatchingTransport(transport, self.loop))
        self._set_limits()
        transport.get_extra_info('socket').setsockopt(
            socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES
        )
        self._update_request_timer()

    def connection_lost(self, exc) -> None:
        """Cancels the work for a caller that has disconnected."""
        self._disconnected = True
        self._update_request_timer()
        super().connection_lost(exc)
        if self.on_disconnect is not None:
            self.on_disconnect()

    def data_received(self, data: bytes) -> None:
        """Parses the data and limits the time for an incomplete request."""
        super().data_received(data)
        self._update_request_timer()

    def eof_received(self) -> None:
        """Refuses a request whose body ended early."""
        if self.conn.their_state is h11.SEND_BODY:
            with contextlib.suppress(h11.LocalProtocolError):
                self.conn.receive_data(b'')
                self.handle_events()

    def _update_request_timer(self) -> None:
        answered = self.cycle is None or self.cycle.response_complete
        waiting = (
            answered
            and not self._disconnected
            and self._is_request_incomplete()
        )
        if not waiting and self._request_timer is not None:
            self._request_timer.cancel()
            self._request_timer = None
        elif waiting and self._request_timer is None:
            self._request_timer = self.loop.call_later(
                self._header_limit_s, self.transport.abort
            )

    def _is_request_incomplete(self) -> bool:
        """Whether the first request, or one that has started, is incomplete."""
        return (
            self.cycle is None
            or self.conn.their_state is h11.SEND_BODY
            or bool(self.conn.trailing_data[0])
        )

    def send_400_response(self, msg: str) -> None:
        """Answers a malformed request with a refusal and its error code."""
        error = sys.exception()
        status = getattr(error, 'error_status_hint', 400)
        reason = errors.RefusalCode.BAD_REQUEST
        if status == errors.RefusalCode.HEADERS_TOO_LARGE.status:
            reason = errors.RefusalCode.HEADERS_TOO_LARGE
        error_response = replies.make_error_response(
            errors.Refusal(reason, f'{msg} {error}'), request_id=''
        )
        headers = {
            **error_response.headers,
            'content-length': str(len(error_response.body)),
            'connection': 'close',
        }
        response = h11.Response(
            status_code=error_response.status, headers=list(headers.items())
        )
        try:
            for event in (
                response,
                h11.Data(error_response.body),
                h11.EndOfMessage(),
            ):
                self.transport.write(self.conn.send(event))
        except h11.LocalProtocolError:
            # Part of another answer has been sent, so no error can follow.
            self.transport.abort()
            return
        self.transport.close()

    def shutdown(self) -> None:
        """Closes once no request is in progress, after a delay if idle."""
        if self.cycle is None or self.cycle.response_complete:
            self.loop.call_later(IDLE_CLOSE_DELAY_S, self._close_idle)
        else:
            self.cycle.keep_alive = False

    def _close_idle(self) -> None:
        if not self.transport.is_closing():
            super().shutdown()
