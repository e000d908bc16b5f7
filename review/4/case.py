"""The gateways that follow the store are killed just before a worker drains.

The others learn of the change too late: they send it orders after `drainMs`,
and those that it has not finished when it exits are lost.
"""

import asyncio
import collections
import pathlib
import signal
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / 'common'))
import harness

GATEWAYS = 8
WORKERS = 4
KEY = 'key-1'
ORDER_MS = 200
DRAIN_S = 2.0
# "It continues serving for drainMs ... and a little longer": 0.4 s here.
EXIT_S = DRAIN_S + 0.4
# A follower polls more often than this in that time, as workers report all the
# time; another gateway may poll once.
POLL_PERIOD_S = 2.0
MIN_POLLS = 4
CONTACT_S = 3.0


def find_followers(site: harness.Site) -> set[str]:
    """Returns the gateways that poll the table of workers all the time."""
    since = time.monotonic() - POLL_PERIOD_S
    polls = collections.Counter(
        poll.gateway
        for poll in site.platform.polls
        if poll.table == 'servers' and poll.at > since
    )
    return {gateway for gateway, count in polls.items() if count >= MIN_POLLS}


async def send_orders(site, gateway, sent: dict) -> None:
    """Sends orders on kept connections until cancelled."""
    client = harness.Client(site, gateway)
    while True:
        request, answer = await client.send(
            'POST', f'/order/plain/1/{ORDER_MS}', KEY, b'two pallets'
        )
        sent[request] = (gateway.name, answer)


async def play(site: harness.Site, trouble: bool) -> bool:
    """Returns whether no order reached the worker after its `drainMs`."""
    site.configure(
        [harness.route('order', '/order/', 'non_idempotent', 'desk')],
        [{'name': 'desk', 'healthPath': '/health', 'maxConns': 110}],
        {'tenant-1': [KEY]},
    )
    for _ in range(WORKERS):
        site.add_worker('desk')
    await site.start_gateways(GATEWAYS)
    await asyncio.sleep(CONTACT_S + POLL_PERIOD_S)
    followers = find_followers(site)
    site.record.say(f'{len(followers)} of {GATEWAYS} gateways follow the store')
    if not 0 < len(followers) < GATEWAYS / 2:
        raise harness.CannotRun('the followers of the store are not known')
    lost = [item for item in site.gateways if item.polled_as in followers]
    others = [item for item in site.gateways if item.polled_as not in followers]
    sent: dict = {}
    tasks = [
        asyncio.create_task(send_orders(site, gateway, sent))
        for gateway in others
        for _ in range(4)
    ]
    await asyncio.sleep(CONTACT_S + 0.2)
    if trouble:
        for gateway in lost:
            gateway.signal(signal.SIGKILL)
        await asyncio.sleep(0.05)
    worker = site.workers[0]
    acked_at = worker.drain()
    site.record.note(f'draining of {worker.id} is acknowledged')
    await asyncio.sleep(acked_at + EXIT_S - time.monotonic())
    worker.popen.kill()
    worker.expire()
    site.record.note(f'{worker.id} exits')
    await asyncio.sleep(1.5)
    for task in tasks:
        task.cancel()
    runs = [
        run
        for run in site.runs()
        if run['worker'] == worker.id and run['event'] == 'run'
    ]
    ended = {run['request'] for run in site.runs() if run['event'] == 'end'}
    late = [run for run in runs if run['at'] > acked_at + DRAIN_S]
    for run in late:
        name, answer = sent.get(run['request'], ('', harness.NO_ANSWER))
        site.record.say(
            f'order {run["request"]} reached {worker.id} '
            f'{run["at"] - acked_at:.3f} s after the acknowledgement, from '
            f'{name}; it was '
            f'{"finished" if run["request"] in ended else "lost"}, its '
            f'requester got {answer.status or "no answer"}'
        )
    unfinished = [run for run in late if run['request'] not in ended]
    site.record.say(
        f'{len(late)} orders later than drainMs, {len(unfinished)} of them lost'
    )
    return not late


if __name__ == '__main__':
    sys.exit(harness.run(play, pathlib.Path(__file__).parent))
