"""Services whose upstreams can't be reached from this node."""

import contextlib

import anyio

from radishcourse_gateway import errors
from radishcourse_gateway import upstreamconnections
from radishcourse_gateway import view as views
from radishcourse_model import ids
from radishcourse_node import events
from radishcourse_policy import reachability

# Time between two connects to upstreams of an unreachable service.
PROBE_INTERVAL_S = 0.3


class Reachability:
    """Notes connects to upstreams, and probes services while unreachable.

    Args:
      gateway: Provides the view and timeouts.
    """

    def __init__(self, gateway):
        self._clock = gateway.environment.clock
        self._random = gateway.environment.random
        self._timeouts = gateway.timeouts
        self._view: views.View = gateway.view
        self._state = reachability.Reachability()
        self._became_unreachable = anyio.Event()

    @property
    def unreachable(self) -> list[ids.ServiceId]:
        """The services that are unreachable from this node."""
        return self._state.unreachable

    def is_unreachable(self, service: ids.ServiceId) -> bool:
        """Tells whether a service is unreachable from this node."""
        return self._state.is_unreachable(service)

    def note_connected(self, service: ids.ServiceId) -> None:
        """Records that a connection to an upstream of a service was opened."""
        was_unreachable = self.is_unreachable(service)
        seconds = self._state.note_connected(self._clock.now(), service)
        if was_unreachable:
            events.log(
                events.Event.SERVICE_REACHABLE,
                service=service,
                seconds=round(seconds, 3),
            )

    def note_failed(self, listed: views.ListedUpstream) -> None:
        """Records that a connection to an upstream could not be opened."""
        service = listed.upstream.service
        now = self._clock.now()
        usable = len(self._view.usable(service))
        if self._state.note_failed(now, service, listed.incarnation, usable):
            events.log(
                events.Event.SERVICE_UNREACHABLE,
                service=service,
                failed=len(self._state.failed(now, service)),
                listed=usable,
            )
            self._became_unreachable.set()

    async def run(self) -> None:
        """Connects to upstreams of unreachable services until cancelled."""
        while True:
            with anyio.move_on_after(PROBE_INTERVAL_S):
                await self._became_unreachable.wait()
            self._became_unreachable = anyio.Event()
            async with anyio.create_task_group() as tasks:
                for service in self.unreachable:
                    tasks.start_soon(self._probe, service)

    async def _probe(self, service: ids.ServiceId) -> None:
        """Connects to one upstream, to one that has not failed if any."""
        usable = self._view.usable(service)
        failed = self._state.failed(self._clock.now(), service)
        untried = [item for item in usable if item.incarnation not in failed]
        if not usable:
            # Requests are refused for want of an upstream.
            self.note_connected(service)
            return
        listed = self._random.choice(untried or usable)
        try:
            connection = await upstreamconnections.connect(
                listed.upstream.address,
                self._clock.now(),
                self._timeouts.fail_after,
            )
        except errors.UpstreamError:
            self.note_failed(listed)
            return
        self.note_connected(service)
        with contextlib.suppress(OSError):
            await connection.aclose()
