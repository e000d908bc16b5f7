"""Crashes of upstreams, and the prompts that are quarantined for them."""

import contextlib
import dataclasses

import anyio

from radishcourse_gateway import errors
from radishcourse_gateway import inboundrequest
from radishcourse_gateway import reachability
from radishcourse_gateway import rollouts
from radishcourse_gateway import targets
from radishcourse_gateway import upstreamconnections
from radishcourse_gateway import view as views
from radishcourse_model import ids
from radishcourse_node import events
from radishcourse_policy import crashevidence
from radishcourse_policy import quarantine

# Runs of upstreams that are remembered as ended.
MAX_ENDED = 256
# A node that may try a quarantined prompt tries one in this time.
TRIAL_INTERVAL_S = 30.0
# An upstream whose end is noticed may have ended under an answer that broke off
# or was given up less than this time before: one that is silent for a while
# before it ends, or is back at once, is noticed by its next entry.
BROKEN_TTL_S = 10.0
# Such answers that are kept of one upstream.
MAX_BROKEN = 64
# An upstream at which attempts broke off though it accepts connections is asked
# again after these times: it may be about to end, without a sign.
RECHECK_S = (0.3, 0.7, 1.5)
RECHECK_INTERVAL_S = 0.1
_UINT31 = 0x7FFFFFFF


@dataclasses.dataclass(eq=False)
class Attempt:
    """An attempt at an upstream that has no complete answer.

    Attributes:
      plan: The state of its request.
      answer: Identifies the prompt.
      head_at: When the head of its answer had come, None before.
      progress_at: When the last part of its answer had come, None before.
      broke_at: When it broke off or was given up, None while in progress.
    """

    plan: targets.Plan
    answer: crashevidence.Answer
    head_at: float | None = None
    progress_at: float | None = None
    broke_at: float | None = None

    def break_off(self, now: float) -> None:
        """Records that it ends now without a complete answer."""
        self._note_progress()
        self.broke_at = now

    def _note_progress(self) -> None:
        # The plan goes on to the next attempt.
        self.head_at = self.plan.head_at
        self.progress_at = self.plan.progress_at

    def evidence(self) -> crashevidence.Answer:
        """Returns it as evidence of a crash that is noticed now."""
        if self.broke_at is None:
            self._note_progress()
        stage = crashevidence.Stage.BEGUN
        if self.head_at is None:
            stage = crashevidence.Stage.WAITING
        elif self.progress_at - self.head_at < quarantine.FRESH_S:
            # The upstream may have been silent for a while before it ended.
            stage = crashevidence.Stage.FRESH
        return self.answer._replace(stage=stage, broke_at=self.broke_at)


class Crashes:
    """Notes crashes under answers, and refuses prompts that cause them.

    Args:
      gateway: Provides the view, peers and roll-outs.

    Attributes:
      quarantine: The evidence that this node has.
    """

    def __init__(self, gateway):
        self._clock = gateway.environment.clock
        self._timeouts = gateway.timeouts
        self._view: views.View = gateway.view
        self._peers = gateway.peers
        self._rollouts: rollouts.Rollouts = gateway.rollouts
        self._reachability: reachability.Reachability = gateway.reachability
        self.quarantine = quarantine.Quarantine()
        self._attempts: dict[tuple, list[Attempt]] = {}
        self._checks: dict[tuple, anyio.Event] = {}
        self._ended: dict[tuple, None] = {}
        # When to ask upstreams again whether they have ended, in order.
        self._rechecks: list[tuple[float, views.ListedUpstream]] = []
        self._tried_at: dict[ids.PartId, float] = {}

    def refuse_quarantined(self, plan: targets.Plan) -> None:
        """Refuses a prompt that is quarantined.

        Raises:
          Refusal: Upstreams that answered prompts like this one crashed.
        """
        now = self._clock.now()
        self._log_verdicts(now)
        verdict = self.quarantine.find(now, plan.answer.parts)
        if verdict is None or self._may_try(verdict, now):
            return
        wait_s = max(verdict.trial_at - now, TRIAL_INTERVAL_S)
        raise errors.Refusal(
            errors.Reason.PROMPT_QUARANTINED,
            f'{verdict.crashes} upstreams crashed under prompts with the parts '
            f'{sorted(verdict.parts)}',
            retry_after_s=wait_s,
        )

    def _may_try(self, verdict: quarantine.Verdict, now: float) -> bool:
        """Tells whether a prompt is a trial, which one node may make."""
        part = min(verdict.parts)
        if now < verdict.trial_at or self._peers.responsible_for(str(part)):
            return False
        self._tried_at = {
            known: tried_at
            for known, tried_at in self._tried_at.items()
            if now - tried_at < TRIAL_INTERVAL_S
        }
        if part in self._tried_at:
            return False
        self._tried_at[part] = now
        return True

    def _log_verdicts(self, now: float) -> None:
        for item in self.quarantine.review(now):
            events.log(
                events.Event.PROMPT_QUARANTINED,
                parts=sorted(item.quarantined),
                crashes=[crash.crash_id for crash in item.unresolved],
            )

    @contextlib.contextmanager
    def watch(self, plan: targets.Plan, listed: views.ListedUpstream):
        """Yields the record of an attempt that is in progress."""
        attempt = Attempt(plan, plan.answer)
        if not plan.answer.parts:
            yield attempt
            return
        key = listed.incarnation
        self._attempts.setdefault(key, []).append(attempt)
        try:
            yield attempt
        except anyio.get_cancelled_exc_class():
            # The caller has left, or the deadline has passed.
            if not self._is_leaving(listed):
                attempt.break_off(self._clock.now())
            raise
        finally:
            self._drop_old(key, attempt)

    def _drop_old(self, key: tuple, ended: Attempt) -> None:
        """Drops an attempt unless it broke off, and those that did long ago."""
        now = self._clock.now()
        kept = [
            item
            for item in self._attempts.get(key, ())
            if (item.broke_at is None and item is not ended)
            or (
                item.broke_at is not None and now - item.broke_at < BROKEN_TTL_S
            )
        ]
        if len(kept) > MAX_BROKEN:
            broken = [item for item in kept if item.broke_at is not None]
            surplus = broken[: len(kept) - MAX_BROKEN]
            kept = [item for item in kept if item not in surplus]
        if kept:
            self._attempts[key] = kept
        else:
            self._attempts.pop(key, None)

    def forget(self, present: set[tuple]) -> None:
        """Drops attempts that broke off, at upstreams that are not present."""
        for key in [key for key in self._attempts if key not in present]:
            self._drop_old(key, None)

    def note_completed(self, plan: targets.Plan) -> None:
        """Records that an answer is complete."""
        if not plan.answer.parts:
            return
        now = self._clock.now()
        released = self.quarantine.note_completed(now, plan.answer.parts)
        if released:
            events.log(events.Event.QUARANTINE_ENDED, parts=released)

    async def note_failure(
        self, listed: views.ListedUpstream, attempt: Attempt
    ) -> None:
        """Records a crash if an upstream that failed an attempt has ended.

        One that is leaving ends for another reason than its prompts.
        """
        if not attempt.answer.parts or self._is_leaving(listed):
            return
        now = self._clock.now()
        attempt.break_off(now)
        await self._check_ended(listed)
        if not self.is_known_ended(listed):
            self._schedule_rechecks(listed, now)

    def _schedule_rechecks(
        self, listed: views.ListedUpstream, now: float
    ) -> None:
        key = listed.incarnation
        if all(item.incarnation != key for _, item in self._rechecks):
            self._rechecks += [(now + delay_s, listed) for delay_s in RECHECK_S]
            self._rechecks.sort(key=_due_at)

    async def run(self) -> None:
        """Asks upstreams again whether they have ended, until cancelled."""
        while True:
            await anyio.sleep(RECHECK_INTERVAL_S)
            while self._rechecks and self._rechecks[0][0] < self._clock.now():
                _, listed = self._rechecks.pop(0)
                if not self._is_leaving(listed):
                    await self._check_ended(listed)

    def note_absent(self, listed: views.ListedUpstream) -> None:
        """Records that an upstream seems to be no longer at its address.

        Another run has its id or address. It counts as ended only if answers
        were lost: others left in order, or accept no more connections.
        """
        if self._has_lost_answers(listed):
            self.note_ended(listed)

    async def note_refused(self, listed: views.ListedUpstream) -> None:
        """Records that an upstream refused a connection.

        It counts as ended only if answers were lost.
        """
        if self._has_lost_answers(listed):
            await self._check_ended(listed)

    def _has_lost_answers(self, listed: views.ListedUpstream) -> bool:
        attempts = self._attempts.get(listed.incarnation, ())
        return any(item.broke_at is not None for item in attempts)

    async def _check_ended(self, listed: views.ListedUpstream) -> None:
        """Records whether an upstream's process has ended, by connecting to it.

        One that does not respond at all may be cut off and does not count. Nor
        does one that refuses while this node reaches no other either.
        """
        key = listed.incarnation
        if key in self._ended:
            return
        if key in self._checks:
            await self._checks[key].wait()
            return
        self._checks[key] = checked = anyio.Event()
        try:
            address = listed.upstream.address
            if await upstreamconnections.is_refused(
                address, self._timeouts.fail_after
            ) and await self._reachability.reaches_others(listed):
                self.note_ended(listed)
        finally:
            del self._checks[key]
            checked.set()

    def is_known_ended(self, listed: views.ListedUpstream) -> bool:
        """Tells whether an upstream's process is known to have ended."""
        return listed.incarnation in self._ended

    def note_ended(self, listed: views.ListedUpstream) -> None:
        """Records that an upstream's process has ended."""
        key = listed.incarnation
        if key in self._ended:
            return
        self._ended[key] = None
        if len(self._ended) > MAX_ENDED:
            del self._ended[next(iter(self._ended))]
        now, leaving = self._clock.now(), self._is_leaving(listed)
        # What broke off before the upstream was leaving is evidence still.
        lost = [
            item.evidence()
            for item in reversed(self._attempts.get(key, ()))
            if (item.broke_at is None and not leaving)
            or (
                item.broke_at is not None and now - item.broke_at < BROKEN_TTL_S
            )
        ]
        crash_id = ids.CrashId(crashevidence.digest(*map(str, key)) & _UINT31)
        events.log(
            events.Event.UPSTREAM_CRASHED,
            upstream=listed.upstream.upstream_id,
            crash=crash_id,
            leaving=leaving,
            answers=[answer.parts for answer in lost],
            stages=[answer.stage.value for answer in lost],
        )
        if lost:
            self.quarantine.note_crash(now, crash_id, lost)

    def _is_leaving(self, listed: views.ListedUpstream) -> bool:
        entry = listed.upstream
        if self._rollouts.retires(entry.service, entry.version):
            # The platform stops it without notice.
            return True
        known = self._view.upstreams.get(entry.upstream_id)
        if known is None or known.gone_at is not None:
            return True
        return known.incarnation == listed.incarnation and (
            self._view.is_leaving(listed)
        )

    def merge(self, reports: list[crashevidence.Evidence]) -> None:
        """Adds the evidence that a peer reported."""
        self.quarantine.hold_s = self._peers.spread_s
        self.quarantine.merge(self._clock.now(), reports)


def _due_at(recheck: tuple[float, views.ListedUpstream]) -> float:
    return recheck[0]


def make_answer(
    request: inboundrequest.InboundRequest, service: ids.ServiceId
) -> crashevidence.Answer:
    """Returns what identifies a request's prompt in evidence of crashes."""
    parts = tuple(
        ids.PartId(crashevidence.digest(service, part))
        for part in request.parts.shared
    )
    names = (*request.parts.shared, request.parts.own)
    prompt = crashevidence.digest(service, *names) & _UINT31
    return crashevidence.Answer(parts, prompt)
