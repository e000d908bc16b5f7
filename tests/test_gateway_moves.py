"""Choice of upstreams for a stream that is moved, without processes."""

import random
import types

import testtools

from radishcourse_gateway import attempttimeout
from radishcourse_gateway import interfaces
from radishcourse_gateway import load
from radishcourse_gateway import peers
from radishcourse_gateway import records
from radishcourse_gateway import retrybudgets
from radishcourse_gateway import rollouts
from radishcourse_gateway import streampaces
from radishcourse_gateway import targets
from radishcourse_gateway import upstreams
from radishcourse_gateway import view as views
from radishcourse_model import ids
from radishcourse_node import resources
from radishcourse_node import timeouts
from radishcourse_policy import canary
from radishcourse_policy import clock as clocks
from radishcourse_policy import position as positions
from radishcourse_policy import streampace

SERVICE = ids.ServiceId('engine')
OLD, NEW = ids.VersionId('v1'), ids.VersionId('v2')
LIMIT_S = 20.0
EXPOSURE = 0.15
REQUEST = types.SimpleNamespace(
    session='s', request_id='r', size=None, prefix_key=None
)


class _MoveTest(testtools.TestCase):
    """Base of tests with the upstreams of one service."""

    def setUp(self):
        super().setUp()
        self.clock = clocks.ManualClock(100.0)
        self.listed = [
            views.ListedUpstream(
                upstreams.Upstream(
                    ids.UpstreamId(f'u{number}'),
                    SERVICE,
                    f'10.0.0.{number}:1',
                    ids.ZoneId('a'),
                    OLD,
                    4,
                )
            )
            for number in range(2)
        ]
        self.taken: list[views.ListedUpstream] = []
        self.usable = list(self.listed)
        self.targets = self._make_targets()
        self.plan = targets.Plan(service=SERVICE, version=OLD, begun=True)

    def _make_targets(self) -> targets.Targets:
        settings = types.SimpleNamespace(
            node=ids.NodeId('own'),
            zone=ids.ZoneId('a'),
            peer_listen='own:1',
            peer_key=b'key',
            seeds=[],
        )
        current = types.SimpleNamespace(value=settings)
        source = random.Random(1)
        node_load = load.Load(self.clock)
        node_peers = peers.Peers(
            current,
            self.clock,
            source,
            records.Replica(self.clock),
            None,
            timeouts.Timeouts(self.clock),
            resources.Resources(self.clock),
        )
        node_peers.load = node_load
        return targets.Targets(
            types.SimpleNamespace(
                environment=types.SimpleNamespace(
                    clock=self.clock, random=source
                ),
                current_settings=current,
                view=types.SimpleNamespace(
                    usable=lambda service: list(self.usable),
                    directory=None,
                    upstreams={
                        item.upstream.upstream_id: item for item in self.listed
                    },
                ),
                load=node_load,
                peers=node_peers,
                rollouts=types.SimpleNamespace(
                    version_for=lambda *names: OLD,
                    retires=lambda *names: False,
                ),
                brittle=types.SimpleNamespace(
                    wait_s=lambda listed: 0.0,
                    admitted=lambda candidates, refused: candidates,
                ),
                limits=types.SimpleNamespace(
                    is_limited=lambda listed: False,
                    wait_s=lambda listed, heavy=True: 0.0,
                    take=self.taken.append,
                ),
            )
        )

    def _reserve(self, listed: views.ListedUpstream) -> bool:
        return self.targets.reserve_move(REQUEST, self.plan, listed)


class ReturnTest(_MoveTest):
    """Guards against a move after which the stream could not return."""

    def test_stream_of_a_usable_upstream_moves_and_returns(self):
        slow, other = self.listed
        self.assertTrue(self._reserve(slow))
        self.assertIs(other, self.targets.choose(REQUEST, self.plan))
        self.assertIs(slow, self.targets.choose(REQUEST, self.plan))

    def test_stream_stays_where_its_upstream_takes_no_new_requests(self):
        slow, other = self.listed
        self.usable = [other]
        self.assertFalse(self._reserve(slow))


class FailedReservationTest(_MoveTest):
    """Guards against limits used up by streams that do not move."""

    def test_stream_that_stays_counts_as_no_request(self):
        slow, other = self.listed
        other.paused_until = self.clock.now() + 5.0
        self.assertFalse(self._reserve(slow))
        self.assertEqual([], self.taken)


class TokenTest(testtools.TestCase):
    """Guards against moves whose return the retry budget can't pay.

    Streams that are judged before the first move fails find the same tokens.
    """

    def test_each_stream_that_moves_has_a_token_for_its_return(self):
        clock = clocks.ManualClock(100.0)
        bounds = types.SimpleNamespace(
            repeat_window_s=10.0, repeat_share=0.9, repeat_slack=0.0
        )
        gateway = types.SimpleNamespace(
            environment=types.SimpleNamespace(clock=clock),
            current_settings=types.SimpleNamespace(
                value=types.SimpleNamespace(bounds=bounds)
            ),
            peers=types.SimpleNamespace(fleet_size=1),
            timeouts=None,
            targets=None,
            view=types.SimpleNamespace(usable=lambda service: ['a', 'b']),
        )
        budgets = retrybudgets.RetryBudgets(gateway)
        timeout = attempttimeout.AttemptTimeout(gateway, budgets)
        paces = streampaces.StreamPaces(gateway, budgets, timeout)
        request = types.SimpleNamespace(
            route=types.SimpleNamespace(max_attempts=3)
        )
        for _ in range(6):
            budgets.note_request(SERVICE)
        plan = targets.Plan(service=SERVICE, attempts=1)
        moves = 0
        while timeout.can_retry(request, plan, 2):
            paces.move(plan, streampace.Judgement(True))
            moves += 1
        returns = sum(budgets.spend(SERVICE) for _ in range(moves))
        self.assertGreater(moves, 0)
        self.assertEqual(moves, returns)


class RetiredTest(testtools.TestCase):
    """Guards against a version that counts as stopped while it serves.

    Crashes of its upstreams would be no evidence against a prompt.
    """

    def setUp(self):
        super().setUp()
        self.clock = clocks.ManualClock(100.0)
        identity = positions.Position(0, 1)
        row = views.OrderRow(
            interfaces.RolloutOrder(SERVICE, NEW, LIMIT_S), identity, identity
        )
        self.present = {OLD: 2, NEW: 2}
        self.rollouts = rollouts.Rollouts(
            types.SimpleNamespace(
                environment=types.SimpleNamespace(clock=self.clock),
                current_settings=types.SimpleNamespace(
                    value=types.SimpleNamespace(
                        bounds=types.SimpleNamespace(
                            session_s=5.0, exposure_share=EXPOSURE
                        )
                    )
                ),
                view=types.SimpleNamespace(
                    orders={SERVICE: row},
                    versions=lambda service: self.present,
                ),
                replica=None,
                peers=types.SimpleNamespace(
                    server=types.SimpleNamespace(register=lambda *_: None),
                    incarnation='node',
                    alive=[],
                ),
                store=types.SimpleNamespace(now_ms=lambda at: int(1000 * at)),
            )
        )
        self.rollout = self.rollouts.find(SERVICE)
        self.rollout.state = canary.RolloutState.RUNNING

    def _serves(self) -> ids.VersionId:
        return self.rollouts.version_for(SERVICE, 'session', 'request')

    def test_old_version_is_not_retired_while_the_new_one_is_absent(self):
        self.clock.advance(LIMIT_S - 0.8)
        self.assertEqual(NEW, self._serves())
        self.assertTrue(self.rollouts.retires(SERVICE, OLD))
        self.present = {OLD: 2}
        self.assertEqual(OLD, self._serves())
        self.assertFalse(self.rollouts.retires(SERVICE, OLD))
