"""Sessions that a roll-out's canary must leave on the old version.

Each node remembers its latest sessions and adds those that are open at an order
to the set of the roll-out, which all nodes merge. The set reaches them in some
rounds. Around the start of the canary, the one node that is responsible for a
session, chosen by hash, is therefore told of it and asked for it at once.
"""

from radishcourse_gateway import localrollout
from radishcourse_model import ids
from radishcourse_policy import canary
from radishcourse_policy import opensessions
from radishcourse_wire import errors as wire_errors
from radishcourse_wire import messages
from radishcourse_wire.gen.peer import ttypes


class SessionTracker:
    """The open sessions of all roll-outs.

    Args:
      gateway: Provides the settings and peers.
      rollouts: The roll-outs.
    """

    def __init__(self, gateway, rollouts):
        self._clock = gateway.environment.clock
        self._current_settings = gateway.current_settings
        self._peers = gateway.peers
        self._rollouts = rollouts
        self._recent = opensessions.RecentSessions()
        self._peers.server.register(
            messages.MessageKind.SETTLE_SESSION, self._answer
        )

    @property
    def _session_s(self) -> float:
        return self._current_settings.value.bounds.session_s

    def add_recent(self, rollout: localrollout.LocalRollout) -> None:
        """Adds the sessions that are open at this node to a new roll-out."""
        since = rollout.seen_at - self._session_s
        service = rollout.order.service
        for session in self._recent.seen_since(service, since):
            self._add(rollout, session)

    async def note(self, service: ids.ServiceId, session: str) -> None:
        """Records a request of a session before its version is chosen.

        Args:
          service: The service that serves it.
          session: The session, empty without one.
        """
        if not session:
            return
        now = self._clock.now()
        self._recent.note(service, session, now, self._session_s)
        rollout = self._rollouts.find(service)
        if rollout is None or rollout.state in localrollout.FINAL_STATES:
            return
        age_s, limit_s = self._rollouts.age_s(rollout), rollout.order.within_s
        if canary.is_before_canary(age_s, limit_s):
            self._add(rollout, session)
        if canary.is_settling(age_s, limit_s) and self._is_in_canary(
            rollout, session
        ):
            await self._settle(rollout, session)

    def _add(self, rollout: localrollout.LocalRollout, session: str) -> None:
        if self._is_in_canary(rollout, session):
            rollout.open_sessions.add(rollout.bucket(session))

    def _is_in_canary(self, rollout, session: str) -> bool:
        exposure = self._current_settings.value.bounds.exposure_share
        return rollout.session_hash(session) < canary.canary_share(exposure)

    async def _settle(
        self, rollout: localrollout.LocalRollout, session: str
    ) -> None:
        """Agrees with the responsible node on whether a session is open."""
        bucket = rollout.bucket(session)
        service = rollout.order.service
        peer = self._peers.responsible_for(f'{service}/{session}')
        if peer is None or bucket in rollout.settled_buckets:
            return
        message = ttypes.SettleSession(
            service,
            rollout.identity.version,
            bucket,
            bucket in rollout.open_sessions,
            rollout.identity.era or None,
        )
        reply = await self._peers.try_call(
            peer, messages.MessageKind.SETTLE_SESSION, message
        )
        if reply is not None and reply.open:
            rollout.open_sessions.add(bucket)
            rollout.settled_buckets.add(bucket)

    async def _answer(
        self, sender, request: ttypes.SettleSession
    ) -> ttypes.SettleSessionReply:
        """Records and looks up an open session for another node."""
        del sender
        rollout = self._rollouts.find(ids.ServiceId(request.service_id))
        if rollout is None or rollout.identity != localrollout.identity_of(
            request
        ):
            # Not known here yet: the sender asks again with its next request.
            return ttypes.SettleSessionReply(False)
        if request.open:
            try:
                rollout.open_sessions.add(request.bucket)
            except ValueError as error:
                raise wire_errors.Malformed(str(error)) from error
        return ttypes.SettleSessionReply(
            request.bucket in rollout.open_sessions
        )
