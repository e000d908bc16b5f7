"""Admission control of a node: a fair queue, and limits split over the nodes.

Organisations are served by start-time fair queueing, weighted by their
shares. Within an organisation the job with the highest value per second of
service comes first. A job that can no longer meet its deadline, or that has
waited for too long, is dropped instead of served.
"""

import dataclasses
import math

from radishcourse_model import ids

# A job may wait for this time or for this share of the time to its deadline,
# whichever is longer. The backlog at the end of an overload is worked off
# with spare capacity only, so the longest wait bounds the recovery time.
MAX_WAIT_S = 2.0
MAX_WAIT_SHARE = 0.1
# Requests in progress in the fleet per slot of the upstreams. The excess over
# 1 keeps a slot from idling until the next request arrives.
IN_PROGRESS_PER_SLOT = 1.5
MIN_IN_PROGRESS = 2
# Service time assumed until one was observed.
DEFAULT_SERVICE_S = 0.5
# Mean service times that must be left to the deadline for a job to be likely
# on time.
ON_TIME_SERVICES = 1.5


@dataclasses.dataclass(eq=False)
class QueuedJob:
    """A job in the queue.

    Attributes:
      organisation: The organisation that sent it.
      share: Weight of the organisation in fair queueing.
      weight: Weight of the job if it completes on time.
      service_s: Expected service time.
      deadline: Time by which its answer must be complete, in seconds of the
        node's clock.
      arrived_at: Time at which it entered the queue, on the same clock.
    """

    organisation: ids.OrganisationId
    share: float
    weight: float
    service_s: float
    deadline: float
    arrived_at: float

    @property
    def max_wait_s(self) -> float:
        """Time in the queue after which the job is dropped."""
        allowed = self.deadline - self.arrived_at
        return max(MAX_WAIT_S, MAX_WAIT_SHARE * allowed)

    @property
    def value(self) -> float:
        """Weight per second of service."""
        return self.weight / max(1e-3, self.service_s)

    def can_be_on_time(self, now: float) -> bool:
        """Returns whether it is still likely to meet its deadline."""
        return now + ON_TIME_SERVICES * self.service_s <= self.deadline

    def is_servable(self, now: float) -> bool:
        """Returns whether it waited within bounds and can be on time."""
        waited = now - self.arrived_at
        return waited <= self.max_wait_s and self.can_be_on_time(now)


class FairQueue:
    """Queued jobs of all organisations, in start-time fair order."""

    def __init__(self):
        self._jobs: dict[ids.OrganisationId, list[QueuedJob]] = {}
        self._start_tags: dict[ids.OrganisationId, float] = {}
        self._virtual_time = 0.0

    def __len__(self) -> int:
        return sum(len(jobs) for jobs in self._jobs.values())

    def add(self, job: QueuedJob) -> None:
        """Adds a job to the queue of its organisation."""
        if not self._jobs.get(job.organisation):
            # An organisation earns no credit for the time it was idle.
            start_tag = self._start_tags.get(job.organisation, 0.0)
            self._start_tags[job.organisation] = max(
                start_tag, self._virtual_time
            )
        self._jobs.setdefault(job.organisation, []).append(job)

    def remove(self, job: QueuedJob) -> None:
        """Removes a job whose caller left; does nothing if it isn't queued."""
        jobs = self._jobs.get(job.organisation, [])
        if job in jobs:
            jobs.remove(job)

    def drop_late(self, now: float) -> list[QueuedJob]:
        """Removes and returns the jobs that are late or waited too long."""
        dropped = []
        for organisation, jobs in self._jobs.items():
            kept = [job for job in jobs if job.is_servable(now)]
            if len(kept) < len(jobs):
                dropped += [job for job in jobs if not job.is_servable(now)]
                self._jobs[organisation] = kept
        return dropped

    def take(self) -> QueuedJob | None:
        """Removes and returns the next job to serve, None if there is none."""
        backlogged = [name for name, jobs in self._jobs.items() if jobs]
        if not backlogged:
            return None
        organisation = min(backlogged, key=lambda name: self._start_tags[name])
        jobs = self._jobs[organisation]
        job = max(jobs, key=lambda item: (item.value, -item.deadline))
        jobs.remove(job)
        self._virtual_time = self._start_tags[organisation]
        self._start_tags[organisation] += job.service_s / job.share
        return job


def limit_per_node(limit: float, live_nodes: int) -> int:
    """Returns a node's part of a limit of the whole fleet, at least 1."""
    return max(1, math.ceil(limit / max(1, live_nodes)))


def max_in_progress(slots: int, live_nodes: int) -> int:
    """Returns how many requests to one model a node may have in progress.

    Args:
      slots: Slots of all upstreams that serve the model.
      live_nodes: Nodes that share these upstreams.
    """
    return max(
        MIN_IN_PROGRESS,
        limit_per_node(IN_PROGRESS_PER_SLOT * slots, live_nodes),
    )


class TokenBucket:
    """Rate limit of an organisation on one node."""

    def __init__(self, now: float):
        self._tokens: float | None = None
        self._refilled_at = now

    def take(self, now: float, per_second: float) -> float:
        """Takes a token if there is one.

        Args:
          now: Current time in seconds.
          per_second: Rate at which tokens are added; the bucket holds those
            of one second, at least 1.

        Returns:
          0 if a token was taken, else the seconds until one is available.
        """
        capacity = max(1.0, per_second)
        if self._tokens is None:
            self._tokens = capacity
        refill = (now - self._refilled_at) * per_second
        self._tokens = min(capacity, self._tokens + refill)
        self._refilled_at = now
        if self._tokens >= 1:
            self._tokens -= 1
            return 0.0
        return (1 - self._tokens) / per_second
