"""What callers within and beyond the limits of a small VM get."""

import concurrent.futures
import contextlib
import http.client
import re
import socket
import time

import testtools

from tests import crowd as crowds
from tests import memory
from tests import site as sites
from tests import sitefiles

MAX_BODY_BYTES = 4 * 2**20
READ_S = 60.0
_HEAD = (
    f'Host: {sitefiles.HOST}\r\nApi-Key: {sitefiles.KEY}\r\n'
    'X-Time-Budget-Ms: 5000\r\n'
)


class _Caller:
    """A connection that sends raw requests and reads whole responses."""

    def __init__(self, process):
        self.socket = socket.create_connection(
            (process.host, process.port), READ_S
        )
        self._file = self.socket.makefile('rb')

    def __enter__(self):
        return self

    def __exit__(self, *exc_info):
        self.socket.close()

    def send(self, *pieces: bytes) -> None:
        """Sends pieces one after the other."""
        for piece in pieces:
            self.socket.sendall(piece)

    def read(self) -> tuple[int, bytes]:
        """Returns the status and the body of the next response."""
        status = int(self._file.readline().split()[1])
        length = 0
        while (line := self._file.readline()) not in (b'\r\n', b''):
            name, _, value = line.partition(b':')
            if name.lower() == b'content-length':
                length = int(value)
        return status, self._file.read(length)

    def read_end(self) -> bytes:
        """Returns what follows up to the end of the connection."""
        with contextlib.suppress(ConnectionResetError):
            return self._file.read(1)
        return b'reset'


def _head(line: str, *headers: str) -> bytes:
    lines = ''.join(f'{header}\r\n' for header in headers)
    return f'{line} HTTP/1.1\r\n{_HEAD}{lines}'.encode()


class CallerTest(testtools.TestCase):
    """Base of tests that share a gateway on a VM of 128 MB."""

    @classmethod
    def setUpClass(cls):
        super().setUpClass()
        limits = {**sitefiles.manifest()['limits']}
        limits['maxBodyBytes'] = MAX_BODY_BYTES
        cls._running = sites.running(
            gateways=1, memory_mb=128, max_fds=1638, limits=limits
        )
        cls.site = cls._running.__enter__()
        cls.process = cls.site.gateways['gateway-1']

    @classmethod
    def tearDownClass(cls):
        cls._running.__exit__(None, None, None)
        super().tearDownClass()

    def caller(self) -> _Caller:
        """Returns a new connection."""
        caller = _Caller(self.process)
        self.addCleanup(caller.socket.close)
        return caller


class WithinLimitsTest(CallerTest):
    """Guards against limits that ordinary callers meet."""

    def test_long_prompts_in_a_burst_are_served(self):
        prompt = b'p' * 72 * 1024

        def ask(number: int) -> int:
            headers = {'X_Request_Id': f'burst-{number}'}
            return self.site.send(
                'gateway-1', 'POST', '/draft/1', prompt, **headers
            ).status

        with concurrent.futures.ThreadPoolExecutor(84) as pool:
            statuses = list(pool.map(ask, range(84)))
        log = self.site.log('gateway-1')
        self.assertEqual([], [line for line in log if line.get('event') == 511])
        codes = {line['code'] for line in log if line.get('event') == 501}
        # The engines' slots are the only limit here.
        self.assertNotIn('no_memory', codes)
        self.assertNotIn(413, statuses)
        self.assertNotIn(408, statuses)

    def test_largest_body_is_served(self):
        for chunk_bytes in (2**16, 2**20):
            caller = self.caller()
            caller.send(
                *crowds.chunked(
                    _head('POST /order/1'), MAX_BODY_BYTES, chunk_bytes, True
                )
            )
            self.assertEqual(200, caller.read()[0], chunk_bytes)

    def test_body_in_tiny_chunks_is_served(self):
        caller = self.caller()
        caller.send(*crowds.chunked(_head('POST /order/1'), 100_000, 1, True))
        self.assertEqual(200, caller.read()[0])

    def test_body_that_arrives_steadily_may_exceed_the_time_limit(self):
        caller = self.caller()
        caller.send(_head('POST /order/1', f'Content-Length: {10 * 2**17}'))
        caller.send(b'\r\n')
        for _ in range(10):
            # 3.5 s in all; the limit is 3 s.
            caller.send(b'x' * 2**17)
            time.sleep(0.35)
        self.assertEqual(200, caller.read()[0])

    def test_requests_sent_ahead_are_answered_in_order(self):
        caller = self.caller()
        paths = ['/stock/1', '/order/1', '/unknown/1'] * 20
        caller.send(
            b''.join(
                _head(
                    f'POST {path}',
                    f'X-Request-Id: ahead-{number}',
                    'Content-Length: 2',
                )
                + b'\r\nxy'
                for number, path in enumerate(paths)
            )
        )
        statuses = [caller.read()[0] for _ in paths]
        self.assertEqual([200, 200, 404] * 20, statuses)

    def test_connection_is_kept_after_a_refusal_with_a_short_body(self):
        caller = self.caller()
        for path, status in (('/unknown/1', 404), ('/order/1', 200)):
            caller.send(_head(f'POST {path}', 'Content-Length: 3') + b'\r\n')
            caller.send(b'abc')
            self.assertEqual(status, caller.read()[0])

    def test_body_is_asked_for_when_the_caller_waits_for_it(self):
        caller = self.caller()
        caller.send(
            _head('POST /order/1', 'Content-Length: 3', 'Expect: 100-continue')
            + b'\r\n'
        )
        self.assertIn(b' 100 ', caller.socket.recv(100))
        caller.send(b'abc')
        self.assertEqual(200, caller.read()[0])


class BeyondLimitsTest(CallerTest):
    """Guards against refusals that callers don't get or that are untrue."""

    def test_refusal_reaches_a_caller_that_sends_all_before_it_reads(self):
        oversize = 4 * MAX_BODY_BYTES
        for name, pieces in (
            ('announced', crowds.announced(_head('POST /order/1'), oversize)),
            (
                'chunked',
                crowds.chunked(_head('POST /order/1'), oversize, 2**16, True),
            ),
        ):
            caller = self.caller()
            caller.send(*pieces)
            self.assertEqual(413, caller.read()[0], name)
            self.assertEqual(b'', caller.read_end(), name)

    def test_refusal_reaches_a_caller_that_waits_to_be_asked(self):
        caller = self.caller()
        caller.send(
            _head(
                'POST /order/1',
                f'Content-Length: {MAX_BODY_BYTES + 1}',
                'Expect: 100-continue',
            )
            + b'\r\n'
        )
        self.assertEqual(413, caller.read()[0])
        self.assertEqual(b'', caller.read_end())

    def test_refused_connections_leave_no_memory_behind(self):
        def refuse(count: int) -> None:
            for _ in range(count):
                with _Caller(self.process) as caller:
                    caller.send(
                        _head('POST /unknown/1', 'Transfer-Encoding: chunked')
                        + b'\r\n1\r\nx\r\n'
                    )
                    self.assertEqual(404, caller.read()[0])

        refuse(100)
        pid = self.process.popen.pid
        before_kb = memory.resident_kb(pid)
        refuse(1500)
        # A connection kept for its timer takes about 20 KiB.
        self.assertLess(memory.resident_kb(pid) - before_kb, 6 * 1024)

    def test_unknown_key_is_refused_before_the_body(self):
        caller = self.caller()
        head = f'POST /order/1 HTTP/1.1\r\nHost: {sitefiles.HOST}\r\n'
        caller.send(head.encode() + b'Content-Length: 1000000\r\n\r\nx')
        self.assertEqual(401, caller.read()[0])

    def test_too_many_headers_are_refused(self):
        caller = self.caller()
        caller.send(_head('GET /stock/1', *['a: b'] * 5000) + b'\r\n')
        self.assertEqual(431, caller.read()[0])

    def test_refused_bodies_have_not_run(self):
        def ask(number: int) -> tuple[str, int]:
            request_id = f'large-{number}'
            head = _head('POST /order/1', f'X-Request-Id: {request_id}')
            with _Caller(self.process) as caller:
                for piece in crowds.chunked(head, MAX_BODY_BYTES, 2**16, True):
                    caller.send(piece)
                return request_id, caller.read()[0]

        with concurrent.futures.ThreadPoolExecutor(40) as pool:
            statuses = dict(pool.map(ask, range(40)))
        ran = {run['request'] for run in self.site.runs()}
        refused = {
            key for key, status in statuses.items() if status in (408, 413, 503)
        }
        self.assertIn(503, statuses.values())
        self.assertEqual(set(), refused & ran)
        self.assertEqual(set(statuses), refused | ran)
        log = self.site.log('gateway-1')
        (first, *_) = [line for line in log if line.get('event') == 511]
        self.assertEqual('body', first['kind'])
        self.assertGreater(self._gauge('clients_limited_body'), 0)
        # All bytes leave the account with their requests; what is left are the
        # headers of this one.
        sites.wait_until(lambda: self._gauge('client_bytes') < 4096, READ_S)

    def _gauge(self, name: str) -> int:
        connection = http.client.HTTPConnection(self.process.host, 9464)
        with contextlib.closing(connection):
            connection.request('GET', '/metrics')
            page = connection.getresponse().read().decode()
        return int(re.search(rf'^radishcourse_{name} (\d+)', page, re.M)[1])
