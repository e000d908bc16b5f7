"""Streamed answers with faulty engines and broken connections."""

import itertools
import json
import time

import hypothesis
from hypothesis import strategies
import testtools

from radishcourse_node import errors
from radishcourse_node import sse
from tests import cluster as clusters
from tests import streaming

TOKENS = 24
_LINE_ENDINGS = strategies.sampled_from(['\n', '\r\n', '\r'])


def _event(index: int, last: int, request_id: str = 'r') -> dict:
    reason = 'stop' if index == last else None
    return {
        'request_id': request_id,
        'index': index,
        'choices': [{'delta': {}, 'finish_reason': reason}],
        'usage': {'completion_tokens': last},
    }


@strategies.composite
def _faulty_streams(draw):
    """Draws chunks of a stream with duplicate, late and foreign events."""
    last = draw(strategies.integers(0, 20))
    order = list(range(last + 1))
    for index in draw(strategies.lists(strategies.integers(0, last))):
        order.insert(draw(strategies.integers(0, len(order))), index)
    text = ''
    for index in order:
        end = draw(_LINE_ENDINGS)
        if draw(strategies.booleans()):
            text += f': comment{end}{end}'
        if draw(strategies.booleans()):
            other = json.dumps(_event(index, last, 'other'))
            text += f'data: {other}{end}{end}'
        field = draw(strategies.sampled_from(['data:', 'id: 3\ndata: ']))
        data = json.dumps(_event(index, last))
        text += f'{field.replace(chr(10), end)}{data}{end}{end}'
    encoded = text.encode()
    positions = strategies.integers(0, len(encoded))
    cut_points = sorted(draw(strategies.lists(positions, max_size=12)))
    bounds = [0, *cut_points, len(encoded)]
    pairs = itertools.pairwise(bounds)
    return last, [encoded[start:end] for start, end in pairs]


def _break_connections(cluster, links: list[str]) -> None:
    """Breaks the open connections of links; new ones work at once."""
    cluster.fault('refuse', links)
    cluster.fault('pass', links)


class StreamReaderTest(testtools.TestCase):
    """Guards against events lost, duplicated or of another request."""

    @hypothesis.given(_faulty_streams())
    def test_events_are_passed_on_once_and_in_order(self, stream):
        last, chunks = stream
        reader = sse.StreamReader('r')
        body = b''.join(reader.feed(chunk) for chunk in chunks)
        answer = streaming.Answer('', body)
        self.assertEqual(
            list(range(last + 1)), [event['index'] for event in answer.events]
        )
        self.assertTrue(reader.finished)

    @hypothesis.given(strategies.lists(strategies.binary()))
    def test_arbitrary_bytes_raise_only_attempt_errors(self, chunks):
        reader = sse.StreamReader('r')
        try:
            for chunk in (b'data: ', *chunks):
                self.assertEqual(b'', reader.feed(chunk))
            reader.finish()
        except errors.AttemptError:
            return
        self.fail('a stream without events was accepted as complete')

    def test_a_gap_fails_before_much_is_buffered(self):
        reader = sse.StreamReader('r')
        data = json.dumps(_event(5, 9)) + ' ' * 2000
        events = [
            f'data: {data.replace(": 5", f": {index}")}\n\n'.encode()
            for index in range(1, 60)
        ]
        with testtools.ExpectedException(errors.AttemptError):
            for event in events:
                reader.feed(event)

    def test_deeply_nested_json_raises_an_attempt_error(self):
        reader = sse.StreamReader('r')
        malformed_event = b'data: {"x":' + b'[' * 30_000 + b'\n\n'
        with testtools.ExpectedException(errors.AttemptError):
            reader.feed(malformed_event)


class DisorderTest(testtools.TestCase):
    """Guards against engine faults that reach the caller (guarantee G7)."""

    def test_answers_are_complete_over_a_faulty_engine(self):
        with clusters.running(engines=('small-1',), node_count=1) as cluster:
            node, engine = (
                cluster.nodes['entry-0'],
                cluster.upstreams['small-1'],
            )
            for settings in (
                {'disorder': 'duplicate'},
                {'disorder': 'reorder'},
                {'disorder': 'foreign'},
                {'disorder': 'crlf'},
                {'cut_at': TOKENS // 2},
                {'token_ms': 40},
            ):
                cluster.control(engine, 'settings', settings)
                answer = streaming.stream(node, max_tokens=TOKENS, kind='tag')
                self.assertEqual('', answer.find_fault(TOKENS), settings)

    def test_an_engine_that_fails_gives_a_refusal_and_no_stream(self):
        with clusters.running(engines=('small-1',), node_count=1) as cluster:
            engine = cluster.upstreams['small-1']
            for settings in ({'fail': 1.0}, {'truncate': 1.0}):
                cluster.control(engine, 'settings', settings)
                reply = cluster.chat('entry-0', 'tag')
                result = (reply.status, reply.code)
                self.assertEqual((500, 'upstream_failed'), result)
            cluster.control(engine, 'settings', {'fail': 1.0})
            reply = cluster.chat('entry-0', 'tag', stream=True)
            self.assertEqual('upstream_failed', reply.code)
            self.assertEqual([], cluster.bills())


class ResumeTest(testtools.TestCase):
    """Guards against truncated or spliced answers on broken connections."""

    def test_broken_connections_resume_the_same_stream(self):
        names = ('small-1', 'small-2')
        links = [f'all>{name}' for name in names]
        with clusters.running(engines=names) as cluster:
            for name in names:
                engine = cluster.upstreams[name]
                cluster.control(engine, 'settings', {'token_ms': 20})

            def work(index):
                if index < 12:
                    node = cluster.nodes[f'entry-{index % 2}']
                    return streaming.stream(node, max_tokens=120, kind='tag')
                for _ in range(3):
                    time.sleep(0.6)
                    _break_connections(cluster, links)
                return None

            answers = streaming.run_concurrently(13, work)[:12]
            self.assertEqual(
                [''] * 12, [item.find_fault(120) for item in answers]
            )
            logs = [node.log.read_text() for node in cluster.nodes.values()]
            self.assertIn('stream_resumed', ''.join(logs))
            runs = sum(len(cluster.served(name)) for name in names)
            self.assertEqual(12, runs)

    def test_a_restarted_engine_interrupts_the_answer(self):
        with clusters.running(engines=('small-1',), node_count=1) as cluster:
            engine = cluster.upstreams['small-1']
            cluster.control(engine, 'settings', {'token_ms': 20})
            with streaming.Caller(cluster.nodes['entry-0']) as caller:
                caller.ask(stream=True, max_tokens=200, kind='tag')
                caller.read_until(b'"index":10')
                # A restarted engine counts as another attempt, even if it
                # still knows the request.
                restart = {'state': 'cold', 'keep_streams': True}
                cluster.control(engine, 'state', restart)
                _break_connections(cluster, ['all>small-1'])
                answer = caller.read_stream()
            self.assertTrue(answer.interrupted, answer.body[-300:])
            self.assertEqual([], cluster.bills())

    def test_a_withdrawn_version_is_not_resumed(self):
        with clusters.running(engines=('small-1',), node_count=1) as cluster:
            engine = cluster.upstreams['small-1']
            cluster.control(engine, 'settings', {'token_ms': 20})
            document = clusters.make_document(cluster)
            versions = document['models']['small']['versions']
            versions['v1'] = {'state': 'withdrawn', 'share': 0}
            versions['v2'] = {'share': 100}
            with streaming.Caller(cluster.nodes['entry-0']) as caller:
                caller.ask(stream=True, max_tokens=400, kind='tag')
                caller.read_until(b'"index":3')
                cluster.apply(document)
                cluster.wait_revision(2)
                _break_connections(cluster, ['all>small-1'])
                answer = caller.read_stream()
            self.assertTrue(answer.interrupted, answer.body[-300:])
            self.assertIn(b'not allowed any more', answer.body)
            self.assertEqual(1, len(cluster.served('small-1')))


class DeadlineTest(testtools.TestCase):
    """Guards against streams that outlive their deadline."""

    def test_a_stalled_stream_ends_at_the_deadline(self):
        with clusters.running(engines=('small-1',), node_count=1) as cluster:
            engine, node = (
                cluster.upstreams['small-1'],
                cluster.nodes['entry-0'],
            )
            cluster.control(engine, 'settings', {'token_ms': 60_000})
            headers = {'X-Radish-Deadline-Ms': '1000'}
            start = time.monotonic()
            answer = streaming.stream(node, headers, kind='tag')
            # Far less than the 60 s that a token takes.
            self.assertLess(time.monotonic() - start, 10)
            self.assertTrue(answer.interrupted, answer.body[-300:])
            self.assertIn(b'the deadline passed', answer.body)
            states = cluster.status('entry-0')['upstreams']
            self.assertEqual(
                ['warm'],
                [
                    item['state']
                    for item in states
                    if item['upstream'] == 'small-1'
                ],
            )


class CallerDisconnectTest(testtools.TestCase):
    """Guards against engine slots kept for disconnected callers."""

    def test_engine_slots_are_freed_when_callers_disconnect(self):
        with clusters.running(engines=('small-1',), node_count=1) as cluster:
            engine, node = (
                cluster.upstreams['small-1'],
                cluster.nodes['entry-0'],
            )
            cluster.control(engine, 'settings', {'token_ms': 100})

            def state():
                return cluster.get(engine, '/v1/state').json

            callers = [streaming.Caller(node) for _ in range(8)]
            for index, caller in enumerate(callers):
                caller.ask(stream=index % 2 == 0, max_tokens=600, kind='tag')
            clusters.wait_until(lambda: state()['running'] == 8)
            for caller in callers:
                caller.__exit__()
            clusters.wait_until(lambda: state()['running'] == 0, 5)
            clusters.wait_until(
                lambda: cluster.status('entry-0')['in_progress'] == 0
            )
