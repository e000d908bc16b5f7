"""Faults and changes by the operator that the gateway soak injects."""

import concurrent.futures
import contextlib
import dataclasses
import itertools
import random
import signal
import threading
import time
import typing

from radishcourse_standins import workerfaults
from tests import site as sites
from tests import sitefiles
from tests import soakcalls
from tests import soakrules

EVENTS_PER_STREAM = 8
CRASH_PART = 'crash'
CRASH_POINTS = [point.value for point in workerfaults.CrashPoint]
CRASHED_PAUSE_S = 0.5
ROLLOUT_S = 10

FAULTS: dict[str, typing.Callable] = {}


def _fault(function):
    """Registers a fault: a generator that starts it, yields, and ends it."""
    FAULTS[function.__name__] = contextlib.contextmanager(function)
    return function


def _exclusive_fault(list_targets: typing.Callable):
    """Registers a fault whose target has no other exclusive fault meanwhile.

    Args:
      list_targets: Returns the names of a site's possible targets. The
        generator is given the one that was drawn; it does not run when all
        are reserved.
    """

    def register(function):
        begin = contextlib.contextmanager(function)

        @contextlib.contextmanager
        def run_fault(soak: Soak, rng: random.Random):
            with soak.reserve(rng, list_targets(soak.site)) as name:
                if name is None:
                    yield
                    return
                _revive(soak, name)
                with begin(soak, rng, name):
                    yield

        FAULTS[function.__name__] = run_fault
        return function

    return register


def _revive(soak: 'Soak', name: str) -> None:
    """Starts a worker again that has ended outside of a fault.

    A gateway that was paused may forward a crashing prompt when it resumes,
    after the fault that sent the prompt has ended.
    """
    worker = soak.site.workers.get(name)
    if worker is not None and worker.popen.poll() is not None:
        _start_again(soak, name)
        soak.site.wait_workers(name)


def revive_all(soak: 'Soak') -> None:
    """Starts all workers again that have ended outside of a fault."""
    for name in _permanent_workers(soak.site):
        _revive(soak, name)


@dataclasses.dataclass
class Soak:
    """A site into which faults are injected.

    Attributes:
      site: The processes.
      timeline: Faults and changes with their times, for the checks.
      stopped: Ends all faults early when set.
      reserved: Targets that have an exclusive fault.
      versions: Numbers for versions of the configuration and of the engine.
      lock: Held while a target is reserved.
    """

    site: sites.Site
    timeline: soakrules.Timeline
    stopped: threading.Event = dataclasses.field(
        default_factory=threading.Event
    )
    reserved: set[str] = dataclasses.field(default_factory=set)
    versions: itertools.count = dataclasses.field(
        default_factory=lambda: itertools.count(2)
    )
    lock: threading.Lock = dataclasses.field(default_factory=threading.Lock)

    @contextlib.contextmanager
    def reserve(self, rng: random.Random, names) -> str | None:
        """Yields a name that was not reserved, or None; releases it on exit."""
        with self.lock:
            free = sorted(set(names) - self.reserved)
            name = rng.choice(free) if free else None
            if name:
                self.reserved.add(name)
        try:
            yield name
        finally:
            self.reserved.discard(name)

    @contextlib.contextmanager
    def reserve_all(self, names: list[str]) -> bool:
        """Reserves names unless one is reserved; yields whether it did."""
        with self.lock:
            free = not self.reserved & set(names)
            if free:
                self.reserved.update(names)
        try:
            yield free
        finally:
            if free:
                self.reserved.difference_update(names)


def _gateways(site: sites.Site) -> list[str]:
    return list(site.gateways)


def _permanent_workers(site: sites.Site) -> list[str]:
    """Returns the workers that belong to no roll-out."""
    return [name for name in site.workers if not name.startswith('new')]


@_fault
def store_link(soak: Soak, rng: random.Random):
    """Links from some gateways to the store fail, in one direction or both."""
    names = [name for name in soak.site.gateways if rng.random() < 0.6]
    mode = rng.choice(['refuse', 'blackhole', 'reset', 'slow'])
    direction = rng.choice(['both', 'requests', 'answers'])
    if not names:
        yield
        return
    with soak.timeline.disruption('store'):
        soak.site.link_fault(
            mode, *names, direction=direction, after_bytes=200, delay_ms=400
        )
        yield
        soak.site.link_fault('pass', *names)


@_exclusive_fault(lambda site: ['store'])
def store_mode(soak: Soak, rng: random.Random, name: str):
    """The store refuses requests, hangs, or loses the answers to writes."""
    mode = rng.choice(['busy', 'hang', 'lose'])
    with soak.timeline.disruption(name):
        soak.site.control(soak.site.store, 'faults', {'mode': mode})
        yield
        soak.site.control(soak.site.store, 'faults', {'mode': 'up'})


@_exclusive_fault(lambda site: ['store'])
def store_restored(soak: Soak, rng: random.Random, name: str):
    """The store comes back from a copy that is some seconds old."""
    with soak.timeline.disruption(name):
        soak.site.restore_store(
            rng.uniform(0.5, 8.0),
            down_s=rng.uniform(0.2, 2.0),
            rewrite_s=rng.uniform(0.1, 1.5),
            seed=rng.randrange(1000),
        )
    yield


@_fault
def store_history(soak: Soak, rng: random.Random):
    """The store compacts its history."""
    del rng
    soak.site.control(soak.site.store, 'compact', {})
    yield


@_fault
def worker_link(soak: Soak, rng: random.Random):
    """A worker's link is refused, delayed, reset or silent."""
    name = rng.choice(sorted(soak.site.workers))
    with soak.timeline.disruption(name):
        soak.site.link_fault(
            rng.choice(['blackhole', 'reset', 'slow', 'refuse']),
            name,
            direction=rng.choice(['both', 'requests', 'answers']),
            after_bytes=rng.randrange(0, 600),
            delay_ms=rng.randrange(20, 600),
        )
        yield
        soak.site.link_fault('pass', name)


@_exclusive_fault(_permanent_workers)
def worker_behaviour(soak: Soak, rng: random.Random, name: str):
    """A worker fails, truncates, mixes up or withholds some answers."""
    faults = 'error shed hang close truncate cut extra foreign unstamped silent'
    _change_behaviour(soak, rng, name, faults)
    yield
    soak.site.set_behaviour(name, events=EVENTS_PER_STREAM)


@_exclusive_fault(_permanent_workers)
def worker_answers(soak: Soak, rng: random.Random, name: str):
    """A worker's answers are not what their last byte suggests."""
    faults = 'unframed half_head unsaid stale no_stream restarted'
    _change_behaviour(soak, rng, name, faults)
    yield
    soak.site.set_behaviour(name, events=EVENTS_PER_STREAM)


@_exclusive_fault(_permanent_workers)
def worker_crash(soak: Soak, rng: random.Random, name: str):
    """A worker crashes within an answer that only its connection ends."""
    _change_behaviour(soak, rng, name, 'unframed_crash')
    yield
    process = soak.site.workers[name]
    if process.popen.poll() is None:
        process.kill()
    soak.site.restart_worker(name, name.partition('-')[0])
    soak.site.wait_workers(name)


@_exclusive_fault(lambda site: ['engine-1+engine-2'])
def crashing_prompts(soak: Soak, rng: random.Random, name: str):
    """Prompts with a part that ends the engines come at any gateway."""
    names = name.split('+')
    with soak.reserve_all(names) as reserved:
        if not reserved:
            yield
            return
        stopping, answered = threading.Event(), threading.Event()
        part = f'{CRASH_PART}{next(soak.versions)}'
        with concurrent.futures.ThreadPoolExecutor(2) as pool:
            sending = pool.submit(_send_prompts, soak, rng, part, stopping)
            restarting = pool.submit(_restart_ended, soak, names, answered)
            yield
            stopping.set()
            # Until its answer, a prompt may end another engine.
            sending.result()
            answered.set()
        restarting.result()


def _send_prompts(soak: Soak, rng: random.Random, part: str, stopping) -> None:
    gateways = sorted(soak.site.gateways)
    for number in itertools.count():
        if stopping.wait(rng.uniform(0.05, 0.4)):
            return
        with contextlib.suppress(*soakcalls.CONNECTION_ERRORS):
            soak.site.send(
                rng.choice(gateways),
                'POST',
                f'/draft/{part}-{number}',
                b'prompt',
                X_Prompt_Prefix=f'common:9,{part}:5,own{number}:2',
                X_Token_Count='16,8',
            )


def _restart_ended(soak: Soak, names: list[str], answered) -> None:
    """Restarts engines until no prompt is left and all of them answer."""
    running = False
    while not (answered.wait(CRASHED_PAUSE_S) and running):
        running = True
        for name in names:
            # It may end again before it answers, as prompts are retried.
            if soak.site.workers[name].popen.poll() is not None:
                _start_again(soak, name)
                running = False
            elif not soak.site.responds(name):
                running = False


def _start_again(soak: Soak, name: str) -> None:
    """Starts a worker that has ended, as a new run."""
    service = name.partition('-')[0]
    soak.site.restart_worker(name, service)
    zone = sitefiles.ZONES[int(name[-1]) - 1]
    born = next(soak.versions)
    soak.site.write_entry(name, service, zone=zone, born=born)


@_exclusive_fault(_permanent_workers)
def worker_leaving(soak: Soak, rng: random.Random, name: str):
    """A worker says in its answers that it leaves, and starts again."""
    del rng
    soak.site.set_behaviour(name, events=EVENTS_PER_STREAM, leaving=True)
    with soak.timeline.change('leaving', name):
        yield
    soak.site.workers[name].kill()
    _start_again(soak, name)
    soak.site.wait_workers(name)


@_exclusive_fault(_permanent_workers)
def worker_pausing(soak: Soak, rng: random.Random, name: str):
    """A worker turns some requests away and asks for a pause."""
    soak.site.set_behaviour(
        name,
        fault='shed',
        count=rng.randrange(1, 6),
        events=EVENTS_PER_STREAM,
        retry_after=rng.choice(['0.5', '2', '-1', 'soon']),
    )
    yield
    soak.site.set_behaviour(name, events=EVENTS_PER_STREAM)


def _change_behaviour(soak, rng: random.Random, name: str, faults: str) -> None:
    """Sets one of the faults for some answers of a worker."""
    soak.site.set_behaviour(
        name,
        fault=rng.choice(faults.split()),
        count=rng.randrange(1, 12),
        events=EVENTS_PER_STREAM,
    )


@_exclusive_fault(_permanent_workers)
def worker_pause(soak: Soak, rng: random.Random, name: str):
    """A worker is suspended and resumed."""
    del rng
    soak.site.workers[name].signal(signal.SIGSTOP)
    yield
    soak.site.workers[name].signal(signal.SIGCONT)


@_exclusive_fault(_permanent_workers)
def worker_restart(soak: Soak, rng: random.Random, name: str):
    """A worker is killed and started again."""
    del rng
    soak.site.workers[name].kill()
    yield
    soak.site.restart_worker(name, name.partition('-')[0])
    soak.site.wait_workers(name)


@_exclusive_fault(_gateways)
def gateway_pause(soak: Soak, rng: random.Random, name: str):
    """A gateway is suspended and resumed."""
    del rng
    with soak.timeline.disruption(name):
        soak.site.gateways[name].signal(signal.SIGSTOP)
        yield
        soak.site.gateways[name].signal(signal.SIGCONT)


@_exclusive_fault(_gateways)
def gateway_kill(soak: Soak, rng: random.Random, name: str):
    """A gateway is killed and started again."""
    del rng
    with soak.timeline.disruption(name):
        soak.site.gateways[name].kill()
        yield
        soak.site.restart_gateway(name)


@_exclusive_fault(_gateways)
def gateway_stop(soak: Soak, rng: random.Random, name: str):
    """A gateway is stopped gracefully and started again."""
    del rng
    process = soak.site.gateways[name]
    started = soak.site.accepts_connections(name)
    with soak.timeline.disruption(name):
        process.signal(signal.SIGTERM)
        code = process.popen.wait(sitefiles.GRACE_S + 1)
        # A gateway that did not serve yet need not exit with code 0.
        if started:
            soak.timeline.add_exit(name, code)
        yield
        soak.site.restart_gateway(name)


@_exclusive_fault(_gateways)
def gateway_reload(soak: Soak, rng: random.Random, name: str):
    """A gateway is told to reload its settings."""
    del rng
    # SIGHUP ends a process in the first 10 ms or so of Python's start-up.
    if soak.site.handles_sighup(name):
        soak.site.gateways[name].signal(signal.SIGHUP)
    yield


@_exclusive_fault(lambda site: ['keys'])
def key_withdrawn(soak: Soak, rng: random.Random, name: str):
    """The second organisation's key is withdrawn and restored."""
    del rng, name
    tenants = [{'name': 'first', 'apiKeys': [sitefiles.KEY], 'priority': 2}]
    soak.site.configure(version=next(soak.versions), tenants=tenants)
    with soak.timeline.change('key', sitefiles.OTHER_KEY):
        yield
    soak.site.configure(version=next(soak.versions))


@_exclusive_fault(lambda site: ['desk-1', 'engine-1'])
def worker_drain(soak: Soak, rng: random.Random, name: str):
    """A worker is drained through the state of its entry."""
    del rng
    service = name.partition('-')[0]
    soak.site.write_entry(name, service, state='draining')
    with soak.timeline.change('drain', name):
        yield
    soak.site.write_entry(name, service)


@_exclusive_fault(lambda site: ['zone-b'])
def zone_evacuated(soak: Soak, rng: random.Random, name: str):
    """The second availability zone is evacuated."""
    del rng
    soak.site.put('op', f'evacuate/{name}', {'zone': name})
    with (
        soak.timeline.change('evacuation', 'desk-2'),
        soak.timeline.change('evacuation', 'engine-2'),
    ):
        yield
    soak.site.put('op', f'evacuate/{name}', None)


@_exclusive_fault(lambda site: ['rollout'])
def version(soak: Soak, rng: random.Random, name: str):
    """A new version of the engine's service, good or bad, is rolled out."""
    del name
    number = next(soak.versions)
    names = [f'new-{number}-{index}' for index in (1, 2)]
    bad = rng.random() < 0.6
    with soak.timeline.rollout(names, bad, ROLLOUT_S) as rollout:
        _run_rollout(soak, number, names, bad, rollout)
    yield


def _run_rollout(soak: Soak, number, names, bad: bool, rollout) -> None:
    site = soak.site
    for name in names:
        site.start_worker(name, 'engine', version=f'v{number}', born=number)
    site.wait_workers(*names)
    for name in names:
        fault = 'error' if bad else 'none'
        site.set_behaviour(name, events=EVENTS_PER_STREAM, fault=fault)
    time.sleep(0.5)
    order = {'service': 'engine', 'to': f'v{number}', 'withinS': ROLLOUT_S}
    rollout.begin()
    site.put('op', 'rollout/engine', order)
    state = _wait_final_state(site, f'v{number}')
    rollout.end(state)
    # The platform would stop the old workers; here the new ones are removed.
    time.sleep(1.0)
    for name in names:
        site.put('servers', name, None)
    site.put('op', 'rollout/engine', None)
    time.sleep(1.0)
    for name in names:
        site.workers.pop(name).kill()


def _wait_final_state(site: sites.Site, version_id: str) -> str | None:
    """Returns a version's final state, or its state at the time limit."""
    until = time.monotonic() + ROLLOUT_S
    while True:
        status = site.rollout_status('engine')
        state = status.get('state') if status.get('to') == version_id else None
        if state in soakrules.FINAL_STATES or time.monotonic() > until:
            return state
        time.sleep(0.05)
