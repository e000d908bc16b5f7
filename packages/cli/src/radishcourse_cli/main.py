"""Entry point of the command `radishcourse`."""

import inspect
import sys
import typing

import fire
from fire import core as fire_core

from radishcourse_cli import commands
from radishcourse_cli import environment as environments
from radishcourse_cli import errors
from radishcourse_cli import exitstatus
from radishcourse_model import escaping
from radishcourse_platform import errors as platform_errors
from radishcourse_platform import revisions

_HELP = f"""\
radishcourse: configures and watches a fleet of routers

usage: radishcourse COMMAND [ARGUMENTS]

{{commands}}
radishcourse COMMAND --help describes a command. For example:

  radishcourse check config/
  radishcourse apply config/
  radishcourse zone out sofia-a
  radishcourse status --json

{environments.PLATFORM_VARIABLE} is the platform's base URL, default
{environments.DEFAULT_PLATFORM}; {environments.AUTHOR_VARIABLE} is shown to
operators whose concurrent change is refused.
"""


def main(
    arguments: list[str],
    environment: environments.Environment | None = None,
) -> exitstatus.ExitStatus:
    """Runs one command and returns its exit code.

    Args:
      arguments: Command line without the program's name.
      environment: Streams and defaults; None for those of the process.
    """
    environment = environment or environments.from_process()
    if not arguments or arguments[0] in ('--help', '-h', 'help'):
        environment.stdout.write(_help())
        return exitstatus.ExitStatus.SUCCESS
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
    except revisions.RevisionConflict as error:
        text = escaping.escape(str(error))
        message = f'{text}; see `radishcourse diff`, then use --base'
        return _fail(environment, message, exitstatus.ExitStatus.CONFLICT)
    except platform_errors.ResponseLost as error:
        text = escaping.escape(str(error))
        return _fail(environment, text, exitstatus.ExitStatus.UNKNOWN)
    except platform_errors.PlatformError as error:
        text = escaping.escape(str(error))
        return _fail(environment, text, exitstatus.ExitStatus.UNAVAILABLE)
    return exitstatus.ExitStatus.SUCCESS


def _help() -> str:
    names = [
        name
        for name, member in inspect.getmembers(commands.Commands)
        if inspect.isfunction(member) and not name.startswith('_')
    ]
    width = max(map(len, names))
    lines = []
    for name in names:
        text = inspect.getdoc(getattr(commands.Commands, name))
        lines.append(f'  {name.ljust(width)}  {text.splitlines()[0]}\n')
    return _HELP.format(commands=''.join(lines))


def _fire_status(code: typing.Any) -> exitstatus.ExitStatus:
    return (
        exitstatus.ExitStatus.INVALID if code else exitstatus.ExitStatus.SUCCESS
    )


def _fail(environment, message: str, exit_status) -> exitstatus.ExitStatus:
    if message:
        environment.stderr.write(f'{message}\n')
    return exit_status


def run() -> None:
    """Runs the process's command line and exits."""
    sys.exit(main(sys.argv[1:]))
