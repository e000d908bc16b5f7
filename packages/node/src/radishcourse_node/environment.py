"""What a node process gets from outside, so that tests can replace it."""

import dataclasses
import random as randoms
import sys
import typing

from radishcourse_policy import clock as clocks


@dataclasses.dataclass
class Environment:
    """Streams, clock and random source of a process."""

    stdout: typing.TextIO = sys.stdout
    stderr: typing.TextIO = sys.stderr
    clock: clocks.Clock = dataclasses.field(default_factory=clocks.SystemClock)
    random: randoms.Random = dataclasses.field(
        default_factory=randoms.SystemRandom
    )
