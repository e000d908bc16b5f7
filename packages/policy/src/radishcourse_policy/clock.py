"""Time sources that are passed to time-dependent code."""

import time
import typing


class Clock(typing.Protocol):
    """A source of time."""

    def now(self) -> float:
        """Seconds since an arbitrary start, including time spent paused."""

    def wall(self) -> float:
        """Seconds since the epoch; for stored timestamps, not timeouts."""


class SystemClock:
    """The machine's clocks.

    CLOCK_BOOTTIME includes the time for which the whole VM was paused, unlike
    CLOCK_MONOTONIC. After such a pause a node must know that its view is old.
    """

    def now(self) -> float:
        """Seconds since the machine booted."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def wall(self) -> float:
        """Seconds since the epoch."""
        return time.time()


class MonotonicClock:
    """The clock of the event loop's timers.

    Unlike `SystemClock` it stands still while the whole VM is paused.
    """

    def now(self) -> float:
        """Seconds since an arbitrary start."""
        return time.monotonic()

    def wall(self) -> float:
        """Seconds since the epoch."""
        return time.time()


class ManualClock:
    """A clock for tests that only `advance` moves."""

    def __init__(self, start: float = 0.0):
        self._now = start

    def now(self) -> float:
        """Current time of this clock, in seconds."""
        return self._now

    def wall(self) -> float:
        """Same time as `now`."""
        return self._now

    def advance(self, seconds: float) -> None:
        """Moves the clock forward."""
        self._now += seconds
