"""Upstreams that say that refusals make them fall over."""

from radishcourse_gateway import headernames
from radishcourse_gateway import upstreamconnections
from radishcourse_gateway import view as views
from radishcourse_model import ids
from radishcourse_node import events
from radishcourse_policy import brittleness
from radishcourse_policy import coldrate

# Statuses of refusals for want of room; others are about the request.
_FULL_STATUSES = (429, 503)


class BrittleUpstreams:
    """Bounds what this node sends to brittle upstreams without known room.

    Args:
      gateway: Provides the view, load, peers, targets and header names.
    """

    def __init__(self, gateway):
        self._gateway = gateway
        self._clock = gateway.environment.clock
        self._view: views.View = gateway.view
        self._load = gateway.load
        self._peers = gateway.peers
        self._header_names: headernames.HeaderNames = gateway.header_names
        self._brittleness = brittleness.Brittleness(gateway.environment.random)

    def note_answer(
        self,
        listed: views.ListedUpstream,
        head: upstreamconnections.Head,
        sent_at: float,
        not_run: bool,
    ) -> None:
        """Records what the head of an answer says of its upstream.

        An answer of the upstream itself that does not call it brittle ends the
        state, unless its request was sent before the state was said.

        Args:
          listed: The upstream.
          head: The head of its answer, of whatever status.
          sent_at: When the request was sent, on this node's clock in seconds.
          not_run: Whether the upstream did not run the request.
        """
        self._note_said(listed, head, sent_at)
        if not not_run:
            self._brittleness.note_accepted(listed.incarnation)
        elif head.status in _FULL_STATUSES:
            self._note_refused(listed)

    def _note_said(self, listed, head, sent_at: float) -> None:
        value = head.get(self._header_names.brittle)
        key, now = listed.incarnation, self._clock.now()
        if value is None and (
            head.get(self._header_names.stamp) is None
            or self._brittleness.said_after(key, sent_at)
        ):
            return
        refusals_per_s = None if value is None else brittleness.parse(value)
        if value is not None and refusals_per_s is None:
            self._log(listed, None, 'malformed', value)
            return
        if not self._brittleness.note_said(key, refusals_per_s, now):
            return
        self._log(listed, refusals_per_s, 'answer', value)
        if refusals_per_s is not None:
            name = listed.upstream.service
            load = self._gateway.targets.service_load(name)
            self._brittleness.note_brittle(
                self._service(name), refusals_per_s, now, load.occupied
            )

    def _note_refused(self, listed: views.ListedUpstream) -> None:
        own_requests, _ = self._load.own_work(listed.upstream.upstream_id)
        self._brittleness.note_refused(
            listed.incarnation,
            self._service(listed.upstream.service),
            self._clock.now(),
            # The refused request is still counted.
            max(0, own_requests - 1),
        )

    def _service(self, name: ids.ServiceId) -> brittleness.Service:
        usable = self._view.usable(name)
        sound = [
            listed
            for listed in usable
            if not self._load.is_ejected(listed.upstream.upstream_id)
        ]
        return brittleness.Service(
            name,
            max(1, len(sound)),
            self._peers.fleet_size or coldrate.ASSUMED_FLEET_NODES,
        )

    def _log(self, listed, refusals_per_s, source: str, value) -> None:
        events.log(
            events.Event.UPSTREAM_BRITTLE,
            upstream=listed.upstream.upstream_id,
            refusals_per_s=refusals_per_s,
            source=source,
            value=None if value is None else value[:64].decode('latin-1'),
        )

    def wait_s(self, listed: views.ListedUpstream) -> float:
        """Returns the seconds until this node may send to an upstream.

        Infinite while its own requests there have to end first.
        """
        if self._brittleness.is_empty:
            return 0.0
        own_requests, _ = self._load.own_work(listed.upstream.upstream_id)
        now = self._clock.now()
        return self._brittleness.wait_s(listed.incarnation, now, own_requests)

    def admitted(
        self,
        candidates: dict[ids.UpstreamId, views.ListedUpstream],
        refused: bool,
    ) -> dict[ids.UpstreamId, views.ListedUpstream]:
        """Returns the upstreams that a request may go to.

        Those are the ones that are not brittle and, if the request is within
        the share that they get, the brittle ones.

        Args:
          candidates: Upstreams of one service that may take the request.
          refused: Whether an upstream has refused the request already.
        """
        if self._brittleness.is_empty:
            return candidates
        now = self._clock.now()
        sound = {
            upstream: listed
            for upstream, listed in candidates.items()
            if self._brittleness.find(listed.incarnation, now) is None
        }
        if len(sound) == len(candidates):
            return candidates
        name = next(iter(candidates.values())).upstream.service
        service = self._service(name)
        admitted = (
            self._brittleness.may_repeat(service, now)
            if refused
            else self._brittleness.admits(service, now)
        )
        return candidates if admitted else sound

    def forget(self, present: set[tuple]) -> None:
        """Drops the state of upstreams that are not present."""
        self._brittleness.trim(present, self._clock.now())
