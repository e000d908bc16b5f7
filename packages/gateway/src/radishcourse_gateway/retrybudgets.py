"""This node's share of the retry budget that the fleet has per service."""

from radishcourse_model import ids
from radishcourse_policy import retrywindow

# Share of the permitted retries that nodes use. The rest is a margin, as the
# bound is checked over sliding windows.
USABLE_SHARE = 0.8
# Fleet size that is assumed while no other node is known to be alive.
ASSUMED_FLEET_NODES = 32


class RetryBudgets:
    """Retry budgets by service.

    A node may retry a share of its own requests of the latest window. In
    addition it gets an equal share of the fleet's slack. Repeats on a larger
    model are paid from the same budget.

    Args:
      gateway: Provides the clock, settings and peers.
    """

    def __init__(self, gateway):
        self._clock = gateway.environment.clock
        self._current_settings = gateway.current_settings
        self._peers = gateway.peers
        self._windows: dict[ids.ServiceId, retrywindow.RetryWindow] = {}

    def _window(self, service: ids.ServiceId) -> retrywindow.RetryWindow:
        if service not in self._windows:
            self._windows[service] = retrywindow.RetryWindow(
                self._clock, self._current_settings.value.bounds.repeat_window_s
            )
        return self._windows[service]

    def _limits(self) -> tuple[float, float]:
        """Returns the share of its requests and the slack of this node."""
        bounds = self._current_settings.value.bounds
        fleet_size = self._peers.fleet_size or ASSUMED_FLEET_NODES
        return (
            USABLE_SHARE * bounds.repeat_share,
            USABLE_SHARE * bounds.repeat_slack / fleet_size,
        )

    def note_request(self, service: ids.ServiceId) -> None:
        """Counts a request, which permits a share of a retry."""
        self._window(service).note_request()

    def has_token(self, service: ids.ServiceId) -> bool:
        """Tells whether a retry is left."""
        return self._window(service).left(*self._limits()) >= 1

    def spend(self, service: ids.ServiceId) -> bool:
        """Counts a retry; returns False if none is left."""
        return self._window(service).spend(*self._limits())
