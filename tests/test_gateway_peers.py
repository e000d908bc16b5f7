"""Rows that nodes pull from their peers."""

import random
import types

import anyio
import testtools

from radishcourse_gateway import feed
from radishcourse_gateway import peers
from radishcourse_gateway import records
from radishcourse_node import resources
from radishcourse_node import timeouts
from radishcourse_policy import clock as clocks
from radishcourse_policy import position as positions
from radishcourse_wire import codec
from radishcourse_wire import errors as wire_errors
from radishcourse_wire.gen.peer import ttypes

POSITION = positions.Position(1, 3)
ROW = records.Record(records.Table.UPSTREAMS, 'engine-1', POSITION, b'{}')


class _Client:
    """Peer client that records requests; every call fails."""

    def __init__(self):
        self.requests: list[ttypes.Sync] = []

    async def call(self, address, kind, request, timeout_s):
        del kind, timeout_s
        self.requests.append(request)
        raise wire_errors.Unreachable(address)


class _Store:
    """Store that records how long its long polls may wait.

    Args:
      replies: The rows of each reply.
    """

    def __init__(self, replies: list[list[records.Record]]):
        self._replies = iter(replies)
        self.waits_s: list[float] = []

    async def follow(self, table, position, wait_s) -> records.Changes:
        del table, position
        self.waits_s.append(wait_s)
        return records.Changes(next(self._replies), POSITION)


def _make_peers(node: str, clock, replica=None, seeds=()) -> peers.Peers:
    settings = types.SimpleNamespace(
        node=node,
        zone='zone-a',
        peer_listen='127.0.0.1:1',
        peer_key=b'key',
        seeds=list(seeds),
    )
    return peers.Peers(
        types.SimpleNamespace(value=settings),
        clock,
        random.Random(1),
        replica or records.Replica(clock),
        types.SimpleNamespace(apply=lambda rows, source: None),
        timeouts.Timeouts(clock),
        resources.Resources(clock),
    )


class FleetStartTest(testtools.TestCase):
    """Guards against overload by whole tables when all nodes start at once."""

    def setUp(self):
        super().setUp()
        clock = clocks.ManualClock(100.0)
        self.replica = records.Replica(clock)
        self.peers = _make_peers(
            'front-0',
            clock,
            self.replica,
            [f'127.0.0.1:{port}' for port in range(2, 40)],
        )
        self.client = self.peers._client = _Client()

    def _asked_for_rows(self) -> int:
        anyio.run(self.peers.run_round)
        return sum(bool(request.topics) for request in self.client.requests)

    def test_node_without_rows_asks_few_peers_for_them(self):
        self.assertEqual(peers.ROWS_FANOUT, self._asked_for_rows())
        self.assertEqual(peers.FANOUT, len(self.client.requests))

    def test_node_with_rows_asks_all_peers_for_newer_ones(self):
        for table in records.Table:
            self.replica.apply(
                table, records.Changes([], positions.Position(1, 1))
            )
        self.assertEqual(peers.FANOUT, self._asked_for_rows())

    def test_known_rows_are_not_decompressed(self):
        self.replica.apply(
            records.Table.UPSTREAMS, records.Changes([ROW], POSITION, True)
        )
        broken = ttypes.RowRecord(
            'upstreams', 'engine-1', 3, b'not packed', era=1
        )
        topic = ttypes.TopicState('upstreams', 3, 0, era=1)
        reply = ttypes.SyncReply(None, [topic], [broken], None, [], [], [])
        self.peers._apply_rows(reply, 100.0)
        self.assertEqual([ROW], list(self.replica.rows(ROW.table)))


class RelayAddressTest(testtools.TestCase):
    """Guards against requests that are relayed where they are not taken."""

    def setUp(self):
        super().setUp()
        self.clock = clocks.ManualClock(100.0)
        self.peers = _make_peers('front-0', self.clock)

    def _hear(self, direct: bool, relay_address: str | None, run='run'):
        record = ttypes.PeerRecord(
            'front-1', run, 'zone-a', '127.0.0.1:2', 0, relay_address
        )
        data = codec.encode(record)
        record = codec.decode(ttypes.PeerRecord, data)
        self.peers._note_peer(record, self.clock.now(), direct)
        return self.peers.find('front-1').relay_address

    def test_address_is_learned_from_the_peer_itself(self):
        self.assertEqual('127.0.0.1:3', self._hear(True, '127.0.0.1:3'))
        # Others do not report it.
        self.assertEqual('127.0.0.1:3', self._hear(False, None))

    def test_restarted_peer_without_the_listener_gets_none(self):
        self._hear(True, '127.0.0.1:3')
        self.assertIsNone(self._hear(False, None, run='next'))
        self.assertIsNone(self._hear(True, None, run='next'))

    def test_own_record_has_the_address(self):
        self.assertIsNone(self.peers._own_record().relay_address)
        self.peers.relay_address = '127.0.0.1:4'
        own = self.peers._own_record()
        self.assertEqual('127.0.0.1:4', own.relay_address)


class WatcherTest(testtools.TestCase):
    """Guards against watchers whose confirmations all come at one moment.

    The other nodes would then take their rows for stale and poll the store.
    """

    NODES = 8

    def _phase(self, number: int) -> float | None:
        """Returns the phase of a node that knows all others."""
        clock = clocks.ManualClock(100.0)
        node = _make_peers(f'front-{number}', clock)
        for other in range(self.NODES):
            record = ttypes.PeerRecord(
                f'front-{other}', 'run', 'zone-a', f'127.0.0.1:{other + 2}', 0
            )
            node._note_peer(record, clock.now(), direct=True)
        return node.watch_phase(records.Table.UPSTREAMS)

    def test_few_nodes_watch_and_each_has_its_own_phase(self):
        phases = [self._phase(number) for number in range(self.NODES)]
        watching = sorted(phase for phase in phases if phase is not None)
        self.assertEqual([1 / 3, 2 / 3, 1.0], watching)

    def test_poll_after_a_change_waits_for_a_part_of_the_cycle(self):
        clock, table = clocks.ManualClock(100.0), records.Table.UPSTREAMS
        store = _Store([[ROW], [], []])
        replica = records.Replica(clock)
        replica.apply(
            table, records.Changes([], positions.Position(1, 2), complete=True)
        )
        follower = feed.Feed(
            clock,
            store,
            replica,
            types.SimpleNamespace(apply=lambda rows, source: None),
            table,
            lambda table: 1 / 3,
            lambda: 2.0,
        )

        async def poll() -> None:
            for _ in range(3):
                await follower._poll()

        anyio.run(poll)
        whole, part = feed.LONG_POLL_S, feed.LONG_POLL_S / 3
        self.assertEqual([part, part, whole], store.waits_s)
