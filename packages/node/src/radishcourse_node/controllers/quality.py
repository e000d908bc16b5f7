"""What was learned about the quality, time and cost of models."""

import dataclasses

from radishcourse_model import ids
from radishcourse_policy import cascade

from radishcourse_node import job as jobs

Key = tuple[ids.OrganisationId, ids.KindId, ids.ModelId]


@dataclasses.dataclass
class Sums:
    """Mergeable sums of ratings."""

    rated: int = 0
    good: int = 0


class Quality:
    """Keeps sums of ratings by organisation, kind and model."""

    def __init__(self, configuration):
        self._configuration = configuration
        self._sums: dict[Key, Sums] = {}

    def note(self, job: jobs.Job, model, version, good: bool) -> None:
        """Takes note of a rating."""
        del version
        sums = self._get(job, model)
        sums.rated += 1
        sums.good += good

    def describe(self, job: jobs.Job) -> list[cascade.Step]:
        """Returns what is known of each step of a job's cascade."""
        return [self._step(job, model) for model in job.steps]

    def _step(self, job: jobs.Job, model: ids.ModelId) -> cascade.Step:
        sums = self._get(job, model)
        good = (sums.good + 1) / (sums.rated + 2)
        return cascade.Step(
            model=model, cost=0.0, seconds=0.0, good=good, bound=good
        )

    def _get(self, job: jobs.Job, model: ids.ModelId) -> Sums:
        key = (job.organisation_id, job.kind_id, model)
        return self._sums.setdefault(key, Sums())
