"""A discrete-event model of upstreams with slots, queues and a cache."""

import collections
import dataclasses
import heapq
import itertools
import random
import typing

# Time between two samples of an upstream's load.
SAMPLE_INTERVAL_S = 0.1


@dataclasses.dataclass
class Request:
    """A request in the model.

    Attributes:
      at: Arrival.
      prefix: Prefix that other prompts share, or empty.
      prefill_s: Time to process the whole prompt.
      decode_s: Time to generate the answer.
      first_token_s: Time from arrival to the first token, once known.
    """

    arrived_at: float
    prefix: str
    prefill_s: float
    decode_s: float
    first_token_s: float = 0.0


class Upstream:
    """Slots, a queue in order of arrival, and a cache of prefixes.

    Args:
      model: The model that it is part of.
      name: Its name.
      slots: Requests that it runs at once.
      cache: Prefixes that fit into its cache.
      pace: Factor on all its times.
      cached_share: Share of a prompt that a cached prefix saves.
    """

    def __init__(self, simulation, name, slots, cache, slowdown, cached_share):
        self.name = name
        self.slots = slots
        self.running = 0
        self.queue: collections.deque = collections.deque()
        self.load_history: list[int] = []
        self.cache_events: list[tuple[float, str, bool]] = []
        self._simulation = simulation
        self._cache: collections.OrderedDict = collections.OrderedDict()
        self._cache_size = cache
        self.slowdown = slowdown
        self._cached_share = cached_share

    @property
    def load(self) -> int:
        """Requests that run or wait."""
        return self.running + len(self.queue)

    def add(self, request: Request, done: typing.Callable) -> None:
        """Takes a request; `done` is called when it has been answered."""
        self.queue.append((request, done))
        self._start_waiting()

    def _start_waiting(self) -> None:
        while self.queue and self.running < self.slots:
            request, done = self.queue.popleft()
            self.running += 1
            prefill = request.prefill_s * self.slowdown
            if request.prefix and request.prefix in self._cache:
                prefill *= 1 - self._cached_share
            self._store_prefix(request.prefix)
            now = self._simulation.now
            request.first_token_s = now + prefill - request.arrived_at
            seconds = prefill + request.decode_s * self.slowdown
            self._simulation.schedule(
                now + seconds, lambda done=done: self._finish(done)
            )

    def _finish(self, done: typing.Callable) -> None:
        self.running -= 1
        done()
        self._start_waiting()

    def _store_prefix(self, prefix: str) -> None:
        if not prefix:
            return
        if prefix not in self._cache:
            self.cache_events.append((self._simulation.now, prefix, True))
        self._cache[prefix] = True
        self._cache.move_to_end(prefix)
        if len(self._cache) > self._cache_size:
            evicted, _ = self._cache.popitem(last=False)
            self.cache_events.append((self._simulation.now, evicted, False))


class Simulation:
    """Time and what is to happen."""

    def __init__(self):
        self.now = 0.0
        self._events: list[tuple[float, int, typing.Callable]] = []
        self._sequence = itertools.count()

    def schedule(self, at: float, callback: typing.Callable) -> None:
        """Has something done at a time."""
        heapq.heappush(self._events, (at, next(self._sequence), callback))

    def run(self) -> None:
        """Runs until nothing is left to happen."""
        while self._events:
            self.now, _, callback = heapq.heappop(self._events)
            callback()


def draw_seconds(
    random_source: random.Random, mean: float, sigma: float
) -> float:
    """Returns a log-normal time with a mean."""
    return mean * random_source.lognormvariate(-sigma * sigma / 2, sigma)
