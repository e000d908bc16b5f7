"""Counts of requests by window and organisation, over all nodes.

Load pattern: requests of some tens of organisations arrive at all nodes; some
nodes are killed or cut off within a window, and the wall clocks of some jump.
The report of a window is due a few seconds after its end, must be within a few
percent of the truth, and must never be sent with two different contents.

Each node counts for itself. Its counts only grow, so what others know of them
is merged by taking the higher one, in any order and any number of times.
"""

import math
import statistics
import typing

from radishcourse_model import ids

Counts = dict[str, int]

# Windows that are kept, in seconds and at least in number. A report that could
# not be sent for longer is given up.
KEEP_S = 120.0
MIN_KEPT_WINDOWS = 4
# Bounds on what a peer may report.
MAX_NAME_LENGTH = 256
MAX_ORGANISATIONS = 4096
MAX_COUNT = 2**40
# Windows ahead of this node's time that a peer may report.
MAX_AHEAD = 2
# Share of the time from a window's end until its report is due after which it
# is closed though some node has not reported. A node that was killed counts as
# alive for some seconds, and another holder needs more than two leases.
SETTLE_SHARE = 0.3


def window_at(true_time: float, length_s: float) -> int:
    """Returns the window that a time in seconds since the epoch is in."""
    return math.floor(true_time / length_s)


def kept_windows(length_s: float) -> int:
    """Returns how many of the latest windows are kept."""
    return max(MIN_KEPT_WINDOWS, math.ceil(KEEP_S / length_s))


def true_base(
    own_base: float,
    others: typing.Iterable[float],
    previous: float | None = None,
) -> float:
    """Returns the difference between the time of the epoch and the own clock.

    The median of all nodes, so that a node whose wall clock jumped counts with
    the others. Of the two in the middle of an even number, it is the one that
    goes on from the previous result.

    Args:
      own_base: Wall time less the clock's time of this node.
      others: The same difference by the wall times of other nodes.
      previous: The previous result, None without one.
    """
    bases = [own_base, *others]
    low, high = statistics.median_low(bases), statistics.median_high(bases)
    if previous is not None and abs(high - previous) < abs(low - previous):
        return high
    return low


class Source(typing.NamedTuple):
    """A run of a node's process, which counts from zero.

    Attributes:
      node: The node.
      incarnation: Identifies the run.
    """

    node: ids.NodeId
    incarnation: ids.Incarnation


class Tally:
    """What one source has counted.

    Attributes:
      windows: Counts by window.
      complete_below: The first window in which it may still count.
    """

    def __init__(self):
        self.windows: dict[int, Counts] = {}
        self.complete_below = 0


class Tallies:
    """What this node knows of the counts of all nodes.

    Args:
      own: This node's process.
    """

    def __init__(self, own: Source):
        self._own = own
        self._tallies: dict[Source, Tally] = {own: Tally()}
        self._first_kept = 0

    @property
    def first_window(self) -> int | None:
        """The first window with counts, None without any."""
        return min(
            (
                window
                for tally in self._tallies.values()
                for window in tally.windows
            ),
            default=None,
        )

    def get(self, source: Source) -> Tally | None:
        """Returns the counts of a source."""
        return self._tallies.get(source)

    @property
    def sources(self) -> list[Source]:
        """All sources with counts; this node's own comes first."""
        return list(self._tallies)

    def note(self, window: int, organisation: str) -> None:
        """Counts a request of this node.

        Args:
          window: The current window. If the time has gone back, the request
            counts in the first window that is not complete.
          organisation: Name of the organisation.
        """
        tally = self._tallies[self._own]
        counts = tally.windows.setdefault(max(window, tally.complete_below), {})
        counts[organisation] = counts.get(organisation, 0) + 1

    def complete(self, below: int) -> None:
        """Records that this node does not count in windows below one.

        If the time had been far ahead and was corrected, what was counted ahead
        belongs to the window that has begun.
        """
        tally = self._tallies[self._own]
        if tally.complete_below <= below + MAX_AHEAD:
            tally.complete_below = max(tally.complete_below, below)
            return
        tally.complete_below = below
        counts = tally.windows.setdefault(below, {})
        for window in [item for item in tally.windows if item > below]:
            for name, count in tally.windows.pop(window).items():
                counts[name] = counts.get(name, 0) + count

    def merge(
        self,
        source: Source,
        complete_below: int,
        windows: dict[int, Counts],
        current: int,
    ) -> None:
        """Adds what is known of another source's counts.

        Args:
          source: The source; reports of this node's own process are ignored.
          complete_below: The first window in which it may still count.
          windows: Its counts, or those that have changed.
          current: The current window.
        """
        if source == self._own:
            return
        tally = self._tallies.setdefault(source, Tally())
        if complete_below <= current + MAX_AHEAD:
            tally.complete_below = max(tally.complete_below, complete_below)
        for window, counts in windows.items():
            if not self._first_kept <= window <= current + MAX_AHEAD:
                continue
            known = tally.windows.setdefault(window, {})
            for name, count in valid_counts(counts).items():
                if name in known or len(known) < MAX_ORGANISATIONS:
                    known[name] = max(known.get(name, 0), count)

    def is_settled(self, window: int, live: typing.Iterable[Source]) -> bool:
        """Tells whether all sources have reported past a window's end.

        Args:
          window: The window.
          live: Sources that are known to be alive. Those that reported in this
            window or the one before count as alive, too.
        """
        silent = any(
            window - 1 <= tally.complete_below <= window
            for tally in self._tallies.values()
        )
        return not silent and all(
            source in self._tallies
            and self._tallies[source].complete_below > window
            for source in live
        )

    def total(self, window: int) -> Counts:
        """Returns the counts of all sources in a window."""
        total: Counts = {}
        for tally in self._tallies.values():
            for name, count in tally.windows.get(window, {}).items():
                total[name] = total.get(name, 0) + count
        return total

    def forget(self, below: int) -> None:
        """Drops windows below one, and other sources without a window left."""
        self._first_kept = below
        for source, tally in list(self._tallies.items()):
            for window in [item for item in tally.windows if item < below]:
                del tally.windows[window]
            if (
                source != self._own
                and not tally.windows
                and tally.complete_below < below
            ):
                del self._tallies[source]


def valid_counts(counts: Counts) -> Counts:
    """Returns the counts with names and numbers within the bounds."""
    return {
        name: count
        for name, count in counts.items()
        if len(name) <= MAX_NAME_LENGTH and 0 < count <= MAX_COUNT
    }


def is_due(
    window: int,
    length_s: float,
    late_s: float,
    true_time: float,
    settled: bool,
) -> bool:
    """Tells whether a window is to be closed.

    Args:
      window: The window.
      length_s: Length of a window.
      late_s: Time from its end until its report is due.
      true_time: Current time since the epoch.
      settled: Whether all live nodes have reported past its end.
    """
    waited_s = true_time - (window + 1) * length_s
    return waited_s >= 0 and (settled or waited_s >= SETTLE_SHARE * late_s)


class Reports:
    """The reports of closed windows, as a holder or its deputy knows them.

    The counts of a window are sent only once they are known to be recorded in
    the store, which takes the first record of a window and no other.

    Attributes:
      recorded: Counts by window that are, or were, recorded in the store.
      accepted: Windows whose report the second interface has accepted.
      next_window: The first window that is not closed; None before a term.
      closed_below: The first window that no node is known to have closed.
    """

    def __init__(self):
        self.recorded: dict[int, Counts] = {}
        self.accepted: set[int] = set()
        self.next_window: int | None = None
        self.closed_below = 0
        self._term_start = 0

    def record(self, window: int, counts: Counts) -> None:
        """Records that the store has, or had, these counts of a window."""
        self.recorded[window] = counts
        self.note_closed_below(window + 1)

    def note_closed_below(self, window: int) -> None:
        """Records that all windows below one are closed by some node."""
        self.closed_below = max(self.closed_below, window)

    def was_lost(self, window: int) -> bool:
        """Tells whether a window was closed with counts that are not known.

        The store may have lost them after they were sent.
        """
        return window < self.closed_below and window not in self.recorded

    def start(
        self, accepted_below: int | None, first: int, current: int
    ) -> None:
        """Begins a term.

        Args:
          accepted_below: The first window that is not known to be accepted,
            None if the store does not tell.
          first: The first window that may be reported.
          current: The current window.
        """
        if accepted_below is None:
            accepted_below = first
        self.next_window = min(max(accepted_below, first), current)
        self._term_start = self.next_window
        # Reports of an earlier term are sent again: only the store tells what
        # was accepted.
        self.accepted.clear()

    def unsent(self) -> list[int]:
        """Returns the closed windows of this term that are not accepted."""
        return [
            window
            for window in sorted(self.recorded)
            if self._term_start <= window < self.next_window
            and window not in self.accepted
        ]

    def accepted_below(self) -> int:
        """Returns the first window of this term that is not accepted."""
        return min(self.unsent(), default=self.next_window)

    def forget(self, below: int) -> None:
        """Drops windows below one."""
        for window in [item for item in self.recorded if item < below]:
            del self.recorded[window]
        self.accepted = {item for item in self.accepted if item >= below}
