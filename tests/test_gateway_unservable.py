"""Requests that upstreams can't serve in time, with processes."""

import concurrent.futures
import time

from radishcourse_gateway import admissions
from radishcourse_node import events
from tests import site as sites
from tests import test_gateway_path

DELAY_MS = 800
REQUESTS = 12
SHORT_BUDGET_MS = 300


class UnservableTest(test_gateway_path.SiteTest):
    """Guards against requests that are sent to wait until their deadline."""

    def _send(self, number: int, **headers) -> sites.Response:
        return self.send('POST', f'/draft/{number}', b'prompt', **headers)

    def test_request_that_can_not_be_served_in_time_does_not_run(self):
        for name in ('engine-1', 'engine-2'):
            self.site.write_entry(name, 'engine', slots=1)
            self.site.set_behaviour(name, delay_ms=DELAY_MS)
        with concurrent.futures.ThreadPoolExecutor(2 * REQUESTS) as pool:
            first = list(pool.map(self._send, range(REQUESTS)))
            self.assertEqual({200}, {response.status for response in first})
            second = [pool.submit(self._send, 0) for _ in range(REQUESTS)]
            sites.wait_until(lambda: len(self.site.runs()) > REQUESTS + 2)
            # The gateway reads the upstreams' work again.
            time.sleep(1.5 * admissions.ROOM_TTL_S)
            short = self._send(1, X_Time_Budget_Ms=str(SHORT_BUDGET_MS))
            for call in second:
                self.assertIn(call.result().status, (200, 503))
        self.assertEqual(503, short.status)
        retry_s = float(short.headers['retry-after'])
        self.assertLessEqual(retry_s, SHORT_BUDGET_MS / 1000 / 3)
        self.assertEqual([], self.runs_of(short))
        refused = [
            line
            for line in self.site.log('gateway-1')
            if line.get('request') == short.request
            and line['event'] == events.Event.REQUEST_SHED.value
        ]
        self.assertEqual(['unservable'], [item['verdict'] for item in refused])

    def test_request_is_served_when_the_queue_is_gone(self):
        time.sleep(DELAY_MS / 1000)
        for name in ('engine-1', 'engine-2'):
            self.site.set_behaviour(name)
        self.assertEqual(200, self._send(1).status)
