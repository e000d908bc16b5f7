"""A calm minute: all planned work at once, under steady traffic."""

import collections
import concurrent.futures
import contextlib
import dataclasses
import itertools
import signal
import threading
import time

import testtools
from testtools import matchers

from tests import site as sites
from tests import sitefiles

MINUTE_S = 60.0
CALLERS = 6
PAUSE_S = 0.05
EVENTS = 12
# The users' bounds, in seconds.
CONFIGURATION_S = 2.0
DRAINING_S = 2.0
EVACUATION_S = 5.0
GRACE_S = 6.0
WITHIN_S = 20
# Share of requests served on a calm day (goal of the users).
SERVED = 0.999


@dataclasses.dataclass
class _Sent:
    """A request and its outcome.

    Attributes:
      at: When it was sent, in seconds since the start of the traffic.
      kind: First part of its path.
      key: Key of its organisation.
      session: Its session.
      answer: Its answer, or None when no whole answer came.
    """

    at: float
    kind: str
    key: str
    session: str
    answer: sites.Answer | None


class _Callers:
    """Callers that go to the gateways that a balancer would choose."""

    def __init__(self, site: sites.Site):
        self._site = site
        self._stop = threading.Event()
        self._pool = concurrent.futures.ThreadPoolExecutor(CALLERS)
        self._numbers = itertools.count()
        self._started_at = time.monotonic()
        self.targets = list(site.gateways)
        self.sent: list[_Sent] = []

    @property
    def seconds(self) -> float:
        """Time since the start."""
        return time.monotonic() - self._started_at

    def wait(self, seconds: float) -> None:
        """Waits until a time since the start."""
        time.sleep(max(0.0, seconds - self.seconds))

    @contextlib.contextmanager
    def running(self):
        """Yields while the callers send."""
        calls = [
            self._pool.submit(self._call, number) for number in range(CALLERS)
        ]
        try:
            yield
        finally:
            self._stop.set()
            self._pool.shutdown()
        for call in calls:
            call.result()

    def _call(self, number: int) -> None:
        kinds = (
            ('draft', 'POST', b'prompt'),
            ('order', 'POST', b'order'),
            ('stock', 'GET', None),
        )
        keys = (sitefiles.KEY, sitefiles.OTHER_KEY)
        while not self._stop.is_set():
            turn = next(self._numbers)
            session = f'caller-{number}-{turn // 60}'
            kind, method, body = kinds[turn % len(kinds)]
            key = keys[number % len(keys)]
            target = self.targets[turn % len(self.targets)]
            at = self.seconds
            answer = None
            with contextlib.suppress(OSError):
                answer = self._site.send(
                    target,
                    method,
                    f'/{kind}/{turn}',
                    body,
                    Session=session,
                    Api_Key=key,
                )
            self.sent.append(_Sent(at, kind, key, session, answer))
            time.sleep(PAUSE_S)


class MinuteTest(testtools.TestCase):
    """Guards against planned work that costs answers when it coincides."""

    def setUp(self):
        super().setUp()
        running = sites.running(3)
        self.site = running.__enter__()
        self.addCleanup(running.__exit__, None, None, None)
        for name, zone in (('new-1', 'zone-a'), ('new-2', 'zone-b')):
            self.site.worker(name, 'engine', version='v2', born=2, zone=zone)
        self.site.worker('desk-3', 'desk', zone='zone-b')
        self.site.enter('engine-2', 'engine', zone='zone-b')
        self.site.wait_workers()
        self.site.wait_listed(7)
        for name in ('engine-1', 'engine-2', 'new-1', 'new-2'):
            self.site.behave(name, events=EVENTS, event_ms=10)
        self.callers = _Callers(self.site)

    def _ran(self, *names: str) -> int:
        return len(self.site.runs(*names))

    def _stays_without_work(self, seconds: float, *names: str) -> None:
        """Waits for a bound; from then on these upstreams run nothing."""
        time.sleep(seconds)
        before = self._ran(*names)
        time.sleep(1.5)
        self.assertEqual(before, self._ran(*names), names)

    def _play(self) -> tuple[float, list[str]]:
        """Plays the planned work.

        Returns:
          When the key was withdrawn, and the states of the roll-out.
        """
        site, callers = self.site, self.callers
        callers.wait(3.0)
        order = {'service': 'engine', 'to': 'v2', 'withinS': WITHIN_S}
        site.put('op', 'rollout/engine', order)
        ordered_at = callers.seconds
        callers.wait(6.0)
        site.put('op', 'evacuate/zone-b', {'zone': 'zone-b'})
        withdrawn_at = callers.seconds
        first = {'name': 'first', 'apiKeys': [sitefiles.KEY], 'priority': 2}
        site.configure(version=2, tenants=[first])
        self._stays_without_work(EVACUATION_S, 'new-2', 'engine-2', 'desk-3')
        site.put('op', 'evacuate/zone-b', None)
        site.enter('desk-1', 'desk', state='draining')
        self._stays_without_work(DRAINING_S, 'desk-1')
        callers.wait(ordered_at + WITHIN_S)
        status = site.status('engine')
        self._replace('gateway-3', 'gateway-4')
        callers.wait(MINUTE_S)
        return withdrawn_at, [status.get('state', ''), status.get('to', '')]

    def _replace(self, leaving: str, coming: str) -> None:
        """Stops a gateway as the platform does and starts another."""
        callers = self.callers
        stopped = self.site.gateways[leaving]
        stopped.signal(signal.SIGTERM)
        # A balancer hears of it by the readiness listener.
        callers.targets = [name for name in callers.targets if name != leaving]
        self.assertEqual(0, stopped.popen.wait(GRACE_S))
        self.site.gateway(coming)
        del self.site.gateways[leaving]
        self.site.wait_ready()
        callers.targets = [*callers.targets, coming]

    def test_planned_work_costs_no_answer(self):
        with self.callers.running():
            withdrawn_at, rollout = self._play()
        sent = self.callers.sent
        self.assertEqual(['completed', 'v2'], rollout)
        self._check_key(sent, withdrawn_at)
        kept = [item for item in sent if item.key == sitefiles.KEY]
        self._check_served(kept)
        self._check_whole(kept)
        self._check_runs(sent)
        self._check_sessions(sent)

    def _check_key(self, sent: list[_Sent], withdrawn_at: float) -> None:
        late = {
            item.answer and item.answer.status
            for item in sent
            if item.key == sitefiles.OTHER_KEY
            and item.at > withdrawn_at + CONFIGURATION_S
        }
        self.assertEqual({401}, late)

    def _check_served(self, kept: list[_Sent]) -> None:
        failed = [
            (round(item.at, 2), item.kind, item.answer and item.answer.status)
            for item in kept
            if item.answer is None or item.answer.status != 200
        ]
        served = 1 - len(failed) / len(kept)
        self.assertThat(
            served, matchers.Not(matchers.LessThan(SERVED)), f'{failed}'
        )

    def _check_whole(self, kept: list[_Sent]) -> None:
        for item in kept:
            if item.answer is None or item.answer.status != 200:
                continue
            self.assertTrue(item.answer.whole, item)
            if item.kind == 'draft':
                events = item.answer.body.count(b'\n\n')
                self.assertEqual(EVENTS, events, item)

    def _check_runs(self, sent: list[_Sent]) -> None:
        runs = collections.Counter(
            run['request']
            for run in self.site.runs()
            if run['target'].startswith('/order/')
        )
        self.assertEqual([], [name for name, n in runs.items() if n > 1])
        answered = [
            item.answer.request
            for item in sent
            if item.kind == 'order'
            and item.answer is not None
            and item.answer.status == 200
        ]
        self.assertEqual([], [name for name in answered if not runs[name]])

    def _check_sessions(self, sent: list[_Sent]) -> None:
        moved: dict[str, bool] = {}
        for item in sorted(sent, key=lambda item: item.at):
            stamp = item.answer and item.answer.headers.get('x-server-stamp')
            if item.kind != 'draft' or not stamp:
                continue
            new = stamp.startswith('new')
            self.assertTrue(new or not moved.get(item.session), item)
            moved[item.session] = new
        self.assertIn(True, moved.values())
