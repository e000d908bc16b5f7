"""Log events of attempts at upstreams."""

from radishcourse_gateway import inboundrequest
from radishcourse_gateway import targets
from radishcourse_gateway import view as views
from radishcourse_node import events


def log_start(
    request: inboundrequest.InboundRequest,
    plan: targets.Plan,
    listed: views.ListedUpstream,
    now: float,
) -> None:
    """Logs that an upstream was chosen for an attempt at a time."""
    entry = listed.upstream
    events.log(
        events.Event.ATTEMPT_STARTED,
        request=request.request_id,
        session=request.session or None,
        parts=request.parts.shared,
        attempt=plan.attempts + 1,
        upstream=entry.upstream_id,
        version=entry.version,
        model=plan.model,
        last_event=plan.last_event.decode() if plan.last_event else None,
        left_s=round(request.deadline - now, 3),
    )


def log_failure(
    request: inboundrequest.InboundRequest,
    plan: targets.Plan,
    listed: views.ListedUpstream,
    now: float,
    error: str,
    not_run: bool = False,
) -> None:
    """Logs that an attempt failed at a time.

    Args:
      request: The request.
      plan: Its state.
      listed: The upstream.
      now: The time on this node's clock, in seconds.
      error: What failed.
      not_run: Whether the request is known not to have run.
    """
    answering_s = None
    if plan.head_at is not None:
        answering_s = round(now - plan.head_at, 3)
    events.log(
        events.Event.ATTEMPT_FAILED,
        request=request.request_id,
        attempt=plan.attempts,
        upstream=listed.upstream.upstream_id,
        error=error,
        not_run=not_run,
        begun=plan.begun,
        parts=request.parts.shared,
        answering_s=answering_s,
        **arrival_fields(plan),
    )


def arrival_fields(plan: targets.Plan) -> dict[str, object]:
    """Returns log fields on what arrived of the latest attempt's answer."""
    arrival = plan.arrival
    return {
        'framing': arrival.framing and arrival.framing.value,
        'received': arrival.received,
        'end': arrival.end.value,
    }
