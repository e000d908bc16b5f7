"""Models of requests that may run once at most."""

from radishcourse_gateway import admissions
from radishcourse_gateway import inboundrequest
from radishcourse_gateway import targets
from radishcourse_gateway import view as views
from radishcourse_model import ids
from radishcourse_node import events
from radishcourse_policy import singlerun


class SingleRuns:
    """Chooses the model where an answer can't be replaced by a larger one's.

    Each node learns from the answers that it passes on.

    Args:
      gateway: Provides the settings, view, targets and random source.
      admission_control: Tells how long requests wait.
    """

    def __init__(self, gateway, admission_control: admissions.Admissions):
        self._current_settings = gateway.current_settings
        self._view: views.View = gateway.view
        self._targets: targets.Targets = gateway.targets
        self._admissions = admission_control
        self._runs = singlerun.SingleRuns(gateway.environment.random)

    def first_model(
        self, request: inboundrequest.InboundRequest, plan: targets.Plan
    ) -> ids.ModelId | None:
        """Returns the model for a request's first attempt.

        It is the smallest one if the request may be repeated on a larger one,
        and None if the request names its own.
        """
        models = request.route.models
        if not models:
            return None
        if request.route.retryable:
            return models[0]
        service = self._view.service(plan.service)
        costs = service.engine.costs if service and service.engine else {}
        load = self._targets.service_load(plan.service)
        choice = self._runs.choose(
            request.route.name,
            models,
            request.size,
            costs,
            self._current_settings.value.value_per_1k_tokens,
            singlerun.Load(
                self._targets.prefill_s(request, plan, models[-1]),
                max(
                    load.waiting_s,
                    self._admissions.excess_wait_s(plan.service),
                ),
                load.occupied,
            ),
        )
        if choice.model != models[0]:
            events.log(
                events.Event.MODEL_CHOSEN,
                request=request.request_id,
                route=request.route.name,
                model=choice.model,
                poor_shares={
                    model: round(share, 3)
                    for model, share in choice.poor_shares.items()
                },
            )
        return choice.model

    def note_head(
        self, request: inboundrequest.InboundRequest, plan: targets.Plan
    ) -> None:
        """Records the confidence of the model that answers."""
        if (
            request.route.models
            and not request.route.retryable
            and plan.confidence is not None
        ):
            self._runs.note_answer(
                request.route.name, plan.model, plan.confidence
            )
