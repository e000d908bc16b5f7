"""This node's share of the retry budget that the fleet has per service."""

import anyio

from radishcourse_model import ids
from radishcourse_policy import retrybudget

# Share of the permitted retries that nodes use. The rest is a margin, as the
# bound is checked over sliding windows.
USABLE_SHARE = 0.8
# Fleet size that is assumed while no other node is known to be alive.
ASSUMED_FLEET_NODES = 32
# Time after a failed attempt for which repeats on a larger model leave tokens
# for more of them: the window over which the retries are bounded.
FAILURE_S = 10.0
# Time between two looks for a token.
POLL_INTERVAL_S = 0.02


class RetryBudgets:
    """Retry budgets by service.

    A node earns tokens in proportion to its own requests. In addition it gets
    an equal share of the fleet's slack. Repeats on a larger model are paid
    from the same budget, but leave a reserve while attempts fail: when an
    upstream is lost, its streams need their tokens at once.

    Args:
      gateway: Provides the clock, settings and peers.
    """

    def __init__(self, gateway):
        self._clock = gateway.environment.clock
        self._current_settings = gateway.current_settings
        self._peers = gateway.peers
        self._budgets: dict[ids.ServiceId, retrybudget.RetryBudget] = {}
        self._failed_at: dict[ids.ServiceId, float] = {}

    def _cap(self) -> float:
        fleet_size = self._peers.fleet_size or ASSUMED_FLEET_NODES
        slack = self._current_settings.value.bounds.repeat_slack
        return USABLE_SHARE * slack / fleet_size

    def _budget(self, service: ids.ServiceId) -> retrybudget.RetryBudget:
        bounds = self._current_settings.value.bounds
        cap = self._cap()
        budget = self._budgets.get(service)
        if budget is None:
            budget = retrybudget.RetryBudget(
                USABLE_SHARE * bounds.repeat_share, reserve=cap, cap=cap
            )
            self._budgets[service] = budget
        budget.resize(cap)
        return budget

    def note_request(self, service: ids.ServiceId) -> None:
        """Adds the tokens that a request earns."""
        self._budget(service).note_request()

    def has_token(self, service: ids.ServiceId) -> bool:
        """Tells whether a token is left for a retry."""
        return self._budget(service).tokens >= 1

    def spend(self, service: ids.ServiceId) -> bool:
        """Takes a token for the retry of a failed attempt, if there is one."""
        self._failed_at[service] = self._clock.now()
        return self._budget(service).spend()

    def spend_for_larger(self, service: ids.ServiceId) -> bool:
        """Takes a token for a repeat on a larger model, if it may have one."""
        reserve = 0.0
        failed_at = self._failed_at.get(service)
        if failed_at is not None and self._clock.now() - failed_at < FAILURE_S:
            overload = self._current_settings.value.overload
            # With few tokens a larger model may still take the last one.
            reserve = min(overload.reserved_retries, max(0, self._cap() - 1))
        budget = self._budget(service)
        return budget.tokens >= 1 + reserve and budget.spend()

    async def wait_and_spend(
        self, service: ids.ServiceId, limit_s: float
    ) -> bool:
        """Takes a token for a retry as soon as requests have earned one.

        Args:
          service: The service.
          limit_s: Seconds after which it gives up.
        """
        if self.spend(service):
            return True
        overload = self._current_settings.value.overload
        if not overload.enabled or self._cap() < 1:
            return False
        give_up_at = self._clock.now() + limit_s
        while self._clock.now() < give_up_at:
            await anyio.sleep(POLL_INTERVAL_S)
            if self.spend(service):
                return True
        return False
