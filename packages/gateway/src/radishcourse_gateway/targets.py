"""Finds the upstream for an attempt: version, zone, cold starts, load."""

import dataclasses
import statistics
import typing

from radishcourse_gateway import errors
from radishcourse_gateway import inboundrequest
from radishcourse_gateway import view as views
from radishcourse_model import ids
from radishcourse_policy import canary
from radishcourse_policy import coldrate
from radishcourse_policy import loadbalancing
from radishcourse_policy import prefill

# When nothing can serve a request, an upstream may be listed again after
# about a heartbeat; callers return spread over as much time again.
RETRY_S = 1.0
# Doubts of so many other nodes count as this node's own; a single one may be
# cut off itself.
DOUBTERS = 2


@dataclasses.dataclass
class Plan:
    """What happened to a request so far.

    Attributes:
      attempts: Upstreams to which it was sent.
      sent: Whether an upstream may have run it.
      tried: Upstreams that failed.
      model: Model to ask, None when the request names its own.
      service: The service that serves it, once chosen.
      version: The version that answers a stream that has begun.
      last_event: Last event that the caller has, once a stream has begun.
      begun: Whether the caller has a part of the answer.
      confidence: The latest model's opinion of its answer, 0 to 100.
      repeat_paid: Whether the budget has paid for the next attempt.
    """

    attempts: int = 0
    sent: bool = False
    tried: set = dataclasses.field(default_factory=set)
    model: ids.ModelId | None = None
    service: ids.ServiceId | None = None
    version: ids.VersionId | None = None
    last_event: bytes | None = None
    begun: bool = False
    confidence: float | None = None
    repeat_paid: bool = False


class Pressure(typing.NamedTuple):
    """How busy the upstreams of a service are.

    Attributes:
      waiting_s: Time that prompts wait.
      occupied: Share of the slots that are taken.
    """

    waiting_s: float
    occupied: float


class Targets:
    """Chooses upstreams.

    Args:
      gateway: The gateway, for its view, load, peers and roll-outs.
    """

    def __init__(self, gateway):
        self._clock = gateway.environment.clock
        self._random = gateway.environment.random
        self._current = gateway.current_settings
        self._view: views.View = gateway.view
        self._load = gateway.load
        self._peers = gateway.peers
        self._rollouts = gateway.rollouts
        self._prefill_rates = prefill.PrefillRates()

    def choose(
        self, request: inboundrequest.InboundRequest, plan: Plan
    ) -> views.Listed:
        """Returns the upstream for the next attempt.

        Raises:
          Refusal: No upstream can take it.
        """
        if plan.service is None:
            plan.service = self._choose_service(request)
        version = plan.version or self._rollouts.version_for(
            plan.service, request.session or request.request_id
        )
        usable = [
            listed
            for listed in self._view.usable(plan.service)
            if version is None or listed.upstream.version == version
        ]
        fresh = [item for item in usable if item.life not in plan.tried]
        by_id = {item.upstream.upstream_id: item for item in fresh or usable}
        while by_id:
            chosen = loadbalancing.choose(
                [self._describe(item) for item in by_id.values()],
                self._prompt(request, plan),
                self._random,
            )
            listed = by_id.pop(chosen.upstream)
            if self._may_send(listed):
                return listed
        raise errors.Refusal(
            errors.Reason.NO_UPSTREAM,
            f'{len(usable)} upstreams of {plan.service} are listed for '
            f'version {version}, none can take a request',
            retry_after_s=RETRY_S * (0.5 + self._random.random()),
        )

    def _choose_service(
        self, request: inboundrequest.InboundRequest
    ) -> ids.ServiceId:
        shares = request.route.shares
        if len(shares) == 1:
            return shares[0].service
        total = sum(share.weight for share in shares)
        # A session stays with its part of a split.
        name = request.session or request.request_id
        place = total * canary.session_hash(name, request.route.name, 0)
        for share in shares:
            place -= share.weight
            if place < 0:
                return share.service
        return shares[-1].service

    def _describe(self, listed: views.Listed) -> loadbalancing.Candidate:
        upstream = listed.upstream.upstream_id
        requests, waiting_s = self._load.own(upstream)
        others = self._peers.work(upstream)
        doubted = self._load.is_doubted(upstream)
        return loadbalancing.Candidate(
            upstream,
            waiting_s + others.waiting_s,
            requests + others.requests,
            listed.upstream.slots,
            doubted or others.doubters >= DOUBTERS,
        )

    def reading_s(
        self,
        request: inboundrequest.InboundRequest,
        plan: Plan,
        model: ids.ModelId | None = None,
    ) -> float:
        """Returns the expected time to read a request's prompt."""
        if request.size is None:
            return 0.0
        return self._prefill_rates.seconds(
            plan.service,
            model or plan.model or '',
            prefill.weighted_tokens(request.size.prompt),
        )

    def pressure(self, service: ids.ServiceId) -> Pressure:
        """Returns how busy the upstreams of a service are, on the mean."""
        usable = self._view.usable(service)
        if not usable:
            return Pressure(0.0, 0.0)
        described = [self._describe(listed) for listed in usable]
        return Pressure(
            statistics.fmean(item.waiting_s for item in described),
            statistics.fmean(item.in_flight / item.slots for item in described),
        )

    def expected_s(self, listed: views.Listed) -> float:
        """Returns how long prompts wait at an upstream."""
        return self._describe(listed).waiting_s

    def _prompt(
        self, request: inboundrequest.InboundRequest, plan: Plan
    ) -> loadbalancing.Prompt:
        if request.prefix_key is None or request.size is None:
            return loadbalancing.Prompt()
        size = request.size
        saved = prefill.weighted_tokens(size.prompt) - prefill.weighted_tokens(
            size.prompt, request.prefix_tokens
        )
        # Models do not share what they have cached.
        return loadbalancing.Prompt(
            f'{plan.model}/{request.prefix_key}',
            self._prefill_rates.seconds(plan.service, plan.model or '', saved),
        )

    def note_head(
        self, request: inboundrequest.InboundRequest, plan: Plan, seconds: float
    ) -> None:
        """Learns from the time until an answer began."""
        if request.size is not None:
            self._prefill_rates.note(
                plan.service,
                plan.model or '',
                prefill.weighted_tokens(request.size.prompt),
                seconds,
            )

    def _may_send(self, listed: views.Listed) -> bool:
        if self._clock.now() >= listed.cold_until:
            return True
        directory = self._view.directory
        service = directory and directory.services.get(listed.upstream.service)
        if service is None or not service.cold_per_s:
            return True
        bounds = self._current.value.bounds
        upstream = listed.upstream.upstream_id
        senders, per_s, burst = coldrate.split_rate(
            service.cold_per_s,
            bounds.cold_excess,
            bounds.cold_slack,
            self._peers.fleet or coldrate.ASSUMED_FLEET_NODES,
        )
        others = [peer.node for peer in self._peers.alive]
        own = self._current.value.node
        if not coldrate.is_sender(own, others, upstream, senders):
            return False
        return self._load.take_cold(upstream, per_s, burst)
