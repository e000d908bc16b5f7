"""Timeouts that count only the time in which this process runs."""

import asyncio
import contextlib
import typing

import anyio

from radishcourse_policy import clock as clocks
from radishcourse_policy import lateness


class Timer:
    """Calls a function after a time, extended by the process's lateness.

    Args:
      seconds: Time in which the process runs until the call.
      own_lateness: The process's lateness, by the clock of the loop.
      callback: The function.
    """

    def __init__(
        self,
        seconds: float,
        own_lateness: lateness.Lateness,
        callback: typing.Callable[[], None],
    ):
        self._lateness = own_lateness
        self._callback = callback
        self._counted_s = own_lateness.total_s
        self._handle = self._start(seconds)

    def _start(self, seconds: float) -> asyncio.TimerHandle:
        # asyncio's timer, as a stream needs one for each of its events.
        return asyncio.get_running_loop().call_later(seconds, self._expire)

    def _expire(self) -> None:
        late_s = self._lateness.total_s - self._counted_s
        if not late_s:
            self._callback()
            return
        # What came meanwhile is read before the rest of the time has passed.
        self._counted_s += late_s
        self._handle = self._start(late_s)

    def cancel(self) -> None:
        """Prevents the call."""
        self._handle.cancel()


class Timeouts:
    """Makes timers, and measures the lateness that they leave out.

    Args:
      clock: The process's clock.

    Attributes:
      lateness: The process's lateness, pauses of the whole VM included.
    """

    def __init__(self, clock):
        self.lateness = lateness.Lateness(clock)
        # The loop's timers do not count a pause of the VM.
        self._loop_lateness = lateness.Lateness(clocks.MonotonicClock())

    async def run(self) -> None:
        """Measures the lateness until cancelled."""
        while True:
            self.lateness.tick()
            self._loop_lateness.tick()
            await anyio.sleep(lateness.TICK_S)

    def call_after(
        self, seconds: float, callback: typing.Callable[[], None]
    ) -> Timer:
        """Calls a function after a time; returns its timer."""
        return Timer(seconds, self._loop_lateness, callback)

    @contextlib.contextmanager
    def fail_after(self, seconds: float):
        """Returns a context that is cancelled after a time.

        Raises:
          TimeoutError: The time has passed.
        """
        with anyio.CancelScope() as scope:
            timer = self.call_after(seconds, scope.cancel)
            try:
                yield
            finally:
                timer.cancel()
        if scope.cancelled_caught:
            raise TimeoutError
