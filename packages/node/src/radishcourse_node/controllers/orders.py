"""Orders to engines, given by the holder of the shard's lease.

The lease's epoch is the fencing token. An engine that ignores it may get
an order of an earlier holder late; so an order is sent to it only in the
first half of the lease's life and is verified by reading back. What
remains is an order that the network holds back for more than half a lease:
the present holder sees its effect at a later poll and orders again.
"""

import anyio

from radishcourse_model import ids
from radishcourse_model import schema
from radishcourse_node import enginecontrol
from radishcourse_node import errors
from radishcourse_node import events
from radishcourse_policy import leases as lease_policy

TICK_S = 0.5
# A load takes longer than a call; it is not ordered again before this.
REPEAT_S = 5.0
# The weight store is rate-limited, so a holder lets few engines load.
MAX_LOADING = 2


class OrderError(errors.NodeError):
    """An order was not sent, or its effect is not confirmed."""

    code = 'order'


class Orders:
    """Makes engines load what the configuration says that they serve."""

    def __init__(self, node):
        self._clock = node.environment.clock
        self._configuration = node.configuration
        self._leases = node.leases
        self._shards = node.settings.shards
        self._upstreams = node.upstreams
        self._ordered: dict[tuple[ids.UpstreamId, str], float] = {}

    async def run(self) -> None:
        """Compares and orders again and again."""
        while True:
            async with anyio.create_task_group() as tasks:
                for upstream_id, order in self._due():
                    tasks.start_soon(self._try, upstream_id, order)
            await anyio.sleep(TICK_S)

    async def send(
        self, upstream_id: ids.UpstreamId, order: enginecontrol.Order
    ) -> None:
        """Gives an order and verifies its effect.

        Args:
          upstream_id: An upstream of a shard that this node holds.
          order: The order; its fencing token is filled in.

        Raises:
          OrderError: It was not sent, or its effect is not confirmed.
        """
        epoch = self._check(upstream_id)
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
        # The answer may be lost, and without a check of tokens an order of
        # another holder may have come in between.
        try:
            told = await engine.state()
        except enginecontrol.ControlError as error:
            raise OrderError(f'not confirmed: {error}') from error
        if not _has_effect(order, told):
            raise OrderError('the engine does not show the effect')
        if self._leases.held_epoch(self._shard(upstream_id)) != epoch:
            raise OrderError('the lease was lost meanwhile')

    def _check(self, upstream_id: ids.UpstreamId) -> ids.Epoch:
        upstream = self._configuration.config.upstreams.get(upstream_id)
        hold = self._leases.held_lease(self._shard(upstream_id))
        if upstream is None or hold is None:
            raise OrderError(f'the shard of {upstream_id} is not held')
        age = self._clock.now() - hold.sent_at
        if not upstream.checks_fencing and age > lease_policy.DURATION_S / 2:
            raise OrderError('the lease is in the second half of its life')
        return hold.epoch

    async def _try(self, upstream_id, order: enginecontrol.Order) -> None:
        try:
            await self.send(upstream_id, order)
        except OrderError as error:
            events.log(
                events.Event.ORDER_SENT,
                upstream=upstream_id,
                order=order.order,
                error=str(error),
            )

    def _due(self) -> list[tuple[ids.UpstreamId, enginecontrol.Order]]:
        now = self._clock.now()
        loading = sum(now - at < REPEAT_S for at in self._ordered.values())
        due = []
        for (
            upstream_id,
            upstream,
        ) in self._configuration.config.upstreams.items():
            order = self._compare(upstream_id, upstream)
            if order is None:
                continue
            key = (upstream_id, f'{order.order} {order.model}/{order.version}')
            if now - self._ordered.get(key, float('-inf')) < REPEAT_S:
                continue
            if order.order == 'load':
                if loading >= MAX_LOADING:
                    continue
                loading += 1
            self._ordered[key] = now
            due.append((upstream_id, order))
        return due

    def _compare(
        self, upstream_id: ids.UpstreamId, upstream: schema.Upstream
    ) -> enginecontrol.Order | None:
        """Returns the next order for an upstream of a held shard."""
        told = self._upstreams.probes.told(upstream_id)
        held = self._leases.held_epoch(self._shard(upstream_id))
        if told.models is None or held is None:
            return None
        wanted = {
            f'{model}/{version}'
            for model, versions in upstream.serves.items()
            for version in versions
        }
        for name in sorted(wanted - set(told.models)):
            model, _, version = name.partition('/')
            return enginecontrol.Order('load', held, model, version)
        for name in sorted(set(told.models) - wanted):
            model, _, version = name.partition('/')
            return enginecontrol.Order('unload', held, model, version)
        return None

    def _shard(self, upstream_id: ids.UpstreamId) -> ids.LeaseName:
        return lease_policy.shard_lease_name(upstream_id, self._shards)


def _has_effect(
    order: enginecontrol.Order, told: enginecontrol.EngineState
) -> bool:
    name = f'{order.model}/{order.version}'
    if order.order == 'role':
        return told.role == order.role
    loaded = name in (told.models or ())
    return loaded if order.order == 'load' else not loaded
