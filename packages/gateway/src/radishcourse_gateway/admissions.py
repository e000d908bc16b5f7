"""Decides under a shortage which requests are sent to upstreams."""

import contextlib
import dataclasses
import functools

from radishcourse_gateway import attempttimeout
from radishcourse_gateway import errors
from radishcourse_gateway import inboundrequest
from radishcourse_gateway import retrybudgets
from radishcourse_gateway import settings as gateway_settings
from radishcourse_gateway import streampaces
from radishcourse_gateway import targets
from radishcourse_gateway import view as views
from radishcourse_model import ids
from radishcourse_node import events
from radishcourse_node import metrics
from radishcourse_policy import overload
from radishcourse_policy import streampace

# The capacity and work of a service are read again after this time, since each
# reading goes through all of its upstreams.
ROOM_TTL_S = 0.2
# Cost of a request without token counts, in thousands of weighted tokens.
DEFAULT_COST = 1.0
# A full upstream has a free slot after about the time of one request, which
# is taken to be so long until it is known.
OVERLOADED_RETRY_S = 0.5
# Upstreams that have refused a request as full, after which the time for
# another attempt is judged.
MAX_FULL = 2
# Decisions that are logged in a second; the others are counted.
MAX_LOGGED_PER_S = 20


@dataclasses.dataclass
class _Service:
    """State of one service.

    Attributes:
      admission: The decisions.
      room: Its capacity and work as last read.
      room_at: When that was.
    """

    admission: overload.Admission
    room: overload.Room | None = None
    room_at: float = 0.0


class Admissions:
    """Admits requests to services by what this node knows of their load.

    Args:
      gateway: Provides the settings, targets and metrics.
      retry_budgets: Pay for streams that move.
      attempt_timeout: Tells whether a stream may move.
    """

    def __init__(
        self,
        gateway,
        retry_budgets: retrybudgets.RetryBudgets,
        attempt_timeout: attempttimeout.AttemptTimeout,
    ):
        self._clock = gateway.environment.clock
        self._random = gateway.environment.random
        self._current_settings = gateway.current_settings
        self._targets: targets.Targets = gateway.targets
        self._metrics: metrics.Metrics = gateway.metrics
        self._services: dict[ids.ServiceId, _Service] = {}
        self._limits_of: gateway_settings.Overload | None = None
        self._limits = overload.Limits()
        self._log = _BoundedLog(self._clock)
        self._stream_paces = streampaces.StreamPaces(
            gateway, retry_budgets, attempt_timeout
        )

    @property
    def _settings(self) -> gateway_settings.Overload:
        return self._current_settings.value.overload

    def _service(self, service: ids.ServiceId) -> _Service:
        settings = self._settings
        if settings is not self._limits_of:
            self._limits_of = settings
            self._limits = overload.Limits(
                window_s=settings.window_s,
                min_samples=settings.min_samples,
                goal_factor=settings.goal_factor,
                drain_s=settings.drain_s,
                floor_share=settings.floor_share,
            )
        state = self._services.get(service)
        if state is None:
            state = _Service(overload.Admission(self._random))
            self._services[service] = state
        state.admission.limits = self._limits
        return state

    def _read_room(self, service: ids.ServiceId) -> overload.Room:
        state, now = self._services[service], self._clock.now()
        if state.room is None or now - state.room_at >= ROOM_TTL_S:
            state.room = self._targets.service_room(service)
            state.room_at = now
        return state.room

    def admit(
        self, request: inboundrequest.InboundRequest, plan: targets.Plan
    ) -> None:
        """Refuses a request that can't be served or exceeds a share.

        Raises:
          Refusal: It is not sent to any upstream.
        """
        if not self._settings.enabled:
            return
        admission = self._service(plan.service).admission
        now = self._clock.now()
        decision = admission.decide(
            now,
            _demand(request, plan),
            functools.partial(self._read_room, plan.service),
        )
        if decision.verdict is overload.Verdict.SEND:
            return
        self._note(request, decision.verdict.value)
        room = decision.room
        self._log.write(
            events.Event.REQUEST_SHED,
            request=request.request_id,
            service=plan.service,
            organisation=request.organisation_name,
            priority=request.priority,
            verdict=decision.verdict.value,
            first_s=round(decision.first_s, 3),
            run_s=round(decision.run_s, 3),
            left_s=round(request.deadline - now, 3),
            share=round(decision.share, 3),
            retry_after_s=round(decision.retry_after_s, 3),
            slots=room.slots,
            in_flight=room.in_flight,
            best_excess=round(room.best_excess, 3),
        )
        raise errors.Refusal(
            errors.Reason.OVERLOADED,
            f'{decision.verdict.value}: the first token is expected after '
            f'{decision.first_s:.2f} s',
            decision.retry_after_s,
        )

    def excess_wait_s(self, service: ids.ServiceId) -> float:
        """Returns the seconds by which requests wait longer than allowed."""
        if not self._settings.enabled:
            return 0.0
        admission = self._service(service).admission
        return admission.excess_wait_s(self._clock.now())

    def may_escalate(
        self,
        request: inboundrequest.InboundRequest,
        plan: targets.Plan,
        larger: ids.ModelId,
    ) -> bool:
        """Tells whether an answer may be dropped for one of a larger model."""
        if not self._settings.enabled:
            return True
        now = self._clock.now()
        decision = self._service(plan.service).admission.judge_repeat(
            now,
            _demand(request, plan),
            _kind(request, larger),
            functools.partial(self._read_room, plan.service),
        )
        if decision.repeat is overload.Repeat.ALLOWED:
            return True
        self._note(request, 'answer_kept')
        self._log.write(
            events.Event.ANSWER_KEPT,
            request=request.request_id,
            service=plan.service,
            larger=larger,
            reason=decision.repeat.value,
            head_s=round(decision.head_s, 3),
            run_s=round(decision.run_s, 3),
            left_s=round(request.deadline - now, 3),
            elapsed_s=round(now - request.arrived_at, 3),
        )
        return False

    def has_time(
        self, request: inboundrequest.InboundRequest, plan: targets.Plan
    ) -> bool:
        """Tells whether a request refused by full upstreams may be sent again.

        After two refusals there must be time for the shortest response, or,
        if that is unknown, for as long as an attempt took so far.
        """
        refused = len(plan.tried)
        if plan.may_have_run or refused < MAX_FULL:
            return True
        if not self._settings.enabled:
            return True
        now = self._clock.now()
        needed_s = self._service(plan.service).admission.least_s(
            now, _kind(request, plan.model)
        )
        if needed_s is None:
            needed_s = (now - request.arrived_at) / refused
        return needed_s <= request.deadline - now

    def refuse_full(
        self,
        request: inboundrequest.InboundRequest,
        plan: targets.Plan,
        failure: Exception,
    ) -> errors.Refusal:
        """Returns the refusal of a request that no upstream has taken."""
        left_s = request.deadline - self._clock.now()
        admission = self._service(plan.service).admission
        backlog_s = admission.backlog_s(self._read_room(plan.service))
        if backlog_s is None:
            backlog_s = OVERLOADED_RETRY_S
        self._note(request, 'full')
        return errors.Refusal(
            errors.Reason.OVERLOADED,
            str(failure),
            admission.retry_after_s(backlog_s, left_s),
        )

    @contextlib.contextmanager
    def watch(self, plan: targets.Plan):
        """Returns a context in which an attempt waits for its head."""
        times = self._service(plan.service).admission.times
        attempt = object()
        plan.wait = attempt
        plan.pace, plan.pace_events = streampace.Progress(), 0
        times.note_sent(attempt, self._clock.now())
        try:
            yield
        finally:
            times.note_failed(attempt)

    def note_head(
        self, request: inboundrequest.InboundRequest, plan: targets.Plan
    ) -> None:
        """Records that an upstream has begun to serve a request."""
        admission, now = (
            self._service(plan.service).admission,
            self._clock.now(),
        )
        admission.times.note_head(plan.wait, now)
        admission.shares.note_drained(
            now, _cost(request), admission.limits.window_s
        )

    def note_done(
        self,
        request: inboundrequest.InboundRequest,
        plan: targets.Plan,
        seconds: float,
    ) -> None:
        """Records that a response is complete.

        Args:
          request: The request.
          plan: Its state.
          seconds: Time since the head of the response.
        """
        times = self._service(plan.service).admission.times
        times.note_run(_kind(request, plan.model), seconds)
        self._stream_paces.note_done(request, plan)

    def check_pace(
        self,
        request: inboundrequest.InboundRequest,
        plan: targets.Plan,
        listed: views.ListedUpstream,
        count: int,
    ) -> None:
        """Ends an attempt whose stream can't end in time, if another may.

        Args:
          request: The request.
          plan: Its state.
          listed: The upstream that sends the stream.
          count: Events of the attempt that its caller was sent.

        Raises:
          UpstreamError: The stream is to be continued at another upstream.
        """
        if not self._stream_paces.note_events(plan, count):
            return
        if not self._settings.enabled:
            return
        now = self._clock.now()
        admission = self._service(plan.service).admission
        judgement = self._stream_paces.judge(
            request, plan, admission.usual_head_s(now)
        )
        if not judgement.behind:
            return
        if not self._targets.reserve_move(request, plan, listed):
            return
        self._note(request, 'stream_moved')
        self._log.write(
            events.Event.STREAM_MOVED,
            request=request.request_id,
            service=plan.service,
            model=plan.model,
            events=plan.events,
            remaining=round(judgement.remaining, 1),
            pace_s=round(judgement.pace_s, 4),
            usual_s=round(judgement.usual_s, 4),
            left_s=round(request.deadline - now, 3),
        )
        raise self._stream_paces.move(plan, judgement)

    def _note(
        self, request: inboundrequest.InboundRequest, decision: str
    ) -> None:
        self._metrics.count_overload(
            request.organisation_name, request.route.kind.value, decision
        )


class _BoundedLog:
    """Logs at most MAX_LOGGED_PER_S events in a second."""

    def __init__(self, clock):
        self._clock = clock
        self._second = 0
        self._written = 0
        self._omitted = 0

    def write(self, event: events.Event, **fields: object) -> None:
        """Logs an event, with the number of those omitted before it."""
        second = int(self._clock.now())
        if second != self._second:
            self._second, self._written = second, 0
        if self._written >= MAX_LOGGED_PER_S:
            self._omitted += 1
            return
        self._written += 1
        omitted, self._omitted = self._omitted, 0
        events.log(event, omitted=omitted, **fields)


def _kind(
    request: inboundrequest.InboundRequest, model: ids.ModelId | None
) -> tuple[str, str]:
    return request.route.name, model or ''


def _cost(request: inboundrequest.InboundRequest) -> float:
    return DEFAULT_COST if request.size is None else request.size.value


def _identity(request: inboundrequest.InboundRequest) -> str:
    """Returns what identifies a request that its caller sends again.

    Callers give each attempt a new id, but the last part of a prompt belongs to
    the request or its session.
    """
    own = request.parts.own
    return f'{request.organisation_name}/{own}' if own else request.request_id


def _demand(
    request: inboundrequest.InboundRequest, plan: targets.Plan
) -> overload.Demand:
    return overload.Demand(
        request=_identity(request),
        organisation=request.organisation_name,
        priority=request.priority,
        cost=_cost(request),
        goal_s=request.route.goal_s,
        arrived_at=request.arrived_at,
        deadline=request.deadline,
        kind=_kind(request, plan.model),
    )
