"""The HTTP interface of a node: an ASGI application.

It reads a request, sends it through the filter chain and writes the
answer. Streamed answers end with an event of their own that carries what
is known only at their end.
"""

import contextlib
import secrets

import anyio
import msgspec
from radishcourse_model import ids
from radishcourse_model import states

from radishcourse_node import errors
from radishcourse_node import events
from radishcourse_node import filters
from radishcourse_node import job as jobs
from radishcourse_node import metrics
from radishcourse_node import pages

MAX_HEADERS = 100
MAX_HEADER_BYTES = 16 * 1024
_REQUEST_ID = 'x-radish-request-id'
_OUTCOME = 'x-radish-outcome'
_DONE = b'data: [DONE]\n\n'


class _ErrorDetail(msgspec.Struct):
    code: str
    message: str
    outcome: str
    request_id: str


class _ErrorBody(msgspec.Struct):
    error: _ErrorDetail


class _CallerLeft(Exception):
    """The caller closed its connection."""


class App:
    """The ASGI application of a node."""

    def __init__(self, node):
        self._node = node
        self._settings = node.settings
        self._clock = node.environment.clock
        self._metrics = node.metrics
        self._chain = filters.build(node)
        self._pages = pages.Pages(node)

    async def __call__(self, scope, receive, send) -> None:
        """Serves one HTTP request."""
        if scope['type'] != 'http':
            return
        page = self._pages.find(scope['method'], scope['path'])
        if page is not None:
            await _send_whole(send, await page())
            return
        with self._node.count_request():
            await self._serve(scope, receive, send)

    async def _serve(self, scope, receive, send) -> None:
        request_id = ids.RequestId(
            f'{self._node.incarnation}-{secrets.token_hex(6)}'
        )
        job = None
        try:
            job = await self._read(scope, receive, request_id)
            answer = await self._run(job)
        except _CallerLeft:
            return
        except errors.Refusal as refusal:
            await self._send_refusal(send, refusal, request_id, job)
            return
        if answer.stream is None:
            await self._send_answer(send, job, answer)
        else:
            await self._send_stream(send, receive, job, answer)

    async def _read(self, scope, receive, request_id) -> jobs.Job:
        arrived_at = self._clock.now()
        headers = _read_headers(scope['headers'])
        body = await _read_body(receive, self._settings.max_body_bytes)
        return jobs.Job(
            request_id=request_id,
            method=scope['method'],
            path=scope['path'],
            query=scope['query_string'].decode('latin-1'),
            headers=headers,
            body=body,
            arrived_at=arrived_at,
        )

    async def _run(self, job: jobs.Job) -> jobs.Answer:
        try:
            return await self._chain(job)
        except errors.Refusal:
            raise
        except Exception as error:
            events.log(
                events.Event.REQUEST_FAILED,
                request=job.request_id,
                error=repr(error),
            )
            raise _internal(job) from error

    async def _send_answer(self, send, job, answer: jobs.Answer) -> None:
        seconds = self._clock.now() - job.arrived_at
        self._record(metrics.Series.FIRST_BYTE, job, seconds)
        self._finish(job, answer.facts.outcome)
        headers = {**answer.headers, **_fact_headers(job, answer.facts)}
        await _send_whole(send, pages.Page(answer.status, answer.body, headers))

    async def _send_stream(self, send, receive, job, answer) -> None:
        headers = {**answer.headers, **_start_headers(job, answer.facts)}
        seconds = self._clock.now() - job.arrived_at
        self._record(metrics.Series.FIRST_BYTE, job, seconds)
        await _send_start(send, answer.status, headers)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(_cancel_when_left, receive, tasks.cancel_scope)
            async with contextlib.aclosing(answer.stream) as stream:
                await self._send_parts(send, job, answer, stream)
            tasks.cancel_scope.cancel()

    async def _send_parts(self, send, job, answer, stream) -> None:
        try:
            async for part in stream:
                await _send_part(send, part)
        except errors.NodeError as error:
            outcome = states.Outcome.FAILED
            events.log(
                events.Event.ANSWER_INTERRUPTED,
                request=job.request_id,
                error=str(error),
            )
            tail = _error_event(job, str(error))
        else:
            outcome = answer.facts.outcome
            tail = _final_event(job, answer.facts) + _DONE
        self._finish(job, outcome)
        await _send_part(send, tail)
        await send({'type': 'http.response.body', 'body': b''})

    async def _send_refusal(self, send, refusal, request_id, job) -> None:
        reason = refusal.reason
        events.log(
            events.Event.REQUEST_REFUSED,
            request=request_id,
            code=reason.label,
            message=str(refusal),
        )
        if job is not None:
            self._finish(job, reason.outcome)
        detail = _ErrorDetail(
            reason.label, str(refusal), reason.outcome.value, request_id
        )
        headers = {
            'content-type': 'application/json',
            _REQUEST_ID: request_id,
            _OUTCOME: reason.outcome.value,
        }
        if refusal.retry_after_s is not None:
            headers['retry-after'] = str(refusal.retry_after_s)
        body = msgspec.json.encode(_ErrorBody(detail))
        await _send_whole(send, pages.Page(reason.status, body, headers))

    def _record(self, series, job: jobs.Job, seconds: float) -> None:
        self._metrics.record(series, job.organisation_id, job.kind_id, seconds)

    def _finish(self, job: jobs.Job, outcome: states.Outcome) -> None:
        # Callers choose kinds and keys, so nothing is recorded before both
        # are known; otherwise strangers could make new series.
        if job.organisation is None or not job.kind_id:
            return
        seconds = self._clock.now() - job.arrived_at
        self._record(metrics.Series.TOTAL, job, seconds)
        self._metrics.count(job.organisation_id, job.kind_id, outcome.value)


def _internal(job: jobs.Job) -> errors.Refusal:
    if job.sent and not job.may_repeat:
        reason = errors.RefusalCode.OUTCOME_UNKNOWN
    else:
        reason = errors.RefusalCode.UPSTREAM_FAILED
    return errors.Refusal(reason, 'internal error')


def _read_headers(raw) -> dict[str, str]:
    size = sum(len(name) + len(value) for name, value in raw)
    if len(raw) > MAX_HEADERS or size > MAX_HEADER_BYTES:
        raise errors.Refusal(
            errors.RefusalCode.HEADERS_TOO_LARGE,
            f'at most {MAX_HEADERS} headers, {MAX_HEADER_BYTES} bytes',
        )
    return {
        name.decode('latin-1'): value.decode('latin-1') for name, value in raw
    }


async def _read_body(receive, limit: int) -> bytes:
    parts = []
    size = 0
    while True:
        message = await receive()
        if message['type'] == 'http.disconnect':
            raise _CallerLeft
        part = message.get('body', b'')
        size += len(part)
        if size > limit:
            raise errors.Refusal(
                errors.RefusalCode.BODY_TOO_LARGE, f'at most {limit} bytes'
            )
        parts.append(part)
        if not message.get('more_body'):
            return b''.join(parts)


async def _cancel_when_left(receive, scope: anyio.CancelScope) -> None:
    while (await receive())['type'] != 'http.disconnect':
        pass
    scope.cancel()


def _start_headers(job: jobs.Job, facts: jobs.Facts) -> dict[str, str]:
    return {
        _REQUEST_ID: job.request_id,
        'x-radish-model': facts.model,
        'x-radish-version': facts.version,
        'x-radish-steps': str(facts.steps),
        'x-radish-revision': str(facts.revision),
    }


def _fact_headers(job: jobs.Job, facts: jobs.Facts) -> dict[str, str]:
    headers = _start_headers(job, facts)
    headers['x-radish-cost'] = str(facts.cost)
    headers[_OUTCOME] = facts.outcome.value
    if facts.rating is not None:
        headers['x-radish-rating'] = f'{facts.rating:.3f}'
    return headers


def _final_event(job: jobs.Job, facts: jobs.Facts) -> bytes:
    data = msgspec.json.encode(_fact_headers(job, facts))
    return b'event: radishcourse\ndata: ' + data + b'\n\n'


def _error_event(job: jobs.Job, message: str) -> bytes:
    detail = _ErrorDetail(
        errors.RefusalCode.UPSTREAM_FAILED.label,
        message,
        states.Outcome.FAILED.value,
        job.request_id,
    )
    data = msgspec.json.encode(_ErrorBody(detail))
    return b'event: error\ndata: ' + data + b'\n\n'


async def _send_whole(send, page: pages.Page) -> None:
    headers = {**page.headers, 'content-length': str(len(page.body))}
    await _send_start(send, page.status, headers)
    await send({'type': 'http.response.body', 'body': page.body})


async def _send_start(send, status: int, headers: dict[str, str]) -> None:
    await send(
        {
            'type': 'http.response.start',
            'status': status,
            'headers': [
                (name.encode('latin-1'), value.encode('latin-1'))
                for name, value in headers.items()
            ],
        }
    )


async def _send_part(send, part: bytes) -> None:
    await send({'type': 'http.response.body', 'body': part, 'more_body': True})
