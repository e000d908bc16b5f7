"""Simulates gateways whose upstreams have more work than capacity.

Nodes send requests to upstreams with slots and a queue, and know each other's
work as of their last exchange.
"""

import collections
import functools
import heapq
import itertools
import random
import typing

from radishcourse_policy import overload
from radishcourse_standins.measure import shortageload

NODES = 4
QUEUE = 34
# Time between two exchanges of the nodes' work.
EXCHANGE_S = 2.0
# Time of a refusal until its caller repeats the request at once.
REPEAT_S = 0.05
MAX_REPEATS = 20
ATTEMPTS = 3


class Upstream:
    """An upstream with slots and a queue.

    Attributes:
      running: Requests in its slots, in the order in which they began.
      queue: Requests that wait, in the order of arrival.
      lost: Whether it is lost.
    """

    def __init__(self):
        self.running: dict[shortageload.Request, None] = {}
        self.queue: collections.deque = collections.deque()
        self.lost = False

    @property
    def in_flight(self) -> int:
        """Requests that run or wait."""
        return len(self.running) + len(self.queue)


class Policy(typing.Protocol):
    """Decides in one node whether a request is sent."""

    def admit(
        self, now: float, request: shortageload.Request, room
    ) -> float | None:
        """Returns None to send a request, else its Retry-After in seconds."""

    def note_sent(self, now: float, request: shortageload.Request) -> None:
        """Records that a request was sent to an upstream."""

    def note_failed(self, request: shortageload.Request) -> None:
        """Records that an attempt ended without a response."""

    def note_head(self, now: float, request: shortageload.Request) -> None:
        """Records that a request began to run."""

    def note_end(self, request: shortageload.Request) -> None:
        """Records that a request ended."""


class Simulation:
    """A run of one policy.

    Args:
      case: The load pattern.
      make_policies: Returns the policies of the nodes, from their sources
        of random numbers.
      seed: Seed of the load and of the nodes.

    Attributes:
      requests: All requests.
      faults: Refusals while less than half of the slots were in use.
    """

    def __init__(self, case: shortageload.Case, make_policies, seed: int):
        self._case = case
        self._source = random.Random(seed + 1000)
        self.requests = shortageload.make_requests(case, seed)
        self._upstreams = [Upstream() for _ in range(shortageload.UPSTREAMS)]
        self._policies = make_policies(
            [random.Random(seed * 100 + node) for node in range(NODES)]
        )
        self._own = [[0] * shortageload.UPSTREAMS for _ in range(NODES)]
        self._reported = [[0] * shortageload.UPSTREAMS for _ in range(NODES)]
        self._events: list = []
        self._order = itertools.count()
        self._now = 0.0
        self.faults = 0

    def run(self) -> None:
        """Runs the simulation until nothing is left to do."""
        for request in self.requests:
            self._at(request.arrived_at, self._arrive, request)
        for node in range(NODES):
            start = self._source.uniform(0, EXCHANGE_S)
            self._at(start, self._exchange, node)
        self._at(shortageload.SHORT_FROM_S, self._lose, True)
        self._at(shortageload.SHORT_TO_S, self._lose, False)
        while self._events:
            self._now, _, action, arguments = heapq.heappop(self._events)
            action(*arguments)

    def _at(self, when: float, action, *arguments) -> None:
        heapq.heappush(
            self._events, (when, next(self._order), action, arguments)
        )

    def _exchange(self, node: int) -> None:
        for index in range(shortageload.UPSTREAMS):
            self._reported[node][index] = sum(
                own[index]
                for other, own in enumerate(self._own)
                if other != node
            )
        if self._now < shortageload.DURATION_S + 20:
            self._at(self._now + EXCHANGE_S, self._exchange, node)

    def _lose(self, lost: bool) -> None:
        for upstream in self._upstreams[: self._case.lost]:
            upstream.lost = lost
            broken = [*upstream.running, *upstream.queue]
            upstream.running.clear()
            upstream.queue.clear()
            for request in broken:
                node, index = request.place
                self._own[node][index] -= 1
                request.first_at = None
                self._policies[node].note_failed(request)
                self._send(node, request, 1)

    def _believed(self, node: int, index: int) -> int:
        return self._own[node][index] + self._reported[node][index]

    def _usable(self) -> list[int]:
        return [
            index
            for index, upstream in enumerate(self._upstreams)
            if not upstream.lost
        ]

    def _room(self, node: int) -> overload.Room:
        usable = self._usable()
        work = [self._believed(node, index) for index in usable]
        excess = max(0, min(work) + 1 - shortageload.SLOTS) / shortageload.SLOTS
        return overload.Room(
            shortageload.SLOTS * len(usable), sum(work), 0.0, 0.0, excess
        )

    def _arrive(self, request: shortageload.Request) -> None:
        node = self._source.randrange(NODES)
        retry_s = self._policies[node].admit(
            self._now, request, functools.partial(self._room, node)
        )
        if retry_s is None:
            self._send(node, request, 0)
            return
        usable = [self._upstreams[index] for index in self._usable()]
        in_flight = sum(upstream.in_flight for upstream in usable)
        waiting = sum(len(upstream.queue) for upstream in usable)
        self.faults += (
            not waiting and in_flight < shortageload.SLOTS * len(usable) / 2
        )
        self._return(request, retry_s)

    def _return(self, request: shortageload.Request, retry_s: float) -> None:
        request.repeats += 1
        if not self._case.patient:
            retry_s = REPEAT_S
        at = self._now + retry_s
        if request.repeats <= MAX_REPEATS and at < request.deadline:
            self._at(at, self._arrive, request)

    def _send(
        self, node: int, request: shortageload.Request, attempt: int
    ) -> None:
        usable = self._usable()
        sample = self._source.sample(usable, 2)
        index = min(sample, key=lambda item: self._believed(node, item))
        upstream = self._upstreams[index]
        if upstream.in_flight >= shortageload.SLOTS + QUEUE:
            if attempt + 1 < ATTEMPTS:
                self._send(node, request, attempt + 1)
            else:
                self._return(request, self._source.uniform(0.25, 0.75))
            return
        self._own[node][index] += 1
        request.place = (node, index)
        request.sent_at = self._now
        self._policies[node].note_sent(self._now, request)
        upstream.queue.append(request)
        self._fill(upstream)
        self._at(request.deadline, self._leave, request, self._now)

    def _leave(self, request: shortageload.Request, sent_at: float) -> None:
        """Removes a request whose caller stopped waiting."""
        if request.ended_at is not None or request.sent_at != sent_at:
            return
        node, index = request.place
        upstream = self._upstreams[index]
        if request in upstream.queue:
            upstream.queue.remove(request)
        elif request in upstream.running:
            del upstream.running[request]
        else:
            return
        self._own[node][index] -= 1
        self._policies[node].note_failed(request)
        self._fill(upstream)

    def _fill(self, upstream: Upstream) -> None:
        while upstream.queue and len(upstream.running) < shortageload.SLOTS:
            request = upstream.queue.popleft()
            upstream.running[request] = None
            request.first_at = self._now
            node, _ = request.place
            self._policies[node].note_head(self._now, request)
            self._at(
                self._now + request.run_s, self._end, request, request.sent_at
            )

    def _end(self, request: shortageload.Request, sent_at: float) -> None:
        node, index = request.place
        upstream = self._upstreams[index]
        if request not in upstream.running or request.sent_at != sent_at:
            return
        del upstream.running[request]
        self._own[node][index] -= 1
        request.ended_at = self._now
        self._policies[node].note_end(request)
        self._fill(upstream)


def run_hindsight(
    case: shortageload.Case, seed: int
) -> list[shortageload.Request]:
    """Serves a load from one queue with known running times.

    A free slot takes the request with the earliest deadline among those that
    can still begin within their goals, else among those that can end in time.
    """
    requests = shortageload.make_requests(case, seed)
    slots = [
        (0.0, index)
        for index in range(shortageload.UPSTREAMS * shortageload.SLOTS)
    ]
    lost_slots = case.lost * shortageload.SLOTS
    waiting: list[shortageload.Request] = []
    pending = collections.deque(requests)
    while pending or waiting:
        free, slot = heapq.heappop(slots)
        if not waiting:
            free = max(free, pending[0].arrived_at)
        if (
            slot < lost_slots
            and shortageload.SHORT_FROM_S <= free < shortageload.SHORT_TO_S
        ):
            heapq.heappush(slots, (shortageload.SHORT_TO_S, slot))
            continue
        while pending and pending[0].arrived_at <= free:
            waiting.append(pending.popleft())
        waiting = [
            item for item in waiting if free + item.run_s <= item.deadline
        ]
        on_time = [
            item
            for item in waiting
            if free <= item.arrived_at + item.kind.goal_s
        ]
        if not waiting:
            heapq.heappush(slots, (free, slot))
            continue
        request = min(on_time or waiting, key=lambda item: item.deadline)
        waiting.remove(request)
        request.first_at = free
        request.ended_at = free + request.run_s
        heapq.heappush(slots, (request.ended_at, slot))
    return requests
