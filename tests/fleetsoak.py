"""Injects seeded faults into real gateways and checks their guarantees.

`python -m tests.fleetsoak --seeds 1-50 --seconds 20` runs each seed on a
site of its own: a store, workers, gateways, and a proxy that links the
gateways to the others. Faults overlap; callers keep their connections open.
A run fails if the calls, the runs at workers or the gateways' logs violate
a guarantee.
"""

import collections
import concurrent.futures
import contextlib
import dataclasses
import json
import pathlib
import random
import re
import shutil
import sys
import tempfile
import threading
import time
import typing

import fire

from radishcourse_node import events
from tests import site as sites
from tests import sitefiles
from tests import soakcalls
from tests import soakfaults
from tests import soakrules

GATEWAYS = 4
CALLERS = 8
MAX_CONCURRENT_FAULTS = 3
MAX_FAULT_S = 4.0
# Upper bound of the pause between the starts of two faults.
MAX_GAP_S = 1.2
# Time after the last fault until every gateway must serve again.
RECOVERY_LIMIT_S = 6.0
# A check that is due every STALL_CHECK_INTERVAL_S and comes more than
# STALL_THRESHOLD_S after the last one shows that the machine stalled;
# time limits are not checked for that time.
STALL_CHECK_INTERVAL_S = 0.05
STALL_THRESHOLD_S = 0.5
_ANSWERED = f'{{"event": {events.Event.REQUEST_ANSWERED.value},'


@contextlib.contextmanager
def _detecting_stalls(timeline: soakrules.Timeline):
    """Records stalls: times without processor time or a write to disk."""
    stop = threading.Event()

    def watch(file: typing.IO) -> None:
        seen_at = time.monotonic()
        while not stop.wait(STALL_CHECK_INTERVAL_S):
            file.write('.')
            file.flush()
            now = time.monotonic()
            if now - seen_at > STALL_THRESHOLD_S:
                timeline.add_stall(seen_at, now)
            seen_at = now

    with (
        tempfile.TemporaryFile('w') as file,
        concurrent.futures.ThreadPoolExecutor(1) as pool,
    ):
        watching = pool.submit(watch, file)
        try:
            yield
        finally:
            stop.set()
        watching.result()


def _run_faults(
    soak: soakfaults.Soak, rng: random.Random, seconds: float
) -> None:
    """Starts faults one after the other; some of them overlap."""
    until = time.monotonic() + seconds
    slots = threading.Semaphore(MAX_CONCURRENT_FAULTS)

    def run_fault(name: str, fault_rng: random.Random, length_s: float) -> None:
        try:
            begun_at = time.monotonic()
            with soakfaults.FAULTS[name](soak, fault_rng):
                soak.stopped.wait(length_s)
            soak.timeline.add_fault(name, begun_at, time.monotonic())
        finally:
            slots.release()

    with concurrent.futures.ThreadPoolExecutor(MAX_CONCURRENT_FAULTS) as pool:
        futures = []
        while time.monotonic() < until:
            slots.acquire()
            name = rng.choice(sorted(soakfaults.FAULTS))
            fault_rng = random.Random(rng.random())
            length_s = rng.uniform(0.2, MAX_FAULT_S)
            futures.append(pool.submit(run_fault, name, fault_rng, length_s))
            time.sleep(rng.uniform(0.0, MAX_GAP_S))
    for future in futures:
        future.result()


def check_recovery(soak: soakfaults.Soak) -> list[str]:
    """Returns a line for each gateway that does not serve after the faults."""
    soakfaults.revive_all(soak)
    violations = []
    for name in soak.site.gateways:
        try:
            sites.wait_until(
                lambda name=name: soakcalls.serves(soak.site, name),
                RECOVERY_LIMIT_S,
            )
        except TimeoutError:
            violations.append(
                f'recovery: {name} does not serve after the faults'
            )
    return violations


def run_seed(
    seed: int, seconds: float, log_folder: pathlib.Path | None
) -> list[str]:
    """Runs one seed.

    Args:
      seed: Seed of the faults and of the callers' requests.
      seconds: Time during which faults are started.
      log_folder: Folder for the logs of a run that fails, or None.

    Returns:
      A line for each violation of a guarantee.
    """
    rng = random.Random(seed)
    with sites.running(
        GATEWAYS,
        link_workers=True,
        events=soakfaults.EVENTS_PER_STREAM,
        crash_part=soakfaults.CRASH_PART,
        crash_point=random.Random(seed).choice(soakfaults.CRASH_POINTS),
    ) as site:
        for name in site.workers:
            zone = sitefiles.ZONES[int(name[-1]) - 1]
            site.write_entry(name, name.partition('-')[0], zone=zone)
        soak = soakfaults.Soak(site, soakrules.Timeline())
        with (
            _detecting_stalls(soak.timeline),
            soakcalls.calling(site, CALLERS, seed) as calls,
        ):
            _run_faults(soak, rng, seconds)
            violations = check_recovery(soak)
        runs, records = _read_logs(site.folder)
        violations += soakrules.check(
            soak.timeline, calls, runs, records, soakfaults.EVENTS_PER_STREAM
        )
        violations += [
            f'exit: {name} ended with {process.popen.poll()}'
            for name, process in site.gateways.items()
            if process.popen.poll() is not None
        ]
        if violations and log_folder:
            shutil.copytree(site.folder, log_folder / f'seed-{seed}')
            _write_history(
                log_folder / f'seed-{seed}', soak.timeline, calls, violations
            )
    statuses = collections.Counter(call.status for call in calls)
    print(
        f'seed {seed}: {len(calls)} calls, {len(runs)} runs,'
        f' {dict(sorted(soak.timeline.fault_counts().items()))},'
        f' {dict(sorted(statuses.items()))},'
        f' {soak.timeline.stalled_s:.1f} s stalled,'
        f' {len(violations)} violations',
        flush=True,
    )
    for line in violations[:20]:
        print(f'  {line}', flush=True)
    return violations


def _read_logs(folder: pathlib.Path):
    """Returns the workers' runs and the gateways' records of answers."""
    runs, records = [], []
    for log in folder.glob('*.log'):
        for line in log.read_text(errors='replace').splitlines():
            if line.startswith('{"run":'):
                row = json.loads(line)
                runs.append(
                    soakrules.Run(
                        row['run'], row['worker'], row['target'], row['at']
                    )
                )
            elif line.startswith(_ANSWERED):
                row = json.loads(line)
                records.append(
                    soakrules.AnswerRecord(
                        row['request'], row['organisation'], row['status']
                    )
                )
    return runs, records


def _write_history(folder, notes, calls, violations: list[str]) -> None:
    rows = [dataclasses.asdict(call) for call in calls]
    text = json.dumps(
        {'broken': violations, 'notes': notes.rows(), 'calls': rows},
        default=str,
    )
    (folder / 'history.json').write_text(text)


def main(seeds: str = '1-3', seconds: float = 20.0, keep: str = '') -> None:
    """Runs seeds; exits with code 1 if a guarantee is violated.

    Args:
      seeds: One seed or a range, such as 1-50.
      seconds: Time during which faults are started in each run.
      keep: Folder for the logs of runs that fail; empty to discard them.
    """
    first, last = re.fullmatch(r'(\d+)(?:-(\d+))?', str(seeds)).groups()
    log_folder = pathlib.Path(keep) if keep else None
    failed = [
        seed
        for seed in range(int(first), int(last or first) + 1)
        if run_seed(seed, seconds, log_folder)
    ]
    print(f'failed seeds: {failed}')
    sys.exit(1 if failed else 0)


if __name__ == '__main__':
    fire.Fire(main)
