"""Bills are written exactly once, despite crashes and lost answers."""

import hypothesis
from hypothesis import stateful
from hypothesis import strategies
import testtools

from radishcourse_policy import billing
from radishcourse_policy import intervals
from tests import cluster as clusters
from tests import recording

NODES = ('owner', 'b', 'c')
OWNER = 'owner.1'
nodes = strategies.sampled_from(NODES)


class FlushMachine(stateful.RuleBasedStateMachine):
    """An owner and two holders flush concurrently, lose answers and crash.

    Guards against bills that are written twice or not at all.
    """

    def __init__(self):
        super().__init__()
        self.buffers = {name: billing.Buffer(10**6) for name in NODES}
        self.plans = {}
        self.late_writes = []
        self.mark, self.version, self.rows = intervals.EMPTY, 0, []
        self.sequence = 0
        self.completed = set()

    @stateful.rule(copied=strategies.sets(strategies.sampled_from('bc')))
    def bill(self, copied):
        if 'owner' not in self.buffers:
            return
        self.sequence += 1
        for name in {'owner', *copied} & set(self.buffers):
            record = billing.Record(self.sequence, b'x' * 50)
            self.buffers[name].add(OWNER, record)
        if len(copied & set(self.buffers)) == 2:
            self.completed.add(self.sequence)

    @stateful.rule(name=nodes, size=strategies.integers(1, 200))
    def read_mark(self, name, size):
        if name not in self.buffers:
            return
        self.buffers[name].drop(OWNER, self.mark)
        records = self.buffers[name].records(OWNER)
        plan = billing.plan_flush(self.mark, records, size, 3)
        self.plans[name] = (self.version, plan)

    @stateful.rule(
        name=nodes,
        delivery=strategies.sampled_from(['answered', 'lost', 'late', 'never']),
    )
    def write(self, name, delivery):
        if name not in self.plans:
            return
        version, plan = self.plans.pop(name)
        if delivery == 'late':
            self.late_writes.append((version, plan))
            return
        written = delivery != 'never' and self._commit(version, plan)
        if written and delivery == 'answered':
            self.buffers[name].drop(OWNER, plan.flushed)

    @stateful.precondition(lambda self: self.late_writes)
    @stateful.rule()
    def arrive_late(self):
        self._commit(*self.late_writes.pop(0))

    @stateful.rule(name=nodes)
    def crash(self, name):
        if len(self.buffers) > 1:
            self.buffers.pop(name, None)
            self.plans.pop(name, None)

    def _commit(self, version, plan) -> bool:
        if version != self.version or not plan.records:
            return False
        self.version += 1
        self.mark = plan.flushed
        self.rows += [record.sequence for record in plan.records]
        return True

    @stateful.invariant()
    def check_written_once(self):
        assert len(self.rows) == len(set(self.rows)), self.rows
        assert intervals.size(self.mark) == len(self.rows)

    def teardown(self):
        while self.late_writes:
            self.arrive_late()
        for name in self.buffers:
            while True:
                self.read_mark(name, 100)
                if not self.plans[name][1].records:
                    break
                self.write(name, 'lost')
        self.check_written_once()
        assert self.completed <= set(self.rows), (self.completed, self.rows)


class FlushTest(testtools.TestCase):
    """Guards against bills written twice, and against unbounded sizes."""

    def test_concurrent_flushes_write_each_bill_once(self):
        recording.run_machine(FlushMachine, 200)

    @hypothesis.given(
        strategies.lists(strategies.integers(1, 400), unique=True),
        strategies.integers(1, 2000),
    )
    def test_rows_and_buffers_are_bounded_in_bytes(self, numbers, limit):
        buffer = billing.Buffer(2000)
        for number in numbers:
            if not buffer.full:
                buffer.add(OWNER, billing.Record(number, b'x' * number))
        self.assertLess(buffer.bytes_held, 2000 + 400 + 160)
        records = buffer.records(OWNER)
        plan = billing.plan_flush(intervals.EMPTY, records, limit, 5)
        sizes = [len(record.packed) for record in plan.records]
        self.assertTrue(len(sizes) <= 1 or sum(sizes) <= limit)
        self.assertTrue(len(sizes) <= 5)
        buffer.drop(OWNER, ((1, 400),))
        self.assertEqual(0, buffer.bytes_held)


class HoldersTest(testtools.TestCase):
    """Guards against bills that are lost with their owner."""

    def test_bills_of_a_killed_node_are_flushed_by_its_holders(self):
        with clusters.running(node_count=3, flush_s=0.5) as cluster:
            recorder = recording.Recorder(cluster, 1)
            # The owner can't flush, so its bills are in memory only.
            cluster.fault('refuse', ['entry-0>platform'])
            calls = [recorder.send_random('entry-0') for _ in range(30)]
            cluster.nodes['entry-0'].kill()
            completed = [call for call in calls if call.outcome == 'completed']
            self.assertGreater(len(completed), 10)
            recording.check(self, recorder)

    def test_bills_survive_the_replacement_of_all_nodes_in_an_outage(self):
        with clusters.running(node_count=3, flush_s=0.3) as cluster:
            recorder = recording.Recorder(cluster, 2)
            cluster.platform_fault('down')
            for name in cluster.names:
                for _ in range(5):
                    recorder.chat(name)
            for name in cluster.names:
                cluster.nodes[name].kill()
                clusters.processes.wait_http(
                    cluster.start_node(name), '/healthz'
                )
                # After this the holders treat the owner as dead and flush its
                # bills.
                clusters.time.sleep(6.5)
            cluster.platform_fault('up')
            history = recording.check(self, recorder)
            self.assertEqual(15, len(history.billed))

    def test_lost_answers_of_the_store_do_not_repeat_bills(self):
        with clusters.running(node_count=2, flush_s=0.3) as cluster:
            recorder = recording.Recorder(cluster, 3)
            cluster.platform_fault('lose_answers', probability=0.7)
            with recording.thread_pool(4) as pool:
                for index in range(30):
                    name = f'entry-{index % 2}'
                    pool.submit(recorder.chat, name)
            cluster.platform_fault('up')
            history = recording.check(self, recorder)
            self.assertEqual(30, len(history.billed))
