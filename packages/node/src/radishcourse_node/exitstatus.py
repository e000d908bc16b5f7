"""Exit codes of the router's processes."""

import enum


class ExitStatus(enum.IntEnum):
    """Exit codes, the same for all ways to run a node."""

    SUCCESS = 0
    ERROR = 1
    INVALID = 2
    ADDRESS_IN_USE = 3
