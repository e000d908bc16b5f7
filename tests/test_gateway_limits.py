"""Limits that upstreams name for all nodes together."""

import concurrent.futures
import time

from tests import sitefiles
from tests import test_gateway_fleet

# The users' bound: from CONTACT_S after an upstream first named its limit, it
# gets in WINDOW_S at most EXCESS times what that allows, and SLACK requests.
CONTACT_S, WINDOW_S, EXCESS, SLACK = 3.0, 4.0, 1.5, 5
LIMIT = 3.0
LIMITED = 'engine-1'
GATEWAYS = 4
PER_S = 40
PLAYED_S = 10.0


class LimitSiteTest(test_gateway_fleet.SiteTest):
    """Base of tests on a site with three engines."""

    retry_slack = sitefiles.RETRY_SLACK

    def setUp(self):
        super().setUp()
        self.site = self.start(GATEWAYS, retry_slack=self.retry_slack)
        self.site.start_worker('engine-3', 'engine')
        self.site.wait_workers('engine-3')
        self.site.wait_listed(len(self.site.workers))

    def _send(self, number: int, gateways: int):
        name = f'gateway-{1 + number % gateways}'
        return self.site.send(name, 'POST', f'/draft/{number}', b'prompt')

    def _play(self, seconds: float, gateways: int = GATEWAYS) -> list:
        """Sends requests at a steady rate; returns the responses."""
        started_at = time.monotonic()
        pending = []
        with concurrent.futures.ThreadPoolExecutor(16) as pool:
            for number in range(int(seconds * PER_S)):
                at = started_at + number / PER_S
                time.sleep(max(0.0, at - time.monotonic()))
                pending.append(pool.submit(self._send, number, gateways))
        return [item.result() for item in pending]

    def _arrivals(self, since: float) -> list[float]:
        runs = self.site.logged_runs(LIMITED)
        return sorted(run['at'] for run in runs if run['at'] > since)

    def _most_in_window(self, arrivals: list[float]) -> int:
        return max(
            sum(at <= other < at + WINDOW_S for other in arrivals)
            for at in arrivals
        )


class NamedLimitTest(LimitSiteTest):
    """Guards against nodes that together exceed a limit each of them keeps."""

    def test_upstream_that_names_a_limit_gets_no_more_from_all_nodes(self):
        named_at = time.monotonic()
        self.site.set_behaviour(LIMITED, limit=str(LIMIT))
        responses = self._play(PLAYED_S)
        arrivals = self._arrivals(named_at + CONTACT_S)
        allowed = EXCESS * LIMIT * WINDOW_S + SLACK
        self.assertLessEqual(self._most_in_window(arrivals), allowed)
        self.assertEqual({200}, {response.status for response in responses})

    def test_limit_is_used_where_one_node_has_all_requests(self):
        named_at = time.monotonic()
        self.site.set_behaviour(LIMITED, limit=str(LIMIT))
        self._play(PLAYED_S, gateways=1)
        arrivals = self._arrivals(named_at + CONTACT_S)
        seconds = PLAYED_S - CONTACT_S
        self.assertGreaterEqual(len(arrivals), LIMIT * seconds / 2)

    def test_limit_ends_when_answers_no_longer_name_it(self):
        self.site.set_behaviour(LIMITED, limit=str(LIMIT))
        self._play(CONTACT_S)
        self.site.set_behaviour(LIMITED)
        self._play(CONTACT_S)
        ended_at = time.monotonic()
        self._play(CONTACT_S)
        # A third of all requests, were it not for chance.
        arrivals = self._arrivals(ended_at)
        self.assertGreater(len(arrivals), CONTACT_S * PER_S / 6)

    def test_values_that_are_no_rate_leave_the_upstream_in_use(self):
        for value in ('', 'many', '-3', 'nan', 'inf', '1e300', '1.5.2'):
            self.site.set_behaviour(LIMITED, limit=value)
            named_at = time.monotonic()
            responses = self._play(1.0)
            statuses = {response.status for response in responses}
            self.assertEqual({200}, statuses, value)
            self.assertNotEqual([], self._arrivals(named_at), value)


class LimitedRetryTest(LimitSiteTest):
    """Guards against retries that find no upstream below its limit."""

    # The budget of a node that takes the others for dead pays for one retry.
    retry_slack = 1000

    def test_request_is_retried_where_all_others_have_reached_their_limits(
        self,
    ):
        for name in (LIMITED, 'engine-2'):
            self.site.set_behaviour(name, limit='0')
        self._play(CONTACT_S)
        for number in range(5):
            self.site.set_behaviour('engine-3', fault='shed', count=1)
            response = self._send(number, 1)
            self.assertEqual(200, response.status)
