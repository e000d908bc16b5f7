"""Repeats requests on larger models."""

from radishcourse_gateway import admissions
from radishcourse_gateway import attempttimeout
from radishcourse_gateway import errors
from radishcourse_gateway import inboundrequest
from radishcourse_gateway import retrybudgets
from radishcourse_gateway import targets
from radishcourse_gateway import upstreamconnections
from radishcourse_gateway import view as views
from radishcourse_model import ids
from radishcourse_node import events
from radishcourse_policy import modelchoice


class Escalations:
    """Decides whether an answer is dropped for one of a larger model.

    Args:
      gateway: Provides the settings, header names, view and targets.
      retry_budgets: Pay for the repeats.
      attempt_timeout: Tells whether a repeat is possible.
      admission_control: Tells whether there is capacity for a repeat.
    """

    def __init__(
        self,
        gateway,
        retry_budgets: retrybudgets.RetryBudgets,
        attempt_timeout: attempttimeout.AttemptTimeout,
        admission_control: admissions.Admissions,
    ):
        self._header_names = gateway.header_names
        self._current_settings = gateway.current_settings
        self._view: views.View = gateway.view
        self._targets: targets.Targets = gateway.targets
        self._retry_budgets = retry_budgets
        self._attempt_timeout = attempt_timeout
        self._admissions = admission_control

    def escalate(
        self,
        request: inboundrequest.InboundRequest,
        plan: targets.Plan,
        head: upstreamconnections.Head,
    ) -> bool:
        """Chooses a larger model if the answer is likely poor.

        Returns:
          Whether the request is to be repeated on that model.
        """
        models = request.route.models
        value = head.get(self._header_names.confidence)
        confidence = modelchoice.parse_confidence(value or b'')
        if confidence is not None:
            plan.confidence = confidence
        if not models or plan.begun or request.size is None:
            return False
        if (
            not self._attempt_timeout.can_retry(request, plan)
            or confidence is None
        ):
            return False
        answered_by = plan.model
        service = self._view.service(plan.service)
        costs = service.engine.costs if service and service.engine else {}
        load = self._targets.service_load(plan.service)
        excess_s = self._admissions.excess_wait_s(plan.service)
        larger = modelchoice.choose_larger(
            models,
            plan.model,
            confidence,
            request.size,
            costs,
            self._current_settings.value.value_per_1k_tokens,
            self._targets.prefill_s(request, plan, models[-1]),
            max(load.waiting_s, excess_s),
            load.occupied,
        )
        if larger is None or not self._admissions.may_escalate(
            request, plan, larger
        ):
            return False
        if not self._reserve(request, plan, larger):
            return False
        events.log(
            events.Event.STEP_ESCALATED,
            request=request.request_id,
            model=answered_by,
            larger=larger,
            confidence=confidence,
            prompt=request.size.prompt,
            output=request.size.output,
        )
        return True

    def _reserve(
        self,
        request: inboundrequest.InboundRequest,
        plan: targets.Plan,
        larger: ids.ModelId,
    ) -> bool:
        """Reserves an upstream for a larger model and pays for the repeat.

        Without one, the answer at hand is kept: it must not be dropped for a
        refusal, as the request has run.
        """
        answered_by, plan.model = plan.model, larger
        try:
            plan.reserved = self._targets.choose(request, plan)
        except errors.Refusal:
            plan.model = answered_by
            return False
        if self._retry_budgets.spend_for_larger(plan.service):
            return True
        plan.model, plan.reserved = answered_by, None
        return False
