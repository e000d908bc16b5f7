"""Counts this node's responses of both versions in a roll-out."""

import contextlib
import dataclasses

from radishcourse_gateway import localrollout
from radishcourse_gateway import view as views
from radishcourse_policy import canary
from radishcourse_policy import durations


@dataclasses.dataclass(eq=False)
class Wait:
    """An attempt that waits for the head of its answer.

    Attributes:
      listed: The upstream.
      route: Name of the request's route.
      model: The request's model, or an empty string.
      prefill_s: Expected prefill time of the prompt in seconds.
      sent_at: When it was sent, on this node's clock in seconds.
      counted: Whether it was counted as slow before its head came.
    """

    listed: views.ListedUpstream
    route: str
    model: str
    prefill_s: float
    sent_at: float
    counted: bool = False

    @property
    def kind(self) -> tuple:
        """Identifies the requests whose times are compared."""
        return (self.listed.upstream.service, self.route, self.model)


@dataclasses.dataclass
class _Stream:
    listed: views.ListedUpstream
    route: str
    model: str
    began_at: float
    # Events that followed the first.
    events: int = 0
    counted: bool = False


class ResponseCounts:
    """Adds responses to the tallies of the roll-outs that are in progress.

    Args:
      gateway: Provides the clock.
      rollouts: The roll-outs.
    """

    def __init__(self, gateway, rollouts):
        self._clock = gateway.environment.clock
        self._rollouts = rollouts
        self._durations = durations.Durations()
        self._waits: set[Wait] = set()

    @contextlib.contextmanager
    def wait_head(
        self, listed: views.ListedUpstream, route: str, model: str, prefill_s
    ):
        """Yields the record of an attempt that waits for its head.

        One that is slow is counted as soon as that is known, also if it is
        given up: what takes long is given up more often.

        Args:
          listed: The upstream.
          route: Name of the request's route.
          model: The request's model, or an empty string.
          prefill_s: Expected prefill time of the prompt in seconds.
        """
        wait = Wait(listed, route, model, prefill_s, self._clock.now())
        self._waits.add(wait)
        try:
            yield wait
        except BaseException:
            if wait in self._waits:
                self._count_if_overdue(wait)
            raise
        finally:
            self._waits.discard(wait)

    def count_overdue(self) -> None:
        """Counts the attempts that have waited too long for their head."""
        for wait in self._waits:
            self._count_if_overdue(wait)

    def _count_if_overdue(self, wait: Wait) -> None:
        if wait.counted or not self._is_warm(wait.listed):
            return
        seconds = self._clock.now() - wait.sent_at
        if self._durations.is_overdue(wait.kind, seconds, wait.prefill_s):
            wait.counted = True
            rollout, arm = self._arm(wait.listed.upstream)
            self._count_response(rollout, arm, wait.route, True)

    def note_head(self, wait: Wait) -> None:
        """Records that the head of an answer has come."""
        self._waits.discard(wait)

    def note_response(self, wait: Wait, failed: bool) -> None:
        """Counts a response of the version that an attempt was sent to.

        Args:
          wait: The attempt.
          failed: Whether the response is a failure.
        """
        rollout, arm = self._arm(wait.listed.upstream)
        slow = None
        if not failed and self._is_warm(wait.listed):
            seconds = self._clock.now() - wait.sent_at
            learn = arm is canary.Arm.OLD
            slow = self._durations.record_head_time(
                wait.kind, seconds, wait.prefill_s, learn
            )
        if wait.counted:
            self._count_failure(rollout, arm, wait.route, failed)
            return
        self._count_response(rollout, arm, wait.route, slow, failed)

    @contextlib.contextmanager
    def measure_pace(
        self, listed: views.ListedUpstream, route: str, model: str
    ):
        """Counts a stream once by the time between its events.

        It is counted as soon as its pace is known, also if it is cut then:
        callers give up on slow streams.

        Args:
          listed: The upstream that sends it.
          route: Name of the request's route.
          model: The request's model, or an empty string.

        Yields:
          A function to call with the number of events that followed the first.
        """
        stream = _Stream(listed, route, model, self._clock.now())

        def note_events(events: int) -> None:
            stream.events = events
            self._count_pace(stream)

        try:
            yield note_events
        except BaseException:
            self._count_pace(stream)
            raise
        self._count_pace(stream, is_end=True)

    def _count_pace(self, stream: _Stream, is_end: bool = False) -> None:
        """Counts a stream if its pace is known and it was not counted yet."""
        if stream.counted or not self._is_warm(stream.listed):
            return
        upstream = stream.listed.upstream
        rollout, arm = self._arm(upstream)
        kind, learn = (upstream.service, stream.model), arm is canary.Arm.OLD
        seconds = self._clock.now() - stream.began_at
        if is_end or stream.events >= durations.PACE_EVENTS:
            slow = self._durations.record_pace(
                kind, seconds, stream.events, learn
            )
        else:
            slow = self._durations.record_if_slow(kind, seconds, learn) or None
        if slow is not None:
            stream.counted = True
            route = canary.pace_route(stream.route)
            self._count_response(rollout, arm, route, slow)

    def _is_warm(self, listed: views.ListedUpstream) -> bool:
        return self._clock.now() > listed.cold_until

    def _arm(
        self, entry
    ) -> tuple[localrollout.LocalRollout | None, canary.Arm]:
        """Returns the roll-out and the arm for which an answer counts.

        That of a version which an earlier roll-out has withdrawn counts for
        none, and is no measure of the version in service.
        """
        rollout = self._rollouts.find(entry.service)
        if rollout is None:
            return None, canary.Arm.OLD
        arm = views.arm_of(rollout.order, entry.version)
        if arm is canary.Arm.OLD and not self._rollouts.replaces(
            rollout, entry.version
        ):
            return None, canary.Arm.NEW
        return rollout, arm

    def _count_response(
        self, rollout, arm, route, slow: bool | None, failed=False
    ) -> None:
        if rollout is not None and rollout.state not in (
            localrollout.FINAL_STATES
        ):
            tally = rollout.tallies.setdefault((arm, route), canary.Tally())
            tally.count(slow, failed)

    def _count_failure(self, rollout, arm, route, failed: bool) -> None:
        """Adds a failure of an answer that was counted as slow before."""
        if failed and rollout is not None:
            rollout.tallies.setdefault((arm, route), canary.Tally()).bad += 1
