"""Repeats requests on larger models."""

from radishcourse_gateway import attempttimeout
from radishcourse_gateway import inboundrequest
from radishcourse_gateway import retrybudgets
from radishcourse_gateway import targets
from radishcourse_gateway import upstreamconnections
from radishcourse_gateway import view as views
from radishcourse_node import events
from radishcourse_policy import modelchoice


class Escalations:
    """Decides whether an answer is dropped for one of a larger model.

    Args:
      gateway: Provides the settings, header names, view and targets.
      retry_budgets: Pay for the repeats.
      attempt_timeout: Tells whether a repeat is possible.
    """

    def __init__(
        self,
        gateway,
        retry_budgets: retrybudgets.RetryBudgets,
        attempt_timeout: attempttimeout.AttemptTimeout,
    ):
        self._header_names = gateway.header_names
        self._current_settings = gateway.current_settings
        self._view: views.View = gateway.view
        self._targets: targets.Targets = gateway.targets
        self._retry_budgets = retry_budgets
        self._attempt_timeout = attempt_timeout

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
        confidence = head.get(self._header_names.confidence)
        if confidence is not None:
            plan.confidence = float(confidence)
        if not models or plan.begun or request.size is None:
            return False
        if (
            not self._attempt_timeout.can_retry(request, plan)
            or confidence is None
        ):
            return False
        service = self._view.directory.services.get(plan.service)
        costs = service.engine.costs if service and service.engine else {}
        larger = modelchoice.choose_larger(
            models,
            plan.model,
            float(confidence),
            request.size,
            costs,
            self._current_settings.value.value_per_1k_tokens,
            self._targets.prefill_s(request, plan, models[-1]),
            *self._targets.service_load(plan.service),
        )
        if larger is None or not self._retry_budgets.spend(plan.service):
            return False
        events.log(
            events.Event.STEP_ESCALATED,
            request=request.request_id,
            model=plan.model,
            larger=larger,
            confidence=float(confidence),
            prompt=request.size.prompt,
            output=request.size.output,
        )
        plan.model = larger
        return True
