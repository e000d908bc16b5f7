"""The configuration in force on this node."""

import anyio
from radishcourse_model import errors as model_errors
from radishcourse_model import folder
from radishcourse_model import ids
from radishcourse_model import schema
from radishcourse_platform import errors as platform_errors
from radishcourse_platform import revisions

from radishcourse_node import events


class Configuration:
    """Holds the newest known revision; it never goes back.

    Args:
      settings: The node's settings.
      clock: The node's clock.
      source: The platform's revisions.
      freshness: Told of each confirmation.
    """

    def __init__(self, settings, clock, source, freshness):
        self._settings = settings
        self._clock = clock
        self._source: revisions.Revisions = source
        self._freshness = freshness
        self._snapshot = revisions.EMPTY
        self._config = schema.Config()
        self._keys: dict[str, ids.OrganisationId] = {}
        self._lock = anyio.Lock()

    @property
    def revision(self) -> ids.Revision:
        """Number of the revision in force."""
        return self._snapshot.revision

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
        """Organisations by the hash of each of their keys."""
        return self._keys

    async def run(self) -> None:
        """Reads the head again and again."""
        while True:
            await self.poll()
            await anyio.sleep(self._settings.poll_s)

    async def poll(self) -> bool:
        """Confirms the revision, or takes a newer one; False on failure."""
        asked_at = self._clock.now()
        try:
            head = await self._source.head()
            if head is not None and head.revision > self.revision:
                await self._load(head)
        except (platform_errors.PlatformError, model_errors.ConfigError) as e:
            self._freshness.note_platform(reached=False)
            events.log(events.Event.PLATFORM_FAILED, what='head', error=str(e))
            return False
        self._freshness.note_platform(reached=True)
        # A lagging read returns an older head, which confirms nothing.
        if (head.revision if head else 0) == self.revision:
            self._freshness.confirm(asked_at)
        return True

    async def _load(self, head: revisions.Head) -> None:
        snapshot = await self._source.load(self._snapshot, head)
        await self.adopt(snapshot)

    async def adopt(self, snapshot: revisions.Snapshot) -> bool:
        """Puts a document in force if it is newer; False if it is not.

        Raises:
          ConfigError: The document does not fit the schema.
        """
        async with self._lock:
            if snapshot.revision <= self.revision:
                return False
            self._config = _decode(snapshot)
            self._snapshot = snapshot
            self._keys = {
                key: organisation_id
                for organisation_id, item in self._config.organisations.items()
                for key in item.keys
            }
        events.log(events.Event.REVISION_IN_FORCE, revision=snapshot.revision)
        return True


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
