"""Timeout of an attempt, after which the request is retried elsewhere."""

import contextlib
import functools

import anyio

from radishcourse_gateway import errors
from radishcourse_gateway import inboundrequest
from radishcourse_gateway import retrybudgets
from radishcourse_gateway import targets
from radishcourse_gateway import upstreamconnections
from radishcourse_gateway import view as views

# Timeout for the head of an answer, and for a body that is buffered, as a
# multiple of the route's goal; for an event of a stream as a multiple of the
# route's longest pause.
TIMEOUT_GOAL_FACTOR = 2.0
# An upstream that is silent for a second goes on with its work, which would run
# twice; so the timeout is longer, by what an answer takes besides. Callers
# abandon streams after 2 s or more.
ANSWER_MARGIN_S = 0.25
MIN_TIMEOUT_S = upstreamconnections.MAX_SILENCE_S + ANSWER_MARGIN_S
# Minimum timeout for the head, as a multiple of the expected wait at a busy
# upstream.
TIMEOUT_WAIT_FACTOR = 3.0
# The timeout for a peer as a multiple of that for an upstream: the peer's own
# attempt elsewhere comes first.
PEER_TIMEOUT_FACTOR = 2.0
# Time for which a failed request waits for a retry token, as a share of the
# route's goal, or of its longest pause for a stream that has begun.
# Callers accept a request that is held for an eighth of its goal and refused.
TOKEN_WAIT_GOAL_SHARE = 1 / 8
TOKEN_WAIT_GAP_SHARE = 1 / 4
# Longest pause within streams of routes that name none.
DEFAULT_GAP_S = 5.0


class AttemptTimeout:
    """Limits how long a request waits for one upstream.

    The lateness of this process does not count, as the answer may be there
    already. The attempt is only cancelled if the budget pays for a retry at
    that time; otherwise the request keeps waiting.

    Args:
      gateway: Provides the timeouts, view and targets.
      budget: The budget that pays for retries.
    """

    def __init__(self, gateway, budget: retrybudgets.RetryBudgets):
        self._clock = gateway.environment.clock
        self._timeouts = gateway.timeouts
        self._view: views.View = gateway.view
        self._targets: targets.Targets = gateway.targets
        self._retry_budgets = budget

    def for_answer(
        self,
        request: inboundrequest.InboundRequest,
        plan: targets.Plan,
        listed: views.ListedUpstream,
    ):
        """Returns a context that limits the wait for a head or a short body.

        Raises:
          UpstreamError: The timeout has passed and the request can be retried.
        """
        goal_s = TIMEOUT_GOAL_FACTOR * request.route.goal_s
        wait_s = TIMEOUT_WAIT_FACTOR * self._targets.waiting_s(listed)
        timeout_s = max(MIN_TIMEOUT_S, goal_s, wait_s)
        return self._timeout(request, plan, timeout_s, listed)

    def for_peer(
        self, request: inboundrequest.InboundRequest, plan: targets.Plan
    ):
        """Returns a context that limits the wait for a head from a peer.

        Raises:
          UpstreamError: The timeout has passed and the request can be retried.
        """
        goal_s = TIMEOUT_GOAL_FACTOR * request.route.goal_s
        timeout_s = PEER_TIMEOUT_FACTOR * max(MIN_TIMEOUT_S, goal_s)
        return self._timeout(request, plan, timeout_s)

    def between_events(
        self,
        request: inboundrequest.InboundRequest,
        plan: targets.Plan,
        listed: views.ListedUpstream,
    ):
        """Returns a context that limits the wait for the next whole event.

        Raises:
          UpstreamError: The timeout has passed and the request can be retried.
        """
        gap_s = TIMEOUT_GOAL_FACTOR * (request.route.gap_s or DEFAULT_GAP_S)
        return self._timeout(request, plan, max(MIN_TIMEOUT_S, gap_s), listed)

    def token_wait_s(
        self, request: inboundrequest.InboundRequest, plan: targets.Plan
    ) -> float:
        """Returns how long a failed request may wait for a retry token."""
        limit_s = TOKEN_WAIT_GOAL_SHARE * request.route.goal_s
        if plan.begun:
            gap_s = request.route.gap_s or DEFAULT_GAP_S
            limit_s = TOKEN_WAIT_GAP_SHARE * gap_s
        return min(limit_s, request.deadline - self._clock.now())

    @contextlib.contextmanager
    def _timeout(self, request, plan, timeout_s: float, listed=None):
        if not plan.may_send(request.route):
            yield
            return
        with anyio.CancelScope() as scope:
            timer = self._timeouts.call_after(
                timeout_s,
                functools.partial(self._expire, request, plan, listed, scope),
            )
            try:
                yield
            finally:
                timer.cancel()
        if scope.cancelled_caught:
            raise errors.UpstreamError(
                f'no whole answer or event for {timeout_s:g} s', True
            )

    def _expire(self, request, plan, listed, scope) -> None:
        """Ends an attempt whose time has passed, if another one is certain.

        A stream that has begun must be able to return: its upstream may only
        have paused, and a break would end the caller's answer. One whose
        upstream takes nothing back can only go elsewhere.
        """
        returns = (
            plan.begun and listed is not None and self._targets.may_take(listed)
        )
        if not self.can_retry(request, plan, 2 if returns else 1):
            return
        if listed is not None and not self._targets.reserve_other(
            request, plan, listed
        ):
            return
        plan.retry_paid = self._retry_budgets.spend(plan.service)
        if not plan.retry_paid:
            plan.reserved = None
            return
        if returns:
            plan.fallback = listed
            self._retry_budgets.hold(plan.service)
        scope.cancel()

    def can_retry(self, request, plan, count: int = 1) -> bool:
        """Tells whether a request may be sent again while it is in progress.

        It must be repeatable, and attempts, budget and upstreams must be left.

        Args:
          request: The request.
          plan: Its state.
          count: Number of retries.
        """
        if not plan.may_send(request.route):
            return False
        if plan.attempts + count > request.route.max_attempts:
            return False
        if not self._retry_budgets.has_tokens(plan.service, count):
            return False
        return len(self._view.usable(plan.service)) > 1
