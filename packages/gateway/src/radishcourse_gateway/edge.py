"""The gateway's HTTP interface for callers: an ASGI application."""

import contextlib
import traceback

import anyio

from radishcourse_gateway import dialect as dialects
from radishcourse_gateway import directory as directories
from radishcourse_gateway import errors
from radishcourse_gateway import inbound
from radishcourse_model import ids
from radishcourse_node import bodies
from radishcourse_node import connections
from radishcourse_node import events
from radishcourse_node import metrics

# An upstream answers by itself when the time that it was given is over; its
# answer is passed on if it comes within this time.
LATE_S = 0.1
# A caller's own clock started when it sent the request.
DEFAULT_BUDGET_S = 60.0
# Nodes learn the first configuration within about this time.
STARTING_RETRY_S = 0.5
# A caller that sends slowly has trouble of its own for a while.
SLOW_RETRY_S = 1.0
# Another node serves a request that this one may not live to answer.
CLOSING_RETRY_S = 0.05


class Out:
    """Writes one answer.

    Attributes:
      status: Status that was sent, None before.
      size: Bytes of the body that were sent.
      ended: Whether the answer is complete.
      plan: What happened to the request at upstreams.
    """

    def __init__(self, send, clock, closing):
        self._send = send
        self._clock = clock
        self._closing = closing
        self.status: int | None = None
        self.size = 0
        self.ended = False
        self.plan = None
        self.started_at: float | None = None

    async def start(self, status: int, headers: inbound.Headers) -> None:
        """Sends the status and the headers."""
        if self._closing():
            headers = [*headers, (b'connection', b'close')]
        self.status = status
        self.started_at = self._clock.now()
        await self._send(
            {
                'type': 'http.response.start',
                'status': status,
                'headers': headers,
            }
        )

    async def write(self, data: bytes) -> None:
        """Sends a part of the body."""
        self.size += len(data)
        await self._send(
            {'type': 'http.response.body', 'body': data, 'more_body': True}
        )

    async def end(self) -> None:
        """Ends the answer."""
        await self._send({'type': 'http.response.body', 'body': b''})
        self.ended = True


class Edge:
    """Serves callers' requests.

    Args:
      gateway: The gateway, for its controllers.
    """

    def __init__(self, gateway):
        self._gateway = gateway
        self._clock = gateway.environment.clock
        self._random = gateway.environment.random
        self._dialect: dialects.Dialect = gateway.dialect
        self._view = gateway.view
        self._exchanges = gateway.exchanges
        self._metrics: metrics.Metrics = gateway.metrics

    async def __call__(self, scope, receive, send) -> None:
        """Serves one HTTP request."""
        if scope['type'] != 'http':
            return
        with self._gateway.count_request():
            await self._serve(scope, receive, send)

    async def _serve(self, scope, receive, send) -> None:
        arrived_at = self._clock.now()
        out = Out(send, self._clock, lambda: self._gateway.draining)
        connection = scope['state'][connections.STATE_KEY]
        request = None
        outcome = 'completed'
        try:
            request = await self._read(scope, receive, arrived_at)
            with _cancelled_when_left(connection) as left:
                await self._run(request, out)
            if left.cancelled_caught:
                outcome = 'left'
        except errors.Refusal as refusal:
            outcome = refusal.reason.label
            self._log_refusal(scope, request, refusal, out)
            await self._refuse(out, refusal)
        except errors.AnswerBroken as error:
            outcome = 'broken'
            events.log(
                events.Event.ANSWER_INTERRUPTED,
                request=_name(request),
                error=str(error),
            )
            connection.abort()
        except bodies.CallerDisconnected:
            outcome = 'left'
        except Exception:
            outcome = 'internal'
            events.log(
                events.Event.REQUEST_FAILED,
                request=_name(request),
                error=traceback.format_exc(limit=-6),
            )
            await self._fail(out, connection)
        finally:
            if request is not None:
                self._finish(request, out, outcome)

    async def _fail(self, out: Out, connection) -> None:
        """Answers after a fault of our own."""
        if out.status is not None:
            connection.abort()
            return
        sent = out.plan is not None and out.plan.sent
        reason = errors.Reason.UPSTREAM_FAILED
        if not sent:
            reason = errors.Reason.OVERLOADED
        await self._refuse(
            out,
            errors.Refusal(reason, 'internal error', STARTING_RETRY_S),
        )

    async def _run(self, request: inbound.Inbound, out: Out) -> None:
        limit = request.deadline - self._clock.now() + LATE_S
        with anyio.move_on_after(limit):
            await self._exchanges.run(request, out)
            return
        if out.status is not None:
            raise errors.AnswerBroken('the deadline passed')
        if out.plan is not None and out.plan.sent:
            raise errors.Refusal(errors.Reason.TIMEOUT, 'the deadline passed')
        raise errors.Refusal(
            errors.Reason.OVERLOADED,
            'the deadline passed before an upstream was reached',
            self._spread(STARTING_RETRY_S),
        )

    async def _read(self, scope, receive, arrived_at) -> inbound.Inbound:
        headers = scope['headers']
        directory = self._view.directory
        if directory is None:
            limits = directories.Limits()
            await self._read_body(
                receive, limits.body_bytes, limits.header_timeout_s
            )
            raise errors.Refusal(
                errors.Reason.NO_CONFIGURATION,
                'the node has no configuration yet',
                self._spread(STARTING_RETRY_S),
            )
        limits = directory.limits
        host = (inbound.first(headers, b'host') or b'').decode('latin-1')
        path = scope['raw_path'].decode('latin-1')
        route = directory.match(host, path)
        if route is None:
            raise errors.Refusal(
                errors.Reason.NO_ROUTE,
                f'no route for this host and path in version '
                f'{directory.version}',
            )
        organisation = self._authenticate(directory, route, headers)
        body = await self._read_body(
            receive, limits.body_bytes, limits.header_timeout_s
        )
        left_s = self._gateway.time_left_s
        if left_s is not None and route.timeout_s > left_s:
            raise errors.Refusal(
                errors.Reason.CLOSING,
                f'the node stops in {left_s:.1f} s',
                CLOSING_RETRY_S,
            )
        target = scope['raw_path']
        if scope['query_string']:
            target += b'?' + scope['query_string']
        dialect = self._dialect
        key, tokens = inbound.read_parts(headers, dialect)
        budget = inbound.first(headers, dialect.budget_ms) or b''
        budget_s = DEFAULT_BUDGET_S
        if budget.isdigit():
            budget_s = int(budget) / 1000
        request_id = inbound.first(headers, dialect.request_id) or b''
        session = inbound.first(headers, dialect.session) or b''
        return inbound.Inbound(
            request_id=request_id.decode('latin-1'),
            method=scope['method'].encode('latin-1'),
            target=target,
            headers=headers,
            body=body,
            arrived_at=arrived_at,
            route=route,
            organisation=organisation,
            deadline=arrived_at + min(route.timeout_s, budget_s),
            size=inbound.read_size(headers, dialect),
            cached_key=key if route.cached_prompts else None,
            cached_tokens=tokens,
            session=session.decode('latin-1'),
        )

    def _authenticate(self, directory, route, headers):
        if route.anonymous or directory.organisations is None:
            return None
        value = inbound.first(headers, self._dialect.key)
        key = None if value is None else value.decode('latin-1')
        organisation = directory.organisation(key)
        if organisation is None:
            raise errors.Refusal(
                errors.Reason.UNKNOWN_KEY,
                f'the key is not in version {directory.version}',
            )
        return organisation

    async def _read_body(self, receive, limit: int, limit_s: float) -> bytes:
        try:
            return await bodies.read(receive, limit, limit_s)
        except bodies.TooLarge as error:
            raise errors.Refusal(
                errors.Reason.BODY_TOO_LARGE, str(error)
            ) from error
        except bodies.TooSlow as error:
            raise errors.Refusal(
                errors.Reason.BODY_TOO_SLOW, str(error), SLOW_RETRY_S
            ) from error

    def _spread(self, seconds: float) -> float:
        return seconds * (0.5 + self._random.random())

    async def _refuse(self, out: Out, refusal: errors.Refusal) -> None:
        body = b'{"error":"%s"}' % refusal.reason.label.encode()
        headers = [
            (b'content-type', b'application/json'),
            (b'content-length', b'%d' % len(body)),
        ]
        if refusal.retry_after_s is not None:
            value = f'{refusal.retry_after_s:.2f}'.encode()
            headers.append((b'retry-after', value))
        await out.start(refusal.reason.status, headers)
        await out.write(body)
        await out.end()

    def _log_refusal(self, scope, request, refusal, out) -> None:
        headers = scope['headers']
        request_id = inbound.first(headers, self._dialect.request_id) or b''
        directory = self._view.directory
        events.log(
            events.Event.REQUEST_REFUSED,
            request=request_id.decode('latin-1'),
            code=refusal.reason.label,
            status=refusal.reason.status,
            message=str(refusal),
            retry_after_s=refusal.retry_after_s,
            revision=directory.version if directory else None,
            attempts=out.plan.attempts if out.plan else 0,
            held_s=round(self._clock.now() - request.arrived_at, 3)
            if request
            else 0,
        )

    def _finish(self, request: inbound.Inbound, out: Out, outcome: str):
        now = self._clock.now()
        kind = ids.KindId(request.route.kind.value)
        seconds = now - request.arrived_at
        self._metrics.record(
            metrics.Series.TOTAL, request.tenant, kind, seconds
        )
        if out.started_at is not None:
            self._metrics.record(
                metrics.Series.FIRST_BYTE,
                request.tenant,
                kind,
                out.started_at - request.arrived_at,
            )
        self._metrics.count(request.tenant, kind, outcome)
        plan = out.plan
        events.log(
            events.Event.REQUEST_ANSWERED,
            request=request.request_id,
            route=request.route.name,
            organisation=request.tenant,
            outcome=outcome,
            status=out.status,
            attempts=plan.attempts if plan else 0,
            model=plan.model if plan else None,
            version=plan.version if plan else None,
            confidence=plan.confidence if plan else None,
            size=out.size,
            seconds=round(seconds, 3),
            first_s=round(out.started_at - request.arrived_at, 3)
            if out.started_at
            else None,
        )


def _name(request: inbound.Inbound | None) -> str:
    return request.request_id if request else ''


@contextlib.contextmanager
def _cancelled_when_left(connection):
    """Yields a scope that is cancelled when the caller goes away."""
    with anyio.CancelScope() as scope:
        connection.on_disconnect = scope.cancel
        try:
            yield scope
        finally:
            connection.on_disconnect = None
