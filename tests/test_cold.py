"""The limit on requests at a cold upstream, as counted by the engine."""

import concurrent.futures
import contextlib
import signal
import time

import testtools

from radishcourse_standins import processes
from tests import cluster as clusters
from tests import traffic

NODES = 8
COLD_SETTINGS = {'cold_first_token_ms': 300, 'warm_after': 100_000}
LONG_JOB_SETTINGS = {'cold_first_token_ms': 60_000, 'warm_after': 100_000}


def counts(cluster, name: str = 'small-1') -> clusters.Document:
    """Returns the requests that an engine has served, and their counts."""
    return cluster.get(cluster.upstreams[name], '/control/served').json


def holder(cluster) -> str:
    """Returns the holder in the row of the only shard's lease, else ''."""
    path = '/control/rows?prefix=lease/upstreams/'
    rows = cluster.get(cluster.platform, path).json['rows']
    return rows[0]['value']['holder'] if rows else ''


def running_count(cluster) -> int:
    """Returns how many requests the engine runs."""
    state = cluster.get(cluster.upstreams['small-1'], '/v1/state').json
    return state['running']


def await_successor(cluster, first: str) -> None:
    """Waits until a node other than `first` holds the lease."""
    clusters.wait_until(lambda: holder(cluster) not in ('', first), 40)


def await_grants(cluster) -> None:
    """Waits until the cold engine has received five more requests."""
    before = counts(cluster)['cold_total']
    clusters.wait_until(lambda: counts(cluster)['cold_total'] >= before + 5, 40)


@contextlib.contextmanager
def cold_cluster(nodes: int, settings: dict):
    """Yields a cluster whose nodes all know that its one engine is cold."""
    with clusters.running(nodes, ('small-1',), (), shards=1) as cluster:
        engine = cluster.upstreams['small-1']
        cluster.control(engine, 'settings', settings)
        cluster.control(engine, 'state', {'state': 'cold'})
        clusters.wait_until(lambda: holder(cluster))
        for name in cluster.names:
            clusters.wait_until(
                lambda name=name: (
                    cluster.status(name)['upstreams'][0]['state'] == 'cold'
                )
            )
        yield cluster


class TrialTest(testtools.TestCase):
    """Guards against nodes that try a cold upstream at the same time."""

    def test_eight_nodes_send_one_trial_at_a_time(self):
        with cold_cluster(NODES, COLD_SETTINGS) as cluster:
            with concurrent.futures.ThreadPoolExecutor(NODES) as pool:
                replies = list(
                    pool.map(
                        lambda name: cluster.chat(name, 'tag'), cluster.names
                    )
                )
            self.assertEqual(1, counts(cluster)['max_cold'])
            self.assertEqual([200] * NODES, [item.status for item in replies])


class OwnerTest(testtools.TestCase):
    """Guards against a job that outlives its permit without being counted.

    The owner of the permit is stopped or killed while its job is running; the
    next trial must not run beside that job.
    """

    def _send_long_job(self, cluster, pool, name: str) -> None:
        def send():
            with contextlib.suppress(Exception):
                cluster.chat(name, 'tag', timeout_s=60)

        pool.submit(send)
        clusters.wait_until(lambda: running_count(cluster) == 1)

    def _check_next_trial(self, cluster, name: str) -> None:
        before = counts(cluster)['cold_total']
        engine = cluster.upstreams['small-1']
        cluster.control(engine, 'settings', COLD_SETTINGS)
        self.assertEqual(200, cluster.chat(name, 'tag').status)
        counted = counts(cluster)
        self.assertEqual(before + 1, counted['cold_total'])
        self.assertEqual(1, counted['max_cold'])

    def _signal_owner(self, sent_signal: signal.Signals) -> None:
        with (
            concurrent.futures.ThreadPoolExecutor(1) as pool,
            cold_cluster(2, LONG_JOB_SETTINGS) as cluster,
        ):
            grantor = holder(cluster)
            [owner] = set(cluster.names) - {grantor}
            self._send_long_job(cluster, pool, owner)
            cluster.nodes[owner].signal(sent_signal)
            self._check_next_trial(cluster, grantor)

    def test_job_of_a_frozen_owner_is_cancelled_before_the_next_trial(self):
        self._signal_owner(signal.SIGSTOP)

    def test_job_of_a_killed_owner_leaves_no_room_for_two(self):
        self._signal_owner(signal.SIGKILL)


class RestartTest(testtools.TestCase):
    """Guards against concurrent requests to an upstream that turned cold.

    It does so in a restart, or without one, and does not announce it.
    """

    def _await_requests(self, load, more: int) -> None:
        target = load.count() + more
        clusters.wait_until(lambda: load.count() >= target)

    def test_restarted_engine_is_spared_from_its_first_request(self):
        with (
            clusters.running(4, ('small-1',), (), shards=1) as cluster,
            traffic.running(cluster) as load,
        ):
            self._await_requests(load, 50)
            engine = cluster.upstreams['small-1']
            engine.kill()
            started = cluster.started.stand_in(
                'engine', 'small-1', port=engine.port, cold=True
            )
            processes.wait_http(started, '/v1/state')
            cluster.upstreams['small-1'] = started
            self._await_requests(load, 10)
            self.assertEqual(1, counts(cluster)['max_cold'])

    def test_engine_that_forgets_in_place_is_spared_within_a_second(self):
        with (
            clusters.running(4, ('small-1',), (), shards=1) as cluster,
            traffic.running(cluster) as load,
        ):
            self._await_requests(load, 50)
            engine = cluster.upstreams['small-1']
            cluster.control(engine, 'settings', COLD_SETTINGS)
            cluster.control(engine, 'state', {'state': 'cold'})
            time.sleep(3)
            self._await_requests(load, 3)
            counted = counts(cluster)
            print('max_cold right after the change:', counted['max_cold'])
            self.assertEqual(1, counted['max_late'])
