"""Measures what gossip costs: bytes, CPU, memory, time to a change.

Nodes run as processes without callers or upstreams, so what they spend is
control. Traffic between them passes the proxy, which counts it. Larger
fleets are measured on one node's tables and messages.
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

FLEETS = (2, 4, 8, 16)
TABLES = (2, 16, 32, 128, 570)
ZONES = 4
# News of the start are told for 10 s.
SETTLE_S = 14.0
CHANGES = 5
MESSAGES = 2000
KEY = ids.KeyId('k1')
SECRET = 'a-secret-for-the-measurement'
GOSSIP_S = 0.5


class Row(typing.NamedTuple):
    """Cost of one node in a fleet of `nodes`.

    Attributes:
      nodes: Size of the fleet.
      bytes_per_s: Bytes that the node sends to others in a second.
      core_percent: CPU time of the process, in percent of a core.
      resident_mb: Memory of the process, in MiB.
      in_force_s: Median time from `apply` to the last node in force.
      slowest_s: The longest of these times.
    """

    nodes: int
    bytes_per_s: float
    core_percent: float
    resident_mb: float
    in_force_s: float
    slowest_s: float


class Message(typing.NamedTuple):
    """Cost of messages at a node that knows `nodes` nodes.

    Attributes:
      nodes: Size of the fleet.
      request_bytes: Size of a question with its envelope.
      reply_bytes: Size of its answer with its envelope.
      bytes_per_s: Bytes that a node sends in a second.
      us_per_exchange: CPU time of asking, answering and taking over.
      core_percent: CPU time at the rate of questions, in percent of a core.
      member_bytes: Memory for each member.
    """

    nodes: int
    request_bytes: int
    reply_bytes: int
    bytes_per_s: float
    us_per_exchange: float
    core_percent: float
    member_bytes: float


def measure_fleet(count: int, seconds: float) -> Row:
    """Returns the cost of a node in a fleet of processes."""
    with (
        tempfile.TemporaryDirectory() as folder,
        processes.started(pathlib.Path(folder)) as started,
    ):
        platform = started.stand_in('platform')
        proxy = started.stand_in('proxy')
        for process in (platform, proxy):
            processes.wait_http(process, '/', None)
        _propose(platform, 1)
        nodes = _start(started, platform, proxy, count)
        for node in nodes:
            processes.wait_http(node, '/readyz')
        time.sleep(SETTLE_S)
        cpu, passed = _cpu_s(nodes), _passed(proxy)
        time.sleep(seconds)
        cpu, passed = _cpu_s(nodes) - cpu, _passed(proxy) - passed
        memory = sum(map(_resident_mb, nodes)) / count
        delays = sorted(
            _time_change(platform, nodes, number)
            for number in range(2, 2 + CHANGES)
        )
    share = count * seconds
    return Row(
        count,
        passed / share,
        100 * cpu / share,
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


def _propose(platform, revision: int) -> None:
    """Makes a revision whose document is empty but for one zone."""
    snapshot, change = _document(revision - 1), _document(revision)
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


def _document(revision: int) -> dict:
    return {'zones': {f'zone-{revision}': {'state': 'in'}}} if revision else {}


def _time_change(platform, nodes, revision: int) -> float:
    """Returns the seconds until a revision is in force on all nodes."""
    accepted = time.time()
    _propose(platform, revision)
    return max(_in_force_at(node, revision) for node in nodes) - accepted


def _in_force_at(node, revision: int) -> float:
    limit = time.monotonic() + processes.START_TIMEOUT_S
    while time.monotonic() < limit:
        for line in node.log.read_text().splitlines():
            event = json.loads(line)
            if event['event'] == 201 and event['revision'] >= revision:
                return event['timestamp']
        time.sleep(processes.POLL_S)
    raise TimeoutError(f'{node.name} has no revision {revision}')


def _passed(proxy) -> int:
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


class _Stub:
    """As much of a node as the exchange of messages needs."""

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
    """Returns the cost of messages at a node that knows `count` nodes."""
    stub = _Stub('entry-0')
    tracemalloc.start()
    known = membership.Members(stub.settings.node)
    for index in range(1, count):
        known.apply_update(
            _heard(index, stub.environment.clock.now()), direct=False
        )
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    talk = exchange.Exchange(stub, known)
    member = known.all[ids.NodeId('entry-1')]
    member.synced = True
    other = _Stub('entry-1')
    answering = exchange.Exchange(other, known)
    sizes = anyio.run(_exchange, talk, answering, member)
    began = time.process_time()
    anyio.run(_repeat, talk, answering, member)
    spent = (time.process_time() - began) / MESSAGES
    rate = membership.fanout(count) / GOSSIP_S
    return Message(
        count,
        *sizes,
        rate * sum(sizes),
        spent * 1e6,
        100 * rate * spent,
        size / max(1, count - 1),
    )


async def _repeat(talk, answering, member) -> None:
    for _ in range(MESSAGES):
        await _exchange(talk, answering, member)


async def _exchange(talk, answering, member) -> tuple[int, int]:
    """One question and its answer, with codec and MACs of both sides."""
    own = credentials.Credentials(
        ids.NodeId('entry-0'), ids.Incarnation('entry-0.0123abcd'),
        {KEY: SECRET}, KEY,
    )  # fmt: skip
    challenge = bytes(credentials.CHALLENGE_BYTES)
    request = ttypes.Envelope(kind=1, counter=999)
    request.body = codec.encode(talk.make_pull(member))
    own.sign_request(request, challenge)
    sent = codec.encode(request)
    received = codec.decode(ttypes.Envelope, sent)
    own.verify_request(received, challenge)
    pull = codec.decode(ttypes.Pull, received.body)
    sender = server.Sender(own.node, own.incarnation)
    answer = await answering.answer_pull(sender, pull)
    reply = ttypes.Envelope(kind=1, counter=999, body=codec.encode(answer))
    own.sign_reply(reply, challenge)
    replied = codec.encode(reply)
    received = codec.decode(ttypes.Envelope, replied)
    own.verify_reply(received, challenge)
    told = codec.decode(ttypes.PullReply, received.body)
    await talk.apply_reply(member, told, clocks.SystemClock().now())
    prefix = frames.LENGTH_BYTES
    return len(sent) + prefix, len(replied) + prefix


def _heard(index: int, now: float) -> membership.MemberUpdate:
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
    print(' '.join(f'{value:16.3f}' for value in slopes), 'for each node')


def run(seconds: float = 8.0) -> None:
    """Measures fleets of processes and the messages of larger ones."""
    polls = freshness_policy.poll_interval(max(TABLES))
    print(f'at {max(TABLES)} nodes each polls the head every {polls} s')
    _print([measure_messages(count) for count in TABLES])
    _print([measure_fleet(count, seconds) for count in FLEETS])


if __name__ == '__main__':
    fire.Fire(run)
