"""Forwards one request: attempts, repeats, larger models, resumed streams."""

import enum

from radishcourse_gateway import answers
from radishcourse_gateway import attempttimeout
from radishcourse_gateway import channels
from radishcourse_gateway import directory as directories
from radishcourse_gateway import errors
from radishcourse_gateway import eventstream
from radishcourse_gateway import inbound
from radishcourse_gateway import retrybudgets
from radishcourse_gateway import targets
from radishcourse_gateway import view as views
from radishcourse_node import events
from radishcourse_policy import modelchoice

# An upstream that is full is free again after about one request.
BUSY_RETRY_S = 0.5
MISDIRECTED = 421


class Step(enum.Enum):
    """What follows an attempt."""

    DONE = 'done'
    AGAIN = 'again'


class _Failed(Exception):
    """An attempt failed.

    Attributes:
      not_run: The upstream states that it did not run the request.
      answer: The upstream's own answer, if it gave one.
    """

    def __init__(
        self, reason, not_run=False, answer: answers.Whole | None = None
    ):
        super().__init__(reason)
        self.not_run = not_run
        self.answer = answer


class Exchanges:
    """Forwards requests.

    Args:
      gateway: The gateway, for its controllers.
    """

    def __init__(self, gateway):
        self._gateway = gateway
        self._clock = gateway.environment.clock
        self._random = gateway.environment.random
        self._dialect = gateway.dialect
        self._current = gateway.current
        self._view: views.View = gateway.view
        self._load = gateway.load
        self._rollouts = gateway.rollouts
        self._targets = gateway.targets
        self._pool: channels.Pool = gateway.pool
        self._retry_budgets = retrybudgets.RetryBudgets(gateway)
        self._attempt_timeout = attempttimeout.AttemptTimeout(
            gateway, self._retry_budgets
        )

    async def run(self, request: inbound.Inbound, out) -> targets.Plan:
        """Sends a request to upstreams until one answers.

        Args:
          request: The request.
          out: Takes the answer.

        Raises:
          Refusal: The gateway answers itself.
          AnswerBroken: The answer began and can't be completed.
        """
        plan = targets.Plan()
        out.plan = plan
        if request.route.models:
            plan.model = request.route.models[0]
        last: _Failed | None = None
        counted = False
        while True:
            try:
                listed = self._targets.choose(request, plan)
            except errors.Refusal as refusal:
                if last is None:
                    raise
                return await self._give_up(request, plan, out, last, refusal)
            if not counted:
                self._retry_budgets.note_request(plan.service)
                counted = True
            try:
                step = await self._attempt(request, plan, listed, out)
            except _Failed as failure:
                last = failure
                plan.tried.add(listed.incarnation)
                if not self._may_repeat(request, plan, failure):
                    return await self._give_up(request, plan, out, failure)
                continue
            if step is Step.DONE:
                return plan

    def _may_repeat(self, request, plan, failure: _Failed) -> bool:
        now = self._clock.now()
        if now >= request.deadline:
            return False
        if plan.begun and not request.route.resumable:
            return False
        if not failure.not_run and not request.route.retryable:
            return False
        if not plan.attempts:
            # Nothing was sent yet, so the next attempt repeats nothing.
            return len(plan.tried) < 2 * max(2, request.route.max_attempts)
        if plan.attempts >= request.route.max_attempts:
            return False
        paid, plan.retry_paid = plan.retry_paid, False
        return paid or self._retry_budgets.spend(plan.service)

    async def _give_up(
        self, request, plan, out, failure: _Failed, refusal=None
    ) -> targets.Plan:
        """Answers after the last attempt."""
        if plan.begun:
            raise errors.AnswerBroken(str(failure))
        answer = failure.answer
        if answer is not None and not failure.not_run:
            await answers.send(request, plan, answer, out)
            return plan
        if not plan.sent:
            raise refusal or errors.Refusal(
                errors.Reason.OVERLOADED,
                str(failure),
                BUSY_RETRY_S * (0.5 + self._random.random()),
            )
        raise errors.Refusal(errors.Reason.UPSTREAM_FAILED, str(failure))

    async def _attempt(
        self, request: inbound.Inbound, plan: targets.Plan, listed, out
    ) -> Step:
        entry = listed.upstream
        prefill_s = self._targets.prefill_s(request, plan)
        started_at = self._clock.now()
        self._log_attempt(request, plan, listed)
        with (
            self._load.count(entry.upstream_id, prefill_s) as begin,
            self._rollouts.count(entry.service, entry.version),
        ):
            try:
                async with self._pool.open(
                    listed.incarnation, entry.address, request.route.retryable
                ) as channel:
                    plan.attempts += 1
                    was_sent, plan.sent = plan.sent, True
                    try:
                        head = await self._receive_head(
                            request, plan, listed, channel
                        )
                        begin()
                        seconds = self._clock.now() - started_at
                        return await self._take_head(
                            request, plan, listed, channel, head, seconds, out
                        )
                    except _Failed as failure:
                        if failure.not_run:
                            plan.sent = was_sent
                        raise
            except errors.ChannelError as error:
                self._load.note_broken(entry.upstream_id, str(error))
                self._log_failure(request, plan, listed, str(error))
                raise _Failed(str(error), not_run=not error.sent) from error

    async def _take_head(
        self, request, plan, listed, channel, head, seconds, out
    ) -> Step:
        not_run = (
            head.status == MISDIRECTED
            or head.get(self._dialect.not_run) is not None
        )
        failed = head.status >= 500 and not not_run
        model = plan.model or ''
        if not not_run and head.get(self._dialect.stamp) is not None:
            self._rollouts.note(
                listed,
                request.route.name,
                model,
                seconds,
                self._targets.prefill_s(request, plan),
                failed,
            )
        if not_run or head.status >= 500:
            await self._fail(request, plan, listed, channel, head, not_run)
        self._check(request, head)
        self._load.note_answer(listed.upstream.upstream_id, failed=False)
        self._targets.note_head(request, plan, seconds)
        if self._wants_larger(request, plan, head):
            return Step.AGAIN
        if request.route.kind is directories.RequestKind.STREAM:
            return await self._pass_stream(
                request, plan, listed, channel, head, out
            )
        await answers.pass_on(request, plan, channel, head, out)
        return Step.DONE

    def _headers(self, request, plan, listed) -> inbound.Headers:
        dialect = self._dialect
        left_ms = max(1, int(1000 * (request.deadline - self._clock.now())))
        entry = listed.upstream
        own = [
            (dialect.budget_ms, b'%d' % left_ms),
            (dialect.expected_upstream, entry.upstream_id.encode()),
            (dialect.priority, b'%d' % max(0, min(9, request.priority))),
        ]
        if request.organisation is not None:
            own.append(
                (dialect.organisation, request.organisation.name.encode())
            )
        if plan.model is not None:
            own.append((dialect.model, plan.model.encode()))
        if plan.last_event is not None:
            own.append((dialect.last_event, plan.last_event))
        return inbound.outbound_headers(request, dialect, own)

    async def _receive_head(self, request, plan, listed, channel):
        headers = self._headers(request, plan, listed)
        with self._attempt_timeout.before_head(request, plan, listed):
            return await channel.request(
                request.method, request.target, headers, request.body
            )

    async def _fail(self, request, plan, listed, channel, head, not_run):
        upstream = listed.upstream.upstream_id
        if head.status == MISDIRECTED:
            # Its address belongs to another upstream by now.
            self._load.note_broken(upstream, 'misdirected')
        elif not_run:
            self._load.note_full(upstream)
        else:
            self._load.note_answer(upstream, failed=True)
        answer = await answers.read_failure(request.method, channel, head)
        reason = f'status {head.status}'
        self._log_failure(request, plan, listed, reason, not_run)
        if not not_run:
            self._check(request, head)
        raise _Failed(reason, not_run, answer)

    def _check(self, request, head: channels.Head) -> None:
        """Checks that an answer belongs to the request.

        Raises:
          ChannelError: It is another's, or nobody vouches for it.
        """
        answered = head.get(self._dialect.request_id)
        if answered is not None and answered.decode() != request.request_id:
            raise errors.ChannelError('the answer is to another request', True)
        if head.get(self._dialect.stamp) is None:
            raise errors.ChannelError('an answer without a stamp', True)
        if head.get(b'content-encoding') is not None:
            raise errors.ChannelError('an encoded answer', True)

    def _wants_larger(self, request, plan, head) -> bool:
        models = request.route.models
        confidence = head.get(self._dialect.confidence)
        if confidence is not None:
            plan.confidence = float(confidence)
        if not models or plan.begun or request.size is None:
            return False
        if (
            not self._attempt_timeout.can_retry(request, plan)
            or confidence is None
        ):
            return False
        service = self._view.directory.services.get(plan.service)
        costs = service.engine.costs if service and service.engine else {}
        larger = modelchoice.choose_larger(
            models,
            plan.model,
            float(confidence),
            request.size,
            costs,
            self._current.value.value_per_1k_tokens,
            self._targets.prefill_s(request, plan, models[-1]),
            *self._targets.service_load(plan.service),
        )
        if larger is None or not self._retry_budgets.spend(plan.service):
            return False
        events.log(
            events.Event.STEP_ESCALATED,
            request=request.request_id,
            model=plan.model,
            larger=larger,
            confidence=float(confidence),
            prompt=request.size.prompt,
            output=request.size.output,
        )
        plan.model = larger
        return True

    async def _pass_stream(
        self, request, plan, listed, channel, head, out
    ) -> Step:
        """Passes events on as they come; only whole ones."""
        splitter = eventstream.Splitter(plan.last_event)
        began_at = self._clock.now()
        if not plan.begun:
            plan.version = listed.upstream.version
            headers = inbound.returned_headers(head.headers)
        while True:
            with self._attempt_timeout.between_events(request, plan):
                data = await channel.receive()
            if data is None:
                break
            complete = splitter.feed(data)
            if not complete:
                continue
            if not plan.begun:
                plan.begun = True
                await out.start(head.status, headers)
            await out.write(complete)
            plan.last_event = splitter.last_id
        if not plan.begun:
            plan.begun = True
            await out.start(head.status, headers)
        if splitter.partial:
            await out.write(splitter.partial)
        await out.end()
        self._rollouts.note_pace(
            listed,
            request.route.name,
            plan.model or '',
            self._clock.now() - began_at,
            splitter.count - 1,
        )
        return Step.DONE

    def _log_attempt(self, request, plan, listed) -> None:
        entry = listed.upstream
        events.log(
            events.Event.ATTEMPT_STARTED,
            request=request.request_id,
            attempt=plan.attempts + 1,
            upstream=entry.upstream_id,
            version=entry.version,
            model=plan.model,
            last_event=plan.last_event.decode() if plan.last_event else None,
            left_s=round(request.deadline - self._clock.now(), 3),
        )

    def _log_failure(
        self, request, plan, listed, error: str, not_run: bool = False
    ) -> None:
        events.log(
            events.Event.ATTEMPT_FAILED,
            request=request.request_id,
            attempt=plan.attempts,
            upstream=listed.upstream.upstream_id,
            error=error,
            not_run=not_run,
            begun=plan.begun,
        )
