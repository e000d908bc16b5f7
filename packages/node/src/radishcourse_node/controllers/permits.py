"""Permits to send one request to an upstream in a cold start.

The holder of the lease of the upstream's shard grants them. A job that
outlives its permit is bounded three times: its owner cancels it at the
upstream before the permit ends; the grantor counts a permit that was not
released until it has cancelled the job itself; a new grantor first waits
for all earlier permits to end and for the upstream to report no work.
"""

import contextlib
import dataclasses

import anyio

from radishcourse_model import ids
from radishcourse_model import states
from radishcourse_node import enginecontrol
from radishcourse_node import errors
from radishcourse_node import events
from radishcourse_policy import leases as lease_policy
from radishcourse_policy import permits as policy
from radishcourse_wire import errors as wire_errors
from radishcourse_wire import messages
from radishcourse_wire.gen.peer import ttypes

TICK_S = 0.25
ASK_TIMEOUT_S = 0.5
RETRY_S = 0.1
# A report of an upstream's load counts for clearance while it is this new.
CLEARANCE_AGE_S = 1.0
_SEPARATOR = '#'
_UNUSABLE = (states.UpstreamState.LEAVING, states.UpstreamState.DOWN)


class NotHolder(errors.NodeError):
    """This node does not hold the lease of the upstream's shard."""

    code = 'not_holder'


@dataclasses.dataclass
class Owned:
    """A permit of this node.

    Attributes:
      upstream: The upstream.
      permit: Its id, unique on this node; it is known before the permit is
        granted, so that it can be released when the reply is lost.
      request_id: The request as the upstream knows it.
      asked_at: When the request was sent that was granted last.
      cancelled: Whether the job was cancelled because the permit ended.
      may_count_it: Nodes that may count it as granted: the one that granted
        it, and those whose answer did not come.
      last_asked_at: When a grantor was asked last, granted or not.
    """

    upstream: ids.UpstreamId
    permit: str
    request_id: str
    asked_at: float = 0.0
    cancelled: bool = False
    may_count_it: set[ids.NodeId] = dataclasses.field(default_factory=set)
    last_asked_at: float = 0.0


class Permits:
    """Grants permits for held shards and acquires them for this node."""

    def __init__(self, node, registry, engine):
        self._clock = node.environment.clock
        self._node_id: ids.NodeId = node.settings.node
        self._incarnation = node.incarnation
        self._shards = node.settings.shards
        self._configuration = node.configuration
        self._leases = node.leases
        self._peers = node.peers
        self._address = node.peer_address
        self._registry = registry
        self._engine = engine
        self._ledgers: dict[
            ids.UpstreamId, tuple[ids.Epoch, policy.PermitLedger]
        ] = {}
        self._cleared: dict[ids.UpstreamId, ids.Epoch] = {}
        self._owned: dict[str, Owned] = {}
        self._acquired = 0
        self._ended: list[tuple[Owned, bool]] = []
        self._wake = anyio.Event()
        node.peer_server.register(
            messages.MessageKind.ACQUIRE_PERMIT, self._on_acquire
        )
        node.peer_server.register(
            messages.MessageKind.RELEASE_PERMIT, self._on_release
        )

    @contextlib.asynccontextmanager
    async def acquire(self, upstream: ids.UpstreamId, request_id: str):
        """Yields a permit, or None when it was refused.

        Args:
          upstream: The cold upstream.
          request_id: The request as the upstream will know it.
        """
        # A resumed stream has the same request id as before, and its first
        # permit may be released after the second one was granted.
        self._acquired += 1
        permit = f'{request_id}{_SEPARATOR}{self._acquired}'
        owned = Owned(upstream, permit, request_id)
        if not await self._ask(owned):
            # The grant's reply may have been lost.
            self._note_ended(owned, clean=True)
            yield None
            return
        self._owned[permit] = owned
        clean = False
        try:
            yield owned
            clean = not owned.cancelled
        finally:
            del self._owned[permit]
            self._note_ended(owned, clean)

    def usable(self, owned: Owned) -> bool:
        """Tells whether a job may start under a permit now."""
        now = self._clock.now()
        return not owned.cancelled and policy.usable(
            now, owned.asked_at, policy.TTL_S
        )

    async def run(self) -> None:
        """Prolongs, cancels and releases permits."""
        while True:
            await self.tick()
            await self._pause()

    async def tick(self) -> None:
        """Prolongs, cancels and releases the permits that are due."""
        ended, self._ended = self._ended, []
        async with anyio.create_task_group() as tasks:
            for owned, clean in ended:
                tasks.start_soon(self._give_back, owned, clean)
            for owned in list(self._owned.values()):
                tasks.start_soon(self._look_after, owned)
            for upstream in list(self._ledgers):
                tasks.start_soon(self._revoke_expired, upstream)

    def _note_ended(self, owned: Owned, clean: bool) -> None:
        self._ended.append((owned, clean))
        self._wake.set()

    async def _pause(self) -> None:
        with anyio.move_on_after(TICK_S):
            await self._wake.wait()
        self._wake = anyio.Event()

    async def _give_back(self, owned: Owned, clean: bool) -> None:
        resumed = any(
            item.request_id == owned.request_id for item in self._owned.values()
        )
        if not clean and not resumed:
            # The job may still run although its connection is closed.
            try:
                await self._engine(owned.upstream).cancel(owned.request_id)
            except enginecontrol.ControlError:
                return
            clean = True
        message = ttypes.ReleasePermit(
            upstream=owned.upstream,
            permit=f'{self._incarnation}/{owned.permit}',
        )
        for node in list(owned.may_count_it):
            if node == self._node_id:
                self._release(message)
            elif not await self._send(
                node, messages.MessageKind.RELEASE_PERMIT, message
            ):
                continue
            owned.may_count_it.discard(node)
        if not owned.may_count_it:
            return
        if self._clock.now() < owned.last_asked_at + policy.TTL_S:
            # Not by _note_ended: the next tick is soon enough.
            self._ended.append((owned, clean))

    async def _look_after(self, owned: Owned) -> None:
        now = self._clock.now()
        if now >= owned.asked_at + policy.TTL_S / 2:
            await self._ask(owned)
        if self.usable(owned):
            return
        owned.cancelled = True
        with contextlib.suppress(enginecontrol.ControlError):
            await self._engine(owned.upstream).cancel(owned.request_id)

    async def _ask(self, owned: Owned) -> bool:
        name = self._shard(owned.upstream)
        holder = await self._leases.find_holder(name)
        asked = [holder] if holder else self._leases.preferred_members(name)
        message = ttypes.AcquirePermit(
            upstream=owned.upstream,
            request_id=owned.permit,
            ttl_ms=int(policy.TTL_S * 1000),
        )
        for node in asked[: lease_policy.WATCHERS]:
            asked_at = owned.last_asked_at = self._clock.now()
            if node == self._node_id:
                reply = self._grant_local(message)
            else:
                kind = messages.MessageKind.ACQUIRE_PERMIT
                reply = await self._send(node, kind, message)
            if reply is None:
                if node != self._node_id:
                    # It may have granted, or may do so when it wakes up.
                    owned.may_count_it.add(node)
                self._leases.forget_holder(name)
                continue
            # Only the holder answers, so this needs no row of the platform.
            self._leases.note_holder(name, node)
            if reply.granted:
                owned.asked_at = asked_at
                owned.may_count_it.add(node)
            else:
                retry_s = max(RETRY_S, reply.retry_after_ms / 1000)
                self._registry.get(owned.upstream).refused_until = (
                    self._clock.now() + retry_s
                )
            return reply.granted
        self._registry.get(owned.upstream).refused_until = (
            self._clock.now() + ASK_TIMEOUT_S
        )
        return False

    async def _send(
        self, node: ids.NodeId, kind: messages.MessageKind, message
    ):
        address = self._address(node)
        if address is None:
            return None
        try:
            return await self._peers.call(address, kind, message, ASK_TIMEOUT_S)
        except wire_errors.WireError:
            return None

    def _grant_local(self, message) -> ttypes.AcquirePermitReply | None:
        try:
            return self._grant(self._incarnation, message)
        except NotHolder:
            return None

    async def _on_acquire(self, sender, message):
        return self._grant(sender.incarnation, message)

    async def _on_release(self, sender, message):
        del sender
        return self._release(message)

    def _grant(self, incarnation, message) -> ttypes.AcquirePermitReply:
        upstream = ids.UpstreamId(message.upstream)
        hold = self._leases.held_lease(self._shard(upstream))
        if hold is None:
            raise NotHolder(f'the shard of {upstream} is not held')
        configured = self._configuration.config.upstreams.get(upstream)
        unusable = self._registry.state(upstream) in _UNUSABLE
        ledger = self._ledger(upstream, hold.epoch)
        permit = f'{incarnation}/{message.request_id}'
        granted = (
            configured is not None
            and not unusable
            and self._may_grant(upstream, hold, ledger)
            and ledger.grant(
                self._clock.now(),
                permit,
                message.request_id.rpartition(_SEPARATOR)[0],
                message.ttl_ms / 1000,
                configured.cold_limit,
            )
        )
        return ttypes.AcquirePermitReply(
            granted=granted,
            retry_after_ms=int(RETRY_S * 1000),
            epoch=hold.epoch,
            permit=permit,
        )

    def _ledger(self, upstream, epoch: ids.Epoch) -> policy.PermitLedger:
        known = self._ledgers.get(upstream)
        if known is None or known[0] != epoch:
            known = self._ledgers[upstream] = (epoch, policy.PermitLedger())
        return known[1]

    def _may_grant(self, upstream, hold, ledger: policy.PermitLedger) -> bool:
        now = self._clock.now()
        health = self._registry.get(upstream)
        quiet_until = hold.acquired_at + policy.TTL_S
        recent = now - health.reported_at <= CLEARANCE_AGE_S
        if (
            recent
            and health.reported_at >= quiet_until
            and health.reported <= ledger.count
        ):
            self._cleared[upstream] = hold.epoch
        cleared = self._cleared.get(upstream) == hold.epoch
        return policy.may_grant(now, hold.epoch, hold.acquired_at, cleared)

    def _release(self, message) -> ttypes.ReleasePermitReply:
        upstream = ids.UpstreamId(message.upstream)
        hold = self._leases.held_lease(self._shard(upstream))
        if hold is not None:
            # The release may come before the request that it follows.
            self._ledger(upstream, hold.epoch)
        known = self._ledgers.get(upstream)
        released = known is not None and known[1].release(
            message.permit, self._clock.now()
        )
        return ttypes.ReleasePermitReply(released=released)

    async def _revoke_expired(self, upstream: ids.UpstreamId) -> None:
        epoch, ledger = self._ledgers[upstream]
        if self._leases.held_epoch(self._shard(upstream)) != epoch:
            return
        for permit in ledger.expired(self._clock.now()):
            try:
                await self._engine(upstream).cancel(permit.request_id)
            except enginecontrol.ControlError as error:
                events.log(
                    events.Event.PERMIT_REFUSED,
                    upstream=upstream,
                    permit=permit.permit_id,
                    error=str(error),
                )
                return
            ledger.release(permit.permit_id, self._clock.now())

    def _shard(self, upstream: ids.UpstreamId) -> ids.LeaseName:
        return lease_policy.shard_lease_name(upstream, self._shards)
