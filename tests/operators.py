"""Runs the operators' command line in the test's process."""

import io

from radishcourse_cli import environment as environments
from radishcourse_cli import main as cli


def run(arguments: list[str], platform=None, author: str = 'tester'):
    """Runs a command; returns its exit status and all its output."""
    stream = io.StringIO()
    url = platform.url if platform else ''
    environment = environments.Environment(stream, stream, url, author)
    status = cli.main(arguments, environment)
    return status, stream.getvalue()
