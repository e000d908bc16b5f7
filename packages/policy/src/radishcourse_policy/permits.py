"""Permits for upstreams in a cold start, as the lease's holder counts them.

A permit that was not released when its life ends is not free at once: its
job may still run at the upstream, because its owner is paused or cut off.
It stays counted until the upstream has confirmed that the job is cancelled.
"""

import dataclasses

from radishcourse_model import ids

LIFE_S = 10.0
# The owner stops using a permit this long before its life ends, which
# leaves time to cancel the job and covers clocks at different rates.
MARGIN_S = 1.0


@dataclasses.dataclass
class Permit:
    """A permit that was granted.

    Attributes:
      permit: Its id.
      request_id: The request as the upstream knows it.
      expires_at: End of its life by the grantor's clock.
    """

    permit: str
    request_id: str
    expires_at: float


class Ledger:
    """Permits of one upstream during one tenure of the lease."""

    def __init__(self):
        self._permits: dict[str, Permit] = {}
        # Ended permits, each until a request for it can't be under way.
        self._ended: dict[str, float] = {}

    @property
    def count(self) -> int:
        """Permits that are granted, with those that wait to be cancelled."""
        return len(self._permits)

    def grant(
        self,
        now: float,
        permit: str,
        request_id: str,
        life_s: float,
        limit: int,
    ) -> bool:
        """Grants a permit, or prolongs one that is still alive.

        A repeated request, after a lost reply or to prolong, is the same
        permit and is counted once. One that arrives after the release, from
        a connection that was slower, grants nothing.
        """
        self._forget_ended(now)
        if permit in self._ended:
            return False
        known = self._permits.get(permit)
        if known is not None:
            if now >= known.expires_at:
                return False
            known.expires_at = now + min(life_s, LIFE_S)
            return True
        if len(self._permits) >= limit:
            return False
        expires_at = now + min(life_s, LIFE_S)
        self._permits[permit] = Permit(permit, request_id, expires_at)
        return True

    def release(self, permit: str, now: float) -> bool:
        """Ends a permit whose job is over; False if it is not known."""
        self._forget_ended(now)
        self._ended[permit] = now + LIFE_S
        return self._permits.pop(permit, None) is not None

    def _forget_ended(self, now: float) -> None:
        for permit, until in list(self._ended.items()):
            if until > now:
                return
            del self._ended[permit]

    def expired(self, now: float) -> list[Permit]:
        """Returns permits whose jobs are to be cancelled at the upstream."""
        return [
            item for item in self._permits.values() if now >= item.expires_at
        ]


def may_grant(
    now: float, epoch: ids.Epoch, acquired_at: float, cleared: bool
) -> bool:
    """Tells whether a holder of the lease may grant permits yet.

    Args:
      now: Time by the holder's clock.
      epoch: The lease's fencing token; before epoch 1 nobody granted.
      acquired_at: When it learned that it holds the lease.
      cleared: Whether the upstream reported, after all permits of earlier
        holders had ended, that it runs no work but that of own permits.
    """
    if epoch == 1:
        return True
    return cleared and now - acquired_at >= LIFE_S


def usable(now: float, asked_at: float, life_s: float) -> bool:
    """Tells whether the owner of a permit may still use it.

    Args:
      now: Time by the owner's clock.
      asked_at: When it sent the request that was granted last.
      life_s: Life that it asked for.
    """
    return now < asked_at + min(life_s, LIFE_S) - MARGIN_S
