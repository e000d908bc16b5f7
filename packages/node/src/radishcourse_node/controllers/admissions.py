"""Requests in progress and the limits of organisations."""

import collections

from radishcourse_model import ids

from radishcourse_node import errors
from radishcourse_node import job as jobs


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


class Admissions:
    """Counts requests in progress by organisation."""

    def __init__(self):
        self._counts: collections.Counter[ids.OrganisationId] = (
            collections.Counter()
        )

    @property
    def in_progress(self) -> int:
        """Requests in progress on this node."""
        return self._counts.total()

    def enter(self, job: jobs.Job) -> Slot:
        """Returns a place for a job.

        Raises:
          Refusal: The organisation is at its limit.
        """
        limit = job.organisation.limits.concurrent
        if self._counts[job.organisation_id] >= limit:
            raise errors.Refusal(
                errors.RefusalCode.LIMIT_EXCEEDED,
                f'{limit} requests are in progress',
                retry_after_s=1,
            )
        self._counts[job.organisation_id] += 1
        return Slot(self._counts, job.organisation_id)
