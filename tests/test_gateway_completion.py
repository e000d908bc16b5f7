"""Requests in progress on the old version when a roll-out is completed."""

import concurrent.futures
import http.client
import time
import typing

import testtools

from tests import site as sites
from tests import sitefiles

# The canary of the order desk has few requests, so its time limit is longer.
STREAM_LIMIT_S = 8
DESK_LIMIT_S = 16
# The time that a caller allows a request, from the routes of the site.
TIMEOUT_S = 4
# Streams of 2 s: those that begin before the last session moves end after the
# latest completion within the time limit.
EVENTS = 25
EVENT_MS = 80
# Longer than the time from the last move to that completion.
ORDER_MS = 1500
SEND_INTERVAL_S = 0.03
# All requests in progress have a slot at one upstream.
SLOTS = 96


class _Call(typing.NamedTuple):
    """How a request ended.

    Attributes:
      sent_at: Time of sending on the monotonic clock.
      status: Status of the response; 0 without one.
      whole: Whether the response is complete.
      log: What the gateways logged of the request, if it was not served.
    """

    sent_at: float
    status: int
    whole: bool
    log: list[dict]

    @property
    def served(self) -> bool:
        """Whether the request was served."""
        return self.status == 200 and self.whole


class CompletionTest(testtools.TestCase):
    """Guards against requests that a completed roll-out cuts off.

    The platform stops the upstreams of the old version at once.
    """

    def test_streams_that_cannot_be_resumed_are_not_cut(self):
        # review/6: 33 streams were cut as the limit came.
        site = self._start(
            'engine', 'draft', {'events': EVENTS, 'event_ms': EVENT_MS}
        )
        self._check(site, 'engine', 'POST', '/draft/1', STREAM_LIMIT_S)

    def test_orders_are_not_cut(self):
        site = self._start('desk', 'order', {'delay_ms': ORDER_MS})
        self._check(site, 'desk', 'POST', '/order/1', DESK_LIMIT_S)

    def test_idempotent_requests_go_on_though_one_attempt_is_allowed(self):
        site = self._start('desk', 'stock', {'delay_ms': ORDER_MS})
        self._check(site, 'desk', 'GET', '/stock/1', DESK_LIMIT_S)

    def _start(
        self, service: str, route: str, behaviour: dict[str, float]
    ) -> sites.Site:
        """Starts a site on which requests of a route have one attempt."""
        routes = sitefiles.manifest()['routes']
        for item in routes:
            if item['name'] == route:
                item |= {'maxAttempts': 1, 'streamResume': False}
        running = sites.running(3, routes=routes)
        site = running.__enter__()
        self.addCleanup(running.__exit__, None, None, None)
        self.old = [f'{service}-{number}' for number in (1, 2)]
        for name in self.old:
            site.write_entry(name, service, slots=SLOTS)
        for name in ('new-1', 'new-2'):
            site.start_worker(name, service, version='v2', born=2, slots=SLOTS)
        site.wait_workers()
        for name in (*self.old, 'new-1', 'new-2'):
            site.set_behaviour(name, **behaviour)
        site.wait_listed(6)
        site.wait_peers()
        return site

    def _check(
        self,
        site: sites.Site,
        service: str,
        method: str,
        path: str,
        limit_s: float,
    ) -> None:
        order = {'service': service, 'to': 'v2', 'withinS': limit_s}
        site.put('op', f'rollout/{service}', order)
        ends_at = time.monotonic() + limit_s + TIMEOUT_S + 1.0
        calls = []
        with concurrent.futures.ThreadPoolExecutor(96) as pool:
            while time.monotonic() < ends_at:
                calls.append(
                    pool.submit(self._call, site, len(calls), method, path)
                )
                time.sleep(SEND_INTERVAL_S)
                self._stop_old_upstreams(site, service)
        status = site.rollout_status(service)
        self.assertEqual('completed', status.get('state'))
        failed = [call for call in map(_result, calls) if not call.served]
        self.assertEqual([], failed, f'of {len(calls)}')

    def _call(
        self, site: sites.Site, number: int, method: str, path: str
    ) -> _Call:
        sent_at = time.monotonic()
        gateway = f'gateway-{number % 3 + 1}'
        request = f'request-{number}'
        status, whole = 0, False
        try:
            response = site.send(
                gateway,
                method,
                path,
                b'p' if method == 'POST' else None,
                X_Request_Id=request,
                Session=f'session-{number}',
            )
            status, whole = response.status, response.whole
        except (OSError, http.client.HTTPException):
            pass
        log = []
        if (status, whole) != (200, True):
            log = [
                line
                for line in site.log(gateway)
                if line.get('request') == request
            ]
        return _Call(sent_at, status, whole, log)

    def _stop_old_upstreams(self, site: sites.Site, service: str) -> None:
        """Ends the old version's upstreams at once, as the platform does."""
        if site.rollout_status(service).get('state') != 'completed':
            return
        for name in self.old:
            if name in site.workers:
                site.workers.pop(name).kill()
                site.put('servers', name, None)


def _result(future: concurrent.futures.Future) -> _Call:
    return future.result()
