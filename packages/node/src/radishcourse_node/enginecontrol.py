"""Client of the control interface of engines: state, cancel, orders."""

import typing

import httpcore
import msgspec

from radishcourse_model import decoding
from radishcourse_node import errors
from radishcourse_node import timeouts
from radishcourse_platform import http

TIMEOUT_S = 0.5
MAX_BODY_BYTES = 256 * 1024


class EngineState(msgspec.Struct):
    """State that an engine reports about itself.

    Attributes:
      boot: Id of the engine process; a new id means that the engine has
        restarted and lost its streams.
      state: `cold`, `warm` or `leaving`.
      running: Number of requests that are running.
      queued: Number of requests that are waiting.
      slots: Maximum number of requests that run at once.
      age_ms: Age of the reported load, in milliseconds.
      models: Loaded models as `model/version`, or None if not reported.
      role: Role of the engine, or an empty string.
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
    """An order to an engine.

    Attributes:
      order: `load`, `unload` or `role`.
      fencing: Fencing token of the sender's lease.
      model: Model to load or unload.
      version: Version to load or unload.
      role: Role that the engine is to have.
    """

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
      status: HTTP status, or 0 if there was no response.
      refused: Whether it accepted no connection.
    """

    code = 'engine_control'

    def __init__(self, message: str, status: int = 0, refused: bool = False):
        super().__init__(message)
        self.status = status
        self.refused = refused


class Engine(typing.NamedTuple):
    """Control client of one engine.

    Attributes:
      address: Its IP address and port.
      pool: Connections to it.
      timeouts: Limits the calls; the lateness of this process does not count,
        as the reply may be there already.
    """

    address: str
    pool: httpcore.AsyncConnectionPool
    timeouts: timeouts.Timeouts

    async def state(self) -> EngineState:
        """Returns the state that the engine reports.

        Raises:
          ControlError: There was no response, or it is malformed.
        """
        body = await self._call('GET', '/v1/state')
        try:
            return msgspec.json.decode(body, type=EngineState)
        except decoding.ERRORS as error:
            raise ControlError(f'malformed engine state: {error}') from error

    async def cancel(self, request_id: str) -> None:
        """Cancels a request, also one that has not arrived at the engine yet.

        Raises:
          ControlError: The engine did not confirm the cancellation.
        """
        await self._call('POST', '/v1/cancel', _Cancel(request_id))

    async def order(self, order: Order) -> None:
        """Sends an order.

        Raises:
          ControlError: The engine refused or did not confirm the order.
        """
        await self._call('POST', '/v1/orders', order)

    async def _call(self, method: str, path: str, body=None) -> bytes:
        try:
            with self.timeouts.fail_after(TIMEOUT_S):
                response = await http.request(
                    self.pool,
                    method,
                    f'http://{self.address}{path}',
                    MAX_BODY_BYTES,
                    content=msgspec.json.encode(body) if body else None,
                )
        except http.CALL_ERRORS as error:
            refused = isinstance(error, httpcore.ConnectError)
            raise ControlError(f'{path}: {error!r}', refused=refused) from error
        if response.status != 200:
            message = f'{path}: status {response.status}'
            raise ControlError(message, response.status)
        return response.body
