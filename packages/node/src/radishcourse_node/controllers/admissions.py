"""Limits of organisations, and the fair queue in front of the upstreams."""

import collections
import contextlib

import anyio

from radishcourse_model import ids
from radishcourse_node import errors
from radishcourse_node import job as jobs
from radishcourse_policy import admission as policy

# Share of the latest time in the expected service time of a kind.
SERVICE_GAIN = 0.1
RETRY_AFTER_S = 2


class Slot:
    """A place that a request holds until it leaves."""

    def __init__(self, counts: collections.Counter, organisation_id):
        self._counts = counts
        self._organisation_id = organisation_id
        self._held = True

    def leave(self) -> None:
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
        self._service: dict[tuple, float] = {}

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

    def enter(self, job: jobs.Job) -> Slot:
        """Returns a place for a job.

        Raises:
          Refusal: The organisation is at this node's part of its limit.
        """
        limits, name = job.organisation.limits, job.organisation_id
        nodes = self._live_nodes
        most = policy.limit_per_node(limits.concurrent, nodes)
        if self._counts[name] >= most:
            raise errors.Refusal(
                errors.RefusalCode.LIMIT_EXCEEDED,
                f'{most} requests are in progress',
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
        return Slot(self._counts, name)

    @contextlib.asynccontextmanager
    async def turn(self, job: jobs.Job, model: ids.ModelId):
        """Waits until an attempt may go to an upstream and counts it.

        Raises:
          Refusal: It would be late, or it waited for too long.
        """
        queue = self._queues.setdefault(model, _Queue())
        await self._wait(job, model, queue)
        began = self._clock.now()
        try:
            yield
        finally:
            queue.running -= 1
            self._note_service(job, model, self._clock.now() - began)
            self._start(model, queue)

    async def _wait(self, job: jobs.Job, model, queue: _Queue) -> None:
        now = self._clock.now()
        waiting = policy.QueuedJob(
            organisation=job.organisation_id,
            share=job.organisation.share,
            weight=job.kind.weight,
            service_s=self._expect(job, model),
            deadline=job.deadline,
            arrived_at=now,
        )
        queue.waiting.add(waiting)
        turn = queue.turns[waiting] = anyio.Event()
        self._start(model, queue)
        try:
            with anyio.move_on_after(waiting.max_wait_s):
                await turn.wait()
        except BaseException:
            # The turn may have come together with the cancellation.
            if turn.is_set() and waiting not in queue.turns:
                queue.running -= 1
            self._leave(queue, waiting)
            self._start(model, queue)
            raise
        if waiting in queue.turns or not turn.is_set():
            self._leave(queue, waiting)
            raise _overloaded(len(queue.waiting))

    def _leave(self, queue: _Queue, waiting: policy.QueuedJob) -> None:
        queue.waiting.remove(waiting)
        queue.turns.pop(waiting, None)

    def _start(self, model, queue: _Queue) -> None:
        """Lets attempts go while there is room; drops those too late."""
        most = policy.max_in_progress(self._slots(model), self._live_nodes)
        while queue.running < most and len(queue.waiting):
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
        for waiting in queue.waiting.drop_late(now):
            # Its entry stays, by which it sees that it was dropped.
            queue.turns[waiting].set()

    def _slots(self, model: ids.ModelId) -> int:
        return sum(
            upstream.slots
            for upstream in self._configuration.config.upstreams.values()
            if model in upstream.serves
        )

    def _expect(self, job: jobs.Job, model) -> float:
        key = (job.organisation_id, job.kind_id, model)
        left = max(0.0, job.deadline - self._clock.now())
        # Until times were seen, a short deadline alone is no reason to drop.
        unknown = min(policy.DEFAULT_SERVICE_S, left / 4)
        return self._service.get(key, unknown)

    def _note_service(self, job: jobs.Job, model, seconds: float) -> None:
        key = (job.organisation_id, job.kind_id, model)
        known = self._service.get(key, seconds)
        self._service[key] = known + SERVICE_GAIN * (seconds - known)


def _overloaded(waiting: int) -> errors.Refusal:
    return errors.Refusal(
        errors.RefusalCode.OVERLOADED,
        f'{waiting} other attempts wait; this one would be late',
        retry_after_s=RETRY_AFTER_S,
    )
