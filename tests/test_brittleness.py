"""Brittle upstreams, simulated without processes."""

import math
import random

import hypothesis
from hypothesis import strategies
import testtools

from radishcourse_policy import brittleness
from tests import simulation

NODES = (8, 73, 195)
REFUSALS_PER_S = 10
SLOTS = 6
# Requests that may wait before an upstream is brittle, and while it is. It
# falls over from CONTACT_S after it first said so.
WAITING, BRITTLE_WAITING = 12, 2
BRITTLE_AT, CONTACT_S, ENDS_AT = 5.0, 3.0, 30.0
SHRINKS_AT = BRITTLE_AT + CONTACT_S
DOWN_S = 4.0
# Time until nodes have ejected an upstream that is down, or use it again.
NOTICED_S = 0.5
MAX_ATTEMPTS = 3
SERVICE = 'service'
KEY = ('upstream', 'address', 1)


def allowed_falls(upstreams: int) -> float:
    """Returns how often the users allow upstreams to fall over."""
    return 2 + upstreams / 10


class _Upstream:
    def __init__(self):
        self.running = 0
        self.waiting: list[int] = []
        self.refused_at: list[float] = []
        self.down_until = 0.0
        self.start = 0


class _Fleet(simulation.Simulation):
    """Nodes with requests for a service that becomes brittle.

    Args:
      nodes: Number of nodes.
      upstreams: Number of upstreams.
      service_s: Mean time of a request.
      load: Requests as a share of what the upstreams can serve.
      limited: Whether the nodes limit what they send.
      seed: Seed of all random choices.

    Attributes:
      falls: How often an upstream fell over.
      served: Requests served while upstreams let fewer wait.
      most_refused: The most refusals of an upstream within a second.
    """

    def __init__(self, nodes, upstreams, service_s, load, limited, seed=1):
        super().__init__()
        self._random = random.Random(seed)
        self._limited = limited
        self._service_s = service_s
        self._rate = load * upstreams * SLOTS / service_s
        # Reports of load lose their worth with their age in a large fleet.
        self._report_s = max(0.3, 0.03 * nodes)
        self._report_weight = math.exp(-self._report_s / 2 / service_s)
        self._nodes = [
            brittleness.Brittleness(random.Random(1000 * seed + number))
            for number in range(nodes)
        ]
        self._upstreams = [_Upstream() for _ in range(upstreams)]
        self._reported = [0] * upstreams
        self._own = [[0] * upstreams for _ in range(nodes)]
        self.falls = self.served = self.most_refused = 0
        self.at(0.0, self._arrive)
        self.at(0.0, self._report)

    def _report(self) -> None:
        self._reported = [
            item.running + len(item.waiting) for item in self._upstreams
        ]
        self.at(self.now + self._report_s, self._report)

    def _arrive(self) -> None:
        self.at(self.now + self._random.expovariate(self._rate), self._arrive)
        self._attempt(self._random.randrange(len(self._nodes)), ())

    def _service(self) -> brittleness.Service:
        sound = sum(
            self.now >= item.down_until + NOTICED_S for item in self._upstreams
        )
        return brittleness.Service(SERVICE, max(1, sound), len(self._nodes))

    def _choose(self, node: int, tried: tuple) -> int | None:
        policy, own = self._nodes[node], self._own[node]
        candidates = [
            number
            for number, item in enumerate(self._upstreams)
            if number not in tried and self.now >= item.down_until + NOTICED_S
        ]
        if self._limited:
            candidates = [
                number
                for number in candidates
                if not policy.wait_s((number,), self.now, own[number])
            ]
            admits = policy.may_repeat if tried else policy.admits
            if not admits(self._service(), self.now):
                return None
        if not candidates:
            return None
        two = self._random.sample(candidates, min(2, len(candidates)))

        def expected(number: int) -> tuple:
            reported = self._report_weight * self._reported[number]
            return own[number], reported + self._random.random()

        return min(two, key=expected)

    def _attempt(self, node: int, tried: tuple) -> None:
        number = self._choose(node, tried)
        if number is None:
            return
        upstream, policy = self._upstreams[number], self._nodes[node]
        tried = (*tried, number)
        if self.now < upstream.down_until:
            self._attempt(node, tried)
            return
        key, service = (number,), self._service()
        if self.now >= BRITTLE_AT:
            occupied = sum(self._reported) / SLOTS / len(self._upstreams)
            if policy.note_said(key, REFUSALS_PER_S, self.now):
                policy.note_brittle(service, REFUSALS_PER_S, self.now, occupied)
        queue = WAITING if self.now < SHRINKS_AT else BRITTLE_WAITING
        if upstream.running >= SLOTS and len(upstream.waiting) >= queue:
            self._refuse(upstream)
            own = self._own[node][number]
            policy.note_refused(key, service, self.now, own)
            if len(tried) < MAX_ATTEMPTS:
                self._attempt(node, tried)
            return
        policy.note_accepted(key)
        self._own[node][number] += 1
        if upstream.running < SLOTS:
            self._start(number, node)
        else:
            upstream.waiting.append(node)

    def _refuse(self, upstream: _Upstream) -> None:
        upstream.refused_at = [
            at for at in upstream.refused_at if at > self.now - 1
        ]
        upstream.refused_at.append(self.now)
        if self.now < SHRINKS_AT:
            return
        self.most_refused = max(self.most_refused, len(upstream.refused_at))
        if len(upstream.refused_at) > REFUSALS_PER_S:
            self._fall(upstream)

    def _fall(self, upstream: _Upstream) -> None:
        self.falls += 1
        number = self._upstreams.index(upstream)
        start = upstream.start + 1
        upstream.__init__()
        upstream.start, upstream.down_until = start, self.now + DOWN_S
        for own, policy in zip(self._own, self._nodes, strict=True):
            own[number] = 0
            policy.note_said((number,), None, self.now)

    def _start(self, number: int, node: int) -> None:
        upstream = self._upstreams[number]
        upstream.running += 1
        seconds = self._service_s * (0.5 + 0.5 * self._random.expovariate(1))
        self.at(self.now + seconds, self._end, number, node, upstream.start)

    def _end(self, number: int, node: int, start: int) -> None:
        upstream = self._upstreams[number]
        if start != upstream.start:
            return
        upstream.running -= 1
        self._own[node][number] -= 1
        self.served += self.now >= SHRINKS_AT
        if upstream.waiting:
            self._start(number, upstream.waiting.pop(0))


def _play(*arguments, **fields) -> _Fleet:
    fleet = _Fleet(*arguments, **fields)
    fleet.run(ENDS_AT)
    return fleet


class FallTest(testtools.TestCase):
    """Guards against nodes that together make brittle upstreams fall over."""

    def _check(self, upstreams: int, service_s: float, load: float) -> None:
        room = SLOTS * upstreams / service_s * (ENDS_AT - SHRINKS_AT)
        for nodes in NODES:
            plain = _play(nodes, upstreams, service_s, load, limited=False)
            fleet = _play(nodes, upstreams, service_s, load, limited=True)
            case = (
                nodes,
                (plain.falls, plain.most_refused, plain.served / room),
                (fleet.falls, fleet.most_refused, fleet.served / room),
            )
            self.assertLessEqual(fleet.falls, allowed_falls(upstreams), case)
            self.assertGreater(plain.falls, allowed_falls(upstreams), case)
            self.assertGreater(fleet.served, plain.served, case)
            self.assertGreater(fleet.served, room / 2, case)

    def test_few_upstreams_with_too_many_requests(self):
        self._check(4, 0.4, 1.2)

    def test_many_upstreams_with_too_many_requests(self):
        self._check(30, 0.4, 1.2)

    def test_short_requests(self):
        self._check(4, 0.1, 1.2)

    def test_upstreams_with_room_on_average_serve_most(self):
        for nodes in NODES:
            fleet = _play(nodes, 4, 0.4, 0.8, limited=True)
            sent = 0.8 * SLOTS * 4 / 0.4 * (ENDS_AT - SHRINKS_AT)
            self.assertLessEqual(fleet.falls, allowed_falls(4), nodes)
            self.assertGreater(fleet.served, 0.8 * sent, nodes)


class ParseTest(testtools.TestCase):
    """Guards against odd values that stop a node or open the flood."""

    def test_values_have_a_defined_meaning(self):
        for value, expected in (
            (b'10', 10.0),
            (b' 2.5 ', 2.5),
            (b'0', brittleness.MIN_REFUSALS),
            (b'0.01', brittleness.MIN_REFUSALS),
            (b'1e300', brittleness.MAX_REFUSALS),
            (b'inf', brittleness.MAX_REFUSALS),
            (b'-1', None),
            (b'nan', None),
            (b'', None),
            (b'many', None),
            (b'\xff', None),
        ):
            self.assertEqual(expected, brittleness.parse(value), value)

    @hypothesis.given(strategies.binary())
    def test_any_value_is_a_number_in_range_or_none(self, value):
        refusals = brittleness.parse(value)
        if refusals is not None:
            self.assertTrue(
                brittleness.MIN_REFUSALS <= refusals <= brittleness.MAX_REFUSALS
            )


class StateTest(testtools.TestCase):
    """Guards against a state that outlives what the upstream says."""

    def setUp(self):
        super().setUp()
        self.policy = brittleness.Brittleness(random.Random(1))
        self.service = brittleness.Service(SERVICE, 4, 8)

    def _refuse(self, now: float, own_requests: int = 3) -> float:
        return self.policy.note_refused(KEY, self.service, now, own_requests)

    def test_upstream_that_is_not_brittle_is_never_closed(self):
        self.assertEqual(0.0, self._refuse(0.0))
        self.assertEqual(0.0, self.policy.wait_s(KEY, 0.0, 100))
        self.assertTrue(self.policy.admits(self.service, 0.0))

    def test_refusal_closes_it_for_longer_each_time(self):
        self.policy.note_said(KEY, 10.0, 0.0)
        closed = [self._refuse(float(number)) for number in range(4)]
        self.assertGreater(closed[3], closed[0])
        self.assertLessEqual(max(closed), brittleness.MAX_CLOSED_S)
        self.assertGreater(self.policy.wait_s(KEY, 3.0, 0), 0)

    def test_own_requests_stay_below_those_at_the_refusal(self):
        self.policy.note_said(KEY, 10.0, 0.0)
        closed_s = self._refuse(0.0, own_requests=10)
        self.assertEqual(0.0, self.policy.wait_s(KEY, closed_s, 6))
        self.assertEqual(math.inf, self.policy.wait_s(KEY, closed_s, 9))
        for _ in range(40):
            self.policy.note_accepted(KEY)
        self.assertEqual(0.0, self.policy.wait_s(KEY, closed_s, 9))

    def test_state_ends_with_an_answer_that_does_not_say_it(self):
        self.policy.note_said(KEY, 10.0, 0.0)
        self._refuse(0.0)
        self.assertTrue(self.policy.note_said(KEY, None, 0.1))
        self.assertIsNone(self.policy.find(KEY, 0.1))
        self.assertEqual(0.0, self.policy.wait_s(KEY, 0.1, 100))

    def test_state_ends_when_nothing_is_heard(self):
        self.policy.note_said(KEY, 10.0, 0.0)
        after = brittleness.TTL_S + 0.1
        self.assertIsNone(self.policy.find(KEY, after))
        self.policy.trim({KEY}, after)
        self.assertEqual({}, self.policy._states)

    def test_another_run_of_the_upstream_is_not_brittle(self):
        self.policy.note_said(KEY, 10.0, 0.0)
        self.assertIsNone(self.policy.find((*KEY[:2], 2), 0.0))
        self.policy.trim(set(), 0.0)
        self.assertIsNone(self.policy.find(KEY, 0.0))
