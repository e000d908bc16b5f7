"""The operators' commands.

The first line of each docstring is printed for the command by `--help`.
"""

import pathlib
import time

import anyio
from fire import decorators
import msgspec

from radishcourse_cli import baserevision
from radishcourse_cli import bills as bill_sums
from radishcourse_cli import differences
from radishcourse_cli import environment as environments
from radishcourse_cli import errors
from radishcourse_cli import exitstatus
from radishcourse_cli import fleet
from radishcourse_cli import latency as latencies
from radishcourse_cli import patches
from radishcourse_cli import platform as platforms
from radishcourse_cli import tables
from radishcourse_model import check as checks
from radishcourse_model import ids
from radishcourse_model import merge
from radishcourse_model import states
from radishcourse_platform import vms

# Fire parses arguments as Python values, so version 1.10 would become 1.1.
_as_text = decorators.SetParseFns(
    folder=str,
    nodes=str,
    state=str,
    zone=str,
    model=str,
    version=str,
    rollout=str,
    organisation=str,
)


class Commands:
    """Configures and watches radishcourse."""

    def __init__(self, environment: environments.Environment):
        self._environment = environment

    @_as_text
    def check(self, folder: str) -> None:
        """Check a configuration folder; needs no platform.

        Args:
          folder: Folder of JSON files, merged in the order of their names.
        """
        self._check_folder(folder)

    @_as_text
    def apply(self, folder: str, base: int | None = None) -> None:
        """Put a configuration folder in force and print its revision.

        Fails if the newest revision is not the one that the folder is based
        on, so that no one else's change is overwritten.

        Args:
          folder: Folder of JSON files, merged in the order of their names.
          base: Revision that the folder is based on. Default: the one stored
            in the folder by the last command that wrote to it, else the
            newest one.
        """
        document = self._check_folder(folder).document
        path = pathlib.Path(folder)
        known = baserevision.read(path) if base is None else ids.Revision(base)
        revision = anyio.run(
            platforms.commit_change,
            self._environment,
            lambda _: document,
            known,
        )
        baserevision.write(path, revision)
        self._print(f'{revision}')

    @_as_text
    def diff(self, folder: str) -> None:
        """Show what an apply of a folder would change.

        Args:
          folder: Folder of JSON files, merged in the order of their names.
        """
        document = self._check_folder(folder).document
        latest = anyio.run(platforms.read_latest, self._environment)
        for difference in differences.compare(latest.document, document):
            self._print(str(difference))

    def show(self) -> None:
        """Show the configuration in force, without its secrets."""
        latest = anyio.run(platforms.read_latest, self._environment)
        document = differences.hide_secrets(latest.document)
        encoded = msgspec.json.encode(document, order='sorted')
        self._print(msgspec.json.format(encoded).decode())

    def history(self, last: int = 20) -> None:
        """List the last revisions with their authors.

        Args:
          last: Number of revisions.
        """
        rows = anyio.run(self._read_history, last)
        self._write(tables.render(('REVISION', 'AUTHOR', 'CHANGES'), rows))

    @_as_text
    def status(self, nodes: str = '', json: bool = False) -> None:
        """Show each node's revision, the zones, versions and upstreams.

        Args:
          nodes: Nodes' addresses for callers, comma-separated. Default: the
            platform's list of VMs.
          json: Print JSON instead of tables.
        """
        found = anyio.run(self._fetch_fleet, nodes)
        if json:
            self._print(msgspec.json.encode(found).decode())
        else:
            self._write(fleet.render(found))

    @_as_text
    def latency(self, nodes: str = '') -> None:
        """Show latencies by organisation and kind, merged over all nodes.

        Args:
          nodes: Nodes' addresses for callers, comma-separated. Default: the
            platform's list of VMs.
        """
        merged = anyio.run(self._fetch_latency, nodes)
        rows = latencies.list_rows(merged)
        self._write(tables.render(latencies.HEADER, rows))

    @_as_text
    def zone(self, state: str, zone: str, folder: str = '') -> None:
        """Take an availability zone out, or in again: `zone out sofia-a`.

        Args:
          state: `out` or `in`.
          zone: The zone.
          folder: Configuration folder to write the change to as well. Default:
            none, so that it must be added there by hand.
        """
        value = patches.parse_state(states.ZoneState, state)
        self._apply_patch(folder, ('zones', zone), {'state': value})

    @_as_text
    def version(
        self, state: str, model: str, version: str, folder: str = ''
    ) -> None:
        """Set a version's state: `version withdrawn small v2`.

        A version made inactive leaves its share to the model's other active
        versions in proportion; one made active gets the rest up to 100.

        Args:
          state: `active`, `canary` or `withdrawn`.
          model: The model.
          version: The version.
          folder: Configuration folder to write the change to as well. Default:
            none, so that it must be added there by hand.
        """
        value = patches.parse_state(states.VersionState, state)
        path = ('models', model, 'versions')

        def make(document: merge.Document) -> merge.Document:
            versions = patches.find_parent(document, (*path, version), path)
            return patches.nest(
                path, patches.patch_version_state(versions, version, value)
            )

        self._apply_patch(folder, (*path, version), make)

    @_as_text
    def rollout(self, state: str, rollout: str, folder: str = '') -> None:
        """Run, pause or stop a roll-out: `rollout paused small-v2`.

        Args:
          state: `running`, `paused` or `stopped`.
          rollout: The roll-out.
          folder: Configuration folder to write the change to as well. Default:
            none, so that it must be added there by hand.
        """
        value = patches.parse_state(states.RolloutState, state)
        self._apply_patch(folder, ('rollouts', rollout), {'state': value})

    @_as_text
    def bills(
        self, organisation: str = '', hours: float = 0, json: bool = False
    ) -> None:
        """Add up jobs and cost by organisation, kind and model.

        Args:
          organisation: Count only this organisation's bills. Default: all.
          hours: Count only bills of this many last hours. Default: all.
          json: Print JSON instead of a table.
        """
        since = time.time() - hours * 3600 if hours else 0.0
        totals = anyio.run(self._sum_bills, organisation or None, since)
        if json:
            self._print(msgspec.json.encode(totals).decode())
            return
        header = ('ORGANISATION', 'KIND', 'MODEL', 'JOBS', 'COST')
        rows = (
            (
                total.organisation,
                total.kind,
                total.model,
                total.jobs,
                total.cost,
            )
            for total in totals
        )
        self._write(tables.render(header, rows))

    def _check_folder(self, folder: str) -> checks.CheckResult:
        checked = checks.check(pathlib.Path(folder))
        for fault in checked.faults:
            self._environment.stderr.write(f'{fault}\n')
        if checked.faults:
            raise errors.CommandError('', exitstatus.ExitStatus.INVALID)
        return checked

    def _apply_patch(self, folder: str, path, patch) -> None:
        """Patches the newest revision at a path that must exist.

        Args:
          folder: Folder to write the patch to as well, or empty.
          path: Keys from the document's root.
          patch: Value to merge at the path, or a function that returns the
            whole patch for the newest document.
        """
        applied: merge.Document = {}

        def make(document: merge.Document) -> merge.Document:
            patches.find_parent(document, path, path[:1])
            whole_patch = (
                patch(document)
                if callable(patch)
                else patches.nest(path, patch)
            )
            applied.update(whole_patch)
            changed = merge.merge(document, whole_patch)
            patches.require_valid(changed)
            return changed

        revision = anyio.run(platforms.commit_change, self._environment, make)
        if folder:
            patches.save(pathlib.Path(folder), applied, revision)
        self._print(f'{revision}')

    async def _read_history(self, last: int):
        async with platforms.open_platform(self._environment) as platform:
            head = await platform.revisions.head()
            newest = head.revision if head else 0
            found = []
            for number in range(max(1, newest - last + 1), newest + 1):
                change = await platform.revisions.change(ids.Revision(number))
                if change is not None:
                    keys = ', '.join(change.patch)
                    found.append((number, change.author, keys))
            return found

    async def _fetch_fleet(self, nodes: str) -> fleet.Fleet:
        async with platforms.open_platform(self._environment) as platform:
            latest = await platform.revisions.latest()
            addresses = await _find_nodes(platform, nodes)
        return fleet.summarise(latest, await fleet.fetch_nodes(addresses))

    async def _fetch_latency(self, nodes: str):
        async with platforms.open_platform(self._environment) as platform:
            addresses = await _find_nodes(platform, nodes)
        return await latencies.fetch_merged(list(addresses.values()))

    async def _sum_bills(
        self, organisation, since
    ) -> list[bill_sums.BillTotal]:
        async with platforms.open_platform(self._environment) as platform:
            return await bill_sums.sum_bills(platform.rows, organisation, since)

    def _print(self, line: str) -> None:
        self._write(f'{line}\n')

    def _write(self, text: str) -> None:
        self._environment.stdout.write(text)


async def _find_nodes(platform: platforms.Platform, given: str):
    """Returns nodes' addresses for callers, by name."""
    if given:
        return {address: address for address in given.split(',')}
    return {
        vm.vm: vm.http
        for vm in await platform.vms.read()
        if vm.role is vms.VmRole.ENTRY and vm.http
    }
