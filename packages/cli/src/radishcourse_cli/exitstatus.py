"""Exit codes of the command line."""

import enum


class ExitStatus(enum.IntEnum):
    """Exit codes. Scripts rely on them, so they must not change."""

    SUCCESS = 0
    ERROR = 1
    INVALID = 2
    CONFLICT = 3
    UNAVAILABLE = 4
    UNKNOWN = 5
