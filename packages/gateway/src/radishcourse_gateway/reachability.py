"""Services whose upstreams can't be reached from this node."""

import anyio

from radishcourse_gateway import errors
from radishcourse_gateway import load as loads
from radishcourse_gateway import upstreamconnections
from radishcourse_gateway import view as views
from radishcourse_model import ids
from radishcourse_node import events
from radishcourse_policy import reachability

# Time between two connects to upstreams of an unreachable service.
PROBE_INTERVAL_S = 0.3
# Upstreams that are connected to at once when a service may be unreachable.
SUSPECT_PROBES = 3
# Failures to connect were this node's own if they ended after so long; where an
# upstream is reached sooner, others are lost.
OWN_FAILURE_S = 2.0
# Upstreams of the same service that are asked whether this node is cut off.
SAME_SERVICE = 2


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
        self._load: loads.Load = gateway.load
        self._state = reachability.Reachability()
        self._probe_wanted = anyio.Event()
        self._suspect: set[ids.ServiceId] = set()

    @property
    def unreachable(self) -> list[ids.ServiceId]:
        """The services that are unreachable from this node."""
        return self._state.unreachable

    def is_unreachable(self, service: ids.ServiceId) -> bool:
        """Tells whether a service is unreachable from this node."""
        return self._state.is_unreachable(service)

    def is_cut_off(self, upstream: ids.UpstreamId) -> bool:
        """Tells whether an upstream's service is unreachable."""
        if not self._state.unreachable:
            return False
        listed = self._view.upstreams.get(upstream)
        return listed is not None and self.is_unreachable(
            listed.upstream.service
        )

    def note_connected(self, service: ids.ServiceId) -> None:
        """Records that a connection to an upstream of a service was opened."""
        was_unreachable = self.is_unreachable(service)
        seconds = self._state.note_connected(self._clock.now(), service)
        if was_unreachable:
            if seconds >= OWN_FAILURE_S:
                for listed in self._view.usable(service):
                    self._load.clear_ejection(listed.upstream.upstream_id)
            events.log(
                events.Event.SERVICE_REACHABLE,
                service=service,
                seconds=round(seconds, 3),
            )

    def note_failed(self, listed: views.ListedUpstream) -> None:
        """Records that a connection to an upstream could not be opened."""
        service = listed.upstream.service
        now = self._clock.now()
        usable = {item.incarnation for item in self._view.usable(service)}
        self._state.keep(service, usable)
        if listed.incarnation not in usable:
            return
        if self._state.note_failed(
            now, service, listed.incarnation, len(usable)
        ):
            events.log(
                events.Event.SERVICE_UNREACHABLE,
                service=service,
                failed=len(self._state.failed(now, service)),
                listed=len(usable),
            )
            return
        if self._state.is_suspect(now, service):
            self._suspect.add(service)
            self._probe_wanted.set()

    async def reaches_others(self, listed: views.ListedUpstream) -> bool:
        """Tells whether this node reaches other upstreams than a given one.

        Some of its service and one of another service are connected to. True
        if no other is listed, as nothing tells then.
        """
        others = [
            item
            for item in self._view.upstreams.values()
            if item.gone_at is None and item.incarnation != listed.incarnation
        ]
        if not others:
            return True
        service = listed.upstream.service
        same = [item for item in others if item.upstream.service == service]
        foreign = [item for item in others if item.upstream.service != service]
        asked = self._random.sample(same, min(SAME_SERVICE, len(same)))
        asked += self._random.sample(foreign, min(1, len(foreign)))
        reached = False

        async def connect(item: views.ListedUpstream) -> None:
            nonlocal reached
            if await self._can_connect(item):
                reached = True
                tasks.cancel_scope.cancel()

        async with anyio.create_task_group() as tasks:
            for item in asked:
                tasks.start_soon(connect, item)
        return reached

    async def run(self) -> None:
        """Connects to upstreams that may be unreachable, until cancelled."""
        while True:
            with anyio.move_on_after(PROBE_INTERVAL_S):
                await self._probe_wanted.wait()
            self._probe_wanted = anyio.Event()
            suspect, self._suspect = self._suspect, set()
            async with anyio.create_task_group() as tasks:
                for service in suspect:
                    tasks.start_soon(self._probe, service, SUSPECT_PROBES)
                for service in set(self.unreachable) - suspect:
                    tasks.start_soon(self._probe, service, 1)

    async def _probe(self, service: ids.ServiceId, count: int) -> None:
        """Connects to upstreams, first to those that have not failed."""
        usable = self._view.usable(service)
        if not usable:
            # Requests are refused for want of an upstream.
            self.note_connected(service)
            return
        failed = self._state.failed(self._clock.now(), service)
        untried = [item for item in usable if item.incarnation not in failed]
        chosen = untried or usable
        async with anyio.create_task_group() as tasks:
            for listed in self._random.sample(chosen, min(count, len(chosen))):
                tasks.start_soon(self._probe_upstream, listed)

    async def _probe_upstream(self, listed: views.ListedUpstream) -> None:
        if await self._can_connect(listed):
            self.note_connected(listed.upstream.service)
        else:
            self.note_failed(listed)

    async def _can_connect(self, listed: views.ListedUpstream) -> bool:
        try:
            connection = await upstreamconnections.connect(
                listed.upstream.address,
                self._clock.now(),
                self._timeouts.fail_after,
            )
        except errors.UpstreamError:
            return False
        await connection.aclose()
        return True
