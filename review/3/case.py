"""A request that a model has run is answered 503, as if it had not run.

The gateway drops the answer of a small model to repeat the request on a larger
one, and then finds that no worker can take it: they have come back cold.
"""

import asyncio
import itertools
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / 'common'))
import harness

GATEWAYS = 3
WORKERS = 2
KEY = 'key-1'
COLD_S = 3.0
COLD_PER_S = 4.0
DOWN_S = 2.0
CONFIDENCES = (5, 90)


async def send_requests(site, gateway, numbers, got: list) -> None:
    """Sends requests until cancelled."""
    client = harness.Client(site, gateway)
    while True:
        number = next(numbers)
        confidence = CONFIDENCES[number // 2 % 2]
        request, answer = await client.send(
            'POST',
            f'/quote/stream/3/30?confidence={confidence}',
            KEY,
            b'a prompt',
            X_Model='*',
            X_Token_Count='400,80',
        )
        got.append((request, answer))
        await asyncio.sleep(0.1)


async def play(site: harness.Site, trouble: bool) -> bool:
    """Returns whether each request that was answered 503 was not run."""
    site.configure(
        [
            harness.route(
                'quote',
                '/quote/',
                'stream',
                'assistant',
                sizes=['small', 'large'],
                affinity=True,
                gapTargetMs=1000,
            )
        ],
        [
            {
                'name': 'assistant',
                'healthPath': '/health',
                'maxConns': 370,
                'coldStartS': COLD_S,
                'coldPerS': COLD_PER_S,
                'engine': {
                    'slots': 64,
                    'kvCapacity': 444000,
                    'models': [
                        {'name': 'small', 'cost': 0.026},
                        {'name': 'large', 'cost': 0.39},
                    ],
                },
            }
        ],
        {'tenant-1': [KEY]},
    )
    for _ in range(WORKERS):
        site.add_worker('assistant', slots=64)
    await site.start_gateways(GATEWAYS)
    await asyncio.sleep(3)
    numbers, got = itertools.count(), []
    tasks = [
        asyncio.create_task(send_requests(site, gateway, numbers, got))
        for gateway in site.gateways
    ]
    await asyncio.sleep(2)
    if trouble:
        for worker in site.workers:
            worker.silence()
            worker.popen.kill()
            site.record.note(f'{worker.id} crashes')
        await asyncio.sleep(DOWN_S)
        for worker in site.workers:
            worker.start()
        await asyncio.sleep(0.5)
        for worker in site.workers:
            worker.resume(cold_s=COLD_S)
            site.record.note(f'{worker.id} is back, cold')
    await asyncio.sleep(COLD_S + 2)
    for task in tasks:
        task.cancel()
    models: dict[str, list[str]] = {}
    for run in site.runs():
        if run['event'] == 'run':
            models.setdefault(run['request'], []).append(run['model'])
    refused = [item for item in got if item[1].status == 503]
    untrue = [request for request, _ in refused if request in models]
    for request in untrue:
        site.record.say(
            f'{request}: answered 503, has run on {models[request]}'
        )
    site.record.say(
        f'{len(got)} requests, {len(refused)} answered 503, {len(untrue)} of '
        f'them have run'
    )
    return not untrue


if __name__ == '__main__':
    sys.exit(harness.run(play, pathlib.Path(__file__).parent))
