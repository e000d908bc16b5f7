"""Rows that nodes pull from their peers."""

import random
import types

import anyio
import testtools

from radishcourse_gateway import peers
from radishcourse_gateway import records
from radishcourse_node import timeouts
from radishcourse_policy import clock as clocks
from radishcourse_policy import position as positions
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


class FleetStartTest(testtools.TestCase):
    """Guards against overload by whole tables when all nodes start at once."""

    def setUp(self):
        super().setUp()
        self.replica = records.Replica(clocks.ManualClock(100.0))
        settings = types.SimpleNamespace(
            node='front-0',
            zone='zone-a',
            peer_listen='127.0.0.1:1',
            peer_key=b'key',
            seeds=[f'127.0.0.1:{port}' for port in range(2, 40)],
        )
        self.peers = peers.Peers(
            types.SimpleNamespace(value=settings),
            clocks.ManualClock(100.0),
            random.Random(1),
            self.replica,
            types.SimpleNamespace(apply=lambda rows, source: None),
            timeouts.Timeouts(clocks.ManualClock(100.0)),
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
