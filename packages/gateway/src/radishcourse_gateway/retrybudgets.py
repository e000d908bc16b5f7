"""This node's share of the retry budget that the fleet has per service."""

import collections

import anyio

from radishcourse_model import ids
from radishcourse_policy import retrywindow

# Share of the permitted retries that nodes use. The rest is a margin, as the
# bound is checked over sliding windows.
USABLE_SHARE = 0.8
# Fleet size that is assumed while no other node is known to be alive.
ASSUMED_FLEET_NODES = 32
# Time after a failed attempt for which repeats on a larger model leave tokens
# for more of them: the window over which the retries are bounded.
FAILURE_S = 10.0
# A stream that was moved fails within about this time, if it does, and returns;
# its token is left to it for so long.
HOLD_S = 1.0
# Time between two looks for a token.
POLL_INTERVAL_S = 0.02


class RetryBudgets:
    """Retry budgets by service.

    A node may retry a share of its own requests of the latest window. In
    addition it gets an equal share of the fleet's slack. Repeats on a larger
    model are paid from the same budget, but leave a reserve while attempts
    fail: when an upstream is lost, its streams need their retries at once.

    Args:
      gateway: Provides the clock, settings and peers.
    """

    def __init__(self, gateway):
        self._clock = gateway.environment.clock
        self._current_settings = gateway.current_settings
        self._peers = gateway.peers
        self._windows: dict[ids.ServiceId, retrywindow.RetryWindow] = {}
        self._failed_at: dict[ids.ServiceId, float] = {}
        # When the tokens that are held for returns are free again.
        self._held_until: dict[ids.ServiceId, collections.deque[float]] = {}

    def _window(self, service: ids.ServiceId) -> retrywindow.RetryWindow:
        if service not in self._windows:
            self._windows[service] = retrywindow.RetryWindow(
                self._clock, self._current_settings.value.bounds.repeat_window_s
            )
        return self._windows[service]

    def _slack(self) -> float:
        fleet_size = self._peers.fleet_size or ASSUMED_FLEET_NODES
        slack = self._current_settings.value.bounds.repeat_slack
        return USABLE_SHARE * slack / fleet_size

    def _limits(self) -> tuple[float, float]:
        """Returns the share of its requests and the slack of this node."""
        bounds = self._current_settings.value.bounds
        return USABLE_SHARE * bounds.repeat_share, self._slack()

    def note_request(self, service: ids.ServiceId) -> None:
        """Counts a request, which permits a share of a retry."""
        self._window(service).note_request()

    def has_tokens(self, service: ids.ServiceId, count: int) -> bool:
        """Tells whether a number of retries are left, beside those held."""
        left = self._window(service).left(*self._limits())
        return left >= count + self._held(service)

    def hold(self, service: ids.ServiceId) -> None:
        """Leaves a token to a failed attempt for HOLD_S."""
        held_until = self._held_until.setdefault(service, collections.deque())
        held_until.append(self._clock.now() + HOLD_S)

    def _held(self, service: ids.ServiceId) -> int:
        held_until = self._held_until.get(service, ())
        while held_until and held_until[0] < self._clock.now():
            held_until.popleft()
        return len(held_until)

    def spend(self, service: ids.ServiceId) -> bool:
        """Counts the retry of a failed attempt; False if none is left."""
        self._failed_at[service] = self._clock.now()
        return self._window(service).spend(*self._limits())

    def spend_for_larger(self, service: ids.ServiceId) -> bool:
        """Counts a repeat on a larger model; False if it may have none."""
        reserve = 0.0
        failed_at = self._failed_at.get(service)
        if failed_at is not None and self._clock.now() - failed_at < FAILURE_S:
            overload = self._current_settings.value.overload
            # With few retries a larger model may still take the last one.
            reserve = min(overload.reserved_retries, max(0, self._slack() - 1))
        window = self._window(service)
        share, slack = self._limits()
        reserve += self._held(service)
        return window.left(share, slack) >= 1 + reserve and window.spend(
            share, slack
        )

    async def wait_and_spend(
        self, service: ids.ServiceId, limit_s: float
    ) -> bool:
        """Counts a retry as soon as requests have earned one.

        Args:
          service: The service.
          limit_s: Seconds after which it gives up.
        """
        if self.spend(service):
            return True
        overload = self._current_settings.value.overload
        if not overload.enabled or self._slack() < 1:
            return False
        give_up_at = self._clock.now() + limit_s
        while self._clock.now() < give_up_at:
            await anyio.sleep(POLL_INTERVAL_S)
            if self.spend(service):
                return True
        return False
