"""A place on an upstream for one attempt, checked until its first byte."""

import httpcore

from radishcourse_model import ids
from radishcourse_model import states
from radishcourse_node import engines
from radishcourse_node import errors

_CONNECTED = 'connect_tcp.complete'


class Reservation:
    """A place on an upstream.

    Args:
      upstreams: The controller that made it.
      upstream_id: The upstream.
      request_id: The request as the upstream is to know it.
      permit: The permit, when the upstream is cold.
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

    def note_signs(self, signs: engines.EngineHeaders) -> None:
        """Takes note of what the upstream tells of itself."""
        if signs.state:
            self._registry.note_header(
                self.upstream_id, signs.boot, signs.state
            )

    async def trace(self, name: str) -> None:
        """Checks the reservation as a request proceeds in httpcore.

        Raises:
          AttemptError: The request must not be sent.
        """
        if name.endswith(_CONNECTED):
            self._connected_at = self._upstreams.now()
        elif name.endswith(engines.SEND_STARTED):
            await self._check()

    async def _check(self) -> None:
        if self._permit is None and self._connected_at is not None:
            # Nothing is known of the process behind a new connection: the
            # old one may have closed because the upstream restarted.
            await self._upstreams.probes.probe(
                self.upstream_id, self._connected_at
            )
            self._connected_at = None
        if not self._may_send():
            message = f'{self.upstream_id} may not be used any more'
            raise errors.AttemptError(message, sent=False)

    def _may_send(self) -> bool:
        if self._permit is None:
            return self._registry.is_warm(self.upstream_id)
        state = self._registry.state(self.upstream_id)
        return (
            self._upstreams.permits.usable(self._permit)
            and state is not states.UpstreamState.LEAVING
        )
