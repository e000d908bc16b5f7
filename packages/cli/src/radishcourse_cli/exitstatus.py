"""Exit codes of the command line."""

import enum


class ExitStatus(enum.IntEnum):
    """Exit codes; they stay stable."""

    SUCCESS = 0
    ERROR = 1
    INVALID = 2
    CONFLICT = 3
    UNAVAILABLE = 4
    UNKNOWN = 5
