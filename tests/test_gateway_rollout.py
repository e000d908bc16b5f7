"""Roll-outs that several gateways decide through the store's status row."""

import concurrent.futures
import itertools
import signal
import threading
import time

import testtools

from tests import site as sites

TIME_LIMIT_S = 8
EXPOSURE_SHARE = 0.15
EXPOSURE_SLACK = 30


class _Traffic:
    """Callers that send each session's requests to all gateways in turn.

    Attributes:
      seen: Session of each response and the upstream that sent it.
    """

    def __init__(self, site: sites.Site, callers: int = 8):
        self._site = site
        self._stop = threading.Event()
        self._pool = concurrent.futures.ThreadPoolExecutor(callers)
        self._sessions = itertools.count()
        self.seen: list[tuple[str, str]] = []
        for _ in range(callers):
            self._pool.submit(self._call)

    def _call(self) -> None:
        names = list(self._site.gateways)
        while not self._stop.is_set():
            session = f'session-{next(self._sessions)}'
            for number in range(4):
                name = names[number % len(names)]
                try:
                    response = self._site.send(
                        name, 'POST', '/draft/1', b'p', Session=session
                    )
                except OSError:
                    # The gateway was killed; the next one is tried.
                    time.sleep(0.05)
                    continue
                stamp = response.headers.get('x-server-stamp')
                if stamp is not None:
                    self.seen.append((session, stamp))
                time.sleep(0.02)

    def stop(self) -> None:
        """Ends the callers."""
        self._stop.set()
        self._pool.shutdown()


class RolloutTest(testtools.TestCase):
    """Guards against hung roll-outs, overexposure and sessions moved back."""

    def _start(self, **behaviour) -> tuple[sites.Site, _Traffic]:
        running = sites.running(3)
        site = running.__enter__()
        self.addCleanup(running.__exit__, None, None, None)
        for name in ('new-1', 'new-2'):
            site.start_worker(name, 'engine', version='v2', born=2)
        site.wait_workers()
        for name in ('new-1', 'new-2'):
            site.set_behaviour(name, **behaviour)
        site.wait_listed(6)
        traffic = _Traffic(site)
        self.addCleanup(traffic.stop)
        time.sleep(0.5)
        return site, traffic

    def _order(self, site: sites.Site) -> None:
        order = {'service': 'engine', 'to': 'v2', 'withinS': TIME_LIMIT_S}
        site.put('op', 'rollout/engine', order)

    def _await(self, site, state: str, seconds: float) -> None:
        sites.wait_until(
            lambda: site.rollout_status('engine').get('state') == state, seconds
        )

    def test_good_version_completes_in_time_and_no_session_returns(self):
        site, traffic = self._start()
        self._order(site)
        self._await(site, 'completed', TIME_LIMIT_S)
        self.assertEqual('v2', site.rollout_status('engine')['to'])
        time.sleep(1.0)
        before = len(traffic.seen)
        time.sleep(1.0)
        self.assertEqual(
            set(),
            {stamp for _, stamp in traffic.seen[before:]} - {'new-1', 'new-2'},
        )
        moved = {}
        for session, stamp in traffic.seen:
            new = stamp.startswith('new')
            self.assertTrue(new or not moved.get(session), session)
            moved[session] = new

    def test_bad_version_is_rolled_back_with_bounded_exposure(self):
        site, _ = self._start(fault='error')
        self._order(site)
        self._await(site, 'rolled_back', TIME_LIMIT_S)
        time.sleep(1.0)
        exposed = len(site.runs('new-1', 'new-2'))
        seen = len(site.runs())
        self.assertLessEqual(exposed, EXPOSURE_SHARE * seen + EXPOSURE_SLACK)
        time.sleep(1.0)
        self.assertEqual(exposed, len(site.runs('new-1', 'new-2')))

    def test_decision_survives_lost_answers_of_the_store(self):
        site, _ = self._start(fault='error')
        site.control(site.store, 'faults', {'mode': 'lose'})
        self._order(site)
        self._await(site, 'rolled_back', TIME_LIMIT_S)
        site.control(site.store, 'faults', {'mode': 'up'})
        # The others learn of it in a gossip round; the users' bound is 5 s.
        time.sleep(1.0)
        exposed = len(site.runs('new-1', 'new-2'))
        time.sleep(1.0)
        self.assertEqual(exposed, len(site.runs('new-1', 'new-2')))

    def test_decision_survives_the_death_of_two_nodes(self):
        site, _ = self._start(fault='error')
        self._order(site)
        for name in ('gateway-1', 'gateway-2'):
            time.sleep(0.3)
            # Callers still try the killed gateway, then use the next one.
            site.gateways[name].signal(signal.SIGKILL)
        self._await(site, 'rolled_back', TIME_LIMIT_S)

    def test_new_version_gets_nothing_before_it_is_ordered(self):
        site, _ = self._start()
        time.sleep(1.0)
        self.assertEqual([], site.runs('new-1', 'new-2'))
