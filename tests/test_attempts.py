"""Attempts of model jobs: their cost and the retry budget."""

import concurrent.futures
import signal
import time

import testtools

from tests import cluster as clusters

JOBS = 60
# Retries that a pool has at the start.
RETRY_RESERVE = 3
# Longer than the timeout of a probe (0.5 s).
PAUSE_S = 0.8


class RetryTest(testtools.TestCase):
    """Guards against a retry budget that allows too many or no retries."""

    def test_retries_are_a_tenth_of_the_requests_of_the_pool(self):
        with clusters.running(1, ('small-1', 'small-2'), ()) as cluster:
            engine = cluster.upstreams['small-1']
            cluster.control(engine, 'settings', {'fail': 1.0})
            replies = [cluster.chat('entry-0', 'tag') for _ in range(JOBS)]
            failed = len(cluster.served('small-1'))
            retries = failed + len(cluster.served('small-2')) - JOBS
            answered = sum(reply.status == 200 for reply in replies)
            self.assertEqual(JOBS - failed + retries, answered)
            self.assertGreater(retries, RETRY_RESERVE)
            self.assertLessEqual(retries, RETRY_RESERVE + JOBS // 10)


class PauseTest(testtools.TestCase):
    """Guards against refusals because an engine paused briefly."""

    def test_pause_longer_than_a_probe_refuses_nobody(self):
        with clusters.running(1, ('small-1',), ()) as cluster:
            engine = cluster.upstreams['small-1']
            cluster.chat('entry-0', 'tag')
            with concurrent.futures.ThreadPoolExecutor(16) as pool:
                engine.signal(signal.SIGSTOP)
                calls = []
                for _ in range(8):
                    calls.append(pool.submit(cluster.chat, 'entry-0', 'tag'))
                    time.sleep(PAUSE_S / 8)
                engine.signal(signal.SIGCONT)
                replies = [call.result() for call in calls]
            self.assertEqual([200] * 8, [reply.status for reply in replies])


class PriceTest(testtools.TestCase):
    """Guards against losing an answer whose version has been removed.

    The price of the version is then no longer in the configuration.
    """

    def test_version_removed_during_a_job_is_charged_at_its_old_price(self):
        with clusters.running(1, ('small-1',), ()) as cluster:
            engine = cluster.upstreams['small-1']
            cluster.control(engine, 'settings', {'first_token_ms': 2000})
            document = clusters.make_document(cluster)
            small = document['models']['small']['versions']
            small['v3'] = small.pop('v1')
            document['upstreams']['small-1']['serves'] = {'small': ['v3']}
            with concurrent.futures.ThreadPoolExecutor(1) as pool:
                call = pool.submit(cluster.chat, 'entry-0', 'tag')
                clusters.wait_until(lambda: cluster.served('small-1'))
                cluster.apply(document)
                cluster.wait_revision(2)
                reply = call.result()
            self.assertEqual(200, reply.status, reply.body)
            self.assertEqual('100', reply.headers['x-radish-cost'])
