"""The operators' commands."""

import pathlib
import uuid

import anyio
from radishcourse_model import check as checks
from radishcourse_model import ids
from radishcourse_platform import http
from radishcourse_platform import objects
from radishcourse_platform import revisions
from radishcourse_platform import table

from radishcourse_cli import environment as environments
from radishcourse_cli import errors
from radishcourse_cli import status


class Commands:
    """Configures and watches radishcourse."""

    def __init__(self, environment: environments.Environment):
        self._environment = environment

    def check(self, folder: str) -> None:
        """Checks a configuration folder; needs no platform.

        Args:
          folder: Folder of JSON files, merged in the order of their names.
        """
        self._checked(folder)

    def apply(self, folder: str) -> None:
        """Puts a configuration folder in force and prints its revision.

        Args:
          folder: Folder of JSON files, merged in the order of their names.
        """
        checked = self._checked(folder)
        head = anyio.run(self._propose, checked.document)
        self._environment.stdout.write(f'{head.revision}\n')

    async def _propose(self, document) -> revisions.Head:
        async with http.open_http(self._environment.platform) as client:
            source = revisions.Revisions(
                table.Table(client), objects.Objects(client)
            )
            base = await source.latest()
            return await source.propose(
                base,
                document,
                self._environment.author,
                ids.WriteId(uuid.uuid4().hex),
            )

    def _checked(self, folder: str) -> checks.Checked:
        checked = checks.check(pathlib.Path(folder))
        for fault in checked.faults:
            self._environment.stderr.write(f'{fault}\n')
        if checked.faults:
            raise errors.CommandError('', status.ExitStatus.INVALID)
        return checked
