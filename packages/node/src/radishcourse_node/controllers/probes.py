"""Probes the state of upstreams, and polls the VM list for leaving ones."""

import anyio

from radishcourse_model import ids
from radishcourse_model import states
from radishcourse_node import enginecontrol
from radishcourse_node.controllers import health
from radishcourse_platform import errors as platform_errors
from radishcourse_platform import vms
from radishcourse_policy import leases as lease_policy

PROBE_INTERVAL_S = 0.5
VM_LIST_INTERVAL_S = 1.0
_UNREACHED_STATES = (states.UpstreamState.UNKNOWN, states.UpstreamState.DOWN)


class Probes:
    """Probes upstreams at regular intervals and on demand.

    At intervals it probes those of the shards that this node holds and those
    that are unknown or down; while no other node is known, all upstreams.
    """

    def __init__(self, node, registry: health.Registry, engine):
        self._clock = node.environment.clock
        self._configuration = node.configuration
        self._leases = node.leases
        self._membership = node.membership
        self._shards = node.settings.shards
        self._vms: vms.VmList = node.vms
        self._registry = registry
        self._engine = engine
        self._last_states: dict[ids.UpstreamId, enginecontrol.EngineState] = {}
        self._probing: dict[ids.UpstreamId, anyio.Event] = {}
        self._probed_at: dict[ids.UpstreamId, float] = {}

    def last_state(self, upstream: ids.UpstreamId) -> enginecontrol.EngineState:
        """Returns the state in an upstream's latest reply to this node.

        Before its first reply, this is a state with default values.
        """
        return self._last_states.get(upstream, enginecontrol.EngineState())

    def holds_shard(self, upstream: ids.UpstreamId) -> bool:
        """Tells whether this node holds the lease of an upstream's shard."""
        name = lease_policy.shard_lease_name(upstream, self._shards)
        return self._leases.held_epoch(name) is not None

    async def run(self) -> None:
        """Sends probes and polls the VM list until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._poll_vm_list)
            while True:
                for upstream in self._due():
                    tasks.start_soon(self.probe, upstream)
                await anyio.sleep(PROBE_INTERVAL_S)

    def _due(self) -> list[ids.UpstreamId]:
        alone = self._is_alone()
        return [
            upstream
            for upstream in self._configuration.config.upstreams
            if alone
            or self._registry.state(upstream) in _UNREACHED_STATES
            or self.holds_shard(upstream)
        ]

    def _is_alone(self) -> bool:
        """Tells whether no other node is known that could gossip changes."""
        return not (self._membership.settled and self._membership.present)

    async def probe(
        self, upstream: ids.UpstreamId, not_before: float = float('-inf')
    ) -> None:
        """Asks an upstream for its state; concurrent calls share a probe.

        Args:
          upstream: The upstream.
          not_before: A probe that was sent before this does not count.
        """
        in_progress = self._probing.get(upstream)
        while in_progress is not None:
            await in_progress.wait()
            if self._probed_at[upstream] >= not_before:
                return
            in_progress = self._probing.get(upstream)
        event = self._probing[upstream] = anyio.Event()
        self._probed_at[upstream] = self._clock.now()
        try:
            await self._send_probe(upstream)
        finally:
            del self._probing[upstream]
            event.set()

    async def _send_probe(self, upstream: ids.UpstreamId) -> None:
        engine = self._engine(upstream)
        if engine is None:
            return
        sent_at = self._clock.now()
        try:
            state = await engine.state()
        except enginecontrol.ControlError as error:
            self._registry.note_failed_probe(upstream, sent_at, error.refused)
            return
        self._last_states[upstream] = state
        self._registry.note_load(
            upstream,
            state.running + state.queued,
            sent_at - state.age_ms / 1000,
        )
        self._registry.note_state(upstream, state.boot, state.state, sent_at)

    async def _poll_vm_list(self) -> None:
        while True:
            if self._is_alone() or any(
                self.holds_shard(upstream)
                for upstream in self._configuration.config.upstreams
            ):
                await self._read_vm_list()
            await anyio.sleep(VM_LIST_INTERVAL_S)

    async def _read_vm_list(self) -> None:
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
