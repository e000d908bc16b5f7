"""Filter 60: claims requests that carry an idempotency key."""

from radishcourse_node import filters
from radishcourse_node import job as jobs


@filters.register(60)
class Claim:
    """Lets one node run a request; duplicates get its outcome."""

    def __init__(self, node):
        self._claims = node.claims

    async def handle(self, job: jobs.Job, proceed) -> jobs.Answer:
        """Refuses duplicates with other content or without a known outcome."""
        if job.idempotency_key is None:
            return await proceed(job)
        return await self._claims.handle(job, proceed)
