"""Gateways whose store comes back from a copy."""

import signal
import time

from tests import site as sites
from tests import sitefiles
from tests import test_gateway_fleet
from tests import test_gateway_rollout

CONFIGURATION_BOUND_S = test_gateway_fleet.CONFIGURATION_BOUND_S
EVACUATION_BOUND_S = test_gateway_fleet.EVACUATION_BOUND_S
# The users' bound until a version that is rolled back gets no more requests.
ROLLBACK_BOUND_S = 5.0
# Age of the copies: the writes of this time are lost.
COPY_AGE_S = 4.0


def _routes(*names: str) -> list[dict]:
    """Returns the usual routes and one of each name."""
    return sitefiles.manifest()['routes'] + [
        sitefiles.route(name, f'/{name}/', 'idempotent', 'desk')
        for name in names
    ]


class RestoredTest(test_gateway_fleet.SiteTest):
    """Guards against what a store that was restored has lost or gives again."""

    def setUp(self):
        super().setUp()
        self.site = self.start(3)
        # Later writes are lost, earlier ones are not.
        time.sleep(COPY_AGE_S)

    def _add_route(self, version: int, *names: str) -> None:
        self.site.configure(version=version, routes=_routes(*names))

    def _wait_route(self, name: str, seconds: float = CONFIGURATION_BOUND_S):
        self.wait_everywhere(
            seconds, self.site, lambda gateway: self._serves(gateway, name)
        )

    def _serves(self, gateway: str, route: str) -> bool:
        return self.site.send(gateway, 'GET', f'/{route}/1').status == 200

    def test_routes_are_never_lost_and_new_ones_are_served_in_time(self):
        names = []
        for turn in range(2):
            for version in range(3):
                names.append(f'route-{turn}-{version}')
                self._add_route(10 * turn + version + 2, *names)
                self._wait_route(names[-1])
            lost = self.site.restore_store(COPY_AGE_S / 2, seed=turn)
            self.assertGreater(lost['lost'], 0)
            for _ in range(10):
                for name in self.site.gateways:
                    self.assertTrue(self._serves(name, names[-1]), name)
                time.sleep(0.1)
            names.append(f'after-{turn}')
            self._add_route(10 * turn + 9, *names)
            self._wait_route(names[-1])

    def test_nodes_that_were_frozen_cut_off_or_started_agree(self):
        self._add_route(2, 'before')
        self._wait_route('before')
        frozen, cut_off, killed = self.site.gateways
        self.site.gateways[frozen].signal(signal.SIGSTOP)
        self.site.link_fault('blackhole', cut_off)
        self.site.gateways[killed].kill()
        self.site.restore_store(COPY_AGE_S / 2)
        self.site.restart_gateway(killed)
        self.site.wait_ready(killed)
        self.site.gateways[frozen].signal(signal.SIGCONT)
        time.sleep(1.0)
        self.site.link_fault('pass', cut_off)
        for name in self.site.gateways:
            self.assertTrue(self._serves(name, 'before'), name)
        self._add_route(3, 'before', 'after')
        # A cut-off node may need a poll of its own.
        self._wait_route('after', CONFIGURATION_BOUND_S)
        for name in self.site.gateways:
            self.assertTrue(self._serves(name, 'before'), name)

    def test_evacuated_zone_gets_no_request_while_its_order_is_lost(self):
        self.site.write_entry('desk-2', 'desk', zone='zone-b')
        time.sleep(0.1)
        self.site.put('op', 'evacuate/zone-b', {'zone': 'zone-b'})
        evacuated_at = time.monotonic()
        time.sleep(EVACUATION_BOUND_S / 2)
        self.site.restore_store(COPY_AGE_S, rewrite_s=2.0)
        time.sleep(
            max(0.0, evacuated_at + EVACUATION_BOUND_S - time.monotonic())
        )
        before = len(self.site.runs('desk-2'))
        until = time.monotonic() + EVACUATION_BOUND_S
        while time.monotonic() < until:
            for name in self.site.gateways:
                self.assertEqual(
                    200, self.site.send(name, 'GET', '/stock/1').status
                )
        self.assertEqual(before, len(self.site.runs('desk-2')))


class RolledBackTest(test_gateway_fleet.SiteTest):
    """Guards against a bad version that starts again as its order is back."""

    def test_version_that_was_rolled_back_gets_no_more_requests(self):
        site = test_gateway_rollout._start_site(self, fault='error')
        time.sleep(1.0)
        order = {'service': 'engine', 'to': 'v2', 'withinS': 20}
        site.put('op', 'rollout/engine', order)
        traffic = test_gateway_rollout._Traffic(site)
        self.addCleanup(traffic.stop)
        sites.wait_until(
            lambda: site.rollout_status('engine').get('state') == 'rolled_back',
            20.0,
        )
        time.sleep(ROLLBACK_BOUND_S)
        seen = len(traffic.seen)
        lost = site.restore_store(30.0, rewrite_s=1.0)
        self.assertGreater(lost['lost'], 0)
        sites.wait_until(
            lambda: site.rollout_status('engine').get('state') == 'rolled_back',
            5.0,
        )
        time.sleep(4.0)
        new = [stamp for _, stamp in traffic.seen[seen:] if 'new' in stamp]
        self.assertEqual([], new)
        self.assertGreater(len(traffic.seen), seen)
