"""Forwards requests: attempts, retries, larger models, resumed streams."""

import enum

from radishcourse_gateway import admissions
from radishcourse_gateway import announcements
from radishcourse_gateway import attemptlog
from radishcourse_gateway import attempttimeout
from radishcourse_gateway import crashes
from radishcourse_gateway import directory as directories
from radishcourse_gateway import duties
from radishcourse_gateway import errors
from radishcourse_gateway import escalations
from radishcourse_gateway import eventstream
from radishcourse_gateway import inboundrequest
from radishcourse_gateway import peers
from radishcourse_gateway import reachability
from radishcourse_gateway import responses
from radishcourse_gateway import retiredversions
from radishcourse_gateway import retrybudgets
from radishcourse_gateway import singleruns
from radishcourse_gateway import targets
from radishcourse_gateway import upstreamconnections
from radishcourse_gateway import verifier
from radishcourse_model import ids
from radishcourse_policy import answers

# Mean delay after which a caller should retry while no upstream is reached.
UNREACHABLE_RETRY_S = 0.5


class NextStep(enum.Enum):
    """Whether an attempt completed the request or another one follows."""

    DONE = 'done'
    AGAIN = 'again'


class _AttemptFailed(Exception):
    """An attempt failed.

    Attributes:
      not_run: Whether the request is known not to have run.
      response: The upstream's error response, None if it sent none.
    """

    def __init__(
        self,
        reason,
        not_run=False,
        response: responses.BufferedResponse | None = None,
    ):
        super().__init__(reason)
        self.not_run = not_run
        self.response = response


class Forwarder:
    """Forwards requests to upstreams.

    Args:
      gateway: The gateway, for its controllers.
    """

    def __init__(self, gateway):
        self._gateway = gateway
        self._clock = gateway.environment.clock
        self._header_names = gateway.header_names
        self._load = gateway.load
        self._rollouts = gateway.rollouts
        self._limits = gateway.limits
        self._brittle = gateway.brittle
        self._duties: duties.Duties = gateway.duties
        self._announcements = announcements.Announcements(gateway)
        self._retired_versions = retiredversions.RetiredVersions(gateway)
        self._random = gateway.environment.random
        self._reachability: reachability.Reachability = gateway.reachability
        self._crashes: crashes.Crashes = gateway.crashes
        self._peers: peers.Peers = gateway.peers
        self._targets = gateway.targets
        self._verifier: verifier.Verifier = gateway.verifier
        self._pool: upstreamconnections.Pool = gateway.pool
        self._retry_budgets: retrybudgets.RetryBudgets = gateway.retry_budgets
        self._attempt_timeout = attempttimeout.AttemptTimeout(
            gateway, self._retry_budgets
        )
        self._admissions = admissions.Admissions(
            gateway, self._retry_budgets, self._attempt_timeout
        )
        self._escalations = escalations.Escalations(
            gateway,
            self._retry_budgets,
            self._attempt_timeout,
            self._admissions,
        )
        self._single_runs = singleruns.SingleRuns(gateway, self._admissions)

    async def forward(
        self, request: inboundrequest.InboundRequest, out
    ) -> targets.Plan:
        """Sends a request to upstreams until one of them responds.

        Args:
          request: The request.
          out: Writes the response to the caller.

        Returns:
          The state of the request after its last attempt.

        Raises:
          Refusal: The gateway has to respond itself.
          ResponseInterrupted: The response began and can't be completed.
        """
        plan = targets.Plan()
        out.plan = plan
        plan.service = self._targets.choose_service(request)
        plan.model = self._single_runs.first_model(request, plan)
        plan.answer = crashes.make_answer(request, plan.service)
        await self._refuse_quarantined(plan)
        self._admissions.admit(request, plan)
        await self._rollouts.sessions.note(plan.service, request.session)
        last_failure: _AttemptFailed | None = None
        counted = False
        while True:
            try:
                if last_failure is not None:
                    await self._refuse_quarantined(plan)
                listed = self._targets.choose(request, plan)
            except errors.Refusal as refusal:
                # Also a request of which no attempt failed may have run: its
                # answer may have been dropped for one of a larger model.
                failure = last_failure or _AttemptFailed(str(refusal), True)
                return await self._give_up(request, plan, out, failure, refusal)
            if not counted:
                self._retry_budgets.note_request(plan.service)
                counted = True
            try:
                step = await self._attempt(request, plan, listed, out)
            except _AttemptFailed as failure:
                last_failure = failure
                plan.tried.add(listed.incarnation)
                if not await self._may_retry(request, plan, failure):
                    return await self._give_up(request, plan, out, failure)
                continue
            if step is NextStep.DONE:
                seconds = self._clock.now() - plan.head_at
                self._admissions.note_done(request, plan, seconds)
                return plan

    async def _refuse_quarantined(self, plan: targets.Plan) -> None:
        """Refuses a prompt that crashes upstreams by what all nodes know.

        Raises:
          Refusal: It is quarantined.
        """
        if plan.answer.parts:
            await self._peers.catch_up()
        self._crashes.refuse_quarantined(plan)

    async def _may_retry(self, request, plan, failure) -> bool:
        now = self._clock.now()
        if now >= request.deadline:
            return False
        if not plan.may_send(request.route):
            return False
        if self._is_cut_off(plan):
            return False
        if not plan.attempts:
            # No connection could be opened, so nothing was sent and the next
            # attempt is not a retry that the budget has to pay for.
            return len(plan.tried) < 2 * max(2, request.route.max_attempts)
        counted = plan.attempts - plan.excused_attempts
        if counted >= request.route.max_attempts:
            return False
        if failure.not_run and not self._admissions.has_time(request, plan):
            return False
        paid, plan.retry_paid = plan.retry_paid, False
        return paid or await self._retry_budgets.wait_and_spend(
            plan.service, self._attempt_timeout.token_wait_s(request, plan)
        )

    def _is_cut_off(self, plan) -> bool:
        """Whether nothing was sent and this node reaches no upstream."""
        return not plan.attempts and self._reachability.is_unreachable(
            plan.service
        )

    async def _give_up(
        self, request, plan, out, failure: _AttemptFailed, refusal=None
    ) -> targets.Plan:
        """Responds after the last attempt failed.

        Forwards the upstream's error response if there is one.

        Raises:
          Refusal: There is no response to forward.
          ResponseInterrupted: The caller already has a part of a response.
        """
        if plan.begun:
            raise errors.ResponseInterrupted(str(failure))
        response = failure.response
        if response is not None and not failure.not_run:
            await responses.send_buffered(request, plan, response, out)
            return plan
        if self._is_cut_off(plan):
            raise self.refuse_unreachable(plan.service)
        if not plan.may_have_run:
            raise refusal or self._admissions.refuse_full(
                request, plan, failure
            )
        raise errors.Refusal(errors.Reason.UPSTREAM_FAILED, str(failure))

    def refuse_unreachable(self, service: ids.ServiceId) -> errors.Refusal:
        """Returns the refusal of a request while a service is unreachable."""
        return errors.Refusal(
            errors.Reason.UPSTREAMS_UNREACHABLE,
            f'this node reaches no upstream of {service}',
            UNREACHABLE_RETRY_S * (0.5 + self._random.random()),
        )

    async def _attempt(
        self,
        request: inboundrequest.InboundRequest,
        plan: targets.Plan,
        listed,
        out,
    ) -> NextStep:
        entry = listed.upstream
        prefill_s = self._targets.prefill_s(request, plan)
        started_at = self._clock.now()
        plan.head_at = plan.progress_at = None
        plan.refused = False
        plan.arrival = upstreamconnections.Arrival()
        attemptlog.log_start(request, plan, listed, started_at)
        with (
            self._load.count(entry.upstream_id, prefill_s) as finish_prefill,
            self._admissions.watch(plan),
            self._rollouts.work.count(request.route, plan, entry),
            self._rollouts.counts.wait_head(
                listed, request.route.name, plan.model or '', prefill_s
            ) as wait,
            self._crashes.watch(plan, listed) as watched,
        ):
            try:
                async with self._pool.open(
                    listed.incarnation, entry.address, request.route.retryable
                ) as connection:
                    if connection.unused:
                        self._reachability.note_connected(entry.service)
                    may_have_run_before = plan.may_have_run
                    plan.begin_attempt(request.route)
                    try:
                        head = await self._receive_head(
                            request, plan, listed, connection
                        )
                        finish_prefill()
                        plan.head_at = plan.progress_at = self._clock.now()
                        return await self._handle_head(
                            request, plan, listed, connection, head, wait, out
                        )
                    except _AttemptFailed as failure:
                        if failure.not_run:
                            plan.may_have_run = may_have_run_before
                        raise
            except errors.UpstreamError as error:
                if not error.sent:
                    self._reachability.note_failed(listed)
                self._load.note_broken(entry.upstream_id, str(error))
                attemptlog.log_failure(
                    request, plan, listed, self._clock.now(), str(error)
                )
                if error.sent:
                    await self._retired_versions.note_failure(
                        request, plan, listed
                    )
                    await self._crashes.note_failure(listed, watched)
                elif isinstance(error, upstreamconnections.ConnectionRefused):
                    await self._crashes.note_refused(listed)
                raise _AttemptFailed(
                    str(error), not_run=not error.sent
                ) from error

    async def _handle_head(
        self, request, plan, listed, connection, head, wait, out
    ) -> NextStep:
        seconds = plan.head_at - wait.sent_at
        self._rollouts.counts.note_head(wait)
        state = self._verifier.judge_head(request, plan, connection, head)
        if state is answers.State.FOREIGN:
            raise errors.UpstreamError('answer to another request', True)
        not_run = state is answers.State.NOT_RUN
        if not not_run:
            self._duties.note_run(request, plan)
        if head.status != answers.MISDIRECTED_REQUEST:
            self._announcements.note_answer(listed, head)
            self._limits.note_answer(listed, head, wait.sent_at)
            self._brittle.note_answer(listed, head, wait.sent_at, not_run)
        if not not_run and head.get(self._header_names.stamp) is not None:
            self._rollouts.counts.note_response(
                wait, state is not answers.State.ARRIVING
            )
        if state is answers.State.UNUSABLE:
            raise errors.UpstreamError(
                f'unusable answer with status {head.status}', True
            )
        if state is not answers.State.ARRIVING:
            await self._raise_failure(
                request, plan, listed, connection, head, not_run
            )
        self._load.note_response(listed.upstream.upstream_id, failed=False)
        self._targets.note_head(request, plan, listed, seconds)
        self._admissions.note_head(request, plan)
        if self._escalations.escalate(request, plan, head):
            return NextStep.AGAIN
        self._single_runs.note_head(request, plan)
        if _is_stream(request, head):
            await self._forward_stream(
                request, plan, listed, connection, head, out
            )
        else:
            await self._forward_body(
                request, plan, listed, connection, head, out
            )
        if plan.arrival.framing is not answers.Framing.CLOSE:
            self._crashes.note_completed(plan)
        return NextStep.DONE

    def _request_headers(self, request, plan, listed) -> inboundrequest.Headers:
        header_names = self._header_names
        remaining_ms = max(
            1, int(1000 * (request.deadline - self._clock.now()))
        )
        entry = listed.upstream
        own = [
            (header_names.time_budget_ms, b'%d' % remaining_ms),
            (header_names.expected_upstream, entry.upstream_id.encode()),
            (header_names.priority, b'%d' % max(0, min(9, request.priority))),
        ]
        if request.organisation is not None:
            own.append(
                (header_names.organisation, request.organisation.name.encode())
            )
        if plan.model is not None:
            own.append((header_names.model, plan.model.encode()))
        if plan.last_event is not None:
            own.append((header_names.last_event, plan.last_event))
        return inboundrequest.upstream_headers(request, header_names, own)

    async def _receive_head(self, request, plan, listed, connection):
        headers = self._request_headers(request, plan, listed)
        with self._attempt_timeout.for_answer(request, plan, listed):
            return await connection.request(
                request.method,
                request.target,
                headers,
                request.body,
                plan.arrival,
            )

    async def _raise_failure(
        self, request, plan, listed, connection, head, not_run
    ):
        upstream = listed.upstream.upstream_id
        if head.status == answers.MISDIRECTED_REQUEST:
            # The address now belongs to another upstream.
            self._load.note_broken(upstream, 'misdirected')
            self._crashes.note_absent(listed)
        elif not_run:
            self._load.note_full(upstream)
            plan.refused = True
        else:
            self._load.note_response(upstream, failed=True)
        with self._attempt_timeout.for_answer(request, plan, listed):
            response = await responses.read_error_response(
                request, connection, head
            )
        reason = f'status {head.status}'
        attemptlog.log_failure(
            request, plan, listed, self._clock.now(), reason, not_run
        )
        if not not_run:
            await self._verifier.verify_end(plan, listed)
        raise _AttemptFailed(reason, not_run, response)

    async def _forward_body(
        self, request, plan, listed, connection, head, out
    ) -> None:
        """Forwards a body; a short one only once it is known to be whole."""
        with self._attempt_timeout.for_answer(request, plan, listed):
            response = await responses.read_start(request, connection, head)
        if response.complete:
            await self._verifier.verify_end(plan, listed)
            await responses.send_buffered(request, plan, response, out)
            return
        request.hold_response(0)
        await responses.forward_long(plan, connection, response, out)
        await self._verifier.verify_end(plan, listed)
        await out.end()

    async def _forward_stream(
        self, request, plan, listed, connection, head, out
    ) -> None:
        """Forwards the complete events of a stream, so that it can resume."""
        splitter = eventstream.Splitter(plan.event_ids, resumed=plan.begun)
        if not plan.begun:
            plan.version = listed.upstream.version
            headers = responses.unsized_headers(head)
        names = (request.route.name, plan.model or '')
        with (
            self._rollouts.counts.measure_pace(listed, *names) as note_events,
            self._targets.expected_load.measure_pace(
                listed, *names
            ) as note_pace,
        ):
            while True:
                with self._attempt_timeout.between_events(
                    request, plan, listed
                ):
                    complete = await splitter.receive(connection)
                if complete is None:
                    break
                plan.progress_at = self._clock.now()
                # A move has worked; the upstream before it is a slow one.
                plan.fallback = None
                note_events(splitter.count - 1)
                note_pace(splitter.count - 1)
                if not plan.begun:
                    plan.begun = True
                    await out.start(head.status, headers)
                await out.write(complete)
                self._admissions.check_pace(
                    request, plan, listed, splitter.count
                )
        await self._verifier.verify_end(plan, listed, splitter)
        if not plan.begun:
            plan.begun = True
            await out.start(head.status, headers)
        await out.end()


def _is_stream(request, head: upstreamconnections.Head) -> bool:
    return (
        request.route.kind is directories.RequestKind.STREAM
        and head.status < 300
        and head.media_type in ('', answers.EVENT_STREAM)
    )
