"""Agreement of gateways on configuration, keys, zones and upstreams."""

import concurrent.futures
import signal
import time

import testtools

from radishcourse_gateway import peers
from radishcourse_gateway import records
from radishcourse_policy import loadbalancing
from tests import site as sites
from tests import sitefiles

# Shortest bounds of the users' sites, in seconds, until a change is in force.
CONFIGURATION_BOUND_S = 2.0
DRAINING_BOUND_S = 2.0
EVACUATION_BOUND_S = 5.0


class SiteTest(testtools.TestCase):
    """Base of tests that start their own site."""

    def start(self, gateways: int = 2, **fields) -> sites.Site:
        """Starts a site that ends with the test."""
        running = sites.running(gateways, **fields)
        site = running.__enter__()
        self.addCleanup(running.__exit__, None, None, None)
        return site

    def wait_everywhere(self, seconds: float, site, condition) -> None:
        """Waits until a condition holds at each gateway, by name."""
        for name in site.gateways:
            sites.wait_until(lambda name=name: condition(name), seconds)


def _split_by_watching(
    site: sites.Site, table: records.Table
) -> tuple[list[str], list[str]]:
    """Returns the nodes that do not follow a table, and those that do."""
    by_weight = sorted(
        site.gateways,
        key=lambda name: loadbalancing.rendezvous_weight(table.value, name),
    )
    return by_weight[: -peers.MIN_WATCHERS], by_weight[-peers.MIN_WATCHERS :]


class ConfigurationTest(SiteTest):
    """Guards against gateways that keep serving by an old configuration."""

    def test_new_route_and_withdrawn_key_are_in_force_everywhere(self):
        site = self.start(3)
        site.configure(
            version=2,
            routes=[sitefiles.route('new', '/new/', 'idempotent', 'desk')],
            tenants=[{'name': 'second', 'apiKeys': [sitefiles.OTHER_KEY]}],
        )
        key = {'Api_Key': sitefiles.OTHER_KEY}
        self.wait_everywhere(
            CONFIGURATION_BOUND_S,
            site,
            lambda name: site.send(name, 'GET', '/new/1', **key).status == 200,
        )
        for name in site.gateways:
            self.assertEqual(401, site.send(name, 'GET', '/new/1').status)
            response = site.send(name, 'GET', '/stock/1', **key)
            self.assertEqual(404, response.status)

    def test_change_is_in_force_when_the_store_refuses_its_watchers(self):
        site = self.start(6)
        _, watchers = _split_by_watching(site, records.Table.CONFIGURATION)
        # Long enough for a confirmation to have reached the others.
        time.sleep(peers.ALIVE_TIMEOUT_S)
        site.link_fault('refuse', *watchers)
        changed_at = time.monotonic()
        site.configure(
            version=2,
            routes=[sitefiles.route('new', '/new/', 'idempotent', 'desk')],
        )
        self.wait_everywhere(
            CONFIGURATION_BOUND_S,
            site,
            lambda name: site.send(name, 'GET', '/new/1').status == 200,
        )
        elapsed_s = time.monotonic() - changed_at
        self.assertLess(elapsed_s, CONFIGURATION_BOUND_S)

    def test_node_that_the_store_does_not_serve_learns_from_others(self):
        for mode in ('refuse', 'blackhole'):
            site = self.start(3)
            site.link_fault(mode, 'gateway-2')
            site.configure(version=2, routes=[])
            self.wait_everywhere(
                CONFIGURATION_BOUND_S + 5.0,
                site,
                lambda name, site=site: (
                    site.send(name, 'GET', '/stock/1').status == 404
                ),
            )

    def test_older_version_never_replaces_a_newer_one(self):
        site = self.start(1)
        site.configure(version=5, routes=[])
        self.wait_everywhere(
            CONFIGURATION_BOUND_S,
            site,
            lambda name: site.send(name, 'GET', '/stock/1').status == 404,
        )
        site.configure(version=4)
        time.sleep(1.0)
        response = site.send('gateway-1', 'GET', '/stock/1')
        self.assertEqual(404, response.status)

    def test_row_that_can_not_be_read_leaves_the_last_one_in_force(self):
        site = self.start(1)
        site.put('op', 'config', '{"version": 7, "routes": "none"}')
        site.put('servers', 'odd', '\\xff not JSON')
        sites.wait_until(
            lambda: (
                len(
                    [
                        line
                        for line in site.log('gateway-1')
                        if line['message_type'] == 'record_unreadable'
                    ]
                )
                == 2
            )
        )
        response = site.send('gateway-1', 'GET', '/stock/1')
        self.assertEqual(200, response.status)

    def test_changes_whose_history_is_gone_are_read_as_a_whole(self):
        site = self.start(1)
        site.link_fault('blackhole', 'gateway-1')
        time.sleep(0.2)
        site.configure(version=2, routes=[])
        site.put('servers', 'desk-1', None)
        site.control(site.store, 'compact', {})
        site.link_fault('pass', 'gateway-1')
        self.wait_everywhere(
            2 * CONFIGURATION_BOUND_S,
            site,
            lambda name: site.send(name, 'GET', '/stock/1').status == 404,
        )

    def test_started_node_without_a_store_learns_from_others(self):
        site = self.start(1)
        site.start_gateway('late')
        site.link_fault('refuse', 'late')
        site.wait_ready()
        self.assertEqual(200, site.send('late', 'GET', '/stock/1').status)


class LostWatchersTest(SiteTest):
    """Guards against nodes that wait for rows from watchers that were lost."""

    GATEWAYS = 8

    def _kill_watchers(self, site, table: records.Table) -> list[str]:
        """Kills the nodes that follow a table; returns the others."""
        others, watchers = _split_by_watching(site, table)
        for name in watchers:
            site.gateways[name].signal(signal.SIGKILL)
        return others

    def _wait_at(self, names: list[str], bound_s: float, condition) -> None:
        """Checks that a condition holds at nodes within the bound."""
        changed_at = time.monotonic()
        for name in names:
            left_s = changed_at + bound_s - time.monotonic()
            sites.wait_until(lambda name=name: condition(name), left_s)

    def test_draining_is_in_force_when_its_watchers_are_killed(self):
        site = self.start(self.GATEWAYS)
        time.sleep(peers.ALIVE_TIMEOUT_S)
        # A change confirms the state of all nodes just before the kill.
        site.write_entry('desk-1', 'desk', slots=9)
        time.sleep(0.5)
        names = self._kill_watchers(site, records.Table.UPSTREAMS)
        site.write_entry('desk-1', 'desk', state='draining')
        self._wait_at(
            names,
            DRAINING_BOUND_S,
            lambda name: any(
                line.get('upstream') == 'desk-1'
                and line.get('state') == 'draining'
                for line in site.log(name)
            ),
        )

    def test_configuration_is_in_force_when_its_watchers_are_killed(self):
        site = self.start(self.GATEWAYS)
        time.sleep(peers.ALIVE_TIMEOUT_S)
        site.configure(version=2)
        time.sleep(0.5)
        names = self._kill_watchers(site, records.Table.CONFIGURATION)
        site.configure(
            version=3,
            routes=[sitefiles.route('new', '/new/', 'idempotent', 'desk')],
        )
        self._wait_at(
            names,
            CONFIGURATION_BOUND_S,
            lambda name: site.send(name, 'GET', '/new/1').status == 200,
        )


class UpstreamTest(SiteTest):
    """Guards against new work for draining, removed or evacuated upstreams."""

    def _check_only_server(self, site, wanted: str, bound_s: float) -> None:
        """Waits for the bound, then checks that one upstream serves all."""
        time.sleep(bound_s)
        for number in range(6):
            for name in site.gateways:
                response = site.send(name, 'GET', f'/stock/{number}')
                self.assertEqual(wanted, response.headers['x-server-stamp'])

    def test_draining_upstream_gets_no_new_work(self):
        site = self.start(2)
        site.write_entry('desk-1', 'desk', state='draining')
        self._check_only_server(site, 'desk-2', DRAINING_BOUND_S)

    def test_upstream_whose_entry_is_removed_gets_no_new_work(self):
        site = self.start(2)
        site.put('servers', 'desk-1', None)
        self._check_only_server(site, 'desk-2', DRAINING_BOUND_S)

    def test_evacuated_zone_gets_no_new_work_until_it_is_back(self):
        site = self.start(2)
        site.write_entry('desk-1', 'desk', zone=sitefiles.ZONES[1])
        site.put('op', f'evacuate/{sitefiles.ZONES[1]}', {})
        self._check_only_server(site, 'desk-2', EVACUATION_BOUND_S / 2)
        site.put('op', f'evacuate/{sitefiles.ZONES[1]}', None)
        sites.wait_until(
            lambda: (
                site.send('gateway-1', 'GET', '/stock/1').headers[
                    'x-server-stamp'
                ]
                == 'desk-1'
            )
        )

    def test_address_that_another_upstream_took_over_runs_nothing(self):
        site = self.start(1)
        address = site.workers['desk-2'].address
        site.write_entry('desk-1', 'desk', address=address)
        time.sleep(0.5)
        for number in range(6):
            response = site.send('gateway-1', 'POST', '/order/1', b'goods')
            self.assertEqual(200, response.status, number)
            self.assertEqual('desk-2', response.headers['x-server-stamp'])

    def test_cold_upstream_gets_no_more_than_it_bears(self):
        site = self.start(2)
        site.put('servers', 'engine-2', None)
        site.write_entry('engine-1', 'engine', coldLeftMs=10_000)
        time.sleep(1.0)
        before = len(site.runs('engine-1'))
        started_at = time.monotonic()
        with concurrent.futures.ThreadPoolExecutor(8) as pool:
            responses = list(
                pool.map(
                    lambda number: site.send(
                        f'gateway-{1 + number % 2}', 'POST', '/draft/1', b'p'
                    ),
                    range(60),
                )
            )
        seconds = time.monotonic() - started_at
        ran = len(site.runs('engine-1')) - before
        # coldPerS x coldExcess + coldSlack for each started second.
        self.assertLessEqual(ran, 12.5 * (1 + int(seconds)))
        self.assertGreater(ran, 0)
        self.assertEqual(
            {200, 503}, {response.status for response in responses}
        )


class DrainTest(SiteTest):
    """Guards against planned stops that truncate responses."""

    def test_stop_finishes_streams_and_takes_no_new_ones(self):
        site = self.start(2)
        for name in ('engine-1', 'engine-2'):
            site.set_behaviour(name, events=30, event_ms=100)
        with concurrent.futures.ThreadPoolExecutor(4) as pool:
            streams = [
                pool.submit(
                    site.send, 'gateway-1', 'POST', '/draft/1', b'prompt'
                )
                for _ in range(4)
            ]
            time.sleep(0.5)
            site.gateways['gateway-1'].signal(signal.SIGTERM)
            time.sleep(0.1)
            late = site.send('gateway-1', 'GET', '/stock/1')
            responses = [stream.result() for stream in streams]
        self.assertEqual('close', late.headers['connection'])
        for response in responses:
            self.assertTrue(response.whole)
            self.assertEqual(30, response.body.count(b'\n\n'))
        self.assertEqual(0, site.gateways['gateway-1'].popen.wait(6))

    def test_stopping_node_serves_what_ends_in_time(self):
        site = self.start(1)
        for name in ('engine-1', 'engine-2'):
            site.set_behaviour(name, events=33, event_ms=100)
        with concurrent.futures.ThreadPoolExecutor(1) as pool:
            stream = pool.submit(
                site.send, 'gateway-1', 'POST', '/draft/1', b'prompt'
            )
            time.sleep(0.3)
            site.gateways['gateway-1'].signal(signal.SIGTERM)
            time.sleep(2.8)
            # 3.2 s of the grace period of 6 s are left, less than the timeout
            # of the route.
            long = site.send('gateway-1', 'POST', '/draft/1', b'prompt')
            site.configure(
                version=2,
                routes=[
                    sitefiles.route(
                        'stock', '/stock/', 'idempotent', 'desk', timeoutMs=1000
                    )
                ],
            )
            sites.wait_until(
                lambda: site.send('gateway-1', 'GET', '/stock/1').status == 200,
                1.0,
            )
            self.assertEqual(503, long.status)
            self.assertTrue(stream.result().whole)

    def test_reload_signal_does_not_end_the_process(self):
        site = self.start(1)
        site.gateways['gateway-1'].signal(signal.SIGHUP)
        time.sleep(0.3)
        response = site.send('gateway-1', 'GET', '/stock/1')
        self.assertEqual(200, response.status)


class StartTest(SiteTest):
    """Guards against a SIGHUP that ends a starting gateway.

    Seed 27 of the soak showed it.
    """

    def test_reload_signal_during_the_start_does_not_end_the_process(self):
        site = self.start(1)
        process = site.start_gateway('gateway-2')
        sites.wait_until(lambda: site.handles_sighup('gateway-2', caught=False))
        process.signal(signal.SIGHUP)
        site.wait_ready()


class LeavingTest(SiteTest):
    """Guards against work for callers that have disconnected."""

    def test_upstream_learns_that_the_caller_left(self):
        site = self.start(1)
        for name in ('engine-1', 'engine-2'):
            site.set_behaviour(name, events=100, event_ms=50)
        with concurrent.futures.ThreadPoolExecutor(1) as pool:
            stream = pool.submit(
                site.send_and_disconnect, 'gateway-1', 'POST', '/draft/1', 0.5
            )
            stream.result()

        def saw_disconnect() -> bool:
            return any(
                site.control(site.workers[name], 'state')['left']
                for name in ('engine-1', 'engine-2')
            )

        self.assertLess(sites.wait_until(saw_disconnect, 2.0), 0.5 + 0.5)
