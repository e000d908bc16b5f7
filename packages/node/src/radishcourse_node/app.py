"""The HTTP interface of a node: an ASGI application.

It reads a request, passes it through the filter chain and sends the answer.
Streamed answers end with an extra event that carries the values known only
at their end, such as the cost.
"""

import contextlib
import secrets

import anyio

from radishcourse_model import ids
from radishcourse_model import states
from radishcourse_node import bodies
from radishcourse_node import connections
from radishcourse_node import errors
from radishcourse_node import events
from radishcourse_node import filters
from radishcourse_node import job as jobs
from radishcourse_node import metrics
from radishcourse_node import pages
from radishcourse_node import replies
from radishcourse_node import requests
from radishcourse_node.filters import authentication
from radishcourse_node.filters import outcome
from radishcourse_node.filters import parsing

LAST_EVENT_TIMEOUT_S = 0.5
# A job holds its body, the messages decoded from it, and what it sends on.
JOB_COPIES = 4
_KEY_HEADER = 'idempotency-key'


class App:
    """The ASGI application of a node."""

    def __init__(self, node):
        self._node = node
        self._settings = node.settings
        self._clock = node.environment.clock
        self._metrics = node.metrics
        self._chain = filters.build(node)
        self._readers = node.readers
        self._pages = pages.Pages(node)

    async def __call__(self, scope, receive, send) -> None:
        """Serves one HTTP request."""
        if scope['type'] != 'http':
            return
        handler = self._pages.find(scope['method'], scope['path'])
        if handler is not None:
            await replies.send_response(send, await handler())
            return
        with (
            self._node.count_request(),
            bodies.Reader(self._node.resources.account, JOB_COPIES) as reader,
        ):
            await self._serve(scope, receive, send, reader)

    async def _serve(self, scope, receive, send, body_reader) -> None:
        request_id = ids.RequestId(
            f'{self._node.incarnation}-{secrets.token_hex(6)}'
        )
        connection = scope['state'][connections.STATE_KEY]
        job = None
        try:
            job = await self._read_job(scope, receive, request_id, body_reader)
            with _cancel_on_disconnect(connection, job) as cancel_scope:
                await self._answer(send, connection, job)
        except errors.Refusal as refusal:
            await self._send_refusal(send, refusal, request_id, job)
        except bodies.CallerDisconnected:
            return
        else:
            if cancel_scope.cancelled_caught:
                events.log(events.Event.CALLER_LEFT, request=request_id)
                self._finish(job, states.Outcome.FAILED)

    async def _answer(self, send, connection, job: jobs.Job) -> None:
        try:
            answer = await self._run(job)
        except anyio.get_cancelled_exc_class():
            if self._node.draining:
                # The drain limit was reached.
                with anyio.move_on_after(LAST_EVENT_TIMEOUT_S, shield=True):
                    refusal = _failure(job, 'the node is shutting down')
                    await self._send_refusal(send, refusal, job.request_id, job)
            raise
        with self._readers.open(job.organisation_id, connection) as reader:
            job.reader = reader
            if answer.stream is None:
                await self._send_answer(send, job, answer)
            else:
                await self._send_stream(send, job, answer)
            await reader.finish()

    async def _read_job(
        self, scope, receive, request_id, body_reader
    ) -> jobs.Job:
        arrived_at = self._clock.now()
        headers = requests.read_headers(scope['headers'])
        # What the filters would refuse in any case is refused before the body.
        authentication.identify(self._node.configuration, headers)
        if not scope['path'].startswith(outcome.PREFIX):
            parsing.check_path(scope['path'])
        body = await requests.read_body(
            body_reader,
            receive,
            scope['headers'],
            self._settings.max_body_bytes,
            self._settings.body_limit_s,
        )
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
            raise _failure(job, 'internal error') from error

    async def _send_answer(self, send, job, answer: jobs.Answer) -> None:
        seconds = self._clock.now() - job.arrived_at
        self._record(metrics.Series.FIRST_BYTE, job, seconds)
        self._finish(job, answer.facts.outcome)
        headers = {
            **answer.headers,
            **replies.answer_headers(job, answer.facts),
        }
        response = pages.Response(
            answer.status, answer.body, self._add_connection_header(headers)
        )
        await replies.send_response(send, response)

    async def _send_stream(self, send, job, answer: jobs.Answer) -> None:
        headers = {**answer.headers, **replies.start_headers(job, answer.facts)}
        seconds = self._clock.now() - job.arrived_at
        self._record(metrics.Series.FIRST_BYTE, job, seconds)
        await replies.send_start(
            send, answer.status, self._add_connection_header(headers)
        )
        async with contextlib.aclosing(answer.stream) as stream:
            await self._send_parts(send, job, answer, stream)

    async def _send_parts(self, send, job, answer, stream) -> None:
        try:
            async for part in stream:
                await replies.send_part(send, part)
        except anyio.get_cancelled_exc_class():
            # The caller disconnected, or the drain limit was reached.
            with anyio.move_on_after(LAST_EVENT_TIMEOUT_S, shield=True):
                last_event = replies.error_event(
                    job, 'the node is shutting down'
                )
                await replies.send_part(send, last_event)
                await send({'type': 'http.response.body', 'body': b''})
            raise
        except Exception as error:
            outcome = states.Outcome.FAILED
            message = 'internal error'
            if isinstance(error, errors.NodeError):
                message = str(error)
            events.log(
                events.Event.ANSWER_INTERRUPTED,
                request=job.request_id,
                error=repr(error),
            )
            last_event = replies.error_event(job, message)
        else:
            outcome = answer.facts.outcome
            last_event = replies.final_event(job, answer.facts)
        self._finish(job, outcome)
        await replies.send_part(send, last_event)
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
        response = replies.make_error_response(refusal, request_id)
        response = response._replace(
            headers=self._add_connection_header(response.headers)
        )
        await replies.send_response(send, response)

    def _add_connection_header(self, headers: dict[str, str]) -> dict[str, str]:
        # While the node drains, each answer closes its connection, so that
        # the caller sends its next request to another node.
        if self._node.draining:
            headers['connection'] = 'close'
        return headers

    def _record(self, series, job: jobs.Job, seconds: float) -> None:
        self._metrics.record(series, job.organisation_id, job.kind_id, seconds)

    def _finish(self, job: jobs.Job, outcome: states.Outcome) -> None:
        # Callers choose the kind and the key. Recording before both are checked
        # would let strangers create any number of metric series.
        if job.organisation is None or not job.kind_id:
            return
        seconds = self._clock.now() - job.arrived_at
        self._record(metrics.Series.TOTAL, job, seconds)
        self._metrics.count(job.organisation_id, job.kind_id, outcome.value)


def _failure(job: jobs.Job, message: str) -> errors.Refusal:
    """Returns a refusal that tells whether a job may have run."""
    if job.sent and not job.safe_to_retry:
        reason = errors.RefusalCode.OUTCOME_UNKNOWN
    else:
        reason = errors.RefusalCode.UPSTREAM_FAILED
    return errors.Refusal(reason, message)


@contextlib.contextmanager
def _cancel_on_disconnect(connection, job: jobs.Job):
    """Yields a scope that is cancelled when the caller disconnects.

    Service calls and jobs with an idempotency key run to completion even
    then, because the caller may ask for their outcome later.
    """
    with anyio.CancelScope() as scope:
        if job.path == parsing.CHAT_PATH and _KEY_HEADER not in job.headers:
            connection.on_disconnect = scope.cancel
        try:
            yield scope
        finally:
            connection.on_disconnect = None
