"""Clients that hold memory, descriptors or the event loop of a process.

Each test starts its own processes, with the limits of a small VM. A client may
be refused or have its connection closed; the process must stay within its VM
and answer an ordinary request beside the clients that are still connected.
"""

import contextlib
import http.client
import json
import time

import httpcore
import testtools

from radishcourse_wire import frames
from tests import cluster as clusters
from tests import crowd as crowds
from tests import site as sites
from tests import sitefiles

# The smallest VM of the deployments. The rest is for its system.
MEMORY_MB = 128
MAX_RESIDENT_KB = MEMORY_MB * 1024 * 9 // 10
# Lowered, so that a small crowd reaches it. The VM keeps 200 for files.
MAX_FDS = 500
MAX_SOCKETS = MAX_FDS - 200
MAX_BODY_BYTES = 4 * 2**20
OVERSIZE_BYTES = 4 * MAX_BODY_BYTES
TINY_CHUNKS = 300_000
CLIENTS = 80
# More than the sockets that the process may have.
CONNECTIONS = 450
# An answer within this time counts; refused requests are sent again.
ANSWER_S = 60.0
RETRY_S = 0.2


class CrowdTest(testtools.TestCase):
    """Base of tests that play a crowd against one process."""

    def play(self, process, address, clients, ask) -> None:
        """Lets a crowd send, then asks for an ordinary answer.

        Args:
          process: The process under test.
          address: Host and port of the listener that the crowd uses.
          clients: What each client sends.
          ask: Sends an ordinary request; returns whether it was answered.
        """
        crowd = crowds.Crowd(address, clients)
        try:
            with crowds.watching(process) as watch:
                crowd.send()
                answered = _wait_answered(ask)
        finally:
            crowd.close()
        figures = (
            f'resident {watch.most_kb // 1024} of {MAX_RESIDENT_KB // 1024} '
            f'MiB, sockets {watch.most_sockets} of {MAX_SOCKETS}, '
            f'descriptors {watch.most_descriptors}, answered: {answered}'
        )
        print(f'{self.id()}: {figures}')
        self.assertIsNone(process.popen.poll(), figures)
        self.assertLessEqual(watch.most_kb, MAX_RESIDENT_KB, figures)
        self.assertLessEqual(watch.most_sockets, MAX_SOCKETS, figures)
        self.assertTrue(answered, figures)


def _wait_answered(ask) -> bool:
    ends_at = time.monotonic() + ANSWER_S
    while time.monotonic() < ends_at:
        with contextlib.suppress(
            OSError, http.client.HTTPException, httpcore.TimeoutException,
            httpcore.NetworkError, httpcore.ProtocolError,
        ):  # fmt: skip
            if ask():
                return True
        time.sleep(RETRY_S)
    return False


def _shapes(heads: list[bytes], scale: int = 1) -> dict[str, list]:
    """Returns the crowds by name.

    Args:
      heads: Starts of requests, used in turn: request line and headers.
      scale: Divides the number of clients.
    """
    count = CLIENTS // scale

    def clients(make) -> list:
        return [make(i, heads[i % len(heads)]) for i in range(count)]

    # Of eight clients, one ends its body.
    return {
        'pipelined': clients(
            lambda i, head: crowds.pipelined(head + b'\r\n', 5000)
        ),
        'large chunks': clients(
            lambda i, head: crowds.chunked(
                head, MAX_BODY_BYTES - 2**16, 2**16, i % 8 == 0
            )
        ),
        'tiny chunks': clients(
            lambda i, head: crowds.chunked(head, TINY_CHUNKS, 1, i % 8 == 0)
        ),
        'oversize, announced': clients(
            lambda i, head: crowds.announced(head, OVERSIZE_BYTES)
        ),
        'oversize, chunked': clients(
            lambda i, head: crowds.chunked(head, OVERSIZE_BYTES, 2**16, True)
        ),
        'connections': [
            [heads[i % len(heads)]] for i in range(CONNECTIONS // scale)
        ],
    }


def _mixed(heads: list[bytes]) -> list:
    return [
        client for clients in _shapes(heads, 4).values() for client in clients
    ]


class GatewayTest(CrowdTest):
    """Guards against callers that use up a gateway's VM or its event loop."""

    # A lookup of anyone, one without its key, and an order without a key.
    HEADS = [
        f'{line} HTTP/1.1\r\nHost: {sitefiles.HOST}\r\n'.encode()
        for line in ('GET /open/1', 'GET /stock/1', 'POST /open/1')
    ]
    PAGE_HEADS = [
        f'GET {path} HTTP/1.1\r\nHost: x\r\n'.encode()
        for path in ('/ready', '/metrics')
    ]

    def setUp(self):
        super().setUp()
        manifest = sitefiles.manifest()
        limits = {**manifest['limits'], 'maxBodyBytes': MAX_BODY_BYTES}
        routes = manifest['routes'] + [
            sitefiles.route(
                'open', '/open/', 'idempotent', 'desk', anonymous=True
            )
        ]
        context = sites.running(
            gateways=1,
            memory_mb=MEMORY_MB,
            max_fds=MAX_FDS,
            limits=limits,
            routes=routes,
        )
        self.site = context.__enter__()
        self.addCleanup(context.__exit__, None, None, None)
        self.process = self.site.gateways['gateway-1']

    def _ask(self) -> bool:
        response = self.site.send('gateway-1', 'POST', '/draft/1', b'p')
        return response.status == 200 and response.whole

    def _ask_pages(self) -> bool:
        for port, path in ((self.process.ready_port, '/ready'), (9464, '/x')):
            connection = http.client.HTTPConnection(
                self.process.host, port, timeout=10
            )
            with contextlib.closing(connection):
                connection.request('GET', path)
                if connection.getresponse().status != 200:
                    return False
        return self._ask()

    def _play_callers(self, clients) -> None:
        address = (self.process.host, self.process.port)
        self.play(self.process, address, clients, self._ask)

    def _play_pages(self, port: int, clients) -> None:
        address = (self.process.host, port)
        self.play(self.process, address, clients, self._ask_pages)

    def test_pipelined_requests_of_callers(self):
        self._play_callers(_shapes(self.HEADS)['pipelined'])

    def test_large_chunks_of_callers(self):
        self._play_callers(_shapes(self.HEADS)['large chunks'])

    def test_tiny_chunks_of_callers(self):
        self._play_callers(_shapes(self.HEADS)['tiny chunks'])

    def test_announced_oversize_bodies_of_callers(self):
        self._play_callers(_shapes(self.HEADS)['oversize, announced'])

    def test_chunked_oversize_bodies_of_callers(self):
        self._play_callers(_shapes(self.HEADS)['oversize, chunked'])

    def test_connections_of_callers(self):
        self._play_callers(_shapes(self.HEADS)['connections'])

    def test_mixed_callers(self):
        self._play_callers(_mixed(self.HEADS))

    def test_mixed_clients_of_the_readiness_listener(self):
        self._play_pages(self.process.ready_port, _mixed(self.PAGE_HEADS))

    def test_mixed_clients_of_the_metrics_listener(self):
        self._play_pages(9464, _mixed(self.PAGE_HEADS))

    def test_tiny_chunks_at_the_readiness_listener(self):
        self._play_pages(
            self.process.ready_port, _shapes(self.PAGE_HEADS)['tiny chunks']
        )

    def test_connections_of_the_readiness_listener(self):
        self._play_pages(
            self.process.ready_port, _shapes(self.PAGE_HEADS)['connections']
        )

    def test_frames_that_do_not_end_at_the_peer_listener(self):
        self.play(
            self.process,
            _peer_address(self.site),
            [crowds.frame(frames.MAX_FRAME_BYTES) for _ in range(CONNECTIONS)],
            self._ask,
        )


def _peer_address(site) -> tuple[str, int]:
    text = (site.folder / 'gateway-1.toml').read_text()
    address = next(
        line.partition('"')[2].rstrip('"')
        for line in text.splitlines()
        if line.startswith('control')
    )
    host, _, port = address.rpartition(':')
    return host, int(port)


class NodeTest(CrowdTest):
    """Guards against callers that use up a node's VM or its event loop."""

    # A chat with its key, one without, and a page for operators.
    HEADS = [
        f'{line} HTTP/1.1\r\nHost: node\r\n{key}'.encode()
        for line, key in (
            (
                'POST /v1/chat/completions',
                f'Authorization: Bearer {clusters.KEY}\r\n',
            ),
            ('POST /v1/chat/completions', ''),
            ('GET /v1/node/status', ''),
        )
    ]

    def setUp(self):
        super().setUp()
        context = clusters.running(
            node_count=1,
            engines=('small-1',),
            memory_mb=MEMORY_MB,
            max_fds=MAX_FDS,
            max_body_bytes=MAX_BODY_BYTES,
            body_limit_s=3.0,
        )
        self.cluster = context.__enter__()
        self.addCleanup(context.__exit__, None, None, None)
        self.process = self.cluster.nodes['entry-0']

    def _ask(self) -> bool:
        reply = self.cluster.chat('entry-0', 'tag', timeout_s=10, max_tokens=2)
        return reply.status == 200

    def _play_callers(self, clients) -> None:
        address = (self.process.host, self.process.port)
        self.play(self.process, address, clients, self._ask)

    def test_pipelined_requests_of_callers(self):
        self._play_callers(_shapes(self.HEADS)['pipelined'])

    def test_large_chunks_of_callers(self):
        self._play_callers(_shapes(self.HEADS)['large chunks'])

    def test_tiny_chunks_of_callers(self):
        self._play_callers(_shapes(self.HEADS)['tiny chunks'])

    def test_mixed_callers(self):
        self._play_callers(_mixed(self.HEADS))

    def test_frames_that_do_not_end_at_the_peer_listener(self):
        settings = json.loads(
            (self.cluster.started.folder / 'entry-0.json').read_text()
        )
        host, _, port = settings['peer_listen'].rpartition(':')
        self.play(
            self.process,
            (host, int(port)),
            [crowds.frame(frames.MAX_FRAME_BYTES) for _ in range(CONNECTIONS)],
            self._ask,
        )
