"""Configuration in force on this node."""

import collections
import math
import typing

import anyio

from radishcourse_model import errors as model_errors
from radishcourse_model import folder
from radishcourse_model import ids
from radishcourse_model import merge
from radishcourse_model import schema
from radishcourse_node import events
from radishcourse_node.controllers import freshness as freshness_controller
from radishcourse_platform import errors as platform_errors
from radishcourse_platform import revisions
from radishcourse_policy import freshness as policy

# If a poll is not answered within this time, the platform counts as not
# reached. A later answer is still used.
OVERDUE_AFTER_S = 0.75
# How often per `poll_s` it is checked whether a poll is due.
CHECKS_PER_POLL = 5
# Latest changes that are kept for peers; a peer that lacks more of them gets
# the whole document.
MAX_HISTORY = 256

_ANSWERED_ERRORS = (
    platform_errors.RateLimited,
    platform_errors.UnexpectedResponse,
    model_errors.ConfigError,
)


class VerifiedChange(typing.NamedTuple):
    """A change whose patch was verified to result in its digest.

    Attributes:
      revision: Revision that the change made.
      digest: Digest of the document at this revision, in hex.
      patch: Patch from the previous revision.
    """

    revision: ids.Revision
    digest: str
    patch: merge.Document


class Configuration:
    """Holds the newest known revision and never returns to an older one.

    Args:
      settings: The node's settings.
      clock: The node's clock.
      source: The platform's revisions. Its timeout for a call is longer than
        the time between polls, so that a slow platform still confirms.
      freshness: The freshness controller, which gets each confirmation.
    """

    def __init__(self, settings, clock, source, freshness):
        self._settings = settings
        self._clock = clock
        self._source: revisions.Revisions = source
        self._freshness: freshness_controller.Freshness = freshness
        self._snapshot = revisions.EMPTY_SNAPSHOT
        self._digest = revisions.EMPTY_SNAPSHOT.digest
        self._config = schema.Config()
        self._keys: dict[str, ids.OrganisationId] = {}
        self._observed = revisions.NO_HEAD
        self._history: collections.deque[VerifiedChange] = collections.deque(
            maxlen=MAX_HISTORY
        )
        self._lock = anyio.Lock()
        self._fleet_size = 1

    @property
    def revision(self) -> ids.Revision:
        """Number of the revision in force."""
        return self._snapshot.revision

    @property
    def digest(self) -> str:
        """Digest of the document in force, in hex."""
        return self._digest

    @property
    def snapshot(self) -> revisions.Snapshot:
        """The document in force."""
        return self._snapshot

    @property
    def config(self) -> schema.Config:
        """The typed configuration in force."""
        return self._config

    @property
    def keys(self) -> dict[str, ids.OrganisationId]:
        """Organisation ids by the hash of each API key."""
        return self._keys

    def set_fleet_size(self, nodes: int) -> None:
        """Sets how many nodes share the platform's limit on reads."""
        self._fleet_size = nodes

    def changes_after(self, revision: int) -> list[VerifiedChange] | None:
        """Returns the changes since a revision, or None if not all are kept."""
        if revision >= self.revision:
            return []
        changes = [item for item in self._history if item.revision > revision]
        if changes and changes[0].revision == revision + 1:
            return changes
        return None

    async def run(self) -> None:
        """Polls the head revision when it is due.

        Polls overlap: if each waited for the previous one, a platform that
        takes 2 s to answer would confirm the revision too rarely.
        """
        polled_at = -math.inf
        async with anyio.create_task_group() as tasks:
            while True:
                now = self._clock.now()
                if policy.poll_is_due(
                    now,
                    polled_at,
                    self._freshness.confirmed_at,
                    self._fleet_size,
                    self._settings.poll_s,
                ):
                    polled_at = now
                    tasks.start_soon(self.poll)
                await anyio.sleep(self._settings.poll_s / CHECKS_PER_POLL)

    async def poll(self) -> bool:
        """Reads the head and adopts its revision; returns False on failure."""
        asked_at = self._clock.now()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._note_overdue, asked_at)
            observed = await self._observe(asked_at)
            tasks.cancel_scope.cancel()
        if observed is None:
            return False
        try:
            await self._apply_head(observed.head, asked_at)
        except (platform_errors.PlatformError, model_errors.ConfigError) as e:
            events.log(
                events.Event.PLATFORM_FAILED, what='changes', error=repr(e)
            )
            return False
        return True

    async def _note_overdue(self, asked_at: float) -> None:
        await anyio.sleep(OVERDUE_AFTER_S)
        self._freshness.note_platform(asked_at, reached=False)

    async def _observe(self, asked_at: float) -> revisions.VersionedHead | None:
        try:
            observed = await self._source.confirm_head(self._observed)
        except (platform_errors.PlatformError, model_errors.ConfigError) as e:
            # A platform that answers with an error may still accept changes.
            up = isinstance(e, _ANSWERED_ERRORS)
            self._freshness.note_platform(asked_at, reached=up)
            events.log(events.Event.PLATFORM_FAILED, what='head', error=repr(e))
            return None
        self._freshness.note_platform(asked_at, reached=True)
        # Polls overlap; a late answer must not replace a newer one.
        if observed.version > self._observed.version:
            self._observed = observed
        return observed

    async def _apply_head(self, head: revisions.Head | None, asked_at: float):
        if head is not None and head.revision > self.revision:
            self._freshness.note_newest(head.revision)
            steps = await self._source.load_revisions(self._snapshot, head)
            changes = [
                VerifiedChange(item.revision, item.digest, item.patch)
                for item in (step.change for step in steps)
                if item is not None
            ]
            await self.adopt(steps[-1].snapshot, head.digest, changes)
        digest = head.digest if head else revisions.EMPTY_SNAPSHOT.digest
        self.confirm(head.revision if head else 0, digest, asked_at)

    def confirm(self, revision: int, digest: str, asked_at: float) -> None:
        """Confirms that a revision was the newest at `asked_at` or later.

        This has an effect only if it is the revision in force: an older one
        comes from a stale source. Another document with the same number is
        logged and confirms nothing.
        """
        if revision != self.revision:
            return
        if digest != self.digest:
            events.log(
                events.Event.REVISION_REJECTED,
                revision=revision,
                error='another document has the same revision number',
            )
            return
        self._freshness.confirm(asked_at)

    async def adopt(
        self,
        snapshot: revisions.Snapshot,
        digest: str,
        changes: list[VerifiedChange],
    ) -> bool:
        """Puts a document in force; returns False if it is not newer.

        Args:
          snapshot: The document, already checked against `digest`.
          digest: Digest of the document, in hex.
          changes: The latest changes up to the document, without gaps.

        Raises:
          ConfigError: The document does not fit the schema.
        """
        async with self._lock:
            if snapshot.revision <= self.revision:
                return False
            config = _decode(snapshot)
            self._extend_history(changes)
            self._config = config
            self._snapshot = snapshot
            self._digest = digest
            self._keys = {
                key: organisation_id
                for organisation_id, item in config.organisations.items()
                for key in item.keys
            }
            self._freshness.set_revision(snapshot.revision)
        events.log(events.Event.REVISION_IN_FORCE, revision=snapshot.revision)
        return True

    def _extend_history(self, changes: list[VerifiedChange]) -> None:
        if not changes or changes[0].revision > self.revision + 1:
            self._history.clear()
        self._history.extend(
            item for item in changes if item.revision > self.revision
        )

    async def adopt_changes(self, changes: list[VerifiedChange]) -> bool:
        """Applies a peer's changes; returns False if none was applied.

        Raises:
          PatchError: A patch does not result in its digest.
          ConfigError: The document does not fit the schema.
        """
        current = self._snapshot
        verified = []
        digest = self._digest
        for change in changes:
            if change.revision != current.revision + 1:
                continue
            document = merge.apply_verified(
                current.document, change.patch, change.digest
            )
            current = revisions.Snapshot(change.revision, document)
            digest = change.digest
            verified.append(change)
        if not verified:
            return False
        return await self.adopt(current, digest, verified)

    async def adopt_snapshot(
        self, snapshot: revisions.Snapshot, digest: str
    ) -> bool:
        """Puts a whole document from a peer in force, if it is newer.

        Raises:
          PatchError: The document has another digest.
          ConfigError: The document does not fit the schema.
        """
        if snapshot.digest != digest:
            raise model_errors.PatchError('the document has another digest')
        return await self.adopt(snapshot, digest, [])


def _decode(snapshot: revisions.Snapshot) -> schema.Config:
    try:
        return folder.decode(snapshot.document)
    except ValueError as error:
        events.log(
            events.Event.REVISION_REJECTED,
            revision=snapshot.revision,
            error=str(error),
        )
        raise model_errors.ConfigError(str(error)) from error
