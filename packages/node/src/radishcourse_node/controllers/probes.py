"""Asks upstreams for their state, and the platform for leaving ones."""

import anyio

from radishcourse_model import ids
from radishcourse_model import states
from radishcourse_node import enginecontrol
from radishcourse_node.controllers import health
from radishcourse_platform import errors as platform_errors
from radishcourse_platform import vms
from radishcourse_policy import leases as lease_policy

POLL_S = 0.5
LIST_S = 1.0
_UNSEEN = (states.UpstreamState.UNKNOWN, states.UpstreamState.DOWN)


class Probes:
    """Polls the upstreams of held shards, and any upstream on demand."""

    def __init__(self, node, registry: health.Registry, engine):
        self._clock = node.environment.clock
        self._configuration = node.configuration
        self._leases = node.leases
        self._membership = node.membership
        self._shards = node.settings.shards
        self._vms: vms.VmList = node.vms
        self._registry = registry
        self._engine = engine
        self._told: dict[ids.UpstreamId, enginecontrol.EngineState] = {}
        self._probing: dict[ids.UpstreamId, anyio.Event] = {}
        self._asked_at: dict[ids.UpstreamId, float] = {}

    def told(self, upstream: ids.UpstreamId) -> enginecontrol.EngineState:
        """Returns the last state that an upstream told this node."""
        return self._told.get(upstream, enginecontrol.EngineState())

    def holds_shard(self, upstream: ids.UpstreamId) -> bool:
        """Tells whether this node holds the lease of an upstream's shard."""
        name = lease_policy.shard_lease_name(upstream, self._shards)
        return self._leases.held_epoch(name) is not None

    async def run(self) -> None:
        """Asks again and again."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._tick)
            tasks.start_soon(self._watch_list)
            while True:
                for upstream in self._due():
                    tasks.start_soon(self.probe, upstream)
                await anyio.sleep(POLL_S)

    def _due(self) -> list[ids.UpstreamId]:
        alone = self._is_alone()
        return [
            upstream
            for upstream in self._configuration.config.upstreams
            if alone
            or self._registry.state(upstream) in _UNSEEN
            or self.holds_shard(upstream)
        ]

    def _is_alone(self) -> bool:
        """Tells whether no other node is there to tell changes."""
        return not (self._membership.settled and self._membership.present)

    async def _tick(self) -> None:
        while True:
            self._registry.tick()
            await anyio.sleep(health.TICK_S)

    async def probe(
        self, upstream: ids.UpstreamId, after: float = float('-inf')
    ) -> None:
        """Asks an upstream for its state; callers at once ask once.

        Args:
          upstream: The upstream.
          after: A question that was sent before this does not count.
        """
        running = self._probing.get(upstream)
        while running is not None:
            await running.wait()
            if self._asked_at[upstream] >= after:
                return
            running = self._probing.get(upstream)
        event = self._probing[upstream] = anyio.Event()
        self._asked_at[upstream] = self._clock.now()
        try:
            await self._ask(upstream)
        finally:
            del self._probing[upstream]
            event.set()

    async def _ask(self, upstream: ids.UpstreamId) -> None:
        engine = self._engine(upstream)
        if engine is None:
            return
        asked_at = self._clock.now()
        try:
            told = await engine.state()
        except enginecontrol.ControlError:
            self._registry.note_down(upstream, asked_at)
            return
        self._told[upstream] = told
        self._registry.note_load(
            upstream,
            told.running + told.queued,
            asked_at - told.age_ms / 1000,
        )
        self._registry.note_told(upstream, told.boot, told.state, asked_at)

    async def _watch_list(self) -> None:
        while True:
            if self._is_alone() or any(
                self.holds_shard(upstream)
                for upstream in self._configuration.config.upstreams
            ):
                await self._read_list()
            await anyio.sleep(LIST_S)

    async def _read_list(self) -> None:
        try:
            listed = await self._vms.read()
        except platform_errors.PlatformError:
            return
        leaving = {
            name
            for vm in listed
            if vm.role is vms.VmRole.UPSTREAM
            and vm.state is vms.VmState.LEAVING
            for name in (vm.vm, vm.address)
        }
        for upstream, item in self._configuration.config.upstreams.items():
            self._registry.note_listed(
                upstream, upstream in leaving or item.address in leaving
            )
