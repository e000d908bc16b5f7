"""Freshness of this node's view of the configuration."""

from radishcourse_model import ids
from radishcourse_node import events
from radishcourse_policy import freshness as policy


class Freshness:
    """Keeps the last confirmation of the revision and the peers' reports.

    Args:
      clock: The node's clock.
    """

    def __init__(self, clock):
        self._clock = clock
        self._confirmed_at: float | None = None
        self._platform_reached = False
        self._platform_asked_at: float | None = None
        self._sample: frozenset[ids.NodeId] = frozenset()
        self._evidence: dict[ids.NodeId, policy.Evidence] = {}
        self._revision = ids.Revision(0)
        self._newest_known = ids.Revision(0)
        self._view = policy.View.STALE

    @property
    def confirmed_at(self) -> float | None:
        """When the read that last confirmed the revision was sent."""
        return self._confirmed_at

    @property
    def age_s(self) -> float | None:
        """Age of the last confirmation, in seconds."""
        if self._confirmed_at is None:
            return None
        return self._clock.now() - self._confirmed_at

    @property
    def platform_reached(self) -> bool:
        """Whether the last call to the platform was answered in time."""
        return self._platform_reached

    @property
    def sample(self) -> frozenset[ids.NodeId]:
        """The peers of which a majority must confirm an outage."""
        return self._sample

    @property
    def view(self) -> policy.View:
        """Freshness of the view now; logs a change."""
        view = policy.evaluate_view(
            self._clock.now(),
            self._confirmed_at,
            self._revision,
            self._sample,
            self._evidence,
            self._platform_reached or self._newest_known > self._revision,
        )
        if view is not self._view:
            events.log(
                events.Event.VIEW_CHANGED,
                before=self._view.value,
                view=view.value,
            )
            self._view = view
        return view

    def may_start(self) -> bool:
        """Tells whether new work may start on an upstream."""
        return self.view is not policy.View.STALE

    def confirm(self, asked_at: float) -> None:
        """Notes that the revision was the newest at `asked_at` or later."""
        if self._confirmed_at is None or asked_at > self._confirmed_at:
            self._confirmed_at = asked_at

    def set_revision(self, revision: ids.Revision) -> None:
        """Sets the revision with which peers' revisions are compared."""
        self._revision = revision

    def note_newest(self, revision: ids.Revision) -> None:
        """Notes that a revision exists that this node may lack."""
        self._newest_known = max(self._newest_known, revision)

    def note_platform(self, asked_at: float, reached: bool) -> None:
        """Notes whether a call to the platform was answered.

        Args:
          asked_at: When the call was made. Calls overlap; an earlier call
            that fails says nothing about one that was answered since.
          reached: Whether it was answered.
        """
        if (
            self._platform_asked_at is None
            or asked_at >= self._platform_asked_at
        ):
            self._platform_asked_at = asked_at
            self._platform_reached = reached

    def set_sample(self, sample: frozenset[ids.NodeId]) -> None:
        """Sets the peers of which a majority must confirm an outage."""
        self._sample = sample

    def note_peer(self, node: ids.NodeId, evidence: policy.Evidence) -> None:
        """Notes a peer's report, unless a more recent one is known."""
        known = self._evidence.get(node)
        if known is None or evidence.asked_at >= known.asked_at:
            self._evidence[node] = evidence

    def drop_old_evidence(self) -> None:
        """Drops reports that are too old to count."""
        limit = self._clock.now() - policy.MAX_CONFIRMATION_AGE_S
        self._evidence = {
            node: item
            for node, item in self._evidence.items()
            if item.asked_at >= limit
        }
