"""The binary `radishcourse`."""

import sys
import typing

import fire
from fire import core as fire_core
from radishcourse_platform import errors as platform_errors
from radishcourse_platform import revisions

from radishcourse_cli import commands
from radishcourse_cli import environment as environments
from radishcourse_cli import errors
from radishcourse_cli import status


def main(
    arguments: list[str],
    environment: environments.Environment | None = None,
) -> status.ExitStatus:
    """Runs one command and returns its exit code.

    Args:
      arguments: Command line without the program's name.
      environment: Streams and defaults; the process's own when None.
    """
    environment = environment or environments.from_process()
    try:
        fire.Fire(
            commands.Commands(environment),
            command=arguments,
            name='radishcourse',
        )
    except fire_core.FireExit as exit_request:
        return _fire_status(exit_request.code)
    except errors.CommandError as error:
        return _fail(environment, str(error), error.exit_status)
    except revisions.Superseded as error:
        return _fail(environment, str(error), status.ExitStatus.CONFLICT)
    except platform_errors.AnswerLost as error:
        return _fail(environment, str(error), status.ExitStatus.UNKNOWN)
    except platform_errors.PlatformError as error:
        return _fail(environment, str(error), status.ExitStatus.UNAVAILABLE)
    return status.ExitStatus.SUCCESS


def _fire_status(code: typing.Any) -> status.ExitStatus:
    return status.ExitStatus.INVALID if code else status.ExitStatus.SUCCESS


def _fail(environment, message: str, exit_status) -> status.ExitStatus:
    if message:
        environment.stderr.write(f'{message}\n')
    return exit_status


def run() -> None:
    """Entry point of the binary."""
    sys.exit(main(sys.argv[1:]))
