"""Orders to the engine stand-in: loading models, role, fencing tokens."""

import anyio
import httpcore
import msgspec

from radishcourse_standins import asgi

FETCH_RETRY_S = 0.2


class Order(msgspec.Struct):
    """An order to the engine.

    Attributes:
      order: `load`, `unload` or `role`.
      fencing: Fencing token of the sender.
      model: Model to load or unload.
      version: Its version.
      role: New role of the engine.
    """

    order: str
    fencing: int = 0
    model: str = ''
    version: str = ''
    role: str = ''


class Orders:
    """Carries out orders, with or without checking fencing tokens.

    Args:
      checks_fencing: Whether an order with an old token is refused.
      models: Loaded `model/version`s separated by commas, or None if the
        engine does not report its models.
      weights: Base URL of the weight store; if empty, loads take no time.

    Attributes:
      models: Loaded `model/version`s, or None if they are not reported.
      role: Role that was ordered last.
      accepted: All orders that were not refused.
    """

    def __init__(self, checks_fencing: bool, models: str | None, weights: str):
        self._checks_fencing = checks_fencing
        self._weights = weights
        self._fencing = 0
        self._pool = httpcore.AsyncConnectionPool()
        self.models = None if models is None else set(models.split(',')) - {''}
        self.role = ''
        self.accepted: list[Order] = []

    def reported_models(self) -> list[str] | None:
        """Returns the loaded models that the engine reports, if it does."""
        return None if self.models is None else sorted(self.models)

    async def handle(self, request: asgi.Request) -> asgi.Response:
        """Carries out an order; a load is answered once it is complete."""
        order = request.json(Order)
        if self._checks_fencing and order.fencing < self._fencing:
            return asgi.reply({'error': 'old fencing token'}, 409)
        self._fencing = max(self._fencing, order.fencing)
        self.accepted.append(order)
        name = f'{order.model}/{order.version}'
        if order.order == 'role':
            self.role = order.role
        elif self.models is not None and order.order == 'unload':
            self.models.discard(name)
        elif self.models is not None and order.order == 'load':
            await self._fetch(name)
            self.models.add(name)
        return asgi.reply({'fencing': self._fencing})

    async def _fetch(self, name: str) -> None:
        url = f'{self._weights}/v1/weights/{name}'
        while self._weights:
            if (await self._pool.request('GET', url)).status == 200:
                return
            await anyio.sleep(FETCH_RETRY_S)
