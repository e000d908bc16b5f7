"""Crashes of upstreams, and the prompts that are quarantined for them."""

import contextlib

import anyio

from radishcourse_gateway import errors
from radishcourse_gateway import inboundrequest
from radishcourse_gateway import targets
from radishcourse_gateway import upstreamconnections
from radishcourse_gateway import upstreams
from radishcourse_gateway import view as views
from radishcourse_model import ids
from radishcourse_node import events
from radishcourse_policy import crashevidence
from radishcourse_policy import quarantine

# Runs of upstreams that are remembered as ended.
MAX_ENDED = 256
# A node that may try a quarantined prompt tries one in this time.
TRIAL_INTERVAL_S = 30.0
_UINT31 = 0x7FFFFFFF


class Crashes:
    """Notes crashes under answers that had begun, and refuses prompts.

    Args:
      gateway: Provides the view and peers.

    Attributes:
      quarantine: The evidence that this node has.
    """

    def __init__(self, gateway):
        self._clock = gateway.environment.clock
        self._view: views.View = gateway.view
        self._peers = gateway.peers
        self.quarantine = quarantine.Quarantine()
        self._plans: dict[tuple, dict[int, targets.Plan]] = {}
        self._checks: dict[tuple, anyio.Event] = {}
        self._ended: dict[tuple, None] = {}
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
        """Returns a context in which an attempt is in progress."""
        if not plan.answer.parts:
            yield
            return
        plans = self._plans.setdefault(listed.incarnation, {})
        plans[id(plan)] = plan
        try:
            yield
        finally:
            del plans[id(plan)]
            if not plans:
                self._plans.pop(listed.incarnation, None)

    def note_completed(self, plan: targets.Plan) -> None:
        """Records that an answer is complete."""
        if not plan.answer.parts:
            return
        now = self._clock.now()
        released = self.quarantine.note_completed(now, plan.answer.parts)
        if released:
            events.log(events.Event.QUARANTINE_ENDED, parts=released)

    async def note_failure(self, listed: views.ListedUpstream) -> None:
        """Records a crash if an upstream that failed an attempt has ended.

        One that is leaving ends for another reason than its prompts.
        """
        if listed.incarnation not in self._plans or self._is_leaving(listed):
            return
        await self._check_ended(listed)

    async def _check_ended(self, listed: views.ListedUpstream) -> None:
        """Records whether an upstream's process has ended, by connecting to it.

        One that does not respond at all may be cut off and does not count.
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
            if await upstreamconnections.is_refused(address):
                self.note_ended(listed)
        finally:
            del self._checks[key]
            checked.set()

    def is_known_ended(self, listed: views.ListedUpstream) -> bool:
        """Tells whether an upstream's process is known to have ended."""
        return listed.incarnation in self._ended

    def note_ended(self, listed: views.ListedUpstream) -> None:
        """Records that an upstream's address refuses connections."""
        key = listed.incarnation
        if key in self._ended:
            return
        self._ended[key] = None
        if len(self._ended) > MAX_ENDED:
            del self._ended[next(iter(self._ended))]
        begun = sorted(
            (
                plan
                for plan in self._plans.get(key, {}).values()
                if plan.head_at is not None
            ),
            key=lambda plan: -plan.head_at,
        )
        leaving = self._is_leaving(listed)
        crash_id = ids.CrashId(crashevidence.digest(*map(str, key)) & _UINT31)
        events.log(
            events.Event.UPSTREAM_CRASHED,
            upstream=listed.upstream.upstream_id,
            crash=crash_id,
            leaving=leaving,
            answers=[plan.answer.parts for plan in begun],
        )
        if not leaving:
            now = self._clock.now()
            answers = [
                plan.answer._replace(
                    fresh=now - plan.head_at < quarantine.FRESH_S
                )
                for plan in begun
            ]
            self.quarantine.note_crash(now, crash_id, answers)

    def _is_leaving(self, listed: views.ListedUpstream) -> bool:
        known = self._view.upstreams.get(listed.upstream.upstream_id)
        return (
            known is None
            or known.gone_at is not None
            or known.upstream.state is upstreams.ListedState.DRAINING
        )

    def merge(self, reports: list[crashevidence.Evidence]) -> None:
        """Adds the evidence that a peer reported."""
        self.quarantine.hold_s = self._peers.spread_s
        self.quarantine.merge(self._clock.now(), reports)


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
