"""Reports that the engine stand-in delays: its load and cache events."""

import collections

import anyio
import msgspec

HISTORY_LIMIT = 4096


class Load(msgspec.Struct):
    """The engine's load from some time on.

    Attributes:
      at: Time of the change, in seconds of the event loop's clock.
      running: Number of running requests.
      queued: Number of queued requests.
    """

    at: float
    running: int
    queued: int


class CacheEvent(msgspec.Struct):
    """A change of the cache of prompt prefixes.

    Attributes:
      sequence: Number of the event, from 1.
      kind: `stored` or `evicted`.
      prefix: Hash of the model and the first message.
      at: Time of the change, in seconds of the event loop's clock.
    """

    sequence: int
    kind: str
    prefix: str
    at: float


class Reports:
    """Keeps a history of loads and cache events for delayed reports.

    Args:
      cache_size: Capacity of the cache, in prefixes.
    """

    def __init__(self, cache_size: int):
        self._loads = collections.deque([Load(0.0, 0, 0)], HISTORY_LIMIT)
        self._cache: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )
        self._cache_size = cache_size
        self._events: collections.deque[CacheEvent] = collections.deque(
            maxlen=HISTORY_LIMIT
        )
        self._sequence = 0

    def record_load(self, running: int, queued: int) -> None:
        """Records a change of the load."""
        self._loads.append(Load(anyio.current_time(), running, queued))

    def load(self, lag_s: float) -> Load:
        """Returns the load as it was `lag_s` seconds ago."""
        newest_at = anyio.current_time() - lag_s
        reported = self._loads[0]
        for load in self._loads:
            if load.at > newest_at:
                break
            reported = load
        return reported

    def record_prefix(self, prefix: str) -> bool:
        """Records the use of a prefix; returns whether it was cached."""
        hit = prefix in self._cache
        self._cache[prefix] = None
        self._cache.move_to_end(prefix)
        if not hit:
            self._record_event('stored', prefix)
        while len(self._cache) > self._cache_size:
            self._record_event('evicted', self._cache.popitem(last=False)[0])
        return hit

    def clear(self) -> None:
        """Empties the cache without events, as a restart does."""
        self._cache.clear()

    def events(
        self, after: int, lag_s: float, gap_every: int
    ) -> list[CacheEvent]:
        """Returns the published events after a sequence number.

        Args:
          after: Sequence number of the last event that the caller has.
          lag_s: Delay in seconds after which an event is published.
          gap_every: Events whose sequence number is a multiple of this are
            lost; 0 for none.
        """
        newest_at = anyio.current_time() - lag_s
        return [
            event
            for event in self._events
            if event.sequence > after
            and event.at <= newest_at
            and not (gap_every and event.sequence % gap_every == 0)
        ]

    def _record_event(self, kind: str, prefix: str) -> None:
        self._sequence += 1
        self._events.append(
            CacheEvent(self._sequence, kind, prefix, anyio.current_time())
        )
