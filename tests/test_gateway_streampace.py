"""Streams of a slow upstream, through a gateway and workers as processes."""

import concurrent.futures

from radishcourse_node import events
from tests import test_gateway_path

EVENTS = 40
EVENT_MS = 40
# At this time between events, a stream would take four times its time limit.
SLOW_EVENT_MS = 400
STREAMS = 12


class SlowUpstreamTest(test_gateway_path.SiteTest):
    """Guards against streams that a slow upstream does not end in time.

    Without the move they end at the deadline, in the middle.
    """

    retry_slack = 100_000

    def _send(self, number: int):
        return self.send(
            'POST',
            f'/draft/{number}',
            b'prompt',
            X_Token_Count=f'200,{EVENTS}',
        )

    def _send_many(self):
        with concurrent.futures.ThreadPoolExecutor(STREAMS) as pool:
            return list(pool.map(self._send, range(STREAMS)))

    def test_streams_are_continued_at_the_other_upstream(self):
        for name in ('engine-1', 'engine-2'):
            self.site.set_behaviour(name, events=EVENTS, event_ms=EVENT_MS)
        self._send_many()
        self.site.set_behaviour(
            'engine-1', events=EVENTS, event_ms=SLOW_EVENT_MS
        )
        expected_ids = [b'id: %d' % number for number in range(1, EVENTS + 1)]
        for response in self._send_many():
            lines = response.body.splitlines()
            event_ids = [line for line in lines if line.startswith(b'id:')]
            self.assertEqual(expected_ids, event_ids)
            self.assertTrue(response.whole)
        moved = [
            line
            for line in self.site.log('gateway-1')
            if line['event'] == events.Event.STREAM_MOVED.value
        ]
        requests = [line['request'] for line in moved]
        self.assertGreater(len(requests), 0)
        self.assertEqual(len(set(requests)), len(requests))
