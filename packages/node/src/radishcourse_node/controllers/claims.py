"""Claims of requests with an idempotency key.

A claim is written to the platform's table before any byte goes to an
upstream, and is never handed on: a claim whose holder died stays, and
repeats are told that the outcome is unknown.
"""

import base64
import uuid

import msgspec
from radishcourse_model import ids
from radishcourse_model import states
from radishcourse_platform import errors as platform_errors
from radishcourse_platform import table

from radishcourse_node import errors
from radishcourse_node import events
from radishcourse_node import job as jobs


class Claim(msgspec.Struct):
    """A claim's row.

    Attributes:
      state: Its state.
      write_id: Unique for the write that made the claim.
      request_id: The request that holds the claim.
      until: Wall time in seconds after which its holder has given up.
      status: HTTP status of the stored outcome.
      headers: Headers of the stored outcome.
      body: Body of the stored outcome, in base64.
      facts: What is told about the stored outcome.
    """

    state: states.ClaimState
    write_id: ids.WriteId
    request_id: ids.RequestId
    until: float
    status: int = 0
    headers: dict[str, str] = {}
    body: str = ''
    facts: jobs.Facts | None = None


class Claims:
    """Claims requests and answers repeats from the stored outcome."""

    def __init__(self, environment, rows: table.Table):
        self._clock = environment.clock
        self._rows = rows

    async def run(self, job: jobs.Job, proceed) -> jobs.Answer:
        """Runs a job under its claim, or returns the stored outcome.

        Raises:
          Refusal: The claim is held by another request, its outcome is
            unknown, or it could not be claimed.
        """
        key = f'claims/{job.organisation_id}/{job.idempotency_key}'
        claim, version = await self._acquire(job, key)
        if claim.state is not states.ClaimState.CLAIMED:
            return _stored(claim)
        try:
            answer = await proceed(job)
        except errors.Refusal as refusal:
            await self._finish_refused(key, claim, version, refusal)
            raise
        claim.state = states.ClaimState.DONE
        claim.status = answer.status
        claim.headers = answer.headers
        claim.body = base64.b64encode(answer.body).decode('ascii')
        claim.facts = answer.facts
        await self._finish(key, claim, version)
        return answer

    async def _acquire(self, job, key) -> tuple[Claim, int]:
        left = job.deadline - self._clock.now()
        claim = Claim(
            state=states.ClaimState.CLAIMED,
            write_id=ids.WriteId(uuid.uuid4().hex),
            request_id=job.request_id,
            until=self._clock.wall() + left,
        )
        try:
            row = await self._rows.read(key)
            if row is not None:
                held = msgspec.convert(row.value, Claim)
                if held.state is not states.ClaimState.NOT_RUN:
                    return self._repeat(held), row.version
            version = row.version if row else table.ABSENT
            return claim, await self._write(key, claim, version)
        except platform_errors.PlatformError as error:
            raise errors.Refusal(
                errors.RefusalCode.CLAIM_UNAVAILABLE,
                f'the request could not be claimed: {error}',
                retry_after_s=1,
            ) from error

    async def _write(self, key, claim: Claim, version: int) -> int:
        transaction = table.Transaction(
            conditions=[table.Condition(key, version)],
            puts=[table.Put(key, msgspec.to_builtins(claim))],
        )
        try:
            return (await self._rows.transact(transaction))[key]
        except platform_errors.AnswerLost:
            row = await self._rows.read(key)
            if row is None or row.value.get('write_id') != claim.write_id:
                raise
            return row.version

    def _repeat(self, held: Claim) -> Claim:
        if held.state is states.ClaimState.DONE:
            return held
        running = held.state is states.ClaimState.CLAIMED
        if running and self._clock.wall() < held.until:
            raise errors.Refusal(
                errors.RefusalCode.STILL_RUNNING,
                f'request {held.request_id} is running',
                retry_after_s=1,
            )
        raise errors.Refusal(
            errors.RefusalCode.OUTCOME_UNKNOWN,
            f'the outcome of request {held.request_id} is not known',
        )

    async def _finish_refused(self, key, claim, version, refusal) -> None:
        if refusal.reason.outcome is states.Outcome.NOT_RUN:
            claim.state = states.ClaimState.NOT_RUN
        else:
            claim.state = states.ClaimState.UNKNOWN
        await self._finish(key, claim, version)

    async def _finish(self, key, claim: Claim, version: int) -> None:
        try:
            await self._write(key, claim, version)
        except platform_errors.PlatformError as error:
            events.log(
                events.Event.CLAIM_RESOLVED,
                key=key,
                state=claim.state.value,
                stored=False,
                error=str(error),
            )


def _stored(claim: Claim) -> jobs.Answer:
    headers = {**claim.headers, 'x-radish-repeated': claim.request_id}
    body = base64.b64decode(claim.body)
    return jobs.Answer(claim.status, headers, body, None, claim.facts)
