"""Stand-in for the service that rates answers.

The rating is the quality that the engine stand-in embeds in its text.
"""

import re

import anyio
import fire
import msgspec

from radishcourse_standins import asgi

QUALITY_PATTERN = re.compile(r'\[q=([0-9.]+)\]')


class Settings(msgspec.Struct):
    """Behaviour that `POST /control/settings` sets.

    Attributes:
      delay_ms: Time that a rating takes.
      down: Whether all requests are answered with 503.
      bias: Added to each rating; the sum is clamped to [0, 1].
    """

    delay_ms: float = 2.0
    down: bool = False
    bias: float = 0.0


class Rate(msgspec.Struct):
    """A request for a rating."""

    request_id: str
    kind: str
    answer: str


def make_app() -> asgi.App:
    """Returns the HTTP interface of the stand-in."""
    app = asgi.App()
    current = [Settings()]

    @app.route('POST', '/v1/rate')
    async def rate(request: asgi.Request) -> asgi.Response:
        rate_request = request.json(Rate)
        settings = current[0]
        await anyio.sleep(settings.delay_ms / 1000)
        if settings.down:
            return asgi.reply({'error': 'outage'}, 503)
        match = QUALITY_PATTERN.search(rate_request.answer)
        quality = float(match.group(1)) if match else 0.0
        rating = min(1.0, max(0.0, quality + settings.bias))
        return asgi.reply({'rating': rating})

    @app.route('POST', '/control/settings')
    async def configure(request: asgi.Request) -> asgi.Response:
        current[0] = request.json(Settings)
        return asgi.reply(current[0])

    return app


def serve(host: str = '127.0.0.1', port: int = 9200) -> None:
    """Serves the stand-in."""
    anyio.run(asgi.serve, make_app(), host, port)


if __name__ == '__main__':
    fire.Fire(serve)
