"""All planned changes at once, during a minute of steady traffic."""

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

DURATION_S = 60.0
CALLERS = 6
PAUSE_S = 0.05
EVENTS = 12
# The users' bounds until a change is in force, in seconds.
CONFIGURATION_BOUND_S = 2.0
DRAINING_BOUND_S = 2.0
EVACUATION_BOUND_S = 5.0
STOP_BOUND_S = 6.0
ROLLOUT_WITHIN_S = 20
# Share of requests to be served without faults (goal of the users).
MIN_SERVED_SHARE = 0.999


@dataclasses.dataclass
class _SentRequest:
    """A request and its outcome.

    Attributes:
      sent_at: Seconds from the start of the traffic until it was sent.
      kind: First segment of its path.
      key: API key of its organisation.
      session: Session id.
      answer: The answer; None if the connection failed.
    """

    sent_at: float
    kind: str
    key: str
    session: str
    answer: sites.Answer | None


class _Callers:
    """Callers that send to the gateways that a load balancer would choose."""

    def __init__(self, site: sites.Site):
        self._site = site
        self._stop = threading.Event()
        self._pool = concurrent.futures.ThreadPoolExecutor(CALLERS)
        self._numbers = itertools.count()
        self._started_at = time.monotonic()
        self.targets = list(site.gateways)
        self.sent: list[_SentRequest] = []

    @property
    def elapsed_s(self) -> float:
        """Seconds since the start of the traffic."""
        return time.monotonic() - self._started_at

    def wait(self, elapsed_s: float) -> None:
        """Waits until this many seconds since the start of the traffic."""
        time.sleep(max(0.0, elapsed_s - self.elapsed_s))

    @contextlib.contextmanager
    def running(self):
        """Context in which the callers send."""
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
            request_number = next(self._numbers)
            session = f'caller-{number}-{request_number // 60}'
            kind, method, body = kinds[request_number % len(kinds)]
            key = keys[number % len(keys)]
            target = self.targets[request_number % len(self.targets)]
            sent_at = self.elapsed_s
            answer = None
            with contextlib.suppress(OSError):
                answer = self._site.send(
                    target,
                    method,
                    f'/{kind}/{request_number}',
                    body,
                    Session=session,
                    Api_Key=key,
                )
            self.sent.append(_SentRequest(sent_at, kind, key, session, answer))
            time.sleep(PAUSE_S)


class MinuteTest(testtools.TestCase):
    """Guards against planned changes that cost answers when they coincide."""

    def setUp(self):
        super().setUp()
        running = sites.running(3)
        self.site = running.__enter__()
        self.addCleanup(running.__exit__, None, None, None)
        for name, zone in (('new-1', 'zone-a'), ('new-2', 'zone-b')):
            self.site.start_worker(
                name, 'engine', version='v2', born=2, zone=zone
            )
        self.site.start_worker('desk-3', 'desk', zone='zone-b')
        self.site.write_entry('engine-2', 'engine', zone='zone-b')
        self.site.wait_workers()
        self.site.wait_listed(7)
        for name in ('engine-1', 'engine-2', 'new-1', 'new-2'):
            self.site.set_behaviour(name, events=EVENTS, event_ms=10)
        self.callers = _Callers(self.site)

    def _ran(self, *names: str) -> int:
        return len(self.site.runs(*names))

    def _assert_idle_after(self, bound_s: float, *names: str) -> None:
        """Waits for a bound, then checks that these workers run nothing."""
        time.sleep(bound_s)
        before = self._ran(*names)
        time.sleep(1.5)
        self.assertEqual(before, self._ran(*names), names)

    def _run_planned_work(self) -> tuple[float, list[str]]:
        """Makes the planned changes.

        Returns:
          Time of the withdrawal of the key in seconds since the start of the
          traffic, and state and target version of the roll-out.
        """
        site, callers = self.site, self.callers
        callers.wait(3.0)
        order = {'service': 'engine', 'to': 'v2', 'withinS': ROLLOUT_WITHIN_S}
        site.put('op', 'rollout/engine', order)
        ordered_at = callers.elapsed_s
        callers.wait(6.0)
        site.put('op', 'evacuate/zone-b', {'zone': 'zone-b'})
        withdrawn_at = callers.elapsed_s
        kept_organisation = {
            'name': 'first',
            'apiKeys': [sitefiles.KEY],
            'priority': 2,
        }
        site.configure(version=2, tenants=[kept_organisation])
        self._assert_idle_after(
            EVACUATION_BOUND_S, 'new-2', 'engine-2', 'desk-3'
        )
        site.put('op', 'evacuate/zone-b', None)
        site.write_entry('desk-1', 'desk', state='draining')
        self._assert_idle_after(DRAINING_BOUND_S, 'desk-1')
        callers.wait(ordered_at + ROLLOUT_WITHIN_S)
        status = site.rollout_status('engine')
        self._replace('gateway-3', 'gateway-4')
        callers.wait(DURATION_S)
        return withdrawn_at, [status.get('state', ''), status.get('to', '')]

    def _replace(self, old_gateway: str, new_gateway: str) -> None:
        """Stops a gateway with SIGTERM and starts another one."""
        callers = self.callers
        stopped = self.site.gateways[old_gateway]
        stopped.signal(signal.SIGTERM)
        # A load balancer learns of the stop from the readiness probe.
        callers.targets = [
            name for name in callers.targets if name != old_gateway
        ]
        self.assertEqual(0, stopped.popen.wait(STOP_BOUND_S))
        self.site.start_gateway(new_gateway)
        del self.site.gateways[old_gateway]
        self.site.wait_ready()
        callers.targets = [*callers.targets, new_gateway]

    def test_planned_work_costs_no_answer(self):
        with self.callers.running():
            withdrawn_at, rollout = self._run_planned_work()
        sent = self.callers.sent
        self.assertEqual(['completed', 'v2'], rollout)
        self._check_withdrawn_key(sent, withdrawn_at)
        kept_key_requests = [item for item in sent if item.key == sitefiles.KEY]
        self._check_served(kept_key_requests)
        self._check_whole(kept_key_requests)
        self._check_executions(sent)
        self._check_sessions(sent)

    def _check_withdrawn_key(
        self, sent: list[_SentRequest], withdrawn_at: float
    ) -> None:
        late = {
            item.answer and item.answer.status
            for item in sent
            if item.key == sitefiles.OTHER_KEY
            and item.sent_at > withdrawn_at + CONFIGURATION_BOUND_S
        }
        self.assertEqual({401}, late)

    def _check_served(self, kept_key_requests: list[_SentRequest]) -> None:
        failed = [
            (
                round(item.sent_at, 2),
                item.kind,
                item.answer and item.answer.status,
            )
            for item in kept_key_requests
            if item.answer is None or item.answer.status != 200
        ]
        served = 1 - len(failed) / len(kept_key_requests)
        self.assertThat(
            served,
            matchers.Not(matchers.LessThan(MIN_SERVED_SHARE)),
            f'{failed}',
        )

    def _check_whole(self, kept_key_requests: list[_SentRequest]) -> None:
        for item in kept_key_requests:
            if item.answer is None or item.answer.status != 200:
                continue
            self.assertTrue(item.answer.whole, item)
            if item.kind == 'draft':
                events = item.answer.body.count(b'\n\n')
                self.assertEqual(EVENTS, events, item)

    def _check_executions(self, sent: list[_SentRequest]) -> None:
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

    def _check_sessions(self, sent: list[_SentRequest]) -> None:
        seen_new_version: dict[str, bool] = {}
        for item in sorted(sent, key=lambda item: item.sent_at):
            stamp = item.answer and item.answer.headers.get('x-server-stamp')
            if item.kind != 'draft' or not stamp:
                continue
            on_new_version = stamp.startswith('new')
            self.assertTrue(
                on_new_version or not seen_new_version.get(item.session), item
            )
            seen_new_version[item.session] = on_new_version
        self.assertIn(True, seen_new_version.values())
