"""Exit codes of the router's processes."""

import enum

from radishcourse_model import errors


class ExitStatus(enum.IntEnum):
    """Exit codes, the same for all ways to run a node."""

    SUCCESS = 0
    ERROR = 1
    INVALID = 2
    ADDRESS_IN_USE = 3


_BY_CODE = {
    'settings_invalid': ExitStatus.INVALID,
    'address_in_use': ExitStatus.ADDRESS_IN_USE,
}


def of_error(error: errors.RadishcourseError) -> ExitStatus:
    """Returns the exit code of a process that an error ended."""
    return _BY_CODE.get(error.code, ExitStatus.ERROR)
