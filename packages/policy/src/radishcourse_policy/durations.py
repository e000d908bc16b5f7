"""Mean answer times of the version in service, and which answers are slow."""

import math

# Multiple of the mean time at which an answer is slow. The users' slow versions
# take eight times as long; half of that also occurs behind a long prompt.
SLOW_FACTOR = 3.0
# An answer tells a slow version only if one that takes this many times as long
# as usual would count as slow.
SLOWDOWN = 8.0
# The same as SLOW_FACTOR for the time between events, which all streams of an
# upstream share. It varies less: on the users' engines, nine in ten are below
# 1.6 times the median.
SLOW_PACE_FACTOR = 2.2
# Streams with fewer events are too short to tell their pace.
MIN_PACE_EVENTS = 4
# A stream's pace is counted after this many events. Slow streams end late, so
# most of those counted at their end would be fast.
PACE_EVENTS = 8
# Weight of the newest answer in the running mean.
MEAN_WEIGHT = 0.05
# Shorter times to the head of an answer and between events count as these.
MIN_HEAD_S = 0.05
MIN_PACE_S = 0.002


class Durations:
    """Mean answer times of the version in service, by kind of request.

    Times to the head are compared as multiples of the expected prefill time.
    The mean is geometric, so that a few long waits hardly change it. The pace
    of a stream, its time between events, is compared separately, since a
    version may begin in time and then stream slowly.
    """

    def __init__(self):
        self._means: dict[tuple, float] = {}
        # Means of times to the head without their lower bound, to tell for
        # which kinds of requests that bound hides a slow version.
        self._unbounded_means: dict[tuple, float] = {}

    def record_pace(
        self, kind: tuple, seconds: float, events: int, learn: bool
    ) -> bool | None:
        """Records the pace of a stream; tells whether it was slow.

        Args:
          kind: The service and model.
          seconds: Time from the head of the stream to its end.
          events: Events in that time.
          learn: Whether the version in service made it, so that it counts
            in the mean.

        Returns:
          Whether it was slow; None for a stream that is too short to tell.
        """
        if events < MIN_PACE_EVENTS:
            return None
        value = math.log(max(seconds / events, MIN_PACE_S))
        return self._compare(kind, value, learn, SLOW_PACE_FACTOR)

    def record_if_slow(self, kind: tuple, seconds: float, learn: bool) -> bool:
        """Records a stream with less than PACE_EVENTS events if it is slow.

        It is if even these events, coming now, would make a slow pace.

        Args:
          kind: The service and model.
          seconds: Time since the head of the stream.
          learn: Whether the version in service makes it, so that it counts
            in the mean.
        """
        value = math.log(max(seconds / PACE_EVENTS, MIN_PACE_S))
        slow = self._is_slow(kind, value, SLOW_PACE_FACTOR)
        if slow and learn:
            # The mean must follow the version in service when it slows down.
            self._learn(kind, value)
        return slow

    def record_head_time(
        self, kind: tuple, seconds: float, prefill_s: float, learn: bool
    ) -> bool | None:
        """Records the time to the head of an answer; tells whether it was slow.

        Args:
          kind: The service, route and model.
          seconds: Time from sending the request to the head of the answer.
          prefill_s: Expected prefill time of the prompt.
          learn: Whether the version in service made it, so that it counts
            in the mean.

        Returns:
          Whether it was slow; None if that can't be told, as nothing is known
          of such answers yet or even slow ones come too fast.
        """
        usual_s = MIN_HEAD_S + prefill_s
        value = math.log(max(seconds, MIN_HEAD_S) / usual_s)
        slow = None
        if self._tells(kind):
            slow = self._is_slow(kind, value, SLOW_FACTOR)
        if learn:
            self._learn(kind, value)
            unbounded = math.log(max(seconds, MIN_PACE_S) / usual_s)
            _update(self._unbounded_means, kind, unbounded)
        return slow

    def is_overdue(self, kind: tuple, seconds: float, prefill_s: float) -> bool:
        """Tells whether an answer is slow that has no head after some time.

        Args:
          kind: The service, route and model.
          seconds: Time since the request was sent.
          prefill_s: Expected prefill time of the prompt.
        """
        value = math.log(max(seconds, MIN_HEAD_S) / (MIN_HEAD_S + prefill_s))
        return self._tells(kind) and self._is_slow(kind, value, SLOW_FACTOR)

    def _tells(self, kind: tuple) -> bool:
        """Tells whether a slow version's answers would count as slow."""
        unbounded = self._unbounded_means.get(kind)
        if unbounded is None:
            return False
        return unbounded + math.log(SLOWDOWN) > self._means[kind] + math.log(
            SLOW_FACTOR
        )

    def _compare(
        self, kind: tuple, value: float, learn: bool, factor: float
    ) -> bool:
        slow = self._is_slow(kind, value, factor)
        if learn:
            self._learn(kind, value)
        return slow

    def _is_slow(self, kind: tuple, value: float, factor: float) -> bool:
        mean = self._means.get(kind)
        return mean is not None and value > mean + math.log(factor)

    def _learn(self, kind: tuple, value: float) -> None:
        _update(self._means, kind, value)


def _update(means: dict[tuple, float], kind: tuple, value: float) -> None:
    mean = means.setdefault(kind, value)
    means[kind] = mean + MEAN_WEIGHT * (value - mean)
