"""Filter 50: applies the limits of the organisation."""

from radishcourse_node import filters
from radishcourse_node import job as jobs


@filters.register(50)
class Admission:
    """Admits jobs within this node's share of the organisation's limits."""

    def __init__(self, node):
        self._admissions = node.admissions

    async def handle(self, job: jobs.Job, proceed) -> jobs.Answer:
        """Refuses a job that exceeds a limit.

        The job counts towards the limits until its answer has ended.
        """
        admitted = self._admissions.admit(job)
        try:
            answer = await proceed(job)
        except BaseException:
            admitted.release()
            raise
        if answer.stream is None:
            admitted.release()
        else:
            answer.stream = _release_at_end(answer.stream, admitted)
        return answer


async def _release_at_end(stream, admitted):
    try:
        async for part in stream:
            yield part
    finally:
        admitted.release()
        await stream.aclose()
