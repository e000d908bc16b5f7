"""A site whose workers send scripted answers, and such answers."""

import contextlib
import http.client
import itertools

from tests import rawworker
from tests import site as sites
from tests import sitefiles
from tests import test_gateway_path

STREAM = {'Content_Type': 'text/event-stream'}
LAST_EVENT = 5
ALL_EVENTS = rawworker.events(1, LAST_EVENT)
LONG_BODY = b'x' * (300 * 1024)
# What may listen at the address of a process that has ended or was cut off.
AFTER_A_CRASH = (
    rawworker.Listener.NONE,
    rawworker.Listener.SILENT,
    rawworker.Listener.MUTE,
    rawworker.Listener.OTHER,
)
NOT_RUN_STATUSES = (408, 421, 429, 503)
FRAMINGS = ('length', 'chunked', 'close')
REQUESTS = (('POST', '/raw-order/1'), ('GET', '/raw-stock/1'))


class RawSiteTest(test_gateway_path.SiteTest):
    """Base of tests with workers whose answers are scripted.

    Attributes:
      started: The workers that were started last, by name.
      addresses: Their addresses.
    """

    # Each case has retries left.
    retry_slack = 100_000
    max_body_bytes = 64 * 1024
    _numbers = itertools.count(1)

    @classmethod
    def setUpClass(cls):
        super().setUpClass()
        cls._listed = len(cls.site.workers)
        routes = sitefiles.manifest()['routes']
        stream = {'gapTargetMs': 500, 'affinity': True}
        routes += [
            sitefiles.route('r1', '/raw-order/', 'non_idempotent', 'raw'),
            sitefiles.route('r2', '/raw-stock/', 'idempotent', 'raw'),
            sitefiles.route('r3', '/raw-once/', 'stream', 'raw', **stream),
            sitefiles.route(
                'r4',
                '/raw-draft/',
                'stream',
                'raw',
                streamResume=True,
                **stream,
            ),
        ]
        services = sitefiles.manifest()['services']
        services.append({'name': 'raw', 'healthPath': '/health'})
        limits = sitefiles.manifest()['limits']
        limits['maxBodyBytes'] = cls.max_body_bytes
        cls.site.configure(
            version=5, routes=routes, services=services, limits=limits
        )
        sites.wait_until(
            lambda: (
                cls.site.send('gateway-1', 'GET', '/raw-stock/1').status == 503
            )
        )

    @contextlib.contextmanager
    def workers(self, *replies, count: int = 3):
        """Yields the script of workers that send replies in turn."""
        script = rawworker.Script(*replies)
        names = [f'raw-{next(self._numbers)}' for _ in range(count)]
        started = {name: rawworker.RawWorker(name, script) for name in names}
        self.started = started
        self.addresses = {
            name: worker.address for name, worker in started.items()
        }
        for name, address in self.addresses.items():
            self.site.write_entry(name, 'raw', address=address)
        # A gateway counts removed upstreams as well, and learns of changes in
        # their order.
        type(self)._listed += count
        self.site.wait_listed(self._listed)
        try:
            yield script
        finally:
            for name, worker in started.items():
                self.site.put('servers', name, None)
                worker.stop()

    def call(
        self, method: str, path: str, body: bytes = b'goods'
    ) -> sites.Response | None:
        """Sends a request; None if the connection ends without an answer.

        Args:
          method: HTTP method.
          path: Path and query.
          body: Body of a POST; other requests have none.
        """
        try:
            return self.send(method, path, body if method == 'POST' else None)
        except (http.client.HTTPException, OSError):
            return None

    def assert_stream_served(self, case) -> None:
        """Checks that a caller gets each event once and a whole answer."""
        response = self.call('POST', '/raw-draft/1')
        self.assertIsNotNone(response, case)
        self.assertEqual(ALL_EVENTS, response.body, case)
        self.assertEqual((200, True), (response.status, response.whole), case)

    def assert_not_served(self, response, case) -> None:
        """Checks that an answer claims neither success nor 'not run'."""
        if response is None or not response.whole:
            return
        self.assertGreaterEqual(response.status, 500, case)
        self.assertNotIn(response.status, NOT_RUN_STATUSES, case)


def sound_stream(request: rawworker.Request) -> rawworker.Reply:
    """Returns the rest of a stream in chunks."""
    body = rawworker.events(request.last_event + 1, LAST_EVENT)
    return rawworker.Reply(
        rawworker.message(request, 200, body, 'chunked', **STREAM)
    )


def sound_body(request: rawworker.Request) -> rawworker.Reply:
    """Returns a whole answer with a length."""
    return rawworker.Reply(rawworker.message(request, 200, b'whole', 'length'))


def unframed(body: bytes, listener, status: int = 200, **extra):
    """Returns a reply without length that ends with its connection."""

    def reply(request: rawworker.Request) -> rawworker.Reply:
        data = rawworker.message(request, status, body, 'close', **extra)
        return rawworker.Reply(data, rawworker.End.CLOSE, listener)

    return reply


def cut_stream(request: rawworker.Request) -> rawworker.Reply:
    """Returns two events of a chunked stream that breaks off."""
    data = rawworker.head(request, 200, chunked=True, **STREAM)
    data += rawworker.chunk(rawworker.events(1, 2))
    return rawworker.Reply(data, rawworker.End.CLOSE)
