"""Filter 30: finds the models that may serve the job."""

from radishcourse_model import ids
from radishcourse_node import errors
from radishcourse_node import filters
from radishcourse_node import job as jobs


@filters.register(30)
class Permission:
    """Finds the allowed steps of a model job's cascade.

    Versions are checked later, at each attempt, against the configuration
    revision that is active at that time.
    """

    def __init__(self, node):
        self._configuration = node.configuration

    async def handle(self, job: jobs.Job, proceed) -> jobs.Answer:
        """Refuses models that are unknown or not allowed."""
        if job.job_type is jobs.JobType.MODEL:
            job.steps = self._find_steps(job)
        return await proceed(job)

    def _find_steps(self, job: jobs.Job) -> list[ids.ModelId]:
        config = self._configuration.config
        wanted = job.chat.model
        if wanted in config.models:
            steps = [ids.ModelId(wanted)]
        elif wanted in config.cascades:
            steps = config.cascades[ids.CascadeId(wanted)].steps
        elif not wanted:
            steps = config.cascades[job.kind.cascade].steps
        else:
            raise errors.Refusal(
                errors.RefusalCode.UNKNOWN_MODEL,
                f'no model or cascade {wanted!r}',
            )
        allowed = [step for step in steps if step in job.organisation.allowed]
        if not allowed:
            raise errors.Refusal(
                errors.RefusalCode.MODEL_NOT_ALLOWED,
                f'none of {", ".join(steps)} is allowed',
            )
        return allowed
