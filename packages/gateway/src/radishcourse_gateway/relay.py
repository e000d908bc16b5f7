"""Passes requests to peers while this node reaches no upstream.

The peer treats a relayed request as a caller's: it checks the key, admits,
bills and retries it. It never relays it again.
"""

import anyio

from radishcourse_gateway import attempttimeout
from radishcourse_gateway import errors
from radishcourse_gateway import forwarder as forwarders
from radishcourse_gateway import headernames
from radishcourse_gateway import inboundrequest
from radishcourse_gateway import peers as gateway_peers
from radishcourse_gateway import peerstate
from radishcourse_gateway import reachability
from radishcourse_gateway import responses
from radishcourse_gateway import retrybudgets
from radishcourse_gateway import targets
from radishcourse_gateway import upstreamconnections
from radishcourse_model import ids
from radishcourse_node import errors as node_errors
from radishcourse_node import events
from radishcourse_node import metrics
from radishcourse_node import serving
from radishcourse_policy import answers
from radishcourse_policy import relaypeers

# The peer's time ends so long before this node's, so that its answer arrives:
# its limit is exceeded by its own grace of 0.1 s.
DEADLINE_MARGIN_S = 0.15
# Short times are not used up by that margin.
MAX_MARGIN_SHARE = 0.25
# A frozen peer counts as alive for some seconds. Peers whose last message is
# newer than this are preferred while there are enough of them.
RECENT_S = 1.0
# Outcome in the record of a request that a peer answered.
OUTCOME = 'relayed'
# Refusals of a peer after which another one may serve the request.
_ELSEWHERE = frozenset(
    responses.refusal_body(reason)
    for reason in (
        errors.Reason.UPSTREAMS_UNREACHABLE,
        errors.Reason.NO_CONFIGURATION,
        errors.Reason.CLOSING,
        errors.Reason.NO_UPSTREAM,
        # Its configuration may be older than this node's, which matched.
        errors.Reason.NO_ROUTE,
        errors.Reason.UNKNOWN_KEY,
    )
)
_REFUSED_STATUSES = answers.NOT_RUN_STATUSES | {
    errors.Reason.NO_ROUTE.status,
    errors.Reason.UNKNOWN_KEY.status,
}
_COUNTER = 'radishcourse_relays_total'


class Relay:
    """Forwards requests, through a peer if no upstream can be reached.

    Args:
      gateway: Provides the forwarder and the peers.
    """

    def __init__(self, gateway):
        self._clock = gateway.environment.clock
        self._current_settings = gateway.current_settings
        self._header_names: headernames.HeaderNames = gateway.header_names
        self._peers: gateway_peers.Peers = gateway.peers
        self._reachability: reachability.Reachability = gateway.reachability
        self._targets: targets.Targets = gateway.targets
        self._forwarder: forwarders.Forwarder = gateway.forwarder
        self._metrics: metrics.Metrics = gateway.metrics
        self._retry_budgets: retrybudgets.RetryBudgets = gateway.retry_budgets
        self._attempt_timeout = attempttimeout.AttemptTimeout(
            gateway, self._retry_budgets
        )
        self._port: int | None = None
        self._known = relaypeers.RelayPeers(gateway.environment.random)
        self._pool = upstreamconnections.Pool(
            self._clock, gateway.timeouts.fail_after
        )

    async def listen(self) -> list[anyio.abc.SocketListener]:
        """Returns the listener for relayed requests, if there is one.

        The node works without it where the address can't be listened on.
        """
        address = self._current_settings.value.relay_listen
        if address is None:
            return []
        try:
            listener = await serving.listen(address)
        except node_errors.AddressError as error:
            events.log(
                events.Event.RELAY_UNAVAILABLE,
                address=address,
                error=str(error),
            )
            return []
        self._peers.relay_address = address
        self._port = int(address.rpartition(':')[2])
        return [listener]

    def is_relayed(self, scope) -> bool:
        """Tells whether a request came through the listener for relayed ones.

        Args:
          scope: The ASGI scope of the request.
        """
        server = scope.get('server')
        return server is not None and server[1] == self._port

    async def forward(
        self, request: inboundrequest.InboundRequest, out
    ) -> None:
        """Forwards a request to an upstream or a peer.

        Args:
          request: The request.
          out: Writes the response to the caller.

        Raises:
          Refusal: The gateway has to respond itself.
          ResponseInterrupted: The response began and can't be completed.
        """
        service = self._targets.choose_service(request)
        unreachable = self._reachability.is_unreachable(service)
        if request.relayed and unreachable:
            raise self._forwarder.refuse_unreachable(service)
        if unreachable and await self._relay(request, service, out):
            return
        # Without a peer that serves it, upstreams are tried all the same.
        try:
            await self._forwarder.forward(request, out)
        except errors.Refusal as refusal:
            if (
                request.relayed
                or unreachable
                or refusal.reason is not errors.Reason.UPSTREAMS_UNREACHABLE
                or not await self._relay(request, service, out)
            ):
                raise

    async def _relay(self, request, service: ids.ServiceId, out) -> bool:
        """Tells whether a peer answered; else the request has not run.

        Raises:
          Refusal: No peer answered, and the request may have run.
          ResponseInterrupted: The response began and can't be completed.
        """
        plan = targets.Plan(service=service)
        out.plan = plan
        tried: set[ids.NodeId] = set()
        while (peer := self._choose(service, tried)) is not None:
            tried.add(peer.node)
            if await self._try_peer(request, plan, peer, out):
                return True
        if plan.may_have_run:
            raise errors.Refusal(
                errors.Reason.UPSTREAM_FAILED, 'no other peer can serve it'
            )
        self._count('no_peer')
        return False

    def _choose(
        self, service: ids.ServiceId, tried: set[ids.NodeId]
    ) -> peerstate.Peer | None:
        now = self._clock.now()
        candidates = {
            peer.node: peer for peer in self._peers.alive if peer.relay_address
        }
        recent = [
            peer
            for peer in candidates.values()
            if now - peer.last_heard_at < RECENT_S
        ]
        if len(recent) < relaypeers.MAX_PEERS:
            recent = list(candidates.values())
        node = self._known.choose(
            now,
            service,
            self._current_settings.value.zone,
            [relaypeers.Candidate(peer.node, peer.zone) for peer in recent],
            tried,
        )
        return None if node is None else candidates[node]

    async def _try_peer(
        self, request, plan: targets.Plan, peer: peerstate.Peer, out
    ) -> bool:
        """Tells whether a peer answered; else another one may be tried."""
        may_have_run_before = plan.may_have_run
        plan.arrival = upstreamconnections.Arrival()
        try:
            async with self._pool.open(
                (peer.node, peer.incarnation),
                peer.relay_address,
                request.route.retryable,
            ) as connection:
                plan.begin_attempt(request.route)
                with self._attempt_timeout.for_peer(request, plan):
                    head = await connection.request(
                        request.method,
                        request.target,
                        self._request_headers(request),
                        request.body,
                        plan.arrival,
                    )
                by_peer = head.get(self._header_names.stamp) is None
                if head.status in answers.NOT_RUN_STATUSES or (
                    by_peer and head.status in _REFUSED_STATUSES
                ):
                    response = await responses.read_error_response(
                        request, connection, head
                    )
                    plan.may_have_run = may_have_run_before
                    plan.attempts -= 1
                    return await self._handle_refusal(
                        request, plan, peer, response, out
                    )
                if by_peer and head.status < 400:
                    raise errors.UpstreamError('success without a stamp', True)
                self._known.note_answered(
                    self._clock.now(), plan.service, peer.node
                )
                await self._pass_on(plan, connection, head, out)
        except errors.UpstreamError as error:
            self._handle_failure(request, plan, peer, error)
            return False
        self._count('answered')
        return True

    def _request_headers(self, request) -> inboundrequest.Headers:
        left_s = max(0.0, request.deadline - self._clock.now())
        margin_s = min(DEADLINE_MARGIN_S, MAX_MARGIN_SHARE * left_s)
        budget_ms = max(1, int(1000 * (left_s - margin_s)))
        return inboundrequest.relay_headers(
            request, [(self._header_names.time_budget_ms, b'%d' % budget_ms)]
        )

    async def _handle_refusal(self, request, plan, peer, response, out) -> bool:
        """Tells whether a refusal was passed on; else another peer may serve.

        Raises:
          Refusal: Another peer may have run the request before.
        """
        by_peer = response.head.get(self._header_names.stamp) is None
        if by_peer and response.body in _ELSEWHERE:
            self._known.note_refused(self._clock.now(), plan.service, peer.node)
            self._count('refused')
            return False
        if plan.may_have_run:
            raise errors.Refusal(
                errors.Reason.UPSTREAM_FAILED, 'an earlier peer may have run it'
            )
        # The record is written before the last part of the response.
        out.outcome = OUTCOME
        await responses.send_buffered(request, plan, response, out)
        return True

    async def _pass_on(self, plan, connection, head, out) -> None:
        """Passes an answer on as it arrives.

        Raises:
          ResponseInterrupted: It broke off, or nothing tells that it is whole.
        """
        plan.begun = True
        out.outcome = OUTCOME
        await out.start(
            head.status, inboundrequest.caller_headers(head.headers)
        )
        try:
            while (part := await connection.receive()) is not None:
                await out.write(part)
        except errors.UpstreamError as error:
            raise errors.ResponseInterrupted(str(error)) from error
        if plan.arrival.framing is answers.Framing.CLOSE:
            raise errors.ResponseInterrupted('answer of a peer without framing')
        await out.end()

    def _handle_failure(self, request, plan, peer, error) -> None:
        """Notes that a peer failed.

        Raises:
          Refusal: The request may have run and must not run again.
        """
        self._known.note_refused(self._clock.now(), plan.service, peer.node)
        self._count('failed')
        events.log(
            events.Event.RELAY_FAILED,
            request=request.request_id,
            peer=peer.node,
            error=str(error),
            sent=error.sent,
        )
        if not error.sent:
            return
        paid, plan.retry_paid = plan.retry_paid, False
        if (
            not plan.may_send(request.route)
            or plan.attempts >= request.route.max_attempts
            or not (paid or self._retry_budgets.spend(plan.service))
        ):
            raise errors.Refusal(
                errors.Reason.UPSTREAM_FAILED, str(error)
            ) from error

    def _count(self, result: str) -> None:
        self._metrics.add(_COUNTER, {'result': result})

    async def sweep(self) -> None:
        """Closes idle connections while all services are reachable."""
        self._known.forget(self._clock.now())
        if not self._reachability.unreachable:
            await self._pool.aclose()

    async def aclose(self) -> None:
        """Closes the connections to peers."""
        await self._pool.aclose()
