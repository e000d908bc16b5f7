"""Lateness of this process: time in which it should have run and did not.

Load pattern: a VM that freezes for seconds, or whose cores are shared with busy
neighbours. What the process waits for may have come meanwhile without being
read, so that a timeout that counts this time judges the others by the
process's own lateness.
"""

from radishcourse_policy import clock as clocks

TICK_S = 0.1
# A tick that is late by less than this shows no lateness but the resolution of
# timers and short callbacks.
MIN_LATE_S = 0.05
# A process that did not run for so long was paused. It has missed rounds of
# gossip, and what is in its socket buffers is old.
MIN_PAUSE_S = 0.5


class Lateness:
    """Adds up the lateness of ticks that are due every `TICK_S`.

    Args:
      clock: Source of time; it includes the time for which the VM was paused.
    """

    def __init__(self, clock: clocks.Clock):
        self._clock = clock
        self._ticked_at = clock.now()
        self._total_s = 0.0
        self._resumed_at = float('-inf')

    def tick(self) -> None:
        """Notes that the process is running."""
        now = self._clock.now()
        late_s = self._late_s(now)
        self._total_s += late_s
        if late_s >= MIN_PAUSE_S:
            self._resumed_at = now
        self._ticked_at = now

    @property
    def total_s(self) -> float:
        """Seconds of lateness since the start; grows while a tick is late."""
        return self._total_s + self._late_s(self._clock.now())

    @property
    def resumed_at(self) -> float:
        """When the latest pause ended; minus infinity without one.

        A pause whose end no tick has noted yet ends now.
        """
        now = self._clock.now()
        return now if self._late_s(now) >= MIN_PAUSE_S else self._resumed_at

    def _late_s(self, now: float) -> float:
        late_s = now - self._ticked_at - TICK_S
        return late_s if late_s >= MIN_LATE_S else 0.0
