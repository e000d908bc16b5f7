"""Refusal of hostile and malformed requests, each with its error code."""

import asyncio
import contextlib
import json
import types

import hypothesis
from hypothesis import strategies
import testtools

from radishcourse_model import schema
from radishcourse_node import errors
from radishcourse_node import job as jobs
from radishcourse_node import requests
from radishcourse_node.filters import authentication
from radishcourse_node.filters import parsing
from radishcourse_node.filters import session
from tests import cluster as clusters
from tests import streaming

BODY = json.dumps({'messages': [{'role': 'user', 'content': 'x'}]}).encode()
_START = b'POST /v1/chat/completions HTTP/1.1\r\nHost: node\r\n'
_WITH_API_KEY = _START + f'Authorization: Bearer {clusters.KEY}\r\n'.encode()


def _deep(levels: int) -> bytes:
    return BODY[:-1] + b',"x":' + b'[' * levels + b']' * levels + b'}'


# Name: bytes sent, expected status, expected error code.
RAW = {
    'no http': (b'\x16\x03\x01\x02\x00\r\n\r\n', 400, 'bad_request'),
    'bad version': (b'GET / HTTP/9\r\n\r\n', 400, 'bad_request'),
    'bad header': (_START + b'a b: c\r\n\r\n', 400, 'bad_request'),
    'no host': (b'GET / HTTP/1.1\r\n\r\n', 400, 'bad_request'),
    'two lengths': (
        _START + b'Content-Length: 1\r\nContent-Length: 2\r\n\r\n',
        400,
        'bad_request',
    ),
    'bad length': (
        _START + b'Content-Length: -1\r\n\r\n',
        400,
        'bad_request',
    ),
    'long line': (_START + b'a: ' + b'x' * 70_000, 431, 'headers_too_large'),
    'bad chunk': (
        _WITH_API_KEY + b'Transfer-Encoding: chunked\r\n\r\nzz\r\n',
        400,
        'bad_request',
    ),
    'chunks cut short': (
        _WITH_API_KEY + b'Transfer-Encoding: chunked\r\n\r\n20\r\n{"messages',
        400,
        'bad_request',
    ),
    'body cut short': (
        _WITH_API_KEY + b'Content-Length: 100\r\n\r\n{"mess',
        400,
        'bad_request',
    ),
    'endless body': (
        _WITH_API_KEY
        + b'Content-Length: 99999999999\r\n\r\n'
        + b'x' * 5_000_000,
        413,
        'body_too_large',
    ),
}
BODIES = {
    'empty': b'',
    'no json': b'{',
    'bad utf-8': BODY.replace(b'"x"', b'"\xff\xfe"'),
    'lone surrogate': b'{"messages":[{"role":"user","content":"\\ud800"}]}',
    'no messages': b'{"messages":[]}',
    'wrong type': b'{"messages":"x"}',
    'huge number': BODY[:-1] + b',"max_tokens":1e999}',
    'long number': BODY[:-1] + b',"max_tokens":' + b'9' * 100_000 + b'}',
    'float': BODY[:-1] + b',"max_tokens":1.5}',
    'nan': BODY[:-1] + b',"max_tokens":NaN}',
    'deep': _deep(200_000),
}
HEADERS = {
    'unknown kind': ({'X-Radish-Kind': 'x'}, 400, 'bad_request'),
    'bad kind': ({'X-Radish-Kind': '\xff'}, 400, 'bad_request'),
    'no key': ({'Authorization': ''}, 401, 'unauthenticated'),
    'wrong key': ({'Authorization': 'Bearer x'}, 401, 'unauthenticated'),
    'no ascii': ({'Authorization': 'Bearer \xe9'}, 401, 'unauthenticated'),
    'expired': ({'X-Radish-Deadline-Ms': '0'}, 504, 'deadline_expired'),
    'negative': ({'X-Radish-Deadline-Ms': '-1'}, 400, 'bad_request'),
    'digits': ({'X-Radish-Deadline-Ms': '\xb2'}, 400, 'bad_request'),
    'quality': ({'X-Radish-Quality': 'nan'}, 400, 'bad_request'),
    'long key': ({'Idempotency-Key': 'x' * 300}, 400, 'bad_request'),
    'bad session': ({'X-Radish-Session': 'x'}, 403, 'session_invalid'),
    'many': ({f'a{n}': '1' for n in range(120)}, 431, 'headers_too_large'),
    'large': ({'a': 'x' * 20_000}, 431, 'headers_too_large'),
}


class HostileTest(testtools.TestCase):
    """Guards against requests that crash a node or get no error code."""

    def _check(self, node, name, data, status, code):
        with streaming.Caller(node, timeout_s=15) as caller:
            try:
                caller.send(data)
                caller.send_end() if 'cut short' in name else None
            except (BrokenPipeError, ConnectionResetError):
                pass
            answer = caller.read_response()
        self.assertIn(f' {status} '.encode(), answer[:20], name)
        body = json.loads(answer.partition(b'\r\n\r\n')[2])
        self.assertEqual(
            (code, 'not_run'),
            (body['error']['code'], body['error']['outcome']),
            name,
        )

    def test_each_hostile_request_gets_its_code(self):
        with clusters.running(engines=('small-1',), node_count=1) as cluster:
            document = clusters.make_document(cluster)
            document['organisations']['roofers']['limits'] = {'concurrent': 2}
            document['organisations']['roofers']['allowed'] = {'small': ['*']}
            cluster.apply(document)
            cluster.wait_revision(2)
            node = cluster.nodes['entry-0']
            for name, (data, status, code) in RAW.items():
                self._check(node, name, data, status, code)
            for name, body in BODIES.items():
                data = streaming.make_request(body)
                self._check(node, name, data, 400, 'bad_request')
            for name, (headers, status, code) in HEADERS.items():
                data = streaming.make_request(BODY, headers=headers)
                self._check(node, name, data, status, code)
            for model, status, code in (
                ('nothing', 404, 'unknown_model'),
                ('large', 403, 'model_not_allowed'),
            ):
                body = BODY[:-1] + f',"model":"{model}"}}'.encode()
                data = streaming.make_request(body)
                self._check(node, model, data, status, code)
            reply = cluster.post('entry-0', '/v1/services/none/x', {})
            self.assertEqual('model_not_allowed', reply.code)
            reply = cluster.post('entry-0', '/v1/nowhere', {})
            self.assertEqual((404, 'not_found'), (reply.status, reply.code))
            self._check_limits(cluster)
            reply = cluster.chat('entry-0', 'tag', max_tokens=2)
            self.assertEqual(200, reply.status)
            # The other two are the streams of `_check_limits`.
            self.assertEqual(1, len(cluster.served('small-1')) - 2)
            log = node.log.read_text()
            self.assertNotIn('Traceback', log)
            self.assertNotIn('"request_failed"', log)
            self.assertEqual(0, cluster.status('entry-0')['in_progress'])

    def _check_limits(self, cluster) -> None:
        node, engine = cluster.nodes['entry-0'], cluster.upstreams['small-1']
        cluster.control(engine, 'settings', {'token_ms': 50})
        with streaming.Caller(node) as one, streaming.Caller(node) as two:
            for caller in (one, two):
                caller.ask(stream=True, kind='tag')
                caller.read_until(b'"index":1')
            reply = cluster.chat('entry-0', 'tag')
            self.assertEqual('limit_exceeded', reply.code)
            self.assertEqual(429, reply.status)
            self.assertIn('retry-after', reply.headers)
        clusters.wait_until(
            lambda: cluster.status('entry-0')['in_progress'] == 0
        )

    def test_slow_requests_are_cut_off(self):
        with clusters.running(
            engines=(), desks=(), node_count=1,
            header_limit_s=0.5, body_limit_s=0.5,
        ) as cluster:  # fmt: skip
            node = cluster.nodes['entry-0']
            start = _WITH_API_KEY + b'Content-Length: 9\r\n\r\n{'
            self._check(node, 'slow body', start, 400, 'bad_request')
            complete_request = b'GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n'
            for data in (b'', b'POST / HT', complete_request + b'GET /rea'):
                with streaming.Caller(node, timeout_s=10) as caller:
                    caller.send(data)
                    answer = caller.read_until(b'nothing')
                self.assertEqual(
                    data.startswith(complete_request), answer != b''
                )
            self.assertEqual(200, cluster.get(node, '/readyz').status)


class HeaderTest(testtools.TestCase):
    """Guards against header values that raise anything but `Refusal`."""

    @hypothesis.given(strategies.binary(max_size=80), strategies.data())
    def test_any_header_value_is_read_or_refused(self, value, data):
        name = data.draw(
            strategies.sampled_from([
                b'x-radish-deadline-ms', b'x-radish-quality', b'x-radish-kind',
                b'authorization', b'idempotency-key', b'x-radish-session',
            ])
        )  # fmt: skip
        kind = schema.Kind(cascade='c')
        organisation = schema.Organisation(keys=[], kinds={'tag': kind})
        job = jobs.Job(
            'r', 'POST', parsing.CHAT_PATH, '',
            requests.read_headers([(name, value)]), BODY, 0.0,
            organisation=organisation,
        )  # fmt: skip
        node = types.SimpleNamespace(
            configuration=types.SimpleNamespace(
                config=schema.Config(), keys={}, revision=1
            )
        )

        async def proceed(job):
            return jobs.Answer(200, {}, facts=jobs.Facts())

        for filter_class in (
            parsing.Parsing, session.Session, authentication.Authentication
        ):  # fmt: skip
            with contextlib.suppress(errors.Refusal):
                asyncio.run(filter_class(node).handle(job, proceed))
        self.assertTrue(job.kind is None or 0 <= job.kind.quality_target <= 1)
        self.assertLessEqual(job.deadline, parsing.MAX_DEADLINE_MS / 1000)
