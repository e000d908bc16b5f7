"""Exit codes of the router's processes."""

import enum

from radishcourse_model import errors


class ExitStatus(enum.IntEnum):
    """Exit codes, the same for every command that runs a node or gateway."""

    SUCCESS = 0
    ERROR = 1
    INVALID = 2
    ADDRESS_IN_USE = 3


_BY_CODE = {
    'settings_invalid': ExitStatus.INVALID,
    'address_in_use': ExitStatus.ADDRESS_IN_USE,
}


def of_error(error: errors.RadishcourseError) -> ExitStatus:
    """Returns the exit code of a process that ends with an error."""
    return _BY_CODE.get(error.code, ExitStatus.ERROR)
