"""A process that is late itself must not judge others by its timeouts."""

import asyncio
import concurrent.futures
import pathlib
import signal
import socket
import tempfile
import time
import types

import anyio
import testtools

from radishcourse_gateway import upstreamconnections
from radishcourse_model import ids
from radishcourse_model import states
from radishcourse_node import enginecontrol
from radishcourse_node import engines
from radishcourse_node import errors
from radishcourse_node import timeouts
from radishcourse_node.controllers import health
from radishcourse_node.controllers import probes
from radishcourse_policy import clock as clocks
from radishcourse_policy import lateness
from radishcourse_standins import processes
from tests import cluster as clusters

ENGINE = ids.UpstreamId('small-1')
# Times for which the event loop is held; a probe has 0.5 s.
HOLDS_S = (0.2, 0.5, 2.0)
PAUSE_S = 1.0


class LatenessTest(testtools.TestCase):
    """Guards against lateness that is overlooked, or invented by timers."""

    def setUp(self):
        super().setUp()
        self.clock = clocks.ManualClock(100.0)
        self.lateness = lateness.Lateness(self.clock)

    def _run(self, seconds: float) -> None:
        for _ in range(round(seconds / lateness.TICK_S)):
            self.clock.advance(lateness.TICK_S)
            self.lateness.tick()

    def test_process_that_runs_is_not_late(self):
        for _ in range(100):
            self.clock.advance(lateness.TICK_S + 0.02)
            self.lateness.tick()
        self.assertEqual(0.0, self.lateness.total_s)
        self.assertEqual(float('-inf'), self.lateness.resumed_at)

    def test_held_loop_counts_before_and_after_its_next_tick(self):
        for hold_s in HOLDS_S:
            self._run(1.0)
            before_s = self.lateness.total_s
            self.clock.advance(lateness.TICK_S + hold_s)
            during_s = self.lateness.total_s - before_s
            self.assertAlmostEqual(hold_s, during_s)
            self.lateness.tick()
            self._run(1.0)
            after_s = self.lateness.total_s - before_s
            self.assertAlmostEqual(hold_s, after_s)

    def test_pause_ends_when_the_process_runs_again(self):
        self._run(1.0)
        self.clock.advance(3.0)
        resumed_at = self.clock.now()
        self.assertEqual(resumed_at, self.lateness.resumed_at)
        self.lateness.tick()
        self._run(1.0)
        self.assertAlmostEqual(resumed_at, self.lateness.resumed_at)


class TimeoutTest(testtools.TestCase):
    """Guards against timeouts that fire early, or never."""

    def _run(self, test) -> None:
        async def run():
            own = timeouts.Timeouts(clocks.SystemClock())
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(own.run)
                await anyio.sleep(2 * lateness.TICK_S)
                await test(own)
                tasks.cancel_scope.cancel()

        anyio.run(run)

    async def _arrive(self, own, count: int) -> None:
        """Reads what has arrived, in several steps of the loop."""
        with own.fail_after(0.3):
            time.sleep(1.0)
            for _ in range(count):
                await asyncio.sleep(0)

    def test_what_has_arrived_during_a_hold_is_read(self):
        self._run(lambda own: self._arrive(own, 10))

    def test_pause_of_the_vm_does_not_extend_a_timeout(self):
        # The loop's timers do not count it, so that it was not lost.
        clock = clocks.ManualClock(100.0)
        own = timeouts.Timeouts(clock)

        async def wait():
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(own.run)
                await anyio.sleep(lateness.TICK_S)
                with own.fail_after(0.3):
                    clock.advance(60.0)
                    await anyio.sleep_forever()

        started_at = time.monotonic()
        with self.assertRaises(BaseExceptionGroup):
            anyio.run(wait)
        self.assertLess(time.monotonic() - started_at, 30.0)
        self.assertAlmostEqual(160.0, own.lateness.resumed_at)

    def test_silence_ends_although_the_loop_was_held(self):
        async def wait(own):
            with own.fail_after(0.3):
                time.sleep(0.5)
                await anyio.sleep_forever()

        async def expect(own):
            with self.assertRaises(TimeoutError):
                await wait(own)

        self._run(expect)


class ConnectTest(testtools.TestCase):
    """Guards against connections that are given up by a late process.

    The address accepts them at once, and never answers.
    """

    def setUp(self):
        super().setUp()
        listener = socket.create_server(('127.0.0.1', 0))
        self.addCleanup(listener.close)
        self.address = f'127.0.0.1:{listener.getsockname()[1]}'

    def _connect_while_held(self, connect) -> None:
        async def hold():
            # In each step of the connection.
            for _ in range(8):
                time.sleep(0.3)
                await asyncio.sleep(0)

        async def run():
            own = timeouts.Timeouts(clocks.SystemClock())
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(own.run)
                await anyio.sleep(2 * lateness.TICK_S)
                tasks.start_soon(hold)
                await connect(own)
                tasks.cancel_scope.cancel()

        anyio.run(run)

    def test_gateway_connects(self):
        async def connect(own):
            connection = await upstreamconnections.connect(
                self.address, 0.0, own.fail_after
            )
            await connection.aclose()

        self._connect_while_held(connect)

    def test_node_connects(self):
        async def connect(own):
            pools = engines.Pools(own)
            url = f'http://{self.address}/'
            try:
                async with engines.open_response(
                    pools.get(self.address), 'GET', url, [], b'', 2.0
                ):
                    self.fail('there is no answer')
            except errors.AttemptError as error:
                self.assertTrue(error.sent, str(error))
            await pools.aclose()

        self._connect_while_held(connect)


class ProbeTest(testtools.TestCase):
    """Guards against a sound engine that is taken for down.

    The node runs for a moment only between the holds of its loop, too short to
    read an answer of the engine that arrives at once.
    """

    async def _probe(self, address: str, hold_s: float) -> list:
        """Returns the engine's states while it is probed and the loop held."""
        clock = clocks.SystemClock()
        own = timeouts.Timeouts(clock)
        registry = health.Registry(clock, ids.NodeId('n'), own.lateness)
        pools = engines.Pools(own)
        node = types.SimpleNamespace(
            environment=types.SimpleNamespace(clock=clock),
            configuration=types.SimpleNamespace(
                config=types.SimpleNamespace(upstreams={ENGINE: None})
            ),
            leases=types.SimpleNamespace(held_epoch=lambda name: 1),
            membership=types.SimpleNamespace(settled=True, present={'other'}),
            settings=types.SimpleNamespace(shards=1),
            vms=types.SimpleNamespace(read=anyio.sleep_forever),
        )
        controller = probes.Probes(
            node,
            registry,
            lambda upstream: enginecontrol.Engine(
                address, pools.get(address), own
            ),
        )
        seen = []
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(own.run)
            tasks.start_soon(controller.run)
            for _ in range(max(10, int(6.0 / hold_s))):
                await asyncio.sleep(0)
                await asyncio.sleep(0)
                time.sleep(hold_s)
                seen.append(registry.state(ENGINE))
            tasks.cancel_scope.cancel()
        await pools.aclose()
        return seen

    def test_engine_is_not_down_for_a_node_that_is_late(self):
        with (
            tempfile.TemporaryDirectory() as folder,
            processes.started(pathlib.Path(folder)) as started,
        ):
            engine = started.stand_in('engine', ENGINE)
            processes.wait_http(engine, '/v1/state')
            for hold_s in HOLDS_S:
                seen = anyio.run(self._probe, engine.address, hold_s)
                self.assertNotIn(states.UpstreamState.DOWN, seen, hold_s)
                self.assertIn(states.UpstreamState.WARM, seen, hold_s)


class LateNodeTest(testtools.TestCase):
    """Guards against refusals by a node whose loop is late for a second."""

    def test_late_node_refuses_no_job(self):
        with clusters.running(1, ('small-1',), ()) as cluster:
            cluster.chat('entry-0', 'tag')
            node = cluster.nodes['entry-0']
            deadline = {'X-Radish-Deadline-Ms': '60000'}
            with concurrent.futures.ThreadPoolExecutor(16) as pool:
                calls = []
                for _ in range(5):
                    calls += [
                        pool.submit(
                            cluster.chat, 'entry-0', 'tag', deadline, 60.0
                        )
                        for _ in range(3)
                    ]
                    node.signal(signal.SIGSTOP)
                    time.sleep(PAUSE_S)
                    node.signal(signal.SIGCONT)
                    # A probe is due in each run of the node.
                    time.sleep(probes.PROBE_INTERVAL_S / 2)
                replies = [call.result() for call in calls]
        self.assertEqual([200] * 15, [reply.status for reply in replies])
