"""Nodes tell each other what they know.

Each round a node asks a few others for rows that are newer than its own,
for the nodes that they heard of, for work in progress at upstreams, and for
what they saw of roll-outs.
"""

import dataclasses
import math
import secrets
import typing

import anyio

from radishcourse_gateway import records
from radishcourse_gateway import rowcodec
from radishcourse_gateway import settings as gateway_settings
from radishcourse_gateway import view as views
from radishcourse_model import ids
from radishcourse_node import events
from radishcourse_policy import loadbalancing
from radishcourse_wire import client as peer_client
from radishcourse_wire import credentials
from radishcourse_wire import errors as wire_errors
from radishcourse_wire import messages
from radishcourse_wire import server as peer_server
from radishcourse_wire.gen.peer import ttypes

# Two rounds and a change at a watcher stay well below the shortest bound
# (2 s) within which a change must be in force.
ROUND_S = 0.3
# Nodes that are asked in a round. In a small fleet each node hears of nearly
# all others' loads; in a large one news reach all in a few rounds.
SMALL_FLEET = 16
SMALL_FANOUT = 6
FANOUT = 3
# Nodes that one without rows asks for them in a round. Whole tables are long in
# a large fleet: the busiest of 100 nodes sent 475 KB a second in a start of all
# when each asked three, 353 KB when it asked two.
ROWS_FANOUT = 2
# Other nodes are told of in each such round only; it is well below the time
# after which a node counts as gone.
FULL_ROUNDS = 4
CALL_TIMEOUT_S = 0.6
# A node that was not heard of for this long is taken as gone.
ALIVE_S = 3.0
# Nodes that follow the store, at least; two may fail without a gap. Their
# number grows with the square root of the fleet.
WATCHERS = 3
MAX_PEERS_TOLD = 64
_KEY = ids.KeyId('installation')


class Work(typing.NamedTuple):
    """What a node has at an upstream.

    Attributes:
      requests: Requests in progress.
      waiting_s: Seconds of prompts that wait to be read.
      doubted: Whether its latest requests there failed.
    """

    requests: int = 0
    waiting_s: float = 0.0
    doubted: bool = False


class Others(typing.NamedTuple):
    """What all other nodes have at an upstream."""

    requests: int
    waiting_s: float
    doubters: int


@dataclasses.dataclass
class Peer:
    """Another node.

    Attributes:
      node: Its id.
      incarnation: One life of its process.
      zone: Its availability zone.
      address: Where it answers peers.
      heard_at: When it was last known to live.
      work: What it has at upstreams.
      told_at: When it told of its work.
    """

    node: ids.NodeId
    incarnation: ids.Incarnation
    zone: ids.ZoneId
    address: str
    heard_at: float
    work: dict[ids.UpstreamId, Work] = dataclasses.field(default_factory=dict)
    told_at: float = 0.0


class Peers:
    """The other nodes, and the exchange with them.

    Args:
      current: This node's settings.
      clock: Source of time.
      random: Source of randomness.
      replica: Rows to exchange.
      view: Told of rows that are new.
    """

    def __init__(
        self,
        current: gateway_settings.CurrentSettings,
        clock,
        random,
        replica: records.Replica,
        view: views.View,
    ):
        self._current = current
        self._clock = clock
        self._random = random
        self._replica = replica
        self._view = view
        self._peers: dict[str, Peer] = {}
        self.incarnation = ids.Incarnation(secrets.token_hex(6))
        own = credentials.Credentials(
            current.value.node,
            self.incarnation,
            {_KEY: current.value.peer_key},
            _KEY,
        )
        self._client = peer_client.Client(own)
        self.server = peer_server.Server(own, _note_reject)
        self.server.register(messages.MessageKind.SYNC, self._answer)
        self._rounds = 0
        self.rollouts = None
        self.load = None

    @property
    def _settings(self) -> gateway_settings.Settings:
        return self._current.value

    @property
    def alive(self) -> list[Peer]:
        """Nodes that were heard of lately."""
        limit = self._clock.now() - ALIVE_S
        return [peer for peer in self._peers.values() if peer.heard_at > limit]

    @property
    def fleet(self) -> int | None:
        """Number of nodes with this one, None while none was heard of."""
        alive = len(self.alive)
        return alive + 1 if alive else None

    def is_watcher(self, table: records.Table) -> bool:
        """Tells whether this node is one of those that follow the store."""
        own = loadbalancing.rendezvous_weight(table.value, self._settings.node)
        ahead = sum(
            loadbalancing.rendezvous_weight(table.value, peer.node) > own
            for peer in self.alive
        )
        return ahead < max(WATCHERS, math.isqrt(len(self.alive) + 1))

    def work(self, upstream: ids.UpstreamId) -> Others:
        """Returns what all other nodes have at an upstream.

        Prompts that waited when a node told of them have been read in part
        since.
        """
        now = self._clock.now()
        requests, waiting_s, doubters = 0, 0.0, 0
        for peer in self.alive:
            told = peer.work.get(upstream)
            if told is None:
                continue
            requests += told.requests
            waiting_s += max(0.0, told.waiting_s - (now - peer.told_at))
            doubters += told.doubted
        return Others(requests, waiting_s, doubters)

    async def run(self) -> None:
        """Asks peers in rounds until cancelled."""
        while True:
            await self.exchange()
            await anyio.sleep(ROUND_S)

    async def exchange(self) -> None:
        """Asks the peers of one round."""
        lacking = not all(map(self._replica.version, records.Table))
        async with anyio.create_task_group() as tasks:
            for index, address in enumerate(self._targets()):
                with_rows = not lacking or index < ROWS_FANOUT
                tasks.start_soon(self._pull, address, with_rows)
        self._rounds += 1

    def _targets(self) -> list[str]:
        """Returns the peers of a round; all of a small fleet."""
        known = sorted(peer.address for peer in self.alive)
        if not known:
            own = self._settings.peer_listen
            known = [seed for seed in self._settings.seeds if seed != own]
        fanout = SMALL_FANOUT if len(known) < SMALL_FLEET else FANOUT
        return self._random.sample(known, min(fanout, len(known)))

    async def _pull(self, address: str, with_rows: bool) -> None:
        asked_at = self._clock.now()
        request = ttypes.Sync(
            self._describe(),
            self._topics() if with_rows else [],
            self._rounds % FULL_ROUNDS == 0,
        )
        try:
            reply = await self._client.call(
                address, messages.MessageKind.SYNC, request, CALL_TIMEOUT_S
            )
            self._take(reply)
            if with_rows:
                self._take_rows(reply, asked_at)
        except wire_errors.Unreachable:
            return
        except wire_errors.WireError as error:
            events.log(
                events.Event.PEER_REJECTED, address=address, reason=str(error)
            )

    def _describe(self) -> ttypes.PeerRecord:
        return ttypes.PeerRecord(
            self._settings.node,
            self.incarnation,
            self._settings.zone,
            self._settings.peer_listen,
            0,
        )

    def _topics(self) -> list[ttypes.TopicState]:
        now = self._clock.now()
        states = []
        for table in records.Table:
            confirmed_at = self._replica.confirmed_at(table)
            age_ms = None
            if confirmed_at is not None:
                age_ms = min(3_600_000, int(1000 * (now - confirmed_at)))
            version = self._replica.version(table)
            states.append(ttypes.TopicState(table.value, version, age_ms))
        return states

    async def _answer(self, sender, request: ttypes.Sync) -> ttypes.SyncReply:
        del sender
        now = self._clock.now()
        self._hear(request.sender, now, direct=True)
        rows = []
        for topic in request.topics or ():
            table = rowcodec.table_of(topic.topic)
            if table is None:
                continue
            changes = self._replica.changes_after(table, topic.version)
            rows += [rowcodec.encode(record) for record in changes.records]
        return ttypes.SyncReply(
            self._describe(),
            self._topics(),
            rows,
            self._tell_peers(now) if request.full else None,
            self.rollouts.reports() if self.rollouts else [],
            self.rollouts.statuses() if self.rollouts else [],
            self.load.told() if self.load else [],
        )

    def _tell_peers(self, now: float) -> list[ttypes.PeerRecord]:
        alive = self.alive
        if len(alive) > MAX_PEERS_TOLD:
            alive = self._random.sample(alive, MAX_PEERS_TOLD)
        return [
            ttypes.PeerRecord(
                peer.node,
                peer.incarnation,
                peer.zone,
                peer.address,
                int(1000 * (now - peer.heard_at)),
            )
            for peer in alive
        ]

    def _hear(self, told, now: float, direct: bool) -> Peer | None:
        if told is None or not told.node or not told.address:
            raise wire_errors.Malformed('a peer without a name or address')
        if told.node == self._settings.node:
            return None
        heard_at = now if direct else now - (told.age_ms or 0) / 1000
        peer = self._peers.get(told.node)
        if peer is None or peer.incarnation != told.incarnation:
            if peer is not None and heard_at < peer.heard_at:
                return None
            peer = Peer(
                ids.NodeId(told.node),
                ids.Incarnation(told.incarnation or ''),
                ids.ZoneId(told.zone or ''),
                told.address,
                heard_at,
            )
            self._peers[told.node] = peer
            events.log(
                events.Event.MEMBER_CHANGED,
                node=peer.node,
                incarnation=peer.incarnation,
                address=peer.address,
                direct=direct,
            )
        peer.heard_at = max(peer.heard_at, heard_at)
        return peer

    def _take(self, reply: ttypes.SyncReply) -> None:
        now = self._clock.now()
        peer = self._hear(reply.sender, now, direct=True)
        for told in reply.peers or ():
            self._hear(told, now, direct=False)
        if peer is not None:
            peer.told_at = now
            peer.work = {
                ids.UpstreamId(item.upstream): Work(
                    item.requests,
                    item.waiting_ms / 1000,
                    bool(item.doubted),
                )
                for item in reply.work or ()
            }
        if self.rollouts is not None:
            self.rollouts.merge(reply.reports or [], reply.statuses or [])
        self._forget(now)

    def _take_rows(self, reply: ttypes.SyncReply, asked_at: float) -> None:
        by_table: dict[records.Table, list[records.Record]] = {}
        for row in reply.rows or ():
            table = rowcodec.table_of(row.topic)
            # Another answer, or the store, may have brought it meanwhile.
            if table is not None and row.version > self._replica.version(table):
                by_table.setdefault(table, []).append(
                    rowcodec.decode(table, row)
                )
        for topic in reply.topics or ():
            table = rowcodec.table_of(topic.topic)
            if table is None or not topic.version:
                continue
            changes = records.Changes(by_table.get(table, []), topic.version)
            taken = self._replica.apply(table, changes)
            self._view.take(taken, 'peer')
            if topic.confirmed_age_ms is not None:
                at = asked_at - topic.confirmed_age_ms / 1000
                self._replica.confirm(table, topic.version, at)

    def _forget(self, now: float) -> None:
        gone = [
            node
            for node, peer in self._peers.items()
            if now - peer.heard_at > 4 * ALIVE_S
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


def _note_reject(reason: str) -> None:
    events.log(events.Event.PEER_REJECTED, reason=reason)
