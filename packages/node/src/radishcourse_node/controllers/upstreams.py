"""Choice and reservation of upstreams, and retry budgets.

`health` keeps the state of the upstreams, `probes` asks for it, `permits`
limits the use of cold ones, and `slots` queues jobs until one is free.
"""

import contextlib

import anyio

from radishcourse_model import ids
from radishcourse_model import schema
from radishcourse_model import states
from radishcourse_node import enginecontrol
from radishcourse_node import engines
from radishcourse_node import errors
from radishcourse_node import job as jobs
from radishcourse_node.controllers import availability
from radishcourse_node.controllers import health
from radishcourse_node.controllers import permits
from radishcourse_node.controllers import probes
from radishcourse_node.controllers import reservations
from radishcourse_node.controllers import slots
from radishcourse_policy import placement
from radishcourse_policy import retrybudget
from radishcourse_policy import slots as slot_policy
from radishcourse_wire.gen.peer import ttypes

# Minimum time between two jobs that a node sends to a cold upstream while warm
# ones are free.
TRIAL_INTERVAL_S = 1.0


class Upstreams:
    """Chooses and reserves upstreams, and keeps the retry budgets."""

    def __init__(self, node):
        self._clock = node.environment.clock
        self._random = node.environment.random
        self._configuration = node.configuration
        self._settings = node.settings
        self._caches = node.caches
        self._pools = engines.Pools(node.timeouts)
        self._budgets: dict[tuple, retrybudget.RetryBudget] = {}
        self._next_trial_at: dict[ids.UpstreamId, float] = {}
        self._timeouts = node.timeouts
        self.registry = health.Registry(
            self._clock, node.settings.node, node.timeouts.lateness
        )
        self.probes = probes.Probes(node, self.registry, self.engine)
        self.availability = availability.Availability(
            self._clock, node.configuration, self.registry
        )
        self.permits = permits.Permits(
            node, self.registry, self.availability, self.engine
        )
        self.slots = slots.Slots(self._clock)

    @property
    def health(self) -> dict[ids.UpstreamId, health.Health]:
        """Health by upstream, as far as known."""
        return self.registry.health

    def state(self, upstream_id: ids.UpstreamId) -> states.UpstreamState:
        """Returns the state of an upstream."""
        return self.registry.state(upstream_id)

    def now(self) -> float:
        """Returns the time by the node's clock, in seconds."""
        return self._clock.now()

    def records(self) -> list[ttypes.UpstreamRecord]:
        """Returns the records to gossip."""
        return self.registry.records()

    def merge(
        self,
        records: list[ttypes.UpstreamRecord],
        asked_at: float | None = None,
    ) -> None:
        """Merges the records of a peer; see `health.Registry.merge`."""
        self.registry.merge(records, asked_at)

    def engine(
        self, upstream_id: ids.UpstreamId
    ) -> enginecontrol.Engine | None:
        """Returns the control client of an upstream, None if not configured."""
        upstream = self._configuration.config.upstreams.get(upstream_id)
        if upstream is None:
            return None
        pool = self._pools.get(upstream.address)
        return enginecontrol.Engine(upstream.address, pool, self._timeouts)

    async def run(self) -> None:
        """Runs probes and permits until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.probes.run)
            tasks.start_soon(self.permits.run)

    def note_failure(self, upstream_id, error: errors.AttemptError) -> None:
        """Notes a failed attempt."""
        if error.reset:
            self.registry.note_reset(upstream_id)

    def spend_retry(self, organisation_id, upstream_id: ids.UpstreamId) -> bool:
        """Spends a retry of the budget of an organisation and a pool.

        Args:
          organisation_id: The organisation.
          upstream_id: The upstream whose attempt failed. The budget is the one
            of its pool.

        Returns:
          Whether the budget allows a retry; False if the upstream is no longer
          configured.
        """
        upstream = self._configuration.config.upstreams.get(upstream_id)
        if upstream is None:
            return False
        return self._budget(organisation_id, upstream.pool).spend()

    @contextlib.asynccontextmanager
    async def reserve(
        self, job, model, version, tried, allowed, request_id: str = ''
    ):
        """Yields a reservation of an upstream that serves a version.

        Args:
          job: The job.
          model: The model.
          version: The version.
          tried: Upstreams that are used only if there is no other.
          allowed: Function that returns whether an upstream may receive new
            work now.
          request_id: Id of an earlier request at the upstream, to resume its
            stream. By default a new id is made.

        Raises:
          Refusal: No upstream may take the attempt, or none has room in time.
        """

        def find() -> dict[ids.UpstreamId, schema.Upstream]:
            return {
                upstream_id: upstream
                for upstream_id, upstream in (
                    self._configuration.config.upstreams.items()
                )
                if version in upstream.serves.get(model, ())
                and self._is_loaded(upstream_id, model, version)
                and allowed(upstream_id)
            }

        async with self._reserve(job, find, tried, request_id) as reservation:
            yield reservation

    def _is_loaded(self, upstream_id, model, version) -> bool:
        models = self.probes.last_state(upstream_id).models
        return models is None or f'{model}/{version}' in models

    @contextlib.asynccontextmanager
    async def reserve_service(self, job, tried, allowed):
        """Yields a reservation of an upstream of a plain service.

        Args:
          job: The job.
          tried: Upstreams that are used only if there is no other.
          allowed: Function that returns whether an upstream may receive new
            work now.

        Raises:
          Refusal: No upstream may take the attempt, or none has room in time.
        """

        def find() -> dict[ids.UpstreamId, schema.Upstream]:
            config = self._configuration.config
            service = config.services.get(job.call.service)
            return {
                upstream_id: config.upstreams[upstream_id]
                for upstream_id in (service.upstreams if service else ())
                if upstream_id in config.upstreams and allowed(upstream_id)
            }

        async with self._reserve(job, find, tried) as reservation:
            yield reservation

    @contextlib.asynccontextmanager
    async def _reserve(self, job: jobs.Job, find, tried, request_id: str = ''):
        job.attempts += 1
        request_id = request_id or f'{job.request_id}-{job.attempts}'
        while True:
            choices = self._prefer_untried(find(), tried)
            chosen = await self._choose(job, choices)
            if chosen is None:
                await self.slots.wait(job, choices)
                continue
            # Another slot may be free for the next waiting job, which would
            # otherwise wait for its next check.
            self.slots.wake(chosen)
            async with self._try_reserve(chosen, request_id) as reservation:
                # The choices may have changed during a probe or permit request.
                if reservation is None or chosen not in find():
                    continue
                if not tried:
                    self._note_request(job, choices[chosen])
                yield reservation
                return

    def _prefer_untried(self, choices, tried):
        untried = {key: choices[key] for key in choices if key not in tried}
        if not choices:
            raise errors.Refusal(
                errors.RefusalCode.NO_UPSTREAM,
                'no upstream is available for the request',
                retry_after_s=1,
            )
        return untried or choices

    async def _choose(self, job, choices) -> ids.UpstreamId | None:
        """Returns an upstream to try now, or None if the job must wait."""
        await self._probe_unknown(choices)
        if not self.slots.has_turn(job, choices):
            return None
        now = self._clock.now()
        usable = [
            self._make_candidate(*item)
            for item in choices.items()
            if self.state(item[0]) is not states.UpstreamState.UNKNOWN
            and self._has_room(*item)
        ]
        trials = [item for item in usable if item.cold]
        warm = [item for item in usable if not item.cold]
        due = [
            item
            for item in trials
            if now >= self._next_trial_at.get(item.upstream, 0.0) or not warm
        ]
        chosen = placement.choose(
            self._caches.add_estimates(job, due or warm), self._random
        )
        if chosen is None:
            return None
        if chosen.cold:
            self._next_trial_at[chosen.upstream] = now + TRIAL_INTERVAL_S
        return chosen.upstream

    async def _probe_unknown(self, choices) -> None:
        for upstream_id in choices:
            if self.state(upstream_id) is states.UpstreamState.UNKNOWN:
                await self.probes.probe(upstream_id)

    def _has_room(self, upstream_id, upstream: schema.Upstream) -> bool:
        known = self.registry.get(upstream_id)
        now = self._clock.now()
        if self._needs_permit(upstream_id):
            return now >= known.refused_until
        return slot_policy.is_free(
            upstream.slots,
            known.in_flight,
            known.reported,
            known.reported_own,
            now - known.reported_at,
        )

    def _needs_permit(self, upstream_id: ids.UpstreamId) -> bool:
        """Tells whether an upstream is cold, or may be as it is silent."""
        return self.state(upstream_id) is not states.UpstreamState.WARM

    @contextlib.asynccontextmanager
    async def _try_reserve(self, upstream_id: ids.UpstreamId, request_id: str):
        """Yields a reservation, or None if the upstream can't be used now."""
        if not self._needs_permit(upstream_id):
            if not self.registry.is_warm(upstream_id):
                await self.probes.probe(upstream_id)
            if not self.registry.is_warm(upstream_id):
                yield None
                return
            async with self._hold_slot(
                upstream_id, request_id, None
            ) as reservation:
                yield reservation
            return
        async with self.permits.acquire(upstream_id, request_id) as permit:
            if permit is None:
                yield None
                return
            async with self._hold_slot(
                upstream_id, request_id, permit
            ) as reservation:
                yield reservation

    @contextlib.asynccontextmanager
    async def _hold_slot(self, upstream_id, request_id: str, permit):
        known = self.registry.get(upstream_id)
        started_at = self._clock.now()
        known.in_flight += 1
        try:
            yield reservations.Reservation(
                self, upstream_id, request_id, permit
            )
        except errors.AttemptError as error:
            self.note_failure(upstream_id, error)
            raise
        finally:
            known.in_flight -= 1
            self.slots.note_done(upstream_id, self._clock.now() - started_at)

    def _make_candidate(
        self, upstream_id: ids.UpstreamId, upstream: schema.Upstream
    ) -> placement.Candidate:
        known = self.registry.get(upstream_id)
        return placement.Candidate(
            upstream=upstream_id,
            slots=upstream.slots,
            in_flight=known.in_flight,
            reported=known.reported,
            report_age_s=self._clock.now() - known.reported_at,
            same_zone=upstream.zone == self._settings.zone,
            cold=self._needs_permit(upstream_id),
        )

    def _note_request(self, job, upstream: schema.Upstream) -> None:
        self._budget(job.organisation_id, upstream.pool).note_request()

    def _budget(self, organisation_id, pool) -> retrybudget.RetryBudget:
        key = (organisation_id, pool)
        if key not in self._budgets:
            self._budgets[key] = retrybudget.RetryBudget()
        return self._budgets[key]

    async def aclose(self) -> None:
        """Closes all connections."""
        await self._pools.aclose()
