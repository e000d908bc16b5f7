"""Plays seeded faults on real gateways and checks the promises to callers.

`python -m tests.fleetsoak --seeds 1-50 --seconds 20` plays each seed on a
site of its own: a store, workers, a proxy between all of them and the
gateways. Faults come in series and overlap; callers keep their connections.
A run fails on a promise that callers or workers saw broken.
"""

import collections
import concurrent.futures
import contextlib
import dataclasses
import itertools
import json
import pathlib
import random
import re
import shutil
import signal
import sys
import threading
import time

import fire

from tests import site as sites
from tests import soakcalls
from tests import soakrules

GATEWAYS = 4
CALLERS = 8
EVENTS = 8
FAULTS_AT_ONCE = 3
LONGEST_FAULT_S = 4.0
# Pauses between the starts of faults are drawn below this.
LONGEST_GAP_S = 1.2
ROLLOUT_S = 10
# All gateways are ready and serve again this long after the last fault.
SETTLE_S = 6.0

_faults: dict[str, object] = {}


def _fault(function):
    """Registers a fault: a generator that begins it, yields, and ends it."""
    _faults[function.__name__] = contextlib.contextmanager(function)
    return function


@dataclasses.dataclass
class Soak:
    """A site under faults.

    Attributes:
      site: The processes.
      notes: What was done and when, for the checks.
      stopped: Set when no more faults are to begin.
      busy: Names that have a fault of which there may be one at a time.
    """

    site: sites.Site
    notes: soakrules.Notes
    stopped: threading.Event = dataclasses.field(
        default_factory=threading.Event
    )
    busy: set[str] = dataclasses.field(default_factory=set)
    versions: itertools.count = dataclasses.field(
        default_factory=lambda: itertools.count(2)
    )
    guard: threading.Lock = dataclasses.field(default_factory=threading.Lock)

    @contextlib.contextmanager
    def taking(self, source: random.Random, names) -> str | None:
        """Yields a name that no other fault has, or None; frees it after."""
        with self.guard:
            free = sorted(set(names) - self.busy)
            name = source.choice(free) if free else None
            if name:
                self.busy.add(name)
        try:
            yield name
        finally:
            self.busy.discard(name)


@_fault
def store_link(soak: Soak, source: random.Random):
    """The store can't be reached from some gateways, or not one way."""
    names = [name for name in soak.site.gateways if source.random() < 0.6]
    mode = source.choice(['refuse', 'blackhole', 'reset', 'slow'])
    direction = source.choice(['both', 'requests', 'answers'])
    if not names:
        yield
        return
    with soak.notes.trouble('store'):
        soak.site.link_fault(
            mode, *names, direction=direction, after_bytes=200, delay_ms=400
        )
        yield
        soak.site.link_fault('pass', *names)


@_fault
def store_mode(soak: Soak, source: random.Random):
    """The store refuses, hangs, or loses the answers to writes."""
    with soak.taking(source, ['store']) as name, soak.notes.trouble('store'):
        if name:
            mode = source.choice(['busy', 'hang', 'lose'])
            soak.site.control(soak.site.store, 'faults', {'mode': mode})
        yield
        if name:
            soak.site.control(soak.site.store, 'faults', {'mode': 'up'})


@_fault
def store_history(soak: Soak, source: random.Random):
    """The store forgets its history."""
    del source
    soak.site.control(soak.site.store, 'compact', {})
    yield


@_fault
def worker_link(soak: Soak, source: random.Random):
    """Connections to a worker are delayed, reset or silent one way."""
    name = source.choice(sorted(soak.site.workers))
    with soak.notes.trouble(name):
        soak.site.link_fault(
            source.choice(['blackhole', 'reset', 'slow', 'refuse']),
            name,
            direction=source.choice(['both', 'requests', 'answers']),
            after_bytes=source.randrange(0, 600),
            delay_ms=source.randrange(20, 600),
        )
        yield
        soak.site.link_fault('pass', name)


@_fault
def worker_behaviour(soak: Soak, source: random.Random):
    """A worker fails, cuts, mixes up or withholds some answers."""
    faults = 'error shed hang close truncate cut extra foreign unstamped silent'
    with soak.taking(source, soak.site.workers) as name:
        if name:
            soak.site.behave(
                name,
                fault=source.choice(faults.split()),
                count=source.randrange(1, 12),
                events=EVENTS,
            )
        yield
        if name:
            with contextlib.suppress(OSError):
                soak.site.behave(name, events=EVENTS)


@_fault
def worker_pause(soak: Soak, source: random.Random):
    """A worker stops and goes on."""
    with soak.taking(source, soak.site.workers) as name:
        if name:
            soak.site.workers[name].signal(signal.SIGSTOP)
        yield
        if name:
            soak.site.workers[name].signal(signal.SIGCONT)


@_fault
def worker_restart(soak: Soak, source: random.Random):
    """A worker crashes and comes back."""
    names = [name for name in soak.site.workers if 'new' not in name]
    with soak.taking(source, names) as name:
        if name:
            soak.site.workers[name].kill()
        yield
        if name:
            soak.site.restart_worker(name, name.partition('-')[0])


@_fault
def gateway_pause(soak: Soak, source: random.Random):
    """A gateway stops and goes on."""
    with soak.taking(source, soak.site.gateways) as name:
        if not name:
            yield
            return
        with soak.notes.trouble(name):
            soak.site.gateways[name].signal(signal.SIGSTOP)
            yield
            soak.site.gateways[name].signal(signal.SIGCONT)


@_fault
def gateway_kill(soak: Soak, source: random.Random):
    """A gateway is killed and started again."""
    with soak.taking(source, soak.site.gateways) as name:
        if not name:
            yield
            return
        with soak.notes.trouble(name):
            soak.site.gateways[name].kill()
            yield
            soak.site.restart_gateway(name)


@_fault
def gateway_stop(soak: Soak, source: random.Random):
    """A gateway is stopped as planned, and started again."""
    with soak.taking(source, soak.site.gateways) as name:
        if not name:
            yield
            return
        process = soak.site.gateways[name]
        with soak.notes.trouble(name):
            process.signal(signal.SIGTERM)
            soak.notes.note_exit(name, process.popen.wait(sites.GRACE_S + 1))
            yield
            soak.site.restart_gateway(name)


@_fault
def gateway_reload(soak: Soak, source: random.Random):
    """A gateway is told to read its settings again."""
    with soak.taking(source, soak.site.gateways) as name:
        if name:
            soak.site.gateways[name].signal(signal.SIGHUP)
        yield


@_fault
def key_withdrawn(soak: Soak, source: random.Random):
    """The second organisation's key is taken away and comes back."""
    with soak.taking(source, ['keys']) as name:
        if not name:
            yield
            return
        tenants = [{'name': 'first', 'apiKeys': [sites.KEY], 'priority': 2}]
        soak.site.configure(version=next(soak.versions), tenants=tenants)
        with soak.notes.change('key', sites.OTHER_KEY):
            yield
        soak.site.configure(version=next(soak.versions))


@_fault
def worker_drain(soak: Soak, source: random.Random):
    """A worker leaves; its entry says so."""
    names = ['desk-1', 'engine-1']
    with soak.taking(source, names) as name:
        if not name:
            yield
            return
        service = name.partition('-')[0]
        soak.site.enter(name, service, state='draining')
        with soak.notes.change('drain', name):
            yield
        soak.site.enter(name, service)


@_fault
def zone_evacuated(soak: Soak, source: random.Random):
    """Nothing may go to the second zone any more."""
    with soak.taking(source, ['zone']) as name:
        if not name:
            yield
            return
        soak.site.put('op', 'evacuate/zone-b', {'zone': 'zone-b'})
        with soak.notes.change('evacuation', 'desk-2'):
            with soak.notes.change('evacuation', 'engine-2'):
                yield
        soak.site.put('op', 'evacuate/zone-b', None)


@_fault
def version(soak: Soak, source: random.Random):
    """A new version of the engine's service, good or bad, is ordered."""
    with soak.taking(source, ['rollout']) as name:
        if not name:
            yield
            return
        number = next(soak.versions)
        names = [f'new-{number}-{index}' for index in (1, 2)]
        bad = source.random() < 0.6
        with soak.notes.rollout(names, bad) as rollout:
            _play_version(soak, number, names, bad, rollout)
        yield


def _play_version(soak: Soak, number, names, bad: bool, rollout) -> None:
    site = soak.site
    for name in names:
        site.worker(name, 'engine', version=f'v{number}', born=number)
    site.wait_workers()
    for name in names:
        fault = 'error' if bad else 'none'
        site.behave(name, events=EVENTS, fault=fault)
    time.sleep(0.5)
    order = {'service': 'engine', 'to': f'v{number}', 'withinS': ROLLOUT_S}
    rollout.begin()
    site.put('op', 'rollout/engine', order)
    with contextlib.suppress(TimeoutError):
        sites.await_true(
            lambda: (
                site.status('engine').get('state') in soakrules.FINAL
                and site.status('engine').get('to') == f'v{number}'
            ),
            ROLLOUT_S,
        )
    status = site.status('engine')
    of_order = status.get('to') == f'v{number}'
    rollout.end(status.get('state') if of_order else None)
    # The platform would stop the old workers; here the new ones leave again.
    time.sleep(1.0)
    for name in names:
        site.put('servers', name, None)
    site.put('op', 'rollout/engine', None)
    time.sleep(1.0)
    for name in names:
        site.workers.pop(name).kill()


def _play_faults(soak: Soak, source: random.Random, seconds: float) -> None:
    """Begins faults one after the other, some of which overlap."""
    until = time.monotonic() + seconds
    free = threading.Semaphore(FAULTS_AT_ONCE)

    def play(name: str, own: random.Random, length_s: float) -> None:
        try:
            begun_at = time.monotonic()
            with _faults[name](soak, own):
                soak.stopped.wait(length_s)
            soak.notes.note_fault(name, begun_at, time.monotonic())
        finally:
            free.release()

    with concurrent.futures.ThreadPoolExecutor(FAULTS_AT_ONCE) as pool:
        played = []
        while time.monotonic() < until:
            free.acquire()
            name = source.choice(sorted(_faults))
            own = random.Random(source.random())
            length_s = source.uniform(0.2, LONGEST_FAULT_S)
            played.append(pool.submit(play, name, own, length_s))
            time.sleep(source.uniform(0.0, LONGEST_GAP_S))
    for item in played:
        item.result()


def _check_recovery(soak: Soak) -> list[str]:
    broken = []
    for name in soak.site.gateways:
        try:
            sites.await_true(
                lambda name=name: soakcalls.serves(soak.site, name), SETTLE_S
            )
        except TimeoutError:
            broken.append(f'recovery: {name} does not serve after the faults')
    return broken


def play(seed: int, seconds: float, kept: pathlib.Path | None) -> list[str]:
    """Plays one seed.

    Args:
      seed: Source of the faults.
      seconds: How long faults begin.
      kept: Folder for the logs of a run that fails.

    Returns:
      The promises that were broken.
    """
    source = random.Random(seed)
    with sites.running(GATEWAYS, linked=True, events=EVENTS) as site:
        for name in site.workers:
            zone = sites.ZONES[int(name[-1]) - 1]
            site.enter(name, name.partition('-')[0], zone=zone)
        soak = Soak(site, soakrules.Notes())
        with soakcalls.calling(site, CALLERS, seed) as calls:
            _play_faults(soak, source, seconds)
            broken = _check_recovery(soak)
        runs = _read_runs(site.folder)
        broken += soakrules.check(soak.notes, calls, runs, EVENTS)
        broken += [
            f'exit: {name} ended with {process.popen.poll()}'
            for name, process in site.gateways.items()
            if process.popen.poll() is not None
        ]
        if broken and kept:
            shutil.copytree(site.folder, kept / f'seed-{seed}')
            _write_history(kept / f'seed-{seed}', soak.notes, calls, broken)
    statuses = collections.Counter(call.status for call in calls)
    print(
        f'seed {seed}: {len(calls)} calls, {len(runs)} runs,'
        f' {dict(sorted(soak.notes.counts().items()))},'
        f' {dict(sorted(statuses.items()))}, {len(broken)} broken',
        flush=True,
    )
    for line in broken[:20]:
        print(f'  {line}', flush=True)
    return broken


def _read_runs(folder: pathlib.Path) -> list[soakrules.Run]:
    runs = []
    for log in folder.glob('*.log'):
        for line in log.read_text(errors='replace').splitlines():
            if line.startswith('{"run":'):
                row = json.loads(line)
                runs.append(
                    soakrules.Run(
                        row['run'], row['worker'], row['target'], row['at']
                    )
                )
    return runs


def _write_history(folder, notes, calls, broken: list[str]) -> None:
    rows = [dataclasses.asdict(call) for call in calls]
    text = json.dumps(
        {'broken': broken, 'notes': notes.rows(), 'calls': rows}, default=str
    )
    (folder / 'history.json').write_text(text)


def main(seeds: str = '1-3', seconds: float = 20.0, keep: str = '') -> None:
    """Plays seeds and ends with code 1 if a promise was broken.

    Args:
      seeds: One seed or a range, as in 1-50.
      seconds: How long faults begin in each run.
      keep: Folder for the logs of runs that fail.
    """
    first, last = re.fullmatch(r'(\d+)(?:-(\d+))?', str(seeds)).groups()
    kept = pathlib.Path(keep) if keep else None
    failed = [
        seed
        for seed in range(int(first), int(last or first) + 1)
        if play(seed, seconds, kept)
    ]
    print(f'failed seeds: {failed}')
    sys.exit(1 if failed else 0)


if __name__ == '__main__':
    fire.Fire(main)
