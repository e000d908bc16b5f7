"""Leaving upstreams, the order of observed states, and waiting for slots."""

import concurrent.futures
import time

import testtools

from radishcourse_model import ids
from radishcourse_model import states
from radishcourse_node.controllers import health
from radishcourse_policy import clock as clocks
from radishcourse_policy import lateness
from tests import cluster as clusters
from tests import traffic

ENGINE = ids.UpstreamId('small-1')
# G10: an upstream that is leaving gets no new work after this time.
NO_NEW_WORK_AFTER_S = 3.0


class LeavingTest(testtools.TestCase):
    """Guards against new work for upstreams that are leaving.

    An upstream can be leaving by its own report, by the VM list or by the
    configuration; each of them alone must end new work.
    """

    def _list_leaving(self, cluster, leaving: str) -> None:
        listed = [
            {
                'vm': name,
                'address': process.address,
                'zone': clusters.ZONES[0],
                'role': 'upstream',
                'state': 'leaving' if name == leaving else 'live',
            }
            for name, process in cluster.upstreams.items()
        ]
        cluster.control(cluster.platform, 'vms', listed)

    def test_each_source_ends_new_work_in_time(self):
        engines = ('small-1', 'small-2', 'small-3', 'small-4')
        with (
            clusters.running(4, engines, ()) as cluster,
            traffic.running(cluster) as load,
        ):
            clusters.wait_until(lambda: load.count() >= 100)
            engine = cluster.upstreams['small-1']
            cluster.control(engine, 'state', {'state': 'leaving'})
            # The VM list names only small-2, so small-1 must be found by its
            # own report and small-3 by the configuration.
            self._list_leaving(cluster, 'small-2')
            document = clusters.make_document(cluster)
            document['upstreams']['small-3']['leaving'] = True
            cluster.apply(document)
            latest_at = time.monotonic() + NO_NEW_WORK_AFTER_S
            time.sleep(NO_NEW_WORK_AFTER_S + 2)
            late = [
                sum(item['at'] > latest_at for item in cluster.served(name))
                for name in engines
            ]
            self.assertEqual([0, 0, 0], late[:3])
            self.assertGreater(late[3], 0)


class StateOrderTest(testtools.TestCase):
    """Guards against old states that replace newer ones.

    They come from answers that were sent before a restart or that waited in a
    socket buffer while the process was paused, and would make a cold upstream
    seem warm.
    """

    def setUp(self):
        super().setUp()
        self.clock = clocks.ManualClock(100.0)
        self.lateness = lateness.Lateness(self.clock)
        self.registry = self._make_registry('a')
        self.registry.note_state(ENGINE, 'b1', 'warm', 100.0)

    def _make_registry(self, name: str) -> health.Registry:
        return health.Registry(self.clock, ids.NodeId(name), self.lateness)

    def _state(self) -> states.UpstreamState:
        return self.registry.state(ENGINE)

    def test_warm_state_is_trusted_for_a_second(self):
        self.clock.advance(1.0)
        self.assertTrue(self.registry.is_warm(ENGINE))
        self.clock.advance(0.01)
        self.assertFalse(self.registry.is_warm(ENGINE))

    def test_unobserved_upstreams_are_not_warm(self):
        self.assertFalse(self.registry.is_warm(ids.UpstreamId('other')))

    def test_another_boot_is_cold_until_it_is_confirmed(self):
        self.registry.note_state(ENGINE, 'b2', 'warm', 100.1)
        self.assertEqual(states.UpstreamState.COLD, self._state())
        self.registry.note_state(ENGINE, 'b2', 'warm', 100.2)
        self.assertEqual(states.UpstreamState.WARM, self._state())

    def test_state_observed_before_a_reset_is_ignored(self):
        self.clock.advance(0.5)
        self.registry.note_reset(ENGINE)
        self.registry.note_state(ENGINE, 'b1', 'warm', 100.4)
        self.assertEqual(states.UpstreamState.COLD, self._state())

    def test_header_buffered_during_a_pause_is_ignored(self):
        self.lateness.tick()
        self.clock.advance(30.0)
        self.registry.note_header(ENGINE, 'b1', 'warm')
        self.lateness.tick()
        self.registry.note_header(ENGINE, 'b1', 'warm')
        self.assertFalse(self.registry.is_warm(ENGINE))

    def test_gossiped_leaving_overrides_the_upstream_s_own_report(self):
        peer = self._make_registry('b')
        peer.note_state(ENGINE, 'b1', 'warm', 100.0)
        peer.note_listed(ENGINE, leaving=True)
        for _ in range(30):
            self.clock.advance(1.0)
            peer.note_listed(ENGINE, leaving=True)
            now = self.clock.now()
            self.registry.merge(peer.records(), now)
            self.registry.note_state(ENGINE, 'b1', 'warm', now)
            self.assertEqual(states.UpstreamState.LEAVING, self._state())
        peer.note_listed(ENGINE, leaving=False)
        self.clock.advance(health.GOSSIP_MAX_AGE_S + 0.1)
        self.registry.note_state(ENGINE, 'b1', 'warm', self.clock.now())
        self.assertEqual(states.UpstreamState.WARM, self._state())


class WaitTest(testtools.TestCase):
    """Guards against refusals of jobs that could have waited for a slot."""

    def test_jobs_wait_for_the_slot_or_are_refused_early(self):
        with clusters.running(1, ('small-1',), ()) as cluster:
            document = clusters.make_document(cluster)
            document['upstreams']['small-1']['slots'] = 1
            cluster.apply(document)
            cluster.wait_revision(2)
            engine = cluster.upstreams['small-1']
            cluster.control(engine, 'settings', {'first_token_ms': 500})
            cluster.chat('entry-0', 'tag')
            with concurrent.futures.ThreadPoolExecutor(6) as pool:
                # Time enough for each to wait, however slow the machine is.
                deadline = {'X-Radish-Deadline-Ms': '120000'}
                calls = [
                    pool.submit(cluster.chat, 'entry-0', 'tag', deadline, 120.0)
                    for _ in range(5)
                ]
                clusters.wait_until(
                    lambda: cluster.status('entry-0')['in_progress'] == 5
                )
                started_at = time.monotonic()
                short_deadline = cluster.chat(
                    'entry-0', 'tag', {'X-Radish-Deadline-Ms': '1000'}
                )
                elapsed_s = time.monotonic() - started_at
                replies = [call.result() for call in calls]
            self.assertEqual(
                [(200, '')] * 5, [(item.status, item.code) for item in replies]
            )
            self.assertEqual(
                (503, 'overloaded'),
                (short_deadline.status, short_deadline.code),
            )
            self.assertEqual(
                'not_run', short_deadline.headers['x-radish-outcome']
            )
            self.assertLess(elapsed_s, 1.0)
            served = cluster.served('small-1')
            self.assertEqual(6, len(served))
            self.assertEqual(1, max(item['in_progress'] for item in served))
