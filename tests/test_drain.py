"""Tests that planned stops interrupt no request (G11)."""

import signal
import socket
import threading
import time

import httpcore
import testtools

from tests import cluster as clusters
from tests import streaming

TOKENS = 150
ORDERS = '/v1/services/order-desk/orders'


class _LoadBalancer:
    """Chooses ready nodes only; polls readiness every 0.25 s."""

    def __init__(self, cluster):
        self._cluster = cluster
        self._ready = list(cluster.names)
        self._stopping = threading.Event()
        self._thread = threading.Thread(target=self._watch)

    def __enter__(self):
        self._thread.start()
        return self

    def __exit__(self, *exc_info):
        self._stopping.set()
        self._thread.join()

    def node(self, index: int):
        """Returns a node that was ready at the last poll."""
        ready = self._ready
        return self._cluster.nodes[ready[index % len(ready)]]

    def _watch(self) -> None:
        while not self._stopping.wait(0.25):
            self._ready = [
                name for name in self._cluster.names if self._is_ready(name)
            ] or self._ready

    def _is_ready(self, name: str) -> bool:
        try:
            return (
                self._cluster.get(self._cluster.nodes[name], '/readyz').status
                == 200
            )
        except httpcore.NetworkError:
            return False


class DrainTest(testtools.TestCase):
    """Guards against planned stops that cut off responses."""

    def test_rolling_restarts_under_load_cut_no_answer(self):
        with (
            clusters.running(
                node_count=3, engines=('small-1',), desks=(), drain_delay_s=1.0
            ) as cluster,
            _LoadBalancer(cluster) as balancer,
        ):
            engine = cluster.upstreams['small-1']
            cluster.control(engine, 'settings', {'token_ms': 20})
            ending = threading.Event()
            failures: list[str] = []
            answers = []

            def send_streams(index):
                while not ending.is_set():
                    node = balancer.node(index)
                    answer = streaming.stream(
                        node, max_tokens=TOKENS, kind='tag'
                    )
                    answers.append(answer)
                    if answer.find_fault(TOKENS):
                        failures.append(f'{node.name}: {answer.body[-200:]}')

            def send_requests(index):
                with httpcore.ConnectionPool() as pool:
                    while not ending.is_set():
                        url = balancer.node(index).url
                        try:
                            reply = pool.request(
                                'POST',
                                f'{url}/v1/chat/completions',
                                headers={
                                    'Authorization': f'Bearer {clusters.KEY}',
                                    'X-Radish-Kind': 'tag',
                                },
                                content=b'{"messages":[{"role":"user",'
                                b'"content":"x"}],"max_tokens":2}',
                            )
                        except (
                            httpcore.NetworkError,
                            httpcore.ProtocolError,
                        ) as error:
                            failures.append(repr(error))
                            continue
                        answers.append(reply)
                        if reply.status != 200:
                            failures.append(f'{reply.status}: {reply.content}')
                        time.sleep(0.02 * index)

            def work(index):
                if index < 5:
                    return send_streams(index)
                if index < 9:
                    return send_requests(index)
                try:
                    return self._restart_all(cluster)
                finally:
                    ending.set()

            statuses = streaming.run_concurrently(10, work)[9]
            self.assertEqual([], failures)
            self.assertEqual([0, 0, 0], statuses)
            print(f'{len(answers)} answers over three planned stops')

    def _restart_all(self, cluster) -> list[int]:
        time.sleep(1)
        statuses = []
        for name in cluster.names:
            node = cluster.nodes[name]
            node.signal(signal.SIGTERM)
            # Repeated signals must not interrupt the drain or change the exit
            # code.
            while node.popen.poll() is None:
                node.signal(signal.SIGTERM)
                time.sleep(0.01)
            statuses.append(node.popen.returncode)
            cluster.start_node(name)
            cluster.wait_ready([name])
        return statuses

    def test_draining_node_serves_requests_and_closes_connections(self):
        with clusters.running(
            node_count=1, engines=('small-1',), desks=(), drain_delay_s=1.5
        ) as cluster:
            node = cluster.nodes['entry-0']
            engine = cluster.upstreams['small-1']
            cluster.control(engine, 'settings', {'token_ms': 40})
            with (
                streaming.Caller(node) as long,
                streaming.Caller(node) as idle,
                streaming.Caller(node) as late,
            ):
                long.ask(stream=True, max_tokens=TOKENS, kind='tag')
                long.read_until(b'"index":1')
                for caller in (idle, late):
                    caller.ask(kind='tag', max_tokens=1)
                    caller.read_response()
                node.signal(signal.SIGTERM)
                time.sleep(0.3)
                ready = cluster.get(node, '/readyz')
                self.assertEqual(503, ready.status)
                self.assertIn(b'leaving', ready.body)
                fresh = cluster.chat('entry-0', 'tag', max_tokens=1)
                self.assertEqual(200, fresh.status)
                self.assertEqual('close', fresh.headers['connection'])
                # Two connections are idle; one of them is used again just
                # after the node stopped listening.
                while _accepts(node):
                    time.sleep(0.01)
                late.ask(kind='tag', max_tokens=1)
                answer = late.read_response()
                self.assertIn(b'200 OK', answer)
                node.signal(signal.SIGTERM)
                self.assertEqual('', long.read_stream().find_fault(TOKENS))
                self.assertEqual(0, node.popen.wait(20))
            self.assertEqual(5, len(cluster.bills()))

    def test_the_drain_limit_tells_the_fate_of_the_requests_that_it_ends(self):
        with clusters.running(
            node_count=1,
            engines=('small-1',),
            drain_delay_s=0.1,
            drain_limit_s=1,
        ) as cluster:
            node = cluster.nodes['entry-0']
            engine = cluster.upstreams['small-1']
            cluster.control(engine, 'settings', {'token_ms': 50})
            desk = cluster.upstreams['desk-1']
            cluster.control(desk, 'settings', {'delay_ms': 4000})
            orders = []
            order = threading.Thread(
                target=lambda: orders.append(
                    cluster.post('entry-0', ORDERS, {'order': 'a'})
                )
            )
            order.start()
            with streaming.Caller(node) as caller:
                caller.ask(max_tokens=400, kind='tag')
                time.sleep(0.5)
                node.signal(signal.SIGTERM)
                answer = caller.read_response()
            order.join()
            self.assertIn(b'the node is shutting down', answer)
            self.assertIn(b'x-radish-outcome: failed', answer)
            self.assertEqual(
                (502, 'unknown'),
                (orders[0].status, orders[0].headers['x-radish-outcome']),
            )
            self.assertEqual(0, node.popen.wait(20))

    def test_the_drain_limit_ends_streams_with_an_error(self):
        with clusters.running(
            node_count=1,
            engines=('small-1',),
            desks=(),
            drain_delay_s=0.1,
            drain_limit_s=1,
        ) as cluster:
            node = cluster.nodes['entry-0']
            engine = cluster.upstreams['small-1']
            cluster.control(engine, 'settings', {'token_ms': 50})
            with streaming.Caller(node) as caller:
                caller.ask(stream=True, max_tokens=400, kind='tag')
                caller.read_until(b'"index":1')
                node.signal(signal.SIGTERM)
                answer = caller.read_stream()
            self.assertTrue(answer.interrupted, answer.body[-300:])
            self.assertEqual(0, node.popen.wait(20))
            running = cluster.get(engine, '/v1/state').json['running']
            self.assertEqual(0, running)


def _accepts(node) -> bool:
    with socket.socket() as probe:
        return probe.connect_ex(('127.0.0.1', node.port)) == 0
