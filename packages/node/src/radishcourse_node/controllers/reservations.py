"""Reservations of upstreams, checked until the request is sent."""

import httpcore

from radishcourse_model import ids
from radishcourse_model import states
from radishcourse_node import engines
from radishcourse_node import errors

_CONNECTED = 'connect_tcp.complete'


class Reservation:
    """Capacity of an upstream reserved for one attempt.

    Args:
      upstreams: The controller that made the reservation.
      upstream_id: The upstream.
      request_id: Id of the request at the upstream.
      permit: The permit if the upstream is cold, else None.
    """

    def __init__(self, upstreams, upstream_id, request_id: str, permit):
        engine = upstreams.engine(upstream_id)
        self.upstream_id: ids.UpstreamId = upstream_id
        self.request_id = request_id
        self.address: str = engine.address
        self.pool: httpcore.AsyncConnectionPool = engine.pool
        self._upstreams = upstreams
        self._registry = upstreams.registry
        self._permit = permit
        self._connected_at: float | None = None

    def note_engine_headers(self, headers: engines.EngineHeaders) -> None:
        """Notes the state in the headers of the upstream's response."""
        if headers.state:
            self._registry.note_header(
                self.upstream_id, headers.boot, headers.state
            )

    async def trace(self, name: str) -> None:
        """Checks the reservation when httpcore is about to send a request.

        Args:
          name: Name of the httpcore trace event.

        Raises:
          AttemptError: The request must not be sent.
        """
        if name.endswith(_CONNECTED):
            self._connected_at = self._upstreams.now()
        elif name.endswith(engines.SEND_STARTED):
            await self._check()

    async def _check(self) -> None:
        if self._permit is None and self._connected_at is not None:
            # A new connection may lead to a restarted, cold process, as the
            # old one may have closed because of the restart.
            await self._upstreams.probes.probe(
                self.upstream_id, self._connected_at
            )
            self._connected_at = None
        if not self._may_send():
            message = f'{self.upstream_id} can no longer take this request'
            raise errors.AttemptError(message, sent=False)

    def _may_send(self) -> bool:
        if self._permit is None:
            return self._registry.is_warm(self.upstream_id)
        state = self._registry.state(self.upstream_id)
        return (
            self._upstreams.permits.usable(self._permit)
            and state is not states.UpstreamState.LEAVING
        )
