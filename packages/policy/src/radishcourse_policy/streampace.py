"""Decides whether a stream that falls behind is continued at another upstream.

Load pattern: upstreams are 2.5 times slower for a while, or serve so many
requests that a stream can't end by its deadline, while others are faster.
Slow phases of less than a second are common and no reason to move. Nor is a
single silence: an upstream may pause for about 1.5 s, with all its streams.
"""

import collections
import dataclasses
import statistics

# The pace of a stream is measured over this time at least, and anew at each
# CHECK_INTERVAL_S.
MIN_MEASURED_S = 1.2
CHECK_INTERVAL_S = 0.4
# Events in that time without which the pace is not known; it is then measured
# over more time.
MIN_EVENTS = 4
MAX_MARKS = 16
# A pause of this length or more counts as a silence of the upstream, after
# which the pace is measured anew. One that is silent again within
# SILENCE_INTERVAL_S is slow.
SILENCE_S = 0.8
SILENCE_INTERVAL_S = 10.0
# A stream moves only if its time for each event is this multiple of the usual
# one. Nine in ten streams of an upstream are below 1.6 times the median.
SLOW_FACTOR = 1.6
# Share of the time left in which the stream must be able to end elsewhere.
USABLE_SHARE = 0.8
# Streams that the estimates are made of, and the least number of them.
MAX_SAMPLES = 64
MIN_SAMPLES = 8
# Kinds that are kept; a caller may name the model.
MAX_KINDS = 64

Kind = tuple[str, str]


@dataclasses.dataclass
class Progress:
    """Progress of a stream at one upstream.

    Attributes:
      began_at: When its first event here came, in seconds; None before.
      events: Events that came after it.
      checked_at: When its pace was last judged.
      noted_at: When its latest events came.
      silent_at: When its latest silence that was left out ended; None if none.
      marks: Times and numbers of events of the latest checks.
    """

    began_at: float | None = None
    events: int = 0
    checked_at: float = 0.0
    noted_at: float = 0.0
    silent_at: float | None = None
    marks: collections.deque[tuple[float, int]] = dataclasses.field(
        default_factory=lambda: collections.deque(maxlen=MAX_MARKS)
    )

    def note(self, now: float, events: int) -> bool:
        """Records events; tells whether it is time to judge the pace."""
        if self.began_at is None:
            self.began_at = self.checked_at = self.noted_at = now
            self.marks.append((now, 0))
            return False
        self.events += events
        pause_s, self.noted_at = now - self.noted_at, now
        if self._is_silence(now, pause_s):
            self.silent_at = self.checked_at = now
            self.marks.clear()
            self.marks.append((now, self.events))
            return False
        if now - self.checked_at < CHECK_INTERVAL_S:
            return False
        self.checked_at = now
        self.marks.append((now, self.events))
        return True

    def _is_silence(self, now: float, pause_s: float) -> bool:
        if pause_s < SILENCE_S:
            return False
        return (
            self.silent_at is None or now - self.silent_at >= SILENCE_INTERVAL_S
        )

    @property
    def pace_s(self) -> float | None:
        """Seconds between its latest events, None if they are too few."""
        if not self.marks:
            return None
        end, last = self.marks[-1]
        for start, first in reversed(self.marks):
            if end - start >= MIN_MEASURED_S and last - first >= MIN_EVENTS:
                return (end - start) / (last - first)
        return None


@dataclasses.dataclass(frozen=True)
class Judgement:
    """Whether a stream moves, and the inputs.

    Attributes:
      behind: Whether it is to be continued at another upstream.
      pace_s: Seconds between its events.
      usual_s: The same for other streams of its kind.
      remaining: Events that it may still have.
    """

    behind: bool
    pace_s: float = 0.0
    usual_s: float = 0.0
    remaining: float = 0.0


ON_TIME = Judgement(False)


class Paces:
    """Usual paces and lengths of one service's streams."""

    def __init__(self):
        self._paces: dict[Kind, collections.deque[float]] = {}
        self._lengths: dict[Kind, collections.deque[float]] = {}

    def note_pace(self, kind: Kind, pace_s: float) -> None:
        """Records the time between the events of a stream."""
        _append(self._paces, kind, pace_s)

    def note_length(self, kind: Kind, events: int, most: int) -> None:
        """Records the length of a complete stream.

        Args:
          kind: Route and model.
          events: Events that it had.
          most: Output tokens that its request allowed.
        """
        if most > 0:
            _append(self._lengths, kind, events / most)

    def judge(
        self,
        kind: Kind,
        progress: Progress,
        had: int,
        most: int,
        left_s: float,
        move_s: float | None,
    ) -> Judgement:
        """Judges a stream that has begun.

        Args:
          kind: Route and model.
          progress: Its progress at its upstream.
          had: Events that its caller has received.
          most: Output tokens that its request allows, 0 if unknown.
          left_s: Time to its deadline.
          move_s: Expected time to the first event elsewhere, None if unknown.
        """
        paces = self._paces.get(kind, ())
        lengths = self._lengths.get(kind, ())
        pace_s = progress.pace_s
        if pace_s is None or move_s is None or most <= 0 or left_s <= 0:
            return ON_TIME
        if min(len(paces), len(lengths)) < MIN_SAMPLES:
            return ON_TIME
        usual_s = statistics.median(paces)
        # Events may hold several tokens, and streams end before their limit.
        remaining = most * max(lengths) - had
        ends_late = remaining * pace_s > left_s
        is_slow = pace_s > SLOW_FACTOR * usual_s
        elsewhere_s = move_s + remaining * usual_s
        in_time = elsewhere_s <= USABLE_SHARE * left_s
        behind = remaining > 0 and ends_late and is_slow and in_time
        return Judgement(behind, pace_s, usual_s, remaining)


def _append(samples: dict, kind: Kind, value: float) -> None:
    if kind not in samples and len(samples) >= MAX_KINDS:
        del samples[next(iter(samples))]
    samples.setdefault(kind, collections.deque(maxlen=MAX_SAMPLES)).append(
        value
    )
