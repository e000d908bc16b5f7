"""Readiness and metrics endpoints, on ports of their own."""

METRICS_PATH = '/metrics'


class Pages:
    """An ASGI application; every path but METRICS_PATH returns readiness.

    Args:
      gateway: The gateway.
    """

    def __init__(self, gateway):
        self._gateway = gateway

    async def __call__(self, scope, receive, send) -> None:
        """Serves one HTTP request."""
        if scope['type'] != 'http':
            return
        if scope['path'] == METRICS_PATH:
            await _send(send, 200, self._gateway.render_metrics())
            return
        reason = self._gateway.unready_reason
        await _send(send, 503 if reason else 200, reason or 'ready')


async def _send(send, status: int, text: str) -> None:
    body = text.encode()
    headers = [
        (b'content-type', b'text/plain; charset=utf-8'),
        (b'content-length', b'%d' % len(body)),
    ]
    await send(
        {'type': 'http.response.start', 'status': status, 'headers': headers}
    )
    await send({'type': 'http.response.body', 'body': body})
