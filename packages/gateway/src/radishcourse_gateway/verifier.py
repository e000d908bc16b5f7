"""Checks upstreams' answers; `radishcourse_policy.answers` decides."""

import anyio

from radishcourse_gateway import errors
from radishcourse_gateway import eventstream
from radishcourse_gateway import inboundrequest
from radishcourse_gateway import targets
from radishcourse_gateway import upstreamconnections
from radishcourse_gateway import view as views
from radishcourse_policy import answers

# A probe may wait for a slot of the upstream, about as long as a request, or
# for the end of a silence.
PROBE_TIMEOUT_S = upstreamconnections.MAX_SILENCE_S + 0.25
# A node that was suspended learns of an upstream's end and of the removal of
# its entry within less than this time, in any order.
SUSPENSION_MARGIN_S = 0.1


class Verifier:
    """Tells whole answers from others, by what is known of their upstreams.

    Args:
      gateway: Provides the view, the header names and crashes.
    """

    def __init__(self, gateway):
        self._clock = gateway.environment.clock
        self._timeouts = gateway.timeouts
        self._header_names = gateway.header_names
        self._view: views.View = gateway.view
        self._crashes = gateway.crashes

    def judge_head(
        self,
        request: inboundrequest.InboundRequest,
        plan: targets.Plan,
        connection: upstreamconnections.Connection,
        head: upstreamconnections.Head,
    ) -> answers.State:
        """Returns what an answer is to a request by its head."""
        names = self._header_names
        request_id = head.get(names.request_id)
        passed_on = inboundrequest.caller_headers(head.headers)
        return answers.judge_head(
            answers.Expectation(
                request.request_id, connection.fresh, resumed=plan.begun
            ),
            answers.Head(
                status=head.status,
                request_id=request_id and request_id.decode('latin-1'),
                stamped=any(name == names.stamp for name, _ in passed_on),
                marked_not_run=head.get(names.not_run) is not None,
                encoded=head.get(b'content-encoding') is not None,
                media_type=head.media_type,
            ),
        )

    async def verify_end(
        self,
        plan: targets.Plan,
        listed: views.ListedUpstream,
        splitter: eventstream.Splitter | None = None,
    ) -> None:
        """Checks that an answer whose body has ended is whole.

        Args:
          plan: The state of its request.
          listed: The upstream that sent it.
          splitter: Split the body into events, None if it is no stream.

        Raises:
          UpstreamError: It is not whole, or nothing shows that it is.
        """
        unfinished = splitter is not None and bool(splitter.partial)
        empty = splitter is not None and not (splitter.count or plan.begun)
        arrival, sender = plan.arrival, None
        if (
            arrival.framing is answers.Framing.CLOSE
            and arrival.end is answers.End.CLOSED
            and arrival.request_sent
            and not unfinished
            and not empty
        ):
            sender = await self._find_sender(listed, arrival)
        state = answers.judge_end(
            arrival.framing,
            arrival.end,
            sender,
            unfinished,
            empty,
            arrival.request_sent,
        )
        if state is answers.State.WHOLE:
            return
        if unfinished:
            raise errors.UpstreamError('closed within an event', True)
        raise errors.UpstreamError(
            f'closed without the end; the upstream is '
            f'{sender.value if sender else "not asked"}',
            True,
        )

    async def _find_sender(
        self,
        listed: views.ListedUpstream,
        arrival: upstreamconnections.Arrival,
    ) -> answers.Sender:
        """Asks for an upstream's process at its address."""
        if self._is_leaving(listed, arrival):
            return answers.Sender.LEAVING
        if self._crashes.is_known_ended(listed):
            return answers.Sender.ENDED
        try:
            with anyio.fail_after(PROBE_TIMEOUT_S):
                return await self._probe(listed)
        except upstreamconnections.ConnectionRefused:
            self._crashes.note_ended(listed)
            return answers.Sender.ENDED
        except (errors.UpstreamError, TimeoutError):
            return answers.Sender.UNKNOWN

    def _is_leaving(
        self,
        listed: views.ListedUpstream,
        arrival: upstreamconnections.Arrival,
    ) -> bool:
        """Tells whether an upstream had to end after it had answered.

        Some announce it, others only remove their entry. The entry of one that
        has crashed expires as well, but after its connections have ended.
        """
        known = self._view.upstreams.get(listed.upstream.upstream_id)
        if known is None or known.incarnation != listed.incarnation:
            return False
        if self._view.is_leaving(listed):
            return True
        if known.gone_at is None or self._view.may_have_expired(known):
            return False
        gone_s = self._clock.now() - known.gone_at
        return arrival.waited and gone_s > SUSPENSION_MARGIN_S

    async def _probe(self, listed: views.ListedUpstream) -> answers.Sender:
        """Sends a request that only the upstream itself may answer.

        Raises:
          UpstreamError: There is no answer.
        """
        entry = listed.upstream
        service = self._view.service(entry.service)
        if service is None or service.probe_path is None:
            return answers.Sender.UNKNOWN
        upstream_id = entry.upstream_id.encode()
        connection = await upstreamconnections.connect(
            entry.address, self._clock.now(), self._timeouts.fail_after
        )
        try:
            head = await connection.request(
                b'GET',
                service.probe_path.encode(),
                [
                    (b'host', entry.address.encode()),
                    (self._header_names.expected_upstream, upstream_id),
                ],
                b'',
                upstreamconnections.Arrival(),
            )
        finally:
            await connection.aclose()
        named = head.get(self._header_names.upstream)
        if head.status == answers.MISDIRECTED_REQUEST:
            return answers.Sender.ENDED
        if named is not None and named != upstream_id:
            return answers.Sender.ENDED
        return answers.Sender.RUNNING
