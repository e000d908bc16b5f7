"""Client of the rating service, with a breaker."""

import typing

import anyio
import httpcore
import msgspec

from radishcourse_node import events
from radishcourse_node import job as jobs
from radishcourse_platform import http

TIMEOUT_S = 1.0
FAILURES_TO_OPEN = 3
OPEN_S = 5.0
# Share of the latest rating in the expected time of a rating.
SECONDS_GAIN = 0.1


class _Rate(msgspec.Struct):
    request_id: str
    kind: str
    answer: str


class _Rating(msgspec.Struct):
    rating: typing.Annotated[float, msgspec.Meta(ge=0, le=1)]


class Ratings:
    """Rates answers; gives None when the service does not answer in time.

    Args:
      base_url: Base URL of the service.
      clock: The node's clock.
    """

    GOOD = 0.5

    def __init__(self, base_url: str, clock):
        self._base_url = base_url.rstrip('/')
        self._clock = clock
        self._pool = httpcore.AsyncConnectionPool(max_connections=64)
        self._failures = 0
        self._retry_at = 0.0
        self._seconds = 0.0

    @property
    def seconds(self) -> float:
        """Expected time of a rating."""
        return self._seconds

    @property
    def works(self) -> bool:
        """Whether the service has answered lately or may be tried again."""
        if self._failures < FAILURES_TO_OPEN:
            return True
        return self._clock.now() >= self._retry_at

    async def rate(
        self, job: jobs.Job, content: str, limit: float | None = None
    ) -> float | None:
        """Returns the rating of an answer, from 0 to 1, or None.

        Args:
          job: The job.
          content: The answer.
          limit: Latest time of the rating, else the job's deadline.
        """
        if not self.works:
            return None
        if self._failures >= FAILURES_TO_OPEN:
            # One caller tries again; the others wait for its result.
            self._retry_at = self._clock.now() + OPEN_S
        started = self._clock.now()
        left = (job.deadline if limit is None else limit) - started
        request = _Rate(job.request_id, job.kind_id, content)
        try:
            with anyio.fail_after(min(TIMEOUT_S, max(left, 0.0))):
                response = await self._pool.request(
                    'POST',
                    f'{self._base_url}/v1/rate',
                    headers={'content-type': 'application/json'},
                    content=msgspec.json.encode(request),
                )
            if response.status != 200:
                raise ValueError(f'status {response.status}')
            rating = msgspec.json.decode(response.content, type=_Rating)
        except (*http.CALL_ERRORS, ValueError, msgspec.MsgspecError) as error:
            self._note_time(started)
            self._note_failure(error)
            return None
        self._note_time(started)
        self._failures = 0
        return rating.rating

    def _note_time(self, started: float) -> None:
        seconds = self._clock.now() - started
        self._seconds += SECONDS_GAIN * (seconds - self._seconds)

    def _note_failure(self, error: Exception) -> None:
        self._failures += 1
        if self._failures >= FAILURES_TO_OPEN:
            self._retry_at = self._clock.now() + OPEN_S
        events.log(
            events.Event.RATING_FAILED,
            failures=self._failures,
            error=repr(error),
        )

    async def aclose(self) -> None:
        """Closes the connections."""
        await self._pool.aclose()
