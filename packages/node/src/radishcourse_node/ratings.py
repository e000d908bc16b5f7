"""Client of the rating service, with a circuit breaker."""

import typing

import anyio
import httpcore
import msgspec

from radishcourse_model import decoding
from radishcourse_node import events
from radishcourse_node import job as jobs
from radishcourse_platform import http

TIMEOUT_S = 1.0
MAX_BODY_BYTES = 64 * 1024
FAILURES_TO_OPEN = 3
OPEN_S = 5.0
# Weight of the latest rating in the moving average of rating durations.
DURATION_WEIGHT = 0.1


class _RatingRequest(msgspec.Struct):
    request_id: str
    kind: str
    answer: str


class _RatingResponse(msgspec.Struct):
    rating: typing.Annotated[float, msgspec.Meta(ge=0, le=1)]


class Ratings:
    """Rates answers through the rating service.

    Args:
      base_url: Base URL of the service.
      clock: The node's clock.
    """

    GOOD_RATING = 0.5

    def __init__(self, base_url: str, clock):
        self._base_url = base_url.rstrip('/')
        self._clock = clock
        self._pool = httpcore.AsyncConnectionPool(max_connections=64)
        self._failures = 0
        self._retry_at = 0.0
        self._expected_s = 0.0

    @property
    def expected_s(self) -> float:
        """Expected duration of a rating, in seconds."""
        return self._expected_s

    @property
    def is_available(self) -> bool:
        """Whether the circuit breaker is closed or may be retried."""
        if self._failures < FAILURES_TO_OPEN:
            return True
        return self._clock.now() >= self._retry_at

    async def rate(
        self, job: jobs.Job, content: str, deadline: float | None = None
    ) -> float | None:
        """Returns the rating of an answer from 0 to 1, or None on a failure.

        Args:
          job: The job.
          content: Text of the answer.
          deadline: Latest time of the rating by the node's clock, in seconds;
            the job's deadline if None.
        """
        if not self.is_available:
            return None
        if self._failures >= FAILURES_TO_OPEN:
            # Half-open: only this call retries; others are skipped meanwhile.
            self._retry_at = self._clock.now() + OPEN_S
        started_at = self._clock.now()
        remaining_s = (
            job.deadline if deadline is None else deadline
        ) - started_at
        request = _RatingRequest(job.request_id, job.kind_id, content)
        try:
            with anyio.fail_after(min(TIMEOUT_S, max(remaining_s, 0.0))):
                response = await http.request(
                    self._pool,
                    'POST',
                    f'{self._base_url}/v1/rate',
                    MAX_BODY_BYTES,
                    headers={'content-type': 'application/json'},
                    content=msgspec.json.encode(request),
                )
            if response.status != 200:
                raise ValueError(
                    f'rating service answered with status {response.status}'
                )
            rating = msgspec.json.decode(response.body, type=_RatingResponse)
        except (*http.CALL_ERRORS, ValueError, *decoding.ERRORS) as error:
            self._record_duration(started_at)
            self._record_failure(error)
            return None
        self._record_duration(started_at)
        self._failures = 0
        return rating.rating

    def _record_duration(self, started_at: float) -> None:
        seconds = self._clock.now() - started_at
        self._expected_s += DURATION_WEIGHT * (seconds - self._expected_s)

    def _record_failure(self, error: Exception) -> None:
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
