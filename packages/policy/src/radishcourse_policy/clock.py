"""Clocks that decisions are given."""

import time
import typing


class Clock(typing.Protocol):
    """A source of time."""

    def now(self) -> float:
        """Seconds since some start; goes on while the process is frozen."""

    def wall(self) -> float:
        """Seconds since the epoch; for people and bills only."""


class SystemClock:
    """The machine's clocks.

    CLOCK_BOOTTIME also counts the time for which the whole VM was paused,
    which CLOCK_MONOTONIC does not; a node must know that its view is old
    after such a pause.
    """

    def now(self) -> float:
        """Seconds since the machine started."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def wall(self) -> float:
        """Seconds since the epoch."""
        return time.time()


class ManualClock:
    """A clock for tests that moves only when told."""

    def __init__(self, start: float = 0.0):
        self._now = start

    def now(self) -> float:
        """Seconds since the clock's start."""
        return self._now

    def wall(self) -> float:
        """The same as `now`."""
        return self._now

    def advance(self, seconds: float) -> None:
        """Moves the clock forward."""
        self._now += seconds
