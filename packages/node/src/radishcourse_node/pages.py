"""HTTP endpoints of a node for load balancers and operators."""

import typing

import msgspec


class Response(typing.NamedTuple):
    """A complete HTTP response."""

    status: int
    body: bytes
    headers: dict[str, str]


class Pages:
    """Serves health, readiness, metrics and status."""

    def __init__(self, node):
        self._node = node
        self._pages = {
            '/healthz': self._health,
            '/readyz': self._readiness,
            '/metrics': self._metrics,
            '/v1/node/status': self._status,
            '/v1/node/histograms': self._histograms,
        }

    def find(self, method: str, path: str):
        """Returns the handler of an endpoint, or None."""
        return self._pages.get(path) if method == 'GET' else None

    async def _health(self) -> Response:
        return _text(200, 'ok\n')

    async def _readiness(self) -> Response:
        reason = self._node.unready_reason
        if reason:
            return _text(503, f'not ready: {reason}\n')
        return _text(200, 'ready\n')

    async def _metrics(self) -> Response:
        gauges = self._node.gauges()
        return _text(200, self._node.metrics.render(gauges))

    async def _status(self) -> Response:
        return _json(self._node.status())

    async def _histograms(self) -> Response:
        return _json(self._node.metrics.encode())


def _text(status: int, text: str) -> Response:
    headers = {'content-type': 'text/plain; charset=utf-8'}
    return Response(status, text.encode(), headers)


def _json(value: object) -> Response:
    headers = {'content-type': 'application/json'}
    return Response(200, msgspec.json.encode(value), headers)
