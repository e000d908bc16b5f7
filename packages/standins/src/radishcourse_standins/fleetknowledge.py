"""Measures what gateways know of each other, in simulated time.

`python -m radishcourse_standins.fleetknowledge --nodes=8,77,195,570` runs the
gateway's own exchange between nodes without sockets. A calm fleet: all nodes
run and each reports a few requests; a share of the calls is lost. It prints,
for each size, what the nodes know and what the exchange costs.
"""

import random
import statistics
import types
import typing

import anyio
import fire

from radishcourse_gateway import peers
from radishcourse_gateway import records
from radishcourse_model import ids
from radishcourse_node import resources
from radishcourse_node import timeouts
from radishcourse_policy import clock as clocks
from radishcourse_policy import evenload
from radishcourse_wire import codec
from radishcourse_wire import errors as wire_errors
from radishcourse_wire.gen.peer import ttypes

LOST_SHARE = 0.02
# Rounds before the measurement, in which all nodes hear of each other.
WARM_UP_S = 12.0
SEEDS = 3
# Upstreams at which a node has requests at a time.
BUSY_UPSTREAMS = 4
MAX_UPSTREAMS = 200


class Knowledge(typing.NamedTuple):
    """What the nodes of a fleet know, and what it costs.

    Attributes:
      alive: Mean share of the other nodes that a node takes for alive.
      alive_least: The least such share of any node.
      news_age_s: Median age of the work that nodes know of each other.
      news_age_most_s: The age that one in ten exceeds.
      sent_per_s: Mean bytes of replies that a node sends in a second.
      steps: Sums of reports that are looked up for the work at all upstreams.
    """

    alive: float
    alive_least: float
    news_age_s: float
    news_age_most_s: float
    sent_per_s: float
    steps: float


class _Load:
    """Requests of a node at a few upstreams, which change with each report."""

    def __init__(self, source: random.Random, upstreams: int):
        self._source = source
        self._names = [f'engine-{number}' for number in range(upstreams)]

    def service_s(self, upstream: ids.UpstreamId) -> float:
        """Returns the mean seconds of a request at an upstream."""
        del upstream
        return evenload.DEFAULT_SERVICE_S

    def reported_work(self) -> list[ttypes.UpstreamWork]:
        """Returns the work to report to other nodes."""
        count = min(BUSY_UPSTREAMS, len(self._names))
        return [
            ttypes.UpstreamWork(name, 1, 100, None)
            for name in self._source.sample(self._names, count)
        ]


class _Sums(dict):
    """Sums of reports by upstream that count how often they are looked up."""

    looked_up = 0

    def get(self, key, default=None):
        """Returns the sums of an upstream."""
        _Sums.looked_up += 1
        return super().get(key, default)


class _Fleet:
    """Nodes that call each other directly."""

    def __init__(self, nodes: int, seed: int):
        self.clock = clocks.ManualClock(100.0)
        self._random = random.Random(seed)
        self._upstreams = min(MAX_UPSTREAMS, nodes)
        names = [f'front-{number}' for number in range(nodes)]
        self.nodes = {f'{name}:1': self._make(name, names) for name in names}
        self.sent_bytes = 0

    def _make(self, name: str, names: list[str]) -> peers.Peers:
        settings = types.SimpleNamespace(
            node=ids.NodeId(name),
            zone=ids.ZoneId('zone-a'),
            peer_listen=f'{name}:1',
            peer_key=b'key',
            seeds=[f'{other}:1' for other in names[:3]],
        )
        node = peers.Peers(
            types.SimpleNamespace(value=settings),
            self.clock,
            random.Random(self._random.random()),
            records.Replica(self.clock),
            None,
            timeouts.Timeouts(self.clock),
            resources.Resources(self.clock),
        )
        source = random.Random(self._random.random())
        node.load = _Load(source, self._upstreams)
        node._client = self
        return node

    async def call(self, address, kind, request, timeout_s):
        """Answers a call of a node as the node at an address would."""
        del kind, timeout_s
        if self._random.random() < LOST_SHARE:
            raise wire_errors.Unreachable(address)
        answer = self.nodes[address]._answer_sync
        reply = await answer(None, request)
        self.sent_bytes += len(codec.encode(reply))
        return reply

    async def run(self, seconds: float) -> None:
        """Runs rounds of all nodes."""
        for _ in range(round(seconds / peers.ROUND_INTERVAL_S)):
            for node in self.nodes.values():
                await node.run_round()
            self.clock.advance(peers.ROUND_INTERVAL_S)

    def alive_shares(self) -> list[float]:
        """Returns the share of the others that each node takes for alive."""
        others = len(self.nodes) - 1
        return [len(node.alive) / others for node in self.nodes.values()]

    def news_ages_s(self) -> list[float]:
        """Returns the ages of all work that nodes know of each other."""
        now = self.clock.now()
        return [
            now - peer.reported_at
            for node in self.nodes.values()
            for peer in node.alive
            if peer.reported_at
        ]

    def steps(self) -> float:
        """Returns the mean number of sums looked up for one choice."""
        _Sums.looked_up = 0
        sample = list(self.nodes.values())[:3]
        for node in sample:
            node._work._sums = _Sums(node._work._sums)
            for number in range(self._upstreams):
                node.others_work(ids.UpstreamId(f'engine-{number}'))
        return _Sums.looked_up / len(sample)


async def _measure(nodes: int, seconds: float, seed: int) -> Knowledge:
    fleet = _Fleet(nodes, seed)
    await fleet.run(WARM_UP_S)
    fleet.sent_bytes = 0
    shares: list[float] = []
    ages_s: list[float] = []
    for _ in range(max(1, round(seconds))):
        await fleet.run(1.0)
        shares += fleet.alive_shares()
        ages_s += fleet.news_ages_s()
    deciles = statistics.quantiles(ages_s, n=10)
    return Knowledge(
        statistics.fmean(shares),
        min(shares),
        deciles[4],
        deciles[8],
        fleet.sent_bytes / nodes / max(1, round(seconds)),
        fleet.steps(),
    )


def measure(nodes: int, seconds: float, seed: int = 1) -> Knowledge:
    """Returns what the nodes of a calm fleet know of each other.

    Args:
      nodes: Number of nodes; as many upstreams, MAX_UPSTREAMS at most.
      seconds: Simulated time that is measured.
      seed: Seed of all random choices.
    """
    return anyio.run(_measure, nodes, seconds, seed)


def main(nodes='8,77,195,570', seconds: float = 5.0, seeds: int = SEEDS):
    """Prints a row for each size and seed.

    Args:
      nodes: Numbers of nodes.
      seconds: Simulated time that is measured.
      seeds: Number of seeds.
    """
    sizes = nodes if isinstance(nodes, tuple) else str(nodes).split(',')
    print('nodes seed alive least news_s nine_in_ten_s B/s steps')
    for size in map(int, sizes):
        for seed in range(1, seeds + 1):
            found = measure(size, seconds, seed)
            print(
                f'{size} {seed} {found.alive:.3f} {found.alive_least:.3f}'
                f' {found.news_age_s:.2f} {found.news_age_most_s:.2f}'
                f' {found.sent_per_s:.0f} {found.steps:.0f}',
                flush=True,
            )


if __name__ == '__main__':
    fire.Fire(main)
