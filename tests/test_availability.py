"""Use of upstreams whose probes time out: the panic threshold."""

import concurrent.futures
import signal
import types

import testtools

from radishcourse_model import ids
from radishcourse_model import schema
from radishcourse_node.controllers import availability
from radishcourse_node.controllers import health
from radishcourse_policy import clock as clocks
from radishcourse_policy import lateness
from radishcourse_policy import panicthreshold
from tests import cluster as clusters

NAMES = tuple(ids.UpstreamId(f'small-{number}') for number in range(1, 5))
ORDERS = '/v1/services/order-desk/orders'


class PanicThresholdTest(testtools.TestCase):
    """Guards against refusals because most probes time out at once."""

    def test_threshold_is_half_of_the_upstreams(self):
        panics = [
            (answering, panicthreshold.is_panic(answering, 8 - answering))
            for answering in range(9)
        ]
        self.assertEqual([(n, n < 4) for n in range(9)], panics)

    def test_upstreams_that_are_gone_cause_no_panic(self):
        self.assertFalse(panicthreshold.is_panic(0, 0))


class AvailabilityTest(testtools.TestCase):
    """Guards against the use of upstreams that must not be used."""

    def setUp(self):
        super().setUp()
        self.clock = clocks.ManualClock(100.0)
        self.registry = health.Registry(
            self.clock, ids.NodeId('n'), lateness.Lateness(self.clock)
        )
        self.upstreams = {
            name: schema.Upstream('127.0.0.1:1', ids.ZoneId('z'))
            for name in NAMES
        }
        self.availability = availability.Availability(
            self.clock,
            types.SimpleNamespace(
                config=schema.Config(upstreams=self.upstreams)
            ),
            self.registry,
        )
        for name in NAMES:
            self.registry.note_state(name, 'b1', 'warm', 100.0)

    def _fail_probes(self, *names, refused: bool = False) -> None:
        for _ in range(health.DOWN_AFTER_PROBES):
            self.clock.advance(0.5)
            for name in names:
                now = self.clock.now()
                self.registry.note_failed_probe(name, now, refused)

    def _usable(self, **options) -> list[str]:
        return [
            name for name in NAMES if self.availability.may_use(name, **options)
        ]

    def test_silent_minority_is_not_used(self):
        self._fail_probes(*NAMES[:2])
        self.assertEqual([*NAMES[2:]], self._usable())

    def test_silent_majority_is_used(self):
        self._fail_probes(*NAMES[:3])
        self.assertEqual([*NAMES], self._usable())

    def test_silent_upstreams_get_no_job_that_may_run_once_only(self):
        self._fail_probes(*NAMES)
        self.assertEqual([], self._usable(silent=False))

    def test_upstreams_that_refuse_connections_are_not_used(self):
        self._fail_probes(*NAMES[:2], refused=True)
        self._fail_probes(*NAMES[2:])
        self.assertEqual([*NAMES[2:]], self._usable())

    def test_leaving_upstreams_are_not_used_in_a_panic(self):
        self.registry.note_listed(NAMES[0], leaving=True)
        self._fail_probes(*NAMES)
        self.assertEqual([*NAMES[1:]], self._usable())

    def test_panic_ends_when_enough_upstreams_answer(self):
        self._fail_probes(*NAMES)
        self.assertEqual([*NAMES], self._usable())
        self.clock.advance(availability.VERDICT_TTL_S)
        for name in NAMES[:2]:
            self.registry.note_state(name, 'b1', 'warm', self.clock.now())
        self.assertEqual([*NAMES[:2]], self._usable())


class SilentUpstreamsTest(testtools.TestCase):
    """Guards against refusals while all upstreams pause for seconds."""

    def test_jobs_outlast_a_pause_of_all_upstreams(self):
        with clusters.running(1, ('small-1', 'small-2')) as cluster:
            cluster.chat('entry-0', 'tag')
            paused = list(cluster.upstreams.values())
            for process in paused:
                process.signal(signal.SIGSTOP)
            clusters.wait_until(lambda: self._are_down(cluster))
            deadline = {'X-Radish-Deadline-Ms': '60000'}
            with concurrent.futures.ThreadPoolExecutor(8) as pool:
                calls = [
                    pool.submit(cluster.chat, 'entry-0', 'tag', deadline, 60.0)
                    for _ in range(6)
                ]
                order = cluster.post('entry-0', ORDERS, {'order': 'o-1'})
                for process in paused:
                    process.signal(signal.SIGCONT)
                replies = [call.result() for call in calls]
            self.assertEqual([200] * 6, [reply.status for reply in replies])
            # An order may run only once, and its answer could be lost.
            self.assertEqual(
                (503, 'not_run'),
                (order.status, order.headers['x-radish-outcome']),
            )

    def _are_down(self, cluster) -> bool:
        listed = cluster.status('entry-0')['upstreams']
        return all(item['state'] == 'down' for item in listed)
