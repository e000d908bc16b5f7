"""The revision that a configuration folder is based on.

It is stored in the folder, in a file that is not merged, so that an `apply`
does not silently undo changes made since that revision.
"""

import contextlib
import pathlib

from radishcourse_model import ids

FILE_NAME = '.radishcourse-revision'


def read(folder: pathlib.Path) -> ids.Revision | None:
    """Returns the revision stored in a folder, or None without one."""
    try:
        return ids.Revision(int((folder / FILE_NAME).read_text()))
    except (OSError, ValueError):
        return None


def write(folder: pathlib.Path, revision: ids.Revision) -> None:
    """Stores a revision in a folder; does nothing if that is read-only."""
    with contextlib.suppress(OSError):
        (folder / FILE_NAME).write_text(f'{revision}\n')
