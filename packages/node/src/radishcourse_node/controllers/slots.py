"""Jobs that wait for a free slot of an upstream."""

import dataclasses

import anyio

from radishcourse_model import ids
from radishcourse_node import errors
from radishcourse_node import job as jobs
from radishcourse_policy import slots as policy

# Load reports and permits change without waking the waiting jobs, so these
# check again after this time.
RECHECK_INTERVAL_S = 0.1
RETRY_AFTER_S = 1


@dataclasses.dataclass
class _Waiter:
    rank: tuple[int, float]
    choices: frozenset[ids.UpstreamId]
    woken: anyio.Event


class Slots:
    """Queue of jobs by priority, then by deadline."""

    def __init__(self, clock):
        self._clock = clock
        self._waiting: list[_Waiter] = []
        self._mean_s: dict[ids.UpstreamId, float] = {}

    @property
    def waiting(self) -> int:
        """Number of waiting jobs."""
        return len(self._waiting)

    def note_done(self, upstream: ids.UpstreamId, seconds: float) -> None:
        """Notes how long an attempt used a slot, and wakes the next job."""
        self._mean_s[upstream] = policy.update_mean(
            self._mean_s.get(upstream), seconds
        )
        self.wake(upstream)

    def wake(self, upstream: ids.UpstreamId) -> None:
        """Wakes the first job that waits for an upstream."""
        for waiter in self._waiting:
            if upstream in waiter.choices and not waiter.woken.is_set():
                waiter.woken.set()
                return

    def has_turn(self, job: jobs.Job, choices) -> bool:
        """Tells whether no job of higher rank waits for any of the choices."""
        rank = _rank(job)
        return not any(
            waiter.rank < rank and not waiter.choices.isdisjoint(choices)
            for waiter in self._waiting
        )

    async def wait(self, job: jobs.Job, choices: dict) -> None:
        """Waits until a slot may be free, `RECHECK_INTERVAL_S` at most.

        Args:
          job: The job.
          choices: Upstreams that may take it, by id.

        Raises:
          Refusal: The job can't meet its deadline.
        """
        waiter = _Waiter(_rank(job), frozenset(choices), anyio.Event())
        self._check_deadline(job, waiter, choices)
        self._waiting.append(waiter)
        self._waiting.sort(key=lambda item: item.rank)
        try:
            with anyio.move_on_after(RECHECK_INTERVAL_S):
                await waiter.woken.wait()
        finally:
            self._waiting.remove(waiter)

    def _check_deadline(self, job: jobs.Job, waiter: _Waiter, choices) -> None:
        ahead = sum(
            other.rank < waiter.rank
            and not other.choices.isdisjoint(waiter.choices)
            for other in self._waiting
        )
        means = [self._mean_s[key] for key in choices if key in self._mean_s]
        on_time = policy.can_meet_deadline(
            job.deadline - self._clock.now(),
            ahead,
            sum(item.slots for item in choices.values()),
            min(means, default=None),
        )
        if not on_time:
            raise errors.Refusal(
                errors.RefusalCode.OVERLOADED,
                f'{ahead} jobs are queued ahead of this one; it would miss its '
                'deadline',
                retry_after_s=RETRY_AFTER_S,
            )


def _rank(job: jobs.Job) -> tuple[int, float]:
    priority = job.kind.priority if job.kind is not None else 0
    return -priority, job.deadline
