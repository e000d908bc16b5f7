"""Permits to send one request to an upstream in a cold start.

The holder of the lease of the upstream's shard grants them. Three rules keep a
job that outlives its permit from exceeding the limit: its owner cancels it at
the upstream before the permit expires; the grantor counts a permit that was
not released until it has cancelled the job itself; a new grantor waits until
all permits of earlier grantors have expired and the upstream reports no work
beyond the new grantor's permits.
"""

import contextlib
import dataclasses

import anyio

from radishcourse_model import ids
from radishcourse_node import enginecontrol
from radishcourse_node import errors
from radishcourse_node import events
from radishcourse_policy import leases as lease_policy
from radishcourse_policy import permits as policy
from radishcourse_wire import errors as wire_errors
from radishcourse_wire import messages
from radishcourse_wire.gen.peer import ttypes

TICK_S = 0.25
REQUEST_TIMEOUT_S = 0.5
RETRY_S = 0.1
# Older load reports are ignored when a new grantor checks that no job of an
# earlier grantor is still running.
CLEARANCE_MAX_AGE_S = 1.0
_SEPARATOR = '#'


class NotHolder(errors.NodeError):
    """This node does not hold the lease of the upstream's shard."""

    code = 'not_holder'


@dataclasses.dataclass
class OwnedPermit:
    """A permit that this node requested. Times are by this node's clock.

    Attributes:
      upstream: The upstream.
      permit_id: Id, unique on this node. This node chooses it, so that it can
        release the permit when the grantor's reply is lost.
      request_id: Id of the job's request at the upstream.
      granted_request_at: When the last request for it that was granted was
        sent.
      cancelled: Whether the job was cancelled because the permit expired.
      possible_grantors: Nodes that may count it as granted: the one that
        granted it, and those that did not reply.
      last_request_at: When the last request for it was sent, granted or not.
    """

    upstream: ids.UpstreamId
    permit_id: str
    request_id: str
    granted_request_at: float = 0.0
    cancelled: bool = False
    possible_grantors: set[ids.NodeId] = dataclasses.field(default_factory=set)
    last_request_at: float = 0.0


class Permits:
    """Grants permits for held shards and acquires permits for this node."""

    def __init__(self, node, registry, availability, engine):
        self._clock = node.environment.clock
        self._node_id: ids.NodeId = node.settings.node
        self._incarnation = node.incarnation
        self._shards = node.settings.shards
        self._configuration = node.configuration
        self._leases = node.leases
        self._peers = node.peers
        self._address = node.peer_address
        self._registry = registry
        self._availability = availability
        self._engine = engine
        self._ledgers: dict[
            ids.UpstreamId, tuple[ids.Epoch, policy.PermitLedger]
        ] = {}
        self._cleared: dict[ids.UpstreamId, ids.Epoch] = {}
        self._owned: dict[str, OwnedPermit] = {}
        self._acquire_count = 0
        self._to_release: list[tuple[OwnedPermit, bool]] = []
        self._wake = anyio.Event()
        node.peer_server.register(
            messages.MessageKind.ACQUIRE_PERMIT, self._on_acquire
        )
        node.peer_server.register(
            messages.MessageKind.RELEASE_PERMIT, self._on_release
        )

    @contextlib.asynccontextmanager
    async def acquire(self, upstream: ids.UpstreamId, request_id: str):
        """Yields a permit, or None if it was refused.

        Args:
          upstream: The cold upstream.
          request_id: Id of the job's request at the upstream.
        """
        # A resumed stream has the same request id as before, and its first
        # permit may be released after the second one was granted.
        self._acquire_count += 1
        permit_id = f'{request_id}{_SEPARATOR}{self._acquire_count}'
        owned = OwnedPermit(upstream, permit_id, request_id)
        if not await self._request(owned):
            # It may have been granted, but the reply lost.
            self._queue_release(owned, job_ended=True)
            yield None
            return
        self._owned[permit_id] = owned
        job_ended = False
        try:
            yield owned
            job_ended = not owned.cancelled
        finally:
            del self._owned[permit_id]
            self._queue_release(owned, job_ended)

    def usable(self, owned: OwnedPermit) -> bool:
        """Tells whether a job may start under a permit now."""
        now = self._clock.now()
        return not owned.cancelled and policy.usable(
            now, owned.granted_request_at, policy.TTL_S
        )

    async def run(self) -> None:
        """Extends, cancels and releases permits until cancelled."""
        while True:
            await self.tick()
            await self._wait_for_tick()

    async def tick(self) -> None:
        """Extends, cancels and releases the permits that are due."""
        to_release, self._to_release = self._to_release, []
        async with anyio.create_task_group() as tasks:
            for owned, job_ended in to_release:
                tasks.start_soon(self._release_owned, owned, job_ended)
            for owned in list(self._owned.values()):
                tasks.start_soon(self._extend_or_cancel, owned)
            for upstream in list(self._ledgers):
                tasks.start_soon(self._revoke_expired, upstream)

    def _queue_release(self, owned: OwnedPermit, job_ended: bool) -> None:
        self._to_release.append((owned, job_ended))
        self._wake.set()

    async def _wait_for_tick(self) -> None:
        with anyio.move_on_after(TICK_S):
            await self._wake.wait()
        self._wake = anyio.Event()

    async def _release_owned(self, owned: OwnedPermit, job_ended: bool) -> None:
        resumed = any(
            item.request_id == owned.request_id for item in self._owned.values()
        )
        if not job_ended and not resumed:
            # The job may still run although its connection is closed.
            try:
                await self._engine(owned.upstream).cancel(owned.request_id)
            except enginecontrol.ControlError:
                return
            job_ended = True
        message = ttypes.ReleasePermit(
            upstream=owned.upstream,
            permit=f'{self._incarnation}/{owned.permit_id}',
        )
        for node in list(owned.possible_grantors):
            if node == self._node_id:
                self._release_granted(message)
            elif not await self._send(
                node, messages.MessageKind.RELEASE_PERMIT, message
            ):
                continue
            owned.possible_grantors.discard(node)
        if not owned.possible_grantors:
            return
        if self._clock.now() < owned.last_request_at + policy.TTL_S:
            # Not by _queue_release, which would wake the loop at once.
            self._to_release.append((owned, job_ended))

    async def _extend_or_cancel(self, owned: OwnedPermit) -> None:
        now = self._clock.now()
        if now >= owned.granted_request_at + policy.TTL_S / 2:
            await self._request(owned)
        if self.usable(owned):
            return
        owned.cancelled = True
        with contextlib.suppress(enginecontrol.ControlError):
            await self._engine(owned.upstream).cancel(owned.request_id)

    async def _request(self, owned: OwnedPermit) -> bool:
        name = self._lease_name(owned.upstream)
        holder = await self._leases.find_holder(name)
        candidates = (
            [holder] if holder else self._leases.preferred_members(name)
        )
        message = ttypes.AcquirePermit(
            upstream=owned.upstream,
            request_id=owned.permit_id,
            ttl_ms=int(policy.TTL_S * 1000),
        )
        for node in candidates[: lease_policy.WATCHERS]:
            sent_at = owned.last_request_at = self._clock.now()
            if node == self._node_id:
                reply = self._grant_local(message)
            else:
                kind = messages.MessageKind.ACQUIRE_PERMIT
                reply = await self._send(node, kind, message)
            if reply is None:
                if node != self._node_id:
                    # It may have granted the permit, or may still do so when a
                    # pause of its process ends.
                    owned.possible_grantors.add(node)
                self._leases.forget_holder(name)
                continue
            # Only the holder replies, so there is no need to read the lease.
            self._leases.note_holder(name, node)
            if reply.granted:
                owned.granted_request_at = sent_at
                owned.possible_grantors.add(node)
            else:
                retry_s = max(RETRY_S, reply.retry_after_ms / 1000)
                self._registry.get(owned.upstream).refused_until = (
                    self._clock.now() + retry_s
                )
            return reply.granted
        self._registry.get(owned.upstream).refused_until = (
            self._clock.now() + REQUEST_TIMEOUT_S
        )
        return False

    async def _send(
        self, node: ids.NodeId, kind: messages.MessageKind, message
    ):
        address = self._address(node)
        if address is None:
            return None
        try:
            return await self._peers.call(
                address, kind, message, REQUEST_TIMEOUT_S
            )
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
        return self._release_granted(message)

    def _grant(self, incarnation, message) -> ttypes.AcquirePermitReply:
        upstream = ids.UpstreamId(message.upstream)
        lease = self._leases.held_lease(self._lease_name(upstream))
        if lease is None:
            raise NotHolder(
                f'this node does not hold the lease of the shard of {upstream}'
            )
        configured = self._configuration.config.upstreams.get(upstream)
        ledger = self._ledger(upstream, lease.epoch)
        permit_id = f'{incarnation}/{message.request_id}'
        granted = (
            configured is not None
            and self._availability.may_use(upstream)
            and self._may_grant(upstream, lease, ledger)
            and ledger.grant(
                self._clock.now(),
                permit_id,
                message.request_id.rpartition(_SEPARATOR)[0],
                message.ttl_ms / 1000,
                configured.cold_limit,
            )
        )
        return ttypes.AcquirePermitReply(
            granted=granted,
            retry_after_ms=int(RETRY_S * 1000),
            epoch=lease.epoch,
            permit=permit_id,
        )

    def _ledger(self, upstream, epoch: ids.Epoch) -> policy.PermitLedger:
        known = self._ledgers.get(upstream)
        if known is None or known[0] != epoch:
            known = self._ledgers[upstream] = (epoch, policy.PermitLedger())
        return known[1]

    def _may_grant(self, upstream, lease, ledger: policy.PermitLedger) -> bool:
        now = self._clock.now()
        health = self._registry.get(upstream)
        earlier_expired_at = lease.acquired_at + policy.TTL_S
        recent = now - health.reported_at <= CLEARANCE_MAX_AGE_S
        if (
            recent
            and health.reported_at >= earlier_expired_at
            and health.reported <= ledger.count
        ):
            self._cleared[upstream] = lease.epoch
        cleared = self._cleared.get(upstream) == lease.epoch
        return policy.may_grant(now, lease.epoch, lease.acquired_at, cleared)

    def _release_granted(self, message) -> ttypes.ReleasePermitReply:
        upstream = ids.UpstreamId(message.upstream)
        lease = self._leases.held_lease(self._lease_name(upstream))
        if lease is not None:
            # The release may overtake the request for the permit, so it is
            # noted even if no permit was granted yet.
            self._ledger(upstream, lease.epoch)
        known = self._ledgers.get(upstream)
        released = known is not None and known[1].release(
            message.permit, self._clock.now()
        )
        return ttypes.ReleasePermitReply(released=released)

    async def _revoke_expired(self, upstream: ids.UpstreamId) -> None:
        epoch, ledger = self._ledgers[upstream]
        if self._leases.held_epoch(self._lease_name(upstream)) != epoch:
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

    def _lease_name(self, upstream: ids.UpstreamId) -> ids.LeaseName:
        return lease_policy.shard_lease_name(upstream, self._shards)
