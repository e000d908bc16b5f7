"""Client of the rating service, with a breaker."""

import typing

import anyio
import httpcore
import msgspec
from radishcourse_platform import http

from radishcourse_node import events
from radishcourse_node import job as jobs

TIMEOUT_S = 1.0
FAILURES_TO_OPEN = 3
OPEN_S = 5.0


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

    @property
    def works(self) -> bool:
        """Whether the service has answered lately or may be tried again."""
        if self._failures < FAILURES_TO_OPEN:
            return True
        return self._clock.now() >= self._retry_at

    async def rate(self, job: jobs.Job, content: str) -> float | None:
        """Returns the rating of an answer, from 0 to 1, or None."""
        if not self.works:
            return None
        if self._failures >= FAILURES_TO_OPEN:
            # One caller tries again; the others wait for its result.
            self._retry_at = self._clock.now() + OPEN_S
        left = job.deadline - self._clock.now()
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
            self._note_failure(error)
            return None
        self._failures = 0
        return rating.rating

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
