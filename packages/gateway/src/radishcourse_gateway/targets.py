"""Chooses the upstream of an attempt by version, zone, warmth and load."""

import dataclasses
import math
import statistics
import typing

from radishcourse_gateway import directory as directories
from radishcourse_gateway import errors
from radishcourse_gateway import expectedload
from radishcourse_gateway import inboundrequest
from radishcourse_gateway import upstreamconnections
from radishcourse_gateway import view as views
from radishcourse_model import ids
from radishcourse_policy import answers
from radishcourse_policy import canary
from radishcourse_policy import coldrate
from radishcourse_policy import crashevidence
from radishcourse_policy import loadbalancing
from radishcourse_policy import namedlimits
from radishcourse_policy import overload
from radishcourse_policy import prefill
from radishcourse_policy import streampace

# Mean delay after which a caller should retry when no upstream can take its
# request: about one heartbeat, after which an upstream may be listed again. The
# delays are spread over as long a time.
RETRY_AFTER_S = 1.0


@dataclasses.dataclass
class Plan:
    """Progress of a request over its attempts.

    Attributes:
      attempts: Number of times it was sent to an upstream.
      may_have_run: Whether an upstream may have run it.
      tried: Incarnations of upstreams at which it failed.
      refused: Whether the latest attempt was refused for want of room.
      model: Model to run it on, None if the request names its own.
      service: The service that serves it, once chosen.
      version: The version that sends its stream, None before its head; a
        resumed stream stays with it until a roll-out retires it.
      excused_attempts: Attempts that ended as a roll-out stopped the upstream,
        which the route's most attempts do not count.
      event_ids: Ids of the events that the caller has received.
      begun: Whether the caller was sent the start of a response.
      confidence: Confidence of the last model in its answer, 0 to 100.
      retry_paid: Whether the retry budget has paid for the next attempt.
      reserved: Upstream that has been chosen for the next attempt.
      fallback: Sound upstream from which the stream was moved, for the attempt
        after one that fails; None without a move.
      head_at: When the head of the latest attempt's response arrived, on this
        node's clock in seconds; None before.
      progress_at: When the latest part of that response arrived; None before.
      answer: Identifies the prompt in evidence of crashes.
      arrival: What has arrived of the latest attempt's answer.
      metered: Whether the request has been counted for a usage report.
      wait: Identifies the latest attempt among those that wait for a head.
      pace: Progress of the latest attempt's stream.
      pace_events: Events of that stream.
      events: Events that the caller has received.
      moved: Whether the stream was continued elsewhere since it fell behind.
    """

    attempts: int = 0
    may_have_run: bool = False
    tried: set = dataclasses.field(default_factory=set)
    refused: bool = False
    model: ids.ModelId | None = None
    service: ids.ServiceId | None = None
    version: ids.VersionId | None = None
    event_ids: answers.EventIds = dataclasses.field(
        default_factory=answers.EventIds
    )
    begun: bool = False
    confidence: float | None = None
    retry_paid: bool = False
    reserved: views.ListedUpstream | None = None
    fallback: views.ListedUpstream | None = None
    head_at: float | None = None
    progress_at: float | None = None
    answer: crashevidence.Answer = crashevidence.Answer((), 0)
    arrival: upstreamconnections.Arrival = dataclasses.field(
        default_factory=upstreamconnections.Arrival
    )
    metered: bool = False
    wait: object = None
    pace: streampace.Progress = dataclasses.field(
        default_factory=streampace.Progress
    )
    pace_events: int = 0
    events: int = 0
    moved: bool = False
    excused_attempts: int = 0

    def is_repeatable(self, route: directories.Route) -> bool:
        """Tells whether an attempt that breaks off may be repeated.

        Another upstream knows where to go on only in streams with event ids.

        Args:
          route: The route of the request.
        """
        if self.begun:
            return route.resumable and self.last_event is not None
        return route.retryable

    def may_send(self, route: directories.Route) -> bool:
        """Tells whether the request may be sent to an upstream.

        What may have run is sent again only if it may run twice.

        Args:
          route: The route of the request.
        """
        return not self.may_have_run or self.is_repeatable(route)

    def begin_attempt(self, route: directories.Route) -> None:
        """Counts an attempt; called each time before the request is sent.

        Args:
          route: The route of the request.

        Raises:
          Refusal: The request may have run and must not run again.
          ResponseInterrupted: The same, after the start of a response.
        """
        if not self.may_send(route):
            message = 'the request may have run and must not be repeated'
            if self.begun:
                raise errors.ResponseInterrupted(message)
            raise errors.Refusal(errors.Reason.UPSTREAM_FAILED, message)
        self.attempts += 1
        self.may_have_run = True

    @property
    def last_event(self) -> bytes | None:
        """Id of the last event that the caller has received."""
        return self.event_ids.last


class ServiceLoad(typing.NamedTuple):
    """Mean load of a service's upstreams.

    Attributes:
      waiting_s: Expected seconds to prefill the waiting prompts.
      occupied: Share of the slots that are occupied.
    """

    waiting_s: float
    occupied: float


class Targets:
    """Chooses upstreams.

    Args:
      gateway: Provides the view, load, peers and roll-outs.

    Attributes:
      expected_load: Expected load and observed speed of upstreams.
    """

    def __init__(self, gateway):
        self._clock = gateway.environment.clock
        self._random = gateway.environment.random
        self._current_settings = gateway.current_settings
        self._view: views.View = gateway.view
        self._load = gateway.load
        self._peers = gateway.peers
        self._rollouts = gateway.rollouts
        self._limits = gateway.limits
        self._brittle = gateway.brittle
        self.expected_load = expectedload.ExpectedLoad(gateway)
        self._prefill_rates = prefill.PrefillRates()
        self._mean_work = namedlimits.MeanWork()

    def choose(
        self, request: inboundrequest.InboundRequest, plan: Plan
    ) -> views.ListedUpstream:
        """Returns the upstream for the next attempt.

        Raises:
          Refusal: No upstream can take the request.
        """
        if plan.reserved is not None:
            reserved, plan.reserved = plan.reserved, None
            return reserved
        fallback, plan.fallback = plan.fallback, None
        if fallback is not None and self._take(fallback):
            return fallback
        version = self._version(request, plan)
        usable = self._of_version(plan, version)
        by_id = self._untried(
            request, plan, usable, plan.tried
        ) or self._within_limits(self._open(usable), True)
        if plan.refused or not plan.tried:
            # The retry budget bounds repeats of what failed otherwise.
            by_id = self._brittle.admitted(by_id, plan.refused)
        chosen = self._pick(request, plan, by_id)
        if chosen is not None:
            return chosen
        raise errors.Refusal(
            errors.Reason.NO_UPSTREAM,
            f'{len(usable)} upstreams of {plan.service} are listed for '
            f'version {version}, none can take a request',
            retry_after_s=self._retry_after_s(usable),
        )

    def _of_version(
        self, plan: Plan, version: ids.VersionId | None
    ) -> list[views.ListedUpstream]:
        return [
            listed
            for listed in self._view.usable(plan.service)
            if version is None or listed.upstream.version == version
        ]

    def _open(
        self, usable: list[views.ListedUpstream]
    ) -> list[views.ListedUpstream]:
        return [item for item in usable if not self._is_paused(item)]

    def _untried(
        self,
        request: inboundrequest.InboundRequest,
        plan: Plan,
        usable: list[views.ListedUpstream],
        tried: set[tuple],
    ) -> dict[ids.UpstreamId, views.ListedUpstream]:
        untried = [
            item for item in self._open(usable) if item.incarnation not in tried
        ]
        heavy = self._is_heavy(request, plan)
        return self._within_limits(untried, heavy) or self._within_limits(
            untried, True
        )

    def _pick(
        self,
        request: inboundrequest.InboundRequest,
        plan: Plan,
        by_id: dict[ids.UpstreamId, views.ListedUpstream],
    ) -> views.ListedUpstream | None:
        """Returns the best upstream that may be sent to, None without one."""
        while by_id:
            chosen = self.expected_load.choose(
                by_id, self._prompt(request, plan)
            )
            listed = by_id.pop(chosen.upstream)
            if self._may_send(listed):
                self._limits.take(listed)
                return listed
        return None

    def reserve_other(
        self,
        request: inboundrequest.InboundRequest,
        plan: Plan,
        listed: views.ListedUpstream,
    ) -> bool:
        """Reserves an upstream that was not tried for the next attempt.

        Args:
          request: The request.
          plan: Its state.
          listed: The upstream of the latest attempt.

        Returns:
          Whether there is one; otherwise nothing has changed.
        """
        usable = self._of_version(plan, self._version(request, plan))
        tried = plan.tried | {listed.incarnation}
        by_id = self._untried(request, plan, usable, tried)
        by_id = self._brittle.admitted(by_id, False)
        plan.reserved = self._pick(request, plan, by_id)
        return plan.reserved is not None

    def reserve_move(
        self,
        request: inboundrequest.InboundRequest,
        plan: Plan,
        listed: views.ListedUpstream,
    ) -> bool:
        """Reserves another upstream for a stream that its own one sends.

        Its own one must be able to take it back. The arguments and the result
        are those of `reserve_other`.
        """
        if not self.may_take(listed):
            return False
        if not self.reserve_other(request, plan, listed):
            return False
        plan.fallback = listed
        return True

    def may_take(self, listed: views.ListedUpstream) -> bool:
        """Tells whether an upstream may get a request, cold ones aside."""
        usable = self._view.usable(listed.upstream.service)
        if all(item.incarnation != listed.incarnation for item in usable):
            return False
        return not self._is_paused(listed) and bool(
            self._within_limits([listed], True)
        )

    def _take(self, listed: views.ListedUpstream) -> bool:
        """Counts a request to an upstream if it may take one now."""
        if not self.may_take(listed) or not self._may_send(listed):
            return False
        self._limits.take(listed)
        return True

    def _version(
        self, request: inboundrequest.InboundRequest, plan: Plan
    ) -> ids.VersionId | None:
        """Returns the version for the next attempt, None for any.

        A stream that has begun stays with its version as long as that serves.
        """
        if plan.version is not None and not self._rollouts.retires(
            plan.service, plan.version
        ):
            return plan.version
        return self._rollouts.version_for(
            plan.service, request.session, request.request_id
        )

    def _within_limits(
        self, candidates: list[views.ListedUpstream], heavy: bool
    ) -> dict[ids.UpstreamId, views.ListedUpstream]:
        return {
            listed.upstream.upstream_id: listed
            for listed in candidates
            if not self._limits.wait_s(listed, heavy)
            and not self._brittle.wait_s(listed)
        }

    def _is_paused(self, listed: views.ListedUpstream) -> bool:
        return self._clock.now() < listed.paused_until

    def _is_heavy(
        self, request: inboundrequest.InboundRequest, plan: Plan
    ) -> bool:
        if request.size is None:
            return True
        work = prefill.weighted_tokens(request.size.prompt)
        return self._mean_work.is_heavy(plan.service, work)

    def _retry_after_s(self, usable: list[views.ListedUpstream]) -> float:
        """Returns when a caller may return, given the limits of upstreams.

        Another node may serve it where this one may not send.
        """
        now = self._clock.now()
        waits_s = [
            max(self._limits.wait_s(item), item.paused_until - now)
            for item in usable
        ]
        wait_s = min(filter(math.isfinite, waits_s), default=0.0)
        return max(wait_s, RETRY_AFTER_S * (0.5 + self._random.random()))

    def choose_service(
        self, request: inboundrequest.InboundRequest
    ) -> ids.ServiceId:
        """Returns the service that serves a request."""
        shares = request.route.shares
        if len(shares) == 1:
            return shares[0].service
        total = sum(share.weight for share in shares)
        # A session stays with one service while the weights are the same.
        name = request.session or request.request_id
        remaining = total * canary.session_hash(name, request.route.name, 0)
        for share in shares:
            remaining -= share.weight
            if remaining < 0:
                return share.service
        return shares[-1].service

    def _candidate(
        self, listed: views.ListedUpstream
    ) -> loadbalancing.Candidate:
        return self.expected_load.candidate(listed)

    def prefill_s(
        self,
        request: inboundrequest.InboundRequest,
        plan: Plan,
        model: ids.ModelId | None = None,
    ) -> float:
        """Returns the expected seconds to prefill a request's prompt."""
        if request.size is None:
            return 0.0
        return self._prefill_rates.seconds(
            plan.service,
            model or plan.model or '',
            prefill.weighted_tokens(request.size.prompt),
        )

    def service_load(self, service: ids.ServiceId) -> ServiceLoad:
        """Returns the mean load of the upstreams that could take a request.

        Those are the usable ones, without those whose limit is used.
        """
        listed = self._view.usable(service)
        open_ones = [item for item in listed if not self._is_paused(item)]
        usable = list(self._within_limits(open_ones, True).values()) or listed
        if not usable:
            return ServiceLoad(0.0, 0.0)
        candidates = [self._candidate(listed) for listed in usable]
        return ServiceLoad(
            statistics.fmean(item.waiting_s for item in candidates),
            statistics.fmean(
                item.in_flight / item.slots for item in candidates
            ),
        )

    def service_room(self, service: ids.ServiceId) -> overload.Room:
        """Returns the capacity of a service's upstreams and the work there.

        The best upstream is looked for among those that could take a request
        now: cold and failing ones count only if there are no others.
        """
        now = self._clock.now()
        listed = self._view.usable(service)
        candidates = {
            item.incarnation: self._candidate(item) for item in listed
        }
        open_ones = [item for item in listed if not self._is_paused(item)]
        usable = list(self._within_limits(open_ones, True).values())
        warm = [item for item in usable if now >= item.cold_until] or usable
        best = [candidates[item.incarnation] for item in warm or listed]
        best = [item for item in best if not item.failing] or best
        every = candidates.values()
        return overload.Room(
            slots=sum(item.slots for item in every),
            in_flight=sum(item.in_flight for item in every),
            mean_waiting_s=sum(item.waiting_s for item in every)
            / max(1, len(every)),
            best_waiting_s=min((item.waiting_s for item in best), default=0.0),
            best_excess=min(
                (
                    max(0, item.in_flight + 1 - item.slots) / item.slots
                    for item in best
                ),
                default=0.0,
            ),
        )

    def waiting_s(self, listed: views.ListedUpstream) -> float:
        """Returns the expected seconds that a prompt waits at an upstream."""
        return self._candidate(listed).waiting_s

    def _prompt(
        self, request: inboundrequest.InboundRequest, plan: Plan
    ) -> loadbalancing.Prompt:
        prefill_s = self.prefill_s(request, plan)
        if request.prefix_key is None or request.size is None:
            return loadbalancing.Prompt(prefill_s=prefill_s)
        size = request.size
        saved_work = prefill.weighted_tokens(
            size.prompt
        ) - prefill.weighted_tokens(size.prompt, request.parts.shared_tokens)
        # Models do not share cached prefixes.
        return loadbalancing.Prompt(
            f'{plan.model}/{request.prefix_key}',
            self._prefill_rates.seconds(
                plan.service, plan.model or '', saved_work
            ),
            prefill_s=prefill_s,
        )

    def note_head(
        self,
        request: inboundrequest.InboundRequest,
        plan: Plan,
        listed: views.ListedUpstream,
        seconds: float,
    ) -> None:
        """Updates the estimates with the time to a response's head."""
        self.expected_load.note_head(
            listed,
            request.route.name,
            plan.model or '',
            seconds,
            self.prefill_s(request, plan),
        )
        if request.size is not None:
            self._prefill_rates.update(
                plan.service,
                plan.model or '',
                prefill.weighted_tokens(request.size.prompt),
                seconds,
            )

    def _has_warm(self, cold: views.ListedUpstream) -> bool:
        """Whether a cold upstream's service has a usable one that is warm."""
        now = self._clock.now()
        return any(
            now >= item.cold_until
            for item in self._view.usable(cold.upstream.service)
        )

    def _may_send(self, listed: views.ListedUpstream) -> bool:
        if self._clock.now() >= listed.cold_until:
            return True
        service = self._view.service(listed.upstream.service)
        if service is None or not service.cold_per_s:
            return True
        bounds = self._current_settings.value.bounds
        upstream = listed.upstream.upstream_id
        senders, per_s, burst = coldrate.split_rate(
            service.cold_per_s,
            bounds.cold_excess,
            bounds.cold_slack,
            self._peers.fleet_size or coldrate.ASSUMED_FLEET_NODES,
        )
        others = [peer.node for peer in self._peers.alive]
        own = self._current_settings.value.node
        # Callers are served although all upstreams are cold.
        running_s = (
            self._peers.running_s if self._has_warm(listed) else math.inf
        )
        if not coldrate.is_sender(own, others, upstream, senders, running_s):
            return False
        return self._load.take_cold(upstream, per_s, burst)
