"""A stream that begins on a kept channel during a planned stop is cut.

The gateway takes the request, as its route's timeout ends before the grace
does, passes it on, and exits long before the end of the grace.
"""

import asyncio
import pathlib
import signal
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / 'common'))
import harness

GATEWAYS = 4
WORKERS = 4
KEY = 'key-1'
TIMEOUT_MS = 4000
EVENTS = 28
PAUSE_MS = 100
GRACE_S = harness.BOUNDS['graceS']
CONTACT_S = harness.BOUNDS['contactMs'] / 1000
# When the requesters send again, after the SIGTERM.
SEND_AT_S = (2.8, 2.9, 3.0, 3.1)


async def use_channel(site, gateway, send_at: float, got: list) -> None:
    """Sends a request, keeps the channel, and sends another one on it."""
    client = harness.Client(site, gateway)
    _, first = await client.send('POST', '/tag/stream/2/50', KEY, b'enquiry')
    if first.status != 200 or not client.is_open:
        raise harness.CannotRun(f'first answer: {first.status}')
    await asyncio.sleep(send_at - time.monotonic())
    if client.is_closed_by_gateway:
        site.record.note('the gateway has closed the idle channel')
        return
    sent_at = time.monotonic()
    request, answer = await client.send(
        'POST',
        f'/tag/stream/{EVENTS}/{PAUSE_MS}',
        KEY,
        b'enquiry',
        budget_ms=TIMEOUT_MS,
    )
    got.append((request, answer, sent_at, time.monotonic()))


async def play(site: harness.Site, trouble: bool) -> bool:
    """Returns whether each request that was passed on got a whole answer."""
    site.configure(
        [
            harness.route(
                'tag',
                '/tag/',
                'stream',
                'assistant',
                timeoutMs=TIMEOUT_MS,
                streamResume=True,
                gapTargetMs=1000,
            )
        ],
        [{'name': 'assistant', 'healthPath': '/health', 'maxConns': 370}],
        {'tenant-1': [KEY]},
    )
    for _ in range(WORKERS):
        site.add_worker('assistant')
    await site.start_gateways(GATEWAYS)
    await asyncio.sleep(CONTACT_S)
    stopped = site.gateways[0]
    stop_at = time.monotonic() + 0.5
    got: list = []
    tasks = [
        asyncio.create_task(use_channel(site, stopped, stop_at + after_s, got))
        for after_s in SEND_AT_S
    ]
    await asyncio.sleep(stop_at - time.monotonic())
    if trouble:
        stopped.signal(signal.SIGTERM)
    await asyncio.gather(*tasks)
    if trouble:
        until = stop_at + GRACE_S
        while stopped.popen.poll() is None and time.monotonic() < until:
            await asyncio.sleep(0.05)
        site.record.say(
            f'{stopped.name} exited {time.monotonic() - stop_at:.1f} s after '
            f'SIGTERM, its grace is {GRACE_S} s'
        )
    runs = {run['request'] for run in site.runs() if run['event'] == 'run'}
    cut = 0
    for request, answer, sent_at, ended_at in got:
        events = answer.body.count(b'\n\n')
        text = (
            f'{request}: sent {sent_at - stop_at:.1f} s after SIGTERM, '
            f'{"run" if request in runs else "not run"} by a worker, ended '
            f'after {ended_at - sent_at:.1f} s of {TIMEOUT_MS / 1000:g} s with '
            f'{answer.status or "no answer"}, {events} of {EVENTS} events, '
            f'{"whole" if answer.whole else "not complete"}'
        )
        site.record.say(text)
        cut += request in runs and not answer.whole
    return not cut


if __name__ == '__main__':
    sys.exit(harness.run(play, pathlib.Path(__file__).parent))
