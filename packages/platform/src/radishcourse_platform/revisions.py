"""Configuration revisions in the platform's table and object store.

`config/head` holds the newest revision's number and digest and is only
ever written by compare-and-set together with `config/rev/<n>`, so numbers
have no gaps and one of two racing operators wins.
"""

import msgspec

from radishcourse_model import errors as model_errors
from radishcourse_model import ids
from radishcourse_model import merge
from radishcourse_platform import errors
from radishcourse_platform import objects
from radishcourse_platform import table

HEAD_KEY = 'config/head'
SNAPSHOT_INTERVAL = 64
MAX_RESOLVE_READS = 3


class Head(msgspec.Struct, frozen=True):
    """The newest accepted revision."""

    revision: ids.Revision
    digest: str
    write_id: ids.WriteId
    author: str


class Change(msgspec.Struct, frozen=True):
    """A change: the JSON merge patch from the revision before."""

    revision: ids.Revision
    digest: str
    patch: merge.Document
    author: str
    write_id: ids.WriteId


class Snapshot(msgspec.Struct, frozen=True):
    """A whole document at a revision."""

    revision: ids.Revision
    document: merge.Document

    @property
    def digest(self) -> str:
        """Digest of the document."""
        return merge.digest(self.document)


class VersionedHead(msgspec.Struct, frozen=True):
    """The head as it was at some time during the call.

    Attributes:
      head: The newest revision, or None before the first.
      version: Version of the head's row, to be passed to the next call.
    """

    head: Head | None
    version: int


class LoadedRevision(msgspec.Struct, frozen=True):
    """A document on the way to a revision.

    Attributes:
      snapshot: The document.
      change: The change that led to it; None for a stored snapshot.
    """

    snapshot: Snapshot
    change: Change | None


NO_HEAD = VersionedHead(None, table.ABSENT)
EMPTY_SNAPSHOT = Snapshot(revision=ids.Revision(0), document={})


class RevisionConflict(errors.PlatformError):
    """Another change was accepted first.

    Attributes:
      head: The accepted revision that this change lost to.
    """

    code = 'revision_conflict'

    def __init__(self, head: Head | None):
        number = head.revision if head else 0
        author = head.author if head else 'nobody'
        super().__init__(f'conflict: revision {number} by {author} is in force')
        self.head = head


class Revisions:
    """Reads and writes configuration revisions."""

    def __init__(self, rows: table.Table, store: objects.ObjectStore):
        self._rows = rows
        self._store = store

    async def head(self) -> Head | None:
        """Returns the newest revision, or None before the first.

        Raises:
          Unavailable, ResponseLost: The platform did not answer.
        """
        return (await self.confirm_head(NO_HEAD)).head

    async def change(self, revision: ids.Revision) -> Change | None:
        """Returns the change that made `revision`, or None.

        Raises:
          Unavailable, ResponseLost: The platform did not answer.
        """
        row = await self._rows.read(_change_key(revision))
        return None if row is None else _convert(row.value, Change)

    async def confirm_head(self, last: VersionedHead) -> VersionedHead:
        """Returns the newest revision, as no lagging read can tell it.

        A plain read may return an earlier row. The condition of a
        transaction is checked against the row as it is, so a transaction
        without writes tells whether the head is still the one seen last,
        and its conflict tells what the head is instead.

        Args:
          last: What was observed last.

        Raises:
          Unavailable, ResponseLost: The platform did not answer.
        """
        condition = table.Condition(HEAD_KEY, last.version)
        try:
            await self._rows.transact(table.Transaction(conditions=[condition]))
        except errors.Conflict as conflict:
            return _head_from_conflict(conflict)
        return last

    async def load(self, start: Snapshot, target: Head) -> Snapshot:
        """Returns the document at `target`, starting from a snapshot.

        Raises:
          Unavailable, ResponseLost: The platform did not answer.
          PatchError: A change does not fit, which means that `start` is
            not the document it claims to be.
        """
        loaded = await self.load_revisions(start, target)
        return loaded[-1].snapshot if loaded else start

    async def load_revisions(
        self, start: Snapshot, target: Head
    ) -> list[LoadedRevision]:
        """Returns the documents from `start`, without it, to `target`.

        Starts with the newest stored snapshot when that is ahead of
        `start`; a stored snapshot that does not lead to the digests of the
        changes is left aside.

        Raises:
          Unavailable, ResponseLost: The platform did not answer.
          PatchError: A change does not fit, which means that `start` is
            not the document it claims to be.
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
                    f'revision {next_revision} is not there'
                )
            document = merge.apply_verified(
                current.document, change.patch, change.digest
            )
            current = Snapshot(next_revision, document)
            loaded.append(LoadedRevision(current, change))
        if current.digest != target.digest:
            raise model_errors.PatchError('the document has another digest')
        return loaded

    async def latest(self) -> Snapshot:
        """Returns the newest document; revision 0 is the empty one.

        Raises:
          Unavailable, ResponseLost: The platform did not answer.
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
        """Makes `document` the revision after `base`.

        Args:
          base: The newest revision that the author has seen.
          document: The whole new document.
          author: Who changes it, shown to operators who lose a race.
          write_id: Unique for this call; tells after a lost answer whether
            the write took effect.

        Returns:
          The accepted revision.

        Raises:
          RevisionConflict: Another revision than `base` is the newest one.
          Unavailable: Nothing was written.
          ResponseLost: It could not be found out whether it was written.
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
        # Reads the change's own row: the head may already be a later one.
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
                'the change was not found after its answer was lost;'
                ' it may still take effect, look at status before a repeat'
            )
        if row.value.get('write_id') != head.write_id:
            raise RevisionConflict(await self.head())

    async def _read_snapshot(self, revision: int) -> Snapshot | None:
        body = await self._store.read(_snapshot_key(revision))
        if body is None:
            return None
        document = msgspec.json.decode(body, type=merge.Document)
        return Snapshot(ids.Revision(revision), document)


def _head_from_conflict(conflict: errors.Conflict) -> VersionedHead:
    """Returns the head that a conflict shows; a plain read may lag."""
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
