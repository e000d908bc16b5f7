"""Stand-in for a plain service: an order desk that counts its runs."""

import collections

import anyio
import fire
import msgspec

from radishcourse_standins import asgi


class Settings(msgspec.Struct):
    """Behaviour that `POST /control/settings` changes.

    Attributes:
      delay_ms: Time that an order takes.
    """

    delay_ms: float = 2.0


def make_app() -> asgi.App:
    """Returns the HTTP interface of the stand-in."""
    app = asgi.App()
    current = [Settings()]
    runs: collections.Counter[str] = collections.Counter()

    @app.route('POST', '/orders')
    async def order(request: asgi.Request) -> asgi.Response:
        name = request.json(dict).get('order', '')
        runs[name] += 1
        await anyio.sleep(current[0].delay_ms / 1000)
        return asgi.reply({'order': name, 'run': runs[name]}, 201)

    @app.route('GET', '/stock/*')
    async def stock(request: asgi.Request) -> asgi.Response:
        item = request.path.rpartition('/')[2]
        return asgi.reply({'item': item, 'pallets': 7})

    @app.route('GET', '/v1/state')
    async def state(request: asgi.Request) -> asgi.Response:
        del request
        return asgi.reply({'boot': 'desk', 'state': 'warm', 'slots': 64})

    @app.route('GET', '/control/orders')
    async def counts(request: asgi.Request) -> asgi.Response:
        del request
        return asgi.reply(runs)

    @app.route('POST', '/control/settings')
    async def configure(request: asgi.Request) -> asgi.Response:
        current[0] = request.json(Settings)
        return asgi.reply(current[0])

    return app


def serve(host: str = '127.0.0.1', port: int = 9300) -> None:
    """Serves the stand-in."""
    anyio.run(asgi.serve, make_app(), host, port)


if __name__ == '__main__':
    fire.Fire(serve)
