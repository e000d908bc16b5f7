"""Requests whose version a roll-out has retired.

When a roll-out completes, the platform stops the old version's upstreams at
once, also those that work on requests which can be repeated.
"""

import anyio

from radishcourse_gateway import inboundrequest
from radishcourse_gateway import rollouts
from radishcourse_gateway import targets
from radishcourse_gateway import upstreamconnections
from radishcourse_gateway import view as views
from radishcourse_node import events

# A process that ends may close its connections before its listener; its
# address is asked again after these times.
CHECK_DELAYS_S = (0.0, 0.05, 0.15)


class RetiredVersions:
    """Lets requests go on when their version's upstreams are stopped.

    Args:
      gateway: Provides the roll-outs, the clock and the timeouts.
    """

    def __init__(self, gateway):
        self._timeouts = gateway.timeouts
        self._rollouts: rollouts.Rollouts = gateway.rollouts

    async def note_failure(
        self,
        request: inboundrequest.InboundRequest,
        plan: targets.Plan,
        listed: views.ListedUpstream,
    ) -> None:
        """Excuses the last attempt if it ended as its upstream was stopped.

        The request then has another attempt, at an upstream of the version that
        is in service. An upstream that still listens was not stopped.

        Args:
          request: The request.
          plan: Its state.
          listed: The upstream that broke off.
        """
        entry = listed.upstream
        counted = plan.attempts - plan.excused_attempts
        if counted < request.route.max_attempts:
            return
        if not plan.is_repeatable(request.route):
            return
        if not self._rollouts.retires(entry.service, entry.version):
            return
        if not await self._is_stopped(entry.address):
            return
        plan.excused_attempts += 1
        events.log(
            events.Event.ATTEMPT_EXCUSED,
            request=request.request_id,
            upstream=entry.upstream_id,
            version=entry.version,
        )

    async def _is_stopped(self, address: str) -> bool:
        for delay_s in CHECK_DELAYS_S:
            await anyio.sleep(delay_s)
            if await upstreamconnections.is_refused(
                address, self._timeouts.fail_after
            ):
                return True
        return False
