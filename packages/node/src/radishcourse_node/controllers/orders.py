"""Orders to engines, sent by the holder of the shard's lease.

The lease's epoch is the fencing token. An engine that does not check it may
carry out an earlier holder's order that arrives late. So such an engine gets
orders only in the first half of the lease duration, and each order is verified
by reading the engine's state. An order that the network delays by more than
half the duration is still carried out; the current holder sees its effect at a
later poll and sends its own order again.
"""

import anyio

from radishcourse_model import ids
from radishcourse_model import schema
from radishcourse_node import enginecontrol
from radishcourse_node import errors
from radishcourse_node import events
from radishcourse_policy import leases as lease_policy

TICK_S = 0.5
# An order is not repeated earlier, since a load takes longer than a call.
MIN_REPEAT_INTERVAL_S = 5.0
# The weight store is rate-limited, so each holder has few engines load at once.
MAX_CONCURRENT_LOADS = 2


class OrderError(errors.NodeError):
    """An order was not sent, or its effect is not confirmed."""

    code = 'order'


class Orders:
    """Makes engines load the versions that they are configured to serve."""

    def __init__(self, node):
        self._clock = node.environment.clock
        self._configuration = node.configuration
        self._leases = node.leases
        self._shards = node.settings.shards
        self._upstreams = node.upstreams
        self._sent_at: dict[tuple[ids.UpstreamId, str], float] = {}

    async def run(self) -> None:
        """Sends the orders that are due, every `TICK_S`."""
        while True:
            async with anyio.create_task_group() as tasks:
                for upstream_id, order in self._due_orders():
                    tasks.start_soon(self._send_logged, upstream_id, order)
            await anyio.sleep(TICK_S)

    async def send(
        self, upstream_id: ids.UpstreamId, order: enginecontrol.Order
    ) -> None:
        """Sends an order and verifies its effect.

        Args:
          upstream_id: An upstream of a shard that this node holds.
          order: The order; its fencing token is set here.

        Raises:
          OrderError: It was not sent, or its effect is not confirmed.
        """
        epoch = self._check_lease(upstream_id)
        order.fencing = epoch
        engine = self._upstreams.engine(upstream_id)
        events.log(
            events.Event.ORDER_SENT,
            upstream=upstream_id,
            order=order.order,
            fencing=epoch,
        )
        try:
            await engine.order(order)
        except enginecontrol.ControlError as error:
            if error.status:
                raise OrderError(str(error)) from error
        # The answer may be lost; and an engine that does not check tokens may
        # have carried out another holder's order since.
        try:
            state = await engine.state()
        except enginecontrol.ControlError as error:
            raise OrderError(f'not confirmed: {error}') from error
        if not _has_effect(order, state):
            raise OrderError('the state of the engine does not show the effect')
        if self._leases.held_epoch(self._lease_name(upstream_id)) != epoch:
            raise OrderError('the lease was lost while the order was sent')

    def _check_lease(self, upstream_id: ids.UpstreamId) -> ids.Epoch:
        upstream = self._configuration.config.upstreams.get(upstream_id)
        lease = self._leases.held_lease(self._lease_name(upstream_id))
        if upstream is None or lease is None:
            raise OrderError(f'the shard of {upstream_id} is not held')
        age = self._clock.now() - lease.sent_at
        if not upstream.checks_fencing and age > lease_policy.DURATION_S / 2:
            raise OrderError('the lease is in the second half of its duration')
        return lease.epoch

    async def _send_logged(
        self, upstream_id, order: enginecontrol.Order
    ) -> None:
        try:
            await self.send(upstream_id, order)
        except OrderError as error:
            events.log(
                events.Event.ORDER_SENT,
                upstream=upstream_id,
                order=order.order,
                error=str(error),
            )

    def _due_orders(self) -> list[tuple[ids.UpstreamId, enginecontrol.Order]]:
        now = self._clock.now()
        loading = sum(
            now - at < MIN_REPEAT_INTERVAL_S for at in self._sent_at.values()
        )
        due = []
        for (
            upstream_id,
            upstream,
        ) in self._configuration.config.upstreams.items():
            order = self._next_order(upstream_id, upstream)
            if order is None:
                continue
            key = (upstream_id, f'{order.order} {order.model}/{order.version}')
            if (
                now - self._sent_at.get(key, float('-inf'))
                < MIN_REPEAT_INTERVAL_S
            ):
                continue
            if order.order == 'load':
                if loading >= MAX_CONCURRENT_LOADS:
                    continue
                loading += 1
            self._sent_at[key] = now
            due.append((upstream_id, order))
        return due

    def _next_order(
        self, upstream_id: ids.UpstreamId, upstream: schema.Upstream
    ) -> enginecontrol.Order | None:
        """Returns the next order for an upstream, or None.

        None if this node does not hold its shard, the engine's models are not
        known, or it has loaded what it should serve.
        """
        state = self._upstreams.probes.last_state(upstream_id)
        epoch = self._leases.held_epoch(self._lease_name(upstream_id))
        if state.models is None or epoch is None:
            return None
        wanted = {
            f'{model}/{version}'
            for model, versions in upstream.serves.items()
            for version in versions
        }
        for name in sorted(wanted - set(state.models)):
            model, _, version = name.partition('/')
            return enginecontrol.Order('load', epoch, model, version)
        for name in sorted(set(state.models) - wanted):
            model, _, version = name.partition('/')
            return enginecontrol.Order('unload', epoch, model, version)
        return None

    def _lease_name(self, upstream_id: ids.UpstreamId) -> ids.LeaseName:
        return lease_policy.shard_lease_name(upstream_id, self._shards)


def _has_effect(
    order: enginecontrol.Order, state: enginecontrol.EngineState
) -> bool:
    name = f'{order.model}/{order.version}'
    if order.order == 'role':
        return state.role == order.role
    loaded = name in (state.models or ())
    return loaded if order.order == 'load' else not loaded
