"""A discrete-event model of upstreams with slots, queues and a cache."""

import collections
import dataclasses
import heapq
import itertools
import random
import typing

# Time between two samples of an upstream's load.
SAMPLE_S = 0.1


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

    at: float
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

    def __init__(self, model, name, slots, cache, pace, cached_share):
        self.name = name
        self.slots = slots
        self.running = 0
        self.queue: collections.deque = collections.deque()
        self.history: list[int] = []
        self.events: list[tuple[float, str, bool]] = []
        self._model = model
        self._cache: collections.OrderedDict = collections.OrderedDict()
        self._size = cache
        self._pace = pace
        self._cached_share = cached_share

    @property
    def load(self) -> int:
        """Requests that run or wait."""
        return self.running + len(self.queue)

    def add(self, request: Request, done: typing.Callable) -> None:
        """Takes a request; `done` is called when it has been answered."""
        self.queue.append((request, done))
        self._start()

    def _start(self) -> None:
        while self.queue and self.running < self.slots:
            request, done = self.queue.popleft()
            self.running += 1
            prefill = request.prefill_s * self._pace
            if request.prefix and request.prefix in self._cache:
                prefill *= 1 - self._cached_share
            self._store(request.prefix)
            now = self._model.now
            request.first_token_s = now + prefill - request.at
            seconds = prefill + request.decode_s * self._pace
            self._model.at(now + seconds, lambda done=done: self._end(done))

    def _end(self, done: typing.Callable) -> None:
        self.running -= 1
        done()
        self._start()

    def _store(self, prefix: str) -> None:
        if not prefix:
            return
        if prefix not in self._cache:
            self.events.append((self._model.now, prefix, True))
        self._cache[prefix] = True
        self._cache.move_to_end(prefix)
        if len(self._cache) > self._size:
            evicted, _ = self._cache.popitem(last=False)
            self.events.append((self._model.now, evicted, False))


class Model:
    """Time and what is to happen."""

    def __init__(self):
        self.now = 0.0
        self._events: list[tuple[float, int, typing.Callable]] = []
        self._numbers = itertools.count()

    def at(self, when: float, what: typing.Callable) -> None:
        """Has something done at a time."""
        heapq.heappush(self._events, (when, next(self._numbers), what))

    def run(self) -> None:
        """Runs until nothing is left to happen."""
        while self._events:
            self.now, _, what = heapq.heappop(self._events)
            what()


def draw_seconds(source: random.Random, mean: float, spread: float) -> float:
    """Returns a log-normal time with a mean."""
    return mean * source.lognormvariate(-spread * spread / 2, spread)
