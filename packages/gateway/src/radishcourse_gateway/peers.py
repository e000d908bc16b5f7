"""Gossip between the gateway's nodes.

Each round a node pulls from a few peers the rows that are newer than its own,
the nodes that they know, their work in progress at upstreams, and their counts
and states of roll-outs.
"""

import math
import secrets

import anyio

from radishcourse_gateway import crashcodec
from radishcourse_gateway import peerstate
from radishcourse_gateway import records
from radishcourse_gateway import rowcodec
from radishcourse_gateway import settings as gateway_settings
from radishcourse_gateway import view as views
from radishcourse_model import ids
from radishcourse_node import events
from radishcourse_node import resources
from radishcourse_node import timeouts
from radishcourse_policy import evenload
from radishcourse_policy import loadbalancing
from radishcourse_policy import quarantine
from radishcourse_wire import client as peer_client
from radishcourse_wire import credentials
from radishcourse_wire import errors as wire_errors
from radishcourse_wire import messages
from radishcourse_wire import server as peer_server
from radishcourse_wire.gen.peer import ttypes

# The time until a watcher reads a change plus two rounds stays well below 2 s,
# the shortest bound within which a change must be in force.
ROUND_INTERVAL_S = 0.3
# Number of peers that are asked in a round. In a small fleet each node thus
# learns the load of nearly all others; in a large one an update reaches all
# nodes in a few rounds.
SMALL_FLEET_NODES = 16
SMALL_FANOUT = 6
FANOUT = 3
# Number of peers that a node without rows asks for them in a round. Whole
# tables are large in a large fleet: when 100 nodes started at once, the busiest
# sent 475 KB/s if each asked three peers, and 353 KB/s if each asked two.
ROWS_FANOUT = 2
# Rounds from one request for the known nodes to the next. This is well below
# ALIVE_TIMEOUT_S.
FULL_ROUND_INTERVAL = 4
CALL_TIMEOUT_S = 0.6
# Limit on a call that a caller's request waits for.
REQUEST_CALL_TIMEOUT_S = 0.1
# Limit on the wait for a round after a start or a pause of this process.
CATCH_UP_TIMEOUT_S = 2 * CALL_TIMEOUT_S
# A node that was not heard of for this long does not count as alive.
ALIVE_TIMEOUT_S = 3.0
# Minimum number of nodes that follow the store, so that two may fail without
# a gap. The number grows with the square root of the fleet size.
MIN_WATCHERS = 3
MAX_REPORTED_PEERS = 64
_KEY = ids.KeyId('installation')


class Peers:
    """The other nodes, and gossip with them.

    Args:
      current_settings: This node's settings.
      clock: Source of time.
      random: Source of randomness.
      replica: Rows to exchange.
      view: Updated with rows that are new.
      own_timeouts: Limits calls, and tells when this process was paused.
      shared: What other nodes may use of this process; None sets no limits.
    """

    def __init__(
        self,
        current_settings: gateway_settings.CurrentSettings,
        clock,
        random,
        replica: records.Replica,
        view: views.View,
        own_timeouts: timeouts.Timeouts,
        shared: resources.Resources | None = None,
    ):
        shared = shared or resources.Resources(clock)
        self._current_settings = current_settings
        self._clock = clock
        self._random = random
        self._replica = replica
        self._view = view
        self._lateness = own_timeouts.lateness
        self._peers: dict[str, peerstate.Peer] = {}
        self._work = evenload.ReportSums(clock, self._service_s)
        self.incarnation = ids.Incarnation(secrets.token_hex(6))
        own_credentials = credentials.Credentials(
            current_settings.value.node,
            self.incarnation,
            {_KEY: current_settings.value.peer_key},
            _KEY,
        )
        self._client = peer_client.Client(
            own_credentials, own_timeouts.fail_after
        )
        self.server = peer_server.Server(
            own_credentials, shared.reject_peer, shared.peers, shared.open_frame
        )
        self.server.register(messages.MessageKind.SYNC, self._answer_sync)
        self._rounds = 0
        self._started_at = clock.now()
        self._pulling: set[str] = set()
        # When the latest round began that has ended.
        self._heard_at = float('-inf')
        self._round_ended = anyio.Event()
        self._round_wanted = anyio.Event()
        self.rollouts = None
        self.load = None
        self.crashes = None
        self.limits = None
        self.duties = None
        self.speeds = None
        # Where this node takes relayed requests; None if it takes none.
        self.relay_address: str | None = None

    @property
    def _settings(self) -> gateway_settings.Settings:
        return self._current_settings.value

    @property
    def alive(self) -> list[peerstate.Peer]:
        """Other nodes that are known to be alive."""
        limit = self._clock.now() - ALIVE_TIMEOUT_S
        return [
            peer for peer in self._peers.values() if peer.last_heard_at > limit
        ]

    @property
    def lost_count(self) -> int:
        """Number of other nodes that were known lately and are not alive."""
        return len(self._peers) - len(self.alive)

    def find(self, node: str) -> peerstate.Peer | None:
        """Returns a node that was known lately, though it may not be alive.

        In a large fleet, not every node hears of each one often enough.
        """
        return self._peers.get(node)

    @property
    def fleet_size(self) -> int | None:
        """Number of nodes including this one, None while no other is alive."""
        alive = len(self.alive)
        return alive + 1 if alive else None

    @property
    def running_s(self) -> float:
        """Seconds since this node's start."""
        return self._clock.now() - self._started_at

    @property
    def spread_s(self) -> float:
        """Seconds in which rounds bring news to nearly all nodes."""
        others = len(self.alive)
        return quarantine.spread_s(
            others + 1, _fanout(others), ROUND_INTERVAL_S
        )

    def watch_phase(self, table: records.Table) -> float | None:
        """Returns this node's share of the watchers' cycle.

        Above 0 and at most 1 by its rank among the nodes that follow a table
        at the store; None if it is not one of them. Nodes that the store does
        not answer are replaced by others.
        """
        own_weight = loadbalancing.rendezvous_weight(
            table.value, self._settings.node
        )
        ahead = sum(
            loadbalancing.rendezvous_weight(table.value, peer.node) > own_weight
            for peer in self.alive
            if table.value not in peer.lost
        )
        nodes = len(self.alive) + 1
        watchers = min(nodes, max(MIN_WATCHERS, math.isqrt(nodes)))
        return (ahead + 1) / watchers if ahead < watchers else None

    def responsible_for(self, name: str) -> peerstate.Peer | None:
        """Returns the node responsible for a name, None if it is this one."""
        own_weight = loadbalancing.rendezvous_weight(name, self._settings.node)
        weights = {
            peer.node: loadbalancing.rendezvous_weight(name, peer.node)
            for peer in self.alive
        }
        node = max(weights, key=weights.get, default=None)
        if node is None or weights[node] < own_weight:
            return None
        return self._peers[node]

    async def call(
        self,
        peer: peerstate.Peer,
        kind: messages.MessageKind,
        message,
        timeout_s: float = REQUEST_CALL_TIMEOUT_S,
    ):
        """Calls a peer and returns the reply.

        Args:
          peer: The peer.
          kind: Kind of the message.
          message: The message.
          timeout_s: Limit on the call in seconds. By default that of a call
            for which a caller's request waits.

        Raises:
          WireError: There is no valid reply in time.
        """
        return await self._client.call(peer.address, kind, message, timeout_s)

    async def try_call(
        self, peer: peerstate.Peer, kind: messages.MessageKind, message
    ):
        """Calls a peer and returns the reply, None without a valid one in time.

        Args:
          peer: The peer.
          kind: Kind of the message.
          message: The message.
        """
        try:
            return await self.call(peer, kind, message)
        except wire_errors.WireError as error:
            events.log(
                events.Event.PEER_REJECTED,
                address=peer.address,
                reason=str(error),
            )
            return None

    def others_work(self, upstream: ids.UpstreamId) -> evenload.Known:
        """Returns what all other nodes reported of their work at an upstream.

        The reports lose weight with their age.
        """
        return self._work.of(upstream)

    def requests_of(self, node: ids.NodeId) -> dict[ids.UpstreamId, int]:
        """Returns a node's requests in progress as of its latest report."""
        return self._work.requests_of(node)

    @property
    def report_ages_s(self) -> list[float]:
        """Ages of the latest reports of the other nodes that are alive."""
        now = self._clock.now()
        return [
            now - peer.reported_at for peer in self.alive if peer.reported_at
        ]

    def _service_s(self, upstream: ids.UpstreamId) -> float:
        if self.load is None:
            return evenload.DEFAULT_SERVICE_S
        return self.load.service_s(upstream)

    async def run(self) -> None:
        """Runs rounds until cancelled.

        Peers that do not answer delay no later round.
        """
        async with anyio.create_task_group() as tasks:
            while True:
                tasks.start_soon(self.run_round)
                with anyio.move_on_after(ROUND_INTERVAL_S):
                    await self._round_wanted.wait()
                self._round_wanted = anyio.Event()

    async def catch_up(self) -> None:
        """Waits until a round has ended that began while this process ran.

        A process that has just started, or was paused, does not know what its
        peers have learned. A round ends after CALL_TIMEOUT_S at the latest.
        """
        since = max(self._started_at, self._lateness.resumed_at)
        until = since + CATCH_UP_TIMEOUT_S
        while self._heard_at < since and self._clock.now() < until:
            self._round_wanted.set()
            with anyio.move_on_after(until - self._clock.now()):
                await self._round_ended.wait()

    async def run_round(self) -> None:
        """Pulls from the peers of one round."""
        began_at = self._clock.now()
        incomplete = any(
            self._replica.position(table).is_start for table in records.Table
        )
        async with anyio.create_task_group() as tasks:
            for index, address in enumerate(self._choose_peers()):
                with_rows = not incomplete or index < ROWS_FANOUT
                tasks.start_soon(self._pull, address, with_rows)
            self._rounds += 1
        self._heard_at = max(self._heard_at, began_at)
        self._round_ended.set()
        self._round_ended = anyio.Event()

    def _choose_peers(self) -> list[str]:
        """Returns the addresses of the peers of a round, chosen at random.

        Peers that do not count as alive are asked only if there are no others,
        as after a pause of this process.
        """
        addresses = {peer.address for peer in self.alive}
        if not addresses:
            addresses = {peer.address for peer in self._peers.values()}
            addresses |= set(self._settings.seeds)
            addresses.discard(self._settings.peer_listen)
        fanout = min(_fanout(len(addresses)), len(addresses))
        idle = sorted(addresses - self._pulling)
        return self._random.sample(idle, min(fanout, len(idle)))

    async def _pull(self, address: str, with_rows: bool) -> None:
        self._pulling.add(address)
        try:
            await self._exchange(address, with_rows)
        finally:
            self._pulling.discard(address)

    async def _exchange(self, address: str, with_rows: bool) -> None:
        asked_at = self._clock.now()
        request = ttypes.Sync(
            self._own_record(),
            self._topics() if with_rows else [],
            self._rounds % FULL_ROUND_INTERVAL == 0,
            self.crashes.quarantine.state_digest if self.crashes else None,
        )
        try:
            reply = await self._client.call(
                address, messages.MessageKind.SYNC, request, CALL_TIMEOUT_S
            )
            self._apply_reply(reply)
            if self.duties is not None:
                self.duties.merge(reply, asked_at)
            if with_rows:
                self._apply_rows(reply, asked_at)
        except wire_errors.Unreachable:
            return
        except wire_errors.WireError as error:
            events.log(
                events.Event.PEER_REJECTED, address=address, reason=str(error)
            )

    def _own_record(self) -> ttypes.PeerRecord:
        return ttypes.PeerRecord(
            self._settings.node,
            self.incarnation,
            self._settings.zone,
            self._settings.peer_listen,
            0,
            self.relay_address,
        )

    def _topics(self) -> list[ttypes.TopicState]:
        now = self._clock.now()
        states = []
        for table in records.Table:
            confirmed_at = self._replica.confirmed_at(table)
            age_ms = None
            if confirmed_at is not None:
                age_ms = min(3_600_000, int(1000 * (now - confirmed_at)))
            position = self._replica.position(table)
            states.append(
                ttypes.TopicState(
                    table.value,
                    position.version,
                    age_ms,
                    self._replica.is_lost(table),
                    position.era or None,
                    self._replica.revision(table),
                )
            )
        return states

    async def _answer_sync(
        self, sender, request: ttypes.Sync
    ) -> ttypes.SyncReply:
        del sender
        now = self._clock.now()
        self._note_peer(request.sender, now, direct=True)
        topics, rows = self._topics(), []
        by_name = {topic.topic: topic for topic in topics}
        for asked in request.topics or ():
            table = rowcodec.table_of(asked.topic)
            if table is None:
                continue
            changes = self._replica.changes_after(
                table, rowcodec.position_of(asked), asked.revision
            )
            rows += [rowcodec.encode(record) for record in changes.records]
            by_name[asked.topic].complete = changes.complete or None
        reports = self.rollouts.reports() if self.rollouts else []
        statuses = self.rollouts.statuses() if self.rollouts else []
        spare_bytes = 2 * [rows, reports, statuses].count([])
        return ttypes.SyncReply(
            self._own_record(),
            topics,
            rows or None,
            self._peer_records(now) if request.full else None,
            reports or None,
            statuses or None,
            self._reported_work(spare_bytes),
            self._crash_evidence(request, now),
            (self.limits.reports() if self.limits else None) or None,
            self.duties.reports() if self.duties else None,
            self.duties.wall_ms() if self.duties else None,
        )

    def _reported_work(self, spare_bytes: int) -> list[ttypes.UpstreamWork]:
        work = self.load.reported_work() if self.load else []
        if self.speeds is None:
            return work
        return self.speeds.add_speeds(work, spare_bytes)

    def _crash_evidence(
        self, request: ttypes.Sync, now: float
    ) -> list[ttypes.CrashEvidence] | None:
        """Returns the evidence of crashes if the sender's differs."""
        if self.crashes is None or request.crash_digest is None:
            return None
        evidence = self.crashes.quarantine
        if request.crash_digest == evidence.state_digest:
            return None
        return [crashcodec.encode(item, now) for item in evidence.reports()]

    def _peer_records(self, now: float) -> list[ttypes.PeerRecord]:
        alive = self.alive
        if len(alive) > MAX_REPORTED_PEERS:
            alive = self._random.sample(alive, MAX_REPORTED_PEERS)
        return [
            ttypes.PeerRecord(
                peer.node,
                peer.incarnation,
                peer.zone,
                peer.address,
                int(1000 * (now - peer.last_heard_at)),
            )
            for peer in alive
        ]

    def _note_peer(
        self, reported, now: float, direct: bool
    ) -> peerstate.Peer | None:
        if reported is None or not reported.node or not reported.address:
            raise wire_errors.Malformed(
                'peer record without a node id or address'
            )
        if reported.node == self._settings.node:
            return None
        last_heard_at = now if direct else now - (reported.age_ms or 0) / 1000
        peer = self._peers.get(reported.node)
        if peer is None or peer.incarnation != reported.incarnation:
            if peer is not None and last_heard_at < peer.last_heard_at:
                return None
            peer = peerstate.Peer(
                ids.NodeId(reported.node),
                ids.Incarnation(reported.incarnation or ''),
                ids.ZoneId(reported.zone or ''),
                reported.address,
                last_heard_at,
            )
            self._peers[reported.node] = peer
            self._work.withdraw(peer.node)
            events.log(
                events.Event.MEMBER_CHANGED,
                node=peer.node,
                incarnation=peer.incarnation,
                address=peer.address,
                direct=direct,
            )
        peer.last_heard_at = max(peer.last_heard_at, last_heard_at)
        if direct:
            peer.relay_address = reported.relay_address
        return peer

    def _apply_reply(self, reply: ttypes.SyncReply) -> None:
        now = self._clock.now()
        peer = self._note_peer(reply.sender, now, direct=True)
        for reported in reply.peers or ():
            self._note_peer(reported, now, direct=False)
        if peer is not None:
            peer.note_report(reply, now)
            self._work.replace(peer.node, peerstate.work_of(reply))
            if self.speeds is not None:
                self.speeds.merge_speeds(peer.node, reply.work or [])
        if self.limits is not None and reply.limits:
            self.limits.merge(reply.limits)
        if self.rollouts is not None:
            self.rollouts.merge(reply.reports or [], reply.statuses or [])
        if self.crashes is not None and reply.crashes:
            self.crashes.merge(
                [crashcodec.decode(item, now) for item in reply.crashes]
            )
        self._forget(now)

    def _apply_rows(self, reply: ttypes.SyncReply, asked_at: float) -> None:
        for topic in reply.topics or ():
            table = rowcodec.table_of(topic.topic)
            position = rowcodec.position_of(topic)
            if table is None or position.is_start:
                continue
            changes = records.Changes(
                [
                    rowcodec.decode(table, row)
                    for row in reply.rows or ()
                    if row.topic == topic.topic
                    and (topic.complete or self._may_be_new(table, row))
                ],
                position,
                bool(topic.complete),
            )
            new_records = self._replica.apply(table, changes)
            self._view.apply(new_records, 'peer')
            if topic.confirmed_age_ms is not None:
                at = asked_at - topic.confirmed_age_ms / 1000
                self._replica.confirm(table, position, at)

    def _may_be_new(self, table: records.Table, row: ttypes.RowRecord) -> bool:
        """Tells whether a row may be new here.

        Another reply, or the store, may have brought it meanwhile.
        """
        known = self._replica.position(table)
        return row.revision is not None or rowcodec.position_of(row).is_after(
            known
        )

    def _forget(self, now: float) -> None:
        for node, peer in self._peers.items():
            if now - peer.last_heard_at > ALIVE_TIMEOUT_S:
                self._work.withdraw(node)
        gone = [
            node
            for node, peer in self._peers.items()
            if now - peer.last_heard_at > 4 * ALIVE_TIMEOUT_S
        ]
        for node in gone:
            peer = self._peers.pop(node)
            events.log(
                events.Event.MEMBER_CHANGED,
                node=node,
                incarnation=peer.incarnation,
                gone=True,
            )

    async def aclose(self) -> None:
        """Closes the connections to peers."""
        await self._client.aclose()


def _fanout(peers: int) -> int:
    return SMALL_FANOUT if peers < SMALL_FLEET_NODES else FANOUT
