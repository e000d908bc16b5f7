"""Control calls to engines: state, cancel, orders."""

import typing

import anyio
import httpcore
import msgspec

from radishcourse_node import errors
from radishcourse_platform import http

TIMEOUT_S = 0.5


class EngineState(msgspec.Struct):
    """What an engine tells of itself.

    Attributes:
      boot: Id of its process; another one means that it kept nothing.
      state: `cold`, `warm` or `leaving`.
      running: Requests that it runs.
      queued: Requests that wait in it.
      slots: Requests that it runs at once.
      age_ms: Age of the load that it tells.
      models: `model/version` of each one that it has loaded, or None where
        it does not tell.
      role: Its role, or an empty text.
    """

    boot: str = ''
    state: str = 'warm'
    running: int = 0
    queued: int = 0
    slots: int = 1
    age_ms: float = 0
    models: list[str] | None = None
    role: str = ''


class Order(msgspec.Struct):
    """An order to an engine: `load`, `unload` or `role`."""

    order: str
    fencing: int
    model: str = ''
    version: str = ''
    role: str = ''


class _Cancel(msgspec.Struct):
    request_id: str


class ControlError(errors.NodeError):
    """An engine did not confirm a control call.

    Attributes:
      status: HTTP status, or 0 when there was no answer.
    """

    code = 'engine_control'

    def __init__(self, message: str, status: int = 0):
        super().__init__(message)
        self.status = status


class Engine(typing.NamedTuple):
    """An engine's address and the connections to it."""

    address: str
    pool: httpcore.AsyncConnectionPool

    async def state(self) -> EngineState:
        """Returns what the engine tells of itself.

        Raises:
          ControlError: There is no answer, or it is malformed.
        """
        body = await self._call('GET', '/v1/state')
        try:
            return msgspec.json.decode(body, type=EngineState)
        except msgspec.MsgspecError as error:
            raise ControlError(f'malformed state: {error}') from error

    async def cancel(self, request_id: str) -> None:
        """Ends a request; when it arrives later it is not run either.

        Raises:
          ControlError: The engine did not confirm it.
        """
        await self._call('POST', '/v1/cancel', _Cancel(request_id))

    async def order(self, order: Order) -> None:
        """Gives an order.

        Raises:
          ControlError: The engine refused it or did not confirm it.
        """
        await self._call('POST', '/v1/orders', order)

    async def _call(self, method: str, path: str, body=None) -> bytes:
        try:
            with anyio.fail_after(TIMEOUT_S):
                response = await self.pool.request(
                    method,
                    f'http://{self.address}{path}',
                    content=msgspec.json.encode(body) if body else None,
                )
        except http.CALL_ERRORS as error:
            raise ControlError(f'{path}: {error!r}') from error
        if response.status != 200:
            message = f'{path}: status {response.status}'
            raise ControlError(message, response.status)
        return response.content
