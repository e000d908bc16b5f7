"""Calls of the platform and of other services, without processes."""

import anyio
import testtools

from radishcourse_platform import errors
from radishcourse_platform import http
from tests import rawworker

CHUNK = rawworker.chunk(b'x' * 256 * 1024)


class BodyLimitTest(testtools.TestCase):
    """Guards against memory taken by a response body without end."""

    def _call(self, reply) -> http.Response:
        worker = rawworker.RawWorker('store', rawworker.Script(reply))
        self.addCleanup(worker.stop)

        async def call() -> http.Response:
            url = f'http://{worker.address}'
            async with http.open_client(url, timeout_s=5.0) as client:
                return await client.call('GET', '/v1/rows-get')

        return anyio.run(call)

    def test_endless_body_is_given_up_at_the_limit(self):
        def reply(request: rawworker.Request) -> rawworker.Reply:
            data = rawworker.head(request, 200, chunked=True)
            return rawworker.Reply(data, endless=CHUNK)

        error = self.assertRaises(errors.ResponseLost, self._call, reply)
        self.assertIn('BodyTooLarge', str(error))

    def test_body_up_to_the_limit_is_returned(self):
        body = b'x' * http.MAX_BODY_BYTES

        def reply(request: rawworker.Request) -> rawworker.Reply:
            data = rawworker.message(request, 200, body, 'length')
            return rawworker.Reply(data)

        self.assertEqual(len(body), len(self._call(reply).body))
