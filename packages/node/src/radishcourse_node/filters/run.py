"""Filter 80: runs the job on upstreams."""

from radishcourse_model import states
from radishcourse_node import cascades
from radishcourse_node import errors
from radishcourse_node import filters
from radishcourse_node import job as jobs
from radishcourse_node import services


@filters.register(80)
class Run:
    """Runs model jobs through their cascade, and service calls."""

    def __init__(self, node):
        self._runners = {
            jobs.JobType.MODEL: cascades.Runner(node),
            jobs.JobType.SERVICE: services.Runner(node),
        }

    async def handle(self, job: jobs.Job, proceed) -> jobs.Answer:
        """Returns the upstream's answer; the chain ends here."""
        del proceed
        try:
            return await self._runners[job.job_type].run(job)
        except errors.Refusal as refusal:
            raise _correct_outcome(job, refusal) from refusal


def _correct_outcome(job: jobs.Job, refusal: errors.Refusal) -> errors.Refusal:
    """Replaces a refusal that reports "not run" for a job that was sent."""
    if not job.sent or refusal.reason.outcome is not states.Outcome.NOT_RUN:
        return refusal
    if job.safe_to_retry:
        reason = errors.RefusalCode.UPSTREAM_FAILED
    else:
        reason = errors.RefusalCode.OUTCOME_UNKNOWN
    return errors.Refusal(reason, str(refusal), refusal.retry_after_s)
