"""Limits of organisations, and the fair queue in front of the upstreams."""

import collections
import contextlib

import anyio

from radishcourse_model import ids
from radishcourse_node import errors
from radishcourse_node import job as jobs
from radishcourse_policy import admission as policy

# Weight of the newest service time in the running mean.
SERVICE_TIME_WEIGHT = 0.1
RETRY_AFTER_S = 2


class AdmittedRequest:
    """A request that counts towards the limit of its organisation."""

    def __init__(self, counts: collections.Counter, organisation_id):
        self._counts = counts
        self._organisation_id = organisation_id
        self._held = True

    def release(self) -> None:
        """Ends the count; a second call does nothing."""
        if self._held:
            self._held = False
            self._counts[self._organisation_id] -= 1


class _Queue:
    """Running and queued attempts of one model.

    Attributes:
      running: Number of attempts that are running.
      waiting: Jobs of the queued attempts.
      turns: Event of each queued attempt, set when it is started or dropped.
    """

    def __init__(self):
        self.running = 0
        self.waiting = policy.FairQueue()
        self.turns: dict[policy.QueuedJob, anyio.Event] = {}


class Admissions:
    """Enforces the limits of organisations and queues model attempts."""

    def __init__(self, node):
        self._clock = node.environment.clock
        self._configuration = node.configuration
        self._membership = node.membership
        self._counts: collections.Counter[ids.OrganisationId] = (
            collections.Counter()
        )
        self._rates: dict[ids.OrganisationId, policy.TokenBucket] = {}
        self._queues: dict[ids.ModelId, _Queue] = {}
        self._service_s: dict[tuple, float] = {}

    @property
    def in_progress(self) -> int:
        """Number of requests in progress on this node."""
        return self._counts.total()

    @property
    def waiting(self) -> int:
        """Number of model attempts in the queues."""
        return sum(len(queue.waiting) for queue in self._queues.values())

    @property
    def _live_nodes(self) -> int:
        return 1 + len(self._membership.present)

    def admit(self, job: jobs.Job) -> AdmittedRequest:
        """Counts a job towards its organisation's limits until released.

        Raises:
          Refusal: The organisation has reached this node's share of a limit.
        """
        limits, organisation_id = job.organisation.limits, job.organisation_id
        nodes = self._live_nodes
        limit = policy.limit_per_node(limits.concurrent, nodes)
        if self._counts[organisation_id] >= limit:
            raise errors.Refusal(
                errors.RefusalCode.LIMIT_EXCEEDED,
                f'limit of {limit} requests in progress per node is reached',
                retry_after_s=1,
            )
        now = self._clock.now()
        rate = self._rates.setdefault(organisation_id, policy.TokenBucket(now))
        wait_s = rate.take(now, limits.requests_per_second / nodes)
        if wait_s:
            raise errors.Refusal(
                errors.RefusalCode.LIMIT_EXCEEDED,
                f'limit of {limits.requests_per_second} requests per second '
                'is exceeded',
                retry_after_s=max(1, round(wait_s)),
            )
        self._counts[organisation_id] += 1
        return AdmittedRequest(self._counts, organisation_id)

    @contextlib.asynccontextmanager
    async def turn(self, job: jobs.Job, model: ids.ModelId):
        """Waits in the fair queue, then counts the attempt as running.

        Raises:
          Refusal: It can't meet its deadline, or it waited for too long.
        """
        queue = self._queues.setdefault(model, _Queue())
        await self._wait(job, model, queue)
        started_at = self._clock.now()
        try:
            yield
        finally:
            queue.running -= 1
            self._note_service(job, model, self._clock.now() - started_at)
            self._start_waiting(model, queue)

    async def _wait(self, job: jobs.Job, model, queue: _Queue) -> None:
        now = self._clock.now()
        queued_job = policy.QueuedJob(
            organisation=job.organisation_id,
            share=job.organisation.share,
            weight=job.kind.weight,
            service_s=self._expected_service_s(job, model),
            deadline=job.deadline,
            arrived_at=now,
        )
        queue.waiting.add(queued_job)
        turn = queue.turns[queued_job] = anyio.Event()
        self._start_waiting(model, queue)
        try:
            with anyio.move_on_after(queued_job.max_wait_s):
                await turn.wait()
        except BaseException:
            # The attempt may have been started just before the cancellation.
            if turn.is_set() and queued_job not in queue.turns:
                queue.running -= 1
            self._remove(queue, queued_job)
            self._start_waiting(model, queue)
            raise
        if queued_job in queue.turns or not turn.is_set():
            self._remove(queue, queued_job)
            raise _overloaded(len(queue.waiting))

    def _remove(self, queue: _Queue, queued_job: policy.QueuedJob) -> None:
        queue.waiting.remove(queued_job)
        queue.turns.pop(queued_job, None)

    def _start_waiting(self, model, queue: _Queue) -> None:
        """Starts queued attempts up to the limit and drops late ones."""
        limit = policy.max_in_progress(
            self._total_slots(model), self._live_nodes
        )
        while queue.running < limit and len(queue.waiting):
            self._drop_late(queue)
            next_job = queue.waiting.take()
            if next_job is None:
                return
            queue.running += 1
            queue.turns.pop(next_job).set()

    def _drop_late(self, queue: _Queue) -> None:
        now = self._clock.now()
        if queue.running == 0:
            # A refusal saves no capacity while no attempt is running.
            return
        for queued_job in queue.waiting.drop_late(now):
            # The entry stays in `turns`, which tells the waiting attempt that
            # it was dropped.
            queue.turns[queued_job].set()

    def _total_slots(self, model: ids.ModelId) -> int:
        return sum(
            upstream.slots
            for upstream in self._configuration.config.upstreams.values()
            if model in upstream.serves
        )

    def _expected_service_s(self, job: jobs.Job, model) -> float:
        key = (job.organisation_id, job.kind_id, model)
        remaining_s = max(0.0, job.deadline - self._clock.now())
        # Before a time was observed, a job must not be dropped for a short
        # deadline alone.
        default = min(policy.DEFAULT_SERVICE_S, remaining_s / 4)
        return self._service_s.get(key, default)

    def _note_service(self, job: jobs.Job, model, seconds: float) -> None:
        key = (job.organisation_id, job.kind_id, model)
        known = self._service_s.get(key, seconds)
        self._service_s[key] = known + SERVICE_TIME_WEIGHT * (seconds - known)


def _overloaded(waiting: int) -> errors.Refusal:
    return errors.Refusal(
        errors.RefusalCode.OVERLOADED,
        f'{waiting} other attempts are queued; this one would miss its '
        'deadline or waited too long',
        retry_after_s=RETRY_AFTER_S,
    )
