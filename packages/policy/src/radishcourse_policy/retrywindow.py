"""A retry budget over a sliding window.

Load pattern: an upstream crashes under all its streams, or a new version fails
most requests for a second, after minutes in which few requests were retried. A
token bucket whose size is a node's share of the fleet's slack, about two
tokens of 182 at 71 nodes, refuses these retries although the bound, which
counts over a window, allows them.
"""

import collections
import dataclasses

# Length of the intervals in which requests and retries are counted, in seconds.
BUCKET_S = 0.5


@dataclasses.dataclass
class _Bucket:
    index: int
    requests: int = 0
    retries: int = 0


class RetryWindow:
    """Permits a share of the requests of a window, plus a slack, as retries.

    Args:
      clock: Source of time.
      window_s: Length of the window in seconds.
    """

    def __init__(self, clock, window_s: float):
        self._clock = clock
        self._window_s = window_s
        self._buckets: collections.deque[_Bucket] = collections.deque()

    def note_request(self) -> None:
        """Counts a request."""
        self._current().requests += 1

    def left(self, share: float, slack: float) -> float:
        """Returns how many retries are left now.

        Counted are the retries of the window and of the interval at its start,
        but the requests without that interval, so that the bound holds in any
        span of that length.

        Args:
          share: Retries allowed for each request.
          slack: Retries allowed in addition.
        """
        start = self._current().index - self._window_s / BUCKET_S
        requests = sum(
            bucket.requests for bucket in self._buckets if bucket.index > start
        )
        retries = sum(bucket.retries for bucket in self._buckets)
        return share * requests + slack - retries

    def spend(self, share: float, slack: float) -> bool:
        """Counts a retry; returns False if none is left.

        The arguments are those of `left`.
        """
        if self.left(share, slack) < 1:
            return False
        self._current().retries += 1
        return True

    def _current(self) -> _Bucket:
        index = int(self._clock.now() // BUCKET_S)
        first = index - int(self._window_s / BUCKET_S)
        while self._buckets and self._buckets[0].index < first:
            self._buckets.popleft()
        if not self._buckets or self._buckets[-1].index < index:
            self._buckets.append(_Bucket(index))
        return self._buckets[-1]
