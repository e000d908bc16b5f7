"""Dependencies of a process that tests can replace."""

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
