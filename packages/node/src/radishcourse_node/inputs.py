"""Bounds on the work that the input of one connection causes at a time.

A parser stops after a number of events, and the connection continues when
`Turns` calls it again. One chunk of a body is an event, so a read of 64 KiB
may hold ten thousand of them.
"""

import asyncio
import collections
import time

import h11

# Events that a connection handles at once: about half a millisecond.
EVENTS_PER_TURN = 32
# Time that all connections together get in one iteration of the event loop.
TURNS_S = 0.002


class Parser(h11.Connection):
    """Parses the requests of one connection, some events at a time.

    Attributes:
      stopped: Whether it has stopped before the end of its input.
    """

    def __init__(self, max_incomplete_event_size: int):
        super().__init__(h11.SERVER, max_incomplete_event_size)
        self.stopped = False
        self._events_left = EVENTS_PER_TURN

    @property
    def unparsed_bytes(self) -> int:
        """Bytes of the input that have not been parsed."""
        return len(self._receive_buffer)

    def start_turn(self) -> None:
        """Allows EVENTS_PER_TURN events."""
        self.stopped = False
        self._events_left = EVENTS_PER_TURN

    def next_event(self):
        """Returns the next event; NEED_DATA after the last one of a turn."""
        if not self._events_left:
            self.stopped = True
            return h11.NEED_DATA
        self._events_left -= 1
        return super().next_event()


class Turns:
    """Lets connections that have stopped continue, one after the other."""

    def __init__(self):
        self._waiting = collections.deque()
        self._scheduled = False

    def add(self, continue_input) -> None:
        """Calls a function in a later iteration of the event loop."""
        self._waiting.append(continue_input)
        self._schedule()

    def _schedule(self) -> None:
        if self._waiting and not self._scheduled:
            self._scheduled = True
            asyncio.get_running_loop().call_soon(self._run)

    def _run(self) -> None:
        self._scheduled = False
        ends_at = time.perf_counter() + TURNS_S
        try:
            for _ in range(len(self._waiting)):
                self._waiting.popleft()()
                if time.perf_counter() > ends_at:
                    break
        finally:
            self._schedule()
