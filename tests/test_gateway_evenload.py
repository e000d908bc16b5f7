"""Choices of gateways that know the others' load from old reports only.

The nodes are the gateway's own, without processes and network.
"""

import collections
import contextlib
import random
import sys
import types

import testtools

from radishcourse_gateway import load
from radishcourse_gateway import peers
from radishcourse_gateway import records
from radishcourse_gateway import targets
from radishcourse_gateway import upstreams
from radishcourse_gateway import view as views
from radishcourse_model import ids
from radishcourse_node import metrics
from radishcourse_node import resources
from radishcourse_node import timeouts
from radishcourse_policy import clock as clocks
from radishcourse_wire import codec
from radishcourse_wire.gen.peer import ttypes

SERVICE = ids.ServiceId('plain')
# Service time of the plain upstreams, and their slots.
SERVICE_S = 0.06
SLOTS = 6


class _Node:
    """A gateway's choice of upstreams, with the parts that it uses."""

    def __init__(self, clock, seed: int, count: int = 4):
        self.clock = clock
        source = random.Random(seed)
        settings = types.SimpleNamespace(
            node=ids.NodeId(f'own-{seed}'), zone=ids.ZoneId('a'),
            peer_listen='own:1', peer_key=b'key', seeds=[],
        )  # fmt: skip
        self.listed = [
            views.ListedUpstream(
                upstreams.Upstream(
                    ids.UpstreamId(f'u{number}'), SERVICE, f'10.0.0.{number}:1',
                    ids.ZoneId('a'), ids.VersionId('v1'), SLOTS,
                )
            )
            for number in range(count)
        ]  # fmt: skip
        self.load = load.Load(clock)
        self.peers = peers.Peers(
            types.SimpleNamespace(value=settings), clock, source,
            records.Replica(clock), None, timeouts.Timeouts(clock),
            resources.Resources(clock),
        )  # fmt: skip
        self.peers.load = self.load
        self.targets = targets.Targets(
            types.SimpleNamespace(
                environment=types.SimpleNamespace(clock=clock, random=source),
                current_settings=types.SimpleNamespace(value=settings),
                view=types.SimpleNamespace(
                    usable=lambda service: list(self.listed),
                    directory=None,
                    upstreams={
                        item.upstream.upstream_id: item for item in self.listed
                    },
                ),
                load=self.load,
                peers=self.peers,
                rollouts=types.SimpleNamespace(version_for=lambda *names: None),
                limits=types.SimpleNamespace(
                    is_limited=lambda listed: False,
                    wait_s=lambda listed, heavy=True: 0.0,
                    take=lambda listed: None,
                ),
                brittle=types.SimpleNamespace(
                    wait_s=lambda listed: 0.0,
                    admitted=lambda candidates, refused: candidates,
                ),
            )
        )
        self.requests = contextlib.ExitStack()

    def serve_some(self) -> None:
        """Serves requests before, so that the service time is known."""
        for listed in self.listed:
            for _ in range(20):
                with self.load.count(listed.upstream.upstream_id, 0.0) as done:
                    self.clock.advance(SERVICE_S)
                    done()

    def hear(self, node: str, work: dict[str, int]) -> None:
        """Receives another node's report of requests in progress."""
        self.peers._apply_reply(
            ttypes.SyncReply(
                ttypes.PeerRecord(node, 'run', 'a', f'{node}:1', 0),
                [], [], None, [], [],
                [
                    ttypes.UpstreamWork(name, count, 0, False)
                    for name, count in work.items()
                ],
            )
        )  # fmt: skip

    def send(self) -> str:
        """Chooses an upstream for a request, which stays in progress."""
        request = types.SimpleNamespace(
            session=None, request_id='r', size=None, prefix_key=None
        )
        plan = targets.Plan(service=SERVICE)
        name = self.targets.choose(request, plan).upstream.upstream_id
        self.requests.enter_context(self.load.count(name, 0.0))
        return name


# One upstream is idle by the news, the others have all slots in use.
NEWS = {'u0': 0, 'u1': 1, 'u2': 1, 'u3': 1}
OTHERS = 6


def _make_node(clock, seed: int) -> _Node:
    node = _Node(clock, seed)
    node.serve_some()
    for number in range(OTHERS):
        node.hear(f'n{number}', NEWS)
    return node


class CutOffTest(testtools.TestCase):
    """Guards against ejections by a cut node that reach the others."""

    def setUp(self):
        super().setUp()
        self.load = load.Load(clocks.ManualClock(100.0))
        self.load.is_cut_off = lambda upstream: upstream == 'u0'
        self.load.note_broken('u0', 'connect failed')
        self.load.note_broken('u1', 'connect failed')

    def test_only_ejections_by_a_node_that_is_not_cut_off_are_reported(self):
        (work,) = self.load.reported_work()
        self.assertEqual(('u1', True), (work.upstream, work.doubted))
        self.assertTrue(self.load.is_ejected('u0'))

    def test_requests_are_reported_without_the_ejection(self):
        with self.load.count('u0', 0.0):
            work = {item.upstream: item for item in self.load.reported_work()}
            self.assertEqual(1, work['u0'].requests)
            self.assertIsNone(work['u0'].doubted)

    def test_node_that_is_in_touch_again_uses_all_upstreams(self):
        self.load.clear_ejection('u0')
        self.assertFalse(self.load.is_ejected('u0'))
        self.assertTrue(self.load.is_ejected('u1'))


class OldNewsTest(testtools.TestCase):
    """Guards against nodes that believe reports until the next ones come.

    Service times are 60 ms, and the reports 2 s old.
    """

    def test_nodes_with_the_same_news_do_not_choose_alike(self):
        """All 71 sent their request to the one that had been idle."""
        chosen = collections.Counter()
        for seed in range(71):
            node = _make_node(clocks.ManualClock(100.0), seed)
            node.clock.advance(2.0)
            chosen[node.send()] += 1
        # 17.75 are expected; four standard errors.
        self.assertLess(chosen['u0'], 17.75 + 4 * 3.65)

    def test_waking_node_spreads_what_came_meanwhile(self):
        """It sent 11 of 24 at once to the upstream that had been idle."""
        most = 0
        for seed in range(10):
            node = _make_node(clocks.ManualClock(100.0), seed)
            node.clock.advance(2.0)
            chosen = collections.Counter(node.send() for _ in range(24))
            most = max(most, *chosen.values())
        # Slots of an upstream, and half as many again that wait.
        self.assertLessEqual(most, 1.5 * SLOTS)

    def test_ejection_ends_although_no_new_report_comes(self):
        """A report of a full upstream kept all away for many seconds."""
        clock = clocks.ManualClock(100.0)
        node = _Node(clock, 1)
        for number in range(3):
            node.peers._apply_reply(
                ttypes.SyncReply(
                    ttypes.PeerRecord(f'n{number}', 'run', 'a', f'{number}:1'),
                    [], [], None, [], [],
                    [ttypes.UpstreamWork('u0', 0, 0, True)],
                )
            )  # fmt: skip
        self.assertNotIn('u0', {node.send() for _ in range(12)})
        clock.advance(2.5)
        self.assertIn('u0', {node.send() for _ in range(24)})


class FullTest(testtools.TestCase):
    """Guards against an upstream that is ejected as it was full once."""

    def test_refusal_as_full_is_no_ejection(self):
        node = _Node(clocks.ManualClock(100.0), 1)
        node.serve_some()
        node.load.note_full(ids.UpstreamId('u0'))
        self.assertFalse(node.load.is_ejected(ids.UpstreamId('u0')))
        # Nothing of it is said to other nodes, which would avoid it too.
        self.assertEqual([], node.load.reported_work())
        chosen = collections.Counter(node.send() for _ in range(20))
        self.assertGreater(chosen['u0'], 0)
        self.assertLess(chosen['u0'], min(chosen[f'u{n}'] for n in (1, 2, 3)))
        node.requests.close()
        node.clock.advance(5 * SERVICE_S)
        chosen = collections.Counter(node.send() for _ in range(20))
        self.assertGreaterEqual(chosen['u0'], 4)


class StepsTest(testtools.TestCase):
    """Guards against choices that take longer in a larger fleet."""

    def _calls(self, nodes: int) -> float:
        """Returns the mean number of calls that a choice makes."""
        node = _Node(clocks.ManualClock(100.0), 1)
        for number in range(nodes - 1):
            node.hear(f'n{number}', NEWS)
        node.send()
        calls = [0]

        def count(frame, event, argument) -> None:
            del frame, argument
            calls[0] += event in ('call', 'c_call')

        sys.setprofile(count)
        try:
            for _ in range(20):
                node.send()
        finally:
            sys.setprofile(None)
        return calls[0] / 20

    def test_steps_of_a_choice_do_not_grow_with_nodes(self):
        """A choice among 4 upstreams made 8.8 times as many at 195 nodes."""
        few, many = self._calls(8), self._calls(195)
        self.assertLess(many, 1.1 * few)


class BytesTest(testtools.TestCase):
    """Guards against reports that grow."""

    def test_speeds_need_no_more_bytes_than_were_saved(self):
        clock = clocks.ManualClock(100.0)
        node = _Node(clock, 1, count=30)
        load_of = node.targets.expected_load
        for listed in node.listed:
            node.requests.enter_context(
                node.load.count(listed.upstream.upstream_id, 0.1)
            )
        for _ in range(40):
            clock.advance(0.15)
            for number, listed in enumerate(node.listed):
                load_of.note_head(listed, 'r', '', 0.05 + 0.01 * number, 0.0)
        sizes, told = [], set()
        for _ in range(2):
            work = load_of.add_speeds(node.load.reported_work())
            told |= {item.upstream for item in work if item.speed is not None}
            sizes.append(len(codec.encode(ttypes.SyncReply(work=work))))
            before = [
                ttypes.UpstreamWork(
                    item.upstream, item.requests, item.waiting_ms, False
                )
                for item in work
            ]
            self.assertLessEqual(
                sizes[-1], len(codec.encode(ttypes.SyncReply(work=before)))
            )
        # By turns, so that two reports tell all.
        self.assertEqual(30, len(told))

    def test_told_speeds_reach_the_choice(self):
        clock = clocks.ManualClock(100.0)
        node = _Node(clock, 1)
        slow = [ttypes.UpstreamWork('u0', 1, 0, None, 23)]
        for number in range(24):
            reply = ttypes.SyncReply(
                ttypes.PeerRecord(f'n{number}', 'run', 'a', f'{number}:1', 0),
                [], [], None, [], [], slow,
            )  # fmt: skip
            node.peers._apply_reply(reply)
            clock.advance(1.0)
        candidate = node.targets._candidate(node.listed[0])
        self.assertGreater(candidate.speed, 1.3)
        gauges = node.targets.expected_load.labelled_gauges()
        times = gauges[('radishcourse_upstream_relative_time', 'upstream')]
        self.assertEqual(['u0'], list(times))
        spreads = gauges[('radishcourse_load_spread', 'service')]
        self.assertGreater(spreads[SERVICE], 1.5)

    def test_report_has_fewer_bytes_than_before(self):
        clock = clocks.ManualClock(100.0)
        own = load.Load(clock)
        with own.count(ids.UpstreamId('u0'), 0.1):
            report = own.reported_work()
        before = [ttypes.UpstreamWork('u0', 1, 100, False)]
        self.assertLess(*(
            len(codec.encode(ttypes.SyncReply(work=work)))
            for work in (report, before)
        ))  # fmt: skip


class MetricsTest(testtools.TestCase):
    """Guards against speeds and spread that operators can't read."""

    def test_gauges_have_a_label(self):
        text = metrics.Metrics().render(
            {'plain': 1}, {('relative_time', 'upstream'): {'u"0': 1.7}}
        )
        self.assertIn('# TYPE relative_time gauge\n', text)
        self.assertIn('relative_time{upstream="u\\"0"} 1.7\n', text)
