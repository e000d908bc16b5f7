"""Runs model jobs: cascade steps, attempts, ratings and escalation."""

import contextlib
import functools

import anyio
import msgspec

from radishcourse_model import ids
from radishcourse_model import schema
from radishcourse_model import states
from radishcourse_node import engines
from radishcourse_node import errors
from radishcourse_node import events
from radishcourse_node import guard
from radishcourse_node import job as jobs
from radishcourse_node import sessions
from radishcourse_node import streams
from radishcourse_node import textbuffers
from radishcourse_node.controllers import reservations
from radishcourse_platform import http
from radishcourse_policy import cascade as policy

MAX_ATTEMPTS = 4


class Runner:
    """Runs model jobs on the cascade steps that the policy chooses."""

    def __init__(self, node):
        self._node = node
        self._clock = node.environment.clock
        self._configuration = node.configuration
        self._upstreams = node.upstreams
        self._quality = node.quality
        self._ratings = node.ratings
        self._versions = node.versions
        self._caches = node.caches
        self._admissions = node.admissions
        self._rollouts = node.rollouts
        self._guard = guard.Guard(node)
        self._text_buffers = textbuffers.TextBuffers()
        self._streams = streams.StreamRunner(
            node,
            self._open_attempt,
            self._record_failure,
            self._may_retry,
            self._charge,
        )

    async def run(self, job: jobs.Job) -> jobs.Answer:
        """Returns the answer to a job.

        Raises:
          Refusal: No step produced an answer.
        """
        choice = self._quality.choose(job)
        if job.streamed:
            started_at = self._clock.now()
            answer = await self._streams.run(job, job.steps[choice.first])
            answer.stream = self._observe_stream(
                job, choice, answer.facts, started_at, answer.stream
            )
            return answer
        return await self._run_unstreamed(job, choice)

    async def _run_unstreamed(
        self, job: jobs.Job, choice: policy.Choice
    ) -> jobs.Answer:
        facts = jobs.Facts()
        completion = None
        for index in range(choice.first, len(job.steps)):
            try:
                completion = await self._run_step(
                    job, index, choice.first, facts
                )
            except errors.Refusal:
                # Returns the earlier answer: one below the quality target is
                # better than none.
                if completion is None:
                    raise
                self._quality.note_returned(job, good=False)
                break
            if index >= choice.last:
                self._audit(job, index, choice, facts, completion.content)
                break
            if await self._is_accepted(job, index, choice, completion, facts):
                break
            events.log(
                events.Event.STEP_ESCALATED,
                request=job.request_id,
                model=facts.model,
                rating=facts.rating,
            )
        facts.outcome = states.Outcome.COMPLETED
        return jobs.Answer(
            200,
            {'content-type': 'application/json'},
            completion.body,
            None,
            facts,
        )

    async def _run_step(self, job, index, first, facts) -> engines.Completion:
        started_at, cost_before = self._clock.now(), facts.cost
        completion = await self._attempt_unstreamed(job, index, facts)
        self._quality.note_run(
            job,
            index,
            first,
            facts.cost - cost_before,
            self._clock.now() - started_at,
        )
        return completion

    async def _is_accepted(self, job, index, choice, completion, facts) -> bool:
        """Rates an answer; tells whether to return it without escalating."""
        rating = await self._ratings.rate(job, completion.content)
        facts.rating = rating
        good = rating is not None and rating >= self._ratings.GOOD_RATING
        if rating is not None:
            self._quality.note_rating(
                job, index, choice.first, facts.version, good
            )
        if good or not self._has_time_for(job, index + 1):
            if rating is not None:
                self._quality.note_returned(job, good)
            return True
        return False

    def _has_time_for(self, job: jobs.Job, index: int) -> bool:
        remaining_s = job.deadline - self._clock.now()
        return self._quality.describe(job)[index].seconds <= remaining_s

    def _audit(self, job, index, choice, facts, content: str) -> None:
        audit_probability = self._quality.sample_audit(choice, facts)
        if audit_probability:
            self._quality.audit(
                job, index, choice, facts, content, audit_probability
            )

    async def _attempt_unstreamed(
        self, job: jobs.Job, index: int, facts: jobs.Facts
    ) -> engines.Completion:
        attempt_facts = jobs.Facts()
        tried: set[ids.UpstreamId] = set()
        for attempt in range(MAX_ATTEMPTS):
            try:
                async with self._open_attempt(
                    job, job.steps[index], attempt_facts, tried
                ) as opened:
                    response, call = opened
                    remaining_s = job.deadline - self._clock.now()
                    with anyio.fail_after(remaining_s):
                        body = await http.read_body(
                            response, engines.MAX_COMPLETION_BYTES
                        )
                    completion = engines.decode_completion(
                        body, call.request_id
                    )
            except errors.AttemptError as error:
                self._record_failure(job, attempt_facts, error)
                if not self._may_retry(job, attempt_facts, attempt):
                    raise streams.make_refusal(error) from error
                continue
            facts.record_attempt(attempt_facts)
            self._charge(job, facts, completion.tokens)
            return completion
        raise AssertionError('the last attempt returns or raises')

    async def _observe_stream(self, job, choice, facts, started_at, stream):
        """Passes a stream on; records its run and audits it when complete."""
        audit_probability = self._quality.sample_audit(choice, facts)
        async with contextlib.aclosing(stream):
            with self._text_buffers.open() as buffer:
                async for part in stream:
                    if audit_probability:
                        buffer.add(part)
                    yield part
                text = buffer.text
        seconds, first = self._clock.now() - started_at, choice.first
        self._quality.note_run(job, first, first, facts.cost, seconds)
        if audit_probability and text is not None:
            self._quality.audit(
                job, first, choice, facts, text, audit_probability
            )

    @contextlib.asynccontextmanager
    async def _open_attempt(self, job, model, facts, tried):
        self._guard.check_view(job)
        async with self._admissions.turn(job, model):
            sessions.check(job, self._configuration.config)
            version = self._rollouts.choose(job, model)
            if version is None:
                version = self._versions.choose(job, model)
            with self._rollouts.track(job, model, version):
                async with self._reserve(
                    job, model, version, facts, tried
                ) as opened:
                    yield opened

    @contextlib.asynccontextmanager
    async def _reserve(self, job, model, version, facts, tried):
        if not self._guard.allows_version(job, model, version):
            raise errors.Refusal(
                errors.RefusalCode.MODEL_NOT_ALLOWED,
                f'{model}/{version} is not allowed',
            )
        async with self._upstreams.reserve(
            job,
            model,
            version,
            tried,
            functools.partial(self._guard.allows_upstream, job),
        ) as upstream:
            tried.add(upstream.upstream_id)
            facts.model, facts.version = model, version
            facts.upstream = upstream.upstream_id
            facts.revision = self._configuration.revision
            job.price = self._find_price(model, version)
            # The configuration may have changed during the wait for the
            # reservation.
            self._guard.check_view(job)
            sessions.check(job, self._configuration.config)
            if not self._guard.allows_version(job, model, version):
                # Retryable: the next attempt chooses another version.
                raise errors.AttemptError(
                    f'{model}/{version} is not allowed any more', sent=False
                )
            call = _make_call(job, model, version, upstream.request_id)
            started_at = self._clock.now()
            self._caches.note_sent(job, upstream.upstream_id)
            async with streams.cancel_on_failure(upstream, call.request_id):
                async with self._send_call(
                    job, facts, upstream, call
                ) as response:
                    yield response, call
            seconds = self._clock.now() - started_at
            self._caches.note_service(upstream.upstream_id, seconds)

    @contextlib.asynccontextmanager
    async def _send_call(
        self, job, facts, upstream: reservations.Reservation, call
    ):
        async with engines.open_response(
            upstream.pool,
            'POST',
            f'http://{upstream.address}/v1/chat/completions',
            [(b'content-type', b'application/json')],
            msgspec.json.encode(call),
            max(0.001, job.deadline - self._clock.now()),
            self._guard.make_trace(job, facts, upstream.trace),
        ) as response:
            upstream.note_engine_headers(engines.read_engine_headers(response))
            engines.check_status(response)
            yield response

    def _record_failure(self, job, facts, error: errors.AttemptError) -> None:
        job.sent = job.sent or error.sent
        events.log(
            events.Event.ATTEMPT_FAILED,
            request=job.request_id,
            upstream=facts.upstream,
            sent=error.sent,
            error=str(error),
        )

    def _may_retry(self, job: jobs.Job, facts, attempt: int) -> bool:
        if attempt + 1 >= MAX_ATTEMPTS or self._clock.now() >= job.deadline:
            return False
        return self._upstreams.spend_retry(job.organisation_id, facts.upstream)

    def _find_price(self, model, version) -> schema.Version | None:
        configured = self._configuration.config.models.get(model)
        return configured.versions.get(version) if configured else None

    def _charge(self, job: jobs.Job, facts: jobs.Facts, tokens: int) -> None:
        by_tokens = -(-tokens * job.price.cost_per_1k_tokens // 1000)
        facts.cost += job.price.cost_per_job + by_tokens
        facts.tokens = tokens


def _make_call(job, model, version, request_id: str) -> engines.Call:
    return engines.Call(
        request_id=request_id,
        model=model,
        version=version,
        messages=job.chat.messages,
        max_tokens=job.chat.max_tokens,
        stream=job.chat.stream,
        priority=job.kind.priority,
    )
