"""Permits with paused owners, changing grantors and lost replies."""

import asyncio
import contextlib
import random
import types

from hypothesis import settings
from hypothesis import stateful
from hypothesis import strategies
import testtools

from radishcourse_model import ids
from radishcourse_model import schema
from radishcourse_node import enginecontrol
from radishcourse_node.controllers import availability
from radishcourse_node.controllers import health
from radishcourse_node.controllers import permits
from radishcourse_policy import clock as clocks
from radishcourse_policy import lateness
from radishcourse_policy import leases as lease_policy
from radishcourse_policy import permits as policy
from radishcourse_wire import errors as wire_errors
from radishcourse_wire import messages

ENGINE = ids.UpstreamId('small-1')
NAMES = ['a', 'b', 'c']
NODES = strategies.sampled_from(NAMES)
COLD_LIMIT = 2


class Engine:
    """An engine that checks the limit; a cancelled request never runs."""

    def __init__(self):
        self.running: set[str] = set()
        self.cancelled: set[str] = set()
        self.sent: set[str] = set()

    def start(self, request_id: str) -> None:
        self.sent.add(request_id)
        if request_id not in self.cancelled:
            self.running.add(request_id)
        assert len(self.running) <= COLD_LIMIT, self.running


class Node:
    """A node with real permits; the test decides who holds the lease.

    It also stands in for the node's leases, peer connections and engine client.
    """

    def __init__(self, machine, name: str):
        self._machine = machine
        self.name = name
        self.paused = False
        self.cut = False
        self.lost = False
        self.lease = None
        self.jobs = {}
        self.lateness = lateness.Lateness(machine.clock)
        registry = health.Registry(
            machine.clock, ids.NodeId(name), self.lateness
        )
        self.registry = registry
        upstream = schema.Upstream(
            address='127.0.0.1:1', zone=ids.ZoneId('z'), cold_limit=COLD_LIMIT
        )
        config = schema.Config(upstreams={ENGINE: upstream})
        configuration = types.SimpleNamespace(config=config)
        self.handlers = {}
        self.permits = permits.Permits(
            types.SimpleNamespace(
                environment=types.SimpleNamespace(clock=machine.clock),
                settings=types.SimpleNamespace(node=name, shards=1),
                incarnation=f'{name}.{machine.incarnations}',
                configuration=configuration,
                leases=self,
                peers=self,
                peer_address=lambda node: node,
                peer_server=types.SimpleNamespace(
                    register=self.handlers.__setitem__
                ),
            ),
            registry,
            availability.Availability(machine.clock, configuration, registry),
            lambda upstream: self,
        )

    # Leases.
    def held_lease(self, name=None):
        if self.lease and self.lease.check(self._machine.clock.now(), False):
            return self.lease
        return None

    def held_epoch(self, name):
        return self.held_lease().epoch if self.held_lease() else None

    def holder(self, name):
        return self._machine.holder

    async def find_holder(self, name):
        return self._machine.holder

    def preferred_members(self, name):
        return NAMES

    def forget_holder(self, name):
        pass

    def note_holder(self, name, node):
        pass

    # Peer connections.
    async def call(self, address, kind, message, timeout_s):
        peer = self._machine.nodes[address]
        if self.paused or peer.paused or self.cut or peer.cut:
            raise wire_errors.Unreachable(address)
        sender = types.SimpleNamespace(incarnation=self.permits._incarnation)
        try:
            reply = await peer.handlers[kind](sender, message)
        except permits.NotHolder as error:
            raise wire_errors.Rejected(str(error)) from error
        if self.lost and kind is messages.MessageKind.ACQUIRE_PERMIT:
            raise wire_errors.Unreachable('the reply was lost')
        return reply

    # Engine client.
    async def cancel(self, request_id):
        if self.cut:
            raise enginecontrol.ControlError('cut off')
        self._machine.engine.cancelled.add(request_id)
        self._machine.engine.running.discard(request_id)


class PermitMachine(stateful.RuleBasedStateMachine):
    """Three nodes, one cold engine, and one lease that changes its holder."""

    def __init__(self):
        super().__init__()
        self._runner = asyncio.Runner()
        self._random = random.Random(1)
        self.clock = clocks.ManualClock(100.0)
        self.engine = Engine()
        self.incarnations = 0
        self.requests = 0
        self.epoch = 0
        self.nodes = {name: Node(self, name) for name in NAMES}
        self.holder: str | None = 'a'
        self._acquire_lease('a')

    def teardown(self):
        self._runner.close()

    def _acquire_lease(self, name: str) -> None:
        self.epoch += 1
        now = self.clock.now()
        self.holder = name
        self.lease = lease_policy.HeldLease(self.epoch, 1, now, now)
        self.nodes[name].lease = self.lease

    @stateful.rule(ticks=strategies.integers(1, 30))
    def run(self, ticks):
        for _ in range(ticks):
            self.clock.advance(0.5)
            now = self.clock.now()
            for node in self.nodes.values():
                if node.paused:
                    continue
                node.lateness.tick()
                if not node.cut:
                    load = len(self.engine.running)
                    node.registry.note_load(ENGINE, load, now)
                    if node.lease is self.lease:
                        node.lease.record_renewal(1, now)
                self._runner.run(node.permits.tick())

    @stateful.rule(ticks=strategies.integers(20, 24), name=NODES)
    def fail_over(self, ticks, name):
        """Pauses the holder until its lease expires; another node takes it."""
        self.nodes[self.holder].paused = True
        self.run(ticks)
        end = self.lease.sent_at + lease_policy.DURATION_S
        if self.clock.now() >= end and not self.nodes[name].paused:
            self._acquire_lease(name)

    @stateful.rule(
        name=NODES, sent=strategies.booleans(), ticks=strategies.integers(0, 24)
    )
    def pause_owner(self, name, sent, ticks):
        """Pauses an owner before or after it sends its job."""
        self.acquire_permit(name)
        if sent:
            self.advance_job(name)
        self.nodes[name].paused = True
        self.run(ticks)

    @stateful.rule()
    def send_from_all(self):
        for name, node in self.nodes.items():
            self.acquire_permit(name)
            for _ in list(node.jobs):
                self.advance_job(name)

    @stateful.rule(name=NODES)
    def acquire_permit(self, name):
        """Requests a permit; `advance_job` sends the job later."""
        node = self.nodes[name]
        if node.paused:
            return
        self.requests += 1
        request_id = f'r{self.requests}'
        context = node.permits.acquire(ENGINE, request_id)
        permit = self._runner.run(context.__aenter__())
        if permit is None:
            self._runner.run(context.__aexit__(None, None, None))
        else:
            node.jobs[request_id] = (context, permit)

    @stateful.rule(name=NODES)
    def advance_job(self, name):
        """Sends a job to the engine, or ends one that was already sent."""
        node = self.nodes[name]
        if not node.jobs or node.paused:
            return
        request_id = self._random.choice(list(node.jobs))
        context, permit = node.jobs[request_id]
        if request_id in self.engine.sent:
            failed = request_id not in self.engine.running
        elif node.permits.usable(permit) and not node.cut:
            self.engine.start(request_id)
            return
        else:
            failed = True
        self.engine.running.discard(request_id)
        del node.jobs[request_id]
        error = LookupError() if failed else None
        with contextlib.suppress(LookupError):
            self._runner.run(
                context.__aexit__(type(error) if error else None, error, None)
            )

    @stateful.rule(name=NODES)
    def restart(self, name):
        """Restarts a node; the engine drops its jobs with its connections."""
        self.incarnations += 1
        self.engine.running -= set(self.nodes[name].jobs)
        self.nodes[name] = Node(self, name)

    @stateful.rule(
        name=NODES, fault=strategies.sampled_from(['paused', 'cut', 'lost'])
    )
    def fail(self, name, fault):
        setattr(self.nodes[name], fault, True)

    @stateful.rule()
    def recover(self):
        for node in self.nodes.values():
            node.paused = node.cut = node.lost = False


class PermitTest(PermitMachine.TestCase):
    """Guards against more jobs at a cold upstream than its limit allows."""

    settings = settings(max_examples=100, stateful_step_count=40)


class TakeoverTest(testtools.TestCase):
    """Guards against a new grantor that ignores its predecessor's permits.

    A paused owner may still have a job running at the upstream under such a
    permit, or send one when it resumes.
    """

    def setUp(self):
        super().setUp()
        self.machine = PermitMachine()
        self.addCleanup(self.machine.teardown)

    def _pause_and_fail_over(self) -> None:
        self.machine.nodes['b'].paused = True
        self.machine.fail_over(20, 'c')
        self.machine.run(30)
        for _ in range(COLD_LIMIT):
            self.machine.acquire_permit('c')

    def test_running_job_of_a_paused_owner_keeps_a_new_grantor_from_granting(
        self,
    ):
        self.machine.acquire_permit('b')
        self.machine.advance_job('b')
        self._pause_and_fail_over()
        self.assertEqual({}, self.machine.nodes['c'].jobs)
        self.machine.nodes['b'].paused = False
        self.machine.run(2)
        self.machine.acquire_permit('c')
        self.assertEqual(1, len(self.machine.nodes['c'].jobs))

    def test_owner_resumed_after_its_permit_expired_does_not_send(self):
        self.machine.acquire_permit('b')
        self._pause_and_fail_over()
        self.assertEqual(COLD_LIMIT, len(self.machine.nodes['c'].jobs))
        self.machine.nodes['b'].paused = False
        self.machine.advance_job('b')
        self.assertEqual(set(), self.machine.engine.sent)


class LostGrantTest(testtools.TestCase):
    """Guards against permits that no node uses but that block an upstream.

    They come about when the reply that grants a permit is lost.
    """

    def setUp(self):
        super().setUp()
        self.machine = PermitMachine()
        self.addCleanup(self.machine.teardown)

    def _acquire_with_lost_replies(self) -> None:
        self.machine.nodes['b'].lost = True
        for _ in range(COLD_LIMIT):
            self.machine.acquire_permit('b')
        self.assertEqual({}, self.machine.nodes['b'].jobs)

    def test_lost_grants_are_released_while_the_holder_is_unknown(self):
        self.machine.holder = None
        self._acquire_with_lost_replies()
        self.machine.run(1)
        self.machine.acquire_permit('c')
        self.assertEqual(1, len(self.machine.nodes['c'].jobs))

    def test_lost_grants_are_released_when_the_holder_is_reachable_again(self):
        self._acquire_with_lost_replies()
        self.machine.nodes['a'].paused = True
        self.machine.run(2)
        self.machine.nodes['a'].paused = False
        self.machine.run(1)
        self.machine.acquire_permit('c')
        self.assertEqual(1, len(self.machine.nodes['c'].jobs))

    def test_request_overtaken_by_its_release_is_refused(self):
        ledger = policy.PermitLedger()
        self.assertFalse(ledger.release('b/r1#1', 100.0))
        self.assertFalse(
            ledger.grant(100.1, 'b/r1#1', 'r1', policy.TTL_S, COLD_LIMIT)
        )
        self.assertEqual(0, ledger.count)
