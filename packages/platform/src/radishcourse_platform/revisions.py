"""Configuration revisions in the platform's table and object store.

`config/head` holds the newest revision's number and digest. It is written
only by compare-and-set in one transaction with `config/rev/<n>`, so revision
numbers have no gaps and exactly one of several concurrent changes succeeds.
"""

import msgspec

from radishcourse_model import decoding
from radishcourse_model import errors as model_errors
from radishcourse_model import ids
from radishcourse_model import merge
from radishcourse_platform import errors
from radishcourse_platform import objects
from radishcourse_platform import table

HEAD_KEY = 'config/head'
# Revisions between stored snapshots.
SNAPSHOT_INTERVAL = 64
# Reads to find out whether a write without a response took effect.
MAX_RESOLVE_READS = 3


class Head(msgspec.Struct, frozen=True):
    """The newest accepted revision.

    Attributes:
      revision: Its number.
      digest: Digest of its document.
      write_id: Unique for the write that made it.
      author: Who made it.
    """

    revision: ids.Revision
    digest: str
    write_id: ids.WriteId
    author: str


class Change(msgspec.Struct, frozen=True):
    """A change from the previous revision.

    Attributes:
      revision: Number of the revision that it makes.
      digest: Digest of the document after the change.
      patch: JSON merge patch to the previous revision's document.
      author: Who made it.
      write_id: Unique for the write that made it.
    """

    revision: ids.Revision
    digest: str
    patch: merge.Document
    author: str
    write_id: ids.WriteId


class Snapshot(msgspec.Struct, frozen=True):
    """The whole document of a revision."""

    revision: ids.Revision
    document: merge.Document

    @property
    def digest(self) -> str:
        """Digest of the document."""
        return merge.digest(self.document)


class VersionedHead(msgspec.Struct, frozen=True):
    """The head with the version of its row.

    Attributes:
      head: The newest revision, or None before the first.
      version: Version of the head's row, ABSENT before the first revision.
    """

    head: Head | None
    version: int


class LoadedRevision(msgspec.Struct, frozen=True):
    """A revision read from a stored snapshot or made by applying a change.

    Attributes:
      snapshot: The revision's document.
      change: The applied change; None for a stored snapshot.
    """

    snapshot: Snapshot
    change: Change | None


NO_HEAD = VersionedHead(None, table.ABSENT)
EMPTY_SNAPSHOT = Snapshot(revision=ids.Revision(0), document={})


class RevisionConflict(errors.PlatformError):
    """Another change was accepted first.

    Attributes:
      head: The newest revision, which includes that change.
    """

    code = 'revision_conflict'

    def __init__(self, head: Head | None):
        number = head.revision if head else 0
        author = head.author if head else 'nobody'
        super().__init__(
            f'conflict: revision {number} by {author} is the newest'
        )
        self.head = head


class Revisions:
    """Reads and writes configuration revisions."""

    def __init__(self, rows: table.Table, store: objects.ObjectStore):
        self._rows = rows
        self._store = store

    async def head(self) -> Head | None:
        """Returns the newest revision, or None before the first.

        Raises:
          Unavailable, ResponseLost: The platform did not respond.
          ConfigError: The row is malformed.
        """
        return (await self.confirm_head(NO_HEAD)).head

    async def change(self, revision: ids.Revision) -> Change | None:
        """Returns the change that made `revision`, or None.

        Raises:
          Unavailable, ResponseLost: The platform did not respond.
          ConfigError: The row is malformed.
        """
        row = await self._rows.read(_change_key(revision))
        return None if row is None else _convert(row.value, Change)

    async def confirm_head(self, last: VersionedHead) -> VersionedHead:
        """Returns the newest revision by a linearizable read.

        A plain read may be stale. A transaction's conditions are checked
        against the current rows, so a transaction without writes confirms
        that the head is unchanged, or its conflict carries the current head.

        Args:
          last: The last known head, or NO_HEAD.

        Returns:
          The head at some time during the call.

        Raises:
          Unavailable, ResponseLost: The platform did not respond.
          ConfigError: The row is malformed.
        """
        condition = table.Condition(HEAD_KEY, last.version)
        try:
            await self._rows.transact(table.Transaction(conditions=[condition]))
        except errors.Conflict as conflict:
            return _head_from_conflict(conflict)
        return last

    async def load(self, start: Snapshot, target: Head) -> Snapshot:
        """Returns the document of revision `target`.

        Args:
          start: An earlier revision, to which later changes are applied.
          target: The revision to load.

        Raises:
          Unavailable, ResponseLost: The platform did not respond.
          ConfigError: A row is malformed.
          PatchError: A digest does not match, so `start` is not the document
            of its revision.
        """
        loaded = await self.load_revisions(start, target)
        return loaded[-1].snapshot if loaded else start

    async def load_revisions(
        self, start: Snapshot, target: Head
    ) -> list[LoadedRevision]:
        """Returns the revisions after `start` up to and including `target`.

        Starts at the newest stored snapshot if that is newer than `start`.
        A stored snapshot is ignored if applying the changes to it does not
        give their digests.

        Raises:
          Unavailable, ResponseLost: The platform did not respond.
          ConfigError: A row is malformed.
          PatchError: A digest does not match, so `start` is not the document
            of its revision.
        """
        stored_at = target.revision - target.revision % SNAPSHOT_INTERVAL
        stored = None
        if stored_at > start.revision:
            stored = await self._read_snapshot(stored_at)
        if stored is not None:
            try:
                applied = await self._apply_changes(stored, target)
                return [LoadedRevision(stored, None), *applied]
            except model_errors.PatchError:
                pass
        return await self._apply_changes(start, target)

    async def _apply_changes(
        self, start: Snapshot, target: Head
    ) -> list[LoadedRevision]:
        loaded = []
        current = start
        while current.revision < target.revision:
            next_revision = ids.Revision(current.revision + 1)
            change = await self.change(next_revision)
            if change is None:
                raise errors.Unavailable(
                    f'revision {next_revision} was not found'
                )
            document = merge.apply_verified(
                current.document, change.patch, change.digest
            )
            current = Snapshot(next_revision, document)
            loaded.append(LoadedRevision(current, change))
        if current.digest != target.digest:
            raise model_errors.PatchError(
                'document does not match the digest of its revision'
            )
        return loaded

    async def latest(self) -> Snapshot:
        """Returns the newest revision, or the empty revision 0.

        Raises:
          Unavailable, ResponseLost: The platform did not respond.
          ConfigError: A row is malformed.
        """
        head = await self.head()
        return (
            EMPTY_SNAPSHOT
            if head is None
            else await self.load(EMPTY_SNAPSHOT, head)
        )

    async def propose(
        self,
        base: Snapshot,
        document: merge.Document,
        author: str,
        write_id: ids.WriteId,
    ) -> Head:
        """Commits `document` as the revision after `base`.

        Args:
          base: The newest revision that the author has seen.
          document: The whole new document.
          author: Who makes the change; shown to operators whose concurrent
            change is refused.
          write_id: Unique for this call; shows after a lost response whether
            the write took effect.

        Returns:
          The accepted revision.

        Raises:
          RevisionConflict: `base` is not the newest revision.
          Unavailable: Nothing was written.
          ResponseLost: It is unknown whether the change was written.
        """
        revision = ids.Revision(base.revision + 1)
        head = Head(revision, merge.digest(document), write_id, author)
        change = Change(
            revision,
            head.digest,
            merge.diff(base.document, document),
            author,
            write_id,
        )
        conditions = await self._conditions(base, revision)
        transaction = table.Transaction(
            conditions=conditions,
            puts=[
                table.Put(HEAD_KEY, msgspec.to_builtins(head)),
                table.Put(_change_key(revision), msgspec.to_builtins(change)),
            ],
        )
        try:
            await self._rows.transact(transaction)
        except errors.Conflict as conflict:
            await self._resolve_conflict(conflict, head)
        except errors.ResponseLost:
            await self._resolve_lost_response(head)
        if revision % SNAPSHOT_INTERVAL == 0:
            await self._store.write(
                _snapshot_key(revision), msgspec.json.encode(document)
            )
        return head

    async def _conditions(self, base, revision):
        seen = await self.confirm_head(NO_HEAD)
        if (seen.head.revision if seen.head else 0) != base.revision:
            raise RevisionConflict(seen.head)
        return [
            table.Condition(HEAD_KEY, seen.version),
            table.Condition(_change_key(revision), table.ABSENT),
        ]

    async def _resolve_conflict(self, conflict, head):
        row = await self._rows.read(_change_key(head.revision))
        if row is not None and row.value.get('write_id') == head.write_id:
            return
        raise RevisionConflict(_head_from_conflict(conflict).head) from conflict

    async def _resolve_lost_response(self, head):
        # Reads the change's own row, as the head may already be newer.
        key = _change_key(head.revision)
        for attempt in range(MAX_RESOLVE_READS):
            try:
                row = await self._rows.read(key)
                break
            except errors.PlatformError:
                if attempt == MAX_RESOLVE_READS - 1:
                    raise
        if row is None:
            raise errors.ResponseLost(
                'no response to the change, and it was not found afterwards;'
                ' it may still take effect: check `status` before retrying'
            )
        if row.value.get('write_id') != head.write_id:
            raise RevisionConflict(await self.head())

    async def _read_snapshot(self, revision: int) -> Snapshot | None:
        body = await self._store.read(_snapshot_key(revision))
        if body is None:
            return None
        try:
            document = msgspec.json.decode(body, type=merge.Document)
        except decoding.ERRORS as error:
            raise model_errors.ConfigError(
                f'malformed snapshot: {error}'
            ) from error
        return Snapshot(ids.Revision(revision), document)


def _head_from_conflict(conflict: errors.Conflict) -> VersionedHead:
    """Returns the current head from a conflict, as a read may be stale."""
    for row in conflict.rows:
        if row.key == HEAD_KEY and row.version != table.ABSENT:
            return VersionedHead(_convert(row.value, Head), row.version)
    return NO_HEAD


def _convert(value, kind):
    try:
        return msgspec.convert(value, kind)
    except msgspec.ValidationError as error:
        raise model_errors.ConfigError(f'malformed row: {error}') from error


def _change_key(revision: int) -> str:
    return f'config/rev/{revision:012d}'


def _snapshot_key(revision: int) -> str:
    return f'config/snapshot/{revision:012d}'
