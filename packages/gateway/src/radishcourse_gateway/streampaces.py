"""Moves streams that fall behind to another upstream."""

from radishcourse_gateway import attempttimeout
from radishcourse_gateway import directory as directories
from radishcourse_gateway import errors
from radishcourse_gateway import inboundrequest
from radishcourse_gateway import retrybudgets
from radishcourse_gateway import targets
from radishcourse_model import ids
from radishcourse_policy import streampace


class StreamPaces:
    """Paces of this node's streams, by service.

    Args:
      gateway: Provides the clock.
      retry_budgets: Pay for the moves.
      attempt_timeout: Tells whether a move is possible.
    """

    def __init__(
        self,
        gateway,
        retry_budgets: retrybudgets.RetryBudgets,
        attempt_timeout: attempttimeout.AttemptTimeout,
    ):
        self._clock = gateway.environment.clock
        self._retry_budgets = retry_budgets
        self._attempt_timeout = attempt_timeout
        self._services: dict[ids.ServiceId, streampace.Paces] = {}

    def _paces(self, plan: targets.Plan) -> streampace.Paces:
        return self._services.setdefault(plan.service, streampace.Paces())

    def note_events(self, plan: targets.Plan, count: int) -> bool:
        """Records events that the caller was sent.

        Args:
          plan: The request's state.
          count: Events of the latest attempt so far.

        Returns:
          Whether it is time to judge the pace.
        """
        new = count - plan.pace_events
        plan.pace_events = count
        plan.events += new
        return plan.pace.note(self._clock.now(), new)

    def judge(
        self,
        request: inboundrequest.InboundRequest,
        plan: targets.Plan,
        move_s: float | None,
    ) -> streampace.Judgement:
        """Judges whether a stream is to be continued elsewhere.

        It is so once at most, and only if it could return should the other
        upstream fail: its own one is slow, but sound.

        Args:
          request: The request.
          plan: Its state.
          move_s: Expected time to the first event elsewhere, None if unknown.
        """
        if (
            plan.moved
            or not request.route.resumable
            or request.size is None
            or plan.last_event is None
            or not self._attempt_timeout.can_retry(request, plan, 2)
        ):
            return streampace.ON_TIME
        return self._paces(plan).judge(
            _kind(request, plan),
            plan.pace,
            plan.events,
            request.size.output,
            request.deadline - self._clock.now(),
            move_s,
        )

    def move(
        self, plan: targets.Plan, judgement: streampace.Judgement
    ) -> errors.UpstreamError:
        """Pays for a move from the retry budget, which must have a token.

        Returns:
          The failure that ends the attempt, as if it had stalled.
        """
        plan.retry_paid = self._retry_budgets.spend(plan.service)
        self._retry_budgets.hold(plan.service)
        plan.moved = True
        return errors.UpstreamError(
            f'stream behind: {judgement.pace_s:.4f} s an event instead of '
            f'{judgement.usual_s:.4f}',
            True,
        )

    def note_done(
        self, request: inboundrequest.InboundRequest, plan: targets.Plan
    ) -> None:
        """Records a complete stream."""
        if request.route.kind is not directories.RequestKind.STREAM:
            return
        paces, kind = self._paces(plan), _kind(request, plan)
        if request.size is not None and plan.events:
            paces.note_length(kind, plan.events, request.size.output)
        # The first events of an attempt may come at once.
        if plan.pace.pace_s is not None:
            paces.note_pace(kind, plan.pace.pace_s)


def _kind(
    request: inboundrequest.InboundRequest, plan: targets.Plan
) -> streampace.Kind:
    return request.route.name, plan.model or ''
