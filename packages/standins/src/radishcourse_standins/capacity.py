"""Measures the cost of configuration changes, for docs/CAPACITY.md.

Prints, for configurations of several sizes, the CPU time to apply one change
and the memory of the parsed configuration, then the load at the target size
and rate of changes.
"""

import gc
import time
import tracemalloc

import anyio
import fire
import msgspec

from radishcourse_model import ids
from radishcourse_model import merge
from radishcourse_node.controllers import configuration
from radishcourse_node.controllers import freshness
from radishcourse_platform import revisions
from radishcourse_policy import clock

REPEATS = 20
CHANGES_PER_DAY = 4000
SECONDS_PER_DAY = 86_400
TARGET_UPSTREAMS = 1700
TARGET_ORGANISATIONS = 1000


def make_document(upstreams: int, organisations: int) -> merge.Document:
    """Returns a configuration with so many upstreams and organisations."""
    models = {f'model-{index}': ['v1', 'v2'] for index in range(6)}
    return {
        'models': {
            model: {'versions': {'v1': {'share': 100}, 'v2': {'share': 0}}}
            for model in models
        },
        'cascades': {'all': {'steps': list(models)}},
        'zones': {f'zone-{index}': {'state': 'in'} for index in range(26)},
        'upstreams': {
            f'worker-{index}': {
                'address': f'10.{index // 250}.{index % 250}.1:8000',
                'zone': f'zone-{index % 26}',
                'pool': 'assistant',
                'serves': models,
            }
            for index in range(upstreams)
        },
        'organisations': {
            f'organisation-{index}': {
                'keys': [f'sha256:{index:064x}'],
                'allowed': {model: ['*'] for model in models},
                'kinds': {
                    kind: {'cascade': 'all'} for kind in ('long', 'short')
                },
            }
            for index in range(organisations)
        },
    }


class _Settings:
    poll_s = 0.5


async def _measure_change(document: merge.Document) -> tuple[float, int]:
    """Returns the median CPU seconds per change, and the patch's bytes."""
    system = clock.SystemClock()
    controller = configuration.Configuration(
        _Settings(), system, None, freshness.Freshness(system)
    )
    await controller.adopt(revisions.Snapshot(ids.Revision(1), document))
    durations = []
    for number in range(2, 2 + REPEATS):
        state = 'out' if number % 2 else 'in'
        patch = {'zones': {'zone-0': {'state': state}}}
        expected = merge.digest(merge.apply_patch(document, patch))
        started = time.process_time()
        document = merge.apply_verified(document, patch, expected)
        await controller.adopt(
            revisions.Snapshot(ids.Revision(number), document)
        )
        durations.append(time.process_time() - started)
    return sorted(durations)[REPEATS // 2], len(msgspec.json.encode(patch))


async def _measure_memory(upstreams: int, organisations: int) -> int:
    """Returns the memory of a configuration in use, in bytes."""
    system = clock.SystemClock()
    controller = configuration.Configuration(
        _Settings(), system, None, freshness.Freshness(system)
    )
    encoded = msgspec.json.encode(make_document(upstreams, organisations))
    gc.collect()
    tracemalloc.start()
    document = msgspec.json.decode(encoded)
    await controller.adopt(revisions.Snapshot(ids.Revision(1), document))
    del document
    gc.collect()
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return size


def run() -> None:
    """Prints the cost of a change by configuration size."""
    print(f'{"upstreams":>10}{"organisations":>15}{"ms/change":>11}{"MB":>8}')
    for share in (0.05, 0.25, 0.5, 1.0):
        upstreams = int(TARGET_UPSTREAMS * share)
        organisations = int(TARGET_ORGANISATIONS * share)
        document = make_document(upstreams, organisations)
        seconds, patch_bytes = anyio.run(_measure_change, document)
        size = anyio.run(_measure_memory, upstreams, organisations)
        print(
            f'{upstreams:>10}{organisations:>15}'
            f'{seconds * 1000:>11.2f}{size / 2**20:>8.2f}'
        )
    rate = CHANGES_PER_DAY / SECONDS_PER_DAY
    print(f'patch of one zone: {patch_bytes} bytes')
    print(f'document: {len(msgspec.json.encode(document)) / 2**20:.2f} MB')
    print(
        f'at {CHANGES_PER_DAY} changes per day: {seconds * rate:.2%} of a core,'
        f' {patch_bytes * rate:.1f} bytes of patches per second'
    )


if __name__ == '__main__':
    fire.Fire(run)
