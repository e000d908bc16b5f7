"""Reads and writes rows of claims, and retries writes of final states."""

import base64
import dataclasses
import uuid

import anyio
import msgspec

from radishcourse_model import ids
from radishcourse_model import states
from radishcourse_node import events
from radishcourse_node import job as jobs
from radishcourse_platform import errors as platform_errors
from radishcourse_platform import objects
from radishcourse_platform import table
from radishcourse_policy import claims as policy

# Larger bodies go to the object store, so that rows stay small.
MAX_INLINE_BYTES = 32 * 1024
# Size of the pending final states at which no new claims are made.
MAX_PENDING_BYTES = 16 * 2**20
MIN_RETRY_S = 0.5
MAX_RETRY_S = 5.0


class Claim(msgspec.Struct):
    """Row of a claim.

    Attributes:
      state: State of the claim.
      write_id: Unique for each write of the row.
      request_id: The request that made the claim.
      digest: SHA-256 of the request's content, in hex.
      until: Wall time, in seconds since the epoch, from which a claim without
        a final state counts as unknown instead of running.
      status: HTTP status of the stored outcome.
      headers: Headers of the stored outcome.
      body: Body of the stored outcome, in base64.
      stored_as: Key of the object with a large body, or empty.
      facts: Facts about the stored outcome, such as model and cost.
    """

    state: states.ClaimState
    write_id: ids.WriteId
    request_id: ids.RequestId
    digest: str
    until: float
    status: int = 0
    headers: dict[str, str] = {}
    body: str = ''
    stored_as: str = ''
    facts: jobs.Facts | None = None


@dataclasses.dataclass
class HeldClaim:
    """A claim that this node made.

    Attributes:
      key: Key of the row.
      claim: The claim, with its final state once there is one.
      base_version: Version on which the claim's write was conditioned.
      claim_write_id: Write id of the claim.
      version: Version of the row after the claim. None if it is not known or
        the final state may have been written; the row is then read first.
      body: Body of the outcome.
      last_write_id: Write id of the last attempt to write the final state.
    """

    key: str
    claim: Claim
    base_version: int
    claim_write_id: ids.WriteId
    version: int | None = None
    body: bytes = b''
    last_write_id: ids.WriteId | None = None


class ClaimRows:
    """Reads and writes claims, and keeps final states until written."""

    def __init__(self, rows: table.Table, store: objects.ObjectStore):
        self._rows = rows
        self._store = store
        self._pending: dict[str, HeldClaim] = {}
        self._pending_bytes = 0

    @property
    def pending_count(self) -> int:
        """Number of claims whose final state is not written yet."""
        return len(self._pending)

    @property
    def full(self) -> bool:
        """Whether too many final states are pending for more claims."""
        return self._pending_bytes >= MAX_PENDING_BYTES

    async def read(self, key: str) -> tuple[Claim | None, int]:
        """Returns the claim under a key and its row's version.

        Raises:
          PlatformError: The platform did not answer.
        """
        held = self._pending.get(key)
        if held is not None and held.claim.state is states.ClaimState.DONE:
            return held.claim, held.base_version
        row = await self._rows.read(key)
        if row is None:
            return None, table.ABSENT
        return msgspec.convert(row.value, Claim), row.version

    async def read_body(self, claim: Claim) -> bytes:
        """Returns the body of a stored outcome.

        Raises:
          PlatformError: The platform did not answer or lacks the body.
        """
        for held in self._pending.values():
            if held.claim is claim:
                return held.body
        if not claim.stored_as:
            return base64.b64decode(claim.body)
        body = await self._store.read(claim.stored_as)
        if body is None:
            raise platform_errors.Unavailable(
                'the body of the outcome is missing'
            )
        return body

    async def claim(self, key: str, claim: Claim, version: int) -> HeldClaim:
        """Writes a claim.

        Raises:
          Conflict: Another request has the claim.
          PlatformError: The claim is not known to be written. If it may still
            be written, it is set to `NOT_RUN` in the background.
        """
        held = HeldClaim(key, claim, version, claim.write_id)
        try:
            held.version = await self._write(key, claim, version)
        except platform_errors.ResponseLost:
            held.claim = msgspec.structs.replace(
                claim, state=states.ClaimState.NOT_RUN
            )
            self._add_pending(held)
            raise
        return held

    async def finish(self, held: HeldClaim) -> None:
        """Writes the final state now or, if that fails, in the background."""
        try:
            await self._settle(held)
        except platform_errors.PlatformError as error:
            _log(held, stored=False, error=str(error))
            self._add_pending(held)

    async def run(self) -> None:
        """Writes pending final states, with exponential backoff."""
        delay_s = MIN_RETRY_S
        while True:
            await anyio.sleep(delay_s)
            try:
                await self.settle_all()
                delay_s = MIN_RETRY_S
            except platform_errors.PlatformError:
                delay_s = min(MAX_RETRY_S, 2 * delay_s)

    async def settle_all(self) -> None:
        """Writes the pending final states.

        Raises:
          PlatformError: The platform did not answer; some are still pending.
        """
        for held in list(self._pending.values()):
            await self._settle(held)
            self._pending_bytes -= _size(held)
            if self._pending.get(held.key) is held:
                del self._pending[held.key]
            _log(held, stored=True)

    def _add_pending(self, held: HeldClaim) -> None:
        earlier = self._pending.get(held.key)
        if earlier is not None:
            self._pending_bytes -= _size(earlier)
        self._pending[held.key] = held
        self._pending_bytes += _size(held)

    async def _settle(self, held: HeldClaim) -> None:
        await self._store_body(held)
        version, held.version = held.version, None
        if version is None:
            version = await self._find_version(held)
        if version is None:
            return
        held.last_write_id = held.claim.write_id = new_write_id()
        await self._write(held.key, held.claim, version)

    async def _find_version(self, held: HeldClaim) -> int | None:
        """Returns the version to overwrite, or None to write nothing."""
        row = await self._rows.read(held.key)
        found = row.value.get('write_id') if row else None
        version = row.version if row else table.ABSENT
        written = found is not None and found == held.last_write_id
        may_settle = policy.may_settle(
            found, version, held.claim_write_id, held.base_version
        )
        return version if may_settle and not written else None

    async def _store_body(self, held: HeldClaim) -> None:
        if len(held.body) <= MAX_INLINE_BYTES:
            held.claim.body = base64.b64encode(held.body).decode('ascii')
            return
        object_key = f'outcomes/{held.claim_write_id}'
        await self._store.write(object_key, held.body)
        held.claim.stored_as = object_key

    async def _write(self, key: str, claim: Claim, version: int) -> int:
        transaction = table.Transaction(
            conditions=[table.Condition(key, version)],
            puts=[table.Put(key, msgspec.to_builtins(claim))],
        )
        try:
            return (await self._rows.transact(transaction))[key]
        except platform_errors.ResponseLost:
            row = await self._read_back(key)
            if row is None or row.value.get('write_id') != claim.write_id:
                raise
            return row.version

    async def _read_back(self, key: str) -> table.Row | None:
        try:
            return await self._rows.read(key)
        except platform_errors.PlatformError as error:
            raise platform_errors.ResponseLost(str(error)) from error


def new_write_id() -> ids.WriteId:
    """Returns an id for one write."""
    return ids.WriteId(uuid.uuid4().hex)


def _size(held: HeldClaim) -> int:
    return len(held.body) + 1024


def _log(held: HeldClaim, **fields: object) -> None:
    events.log(
        events.Event.CLAIM_RESOLVED,
        key=held.key,
        state=held.claim.state.value,
        **fields,
    )
