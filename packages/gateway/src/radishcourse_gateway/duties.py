"""Performs the duties whose lease this node holds."""

import typing

from radishcourse_model import errors as model_errors
from radishcourse_model import ids
from radishcourse_policy import dutylease

Duty = dutylease.Duty
# Pause between two steps of a duty that this node holds.
STEP_INTERVAL_S = 0.25


class TermEnded(model_errors.RadishcourseError):
    """The node no longer holds the duty, and may not act for it."""

    code = 'term_ended'


class Term:
    """The time for which this node holds a duty without a break.

    Attributes:
      holder: This node, as calls name it.
      token: Fencing token of all calls of this term.
    """

    holder: ids.NodeId
    token: int

    def check(self) -> None:
        """Makes sure that the node may act now.

        Raises:
          TermEnded: It may not.
        """
        raise NotImplementedError

    async def call(self, send: typing.Callable, *arguments) -> None:
        """Makes one call to the second interface within the rate allowed.

        Runs `send(holder, token, *arguments, check=self.check)`, a method of
        `interfaces.ControlApi`, after all waiting.

        Raises:
          TermEnded: The term ended before the call was sent.
          PlatformError: The call failed, or its response was lost. The caller
            tries again in a later step.
        """
        raise NotImplementedError


class Handler(typing.Protocol):
    """Performs one duty; made once for each gateway."""

    async def step(self, term: Term) -> None:
        """Does what is due now; called every STEP_INTERVAL_S of a term.

        `TermEnded` and `PlatformError` may leave it; the latter are logged.
        """


_handlers: dict[Duty, typing.Callable[[typing.Any], Handler]] = {}


def register(duty: Duty):
    """Registers the class that performs a duty; made with the gateway."""

    def add(handler):
        _handlers[duty] = handler
        return handler

    return add
