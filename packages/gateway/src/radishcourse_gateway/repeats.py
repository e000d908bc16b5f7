"""This node's part of the repeats that a service may get from the fleet."""

from radishcourse_model import ids
from radishcourse_policy import retrybudget

# Part of the permitted repeats that nodes use, since the share is counted
# over windows that slide.
SAFETY = 0.8
# Assumed nodes while no other node was heard of.
UNKNOWN_FLEET = 32


class Repeats:
    """Budgets by service.

    Each node earns a share of its own requests, and has an equal part of
    the slack on top of it.

    Args:
      gateway: The gateway, for its settings and peers.
    """

    def __init__(self, gateway):
        self._current = gateway.current_settings
        self._peers = gateway.peers
        self._budgets: dict[ids.ServiceId, retrybudget.RetryBudget] = {}

    def _budget(self, service: ids.ServiceId) -> retrybudget.RetryBudget:
        bounds = self._current.value.bounds
        fleet = self._peers.fleet or UNKNOWN_FLEET
        most = SAFETY * bounds.repeat_slack / fleet
        budget = self._budgets.get(service)
        if budget is None:
            budget = retrybudget.RetryBudget(
                SAFETY * bounds.repeat_share, reserve=most, cap=most
            )
            self._budgets[service] = budget
        budget.resize(most)
        return budget

    def note_request(self, service: ids.ServiceId) -> None:
        """Earns a share of a repeat."""
        self._budget(service).note_request()

    def can_pay(self, service: ids.ServiceId) -> bool:
        """Tells whether a repeat could be paid for."""
        return self._budget(service).tokens >= 1

    def pay(self, service: ids.ServiceId) -> bool:
        """Pays for a repeat; False when the budget is used up."""
        return self._budget(service).spend()
