"""Brittle workers behind gateways."""

import concurrent.futures
import threading
import time
import types

import testtools

from radishcourse_gateway import targets
from radishcourse_node import events
from radishcourse_policy import clock as clocks
from tests import rawsite
from tests import rawworker
from tests import test_gateway_evenload

REFUSALS_PER_S = 5
SLOTS = 4
# Requests that may wait at a worker.
WAITING = 2
SERVICE_S = 0.2
GATEWAYS = 3
WORKERS = 2
# Half as many requests again as the workers have room for.
PER_S = 1.5 * WORKERS * SLOTS / SERVICE_S
# A worker falls over from CONTACT_S after it first said that it is brittle.
CONTACT_S, PLAYED_S = 3.0, 9.0


class _Workers:
    """Replies of workers that refuse what they have no room for.

    Attributes:
      refused: Times of refusals by worker.
      served: Times at which requests were answered.
      value: Value of their header.
    """

    def __init__(self, value: str):
        self._lock = threading.Lock()
        self._accepted: dict[str, int] = {}
        self._slots: dict[str, threading.Semaphore] = {}
        self.value: str | None = value
        self.refused: dict[str, list[float]] = {}
        self.served: list[float] = []

    def reply(self, request: rawworker.Request) -> rawworker.Reply:
        """Serves a request or refuses it."""
        worker = request.headers['x-expect-instance']
        extra = {'Server_Brittle': self.value}
        with self._lock:
            slots = self._slots.setdefault(worker, threading.Semaphore(SLOTS))
            accepted = self._accepted.get(worker, 0)
            if accepted >= SLOTS + WAITING:
                now = time.monotonic()
                self.refused.setdefault(worker, []).append(now)
                extra['X_Not_Executed'] = '1'
                data = rawworker.message(request, 503, b'', 'length', **extra)
                return rawworker.Reply(data)
            self._accepted[worker] = accepted + 1
        with slots:
            time.sleep(SERVICE_S)
        with self._lock:
            self._accepted[worker] -= 1
            self.served.append(time.monotonic())
        return rawworker.Reply(
            rawworker.message(request, 200, b'done', 'length', **extra)
        )

    def most_refused(self, since: float) -> int:
        """Returns the most refusals of one worker within a second."""
        return max(
            (
                sum(at <= other < at + 1 for other in times)
                for times in self.refused.values()
                for at in times
                if at >= since
            ),
            default=0,
        )


class BrittleWorkerTest(rawsite.RawSiteTest):
    """Guards against gateways that together make a worker fall over."""

    gateways = GATEWAYS

    def _play(self, seconds: float) -> list:
        started_at, pending = time.monotonic(), []
        with concurrent.futures.ThreadPoolExecutor(32) as pool:
            for number in range(int(seconds * PER_S)):
                at = started_at + number / PER_S
                time.sleep(max(0.0, at - time.monotonic()))
                name = f'gateway-{1 + number % GATEWAYS}'
                method, path = (
                    ('POST', f'/raw-order/{number}'),
                    ('GET', f'/raw-stock/{number}'),
                )[number % 2]
                body = b'goods' if method == 'POST' else None
                pending.append(
                    pool.submit(self.site.send, name, method, path, body)
                )
        return [item.result() for item in pending]

    def test_full_workers_refuse_fewer_than_they_bear(self):
        replies = _Workers(str(REFUSALS_PER_S))
        with self.workers(replies.reply, count=WORKERS):
            started_at = time.monotonic()
            responses = self._play(PLAYED_S)
        since = started_at + CONTACT_S
        most = replies.most_refused(since)
        served = sum(at >= since for at in replies.served)
        room = WORKERS * SLOTS / SERVICE_S * (PLAYED_S - CONTACT_S)
        self.assertLessEqual(most, REFUSALS_PER_S)
        self.assertGreater(served, room / 2)
        refused = [item for item in responses if item.status != 200]
        self.assertEqual({503}, {item.status for item in refused})
        for response in refused:
            self.assertIn('Retry-After', response.headers)

    def test_malformed_value_is_logged_and_changes_nothing(self):
        replies = _Workers('many')
        with self.workers(replies.reply, count=1):
            before = len(self.site.log('gateway-1'))
            responses = [self.call('GET', '/raw-stock/1') for _ in range(3)]
            lines = self.site.log('gateway-1')[before:]
        self.assertEqual([200] * 3, [item.status for item in responses])
        sources = [
            line['source']
            for line in lines
            if line.get('event') == events.Event.UPSTREAM_BRITTLE.value
        ]
        self.assertEqual({'malformed'}, set(sources))

    def test_requests_return_when_workers_are_no_longer_brittle(self):
        replies = _Workers(str(REFUSALS_PER_S))
        with self.workers(replies.reply, count=WORKERS):
            self._play(2.0)
            replies.value = None
            self._play(3.0)
            ended_at = time.monotonic()
            self._play(3.0)
        served = sum(at >= ended_at for at in replies.served)
        room = WORKERS * SLOTS / SERVICE_S * 3.0
        self.assertGreater(served, room / 2)


class BrokenAnswerTest(rawsite.RawSiteTest):
    """Guards against a lookup that is lost with a brittle worker's answer."""

    gateways = GATEWAYS

    def test_lookup_whose_worker_broke_off_goes_to_another(self):
        def sound(request: rawworker.Request) -> rawworker.Reply:
            return rawworker.Reply(
                rawworker.message(
                    request, 200, b'done', 'length', Server_Brittle='1'
                )
            )

        def broken(request: rawworker.Request) -> rawworker.Reply:
            del request
            return rawworker.Reply(b'', rawworker.End.RESET)

        replies = [sound] * 8 + [broken, sound]
        with self.workers(*replies, count=WORKERS) as script:
            responses = [self.call('GET', '/raw-stock/1') for _ in range(9)]
        self.assertEqual([200] * 9, [item.status for item in responses])
        self.assertEqual(10, len(script.requests))


class RepeatTest(testtools.TestCase):
    """Guards against repeats that pass by the bound of brittle upstreams."""

    def _asked(self, **fields) -> list[bool]:
        """Returns the arguments with which the bound was asked."""
        node = test_gateway_evenload._Node(clocks.ManualClock(100.0), 1)
        asked = []

        def admitted(candidates, refused):
            asked.append(refused)
            return candidates

        node.targets._brittle.admitted = admitted
        request = types.SimpleNamespace(
            session=None, request_id='r', size=None, prefix_key=None
        )
        plan = targets.Plan(service=test_gateway_evenload.SERVICE, **fields)
        node.targets.choose(request, plan)
        return asked

    def test_all_but_repeats_of_failures_are_bounded(self):
        tried = {('gone', 'address', 1)}
        ran = {'attempts': 1, 'may_have_run': True}
        for name, fields, expected in (
            ('first attempt', {}, [False]),
            ('refused', {'tried': tried, 'refused': True}, [True]),
            ('larger model', ran, [False]),
            (
                'refused larger model',
                {**ran, 'tried': tried, 'refused': True},
                [True],
            ),
            ('broken off', {**ran, 'tried': tried}, []),
            ('not connected', {'tried': tried}, []),
        ):
            self.assertEqual(expected, self._asked(**fields), name)
