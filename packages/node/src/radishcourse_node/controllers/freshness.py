"""Whether this node's view is fresh enough to start new work."""

from radishcourse_policy import freshness as policy

from radishcourse_node import events


class Freshness:
    """Keeps the last confirmation of the revision and peers' evidence.

    Args:
      clock: The node's clock.
    """

    def __init__(self, clock):
        self._clock = clock
        self._confirmed_at: float | None = None
        self._platform_reached = False
        self._sample_size = 0
        self._evidence: dict[str, policy.Evidence] = {}
        self._revision = 0
        self._view = policy.View.STALE

    @property
    def confirmed_at(self) -> float | None:
        """When the read was sent that last confirmed the revision."""
        return self._confirmed_at

    @property
    def platform_reached(self) -> bool:
        """Whether the last call to the platform was answered."""
        return self._platform_reached

    @property
    def view(self) -> policy.View:
        """What the node may do with its view now."""
        view = policy.judge(
            self._clock.now(),
            self._confirmed_at,
            self._revision,
            self._sample_size,
            list(self._evidence.values()),
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

    def note_platform(self, reached: bool) -> None:
        """Notes whether a call to the platform was answered."""
        self._platform_reached = reached
