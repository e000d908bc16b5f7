"""Streams whose version a roll-out has retired.

When a roll-out completes, the platform stops the old version's upstreams at
once, also those that send a stream.
"""

from radishcourse_gateway import rollouts
from radishcourse_gateway import targets
from radishcourse_gateway import upstreamconnections
from radishcourse_gateway import view as views
from radishcourse_node import events


class RetiredVersions:
    """Lets streams go on when their version's upstreams are stopped.

    Args:
      gateway: Provides the roll-outs, the clock and the timeouts.
    """

    def __init__(self, gateway):
        self._timeouts = gateway.timeouts
        self._rollouts: rollouts.Rollouts = gateway.rollouts

    async def note_failure(
        self, request_id: str, plan: targets.Plan, listed: views.ListedUpstream
    ) -> None:
        """Excuses an attempt that ended because its upstream was stopped.

        The request then has another attempt, at an upstream of the version that
        is in service. An upstream that still listens was not stopped.

        Args:
          request_id: Id of the request.
          plan: Its state.
          listed: The upstream that broke off.
        """
        entry = listed.upstream
        if not plan.begun or not self._rollouts.retires(
            entry.service, entry.version
        ):
            return
        if not await upstreamconnections.is_refused(
            entry.address, self._timeouts.fail_after
        ):
            return
        plan.excused_attempts += 1
        events.log(
            events.Event.ATTEMPT_EXCUSED,
            request=request_id,
            upstream=entry.upstream_id,
            version=entry.version,
        )
