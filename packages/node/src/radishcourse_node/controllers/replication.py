"""Copies bills to other nodes, preferably in other availability zones."""

import hashlib
import typing

import anyio

from radishcourse_model import ids
from radishcourse_model import states
from radishcourse_policy import billing
from radishcourse_wire import errors as wire_errors
from radishcourse_wire import messages
from radishcourse_wire.gen.peer import ttypes

# A bill survives the loss of its owner and of one more node.
COPY_COUNT = 2
TIMEOUT_S = 0.3
# For this long a peer that failed is tried only after all others.
FAILED_PEER_BACKOFF_S = 3.0
MAX_PEERS_TRIED = 6
# Well below the maximum size of a frame.
MAX_MESSAGE_BYTES = 256 * 1024


class Peer(typing.NamedTuple):
    """A node that can hold copies; `zone` is empty if it is not known."""

    node: ids.NodeId
    address: str
    zone: str


class _Batch:
    """Bills that are copied together.

    Attributes:
      records: The bills.
      done: Set when the batch was sent.
      copies: Number of peers that hold all of the bills.
    """

    def __init__(self):
        self.records: list[billing.Record] = []
        self.done = anyio.Event()
        self.copies = 0


class BillReplicator:
    """Sends copies of bills to peers, which are then their holders.

    Bills recorded while a batch is being sent form the next batch. So a single
    bill is sent at once, and under load many bills share a message.

    Args:
      clock: The node's clock.
      settings: The node's settings.
      owner: This node's incarnation.
      peers: Client of the peers.
      membership: The membership controller, or None if there is none.
    """

    def __init__(self, clock, settings, owner, peers, membership=None):
        self._clock = clock
        self._settings = settings
        self._owner = owner
        self._peers = peers
        self._membership = membership
        self._failed_at: dict[ids.NodeId, float] = {}
        self._next_batch = _Batch()
        self._sending = anyio.Lock()

    async def replicate(self, record: billing.Record) -> int:
        """Copies a bill of this node with the next batch.

        Returns:
          Number of peers that hold a copy.
        """
        batch = self._next_batch
        batch.records.append(record)
        async with self._sending:
            if not batch.done.is_set():
                self._next_batch = _Batch()
                batch.copies = await self.copy(self._owner, batch.records)
                batch.done.set()
        return batch.copies

    async def copy(self, owner: str, records: list[billing.Record]) -> int:
        """Copies records to peers; returns how many of them hold all."""
        holders = await self._send(owner, _split_records(records))
        return len(holders)

    async def restore(self, owner: str, records: list[billing.Record]) -> int:
        """Copies records again to holders that lack some of them.

        Holders reply with the number of records that they hold; one that was
        restarted holds none.

        Returns:
          Number of peers that hold all records.
        """
        chunks = _split_records(records)
        holders = await self._send(owner, [[]], len(records), chunks)
        return len(holders)

    async def _send(
        self, owner, chunks, expected: int = 0, all_chunks=()
    ) -> list[Peer]:
        """Sends chunks of records until `COPY_COUNT` peers hold them.

        A peer that then holds fewer than `expected` records of the owner gets
        `all_chunks` too.

        Returns:
          The peers that confirmed all that they were sent.
        """
        holders: list[Peer] = []
        tried = 0
        peers = self._rank_peers(owner)
        while peers and len(holders) < COPY_COUNT and tried < MAX_PEERS_TRIED:
            wanted = COPY_COUNT - len(holders)
            asked, peers = peers[:wanted], peers[wanted:]
            tried += len(asked)
            async with anyio.create_task_group() as tasks:
                for peer in asked:
                    tasks.start_soon(
                        self._send_to,
                        peer,
                        owner,
                        chunks,
                        expected,
                        all_chunks,
                        holders,
                    )
        return holders

    async def _send_to(
        self, peer, owner, chunks, expected, all_chunks, holders
    ) -> None:
        try:
            held = await self._send_chunks(peer, owner, chunks)
            if held < expected:
                await self._send_chunks(peer, owner, all_chunks)
        except wire_errors.WireError:
            self._failed_at[peer.node] = self._clock.now()
            return
        self._failed_at.pop(peer.node, None)
        holders.append(peer)

    async def _send_chunks(self, peer: Peer, owner, chunks) -> int:
        held = 0
        for chunk in chunks:
            message = ttypes.HoldBills(
                owner=owner,
                bills=[ttypes.BillRecord(*record) for record in chunk],
            )
            reply = await self._peers.call(
                peer.address,
                messages.MessageKind.HOLD_BILLS,
                message,
                TIMEOUT_S,
            )
            held = reply.held
        return held

    def _rank_peers(self, owner: str) -> list[Peer]:
        """Returns the peers in the order in which they are tried.

        Rendezvous hashing gives an owner the same order at all nodes, so that
        its records are held by few nodes.
        """
        now = self._clock.now()
        owner_node = owner.rpartition('.')[0]
        peers = sorted(
            (peer for peer in self._candidates() if peer.node != owner_node),
            key=lambda peer: (
                now - self._failed_at.get(peer.node, -FAILED_PEER_BACKOFF_S)
                < FAILED_PEER_BACKOFF_S,
                peer.zone == self._settings.zone,
                _weight(owner, peer.node),
            ),
        )
        return _prefer_two_zones(peers)

    def _candidates(self) -> list[Peer]:
        if self._membership is not None and self._membership.members:
            return [
                Peer(node, self._membership.address(node), member.zone)
                for node, member in self._membership.members.items()
                if member.state
                in (states.MemberState.ALIVE, states.MemberState.JOINING)
            ]
        routes = self._settings.peer_routes
        return [
            Peer(seed.node, routes.get(seed.node, seed.address), '')
            for seed in self._settings.seeds
            if seed.node != self._settings.node
        ]


def _prefer_two_zones(peers: list[Peer]) -> list[Peer]:
    """Moves the first peer of a second zone to the second place."""
    for index, peer in enumerate(peers[1:], 1):
        if peer.zone != peers[0].zone:
            return [peers[0], peer, *peers[1:index], *peers[index + 1 :]]
    return peers


def _weight(owner: str, node: str) -> bytes:
    return hashlib.sha256(f'{owner}\0{node}'.encode()).digest()


def _split_records(records: list[billing.Record]) -> list[list[billing.Record]]:
    chunks: list[list[billing.Record]] = [[]]
    size = 0
    for record in records:
        size += len(record.packed) + billing.RECORD_OVERHEAD_BYTES
        if chunks[-1] and size > MAX_MESSAGE_BYTES:
            chunks.append([])
            size = len(record.packed)
        chunks[-1].append(record)
    return chunks
