"""Stand-in for a service: an order desk that counts how often orders run."""

import collections
import enum
import itertools

import anyio
import fire
import msgspec

from radishcourse_standins import asgi

# Longer than any deadline in the tests.
HANG_S = 60.0


class Fault(enum.Enum):
    """Fault of a response after the order has run.

    HANG answers after 60 s, CLOSE closes the connection, ERROR answers 500,
    TRUNCATE sends half of the announced body.
    """

    NONE = 'none'
    HANG = 'hang'
    CLOSE = 'close'
    ERROR = 'error'
    TRUNCATE = 'truncate'


class Settings(msgspec.Struct):
    """Behaviour that `POST /control/settings` sets.

    Attributes:
      delay_ms: Time that an order takes.
      fault: Fault of the affected orders.
      every: Every n-th order is affected; 1 for all.
    """

    delay_ms: float = 2.0
    fault: Fault = Fault.NONE
    every: int = 1


class Desk:
    """The HTTP interface of the stand-in."""

    def __init__(self):
        self._settings = Settings()
        self._runs: collections.Counter[str] = collections.Counter()
        self._requests: collections.Counter[str] = collections.Counter()
        self._calls = itertools.count(1)
        self.app = asgi.App()
        for method, path, handler in (
            ('POST', '/orders', self._order),
            ('GET', '/stock/*', self._stock),
            ('GET', '/v1/state', self._state),
            ('GET', '/control/orders', self._get_runs),
            ('GET', '/control/requests', self._get_requests),
            ('POST', '/control/settings', self._configure),
        ):
            self.app.route(method, path)(handler)

    async def _order(self, request: asgi.Request) -> asgi.Response:
        name = request.json(dict).get('order', '')
        self._runs[name] += 1
        self._requests[request.headers.get('x-request-id', '')] += 1
        await anyio.sleep(self._settings.delay_ms / 1000)
        response = asgi.reply({'order': name, 'run': self._runs[name]}, 201)
        if next(self._calls) % self._settings.every:
            return response
        return await self._apply_fault(response)

    async def _apply_fault(self, response: asgi.Response) -> asgi.Response:
        match self._settings.fault:
            case Fault.HANG:
                await anyio.sleep(HANG_S)
            case Fault.CLOSE:
                raise asgi.DropConnection
            case Fault.ERROR:
                return asgi.reply({'error': 'the desk failed'}, 500)
            case Fault.TRUNCATE:
                size = str(len(response.body))
                headers = {**response.headers, 'content-length': size}
                half = response.body[: len(response.body) // 2]
                return response._replace(
                    stream=_single_part(half), headers=headers
                )
        return response

    async def _stock(self, request: asgi.Request) -> asgi.Response:
        item = request.path.rpartition('/')[2]
        return asgi.reply({'item': item, 'pallets': 7})

    async def _state(self, request: asgi.Request) -> asgi.Response:
        del request
        return asgi.reply({'boot': 'desk', 'state': 'warm', 'slots': 64})

    async def _get_runs(self, request: asgi.Request) -> asgi.Response:
        del request
        return asgi.reply(self._runs)

    async def _get_requests(self, request: asgi.Request) -> asgi.Response:
        """Returns numbers of runs by the `x-request-id` header."""
        del request
        return asgi.reply(self._requests)

    async def _configure(self, request: asgi.Request) -> asgi.Response:
        self._settings = request.json(Settings)
        return asgi.reply(self._settings)


async def _single_part(part: bytes):
    yield part


def serve(host: str = '127.0.0.1', port: int = 9300) -> None:
    """Serves the stand-in."""
    anyio.run(asgi.serve, Desk().app, host, port)


if __name__ == '__main__':
    fire.Fire(serve)
