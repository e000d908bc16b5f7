"""Claims of requests with an idempotency key.

A claim is written to the platform's table before any byte is sent to an
upstream, and is never transferred: the claim of a node that died stays, and
repeated requests get the answer that the outcome is unknown. A claimed request
runs on when its caller disconnects, and a streamed answer is stored whole as
the outcome.
"""

import contextlib
import dataclasses
import hashlib

import anyio
import msgspec

from radishcourse_model import states
from radishcourse_node import errors
from radishcourse_node import job as jobs
from radishcourse_node.controllers import claimrows
from radishcourse_node.controllers import relays
from radishcourse_platform import errors as platform_errors
from radishcourse_platform import objects
from radishcourse_platform import table
from radishcourse_policy import claims as policy

# How long a stopping node tries to write the final states of its claims.
SETTLE_TIMEOUT_S = 10.0
_SETTLE_POLL_S = 0.2


class OutcomeReport(msgspec.Struct):
    """Answer to `GET /v1/requests/<key>`.

    Attributes:
      state: State of the claim.
      outcome: Outcome of the request.
      request_id: The request that made the claim.
      status: HTTP status of the stored answer; 0 without one.
      headers: Headers of the stored answer.
      body: Body of the stored answer, decoded as UTF-8.
    """

    state: str
    outcome: str
    request_id: str
    status: int = 0
    headers: dict[str, str] = {}
    body: str = ''


class Claims:
    """Claims requests and answers repeated ones with the stored outcome.

    Args:
      environment: Clock of the process.
      rows: The platform's table.
      store: The platform's object store, for large bodies.
    """

    def __init__(
        self, environment, rows: table.Table, store: objects.ObjectStore
    ):
        self._clock = environment.clock
        self._rows = claimrows.ClaimRows(rows, store)
        self._relays = relays.Relays()

    @property
    def pending_count(self) -> int:
        """Number of claims whose final state is not written yet."""
        return self._rows.pending_count

    async def run(self) -> None:
        """Retries writes of final states, and reads claimed streams."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._relays.run)
            tasks.start_soon(self._rows.run)

    async def finish(self) -> None:
        """Waits for claimed streams and writes of final states at a stop."""
        await self._relays.finish()
        with anyio.move_on_after(SETTLE_TIMEOUT_S):
            while self._rows.pending_count:
                with contextlib.suppress(platform_errors.PlatformError):
                    await self._rows.settle_all()
                await anyio.sleep(_SETTLE_POLL_S)

    async def handle(self, job: jobs.Job, proceed) -> jobs.Answer:
        """Runs a job under its claim, or returns the stored outcome.

        Raises:
          Refusal: The key is claimed by a request that is running, whose
            outcome is unknown or whose content differs; or the claim could
            not be read or written.
        """
        # Cancellation by a caller that disconnects must not leave the claim
        # without a final state.
        with anyio.CancelScope(shield=True):
            try:
                held = await self._acquire(job)
            except platform_errors.PlatformError as error:
                raise _unavailable(error) from error
            if isinstance(held, jobs.Answer):
                return held
            return await self._run_claimed(job, held, proceed)

    async def _run_claimed(self, job, held, proceed) -> jobs.Answer:
        if job.streamed:
            # The whole stream is buffered as the outcome, so a caller that
            # reads slowly must not slow down the upstream. The caller's reader
            # is set on the original job only.
            job = dataclasses.replace(job)

        async def run() -> jobs.Answer:
            return await self._run_job(job, held, proceed)

        async def settle(answer: jobs.Answer, body: bytes | None) -> None:
            await self._finish_answered(held, answer, body)

        if job.streamed:
            return await self._relays.start(run, settle)
        answer = await run()
        await settle(answer, answer.body)
        return answer

    async def _run_job(self, job, held, proceed) -> jobs.Answer:
        try:
            return await proceed(job)
        except errors.Refusal as refusal:
            held.claim.state = _FINAL_STATES[refusal.reason.outcome]
            await self._rows.finish(held)
            raise
        except Exception:
            unknown = states.ClaimState.UNKNOWN
            held.claim.state = unknown if job.sent else _NOT_RUN
            await self._rows.finish(held)
            raise

    async def _finish_answered(self, held, answer, body: bytes | None) -> None:
        """Stores an answer; `body` is None if its stream was interrupted."""
        claim = held.claim
        if body is None:
            claim.state = states.ClaimState.UNKNOWN
        else:
            claim.state = states.ClaimState.DONE
            claim.status, claim.headers = answer.status, answer.headers
            claim.facts = answer.facts
            held.body = body
        await self._rows.finish(held)

    async def _acquire(
        self, job: jobs.Job
    ) -> claimrows.HeldClaim | jobs.Answer:
        key = _row_key(job)
        found, version = await self._rows.read(key)
        if found is not None:
            answer = await self._resolve_repeat(job, found)
            if answer is not None:
                return answer
        if self._rows.full:
            raise platform_errors.Unavailable('too many claims are pending')
        self._relays.check_room(job)
        left_s = job.deadline - self._clock.now()
        claim = claimrows.Claim(
            state=states.ClaimState.CLAIMED,
            write_id=claimrows.new_write_id(),
            request_id=job.request_id,
            digest=_digest(job),
            until=policy.expiry_time(self._clock.wall(), left_s),
        )
        try:
            return await self._rows.claim(key, claim, version)
        except platform_errors.Conflict:
            # Another request has claimed the key since the read above.
            found, _ = await self._rows.read(key)
            answer = await self._resolve_repeat(job, found) if found else None
            if answer is None:
                raise
            return answer

    async def _resolve_repeat(self, job, found) -> jobs.Answer | None:
        """Returns the stored outcome, or None if the job may be claimed.

        Raises:
          Refusal: The key can neither be claimed nor answered.
          PlatformError: The platform did not answer.
        """
        action = policy.decide_action(
            found.state,
            found.digest == _digest(job),
            found.until,
            self._clock.wall(),
        )
        if action is policy.Action.CLAIM:
            return None
        if action is policy.Action.RETURN_OUTCOME:
            return await self._restore_answer(job, found)
        reason, message = _REFUSALS[action]
        raise errors.Refusal(
            reason,
            f'request {found.request_id}: {message}',
            1 if action is policy.Action.REFUSE_RUNNING else None,
        )

    async def _restore_answer(self, job, claim: claimrows.Claim) -> jobs.Answer:
        body = await self._rows.read_body(claim)
        headers = {**claim.headers, 'x-radish-repeated': claim.request_id}
        answer = jobs.Answer(claim.status, headers, body, None, claim.facts)
        if job.streamed:
            answer.stream, answer.body = _single_chunk(body), b''
        return answer

    async def report_outcome(self, job: jobs.Job) -> jobs.Answer:
        """Returns the state and outcome of the request with the job's key.

        Raises:
          Refusal: There is no such request, or the platform did not answer.
        """
        try:
            claim, _ = await self._rows.read(_row_key(job))
            if claim is None:
                raise errors.Refusal(
                    errors.RefusalCode.NOT_FOUND,
                    'no request has claimed this key',
                )
            report = await self._make_report(claim)
        except platform_errors.PlatformError as error:
            raise _unavailable(error) from error
        headers = {'content-type': 'application/json'}
        facts = jobs.Facts(outcome=states.Outcome(report.outcome))
        return jobs.Answer(
            200, headers, msgspec.json.encode(report), None, facts
        )

    async def _make_report(self, claim: claimrows.Claim) -> OutcomeReport:
        state = claim.state
        if state is states.ClaimState.DONE:
            body = await self._rows.read_body(claim)
            return OutcomeReport(
                state.value,
                claim.facts.outcome.value,
                claim.request_id,
                claim.status,
                claim.headers,
                body.decode('utf-8', 'replace'),
            )
        running = state is states.ClaimState.CLAIMED
        if running and self._clock.wall() >= claim.until:
            state = states.ClaimState.UNKNOWN
        outcome = _OUTCOMES.get(state, states.Outcome.UNKNOWN)
        return OutcomeReport(state.value, outcome.value, claim.request_id)


_NOT_RUN = states.ClaimState.NOT_RUN
_FINAL_STATES = {
    states.Outcome.NOT_RUN: _NOT_RUN,
    states.Outcome.FAILED: states.ClaimState.FAILED,
    states.Outcome.UNKNOWN: states.ClaimState.UNKNOWN,
}
_OUTCOMES = {
    _NOT_RUN: states.Outcome.NOT_RUN,
    states.ClaimState.FAILED: states.Outcome.FAILED,
}
_REFUSALS = {
    policy.Action.REFUSE_RUNNING: (
        errors.RefusalCode.STILL_RUNNING,
        'it is still running',
    ),
    policy.Action.REFUSE_UNKNOWN: (
        errors.RefusalCode.OUTCOME_UNKNOWN,
        'its outcome is unknown',
    ),
    policy.Action.REFUSE_REUSED: (
        errors.RefusalCode.KEY_REUSED,
        'it has the same idempotency key but other content',
    ),
}


def _row_key(job: jobs.Job) -> str:
    return f'claims/{job.organisation_id}/{job.idempotency_key}'


def _digest(job: jobs.Job) -> str:
    kind = job.headers.get('x-radish-kind', '')
    head = '\0'.join((job.method, job.path, job.query, kind)).encode()
    return hashlib.sha256(head + b'\0' + job.body).hexdigest()


def _unavailable(error: platform_errors.PlatformError) -> errors.Refusal:
    return errors.Refusal(
        errors.RefusalCode.CLAIM_UNAVAILABLE,
        f'the claim could not be read or written: {error}',
        retry_after_s=1,
    )


async def _single_chunk(body: bytes):
    yield body
