"""This node's share of the retry budget that the fleet has per service."""

from radishcourse_model import ids
from radishcourse_policy import retrybudget

# Share of the permitted retries that nodes use. The rest is a margin, as the
# bound is checked over sliding windows.
USABLE_SHARE = 0.8
# Fleet size that is assumed while no other node is known to be alive.
ASSUMED_FLEET_NODES = 32


class RetryBudgets:
    """Retry budgets by service.

    A node earns tokens in proportion to its own requests. In addition it gets
    an equal share of the fleet's slack. Repeats on a larger model are paid
    from the same budget.

    Args:
      gateway: Provides the settings and peers.
    """

    def __init__(self, gateway):
        self._current_settings = gateway.current_settings
        self._peers = gateway.peers
        self._budgets: dict[ids.ServiceId, retrybudget.RetryBudget] = {}

    def _budget(self, service: ids.ServiceId) -> retrybudget.RetryBudget:
        bounds = self._current_settings.value.bounds
        fleet_size = self._peers.fleet_size or ASSUMED_FLEET_NODES
        cap = USABLE_SHARE * bounds.repeat_slack / fleet_size
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
        """Takes a token for a retry; returns False if none is left."""
        return self._budget(service).spend()
