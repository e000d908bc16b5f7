"""Filter 15: reports the outcome of a request by its idempotency key."""

from radishcourse_model import ids
from radishcourse_node import errors
from radishcourse_node import filters
from radishcourse_node import job as jobs

PREFIX = '/v1/requests/'


@filters.register(15)
class Outcome:
    """Answers `GET /v1/requests/<idempotency key>`.

    An organisation sees only its own requests.
    """

    def __init__(self, node):
        self._claims = node.claims

    async def handle(self, job: jobs.Job, proceed) -> jobs.Answer:
        """Refuses other methods and unknown keys."""
        if not job.path.startswith(PREFIX):
            return await proceed(job)
        if job.method != 'GET':
            raise errors.Refusal(
                errors.RefusalCode.BAD_REQUEST, 'this path takes GET'
            )
        job.idempotency_key = ids.IdempotencyKey(job.path[len(PREFIX) :])
        return await self._claims.report_outcome(job)
