"""Stand-in for the weight store, with a rate limit and request counts."""

import collections

import anyio
import fire

from radishcourse_standins import asgi
from radishcourse_standins import platform


def make_app(per_second: float) -> asgi.App:
    """Returns the HTTP interface of the stand-in."""
    app = asgi.App()
    limit = platform.RateLimit(per_second)
    counts: collections.Counter[str] = collections.Counter()

    @app.route('GET', '/v1/weights/*')
    async def weights(request: asgi.Request) -> asgi.Response:
        if not limit.take():
            counts['refused'] += 1
            return asgi.reply({'error': 'rate limit'}, 429)
        counts['served'] += 1
        return asgi.Response(200, b'weights of ' + request.path.encode())

    @app.route('GET', '/control/counts')
    async def count(request: asgi.Request) -> asgi.Response:
        del request
        return asgi.reply(counts)

    return app


def serve(
    host: str = '127.0.0.1', port: int = 9500, per_second: float = 1
) -> None:
    """Serves the stand-in; `per_second` limits its successful answers."""

    async def main() -> None:
        await asgi.serve(make_app(per_second), host, port)

    anyio.run(main)


if __name__ == '__main__':
    fire.Fire(serve)
