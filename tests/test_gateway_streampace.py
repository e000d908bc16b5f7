"""Streams of a slow upstream, through a gateway and workers as processes."""

import concurrent.futures

from radishcourse_node import events
from tests import site as sites
from tests import sitefiles
from tests import test_gateway_path

EVENTS = 40
EVENT_MS = 40
# At this time between events, a stream would take four times its time limit.
SLOW_EVENT_MS = 400
STREAMS = 12
# Streams that end in time although the gateway expects up to EVENTS of them.
SHORT_EVENTS = 14
SHORT_EVENT_MS = 200


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


class FailedMoveTest(test_gateway_path.SiteTest):
    """Guards against a sound stream that is given up for one that fails.

    The upstream is slow, but its streams end in time: they are shorter than
    those by which the gateway estimates their length.
    """

    retry_slack = 100_000

    @classmethod
    def setUpClass(cls):
        super().setUpClass()
        stream = {'streamResume': True, 'gapTargetMs': 500, 'affinity': True}
        twice = sitefiles.route(
            'twice', '/twice/', 'stream', 'engine', maxAttempts=2, **stream
        )
        routes = [*sitefiles.manifest()['routes'], twice]
        cls.site.configure(version=5, routes=routes)
        sites.wait_until(
            lambda: cls.site.send('gateway-1', 'POST', '/twice/1').status != 404
        )

    def setUp(self):
        super().setUp()
        for name in ('engine-1', 'engine-2'):
            self.site.set_behaviour(name, events=EVENTS, event_ms=EVENT_MS)

    def _send(self, path: str, number: int):
        return self.send(
            'POST',
            f'{path}{number}',
            b'prompt',
            X_Token_Count=f'200,{EVENTS}',
        )

    def _send_many(self, path: str):
        with concurrent.futures.ThreadPoolExecutor(STREAMS) as pool:
            return list(
                pool.map(lambda item: self._send(path, item), range(STREAMS))
            )

    def _check_whole(self, path: str, fault: str) -> None:
        """Checks that all streams are whole though none can be continued.

        Args:
          path: Path of the route.
          fault: How engine-2 answers from then on.
        """
        self._send_many(path)
        self.site.set_behaviour(
            'engine-1', events=SHORT_EVENTS, event_ms=SHORT_EVENT_MS
        )
        self.site.set_behaviour(
            'engine-2',
            events=EVENTS,
            event_ms=EVENT_MS,
            fault=fault,
            count=1_000_000,
        )
        responses = self._send_many(path)
        broken = [
            self._records(item.request)
            for item in responses
            if item.status == 200 and not item.whole
        ]
        self.assertEqual([], broken)
        self.assertIn(200, {item.status for item in responses})

    def _records(self, request: str) -> list[dict]:
        return [
            line
            for line in self.site.log('gateway-1')
            if line.get('request') == request
        ]

    def test_stream_goes_on_where_a_failed_move_could_not_be_repeated(self):
        self._check_whole('/twice/', 'shed')

    def test_stream_goes_on_where_the_other_upstream_refuses(self):
        self._check_whole('/draft/', 'shed')
