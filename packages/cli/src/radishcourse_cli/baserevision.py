"""The revision that a configuration folder is based on.

It is kept in the folder, in a file that takes no part in the merge, so
that an `apply` does not silently undo what was changed since.
"""

import contextlib
import pathlib

from radishcourse_model import ids

FILE_NAME = '.radishcourse-revision'


def read(folder: pathlib.Path) -> ids.Revision | None:
    """Returns the revision noted in a folder, or None."""
    try:
        return ids.Revision(int((folder / FILE_NAME).read_text()))
    except (OSError, ValueError):
        return None


def write(folder: pathlib.Path, revision: ids.Revision) -> None:
    """Notes a revision in a folder, if it can be written to."""
    with contextlib.suppress(OSError):
        (folder / FILE_NAME).write_text(f'{revision}\n')
