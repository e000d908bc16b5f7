"""Limits of organisations, and the fair queue in front of the upstreams."""

import collections
import contextlib

import anyio

from radishcourse_model import ids
from radishcourse_node import errors
from radishcourse_node import job as jobs
from radishcourse_policy import admission as policy

# Share of the latest time in the expected service time of a kind.
SERVICE_WEIGHT = 0.1
RETRY_AFTER_S = 2


class AdmittedRequest:
    """A place that a request holds until it leaves."""

    def __init__(self, counts: collections.Counter, organisation_id):
        self._counts = counts
        self._organisation_id = organisation_id
        self._held = True

    def release(self) -> None:
        """Gives the place back; a second call does nothing."""
        if self._held:
            self._held = False
            self._counts[self._organisation_id] -= 1


class _Queue:
    """Attempts of one model that run, and those that wait."""

    def __init__(self):
        self.running = 0
        self.waiting = policy.FairQueue()
        self.turns: dict[policy.QueuedJob, anyio.Event] = {}


class Admissions:
    """Counts requests of organisations and gives model attempts their turn."""

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
        """Requests in progress on this node."""
        return self._counts.total()

    @property
    def waiting(self) -> int:
        """Model attempts that wait for their turn."""
        return sum(len(queue.waiting) for queue in self._queues.values())

    @property
    def _live_nodes(self) -> int:
        return 1 + len(self._membership.present)

    def admit(self, job: jobs.Job) -> AdmittedRequest:
        """Returns a place for a job.

        Raises:
          Refusal: The organisation is at this node's part of its limit.
        """
        limits, name = job.organisation.limits, job.organisation_id
        nodes = self._live_nodes
        limit = policy.limit_per_node(limits.concurrent, nodes)
        if self._counts[name] >= limit:
            raise errors.Refusal(
                errors.RefusalCode.LIMIT_EXCEEDED,
                f'{limit} requests are in progress',
                retry_after_s=1,
            )
        now = self._clock.now()
        rate = self._rates.setdefault(name, policy.TokenBucket(now))
        wait_s = rate.take(now, limits.requests_per_second / nodes)
        if wait_s:
            raise errors.Refusal(
                errors.RefusalCode.LIMIT_EXCEEDED,
                f'{limits.requests_per_second} requests a second are exceeded',
                retry_after_s=max(1, round(wait_s)),
            )
        self._counts[name] += 1
        return AdmittedRequest(self._counts, name)

    @contextlib.asynccontextmanager
    async def turn(self, job: jobs.Job, model: ids.ModelId):
        """Waits until an attempt may go to an upstream and counts it.

        Raises:
          Refusal: It would be late, or it waited for too long.
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
            # The turn may have come together with the cancellation.
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
        """Lets attempts go while there is room; drops those too late."""
        limit = policy.max_in_progress(
            self._total_slots(model), self._live_nodes
        )
        while queue.running < limit and len(queue.waiting):
            self._drop_late(queue)
            taken = queue.waiting.take()
            if taken is None:
                return
            queue.running += 1
            queue.turns.pop(taken).set()

    def _drop_late(self, queue: _Queue) -> None:
        now = self._clock.now()
        if queue.running == 0:
            # Nothing is gained by a refusal while the upstreams are idle.
            return
        for queued_job in queue.waiting.drop_late(now):
            # Its entry stays, by which it sees that it was dropped.
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
        # Until times were seen, a short deadline alone is no reason to drop.
        default = min(policy.DEFAULT_SERVICE_S, remaining_s / 4)
        return self._service_s.get(key, default)

    def _note_service(self, job: jobs.Job, model, seconds: float) -> None:
        key = (job.organisation_id, job.kind_id, model)
        known = self._service_s.get(key, seconds)
        self._service_s[key] = known + SERVICE_WEIGHT * (seconds - known)


def _overloaded(waiting: int) -> errors.Refusal:
    return errors.Refusal(
        errors.RefusalCode.OVERLOADED,
        f'{waiting} other attempts wait; this one would be late',
        retry_after_s=RETRY_AFTER_S,
    )
