"""Exit codes of the command line."""

import enum


class ExitStatus(enum.IntEnum):
    """Exit codes. Scripts rely on them, so they must not change.

    Attributes:
      SUCCESS: The command succeeded.
      ERROR: An unexpected error; Python's exit code for an exception.
      INVALID: The arguments or the configuration are invalid.
      CONFLICT: Another change was accepted first.
      UNAVAILABLE: The platform could not be reached or refused the call.
      UNKNOWN: No valid response; a change may or may not have taken effect.
    """

    SUCCESS = 0
    ERROR = 1
    INVALID = 2
    CONFLICT = 3
    UNAVAILABLE = 4
    UNKNOWN = 5
