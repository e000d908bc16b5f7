"""Leaving upstreams, order of news of upstreams, and waiting for slots."""

import concurrent.futures
import time

import testtools

from radishcourse_model import ids
from radishcourse_model import states
from radishcourse_node.controllers import health
from radishcourse_policy import clock as clocks
from tests import cluster as clusters
from tests import traffic

ENGINE = ids.UpstreamId('small-1')
# G10: no new work later than this.
LIMIT_S = 3.0


class LeavingTest(testtools.TestCase):
    """Guards against new work for upstreams that are about to go."""

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
            # The list tells of small-2 only, and of small-1 too late.
            self._list_leaving(cluster, 'small-2')
            document = clusters.make_document(cluster)
            document['upstreams']['small-3']['leaving'] = True
            cluster.apply(document)
            limit = time.monotonic() + LIMIT_S
            time.sleep(LIMIT_S + 2)
            late = [
                sum(item['at'] > limit for item in cluster.served(name))
                for name in engines
            ]
            self.assertEqual([0, 0, 0], late[:3])
            self.assertGreater(late[3], 0)


class NewsTest(testtools.TestCase):
    """Guards against old news that is taken for new, and false warmth."""

    def setUp(self):
        super().setUp()
        self.clock = clocks.ManualClock(100.0)
        self.registry = self._make('a')
        self.registry.note_state(ENGINE, 'b1', 'warm', 100.0)

    def _make(self, name: str) -> health.Registry:
        return health.Registry(self.clock, ids.NodeId(name))

    def _state(self) -> states.UpstreamState:
        return self.registry.state(ENGINE)

    def test_warmth_is_trusted_for_a_second(self):
        self.clock.advance(1.0)
        self.assertTrue(self.registry.is_warm(ENGINE))
        self.clock.advance(0.01)
        self.assertFalse(self.registry.is_warm(ENGINE))

    def test_unseen_upstreams_are_not_warm(self):
        self.assertFalse(self.registry.is_warm(ids.UpstreamId('other')))

    def test_another_boot_is_cold_until_it_is_confirmed(self):
        self.registry.note_state(ENGINE, 'b2', 'warm', 100.1)
        self.assertEqual(states.UpstreamState.COLD, self._state())
        self.registry.note_state(ENGINE, 'b2', 'warm', 100.2)
        self.assertEqual(states.UpstreamState.WARM, self._state())

    def test_answers_from_before_a_reset_do_not_bring_warmth_back(self):
        self.clock.advance(0.5)
        self.registry.note_reset(ENGINE)
        self.registry.note_state(ENGINE, 'b1', 'warm', 100.4)
        self.assertEqual(states.UpstreamState.COLD, self._state())

    def test_header_that_waited_out_a_pause_confirms_nothing(self):
        self.registry.tick()
        self.clock.advance(30.0)
        self.registry.note_header(ENGINE, 'b1', 'warm')
        self.registry.tick()
        self.registry.note_header(ENGINE, 'b1', 'warm')
        self.assertFalse(self.registry.is_warm(ENGINE))

    def test_leaving_spreads_and_outlasts_the_upstream_s_own_word(self):
        lister = self._make('b')
        lister.note_state(ENGINE, 'b1', 'warm', 100.0)
        lister.note_listed(ENGINE, leaving=True)
        for _ in range(30):
            self.clock.advance(1.0)
            lister.note_listed(ENGINE, leaving=True)
            now = self.clock.now()
            self.registry.merge(lister.records(), now)
            self.registry.note_state(ENGINE, 'b1', 'warm', now)
            self.assertEqual(states.UpstreamState.LEAVING, self._state())
        lister.note_listed(ENGINE, leaving=False)
        self.clock.advance(health.GOSSIP_MAX_AGE_S + 0.1)
        self.registry.note_state(ENGINE, 'b1', 'warm', self.clock.now())
        self.assertEqual(states.UpstreamState.WARM, self._state())


class WaitTest(testtools.TestCase):
    """Guards against refusals of jobs that only had to wait a little."""

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
                calls = [
                    pool.submit(cluster.chat, 'entry-0', 'tag')
                    for _ in range(5)
                ]
                time.sleep(0.1)
                began = time.monotonic()
                hasty = cluster.chat(
                    'entry-0', 'tag', {'X-Radish-Deadline-Ms': '1000'}
                )
                took = time.monotonic() - began
                replies = [call.result() for call in calls]
            self.assertEqual(
                [(200, '')] * 5, [(item.status, item.code) for item in replies]
            )
            self.assertEqual((503, 'overloaded'), (hasty.status, hasty.code))
            self.assertEqual('not_run', hasty.headers['x-radish-outcome'])
            self.assertLess(took, 1.0)
            served = cluster.served('small-1')
            self.assertEqual(6, len(served))
            self.assertEqual(1, max(item['in_progress'] for item in served))
