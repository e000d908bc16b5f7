"""Connections of callers: buffers, malformed requests, graceful closing."""

import asyncio
import contextlib
import enum
import socket
import sys

import h11
from uvicorn.protocols.http import h11_impl

from radishcourse_node import errors
from radishcourse_node import heldbytes
from radishcourse_node import inputs
from radishcourse_node import replies
from radishcourse_node import resources
from radishcourse_node import transports
from radishcourse_node.controllers import readers

# Bounds the kernel buffer of a caller that does not read. At a round trip of
# 10 ms it still allows 12 MB/s for each connection.
SEND_BUFFER_BYTES = 128 * 1024
# Most bytes that are read before they are parsed, also of requests sent ahead.
READ_BYTES = 64 * 1024
# Delay before idle connections are closed at shutdown, because a request may
# already be on its way on them.
IDLE_CLOSE_DELAY_S = 1.0
# A caller may read a response only after it has sent its whole body. Up to this
# many announced bytes the rest is read as part of the request; a longer rest,
# or one of unknown length, is discarded and the connection closed.
KEPT_REST_BYTES = 64 * 1024
CLOSE_HEADER = (b'connection', b'close')
STATE_KEY = 'connection'
# Largest head where the server sets no other limit.
MAX_HEAD_BYTES = 16 * 1024
# A head of 16 KiB, the most that configurations allow, has no more headers. One
# of a few bytes takes ten times its bytes of memory.
MAX_HEADERS = 4096
HEADER_BYTES = 300


class Phase(enum.IntEnum):
    """What a connection does, in the order in which connections are closed.

    A connection that waits for its caller is idle, has an incomplete request
    or a response that the caller does not read.
    """

    CLOSING = 0
    WAITING = 1
    SERVING = 2


class Connection(h11_impl.H11Protocol, asyncio.BufferedProtocol):
    """A caller's connection; the ASGI scope's state refers to it.

    The connection is closed if the headers of a request, or the rest of a
    body that was refused, do not arrive within `header_limit_s` seconds.

    Attributes:
      on_disconnect: Called when the connection is lost, or None.
    """

    # One buffer serves all connections: its bytes are parsed at once.
    _read_buffer = memoryview(bytearray(READ_BYTES))

    def __init__(
        self,
        config,
        server_state,
        app_state,
        _loop=None,
        header_limit_s=10.0,
        *,
        shared: resources.Resources,
        limit: resources.ConnectionLimit,
    ):
        state = {**app_state, STATE_KEY: self}
        super().__init__(config, server_state, state, _loop)
        self._app, self.app = self.app, self._run_app
        self.conn = inputs.Parser(
            config.h11_max_incomplete_event_size or MAX_HEAD_BYTES
        )
        self.on_disconnect = None
        self._turns = shared.turns
        self._limit = limit
        self._header_limit_s = header_limit_s
        self._request_timer: asyncio.TimerHandle | None = None
        self._disconnected = False
        self._waits_for_turn = False
        self._active_at = self.loop.time()
        self._unparsed = shared.account.open(heldbytes.Kind.INPUT, self.abort)
        self._head = shared.account.open(heldbytes.Kind.INPUT, self.abort)
        self._unread = shared.account.open(heldbytes.Kind.UNREAD, self.abort)

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

    def closing_order(self) -> tuple[int, float]:
        """Returns the key by which connections over the limit are closed."""
        return self._phase(), self._active_at

    def _phase(self) -> Phase:
        if self.transport.is_closing():
            return Phase.CLOSING
        serving = (
            self.cycle is not None
            and not self.cycle.response_complete
            and not self.cycle.more_body
            and not self.is_paused()
        )
        return Phase.SERVING if serving else Phase.WAITING

    def _set_limits(self) -> None:
        self.transport.set_write_buffer_limits(
            high=readers.HIGH_WATERMARK_BYTES
        )

    def connection_made(self, transport) -> None:
        """Limits the buffers and the time for the first request."""
        super().connection_made(
            transports.BatchingTransport(transport, self.loop, self)
        )
        self._set_limits()
        transport.get_extra_info('socket').setsockopt(
            socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES
        )
        self._update_request_timer()
        self._limit.add(self)

    def connection_lost(self, exc) -> None:
        """Cancels the work for a caller that has disconnected."""
        self._disconnected = True
        self._limit.remove(self)
        self.transport.cancel_timer()
        self._unparsed.release()
        self._head.release()
        self._unread.release()
        self._update_request_timer()
        super().connection_lost(exc)
        if self.on_disconnect is not None:
            self.on_disconnect()

    def get_buffer(self, sizehint: int) -> memoryview:
        """Returns the buffer for the next bytes."""
        return self._read_buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Handles the bytes in the buffer, or discards them when closing."""
        if not self.transport.discards(nbytes):
            self.data_received(bytes(self._read_buffer[:nbytes]))

    def data_received(self, data: bytes) -> None:
        """Parses the data and limits the time for an incomplete request."""
        self._active_at = self.loop.time()
        super().data_received(data)
        self._update_request_timer()

    def handle_events(self) -> None:
        """Handles the events of one turn; the rest follows in later turns."""
        if self._waits_for_turn:
            return
        self.conn.start_turn()
        super().handle_events()
        self._unparsed.try_resize(self.conn.unparsed_bytes)
        stopped = self.conn.stopped and not self.transport.is_closing()
        self.transport.hold_reading(stopped)
        if stopped:
            self._waits_for_turn = True
            self._turns.add(self._continue_input)

    def _continue_input(self) -> None:
        self._waits_for_turn = False
        if not self._disconnected and not self.transport.is_closing():
            try:
                self.handle_events()
            except Exception:
                self.abort()
                raise
            self._update_request_timer()

    def note_unread(self, size: int) -> None:
        """Records the number of bytes that the caller has not read."""
        self._unread.try_resize(size)

    def resume_writing(self) -> None:
        """Continues the response: the caller has read on."""
        self._active_at = self.loop.time()
        self.note_unread(self.held_bytes())
        super().resume_writing()

    def eof_received(self) -> None:
        """Refuses a request whose body ended early."""
        if self.transport.is_closing():
            return
        if self.conn.their_state is h11.SEND_BODY:
            with contextlib.suppress(h11.LocalProtocolError):
                self.conn.receive_data(b'')
                self.handle_events()

    async def _run_app(self, scope, receive, send) -> None:
        """Runs the application; adds the header of a closing response."""

        async def send_message(message) -> None:
            if (
                message['type'] == 'http.response.start'
                and self._must_discard_rest()
            ):
                headers = list(message.get('headers', ()))
                if CLOSE_HEADER not in headers:
                    headers.append(CLOSE_HEADER)
                message = {**message, 'headers': headers}
            await send(message)

        headers = scope['headers']
        if len(headers) > MAX_HEADERS:
            refusal = errors.Refusal(
                errors.RefusalCode.HEADERS_TOO_LARGE,
                f'more than {MAX_HEADERS} headers',
            )
            response = replies.make_error_response(refusal, request_id='')
            await replies.send_response(send_message, response)
            return
        size = sum(len(name) + len(value) for name, value in headers)
        if self._head.try_resize(size + HEADER_BYTES * len(headers)):
            await self._app(scope, receive, send_message)

    def _must_discard_rest(self) -> bool:
        """Whether the rest of the request's body is not to be parsed."""
        if self.conn.their_state is not h11.SEND_BODY:
            return False
        if self.conn.they_are_waiting_for_100_continue:
            return True
        length = next(
            (
                value
                for name, value in self.headers
                if name == b'content-length'
            ),
            None,
        )
        return length is None or int(length) > KEPT_REST_BYTES

    def on_response_complete(self) -> None:
        """Frees what is left of the request and continues with the next."""
        self.cycle.body = bytearray()
        self.cycle.scope = {}
        self.scope = self.headers = None
        self._head.try_resize(0)
        self._active_at = self.loop.time()
        super().on_response_complete()

    @property
    def has_incomplete_input(self) -> bool:
        """Whether closing at once could lose the response.

        The system resets a connection that is closed with bytes unread, and
        discards what the caller has not read yet.
        """
        return self.conn.their_state in (h11.SEND_BODY, h11.ERROR) or bool(
            self.conn.unparsed_bytes
        )

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
            or bool(self.conn.unparsed_bytes)
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
