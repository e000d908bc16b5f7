"""Usage reports of real gateways: one holder, whatever fails."""

import collections
import contextlib
import itertools
import pathlib
import signal
import tempfile
import threading
import time

import testtools

from radishcourse_standins import processes
from tests import site as sites

LEASE_S = 1.5
WINDOW_S = 1.0
LATE_S = 10.0
THAW_S = 0.3
BOUNDS = {
    'leaseMs': 1000 * LEASE_S,
    'reportWindowS': WINDOW_S,
    'usageLateS': LATE_S,
    'thawMs': 1000 * THAW_S,
}
GATEWAYS = ('gateway-1', 'gateway-2', 'gateway-3')
# Longest time until another node reports: it hears nothing for half a lease,
# waits a lease for a change, and another one before it acts.
TAKEOVER_S = 4 * LEASE_S


class Fleet:
    """Three gateways that serve requests and report them.

    Args:
      started_processes: Starts and ends the processes.

    Attributes:
      site: The site.
      api: The second interface.
    """

    def __init__(self, started_processes: processes.Processes):
        self.api = started_processes.stand_in('controlapi', lease_s=LEASE_S)
        processes.wait_http(self.api, '/control/calls')
        self.site = sites.Site(
            started_processes, control_api=self.api.address, bounds=BOUNDS
        )
        self.site.configure()
        for name in ('desk-1', 'desk-2'):
            self.site.start_worker(name, 'desk')
        for name in GATEWAYS:
            self.site.start_gateway(name)
            # The first has no seeds, and must be there when others look for it.
            self.site.wait_ready(name)
        self.site.wait_workers()
        self.site.wait_ready()
        self.site.wait_listed(2)
        self.live = set(GATEWAYS)
        self.served: list[float] = []
        self._ended = threading.Event()
        self._sender = threading.Thread(target=self._send)

    def _send(self) -> None:
        for name in itertools.cycle(GATEWAYS):
            if self._ended.wait(0.02):
                return
            if name not in self.live:
                continue
            with contextlib.suppress(OSError):
                if self.site.send(name, 'GET', '/stock/x').status == 200:
                    self.served.append(time.time())

    @contextlib.contextmanager
    def sending(self):
        """Sends requests to the live gateways while the context is open."""
        self._sender.start()
        try:
            yield
        finally:
            self._ended.set()
            self._sender.join()

    @property
    def calls(self) -> dict:
        return self.site.control(self.api, 'calls')

    @property
    def reports(self) -> list[dict]:
        return self.calls['reports']

    @property
    def holder(self) -> str:
        return self.reports[-1]['holder']

    def wait_report(self, seconds=TAKEOVER_S, not_by: str = '') -> dict:
        """Waits for the next report, of another holder than the given one."""
        count = len(self.reports)
        sites.wait_until(
            lambda: any(
                report['holder'] != not_by for report in self.reports[count:]
            ),
            seconds + 10,
        )
        return self.reports[-1]

    def wait_until_reported(self) -> dict[int, dict]:
        """Waits until all windows until now are reported; returns them."""
        last = int(time.time() // WINDOW_S)
        sites.wait_until(
            lambda: any(item['window'] >= last for item in self.reports), 30
        )
        return {item['window']: item for item in reversed(self.reports)}

    def set_faults(self, mode: str, delay_s: float = 0.0) -> None:
        faults = {'mode': mode, 'delay_s': delay_s}
        self.site.control(self.api, 'faults', faults)


@contextlib.contextmanager
def running():
    """Yields a fleet that has sent its first report."""
    with (
        tempfile.TemporaryDirectory() as folder,
        processes.started(pathlib.Path(folder)) as started_processes,
    ):
        fleet = Fleet(started_processes)
        with fleet.sending():
            fleet.wait_report()
            yield fleet


class DutyTest(testtools.TestCase):
    """Guards against broken rules and lost counts when something fails."""

    def _check(self, fleet: Fleet, lost: int = 0) -> None:
        """Checks the rules, that no window is missing, and the counts.

        Args:
          fleet: The fleet.
          lost: Requests that may be missing: those of a killed node that it had
            not pushed.
        """
        reports = fleet.wait_until_reported()
        self.assertEqual([], fleet.calls['broken'])
        windows = sorted(reports)
        self.assertEqual(
            list(range(windows[0], windows[-1] + 1)), windows, reports
        )
        served = collections.Counter(int(at // WINDOW_S) for at in fleet.served)
        # Responses that arrived around the end of the last window.
        end = (windows[-1] + 1) * WINDOW_S
        edge = sum(end - 0.2 < at < end + 0.2 for at in fleet.served)
        truth = sum(served[window] for window in windows)
        reported = sum(
            sum(item['counts'].values()) for item in reports.values()
        )
        details = [(k, served[k], reports[k]['counts']) for k in windows]
        self.assertGreaterEqual(reported, 0.95 * (truth - lost) - edge, details)
        self.assertLessEqual(reported, 1.05 * truth + edge, details)

    def test_all_requests_are_reported_in_time(self):
        with running() as fleet:
            time.sleep(4)
            self._check(fleet)
            for report in fleet.reports:
                end = (report['window'] + 1) * WINDOW_S
                self.assertLess(report['at'] - end, LATE_S)
            self.assertEqual(1, len({r['token'] for r in fleet.reports}))

    def test_killed_holder_is_replaced(self):
        with running() as fleet:
            holder = fleet.holder
            fleet.live.discard(holder)
            fleet.site.gateways[holder].kill()
            fleet.wait_report(not_by=holder)
            # A third of 50 requests a second, for the last second.
            self._check(fleet, lost=20)

    def test_frozen_holder_does_not_act_when_it_wakes(self):
        with running() as fleet:
            holder = fleet.holder
            fleet.live.discard(holder)
            fleet.site.gateways[holder].signal(signal.SIGSTOP)
            fleet.wait_report(not_by=holder)
            fleet.site.gateways[holder].signal(signal.SIGCONT)
            time.sleep(2)
            self.assertNotEqual(holder, fleet.holder)
            self._check(fleet, lost=20)

    def test_stopped_holder_hands_over(self):
        with running() as fleet:
            holder = fleet.holder
            fleet.live.discard(holder)
            fleet.site.gateways[holder].signal(signal.SIGTERM)
            fleet.wait_report(not_by=holder)
            self._check(fleet)
            lost = [
                line for line in fleet.site.log(holder) if line['event'] == 312
            ]
            self.assertEqual([True], [line['draining'] for line in lost])

    def test_holder_cut_off_from_the_store_is_replaced(self):
        with running() as fleet:
            holder = fleet.holder
            fleet.site.link_fault('blackhole', holder)
            fleet.wait_report(not_by=holder)
            fleet.site.link_fault('pass', holder)
            self._check(fleet)

    def test_holder_cut_off_from_the_second_interface_hands_over(self):
        with running() as fleet:
            holder = fleet.holder
            fleet.site.link_fault('blackhole', f'{holder}/control')
            fleet.wait_report(not_by=holder)
            # The link now delivers what was sent while it was cut.
            fleet.site.control(fleet.api, 'thaw', {'seconds': THAW_S})
            fleet.site.link_fault('pass', f'{holder}/control')
            self._check(fleet)

    def test_faults_of_the_second_interface_delay_reports(self):
        with running() as fleet:
            for mode in ('lose', 'busy', 'limit', 'redirect', 'endless'):
                fleet.set_faults(mode)
                time.sleep(1.5)
            fleet.set_faults('hang')
            time.sleep(1.0)
            fleet.set_faults('up', 0.3)
            self._check(fleet)

    def test_restored_store_leads_to_no_other_report(self):
        with running() as fleet:
            fleet.site.restore_store(2.5)
            fleet.wait_report(2 * TAKEOVER_S)
            reports = fleet.wait_until_reported()
            self.assertEqual([], fleet.calls['broken'])
            eras = {item['token'] >> 44 for item in reports.values()}
            self.assertEqual({1, 2}, eras)

    def test_reports_go_on_after_all_nodes_were_restarted(self):
        with running() as fleet:
            fleet.live.clear()
            for name in GATEWAYS:
                fleet.site.gateways[name].kill()
            for name in GATEWAYS:
                fleet.site.restart_gateway(name)
            fleet.site.wait_ready()
            fleet.wait_report(2 * TAKEOVER_S)
            reports = fleet.wait_until_reported()
            self.assertEqual([], fleet.calls['broken'])
            windows = sorted(reports)
            self.assertEqual(list(range(windows[0], windows[-1] + 1)), windows)


class OffTest(testtools.TestCase):
    """Guards against store calls where no duty is configured."""

    def test_no_lease_without_a_second_interface(self):
        with sites.running() as site:
            time.sleep(2)
            tables = {
                row['table'] for row in site.control(site.store, 'rows')['rows']
            }
            self.assertEqual({'op', 'servers'}, tables)
