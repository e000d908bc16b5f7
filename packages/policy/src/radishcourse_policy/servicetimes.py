"""Times of the recent attempts of one service, as one node saw them.

Load pattern: a queue that grows from nothing to several seconds within a few
seconds. The times of answered requests show it only after it has been waited
through, so the attempts that still wait count, too.
"""

import collections
import statistics

# Answered attempts that are kept.
MAX_SAMPLES = 64
# Share of the times to the head that are shorter than one without waiting. Some
# responses, such as errors, are quicker than the others.
SHORT_SHARE = 0.1
# Heads within this time are enough, if there are `min_samples` of them; else
# older ones count as well.
FRESH_S = 1.0
# Kinds of requests whose times are kept; routes and models are configured, but
# a caller may name the model.
MAX_KINDS = 64


class ServiceTimes:
    """Times to the head of a response, and from there to its end."""

    def __init__(self):
        self._heads: collections.deque[tuple[float, float]] = collections.deque(
            maxlen=MAX_SAMPLES
        )
        self._waiting: dict[object, float] = {}
        self._runs: dict[tuple[str, str], collections.deque[float]] = {}

    def note_sent(self, attempt: object, now: float) -> None:
        """Records that an attempt was sent."""
        self._waiting[attempt] = now

    def note_head(self, attempt: object, now: float) -> None:
        """Records the head of an attempt's response."""
        sent_at = self._waiting.pop(attempt, None)
        if sent_at is not None:
            self._heads.append((now, now - sent_at))

    def note_failed(self, attempt: object) -> None:
        """Records that an attempt ended; does nothing after its head."""
        self._waiting.pop(attempt, None)

    def note_run(self, kind: tuple[str, str], seconds: float) -> None:
        """Records the time from the head of a response to its end.

        Args:
          kind: Route and model.
          seconds: The time.
        """
        if kind not in self._runs and len(self._runs) >= MAX_KINDS:
            del self._runs[next(iter(self._runs))]
        runs = self._runs.setdefault(
            kind, collections.deque(maxlen=MAX_SAMPLES)
        )
        runs.append(seconds)

    def head_s(
        self, now: float, window_s: float, min_samples: int, quantile: float
    ) -> float | None:
        """Returns a quantile of the time to the head.

        This is the Kaplan-Meier estimate over the recent heads and the
        attempts that still wait. If too few have ended for the quantile, it is
        the median of all times so far: only few may have waited for longer.

        Args:
          now: Current time in seconds.
          window_s: Older heads are left out.
          min_samples: With fewer heads and waiting attempts the result is
            None.
          quantile: The quantile, 0 to 1.
        """
        heads = []
        for at, seconds in reversed(self._heads):
            if at < now - window_s or (
                at < now - FRESH_S and len(heads) >= min_samples
            ):
                break
            heads.append((seconds, True))
        waiting = [(now - at, False) for at in self._waiting.values()]
        samples = sorted(heads + waiting)
        if not heads or len(samples) < min_samples:
            return None
        left, surviving = len(samples), 1.0
        for seconds, ended in samples:
            if ended:
                surviving *= 1 - 1 / left
                if surviving <= 1 - quantile:
                    return seconds
            left -= 1
        return samples[len(samples) // 2][0]

    def least_run_s(self, kind: tuple[str, str], min_samples: int) -> float:
        """Returns the shortest time from head to end, 0 if it is unknown.

        Args:
          kind: Route and model.
          min_samples: With fewer responses it is unknown.
        """
        runs = self._runs.get(kind, ())
        return min(runs) if len(runs) >= max(1, min_samples) else 0.0

    def mean_run_s(
        self, kind: tuple[str, str], min_samples: int
    ) -> float | None:
        """Returns the mean time from head to end, None if it is unknown.

        The arguments are those of `least_run_s`.
        """
        runs = self._runs.get(kind, ())
        return statistics.fmean(runs) if len(runs) >= min_samples else None

    def slot_s(self, min_samples: int) -> float | None:
        """Returns for how long a request holds a slot, None if unknown.

        This is a short time to the head and the mean time from there to the
        end, as most times to the head include waiting in a shortage.

        Args:
          min_samples: With fewer responses it is unknown.
        """
        runs = [seconds for kind in self._runs.values() for seconds in kind]
        if len(runs) < max(1, min_samples) or not self._heads:
            return None
        heads = sorted(seconds for _, seconds in self._heads)
        return heads[int(SHORT_SHARE * len(heads))] + statistics.fmean(runs)
