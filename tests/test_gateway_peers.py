"""What nodes ask each other for."""

import random
import types

import anyio
import testtools

from radishcourse_gateway import peers as exchanges
from radishcourse_gateway import records
from radishcourse_policy import clock as clocks
from radishcourse_wire import errors as wire_errors
from radishcourse_wire.gen.peer import ttypes

ROW = records.Record(records.Table.UPSTREAMS, 'engine-1', 3, b'{}')


class _Client:
    """Notes requests; answers none of them."""

    def __init__(self):
        self.asked: list[ttypes.Sync] = []

    async def call(self, address, kind, request, timeout_s):
        del kind, timeout_s
        self.asked.append(request)
        raise wire_errors.Unreachable(address)


class StartTest(testtools.TestCase):
    """Guards against a fleet that starts at once and chokes on whole tables."""

    def setUp(self):
        super().setUp()
        self.replica = records.Replica()
        settings = types.SimpleNamespace(
            node='front-0',
            zone='zone-a',
            peer_listen='127.0.0.1:1',
            peer_key=b'key',
            seeds=[f'127.0.0.1:{port}' for port in range(2, 40)],
        )
        self.peers = exchanges.Peers(
            types.SimpleNamespace(value=settings),
            clocks.ManualClock(100.0),
            random.Random(1),
            self.replica,
            types.SimpleNamespace(apply=lambda rows, source: None),
        )
        self.client = self.peers._client = _Client()

    def _asked_for_rows(self) -> int:
        anyio.run(self.peers.exchange)
        return sum(bool(request.topics) for request in self.client.asked)

    def test_node_without_rows_asks_few_for_them(self):
        self.assertEqual(exchanges.ROWS_FANOUT, self._asked_for_rows())
        self.assertEqual(exchanges.FANOUT, len(self.client.asked))

    def test_node_with_rows_asks_all_for_newer_ones(self):
        for table in records.Table:
            self.replica.apply(table, records.Changes([], 1))
        self.assertEqual(exchanges.FANOUT, self._asked_for_rows())

    def test_rows_that_are_known_are_not_unpacked_again(self):
        self.replica.apply(
            records.Table.UPSTREAMS, records.Changes([ROW], 3, True)
        )
        broken = ttypes.RowRecord('upstreams', 'engine-1', 3, b'not packed')
        topic = ttypes.TopicState('upstreams', 3, 0)
        reply = ttypes.SyncReply(None, [topic], [broken], None, [], [], [])
        self.peers._take_rows(reply, 100.0)
        self.assertEqual([ROW], list(self.replica.rows(ROW.table)))
