"""Streams and environment variables, which tests can replace."""

import dataclasses
import getpass
import os
import sys
import typing

PLATFORM_VARIABLE = 'RADISHCOURSE_PLATFORM'
AUTHOR_VARIABLE = 'RADISHCOURSE_AUTHOR'
DEFAULT_PLATFORM = 'http://127.0.0.1:9000'


@dataclasses.dataclass
class Environment:
    """Streams and defaults of a command.

    Attributes:
      stdout: Stream for results.
      stderr: Stream for errors and faults of a configuration.
      platform: Base URL of the platform.
      author: Who makes changes; shown to operators whose concurrent change
        is refused.
    """

    stdout: typing.TextIO = sys.stdout
    stderr: typing.TextIO = sys.stderr
    platform: str = DEFAULT_PLATFORM
    author: str = ''


def from_process() -> Environment:
    """Returns the process's own environment."""
    return Environment(
        sys.stdout,
        sys.stderr,
        os.environ.get(PLATFORM_VARIABLE, DEFAULT_PLATFORM),
        os.environ.get(AUTHOR_VARIABLE) or getpass.getuser(),
    )
