"""Upstreams: health, load, connections and reservations."""

import contextlib
import dataclasses

import anyio
import httpcore
import msgspec
from radishcourse_model import ids
from radishcourse_model import schema
from radishcourse_model import states
from radishcourse_platform import http
from radishcourse_policy import placement
from radishcourse_policy import retrybudget

from radishcourse_node import engines
from radishcourse_node import errors
from radishcourse_node import events

POLL_S = 0.5
PROBE_TIMEOUT_S = 0.5


class _State(msgspec.Struct):
    boot: str = ''
    state: str = 'warm'
    running: int = 0
    queued: int = 0
    slots: int = 1
    age_ms: float = 0


@dataclasses.dataclass
class Health:
    """What this node knows of one upstream.

    Attributes:
      state: Its state.
      boot: The boot id that it told last.
      confirmed_at: When its state was last heard from itself.
      in_flight: Requests of this node that it runs now.
      reported: Requests that it reported last.
      reported_at: When it reported them.
    """

    state: states.UpstreamState = states.UpstreamState.UNKNOWN
    boot: str = ''
    confirmed_at: float = 0.0
    in_flight: int = 0
    reported: float = 0.0
    reported_at: float = 0.0


class Reservation:
    """A place on an upstream for one attempt."""

    def __init__(self, controller, upstream_id, upstream, pool):
        self.upstream_id: ids.UpstreamId = upstream_id
        self.address: str = upstream.address
        self.pool: httpcore.AsyncConnectionPool = pool
        self._controller = controller

    def note_signs(self, signs: engines.Signs) -> None:
        """Takes note of what the upstream tells of itself."""
        self._controller.note_signs(self.upstream_id, signs)


class Upstreams:
    """Keeps the health of all upstreams and hands out reservations."""

    def __init__(self, environment, configuration, settings, caches):
        self._clock = environment.clock
        self._random = environment.random
        self._configuration = configuration
        self._settings = settings
        self._caches = caches
        self._health: dict[ids.UpstreamId, Health] = {}
        self._pools = engines.Pools()
        self._budgets: dict[tuple, retrybudget.RetryBudget] = {}

    @property
    def health(self) -> dict[ids.UpstreamId, Health]:
        """Health of each upstream that was seen."""
        return self._health

    def state(self, upstream_id: ids.UpstreamId) -> states.UpstreamState:
        """Returns the state of an upstream."""
        return self._get(upstream_id).state

    async def run(self) -> None:
        """Asks the upstreams for their state again and again."""
        while True:
            upstreams = self._configuration.config.upstreams
            async with anyio.create_task_group() as tasks:
                for upstream_id, upstream in upstreams.items():
                    tasks.start_soon(self._probe, upstream_id, upstream)
            await anyio.sleep(POLL_S)

    async def _probe(self, upstream_id, upstream) -> None:
        pool = self._pools.get(upstream.address)
        try:
            with anyio.fail_after(PROBE_TIMEOUT_S):
                response = await pool.request(
                    'GET', f'http://{upstream.address}/v1/state'
                )
            told = msgspec.json.decode(response.content, type=_State)
        except (*http.CALL_ERRORS, msgspec.MsgspecError):
            self._change(upstream_id, states.UpstreamState.DOWN)
            return
        health = self._get(upstream_id)
        health.reported = told.running + told.queued
        health.reported_at = self._clock.now()
        self.note_signs(upstream_id, engines.Signs(told.boot, told.state))

    def note_signs(self, upstream_id, signs: engines.Signs) -> None:
        """Takes note of what an upstream tells of itself."""
        if not signs.state:
            return
        health = self._get(upstream_id)
        health.confirmed_at = self._clock.now()
        if health.boot != signs.boot:
            self._caches.forget(upstream_id)
        health.boot = signs.boot
        try:
            self._change(upstream_id, states.UpstreamState(signs.state))
        except ValueError:
            self._change(upstream_id, states.UpstreamState.UNKNOWN)

    def note_failure(self, upstream_id, error: errors.AttemptError) -> None:
        """Takes note of a failed attempt."""
        if error.reset:
            self._change(upstream_id, states.UpstreamState.COLD)

    def spend_retry(self, organisation_id, pool_name: str) -> bool:
        """Takes a retry from the budget of an organisation and a pool."""
        return self._budget(organisation_id, pool_name).spend()

    @contextlib.asynccontextmanager
    async def reserve(self, job, model, version, tried, allowed):
        """Yields a reservation on an upstream that serves a version.

        Raises:
          Refusal: No upstream may or can take the attempt.
        """
        configured = self._configuration.config.upstreams
        choices = {
            upstream_id: upstream
            for upstream_id, upstream in configured.items()
            if version in upstream.serves.get(model, ())
            and allowed(upstream_id)
        }
        async with self._take(job, choices, tried) as reservation:
            yield reservation

    @contextlib.asynccontextmanager
    async def reserve_service(self, job, tried, allowed):
        """Yields a reservation on an upstream of a plain service.

        Raises:
          Refusal: No upstream may or can take the attempt.
        """
        config = self._configuration.config
        service = config.services.get(job.call.service)
        choices = {
            upstream_id: config.upstreams[upstream_id]
            for upstream_id in (service.upstreams if service else ())
            if upstream_id in config.upstreams and allowed(upstream_id)
        }
        async with self._take(job, choices, tried) as reservation:
            yield reservation

    @contextlib.asynccontextmanager
    async def _take(self, job, choices, tried):
        untried = {key: choices[key] for key in choices if key not in tried}
        described = [
            self._describe(*item) for item in (untried or choices).items()
        ]
        chosen = placement.choose(
            self._caches.complete(job, described), self._random
        )
        if chosen is None:
            raise errors.Refusal(
                errors.RefusalCode.NO_UPSTREAM,
                'no upstream may take the request',
                retry_after_s=1,
            )
        upstream_id = chosen.upstream
        upstream = choices[upstream_id]
        if not tried:
            self._budget(job.organisation_id, upstream.pool).note_request()
        health = self._get(upstream_id)
        health.in_flight += 1
        try:
            yield Reservation(
                self,
                upstream_id,
                upstream,
                self._pools.get(upstream.address),
            )
        finally:
            health.in_flight -= 1

    def _describe(
        self, upstream_id: ids.UpstreamId, upstream: schema.Upstream
    ) -> placement.Candidate:
        health = self._get(upstream_id)
        return placement.Candidate(
            upstream=upstream_id,
            slots=upstream.slots,
            in_flight=health.in_flight,
            reported=health.reported,
            report_age_s=self._clock.now() - health.reported_at,
            same_zone=upstream.zone == self._settings.zone,
            cold=health.state is states.UpstreamState.COLD,
        )

    def _budget(self, organisation_id, pool) -> retrybudget.RetryBudget:
        key = (organisation_id, pool)
        if key not in self._budgets:
            self._budgets[key] = retrybudget.RetryBudget()
        return self._budgets[key]

    def _get(self, upstream_id: ids.UpstreamId) -> Health:
        return self._health.setdefault(upstream_id, Health())

    def _change(self, upstream_id, state: states.UpstreamState) -> None:
        health = self._get(upstream_id)
        if health.state is state:
            return
        events.log(
            events.Event.UPSTREAM_CHANGED,
            upstream=upstream_id,
            before=health.state.value,
            state=state.value,
        )
        health.state = state

    async def aclose(self) -> None:
        """Closes all connections."""
        await self._pools.aclose()
