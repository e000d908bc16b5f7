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
      fresh: Whether the peer's own confirmation was fresh.
    """

    asked_at: float
    revision: ids.Revision
    fresh: bool


def judge(
    now: float,
    confirmed_at: float | None,
    revision: ids.Revision,
    sample_size: int,
    evidence: list[Evidence],
) -> View:
    """Tells whether new work may start.

    Args:
      now: Time by our clock, in seconds.
      confirmed_at: When the read was sent that last confirmed our revision
        as the newest, or None.
      revision: Our revision.
      sample_size: How many peers were asked.
      evidence: The latest answer of each peer that answered.

    Returns:
      CONFIRMED or OUTAGE when new work may start, else STALE.
    """
    if confirmed_at is not None and now - confirmed_at <= FRESH_S:
        return View.CONFIRMED
    recent = [item for item in evidence if now - item.asked_at <= FRESH_S]
    if any(item.fresh or item.revision > revision for item in recent):
        return View.STALE
    if sample_size and len(recent) * 2 > sample_size:
        return View.OUTAGE
    return View.STALE
