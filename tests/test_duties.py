"""Terms of duties: the rate of calls, the check before each, and giving up."""

import random
import types

import anyio
import testtools

from radishcourse_gateway import duties
from radishcourse_gateway import settings as gateway_settings
from radishcourse_gateway import usagereports  # noqa: F401  Registers a duty.
from radishcourse_platform import errors
from radishcourse_policy import clock as clocks
from radishcourse_policy import position as positions
from radishcourse_wire.gen.peer import ttypes

LEASE_S = 3.0
START_S = 100.0


class Clock(clocks.ManualClock):
    """A clock whose wall time may differ."""

    wall_ahead_s = 1000.0

    def wall(self) -> float:
        return self.now() + self.wall_ahead_s


class Store:
    """Takes all writes."""

    def __init__(self):
        self.version = 0
        self.written: list[bytes] = []

    async def write_rows(self, expected, writes, removals=()):
        del expected, removals
        self.version += 1
        self.written += writes.values()
        return positions.Position(1, self.version)


class World:
    """A gateway's duties with one other live node."""

    def __init__(self, **settings):
        self.clock = Clock(START_S)
        self.store = Store()
        self.slept_s = 0.0
        value = types.SimpleNamespace(
            node='a',
            bounds=gateway_settings.Bounds(lease_s=LEASE_S),
            duties=frozenset({duties.Duty.USAGE, duties.Duty.SCALING}),
            duties_per_s=4.0,
        )
        for name, item in settings.items():
            setattr(value, name, item)
        self.lateness = types.SimpleNamespace(resumed_at=0.0)
        self.peer = types.SimpleNamespace(node='b')
        self.gateway = types.SimpleNamespace(
            environment=types.SimpleNamespace(
                clock=self.clock, random=random.Random(1)
            ),
            store=self.store,
            control_api=object(),
            draining=False,
            current_settings=types.SimpleNamespace(value=value),
            timeouts=types.SimpleNamespace(lateness=self.lateness),
            peers=types.SimpleNamespace(
                alive=[self.peer],
                incarnation='run-1',
                find=lambda _: None,
                server=types.SimpleNamespace(register=lambda *_: None),
            ),
        )
        self.gateway.duties = duties.Duties(self.gateway)
        self.keeper = self.gateway.duties.keeper(duties.Duty.USAGE)

    def acquire(self) -> duties.Term:
        """Makes the node the holder, which may act now."""
        lease = self.keeper.lease
        lease.note_released(positions.Position(1, 1), self.clock.now())
        lease.begin_acquisition(self.clock.now(), 'nonce')
        position = positions.Position(1, 2)
        lease.note_written(position, self.clock.now(), self.clock.now())
        self.clock.advance(LEASE_S)
        self.renew()
        return duties.Term(self.keeper, 'a', lease.token)

    def renew(self) -> None:
        lease, now = self.keeper.lease, self.clock.now()
        lease.begin_renewal(now)
        self.store.version += 10
        position = positions.Position(1, self.store.version)
        lease.note_written(position, now, now)

    async def sleep(self, seconds: float) -> None:
        self.slept_s += max(0.0, seconds)
        self.clock.advance(max(0.0, seconds))


class TermTest(testtools.TestCase):
    """Guards against calls above the rate, or after the end of a term."""

    def setUp(self):
        super().setUp()
        self.world = World()
        self.patch(anyio, 'sleep', self.world.sleep)
        self.term = self.world.acquire()

    def _call(self, error=None, seconds=0.0):
        """Makes one call that fails with an error after a time."""

        async def send(holder, token, *arguments, check):
            del holder, token, arguments
            self.world.clock.advance(seconds)
            check()
            if error is not None:
                raise error

        anyio.run(self.term.call, send)

    def test_calls_keep_to_their_share_of_the_rate(self):
        # Four a second for two duties.
        for _ in range(5):
            self._call()
        self.assertAlmostEqual(4 * 0.5, self.world.slept_s)

    def test_call_after_a_pause_waits_until_it_counts(self):
        self.world.lateness.resumed_at = self.world.clock.now() - 0.1
        self._call()
        self.assertAlmostEqual(0.2, self.world.slept_s)

    def test_term_is_checked_after_the_wait(self):
        self._call()
        self.world.clock.advance(0.89 * LEASE_S - 0.4)
        self.world.keeper._calls.next_at = self.world.clock.now() + 0.5
        self.assertRaises(duties.TermEnded, self._call)

    def test_term_is_checked_when_the_connection_is_open(self):
        self.assertRaises(duties.TermEnded, self._call, seconds=LEASE_S)

    def _fail(self, error, seconds: float) -> None:
        end = self.world.clock.now() + seconds
        while self.world.clock.now() < end:
            self.assertRaises(type(error), self._call, error)
            self.world.renew()

    def test_holder_without_responses_releases_the_duty(self):
        self._fail(errors.ResponseLost('lost'), LEASE_S + 1)
        anyio.run(self.world.keeper._advance)
        self.assertIsNone(self.world.keeper.lease.token)
        self.assertIn(b'"holder":""', self.world.store.written[-1])
        self.assertRaises(duties.TermEnded, self._call)

    def test_holder_that_is_refused_keeps_the_duty(self):
        for error in (
            errors.RateLimited('429'),
            errors.UnexpectedResponse('status 500'),
        ):
            self._fail(error, LEASE_S + 1)
            anyio.run(self.world.keeper._advance)
            self.assertIsNotNone(self.world.keeper.lease.token)

    def test_lone_holder_keeps_the_duty(self):
        self.world.gateway.peers.alive.clear()
        self.world.gateway.draining = True
        self._fail(errors.ResponseLost('lost'), LEASE_S + 1)
        anyio.run(self.world.keeper._advance)
        self.assertIsNotNone(self.world.keeper.lease.token)

    def test_draining_holder_releases_the_duty(self):
        self.world.gateway.draining = True
        anyio.run(self.world.keeper._advance)
        self.assertIsNone(self.world.keeper.lease.token)


class DutiesTest(testtools.TestCase):
    """Guards against news of peers that are taken up wrongly."""

    def _reply(self, **fields) -> ttypes.SyncReply:
        sender = ttypes.PeerRecord('b', 'run-1', 'zone', '127.0.0.1:1', 0)
        return ttypes.SyncReply(sender=sender, **fields)

    def test_news_of_a_lease_reach_other_nodes(self):
        world, other = World(), World()
        term = world.acquire()
        (message,) = world.gateway.duties.reports()
        reply = self._reply(duties=[message])
        other.gateway.duties.merge(reply, other.clock.now())
        self.assertEqual('a', other.keeper.holder)
        self.assertEqual(term.token, message.token)

    def test_unknown_duties_and_empty_records_are_ignored(self):
        world = World()
        messages = [
            ttypes.DutyLease('other', 'b', 5, 5, 1, 0),
            ttypes.DutyLease('usage'),
            ttypes.DutyLease(),
        ]
        reply = self._reply(duties=messages)
        world.gateway.duties.merge(reply, world.clock.now())
        self.assertEqual('', world.keeper.holder)

    def test_own_clock_that_jumped_is_outvoted(self):
        world = World()
        now = world.clock.now()
        world.gateway.peers.alive.append(types.SimpleNamespace(node='c'))
        for node in ('b', 'c'):
            reply = self._reply(wall_ms=int(1000 * (now + 50)))
            reply.sender.node = node
            world.gateway.duties.merge(reply, now)
        self.assertAlmostEqual(now + 50, world.gateway.duties.true_time())

    def test_no_duties_without_a_second_interface(self):
        world = World()
        world.gateway.control_api = None
        off = duties.Duties(world.gateway)
        self.assertIsNone(off.reports())
        self.assertIsNone(off.wall_ms())
        self.assertEqual({}, off.gauges())
