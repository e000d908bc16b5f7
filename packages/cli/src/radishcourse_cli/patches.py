"""JSON merge patches by which commands change the configuration."""

import json
import pathlib
import typing

from radishcourse_cli import baserevision
from radishcourse_cli import errors
from radishcourse_cli import exitstatus
from radishcourse_model import check as checks
from radishcourse_model import ids
from radishcourse_model import merge
from radishcourse_model import states

PATCH_FILE = '99-operations.json'


def parse_state(kind: type, text: str) -> str:
    """Returns the name of a state after checking it.

    Args:
      kind: The enum of states.
      text: What the operator wrote.

    Raises:
      CommandError: No state of this enum has the name.
    """
    allowed = [item.value for item in kind]
    if text not in allowed:
        raise errors.CommandError(
            f'{text!r} is not known, allowed are {", ".join(allowed)}',
            exitstatus.ExitStatus.INVALID,
        )
    return text


def find_parent(
    document: merge.Document, path, shown_path
) -> dict[str, typing.Any]:
    """Returns the object that contains the last key of a path.

    Args:
      document: The document to search.
      path: Keys from the root.
      shown_path: Path to name in the error message.

    Raises:
      CommandError: The path does not exist.
    """
    value: typing.Any = document
    for part in path[:-1]:
        value = value.get(part, {})
    if path[-1] not in value:
        raise errors.CommandError(
            f'{".".join(shown_path)} has no {path[-1]!r},'
            f' allowed are {", ".join(value) or "none"}',
            exitstatus.ExitStatus.INVALID,
        )
    return value


def patch_version_state(versions, name: str, state: str) -> merge.Document:
    """Returns a patch that sets a version's state.

    It also sets shares, so that those of the active versions sum to 100.

    Args:
      versions: The model's versions in the newest document.
      name: The version to change.
      state: Its new state.
    """
    active = states.VersionState.ACTIVE.value
    others = {
        other: item.get('share', 0)
        for other, item in versions.items()
        if other != name and item.get('state', active) == active
    }
    patch: merge.Document = {name: {'state': state}}
    if state == active:
        share = 100 - sum(others.values())
        patch[name]['share'] = share
        return patch
    if not others:
        return patch
    patch[name]['share'] = 0
    for other, share in _scale_to_100(others).items():
        patch[other] = {'share': share}
    return patch


def _scale_to_100(shares: dict[str, int]) -> dict[str, int]:
    """Returns shares in the same proportion that sum to 100.

    The largest share takes what is lost by rounding down.
    """
    total = sum(shares.values())
    if total == 0:
        shares, total = dict.fromkeys(shares, 1), len(shares)
    scaled = {name: share * 100 // total for name, share in shares.items()}
    largest = max(shares, key=shares.get)
    scaled[largest] += 100 - sum(scaled.values())
    return scaled


def nest(path, value) -> merge.Document:
    """Returns a document that contains only a value at a path."""
    for part in reversed(path):
        value = {part: value}
    return value


def require_valid(document: merge.Document) -> None:
    """Checks a document before a command puts it in force.

    Raises:
      CommandError: The document has faults.
    """
    faults = checks.check_document(document)
    if faults:
        lines = '\n'.join(
            f'{item.code.value} {item.message}' for item in faults
        )
        raise errors.CommandError(lines, exitstatus.ExitStatus.INVALID)


def save(folder: pathlib.Path, patch, revision: ids.Revision) -> None:
    """Adds a patch to the file of a folder that is merged last.

    Args:
      folder: The configuration folder.
      patch: The change that made the revision.
      revision: Stored as the folder's base revision.
    """
    path = folder / PATCH_FILE
    saved = json.loads(path.read_text()) if path.exists() else {}
    merged = merge.merge(saved, patch)
    path.write_text(json.dumps(merged, indent=2) + '\n')
    baserevision.write(folder, revision)
