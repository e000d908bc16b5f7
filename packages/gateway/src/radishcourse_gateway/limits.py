"""Limits that upstreams name, as this node keeps and reports them."""

import math

from radishcourse_gateway import peers
from radishcourse_gateway import peerstate
from radishcourse_gateway import upstreamconnections
from radishcourse_gateway import view as views
from radishcourse_model import ids
from radishcourse_node import events
from radishcourse_policy import coldrate
from radishcourse_policy import namedlimits
from radishcourse_wire import errors as wire_errors
from radishcourse_wire.gen.peer import ttypes

# A choice of an upstream looks at all limits, so the nodes are not listed anew
# for each of them.
ALIVE_REFRESH_S = 0.1


class Limits:
    """Keeps this node's requests within its share of upstreams' limits.

    Args:
      gateway: Provides the view, peers and header names.
    """

    def __init__(self, gateway):
        self._clock = gateway.environment.clock
        self._view: views.View = gateway.view
        self._peers = gateway.peers
        self._header_names = gateway.header_names
        self._limits = namedlimits.Limits()
        self._refresh_at = 0.0
        self._alive_peers: list[peerstate.Peer] = []
        self._names: list[ids.NodeId] = []
        self._senders = namedlimits.Senders(gateway.current_settings.value.node)

    def note_answer(
        self,
        listed: views.ListedUpstream,
        head: upstreamconnections.Head,
        sent_at: float,
    ) -> None:
        """Records the limit that an answer of an upstream names, if any.

        An answer of the upstream itself without one ends a limit that was named
        before its request was sent.

        Args:
          listed: The upstream.
          head: The head of its answer.
          sent_at: When the request was sent, on this node's clock in seconds.
        """
        value = head.get(self._header_names.rate_limit)
        if value is None and (
            head.get(self._header_names.stamp) is None
            or self._limits.named_after(listed.incarnation, sent_at)
        ):
            return
        per_s = None if value is None else namedlimits.parse(value)
        if value is not None and per_s is None:
            self._log(listed, None, 'malformed', value)
            return
        limit = namedlimits.NamedLimit(per_s, self._clock.now())
        if self._limits.note(listed.incarnation, limit):
            self._log(listed, per_s, 'answer', value)

    def _log(self, listed, per_s, source: str, value: bytes | None = None):
        events.log(
            events.Event.UPSTREAM_LIMITED,
            upstream=listed.upstream.upstream_id,
            per_s=per_s,
            source=source,
            value=None if value is None else value[:64].decode('latin-1'),
        )

    def is_limited(self, listed: views.ListedUpstream) -> bool:
        """Tells whether an upstream names a limit."""
        now = self._clock.now()
        return self._limits.find(listed.incarnation, now) is not None

    def wait_s(self, listed: views.ListedUpstream, heavy: bool = True) -> float:
        """Returns the seconds until this node may send to an upstream.

        Infinite if only other nodes may. A request that is not heavy only takes
        a share that would be lost.
        """
        now = self._clock.now()
        per_s = self._limits.find(listed.incarnation, now)
        if per_s is None:
            return 0.0
        others = self._sharing_nodes(listed)
        share = self._share(per_s, others)
        upstream = listed.upstream.upstream_id
        if not self._senders.may_send(others, upstream, share):
            return math.inf
        return self._limits.wait_s(listed.incarnation, now, share, heavy)

    def take(self, listed: views.ListedUpstream) -> None:
        """Counts a request to an upstream against its limit, if it has one."""
        now = self._clock.now()
        per_s = self._limits.find(listed.incarnation, now)
        if per_s is not None:
            share = self._share(per_s, self._sharing_nodes(listed))
            self._limits.take(listed.incarnation, now, share)

    def _sharing_nodes(self, listed: views.ListedUpstream) -> list[ids.NodeId]:
        """Returns the other nodes that share an upstream's limit.

        In a small fleet, where each node polls all others in a few rounds,
        those are the ones that have requests for it.
        """
        alive = self._alive()
        if len(alive) >= peers.SMALL_FLEET_NODES:
            return self._names
        upstream = listed.upstream.upstream_id
        return [peer.node for peer in alive if upstream in peer.limited]

    def _alive(self) -> list[peerstate.Peer]:
        """Returns the nodes that are alive, as of ALIVE_REFRESH_S ago."""
        now = self._clock.now()
        if now >= self._refresh_at:
            self._refresh_at = now + ALIVE_REFRESH_S
            self._alive_peers = self._peers.alive
            names = [peer.node for peer in self._alive_peers]
            if names != self._names:
                self._names = names
        return self._alive_peers

    def _share(
        self, per_s: float, others: list[ids.NodeId]
    ) -> namedlimits.Share:
        if not self._alive():
            return namedlimits.split(per_s, coldrate.ASSUMED_FLEET_NODES)
        return namedlimits.split(per_s, 1 + len(others))

    def reports(self) -> list[ttypes.UpstreamLimit]:
        """Returns the limits to report to other nodes."""
        now = self._clock.now()
        present = self._view.upstreams
        self._limits.trim(
            {listed.incarnation for listed in present.values()}, now
        )
        self._senders.forget(present)
        return [
            ttypes.UpstreamLimit(
                upstream,
                started_ms,
                limit.per_s,
                max(0, int(1000 * (now - limit.named_at))),
                self._limits.is_wanted((upstream, address, started_ms), now),
            )
            for (upstream, address, started_ms), limit in self._limits.reports()
        ]

    def merge(self, reports: list[ttypes.UpstreamLimit]) -> None:
        """Adds the limits that a peer reported.

        Raises:
          Malformed: A limit is no rate.
        """
        now = self._clock.now()
        for report in reports:
            listed = self._view.upstreams.get(ids.UpstreamId(report.upstream))
            if listed is None or (
                listed.upstream.started_ms != report.started_ms
            ):
                continue
            per_s = report.per_s
            if per_s is not None and not 0 < per_s <= namedlimits.MAX_PER_S:
                raise wire_errors.Malformed(f'limit of {per_s} requests/s')
            named_at = now - max(0, report.age_ms or 0) / 1000
            limit = namedlimits.NamedLimit(per_s, named_at)
            if self._limits.note(listed.incarnation, limit):
                self._log(listed, per_s, 'peer')
