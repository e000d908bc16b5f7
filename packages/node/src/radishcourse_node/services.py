"""Runs calls of plain services."""

import functools

import anyio
import httpcore

from radishcourse_model import ids
from radishcourse_model import states
from radishcourse_node import engines
from radishcourse_node import errors
from radishcourse_node import events
from radishcourse_node import guard
from radishcourse_node import job as jobs
from radishcourse_platform import http
from radishcourse_policy import answers

MAX_ATTEMPTS = 3
MAX_ANSWER_BYTES = 16 * 2**20
_FORWARDED_HEADERS = ('content-type', 'accept', 'idempotency-key')
_RETURNED_HEADERS = (b'content-type', b'etag', b'location', b'cache-control')


class Runner:
    """Calls plain services; non-idempotent calls are sent at most once."""

    def __init__(self, node):
        self._clock = node.environment.clock
        self._configuration = node.configuration
        self._upstreams = node.upstreams
        self._guard = guard.Guard(node)
        # A surplus answer on a kept connection would be read as that of the
        # next call, as services need not name the call that they answer.
        self._single_use_pools = engines.Pools(node.timeouts, keep_alive=False)

    async def run(self, job: jobs.Job) -> jobs.Answer:
        """Returns the service's answer.

        Raises:
          Refusal: The service gave no answer; the refusal code tells
            whether the call may have run.
        """
        tried: set[ids.UpstreamId] = set()
        for attempt in range(MAX_ATTEMPTS):
            try:
                return await self._attempt(job, tried)
            except errors.AttemptError as error:
                self._record_failure(job, error, tried)
                if not self._may_retry(job, error, attempt, tried):
                    raise _make_refusal(job, error) from error
        raise AssertionError('the last attempt returns or raises')

    async def _attempt(self, job: jobs.Job, tried) -> jobs.Answer:
        self._guard.check_view(job)
        async with self._upstreams.reserve_service(
            job, tried, functools.partial(self._guard.allows_upstream, job)
        ) as upstream:
            tried.add(upstream.upstream_id)
            self._guard.check_view(job)
            query = f'?{job.query}' if job.query else ''
            async with engines.open_response(
                self._single_use_pools.get(upstream.address),
                job.method,
                f'http://{upstream.address}{job.call.path}{query}',
                _make_headers(job),
                job.body,
                max(0.001, job.deadline - self._clock.now()),
                self._guard.make_trace(
                    job,
                    jobs.Facts(upstream=upstream.upstream_id),
                    upstream.trace,
                ),
            ) as response:
                _check_owner(job, response)
                _check_headers(response)
                upstream.note_engine_headers(
                    engines.read_engine_headers(response)
                )
                with anyio.fail_after(job.deadline - self._clock.now()):
                    body = await _read_body(response, job.method)
            if response.status >= 500:
                raise errors.AttemptError(
                    f'upstream answered with status {response.status}',
                    sent=True,
                )
            return self._make_answer(job, upstream, response, body)

    def _make_answer(self, job, upstream, response, body) -> jobs.Answer:
        service = self._configuration.config.services.get(job.call.service)
        facts = jobs.Facts(
            model=job.call.service,
            upstream=upstream.upstream_id,
            steps=1,
            cost=service.cost_per_call if service else 0,
            revision=self._configuration.revision,
            outcome=states.Outcome.COMPLETED,
        )
        headers = {
            name.lower().decode('latin-1'): value.decode('latin-1')
            for name, value in response.headers
            if name.lower() in _RETURNED_HEADERS
        }
        return jobs.Answer(response.status, headers, body, None, facts)

    def _record_failure(self, job, error: errors.AttemptError, tried) -> None:
        job.sent = job.sent or error.sent
        events.log(
            events.Event.ATTEMPT_FAILED,
            request=job.request_id,
            upstreams=sorted(tried),
            sent=error.sent,
            error=str(error),
        )

    def _may_retry(
        self, job, error: errors.AttemptError, attempt: int, tried
    ) -> bool:
        if attempt + 1 >= MAX_ATTEMPTS or self._clock.now() >= job.deadline:
            return False
        if error.sent and not job.safe_to_retry:
            return False
        return any(
            self._upstreams.spend_retry(job.organisation_id, upstream_id)
            for upstream_id in sorted(tried)[:1]
        )


def _check_owner(job: jobs.Job, response: httpcore.Response) -> None:
    """Checks that a response does not name another request.

    Raises:
      AttemptError: It does.
    """
    for name, value in response.headers:
        if name.lower() == b'x-request-id' and value != job.request_id.encode():
            raise errors.AttemptError(
                'response carries the id of another request', sent=True
            )


def _check_headers(response: httpcore.Response) -> None:
    """Checks that the response's headers can be passed on.

    Raises:
      AttemptError: A value holds a control character.
    """
    if answers.has_control_character(value for _, value in response.headers):
        raise errors.AttemptError('control character in a header', sent=True)


async def _read_body(response: httpcore.Response, method: str) -> bytes:
    """Returns the complete response body.

    Raises:
      AttemptError: The body has neither a length nor chunked framing, so that
        a truncated body would go unnoticed.
      BodyTooLarge: The body is too large.
    """
    names = {name.lower() for name, _ in response.headers}
    framing = answers.framing(
        method,
        response.status,
        b'content-length' in names,
        b'transfer-encoding' in names,
    )
    if framing is answers.Framing.CLOSE:
        raise errors.AttemptError(
            'response body has neither content-length nor chunked encoding',
            sent=True,
        )
    return await http.read_body(response, MAX_ANSWER_BYTES)


def _make_headers(job: jobs.Job) -> list[tuple[bytes, bytes]]:
    headers = [
        (name.encode('latin-1'), job.headers[name].encode('latin-1'))
        for name in _FORWARDED_HEADERS
        if name in job.headers
    ]
    headers.append((b'x-request-id', job.request_id.encode('ascii')))
    return headers


def _make_refusal(job: jobs.Job, error: errors.AttemptError) -> errors.Refusal:
    if not job.sent:
        return errors.Refusal(
            errors.RefusalCode.NO_UPSTREAM, str(error), retry_after_s=1
        )
    if job.safe_to_retry:
        return errors.Refusal(errors.RefusalCode.UPSTREAM_FAILED, str(error))
    return errors.Refusal(errors.RefusalCode.OUTCOME_UNKNOWN, str(error))
