"""Callers that read slowly: bounded memory, free slots, others unaffected."""

import contextlib
import copy
import hashlib
import pathlib
import time
import types

import anyio
import testtools

from radishcourse_model import schema
from radishcourse_node.controllers import readers
from tests import cluster as clusters
from tests import streaming

OTHER_KEY = 'key-of-another-organisation'
SLOW_CALLERS = 200
HELD_BYTES = 2 * 2**20
# Largest part of a stream, by which each caller may exceed a bound.
PART_BYTES = 32 * 1024
# The engine needs longer to generate these than the test waits, so a slot can
# only be free because the stream was cancelled.
MAX_TOKENS = 2000
TOKEN_MS = 200
PARKED_TIMEOUT_S = 0.75 * MAX_TOKENS * TOKEN_MS / 1000


def _document(cluster):
    document = clusters.make_document(cluster)
    organisations = document['organisations']
    roofers = organisations['roofers']
    roofers['limits'] = {
        'held_bytes': HELD_BYTES,
        'concurrent': 4 * SLOW_CALLERS,
    }
    roofers['kinds']['tag']['deadline_ms'] = 300_000
    other = copy.deepcopy(roofers)
    digest = hashlib.sha256(OTHER_KEY.encode()).hexdigest()
    other['keys'] = [f'sha256:{digest}']
    organisations['builders'] = other
    for upstream in document['upstreams'].values():
        upstream['slots'] = 400
    return document


def _resident_bytes(process) -> int:
    path = pathlib.Path(f'/proc/{process.popen.pid}/status')
    for line in path.read_text().splitlines():
        if line.startswith('VmRSS:'):
            return int(line.split()[1]) * 1024
    raise AssertionError('the process has no resident memory')


def _gauge(cluster, name: str) -> float:
    text = cluster.get(cluster.nodes['entry-0'], '/metrics').body.decode()
    for line in text.splitlines():
        if line.startswith(f'{name} '):
            return float(line.split()[1])
    raise AssertionError(f'no gauge {name}')


def _latencies(cluster, count: int = 60) -> list[float]:
    """Returns the other organisation's median latency at both nodes.

    Requests alternate between the nodes, so that other load on the machine
    affects both alike.
    """
    headers = {'Authorization': f'Bearer {OTHER_KEY}'}
    seconds = {name: [] for name in cluster.names}
    for name in cluster.names * count:
        start = time.monotonic()
        reply = cluster.chat(name, 'tag', headers, max_tokens=8)
        seconds[name].append(time.monotonic() - start)
        assert reply.status == 200, reply.body
    return [sorted(seconds[name])[count // 2] for name in cluster.names]


class _Connection:
    """A connection whose caller reads nothing."""

    def __init__(self):
        self.held = 0
        self.paused = False
        self.aborted = False

    def held_bytes(self) -> int:
        return self.held

    def is_paused(self) -> bool:
        return self.paused

    async def wait_flushed(self) -> None:
        await anyio.sleep_forever()

    def abort(self) -> None:
        self.aborted = True


class ReadersTest(testtools.TestCase):
    """Guards against bounds that are exceeded or that stop other callers."""

    def _open(self, stack, organisation='roofers'):
        connection = _Connection()
        reader = self.readers.open(organisation, connection)
        return connection, stack.enter_context(reader)

    def setUp(self):
        super().setUp()
        limits = schema.Limits(held_bytes=100_000)
        organisation = schema.Organisation(keys=[], limits=limits)
        names = ('roofers', 'builders', 'masons')
        config = schema.Config(organisations=dict.fromkeys(names, organisation))
        stub = types.SimpleNamespace(config=config, held_bytes=150_000)
        self.readers = readers.Readers(stub, stub)

    def test_each_bound_stops_only_those_that_hold_bytes(self):
        with contextlib.ExitStack() as stack:
            slow, slow_reader = self._open(stack)
            slow.held = readers.HIGH_WATERMARK_BYTES
            self.assertTrue(slow_reader.has_room())
            # Still paused after an earlier wait. The next write would block
            # before the stream could be parked.
            slow.paused = True
            self.assertFalse(slow_reader.has_room())
            slow.paused = False
            slow.held += 1
            self.assertFalse(slow_reader.has_room())
            second, second_reader = self._open(stack)
            second.held = 40_000
            self.assertFalse(second_reader.has_room())
            _, fast_reader = self._open(stack)
            self.assertTrue(fast_reader.has_room())
            other, other_reader = self._open(stack, 'builders')
            other.held = 10_000
            self.assertTrue(other_reader.has_room())
            other.held = 50_000
            self.assertFalse(other_reader.has_room())
            _, last_reader = self._open(stack, 'masons')
            self.assertTrue(last_reader.has_room())
            self.assertEqual(slow.held + 90_000, self.readers.total)
        self.assertEqual(0, self.readers.total)

    def test_caller_that_never_reads_the_rest_is_disconnected(self):
        self.patch(readers, 'FLUSH_TIMEOUT_S', 0.01)
        with contextlib.ExitStack() as stack:
            connection, reader = self._open(stack)
            connection.held = 10
            anyio.run(reader.finish)
            self.assertTrue(connection.aborted)


class SlowReaderTest(testtools.TestCase):
    """Guards against memory and slots held by callers that do not read."""

    def test_hundreds_of_stopped_callers_hold_little_and_free_their_slots(self):
        with clusters.running(
            engines=(), desks=(), node_count=2, held_bytes=4 * HELD_BYTES
        ) as cluster:
            engine = cluster.add_engine('small-1', slots=400)
            other = cluster.add_engine('large-1', slots=400)
            document = _document(cluster)
            cascades = document['organisations']['builders']['kinds']
            cascades['tag']['cascade'] = 'dear'
            document['cascades']['dear'] = {'steps': ['large']}
            cluster.apply(document)
            cluster.wait_revision(2)
            node = cluster.nodes['entry-0']
            paced = {'token_ms': TOKEN_MS, 'padding': 8000}
            cluster.control(engine, 'settings', paced)
            cluster.control(other, 'settings', {'first_token_ms': 30})

            def running():
                return cluster.get(engine, '/v1/state').json['running']

            _latencies(cluster)
            before = _resident_bytes(node)
            callers = [
                streaming.Caller(node, 4096) for _ in range(SLOW_CALLERS)
            ]
            for caller in callers:
                caller.ask(stream=True, max_tokens=MAX_TOKENS, kind='tag')
            clusters.wait_until(lambda: running() > SLOW_CALLERS // 2)
            clusters.wait_until(
                lambda: (
                    node.log.read_text().count('"stream_parked"')
                    == SLOW_CALLERS
                ),
                PARKED_TIMEOUT_S,
            )
            clusters.wait_until(lambda: running() == 0)
            during_s, idle_s = _latencies(cluster)
            held = _gauge(cluster, 'radishcourse_held_bytes_most')
            grown = _resident_bytes(node) - before
            print(
                f'held {held:.0f} B, resident +{grown} B, other organisation '
                f'{during_s * 1e3:.1f} ms, elsewhere {idle_s * 1e3:.1f} ms'
            )
            self.assertLess(held, HELD_BYTES + SLOW_CALLERS * PART_BYTES)
            self.assertLess(grown, SLOW_CALLERS * 256 * 1024)
            self.assertLess(during_s, idle_s * 1.1)
            quick = {'token_ms': 1}
            cluster.control(engine, 'settings', quick)
            answers = streaming.run_concurrently(
                4, lambda index: callers[index].read_stream()
            )
            self.assertEqual(
                [''] * 4, [item.find_fault(MAX_TOKENS) for item in answers]
            )
            for caller in callers:
                caller.__exit__()
            clusters.wait_until(
                lambda: _gauge(cluster, 'radishcourse_held_bytes') == 0
            )
