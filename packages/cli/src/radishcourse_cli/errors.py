"""Errors of the command line."""

from radishcourse_cli import exitstatus
from radishcourse_model import errors


class CommandError(errors.RadishcourseError):
    """A command failed.

    Attributes:
      exit_status: Exit code of the process.
    """

    code = 'command'

    def __init__(self, message: str, exit_status: exitstatus.ExitStatus):
        super().__init__(message)
        self.exit_status = exit_status
