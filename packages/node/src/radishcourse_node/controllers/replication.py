"""Copies of bills at other nodes, preferably in other zones."""

import hashlib
import typing

import anyio

from radishcourse_model import ids
from radishcourse_model import states
from radishcourse_policy import billing
from radishcourse_wire import errors as wire_errors
from radishcourse_wire import messages
from radishcourse_wire.gen.peer import ttypes

# A bill survives its owner and one more node.
COPY_COUNT = 2
TIMEOUT_S = 0.3
# A peer that failed is asked again only after the others for this long.
FAILED_PEER_BACKOFF_S = 3.0
MAX_TRIES = 6
# Well below the largest frame.
MAX_MESSAGE_BYTES = 256 * 1024


class Peer(typing.NamedTuple):
    """A node that can hold copies; zone is empty while it is unknown."""

    node: ids.NodeId
    address: str
    zone: str


class _Batch:
    """Bills that are copied together."""

    def __init__(self):
        self.records: list[billing.Record] = []
        self.done = anyio.Event()
        self.copies = 0


class BillReplicator:
    """Chooses holders and sends copies to them.

    Bills recorded while a copy is on its way form the next group, so a
    lone bill does not wait and many share one message.

    Args:
      clock: The node's clock.
      settings: The node's settings.
      owner: This node's incarnation.
      peers: Client of the peers.
      membership: The membership controller, or None while there is none.
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
        """Copies a bill of this node with the next group.

        Returns:
          How many peers hold the copy.
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
        """Copies records to holders and returns how many hold all of them."""
        holders = await self._send(owner, _split_records(records))
        return len(holders)

    async def restore(self, owner: str, records: list[billing.Record]) -> int:
        """Copies records again where holders lack some of them.

        A holder that was replaced comes back empty. Its count tells.
        """
        chunks = _split_records(records)
        holders = await self._send(owner, [[]], len(records), chunks)
        return len(holders)

    async def _send(
        self, owner, chunks, expected: int = 0, all_chunks=()
    ) -> list[Peer]:
        holders: list[Peer] = []
        tries = 0
        peers = self._rank_peers(owner)
        while peers and len(holders) < COPY_COUNT and tries < MAX_TRIES:
            wanted = COPY_COUNT - len(holders)
            asked, peers = peers[:wanted], peers[wanted:]
            tries += len(asked)
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
        """Returns peers in the order in which they are asked.

        The order of an owner is the same at all nodes (highest random
        weight), so that its records gather at few nodes.
        """
        now = self._clock.now()
        name = owner.rpartition('.')[0]
        peers = sorted(
            (peer for peer in self._candidates() if peer.node != name),
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
    """Moves a peer of another zone than the first to the second place."""
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
