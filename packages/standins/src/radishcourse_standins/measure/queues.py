"""Discrete-event simulation of upstreams with slots, queues and caches."""

import collections
import dataclasses
import heapq
import itertools
import random
import typing

# Interval at which the load of an upstream is sampled.
SAMPLE_INTERVAL_S = 0.1


@dataclasses.dataclass
class Request:
    """A simulated request.

    Attributes:
      arrived_at: Arrival, in seconds of simulated time.
      prefix: Prefix shared with other prompts; empty for none.
      prefill_s: Time to process the prompt if none of it is cached.
      decode_s: Time to generate the answer.
      first_token_s: Time from arrival to the first token; set when the
        request starts.
    """

    arrived_at: float
    prefix: str
    prefill_s: float
    decode_s: float
    first_token_s: float = 0.0


class Upstream:
    """An upstream with slots, a FIFO queue and an LRU cache of prefixes.

    Args:
      simulation: The simulation that it is part of.
      name: Its name.
      slots: Number of requests that it runs concurrently.
      cache: Capacity of its cache, in prefixes.
      slowdown: Factor on all its processing times.
      cached_share: Share of a prompt's processing time that a cached prefix
        saves.

    Attributes:
      load_history: Loads, one for each sample interval.
      cache_events: Changes of the cache as time, prefix and whether it was
        stored (else evicted).
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
        """Number of requests that run or wait."""
        return self.running + len(self.queue)

    def add(self, request: Request, done: typing.Callable) -> None:
        """Queues a request; `done` is called when it has been answered."""
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
    """Simulated clock, in seconds, with the callbacks that are due."""

    def __init__(self):
        self.now = 0.0
        self._events: list[tuple[float, int, typing.Callable]] = []
        self._sequence = itertools.count()

    def schedule(self, at: float, what: typing.Callable) -> None:
        """Schedules a callback at a simulated time."""
        heapq.heappush(self._events, (at, next(self._sequence), what))

    def run(self) -> None:
        """Runs until no callback is left."""
        while self._events:
            self.now, _, what = heapq.heappop(self._events)
            what()


def draw_seconds(
    random_source: random.Random, mean: float, sigma: float
) -> float:
    """Returns a random log-normal time.

    Args:
      random_source: Source of randomness.
      mean: Mean, in seconds.
      sigma: Standard deviation of the logarithm.
    """
    return mean * random_source.lognormvariate(-sigma * sigma / 2, sigma)
