"""Measures the cost of gossip: traffic, CPU, memory, propagation time.

Nodes run as processes without callers or upstreams, so all that they use is
control-plane work. Traffic between them goes through the proxy, which counts
its bytes. For larger fleets, one node's member table and messages are
measured instead.
"""

import json
import os
import pathlib
import random
import resource
import tempfile
import time
import tracemalloc
import types
import typing

import anyio
import fire
import httpcore

from radishcourse_model import ids
from radishcourse_model import merge
from radishcourse_model import states
from radishcourse_node import exchange
from radishcourse_node.controllers import configuration
from radishcourse_node.controllers import freshness
from radishcourse_policy import clock as clocks
from radishcourse_policy import freshness as freshness_policy
from radishcourse_policy import membership
from radishcourse_standins import processes
from radishcourse_wire import codec
from radishcourse_wire import credentials
from radishcourse_wire import frames
from radishcourse_wire import server
from radishcourse_wire.gen.peer import ttypes

FLEET_SIZES = (2, 4, 8, 16)
MEMBER_COUNTS = (2, 16, 32, 128, 570)
ZONES = 4
# Longer than the 10 s for which membership changes of the start are gossiped.
SETTLE_S = 14.0
REVISIONS = 5
EXCHANGES = 2000
KEY = ids.KeyId('k1')
SECRET = 'a-secret-for-the-measurement'
GOSSIP_S = 0.5


class Row(typing.NamedTuple):
    """Cost of one node in a fleet of `nodes`.

    Attributes:
      nodes: Size of the fleet.
      bytes_per_s: Bytes that the node sends to other nodes per second.
      core_percent: CPU use of the process, in percent of a core.
      resident_mb: Resident memory of the process, in MiB.
      in_force_s: Median time from publishing a revision until all nodes have
        applied it.
      slowest_s: The longest of these times.
    """

    nodes: int
    bytes_per_s: float
    core_percent: float
    resident_mb: float
    in_force_s: float
    slowest_s: float


class Message(typing.NamedTuple):
    """Cost of gossip messages in a fleet of `nodes`.

    Attributes:
      nodes: Size of the fleet.
      request_bytes: Size of a pull request frame.
      reply_bytes: Size of its reply frame.
      bytes_per_s: Bytes that a node sends per second.
      us_per_exchange: CPU time in microseconds of making, answering and
        merging one pull, on both sides together.
      core_percent: CPU use at the gossip rate, in percent of a core.
      member_bytes: Memory per known member.
    """

    nodes: int
    request_bytes: int
    reply_bytes: int
    bytes_per_s: float
    us_per_exchange: float
    core_percent: float
    member_bytes: float


def measure_fleet(count: int, seconds: float) -> Row:
    """Returns the mean cost per node of a fleet of processes.

    Args:
      count: Number of nodes.
      seconds: Time for which traffic and CPU use are measured.
    """
    with (
        tempfile.TemporaryDirectory() as folder,
        processes.started(pathlib.Path(folder)) as started,
    ):
        platform = started.stand_in('platform')
        proxy = started.stand_in('proxy')
        for process in (platform, proxy):
            processes.wait_http(process, '/', None)
        _publish(platform, 1)
        nodes = _start(started, platform, proxy, count)
        for node in nodes:
            processes.wait_http(node, '/readyz')
        time.sleep(SETTLE_S)
        cpu, sent_bytes = _cpu_s(nodes), _forwarded_bytes(proxy)
        time.sleep(seconds)
        cpu, sent_bytes = (
            _cpu_s(nodes) - cpu,
            _forwarded_bytes(proxy) - sent_bytes,
        )
        memory = sum(map(_resident_mb, nodes)) / count
        delays = sorted(
            _measure_propagation(platform, nodes, number)
            for number in range(2, 2 + REVISIONS)
        )
    node_seconds = count * seconds
    return Row(
        count,
        sent_bytes / node_seconds,
        100 * cpu / node_seconds,
        memory,
        delays[len(delays) // 2],
        delays[-1],
    )


def _start(started, platform, proxy, count: int) -> list[processes.Process]:
    peers = [f'127.0.0.1:{processes.free_port()}' for _ in range(count)]
    nodes = []
    for index in range(count):
        links = [
            {
                'name': f'{index}>{other}',
                'port': processes.free_port(),
                'target': peers[other],
            }
            for other in range(count)
            if other != index
        ]
        _post(proxy, '/control/links', links)
        names = [link['name'].partition('>')[2] for link in links]
        nodes.append(
            started.node(
                {
                    'node': f'entry-{index}',
                    'zone': f'zone-{index % ZONES}',
                    'platform': platform.url,
                    'rating': platform.url,
                    'peer_listen': peers[index],
                    'peer_keys': {KEY: SECRET},
                    'peer_key': KEY,
                    'peer_routes': {
                        f'entry-{name}': f'127.0.0.1:{link["port"]}'
                        for name, link in zip(names, links, strict=True)
                    },
                    'seeds': [
                        {'node': f'entry-{name}', 'address': peers[int(name)]}
                        for name in names
                    ],
                }
            )
        )
    return nodes


def _post(process, path: str, body) -> bytes:
    data = json.dumps(body).encode()
    return httpcore.request('POST', process.url + path, content=data).content


def _publish(platform, revision: int) -> None:
    """Publishes a revision whose document holds a single zone."""
    snapshot, change = _make_document(revision - 1), _make_document(revision)
    digest = merge.digest(change)
    head = {
        'revision': revision,
        'digest': digest,
        'write_id': str(revision),
        'author': 'measure',
    }
    patch = merge.diff(snapshot, change)
    row = {**head, 'patch': patch}
    puts = [
        {'key': 'config/head', 'value': head},
        {'key': f'config/rev/{revision:012d}', 'value': row},
    ]
    _post(platform, '/v1/table/transact', {'puts': puts})


def _make_document(revision: int) -> dict:
    return {'zones': {f'zone-{revision}': {'state': 'in'}}} if revision else {}


def _measure_propagation(platform, nodes, revision: int) -> float:
    """Publishes a revision and returns the seconds until all nodes apply it."""
    accepted = time.time()
    _publish(platform, revision)
    return max(_in_force_at(node, revision) for node in nodes) - accepted


def _in_force_at(node, revision: int) -> float:
    limit = time.monotonic() + processes.START_TIMEOUT_S
    while time.monotonic() < limit:
        for line in node.log.read_text().splitlines():
            event = json.loads(line)
            if event['event'] == 201 and event['revision'] >= revision:
                return event['timestamp']
        time.sleep(processes.POLL_S)
    raise TimeoutError(f'{node.name} did not apply revision {revision}')


def _forwarded_bytes(proxy) -> int:
    reply = httpcore.request('GET', f'{proxy.url}/control/counts')
    counts = json.loads(reply.content).values()
    return sum(sum(count.values()) for count in counts)


def _cpu_s(nodes) -> float:
    total = 0
    for node in nodes:
        stat = pathlib.Path(f'/proc/{node.popen.pid}/stat').read_text()
        fields = stat.rpartition(')')[2].split()
        total += int(fields[11]) + int(fields[12])
    return total / os.sysconf('SC_CLK_TCK')


def _resident_mb(node) -> float:
    path = pathlib.Path(f'/proc/{node.popen.pid}/statm')
    pages = int(path.read_text().split()[1])
    return pages * resource.getpagesize() / 2**20


class _NodeStub:
    """The attributes of a node that `exchange.Exchange` uses."""

    def __init__(self, name: str):
        clock = clocks.SystemClock()
        self.settings = types.SimpleNamespace(
            node=ids.NodeId(name),
            zone=ids.ZoneId('zone-0'),
            peer_advertise=None,
            peer_listen='10.0.0.1:9000',
        )
        self.environment = types.SimpleNamespace(
            clock=clock, random=random.Random(1)
        )
        self.incarnation = ids.Incarnation(f'{name}.0123abcd')
        self.state = states.MemberState.ALIVE
        self.freshness = freshness.Freshness(clock)
        self.freshness.confirm(clock.now())
        self.configuration = configuration.Configuration(
            None, clock, None, self.freshness
        )
        self.bills = self.upstreams = self.quality = None


def measure_messages(count: int) -> Message:
    """Returns the cost of gossip messages in a fleet of `count` nodes."""
    node = _NodeStub('entry-0')
    tracemalloc.start()
    known = membership.Members(node.settings.node)
    for index in range(1, count):
        known.apply_update(
            _make_member(index, node.environment.clock.now()), direct=False
        )
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    requester = exchange.Exchange(node, known)
    member = known.all[ids.NodeId('entry-1')]
    member.synced = True
    other = _NodeStub('entry-1')
    responder = exchange.Exchange(other, known)
    sizes = anyio.run(_exchange, requester, responder, member)
    started = time.process_time()
    anyio.run(_repeat, requester, responder, member)
    cpu_per_exchange_s = (time.process_time() - started) / EXCHANGES
    rate = membership.fanout(count) / GOSSIP_S
    return Message(
        count,
        *sizes,
        rate * sum(sizes),
        cpu_per_exchange_s * 1e6,
        100 * rate * cpu_per_exchange_s,
        size / max(1, count - 1),
    )


async def _repeat(requester, responder, member) -> None:
    for _ in range(EXCHANGES):
        await _exchange(requester, responder, member)


async def _exchange(requester, responder, member) -> tuple[int, int]:
    """Runs a pull with both sides' codecs and MACs; returns frame sizes."""
    own = credentials.Credentials(
        ids.NodeId('entry-0'), ids.Incarnation('entry-0.0123abcd'),
        {KEY: SECRET}, KEY,
    )  # fmt: skip
    challenge = bytes(credentials.CHALLENGE_BYTES)
    request = ttypes.Envelope(kind=1, counter=999)
    request.body = codec.encode(requester.make_pull(member))
    own.sign_request(request, challenge)
    sent = codec.encode(request)
    received = codec.decode(ttypes.Envelope, sent)
    own.verify_request(received, challenge)
    pull = codec.decode(ttypes.Pull, received.body)
    sender = server.Sender(own.node, own.incarnation)
    answer = await responder.answer_pull(sender, pull)
    reply = ttypes.Envelope(kind=1, counter=999, body=codec.encode(answer))
    own.sign_reply(reply, challenge)
    replied = codec.encode(reply)
    received = codec.decode(ttypes.Envelope, replied)
    own.verify_reply(received, challenge)
    pull_reply = codec.decode(ttypes.PullReply, received.body)
    await requester.apply_reply(member, pull_reply, clocks.SystemClock().now())
    prefix = frames.LENGTH_BYTES
    return len(sent) + prefix, len(replied) + prefix


def _make_member(index: int, now: float) -> membership.MemberUpdate:
    node = ids.NodeId(f'entry-{index}')
    return membership.MemberUpdate(
        node,
        ids.Incarnation(f'{node}.0123abcd'),
        100_000 + index,
        now,
        states.MemberState.ALIVE,
        ids.ZoneId(f'zone-{index % ZONES}'),
        f'10.0.{index // 256}.{index % 256}:9000',
    )


def _print(rows) -> None:
    names = rows[0]._fields
    print(' '.join(f'{name:>16}' for name in names))
    for row in rows:
        print(' '.join(f'{float(value):16.2f}' for value in row))
    first, last = rows[0], rows[-1]
    span = last.nodes - first.nodes
    slopes = [(b - a) / span for a, b in zip(first, last, strict=True)]
    print(' '.join(f'{value:16.3f}' for value in slopes), 'per node')


def run(seconds: float = 8.0) -> None:
    """Prints the cost of fleets of processes and of larger fleets' messages.

    Args:
      seconds: Time for which each fleet of processes is measured.
    """
    polls = freshness_policy.poll_interval(max(MEMBER_COUNTS))
    print(
        f'poll interval of the revision head at {max(MEMBER_COUNTS)} nodes: '
        f'{polls} s'
    )
    _print([measure_messages(count) for count in MEMBER_COUNTS])
    _print([measure_fleet(count, seconds) for count in FLEET_SIZES])


if __name__ == '__main__':
    fire.Fire(run)
