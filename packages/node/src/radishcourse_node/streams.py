"""Streamed answers, resumed on the same engine when a connection breaks."""

import asyncio
import contextlib
import socket

import anyio
import msgspec

from radishcourse_model import states
from radishcourse_node import engines
from radishcourse_node import errors
from radishcourse_node import events
from radishcourse_node import guard
from radishcourse_node import job as jobs
from radishcourse_node import sse
from radishcourse_platform import http

MAX_ATTEMPTS = 4
# Delays before consecutive resumes that bring no new event, in seconds. When
# all have been used up, the answer is interrupted.
RESUME_DELAYS_S = (0.0, 0.0, 0.1, 0.4, 1.0, 2.0)
MAX_RESUMES = 32
# A stream whose caller has left bytes unread for this long is parked: its
# engine slot is released until the caller has caught up.
PARK_AFTER_S = 5.0
# Time limit for the end of the body after the last event.
BODY_END_TIMEOUT_S = 0.25
# The event loop and the node use different clocks; the margin keeps the timer
# from firing before the deadline by the node's clock.
CLOCK_MARGIN_S = 0.005


class StreamRunner:
    """Runs streamed jobs.

    Args:
      node: The node.
      open_attempt: Context manager that sends a job to an upstream and
        yields the response and the call.
      record_failure: Called with the job, its facts and the error of a
        failed attempt.
      may_retry: Returns whether another attempt is allowed.
      charge: Adds the cost of an answer to its facts.
    """

    def __init__(self, node, open_attempt, record_failure, may_retry, charge):
        self.clock = node.environment.clock
        self.guard = guard.Guard(node)
        self.upstreams = node.upstreams
        self.configuration = node.configuration
        self.open_attempt = open_attempt
        self.charge = charge
        self._record_failure = record_failure
        self._may_retry = may_retry

    async def run(self, job: jobs.Job, model) -> jobs.Answer:
        """Returns an answer whose first part has arrived.

        Other upstreams are tried only before the first part, so that the
        caller never receives output of two attempts in one answer.

        Raises:
          Refusal: No attempt produced a first part.
        """
        facts = jobs.Facts(steps=1)
        tried: set = set()
        for attempt in range(MAX_ATTEMPTS):
            parts = AttemptStream(self, job, model, facts, tried).parts()
            try:
                first = await anext(parts)
            except errors.AttemptError as error:
                self._record_failure(job, facts, error)
                if not self._may_retry(job, facts, attempt):
                    raise make_refusal(error) from error
                continue
            headers = {'content-type': 'text/event-stream'}
            stream = _chain(first, parts)
            return jobs.Answer(200, headers, b'', stream, facts)
        raise AssertionError('the last attempt returns or raises')


class _StreamParked(Exception):
    """The caller reads too slowly, so the engine slot is released."""


class AttemptStream:
    """The stream of one attempt, over one or more connections."""

    def __init__(self, runner: StreamRunner, job, model, facts, tried):
        self._runner = runner
        self._job = job
        self._model = model
        self._facts = facts
        self._tried = tried
        self._reader: sse.StreamReader | None = None
        self._request_id = ''
        self._boot = ''
        self._delivered = False
        self._can_resume = True

    async def parts(self):
        """Yields the events in order; ends when the answer is complete.

        Raises:
          AttemptError: The answer could not be completed.
          Refusal: The guard does not allow the stream to be resumed.
        """
        resumes_without_event = resumes = 0
        while self._reader is None or not self._reader.finished:
            before = self._reader.next_index if self._reader else 0
            try:
                async with self._connect() as response:
                    async for part in self._read(response):
                        self._delivered = True
                        yield part
            except _StreamParked:
                await self._wait_for_caller()
                continue
            except (errors.AttemptError, errors.Refusal) as error:
                resumes += 1
                resumes_without_event += 1
                if self._reader and self._reader.next_index > before:
                    resumes_without_event = 0
                if resumes > MAX_RESUMES or not self._may_resume(
                    resumes_without_event
                ):
                    raise
                self._record_interruption(error)
                await anyio.sleep(RESUME_DELAYS_S[resumes_without_event])
        self._runner.charge(self._job, self._facts, self._reader.tokens)
        self._facts.outcome = states.Outcome.COMPLETED

    def _may_resume(self, resumes_without_event: int) -> bool:
        return (
            self._delivered
            and self._can_resume
            and resumes_without_event < len(RESUME_DELAYS_S)
            and self._runner.clock.now() < self._job.deadline
        )

    def _record_interruption(self, error: errors.NodeError) -> None:
        if isinstance(error, errors.AttemptError):
            self._runner.upstreams.note_failure(self._facts.upstream, error)
        elif error.reason is not errors.RefusalCode.NO_UPSTREAM:
            # The guard refused, which is final. NO_UPSTREAM is not: an
            # upstream that seems down may recover.
            raise error
        events.log(
            events.Event.STREAM_RESUMED,
            request=self._job.request_id,
            upstream=self._facts.upstream,
            index=self._reader.next_index,
            error=str(error),
        )

    @contextlib.asynccontextmanager
    async def _connect(self):
        if self._reader is not None:
            async with self._resume() as response:
                self._reader.restart()
                yield response
            return
        async with self._runner.open_attempt(
            self._job, self._model, self._facts, self._tried
        ) as opened:
            response, call = opened
            self._request_id = call.request_id
            self._reader = sse.StreamReader(call.request_id)
            self._boot = engines.read_engine_headers(response).boot
            yield response

    async def _read(self, response):
        chunks = response.aiter_stream()
        reader = self._reader
        clock, deadline = self._runner.clock, self._job.deadline
        with _close_after(response, deadline - clock.now()):
            while not reader.finished:
                if not self._has_room():
                    await self._wait_for_room()
                try:
                    chunk = await anext(chunks, None)
                except http.CALL_ERRORS as error:
                    if clock.now() < deadline:
                        raise
                    # The node itself closed the connection at the deadline, so
                    # this is no failure of the upstream.
                    raise _deadline_error() from error
                if clock.now() >= deadline:
                    raise _deadline_error()
                if chunk is None:
                    reader.finish()
                    return
                part = reader.feed(chunk)
                if part:
                    yield part
        # The connection returns to the pool only after the end of the body.
        with anyio.move_on_after(BODY_END_TIMEOUT_S):
            async for _ in chunks:
                pass

    def _has_room(self) -> bool:
        caller = self._job.reader
        return caller is None or caller.has_room()

    async def _wait_for_room(self) -> None:
        with anyio.move_on_after(PARK_AFTER_S):
            await self._job.reader.wait_flushed()
        if not self._has_room():
            raise _StreamParked

    async def _wait_for_caller(self) -> None:
        events.log(
            events.Event.STREAM_PARKED,
            request=self._job.request_id,
            upstream=self._facts.upstream,
            index=self._reader.next_index,
        )
        remaining_s = self._job.deadline - self._runner.clock.now()
        with anyio.move_on_after(remaining_s) as scope:
            await self._job.reader.wait_flushed()
        if scope.cancelled_caught:
            raise errors.AttemptError(
                'the caller did not read the answer before the deadline',
                sent=True,
            )

    @contextlib.asynccontextmanager
    async def _resume(self):
        """Yields the response that continues the same stream.

        A resumed stream counts as new work, so the guard is checked again.
        """
        job, facts = self._job, self._facts
        self._check_guard()
        async with self._runner.upstreams.reserve(
            job,
            facts.model,
            facts.version,
            {facts.upstream},
            self._is_same_upstream,
            self._request_id,
        ) as upstream:
            # The configuration may have changed during the wait for the
            # reservation.
            self._check_guard()
            async with cancel_on_failure(upstream, self._request_id):
                async with self._request_resume(upstream) as response:
                    yield response

    @contextlib.asynccontextmanager
    async def _request_resume(self, upstream):
        call = engines.ResumeCall(self._request_id, self._reader.next_index)
        remaining_s = self._job.deadline - self._runner.clock.now()
        async with engines.open_response(
            upstream.pool,
            'POST',
            f'http://{upstream.address}/v1/resume',
            [(b'content-type', b'application/json')],
            msgspec.json.encode(call),
            max(0.001, remaining_s),
            self._runner.guard.make_trace(
                self._job, self._facts, upstream.trace
            ),
        ) as response:
            engine_headers = engines.read_engine_headers(response)
            upstream.note_engine_headers(engine_headers)
            # Another boot id means that the engine has restarted: its output
            # would belong to another attempt even if the index matched.
            self._can_resume = (
                response.status == 200 and engine_headers.boot == self._boot
            )
            if not self._can_resume:
                raise errors.AttemptError(
                    'the engine can no longer resume the stream', sent=True
                )
            yield response

    def _check_guard(self) -> None:
        self._runner.guard.check_view(self._job)
        if not self._runner.guard.allows_version(
            self._job, self._facts.model, self._facts.version
        ):
            raise errors.Refusal(
                errors.RefusalCode.MODEL_NOT_ALLOWED,
                f'{self._facts.model}/{self._facts.version} is not allowed '
                'any more',
            )
        self._facts.revision = self._runner.configuration.revision

    def _is_same_upstream(self, upstream_id) -> bool:
        return (
            upstream_id == self._facts.upstream
            and self._runner.guard.allows_upstream(self._job, upstream_id)
        )


@contextlib.contextmanager
def _close_after(response, seconds: float):
    """Shuts down the connection of a response after a time limit.

    Uses one timer for each connection, because a cancel scope around each
    read took a quarter of the processing time of a token.
    """
    stream = response.extensions['network_stream']
    timer = asyncio.get_running_loop().call_later(
        max(0.0, seconds) + CLOCK_MARGIN_S,
        _shut_down,
        stream.get_extra_info('socket'),
    )
    try:
        yield
    finally:
        timer.cancel()


def _deadline_error() -> errors.AttemptError:
    return errors.AttemptError('the deadline passed', sent=True)


def _shut_down(connection: socket.socket) -> None:
    with contextlib.suppress(OSError):
        connection.shutdown(socket.SHUT_RDWR)


@contextlib.asynccontextmanager
async def cancel_on_failure(upstream, request_id: str):
    """Cancels a request at the engine when the block raises.

    The engine keeps generating when its connection breaks, so that a stream
    can be resumed. So output that is no longer needed has to be cancelled.
    """
    try:
        yield
    except BaseException as error:
        if isinstance(error, errors.AttemptError) and not error.sent:
            raise
        await engines.cancel(upstream.pool, upstream.address, request_id)
        raise


async def _chain(first: bytes, remaining):
    try:
        yield first
        async for part in remaining:
            yield part
    finally:
        await remaining.aclose()


def make_refusal(error: errors.AttemptError) -> errors.Refusal:
    """Returns the refusal of a job whose attempts all failed."""
    if not error.sent:
        return errors.Refusal(
            errors.RefusalCode.NO_UPSTREAM, str(error), retry_after_s=1
        )
    return errors.Refusal(errors.RefusalCode.UPSTREAM_FAILED, str(error))
