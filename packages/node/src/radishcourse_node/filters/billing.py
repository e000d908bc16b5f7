"""Filter 70: records one bill for each completed job.

An answer is completed only after other nodes hold a copy of its bill, so
that the crash of a node loses no bill of a completed job.
"""

from radishcourse_model import states
from radishcourse_node import filters
from radishcourse_node import job as jobs


@filters.register(70)
class Billing:
    """Records the bill of an answer before its last part is sent."""

    def __init__(self, node):
        self._bills = node.bills

    async def handle(self, job: jobs.Job, proceed) -> jobs.Answer:
        """Refuses jobs while the buffer of unflushed bills is full."""
        self._bills.check_room()
        answer = await proceed(job)
        if answer.stream is not None:
            answer.stream = self._bill_stream(job, answer, answer.stream)
        elif answer.facts.outcome is states.Outcome.COMPLETED:
            await self._bills.record(job, answer.facts)
        return answer

    async def _bill_stream(self, job: jobs.Job, answer: jobs.Answer, stream):
        try:
            async for part in stream:
                yield part
        finally:
            await stream.aclose()
        await self._bills.record(job, answer.facts)
