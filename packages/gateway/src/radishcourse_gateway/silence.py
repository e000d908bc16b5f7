"""Gives up upstreams that are silent, where another one can help."""

import asyncio
import contextlib

import anyio

from radishcourse_gateway import errors
from radishcourse_gateway import inboundrequest
from radishcourse_gateway import repeats
from radishcourse_gateway import targets
from radishcourse_gateway import view as views

# An upstream that is silent for this multiple of the route's goal, or of
# its longest pause within a stream, is given up if the work may be repeated.
SILENCE_GOALS = 2.0
LEAST_SILENCE_S = 1.0
# An upstream that is busy is given this multiple of its expected wait.
SILENCE_WAITS = 3.0
# Longest pause within streams of routes that name none.
DEFAULT_GAP_S = 5.0


class Silence:
    """Limits how long a request waits for one upstream.

    The repeat is paid for when the time is over: without one, waiting on is
    all that is left.

    Args:
      gateway: The gateway, for its view and targets.
      budget: Pays for repeats.
    """

    def __init__(self, gateway, budget: repeats.Repeats):
        self._view: views.View = gateway.view
        self._targets: targets.Targets = gateway.targets
        self._repeats = budget

    def before_head(
        self,
        request: inboundrequest.InboundRequest,
        plan: targets.Plan,
        listed: views.Listed,
    ):
        """Returns a context that ends when the head does not come.

        Raises:
          UpstreamError: The upstream was silent for too long.
        """
        goal_s = SILENCE_GOALS * request.route.goal_s
        wait_s = SILENCE_WAITS * self._targets.expected_s(listed)
        limit_s = max(LEAST_SILENCE_S, goal_s, wait_s)
        return self._limited(request, plan, limit_s)

    def between_events(
        self, request: inboundrequest.InboundRequest, plan: targets.Plan
    ):
        """Returns a context that ends when the next event does not come.

        Raises:
          UpstreamError: The upstream was silent for too long.
        """
        gap_s = SILENCE_GOALS * (request.route.gap_s or DEFAULT_GAP_S)
        return self._limited(request, plan, max(LEAST_SILENCE_S, gap_s))

    @contextlib.contextmanager
    def _limited(self, request, plan, limit_s: float):
        if not request.route.repeatable:
            yield
            return
        with anyio.CancelScope() as scope:
            # asyncio's timer, as one is needed for each event of a stream.
            timer = asyncio.get_running_loop().call_later(
                limit_s, self._end, request, plan, scope
            )
            try:
                yield
            finally:
                timer.cancel()
        if scope.cancelled_caught:
            raise errors.UpstreamError(f'silent for {limit_s:g} s', True)

    def _end(self, request, plan, scope: anyio.CancelScope) -> None:
        if self.can_repeat(request, plan):
            plan.repeat_paid = self._repeats.pay(plan.service)
        if plan.repeat_paid:
            scope.cancel()

    def can_repeat(self, request, plan) -> bool:
        """Tells whether there is another attempt, and somewhere to send it."""
        if plan.attempts >= request.route.max_attempts:
            return False
        if not self._repeats.can_pay(plan.service):
            return False
        return len(self._view.usable(plan.service)) > 1
