"""Whether a node's view of the configuration is fresh enough to act on.

While the platform is down it accepts no change, so an old view is harmless.
While only this node is cut off, the platform may accept changes that the node
does not see. A node tells the two cases apart by the answers of its peers.
"""

import dataclasses
import enum

from radishcourse_model import ids

# No new work may start on a withdrawn version later than 3 s after the change
# was accepted; this leaves 0.5 s for one poll of the head revision.
MAX_CONFIRMATION_AGE_S = 2.5
MIN_POLL_INTERVAL_S = 0.5
# Limit on reads of the head revision by the whole fleet.
MAX_POLLS_PER_S = 200
# In a large fleet a node polls early when its confirmation is this old;
# otherwise the fleet would notice an outage only after 2.5 s.
EARLY_POLL_AGE_S = 1.75
# A peer that the platform answers has polled it within this time.
MAX_PEER_POLL_AGE_S = 1.0


class View(enum.Enum):
    """Freshness of a node's view; new work may start unless it is STALE."""

    CONFIRMED = 'confirmed'
    OUTAGE = 'outage'
    STALE = 'stale'


@dataclasses.dataclass(frozen=True)
class Evidence:
    """A peer's report on its own view.

    Attributes:
      asked_at: When the request was sent, by the local clock, in seconds.
      revision: The peer's revision.
      platform_reached: Whether the platform answers the peer.
      confirmed_at: When the peer's view was last confirmed, by the local
        clock, in seconds; None if unknown.
    """

    asked_at: float
    revision: ids.Revision
    platform_reached: bool
    confirmed_at: float | None = None

    def shows_platform_up(self, now: float) -> bool:
        """Tells whether this still shows that the platform is up.

        The report of a peer that has since become unreachable must not count
        for longer than the confirmation adopted from it. Otherwise service
        would pause at the start of an outage, after the confirmation has
        expired and before the report has.
        """
        if not self.platform_reached:
            return False
        known = self.confirmed_at
        if known is None or self.asked_at - known > MAX_PEER_POLL_AGE_S:
            known = self.asked_at
        return now - known <= MAX_CONFIRMATION_AGE_S


def evaluate_view(
    now: float,
    confirmed_at: float | None,
    revision: ids.Revision,
    sample: frozenset[ids.NodeId],
    evidence: dict[ids.NodeId, Evidence],
    changes_possible: bool,
) -> View:
    """Tells whether new work may start.

    A peer that the platform answers, or that has a newer revision, shows
    that the platform may have accepted changes that this node lacks.

    Args:
      now: Time by the local clock, in seconds.
      confirmed_at: When the read was sent that last confirmed the local
        revision as the newest, or None.
      revision: The local revision.
      sample: The peers of which a majority must agree.
      evidence: The latest report of each peer that answered.
      changes_possible: Whether this node itself knows that changes may have
        been accepted: the platform answers it, or it heard of a newer
        revision.

    Returns:
      CONFIRMED or OUTAGE when new work may start, else STALE.
    """
    if (
        confirmed_at is not None
        and now - confirmed_at <= MAX_CONFIRMATION_AGE_S
    ):
        return View.CONFIRMED
    recent = {
        node: item
        for node, item in evidence.items()
        if now - item.asked_at <= MAX_CONFIRMATION_AGE_S
    }
    if changes_possible or any(
        item.shows_platform_up(now) or item.revision > revision
        for item in recent.values()
    ):
        return View.STALE
    agreeing = sum(
        recent[node].revision == revision for node in sample if node in recent
    )
    return View.OUTAGE if agreeing * 2 > len(sample) else View.STALE


def peer_confirmed_at(asked_at: float, age_ms: int | None) -> float | None:
    """Returns when a peer's view was confirmed, by the local clock.

    The peer measured the age after the request was sent, so subtracting it
    from the time of sending can only make the confirmation look older.

    Args:
      asked_at: When the request was sent, by the local clock, in seconds.
      age_ms: Age of the confirmation that the peer reported, in ms.

    Returns:
      The time in seconds, or None for a missing or negative age.
    """
    if age_ms is None or age_ms < 0:
        return None
    return asked_at - age_ms / 1000


def poll_is_due(
    now: float,
    polled_at: float,
    confirmed_at: float | None,
    nodes: int,
    min_interval_s: float = MIN_POLL_INTERVAL_S,
) -> bool:
    """Tells whether a node should read the head revision now.

    Args:
      now: Time by the local clock, in seconds.
      polled_at: When the last read was sent.
      confirmed_at: When the read was sent that last confirmed the revision.
      nodes: Number of nodes in the fleet.
      min_interval_s: Minimum time between reads, in seconds.
    """
    interval = poll_interval(nodes, min_interval_s)
    if confirmed_at is None or now - confirmed_at >= EARLY_POLL_AGE_S:
        interval = min_interval_s
    return now - polled_at >= interval


def poll_interval(
    nodes: int, min_interval_s: float = MIN_POLL_INTERVAL_S
) -> float:
    """Returns the time between a node's polls of the head, in seconds."""
    return max(min_interval_s, nodes / MAX_POLLS_PER_S)
