"""The command `radishcourse-node`."""

import contextlib
import pathlib
import sys

import anyio
import eliot
import fire

from radishcourse_model import errors as model_errors
from radishcourse_node import environment as environments
from radishcourse_node import events
from radishcourse_node import exitstatus
from radishcourse_node import node as nodes
from radishcourse_node import settings as node_settings


def main(
    settings_file: str, environment: environments.Environment | None = None
) -> exitstatus.ExitStatus:
    """Runs a node with the settings in a JSON file.

    Args:
      settings_file: Path of the settings file.
      environment: Streams, clock and random source; those of the process if
        None.
    """
    environment = environment or environments.Environment()
    try:
        settings = node_settings.read(pathlib.Path(settings_file))
        with _logging_to(environment.stderr):
            anyio.run(_serve, environment, settings)
    except model_errors.RadishcourseError as error:
        environment.stderr.write(f'{error.code}: {error}\n')
        return exitstatus.of_error(error)
    return exitstatus.ExitStatus.SUCCESS


async def _serve(environment, settings) -> None:
    async with nodes.open_node(environment, settings) as node:
        await node.serve()


@contextlib.contextmanager
def _logging_to(stream):
    write = events.write_to(stream)
    eliot.add_destinations(write)
    try:
        yield
    finally:
        eliot.remove_destination(write)


def run() -> None:
    """Entry point of the command."""

    def node(settings: str) -> None:
        """Runs a router node.

        Args:
          settings: Path of the JSON file with the node's settings.
        """
        sys.exit(main(settings))

    fire.Fire(node, name='radishcourse-node')
