"""Runs real nodes under load and faults, and checks the guarantees.

`python -m tests.soak --seconds 600 --seed 1 --nodes 8` prints, for each
guarantee, the number of cases checked and the violations. The faults and the
requests are drawn from the seed.
"""

import contextlib
import dataclasses
import json
import pathlib
import random
import signal
import sys
import tempfile
import threading
import time
import typing

import fire

from tests import cluster as clusters
from tests import histories
from tests import recording

ENGINES = ('small-1', 'small-2', 'small-3', 'large-1', 'large-2')
DESKS = ('desk-1', 'desk-2')
CLIENTS = 12
DEADLINE_MS = '2000'
TIMEOUT_S = 10.0
# Time that a client waits between requests.
PAUSE_S = 0.05
# Times that a client repeats a request with a key that was not completed.
MAX_REPEATS = 3
# Long enough for the nodes that hold a dead node's bills to take them over.
FAULT_GAP_S = 3.0
BILLING_LIMIT_S = 40.0

_faults: dict[str, typing.Callable] = {}


def fault(function):
    """Registers a fault: a generator that starts it, yields, and ends it."""
    _faults[function.__name__] = contextlib.contextmanager(function)
    return function


@dataclasses.dataclass
class Soak:
    """The state of a run.

    Attributes:
      cluster: The processes.
      recorder: Sends the requests and records their results.
      rng: Random source of the faults.
      document: The configuration in force.
      stop: Ends the load when set.
      reserved: Nodes that have a fault.
    """

    cluster: clusters.Cluster
    recorder: recording.Recorder
    rng: random.Random
    document: dict
    stop: threading.Event
    reserved: set[str] = dataclasses.field(default_factory=set)

    def reserve_node(self) -> str:
        """Reserves a node that has no fault and returns its name.

        The design does not cover two faults of one node, such as a cut and
        a kill: they can lose bills that no other node holds yet.
        """
        free = [
            name for name in self.cluster.names if name not in self.reserved
        ]
        name = self.rng.choice(free)
        self.reserved.add(name)
        return name


@fault
def kill(soak: Soak):
    """Kills a node and restarts it."""
    name = soak.reserve_node()
    soak.cluster.nodes[name].kill()
    yield
    soak.cluster.start_node(name)


@fault
def stop(soak: Soak):
    """Stops a node gracefully and restarts it."""
    name = soak.reserve_node()
    soak.cluster.nodes[name].signal(signal.SIGTERM)
    yield
    soak.cluster.nodes[name].stop()
    soak.cluster.start_node(name)


@fault
def freeze(soak: Soak):
    """Suspends a node and resumes it."""
    node = soak.cluster.nodes[soak.reserve_node()]
    node.signal(signal.SIGSTOP)
    yield
    node.signal(signal.SIGCONT)


@fault
def cut_node(soak: Soak):
    """Cuts a node off from the platform and from all other nodes."""
    name = soak.reserve_node()
    mode = soak.rng.choice(('refuse', 'blackhole'))
    soak.cluster.cut_off(name, mode)
    yield
    soak.cluster.cut_off(name, 'pass')


@fault
def cut_upstream(soak: Soak):
    """Resets connections to an upstream after some bytes."""
    link = f'all>{soak.rng.choice(ENGINES + DESKS)}'
    soak.cluster.fault(
        'reset',
        [link],
        direction=soak.rng.choice(('requests', 'answers')),
        after_bytes=soak.rng.randrange(4000),
    )
    yield
    soak.cluster.fault('pass', [link])


@fault
def platform(soak: Soak):
    """Makes the platform fail, hang, slow, lose answers or return old data."""
    mode = soak.rng.choice(
        ('down', 'hang', 'slow', 'lose_answers', 'stale_reads')
    )
    soak.cluster.platform_fault(mode, delay_ms=300, probability=0.5)
    yield
    soak.cluster.platform_fault('up')


@fault
def cold_engine(soak: Soak):
    """Turns an engine cold."""
    engine = soak.cluster.upstreams[soak.rng.choice(ENGINES)]
    soak.cluster.control(engine, 'state', {'state': 'cold'})
    yield


@fault
def bad_engine(soak: Soak):
    """Makes an engine fail and truncate some answers."""
    engine = soak.cluster.upstreams[soak.rng.choice(ENGINES)]
    settings = {'fail': 0.2, 'truncate': 0.2}
    soak.cluster.control(engine, 'settings', settings)
    yield
    soak.cluster.control(engine, 'settings', {})


@fault
def bad_desk(soak: Soak):
    """Makes a desk hang, close, fail, truncate or delay after it ran orders."""
    desk = soak.cluster.upstreams[soak.rng.choice(DESKS)]
    kind = soak.rng.choice(('hang', 'close', 'error', 'truncate', 'none'))
    settings = {'fault': kind, 'every': 5, 'delay_ms': 200}
    soak.cluster.control(desk, 'settings', settings)
    yield
    soak.cluster.control(desk, 'settings', {})


@fault
def configuration(soak: Soak):
    """Changes the configuration."""
    shares = soak.rng.choice(((100, 0), (50, 50)))
    versions = soak.document['models']['small']['versions']
    for version, share in zip(('v1', 'v2'), shares, strict=True):
        versions[version]['share'] = share
    with contextlib.suppress(AssertionError):
        soak.cluster.apply(soak.document)
    yield


def _send_load(soak: Soak, seed: int) -> None:
    rng = random.Random(seed)
    headers = {'X-Radish-Deadline-Ms': DEADLINE_MS}
    options = {'headers': headers, 'timeout_s': TIMEOUT_S}
    while not soak.stop.is_set():
        node = rng.choice(soak.cluster.names)
        call = soak.recorder.send_random(node, **options)
        for _ in range(MAX_REPEATS):
            if not call.key or call.outcome == histories.COMPLETED:
                break
            time.sleep(rng.random())
            node = rng.choice(soak.cluster.names)
            call = soak.recorder.repeat(call, node, **options)
        time.sleep(PAUSE_S)


def _inject_faults(soak: Soak, end: float) -> dict[str, int]:
    counts = dict.fromkeys(_faults, 0)
    while time.monotonic() < end:
        names = soak.rng.sample(sorted(_faults), soak.rng.choice((1, 2)))
        with contextlib.ExitStack() as stack:
            for name in names:
                counts[name] += 1
                stack.enter_context(_faults[name](soak))
            time.sleep(soak.rng.uniform(0.5, 8.0))
        soak.reserved.clear()
        time.sleep(FAULT_GAP_S)
    return counts


def run(seconds: float = 600, seed: int = 1, nodes: int = 8) -> int:
    """Runs the soak; returns 1 when a guarantee is violated.

    Args:
      seconds: Time under load and faults.
      seed: Seed of requests and faults.
      nodes: Number of nodes.
    """
    with clusters.running(nodes, ENGINES, DESKS, flush_s=1.0) as cluster:
        recorder = recording.Recorder(cluster, seed)
        soak = Soak(
            cluster,
            recorder,
            random.Random(seed),
            clusters.make_document(cluster),
            threading.Event(),
        )
        with recording.thread_pool(CLIENTS) as pool:
            futures = [
                pool.submit(_send_load, soak, seed * 1000 + index)
                for index in range(CLIENTS)
            ]
            try:
                counts = _inject_faults(soak, time.monotonic() + seconds)
            finally:
                soak.stop.set()
            for future in futures:
                future.result()
        recorder.wait_bills(BILLING_LIMIT_S)
        history = recorder.history()
    return _report(history, counts)


def _report(history: histories.History, counts: dict[str, int]) -> int:
    print(histories.describe(history))
    print(f'faults: {json.dumps(counts)}')
    if not histories.violated(history):
        return 0
    path = pathlib.Path(tempfile.gettempdir())
    path /= f'radishcourse-soak-{history.seed}.json'
    histories.save(history, path)
    print(f'check again: python -m tests.histories {path}')
    return 1


def main() -> None:
    """Entry point."""
    sys.exit(int(fire.Fire(run, serialize=lambda status: None)))


if __name__ == '__main__':
    main()
