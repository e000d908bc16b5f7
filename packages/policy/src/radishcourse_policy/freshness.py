"""Whether a node's view of the configuration is fresh enough to act on.

While the platform is down no change can be accepted, so an old view is
harmless then; while a node is merely cut off, changes may be accepted
without it. A node tells the two apart by its peers.
"""

import dataclasses
import enum

from radishcourse_model import ids

# A withdrawn version may receive no new work 3 s after acceptance; this
# leaves 0.5 s for one poll of the head.
FRESH_S = 2.5
MIN_POLL_S = 0.5
# Reads of the head that the fleet as a whole may cost the platform.
MAX_POLLS_PER_S = 200
# In a large fleet a node polls before its turn when its confirmation is so
# old; the polls of all would else show an outage only after 2.5 s.
EARLY_POLL_S = 1.75
# A peer that the platform answers polled it not longer ago than this.
RECENT_POLL_S = 1.0


class View(enum.Enum):
    """What a node may do with its view."""

    CONFIRMED = 'confirmed'
    OUTAGE = 'outage'
    STALE = 'stale'


@dataclasses.dataclass(frozen=True)
class Evidence:
    """What one peer said about its own view.

    Attributes:
      asked_at: When we sent the question, by our clock, in seconds.
      revision: The peer's revision.
      reached: Whether the platform answers the peer.
      confirmed_at: When, by our clock, the peer's view was confirmed last.
    """

    asked_at: float
    revision: ids.Revision
    reached: bool
    confirmed_at: float | None = None

    def shows_platform(self, now: float) -> bool:
        """Tells whether this still shows that the platform is up.

        The answer of a peer that was lost since must not count for longer
        than the confirmation that was adopted with it; otherwise service
        would pause between the two at the start of an outage.
        """
        if not self.reached:
            return False
        known = self.confirmed_at
        if known is None or self.asked_at - known > RECENT_POLL_S:
            known = self.asked_at
        return now - known <= FRESH_S


def judge(
    now: float,
    confirmed_at: float | None,
    revision: ids.Revision,
    sample: frozenset[ids.NodeId],
    evidence: dict[ids.NodeId, Evidence],
    changing: bool,
) -> View:
    """Tells whether new work may start.

    A peer that the platform answers, or that has a newer revision, shows
    that changes may have been accepted that this node lacks.

    Args:
      now: Time by our clock, in seconds.
      confirmed_at: When the read was sent that last confirmed our revision
        as the newest, or None.
      revision: Our revision.
      sample: The peers whose majority counts.
      evidence: The latest answer of each peer that answered.
      changing: Whether this node itself knows that changes may have been
        accepted: the platform answers it, or it heard of a newer revision.

    Returns:
      CONFIRMED or OUTAGE when new work may start, else STALE.
    """
    if confirmed_at is not None and now - confirmed_at <= FRESH_S:
        return View.CONFIRMED
    recent = {
        node: item
        for node, item in evidence.items()
        if now - item.asked_at <= FRESH_S
    }
    if changing or any(
        item.shows_platform(now) or item.revision > revision
        for item in recent.values()
    ):
        return View.STALE
    agreeing = sum(
        recent[node].revision == revision for node in sample if node in recent
    )
    return View.OUTAGE if agreeing * 2 > len(sample) else View.STALE


def confirmed_by_peer(asked_at: float, age_ms: int | None) -> float | None:
    """Returns the time, by our clock, of a confirmation that a peer tells.

    The peer measured the age after we asked, so counting it from the time
    at which we asked can only make the confirmation look older than it is.
    """
    if age_ms is None or age_ms < 0:
        return None
    return asked_at - age_ms / 1000


def poll_is_due(
    now: float,
    polled_at: float,
    confirmed_at: float | None,
    nodes: int,
    minimum_s: float = MIN_POLL_S,
) -> bool:
    """Tells whether a node reads the head now.

    Args:
      now: Time by our clock, in seconds.
      polled_at: When the last read was sent.
      confirmed_at: When the read was sent that last confirmed the revision.
      nodes: Size of the fleet.
      minimum_s: Least time between reads, in seconds.
    """
    interval = poll_interval(nodes, minimum_s)
    if confirmed_at is None or now - confirmed_at >= EARLY_POLL_S:
        interval = minimum_s
    return now - polled_at >= interval


def poll_interval(nodes: int, minimum_s: float = MIN_POLL_S) -> float:
    """Returns the time between a node's reads of the head, in seconds."""
    return max(minimum_s, nodes / MAX_POLLS_PER_S)
