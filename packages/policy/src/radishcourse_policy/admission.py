"""Queue of a node in front of the upstreams: fair, and without late jobs.

Organisations are served by start-time fair queueing, weighted by their
shares. Within an organisation the job with the highest value for each
second of service comes first. A job that can no longer be on time, or that
waited for too long, is dropped instead of served.
"""

import dataclasses
import math

from radishcourse_model import ids

# Longest wait in the queue. What waits when an overload ends has to be
# served out of the spare capacity, so this bounds the time of recovery.
MAX_WAIT_S = 2.0
MAX_WAIT_SHARE = 0.1
# Requests in progress over the fleet, as a multiple of the upstreams' slots:
# enough that a slot does not wait for the next request.
SLOT_FACTOR = 1.5
MIN_IN_PROGRESS = 2
# Assumed service time until one was observed.
SERVICE_S = 0.5
# A job needs this multiple of its mean service time to be likely on time.
CERTAIN_SERVICES = 1.5


@dataclasses.dataclass(eq=False)
class Waiting:
    """A job in the queue.

    Attributes:
      organisation: Its organisation.
      share: Weight of the organisation.
      weight: Weight of the completed job in the measures.
      service_s: Expected service time.
      deadline: When its answer must be complete.
      arrived_at: When it entered the queue.
    """

    organisation: ids.OrganisationId
    share: float
    weight: float
    service_s: float
    deadline: float
    arrived_at: float

    @property
    def longest_wait_s(self) -> float:
        """Longest time in the queue."""
        allowed = self.deadline - self.arrived_at
        return max(MAX_WAIT_S, MAX_WAIT_SHARE * allowed)

    @property
    def value(self) -> float:
        """Weight for each second of service."""
        return self.weight / max(1e-3, self.service_s)

    def can_be_on_time(self, now: float) -> bool:
        """Tells whether it is still likely to be on time."""
        return now + CERTAIN_SERVICES * self.service_s <= self.deadline

    def is_due(self, now: float) -> bool:
        """Tells whether it is worth being served."""
        waited = now - self.arrived_at
        return waited <= self.longest_wait_s and self.can_be_on_time(now)


class FairQueue:
    """Waiting jobs of all organisations."""

    def __init__(self):
        self._jobs: dict[ids.OrganisationId, list[Waiting]] = {}
        self._served: dict[ids.OrganisationId, float] = {}
        self._virtual_time = 0.0

    def __len__(self) -> int:
        return sum(len(jobs) for jobs in self._jobs.values())

    def add(self, job: Waiting) -> None:
        """Adds a job."""
        if not self._jobs.get(job.organisation):
            # An organisation that was idle has no credit for that time.
            served = self._served.get(job.organisation, 0.0)
            self._served[job.organisation] = max(served, self._virtual_time)
        self._jobs.setdefault(job.organisation, []).append(job)

    def remove(self, job: Waiting) -> None:
        """Removes a job whose caller left; does nothing if it is not in."""
        jobs = self._jobs.get(job.organisation, [])
        if job in jobs:
            jobs.remove(job)

    def drop_late(self, now: float) -> list[Waiting]:
        """Removes and returns the jobs that are not worth being served."""
        dropped = []
        for organisation, jobs in self._jobs.items():
            kept = [job for job in jobs if job.is_due(now)]
            if len(kept) < len(jobs):
                dropped += [job for job in jobs if not job.is_due(now)]
                self._jobs[organisation] = kept
        return dropped

    def take(self) -> Waiting | None:
        """Removes and returns the job that is served next."""
        waiting = [name for name, jobs in self._jobs.items() if jobs]
        if not waiting:
            return None
        organisation = min(waiting, key=lambda name: self._served[name])
        jobs = self._jobs[organisation]
        job = max(jobs, key=lambda item: (item.value, -item.deadline))
        jobs.remove(job)
        self._virtual_time = self._served[organisation]
        self._served[organisation] += job.service_s / job.share
        return job


def split(limit: float, live_nodes: int) -> int:
    """Returns a node's part of a limit over the fleet, at least 1."""
    return max(1, math.ceil(limit / max(1, live_nodes)))


def most_in_progress(slots: int, live_nodes: int) -> int:
    """Returns how many model jobs a node may have in progress."""
    return max(MIN_IN_PROGRESS, split(SLOT_FACTOR * slots, live_nodes))


class Rate:
    """A token bucket for an organisation's part of the requests a second."""

    def __init__(self, now: float):
        self._tokens: float | None = None
        self._at = now

    def take(self, now: float, per_second: float) -> float:
        """Takes a token.

        Returns:
          0 when there was one, else the seconds until there is one.
        """
        most = max(1.0, per_second)
        if self._tokens is None:
            self._tokens = most
        earned = (now - self._at) * per_second
        self._tokens = min(most, self._tokens + earned)
        self._at = now
        if self._tokens >= 1:
            self._tokens -= 1
            return 0.0
        return (1 - self._tokens) / per_second
