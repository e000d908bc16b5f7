"""Orders of workers by real gateways: one holder, whatever fails."""

import contextlib
import pathlib
import signal
import tempfile
import time

import testtools

from radishcourse_standins import processes
from tests import site as sites
from tests import sitefiles

LEASE_S = 1.5
BOUNDS = {'leaseMs': 1000 * LEASE_S, 'reportWindowS': 1.0, 'thawMs': 300}
GATEWAYS = ('gateway-1', 'gateway-2', 'gateway-3')
ZONE = sitefiles.ZONES[0]


class ScalingTest(testtools.TestCase):
    """Guards against orders of two holders, and against lost ones."""

    @contextlib.contextmanager
    def _running(self):
        """Yields a site with three gateways whose desk has two workers."""
        with (
            tempfile.TemporaryDirectory() as folder,
            processes.started(pathlib.Path(folder)) as started_processes,
        ):
            self.api = started_processes.stand_in('controlapi', lease_s=LEASE_S)
            processes.wait_http(self.api, '/control/calls')
            self.site = sites.Site(
                started_processes,
                control_api=self.api.address,
                bounds=BOUNDS,
                duties=('metering', 'autoscale'),
            )
            self._configure(1, 1)
            for name in ('desk-1', 'desk-2'):
                self.site.start_worker(name, 'desk')
            for name in GATEWAYS:
                self.site.start_gateway(name)
                self.site.wait_ready(name)
            self.site.wait_listed(2)
            yield

    def _configure(self, version: int, least: int) -> None:
        scaling = {'min': least, 'max': 6, 'bootS': 1}
        services = sitefiles.manifest()['services']
        services[0]['scaling'] = scaling
        self.site.configure(version=version, services=services)

    @property
    def _calls(self) -> dict:
        return self.site.control(self.api, 'calls')

    def _wait_order(self, count: int, not_by: str = '') -> dict:
        """Waits for an order of a number; returns it."""

        def find():
            return [
                order
                for order in self._calls['orders']
                if order['desired'] == count and order['holder'] != not_by
            ]

        sites.wait_until(find, 30)
        return find()[0]

    def test_orders_come_from_one_holder_after_the_other(self):
        with self._running():
            first = self._wait_order(2)
            self.assertEqual(('desk', ZONE), (first['service'], first['zone']))
            self._configure(2, 3)
            self.assertEqual(first['holder'], self._wait_order(3)['holder'])
            self.site.gateways[first['holder']].kill()
            again = self._wait_order(3, not_by=first['holder'])
            self.assertGreater(again['token'], first['token'])
            self.assertEqual([], self._calls['broken'])

    def test_frozen_holder_sends_nothing_when_it_wakes(self):
        with self._running():
            holder = self._wait_order(2)['holder']
            self.site.gateways[holder].signal(signal.SIGSTOP)
            self._wait_order(2, not_by=holder)
            self.site.gateways[holder].signal(signal.SIGCONT)
            self._configure(2, 3)
            self._wait_order(3, not_by=holder)
            time.sleep(2)
            self.assertNotEqual(holder, self._calls['orders'][-1]['holder'])
            self.assertEqual([], self._calls['broken'])

    def test_order_without_a_response_is_repeated(self):
        with self._running():
            self.site.control(
                self.api, 'faults', {'mode': 'lose', 'delay_s': 0.0}
            )
            sites.wait_until(lambda: len(self._calls['orders']) > 2, 30)
            self.site.control(
                self.api, 'faults', {'mode': 'up', 'delay_s': 0.0}
            )
            self._configure(2, 3)
            self._wait_order(3)
            counts = [order['desired'] for order in self._calls['orders']]
            self.assertEqual({2, 3}, set(counts))
            self.assertEqual(sorted(counts), counts)
            self.assertEqual([], self._calls['broken'])
