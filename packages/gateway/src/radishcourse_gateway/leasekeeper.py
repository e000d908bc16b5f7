"""Keeps the lease of one duty, and limits the calls that it allows.

`radishcourse_policy.dutylease` decides when to read and write the lease's row.
"""

import contextlib
import functools
import secrets

import anyio

from radishcourse_gateway import dutyrows
from radishcourse_gateway import peerstate
from radishcourse_node import events
from radishcourse_platform import errors as platform_errors
from radishcourse_policy import dutylease
from radishcourse_policy import loadbalancing

# Pause between two looks at a lease; well below a third of the shortest one.
KEEP_INTERVAL_S = 0.1
# The rank takes a hash for each node.
RANK_INTERVAL_S = 1.0
# Weights of nodes that are kept: twice the largest fleet.
MAX_WEIGHTS = 2048
# Pauses after a failed call to the store, doubled with each one.
MIN_RETRY_S = 0.2
MAX_RETRY_S = 2.0
# A holder whose calls get no response leaves the duty to others for so many
# leases, doubled each time: the second interface may be down for all nodes.
DECLINE_LEASES = 4
MAX_DECLINE_LEASES = 64
# Least time between two log lines of a failing store.
LOG_INTERVAL_S = 5.0
# Errors after which another node would get no further.
_RESPONDED = (platform_errors.RateLimited, platform_errors.UnexpectedResponse)


class _Calls:
    """Calls of one duty to the second interface.

    Attributes:
      next_at: When the next call may be sent.
      failing_since: When the first of the calls began that got no response
        since the last one did; None if that was the last one.
      decline_leases: For how many leases the duty is left to others next.
    """

    def __init__(self):
        self.next_at = 0.0
        self.failing_since: float | None = None
        self.decline_leases = DECLINE_LEASES


class LeaseKeeper:
    """Keeps one lease.

    Args:
      gateway: Provides the settings, store and peers.
      duty: The duty.

    Attributes:
      lease: What is known of the lease.
    """

    def __init__(self, gateway, duty: dutylease.Duty):
        self._gateway = gateway
        self._duty = duty
        self._clock = gateway.environment.clock
        self._random = gateway.environment.random
        self._store = gateway.store
        self._peers = gateway.peers
        settings = gateway.current_settings.value
        self._node = settings.node
        self.lease = dutylease.Lease(
            self._node, settings.bounds.lease_s, self._clock.now()
        )
        self._calls = _Calls()
        self._token: int | None = None
        self._rank, self._ranked_at = 0, float('-inf')
        self._logged_at = float('-inf')

    @property
    def _bounds(self):
        return self._gateway.current_settings.value.bounds

    @property
    def holder(self) -> str:
        """The node that holds the lease as far as known, or nothing."""
        return self.lease.news.holder if self.lease.news else ''

    @property
    def holder_peer(self) -> peerstate.Peer | None:
        """The holder, if it is another node that this one knows."""
        return self._peers.find(self.holder)

    @property
    def candidates(self) -> list[peerstate.Peer]:
        """The other live nodes, those first that would take over."""
        return sorted(
            self._peers.alive, key=lambda peer: -_weight(self._duty, peer.node)
        )

    @property
    def rank(self) -> int:
        """Position of this node among those that may take over, from 0."""
        now = self._clock.now()
        if now - self._ranked_at >= RANK_INTERVAL_S:
            own = _weight(self._duty, self._node)
            self._ranked_at, self._rank = (
                now,
                sum(
                    _weight(self._duty, peer.node) > own
                    for peer in self._peers.alive
                ),
            )
        return self._rank

    @property
    def _max_retry_s(self) -> float:
        """Longest pause after failed calls to the store.

        It grows with the rank, so that many nodes do not ask a store that is
        down all the time.
        """
        if self.lease.token is not None:
            return MAX_RETRY_S
        return MAX_RETRY_S * max(1.0, self.rank / dutylease.WATCHERS)

    def may_act(self, token: int) -> bool:
        """Tells whether this node may act now in its term with a token."""
        return self.lease.may_act(self._clock.now(), token)

    async def run(self) -> None:
        """Keeps the lease until cancelled."""
        retry_s = MIN_RETRY_S
        while True:
            pause_s = KEEP_INTERVAL_S
            try:
                await self._advance()
                retry_s = MIN_RETRY_S
            except platform_errors.PlatformError as error:
                self.log_failure(error)
                pause_s = retry_s * (0.5 + self._random.random())
                retry_s = min(self._max_retry_s, 2 * retry_s)
            self.log_term()
            await anyio.sleep(pause_s)

    async def _advance(self) -> None:
        """Makes the call to the store that is due for a lease, if any."""
        lease, now, rank = self.lease, self._clock.now(), self.rank
        if lease.token is not None and self._should_release(now):
            await self.release()
        elif lease.should_read(now, rank):
            key = dutyrows.lease_key(self._duty)
            row = await self._store.read_row(key.table, key.key)
            lease.note_row(dutyrows.decode_lease(row), now, self._clock.now())
        elif lease.should_renew(now):
            await self._write(lease.begin_renewal(now), now)
        elif not self._gateway.draining and lease.may_acquire(now, rank):
            nonce = secrets.token_hex(8)
            await self._write(lease.begin_acquisition(now, nonce), now)

    async def _write(self, write, sent_at: float) -> None:
        lease = self.lease
        try:
            position = await self._write_row(write)
        except platform_errors.Conflict:
            lease.note_conflict()
        except platform_errors.PlatformError:
            lease.note_unclear()
            raise
        else:
            lease.note_written(position, sent_at, self._clock.now())

    async def _write_row(self, write: dutylease.Write):
        key = dutyrows.lease_key(self._duty)
        value = dutyrows.encode_lease(write.row, self._peers.incarnation)
        return await self._store.write_rows(
            {key: write.expected.version}, {key: value}
        )

    def _should_release(self, now: float) -> bool:
        """Tells whether another node is to take over this node's duty."""
        if not self._peers.alive:
            return False
        since = self._calls.failing_since
        return self._gateway.draining or (
            since is not None and now - since > self._bounds.lease_s
        )

    async def release(self) -> None:
        """Ends this node's term and leaves the duty to others for a time.

        Raises:
          PlatformError: The store did not respond; the lease ends by itself.
        """
        lease, calls, now = self.lease, self._calls, self._clock.now()
        decline_s = calls.decline_leases * self._bounds.lease_s
        lease.decline(now, decline_s)
        calls.failing_since = None
        calls.decline_leases = min(MAX_DECLINE_LEASES, 2 * calls.decline_leases)
        try:
            position = await self._write_row(lease.begin_release(now))
        except platform_errors.Conflict:
            # Another node has taken over already.
            return
        lease.note_released(position, self._clock.now())

    async def wait_turn(self) -> None:
        """Waits until the rate of calls of all nodes allows one.

        Holders share the rate, as each duty may be held by another node. After
        a pause of the process it also waits until calls count again.
        """
        calls, now = self._calls, self._clock.now()
        settings = self._gateway.current_settings.value
        resumed_at = self._gateway.timeouts.lateness.resumed_at
        at = max(now, calls.next_at, resumed_at + settings.bounds.thaw_s)
        calls.next_at = at + len(settings.duties) / settings.duties_per_s
        await anyio.sleep(at - now)

    @contextlib.contextmanager
    def watch_call(self):
        """Returns a context that records a call to the second interface."""
        calls, began_at = self._calls, self._clock.now()
        try:
            yield
        except platform_errors.PlatformError as error:
            events.log(
                events.Event.DUTY_CALL_FAILED,
                duty=self._duty.value,
                error=str(error),
                code=error.code,
                seconds=round(self._clock.now() - began_at, 3),
            )
            if isinstance(error, _RESPONDED):
                calls.failing_since = None
            elif calls.failing_since is None:
                calls.failing_since = began_at
            raise
        calls.failing_since = None
        calls.decline_leases = DECLINE_LEASES

    def log_failure(self, error: Exception) -> None:
        """Logs that the store failed, at most every LOG_INTERVAL_S."""
        if self._clock.now() - self._logged_at < LOG_INTERVAL_S:
            return
        self._logged_at = self._clock.now()
        events.log(
            events.Event.DUTY_FAILED, duty=self._duty.value, error=str(error)
        )

    def log_term(self) -> None:
        """Logs the begin or end of a term of this node."""
        before, lease = self._token, self.lease
        if before == lease.token:
            return
        self._token = lease.token
        if before is not None:
            events.log(
                events.Event.DUTY_LOST,
                duty=self._duty.value,
                token=before,
                holder=self.holder,
                draining=self._gateway.draining,
            )
        if lease.token is not None:
            events.log(
                events.Event.DUTY_ACQUIRED,
                duty=self._duty.value,
                token=lease.token,
            )


@functools.lru_cache(MAX_WEIGHTS)
def _weight(duty: dutylease.Duty, node: str) -> float:
    return loadbalancing.rendezvous_weight(f'duty/{duty.value}', node)
