"""Performs the duties whose lease this node holds.

For each duty one task keeps the lease, and another one acts while this node
holds it.
"""

import functools
import typing

import anyio

from radishcourse_gateway import dutyrows
from radishcourse_gateway import leasekeeper
from radishcourse_model import errors as model_errors
from radishcourse_model import ids
from radishcourse_node import serving
from radishcourse_platform import errors as platform_errors
from radishcourse_policy import dutylease
from radishcourse_policy import usagewindows
from radishcourse_wire.gen.peer import ttypes

Duty = dutylease.Duty
# Pause between two steps of a duty that this node holds.
STEP_INTERVAL_S = 0.25
# The time of the epoch less this node's clock is computed anew this often.
BASE_INTERVAL_S = 0.5
# Below gateway.CONNECTION_CLOSE_S, which is left then before SIGKILL.
FINISH_TIMEOUT_S = 0.3


class TermEnded(model_errors.RadishcourseError):
    """The node no longer holds the duty, and may not act for it."""

    code = 'term_ended'


class Term:
    """The time for which this node holds a duty without a break.

    Args:
      keeper: Knows whether this node holds the duty.
      holder: This node.
      token: Fencing token of the term.

    Attributes:
      holder: This node, as calls name it.
      token: Fencing token of all calls of this term.
    """

    def __init__(
        self,
        keeper: leasekeeper.LeaseKeeper,
        holder: ids.NodeId,
        token: int,
    ):
        self._keeper = keeper
        self.holder = holder
        self.token = token

    def check(self) -> None:
        """Makes sure that the node may act now.

        Raises:
          TermEnded: It may not.
        """
        if not self._keeper.may_act(self.token):
            raise TermEnded(f'token {self.token}')

    async def call(self, send: typing.Callable, *arguments) -> None:
        """Makes one call to the second interface within the rate allowed.

        Runs `send(holder, token, *arguments, check=self.check)`, a method of
        `interfaces.ControlApi`, after all waiting.

        Raises:
          TermEnded: The term ended before the call was sent.
          PlatformError: The call failed, or its response was lost. The caller
            tries again in a later step.
        """
        await self._keeper.wait_turn()
        self.check()
        with self._keeper.watch_call():
            await send(self.holder, self.token, *arguments, check=self.check)


class Handler(typing.Protocol):
    """Performs one duty; made once for each gateway."""

    async def step(self, term: Term) -> None:
        """Does what is due now; called every STEP_INTERVAL_S of a term.

        `TermEnded` and `PlatformError` may leave it.
        """


class BackgroundHandler:
    """A handler that also works while this node does not hold the duty."""

    async def run(self) -> None:
        """Runs until cancelled."""

    def note_run(self, request, plan) -> None:
        """Records that an upstream began to run a request.

        Args:
          request: The request.
          plan: Its progress.
        """

    async def finish(self) -> None:
        """Hands over what other nodes need; called before the process ends."""


_handlers: dict[Duty, typing.Callable[[typing.Any], Handler]] = {}


def register(duty: Duty):
    """Registers the class that performs a duty; made with the gateway."""

    def add(handler):
        _handlers[duty] = handler
        return handler

    return add


class Duties:
    """The duties of one node at a time, of which this one may hold some.

    Args:
      gateway: Provides the settings, store, second interface and peers.
    """

    def __init__(self, gateway):
        self._clock = gateway.environment.clock
        self._peers = gateway.peers
        settings = gateway.current_settings.value
        self._node = settings.node
        on = settings.duties if gateway.control_api is not None else ()
        self._keepers = {
            duty: leasekeeper.LeaseKeeper(gateway, duty)
            for duty in Duty
            if duty in on and duty in _handlers
        }
        # By node, its wall time less this node's clock.
        self._wall_bases: dict[str, float] = {}
        self._base: float | None = None
        self._based_at = float('-inf')
        self._handlers = {
            duty: _handlers[duty](gateway) for duty in self._keepers
        }
        self._background = [
            item
            for item in self._handlers.values()
            if isinstance(item, BackgroundHandler)
        ]

    def keeper(self, duty: Duty) -> leasekeeper.LeaseKeeper:
        """Returns the keeper of the lease of a duty."""
        return self._keepers[duty]

    def now(self) -> float:
        """Returns the time by the clock that leases use."""
        return self._clock.now()

    def true_time(self) -> float:
        """Returns the time of the epoch by the median of all nodes' clocks."""
        now = self.now()
        if now - self._based_at >= BASE_INTERVAL_S:
            alive = {peer.node for peer in self._peers.alive}
            self._wall_bases = {
                node: base
                for node, base in self._wall_bases.items()
                if node in alive
            }
            self._based_at = now
            self._base = usagewindows.true_base(
                self._clock.wall() - now, self._wall_bases.values(), self._base
            )
        return now + self._base

    def note_run(self, request, plan) -> None:
        """Records that an upstream began to run a request.

        Args:
          request: The request.
          plan: Its progress.
        """
        for handler in self._background:
            handler.note_run(request, plan)

    def reports(self) -> list[ttypes.DutyLease] | None:
        """Returns what this node tells peers of leases; None if nothing."""
        now = self.now()
        return [
            dutyrows.encode_news(duty, keeper.lease.news, now)
            for duty, keeper in self._keepers.items()
            if keeper.lease.news is not None
        ] or None

    def wall_ms(self) -> int | None:
        """Returns the wall time for replies to peers; None without duties."""
        return int(1000 * self._clock.wall()) if self._keepers else None

    def merge(self, reply: ttypes.SyncReply, asked_at: float) -> None:
        """Takes up what a peer tells.

        Args:
          reply: Its reply.
          asked_at: When it was asked.
        """
        now = self.now()
        for message in reply.duties or ():
            known = dutyrows.decode_news(message, now)
            if known is not None and known[0] in self._keepers:
                self._keepers[known[0]].lease.note_news(known[1])
        if self._keepers and reply.wall_ms and reply.sender:
            base = reply.wall_ms / 1000 - (asked_at + now) / 2
            self._wall_bases[reply.sender.node] = base

    def gauges(self) -> dict[str, float]:
        """Returns metrics: which duties this node holds."""
        return {
            f'radishcourse_duty_{duty.value}_held': int(
                keeper.lease.token is not None
            )
            for duty, keeper in self._keepers.items()
        }

    async def run(self) -> None:
        """Keeps the leases and performs duties until cancelled."""
        async with anyio.create_task_group() as tasks:
            for duty, handler in self._handlers.items():
                for name, task in (
                    ('lease', self._keepers[duty].run),
                    ('duty', functools.partial(self._work, duty, handler)),
                ):
                    name = f'{name} {duty.value}'
                    tasks.start_soon(serving.supervise, name, task)
            for item in self._background:
                tasks.start_soon(serving.supervise, 'duties', item.run)
            await anyio.sleep_forever()

    async def _work(self, duty: Duty, handler: Handler) -> None:
        keeper = self._keepers[duty]
        while True:
            token = keeper.lease.token
            if token is not None and keeper.may_act(token):
                try:
                    await handler.step(Term(keeper, self._node, token))
                except TermEnded:
                    pass
                except platform_errors.PlatformError as error:
                    keeper.log_failure(error)
            await anyio.sleep(STEP_INTERVAL_S)

    async def finish(self) -> None:
        """Releases the leases of this node before its process ends."""
        with anyio.move_on_after(FINISH_TIMEOUT_S, shield=True):
            for handler in self._background:
                await handler.finish()
            for keeper in self._keepers.values():
                if keeper.lease.token is None:
                    continue
                try:
                    await keeper.release()
                except platform_errors.PlatformError as error:
                    keeper.log_failure(error)
                keeper.log_term()
