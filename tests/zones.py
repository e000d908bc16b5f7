"""Measures completed requests while an availability zone is out of service.

Open-loop, seeded traffic of two kinds goes to four nodes in four zones. One
zone is taken out with the command line, its engines are restarted cold, and
the zone is put back in. Prints the share of completed requests, weighted by
kind, without and with this change.
"""

import concurrent.futures
import random
import time

import fire

from radishcourse_platform import http
from radishcourse_standins import processes
from tests import cluster as clusters
from tests import operators

KIND_WEIGHTS = {'quote': 3.0, 'tag': 1.0}
ZONE = 'sofia-a'
DEADLINE_MS = '5000'
THREADS = 64


def _send(cluster, node: str, kind: str) -> float:
    """Sends a request; returns its weight if it was completed, else 0."""
    headers = {'X-Radish-Deadline-Ms': DEADLINE_MS}
    try:
        reply = cluster.chat(node, kind, headers, stream=kind == 'quote')
    except http.CALL_ERRORS:
        return 0.0
    whole = kind != 'quote' or reply.body.endswith(b'data: [DONE]\n\n')
    return KIND_WEIGHTS[kind] if reply.status == 200 and whole else 0.0


def _change_zone(cluster, seconds: float) -> None:
    """Takes a zone out, restarts its engines cold and puts it back in."""
    time.sleep(seconds / 4)
    operators.run(['zone', 'out', ZONE], cluster.platform)
    time.sleep(3)
    engines = [cluster.upstreams[name] for name in ('small-1', 'large-1')]
    for engine in engines:
        engine.stop()
    started = [
        cluster.started.stand_in(
            'engine', engine.name, port=engine.port, cold=True
        )
        for engine in engines
    ]
    for engine in started:
        processes.wait_http(engine, '/v1/state')
    time.sleep(seconds / 4)
    operators.run(['zone', 'in', ZONE], cluster.platform)


def measure(rate: float, seconds: float, seed: int, change: bool):
    """Sends traffic for some seconds.

    Args:
      rate: Mean requests per second.
      seconds: Duration of the traffic.
      seed: Seed of arrival times, kinds and nodes.
      change: Whether a zone is taken out and put back in.

    Returns:
      Weighted share of completed requests, and the number of requests.
    """
    names = [
        f'{model}-{index}'
        for index in (1, 2, 3, 4)
        for model in ('small', 'large')
    ]
    rng = random.Random(seed)
    with (
        clusters.running(4, tuple(names), ()) as cluster,
        concurrent.futures.ThreadPoolExecutor(THREADS) as pool,
    ):
        _assign_zones(cluster, names)
        if change:
            changing = pool.submit(_change_zone, cluster, seconds)
        sent_weight, results = 0.0, []
        limit = time.monotonic() + seconds
        while time.monotonic() < limit:
            time.sleep(rng.expovariate(rate))
            kind = rng.choice(list(KIND_WEIGHTS))
            node = rng.choice(cluster.names)
            sent_weight += KIND_WEIGHTS[kind]
            results.append(pool.submit(_send, cluster, node, kind))
        completed_weight = sum(result.result() for result in results)
        if change:
            changing.result()
        return completed_weight / sent_weight, len(results)


def _assign_zones(cluster, names: list[str]) -> None:
    """Assigns one engine of each model to each zone."""
    document = clusters.make_document(cluster)
    for index, name in enumerate(names):
        document['upstreams'][name]['zone'] = clusters.ZONES[index // 2]
    cluster.apply(document)
    cluster.wait_revision(2)


def main(rate: float = 40, seconds: float = 24, seeds: int = 3) -> None:
    """Prints the weighted share of completed requests for several seeds."""
    for change in (False, True):
        label = 'zone out and in' if change else 'no change'
        for seed in range(1, seeds + 1):
            share, count = measure(rate, seconds, seed, change)
            print(f'{label}, seed {seed}: {count} requests, {share:.4%}')


if __name__ == '__main__':
    fire.Fire(main)
