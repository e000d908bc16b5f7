"""Admission: the fair queue, late jobs and limits split over the nodes."""

import threading

import testtools

from radishcourse_model import ids
from radishcourse_policy import admission
from radishcourse_standins.measure import admission as measured
from tests import cluster as clusters


def make_queued_job(organisation='o', **fields) -> admission.QueuedJob:
    """Returns a queued job; fields replace the defaults."""
    defaults = {
        'share': 1.0,
        'weight': 1.0,
        'service_s': 1.0,
        'deadline': 100.0,
        'arrived_at': 0.0,
    }
    name = ids.OrganisationId(organisation)
    return admission.QueuedJob(name, **{**defaults, **fields})


class QueueTest(testtools.TestCase):
    """Guards against a queue that starves organisations or serves late jobs."""

    def setUp(self):
        super().setUp()
        self.queue = admission.FairQueue()

    def test_a_small_organisation_does_not_wait_behind_a_large_one(self):
        for _ in range(50):
            self.queue.add(make_queued_job('large'))
        self.queue.add(make_queued_job('small'))
        first = [self.queue.take().organisation for _ in range(2)]
        self.assertEqual({'large', 'small'}, set(first))

    def test_service_follows_the_shares(self):
        for _ in range(60):
            self.queue.add(make_queued_job('a', share=2.0))
            self.queue.add(make_queued_job('b'))
        taken = [self.queue.take().organisation for _ in range(30)]
        self.assertEqual(20, taken.count('a'))

    def test_an_idle_organisation_earns_no_credit(self):
        for _ in range(40):
            self.queue.add(make_queued_job('a'))
        for _ in range(20):
            self.queue.take()
        for _ in range(20):
            self.queue.add(make_queued_job('b'))
        taken = [self.queue.take().organisation for _ in range(10)]
        self.assertEqual(5, taken.count('b'))

    def test_jobs_that_would_be_late_or_waited_too_long_are_dropped(self):
        late = make_queued_job(deadline=1.4, arrived_at=0.0)
        old = make_queued_job(deadline=15.0)
        good = make_queued_job(deadline=15.0, arrived_at=2.9)
        for job in (late, old, good):
            self.queue.add(job)
        self.assertEqual([late, old], self.queue.drop_late(3.0))
        self.assertIs(good, self.queue.take())
        self.assertIsNone(self.queue.take())

    def test_the_more_valuable_job_comes_first(self):
        self.queue.add(make_queued_job(weight=1.0))
        heavy = make_queued_job(weight=3.0)
        self.queue.add(heavy)
        self.assertIs(heavy, self.queue.take())


class LimitTest(testtools.TestCase):
    """Guards against limits that the nodes together exceed."""

    def test_node_limits_cover_the_fleet_limit_and_are_at_least_one(self):
        self.assertEqual(32, admission.limit_per_node(256, 8))
        self.assertEqual(1, admission.limit_per_node(2, 8))

    def test_the_rate_is_kept(self):
        bucket = admission.TokenBucket(0.0)
        taken = sum(not bucket.take(step / 100, 10.0) for step in range(1000))
        self.assertLessEqual(abs(taken - 110), 1)


class OverloadTest(testtools.TestCase):
    """Guards against a collapse of useful throughput under overload."""

    def test_useful_throughput_is_kept_and_recovers(self):
        full = measured._useful_throughput(measured.run('chosen', 1, 1.0))
        jobs = measured.run('chosen', 1, 2.0)
        self.assertGreater(measured._useful_throughput(jobs), 0.95 * full)
        self.assertGreater(measured._small_on_time_share(jobs), 0.95)
        self.assertLessEqual(measured._recovery_s(jobs), 10)


class NodeTest(testtools.TestCase):
    """Guards against a node that passes an overload on to the upstreams."""

    def test_overload_is_refused_as_not_run_and_the_rest_is_answered(self):
        with clusters.running(node_count=1, engines=('small-1',)) as cluster:
            document = clusters.make_document(cluster)
            document['upstreams']['small-1']['slots'] = 2
            document['organisations']['roofers']['kinds']['tag'][
                'deadline_ms'
            ] = 3000
            cluster.apply(document)
            cluster.wait_revision(2)
            slow = {'first_token_ms': 400, 'quality': {}}
            cluster.control(cluster.upstreams['small-1'], 'settings', slow)
            replies = []

            def ask() -> None:
                reply = cluster.chat('entry-0', kind='tag', max_tokens=1)
                replies.append(reply)

            threads = [threading.Thread(target=ask) for _ in range(60)]
            for thread in threads:
                thread.start()
            for thread in threads:
                thread.join()
            refused = [item for item in replies if item.status != 200]
            self.assertLess(len(refused), 60)
            self.assertEqual({'overloaded'}, {item.code for item in refused})
            outcomes = {item.headers['x-radish-outcome'] for item in refused}
            self.assertEqual({'not_run'}, outcomes)
            self.assertEqual(200, cluster.chat('entry-0', kind='tag').status)
