"""Permits for upstreams in a cold start, counted by the lease's holder.

A permit that expires before it is released still counts: its job may be
running at the upstream, because its owner is paused or cut off. It counts
until the upstream has confirmed that the job is cancelled.
"""

import dataclasses

from radishcourse_model import ids

TTL_S = 10.0
# The owner stops using a permit this long before it expires. This leaves time
# to cancel the job and allows for clocks that run at different rates.
EXPIRY_MARGIN_S = 1.0


@dataclasses.dataclass
class Permit:
    """A granted permit.

    Attributes:
      permit_id: Id, unique in the fleet.
      request_id: Id of the job's request at the upstream.
      expires_at: Expiry by the grantor's clock, in seconds.
    """

    permit_id: str
    request_id: str
    expires_at: float


class PermitLedger:
    """Permits of one upstream granted in one epoch of the lease."""

    def __init__(self):
        self._permits: dict[str, Permit] = {}
        # Released permits, each with the time after which no late request
        # for it can arrive.
        self._released: dict[str, float] = {}

    @property
    def count(self) -> int:
        """Number of granted permits, including expired ones."""
        return len(self._permits)

    def grant(
        self,
        now: float,
        permit_id: str,
        request_id: str,
        ttl_s: float,
        limit: int,
    ) -> bool:
        """Grants a permit, or extends one that has not expired.

        A request repeated after a lost reply, or to extend the permit, has the
        same id and counts once. A request that arrives after the release,
        over a slower connection, is refused.

        Args:
          now: Time by the grantor's clock, in seconds.
          permit_id: Id, unique in the fleet.
          request_id: Id of the job's request at the upstream.
          ttl_s: Requested time to live, in seconds; `TTL_S` at most.
          limit: Maximum number of permits for the upstream.

        Returns:
          Whether the permit is granted.
        """
        self._remove_old_releases(now)
        if permit_id in self._released:
            return False
        known = self._permits.get(permit_id)
        if known is not None:
            if now >= known.expires_at:
                return False
            known.expires_at = now + min(ttl_s, TTL_S)
            return True
        if len(self._permits) >= limit:
            return False
        expires_at = now + min(ttl_s, TTL_S)
        self._permits[permit_id] = Permit(permit_id, request_id, expires_at)
        return True

    def release(self, permit_id: str, now: float) -> bool:
        """Releases a permit whose job has ended; False if it is unknown."""
        self._remove_old_releases(now)
        self._released[permit_id] = now + TTL_S
        return self._permits.pop(permit_id, None) is not None

    def _remove_old_releases(self, now: float) -> None:
        for permit_id, kept_until in list(self._released.items()):
            if kept_until > now:
                return
            del self._released[permit_id]

    def expired(self, now: float) -> list[Permit]:
        """Returns expired permits, whose jobs must be cancelled."""
        return [
            item for item in self._permits.values() if now >= item.expires_at
        ]


def may_grant(
    now: float, epoch: ids.Epoch, acquired_at: float, cleared: bool
) -> bool:
    """Tells whether a new holder of the lease may grant permits yet.

    Args:
      now: Time by the holder's clock, in seconds.
      epoch: The lease's fencing token; no holder granted before epoch 1.
      acquired_at: When the holder learned that it holds the lease.
      cleared: Whether the upstream reported, after all permits of earlier
        holders had expired, that it runs no work beyond this holder's permits.
    """
    if epoch == 1:
        return True
    return cleared and now - acquired_at >= TTL_S


def usable(now: float, asked_at: float, ttl_s: float) -> bool:
    """Tells whether the owner of a permit may still use it.

    Args:
      now: Time by the owner's clock, in seconds.
      asked_at: When it sent the last request that was granted.
      ttl_s: Requested time to live, in seconds.
    """
    return now < asked_at + min(ttl_s, TTL_S) - EXPIRY_MARGIN_S
