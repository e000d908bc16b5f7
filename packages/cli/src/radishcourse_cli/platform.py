"""Reads and changes of the configuration on the platform."""

import contextlib
import dataclasses
import typing
import uuid

from radishcourse_cli import environment as environments
from radishcourse_model import ids
from radishcourse_model import merge
from radishcourse_platform import http
from radishcourse_platform import objects
from radishcourse_platform import revisions
from radishcourse_platform import table
from radishcourse_platform import vms

EditDocument = typing.Callable[[merge.Document], merge.Document]


@dataclasses.dataclass(frozen=True)
class Platform:
    """Clients of the platform's services."""

    rows: table.Table
    revisions: revisions.Revisions
    vms: vms.VmList


@contextlib.asynccontextmanager
async def open_platform(environment: environments.Environment):
    """Yields clients of the platform and closes them on exit."""
    async with http.open_client(environment.platform) as client:
        rows = table.Table(client)
        source = revisions.Revisions(rows, objects.ObjectStore(client))
        yield Platform(rows, source, vms.VmList(client))


async def read_latest(
    environment: environments.Environment,
) -> revisions.Snapshot:
    """Returns the document of the newest revision.

    Raises:
      PlatformError: The platform did not respond.
    """
    async with open_platform(environment) as platform:
        return await platform.revisions.latest()


async def commit_change(
    environment: environments.Environment,
    edit: EditDocument,
    base: ids.Revision | None = None,
) -> ids.Revision:
    """Commits a change to the newest revision and returns its number.

    Args:
      environment: Streams and defaults of the command.
      edit: Returns the new document, given the newest one.
      base: The revision that the change is based on; None for the newest.

    Returns:
      The accepted revision, or the newest one when nothing changes.

    Raises:
      RevisionConflict: The newest revision is not the base.
      PlatformError: The platform did not respond.
    """
    async with open_platform(environment) as platform:
        latest = await platform.revisions.latest()
        if base is not None and base != latest.revision:
            raise revisions.RevisionConflict(await platform.revisions.head())
        document = edit(latest.document)
        if merge.digest(document) == latest.digest:
            return latest.revision
        head = await platform.revisions.propose(
            latest,
            document,
            environment.author,
            ids.WriteId(uuid.uuid4().hex),
        )
        return head.revision
