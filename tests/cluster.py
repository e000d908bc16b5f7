"""A cluster of real processes for tests.

Every connection between a node and the platform, an upstream or another
node goes through a link of the fault-injecting proxy, so that each link can
be cut separately. Links are named `node>platform` and `node>node`; the nodes
share one link `all>upstream` to each upstream.
"""

import contextlib
import dataclasses
import hashlib
import json
import pathlib
import tempfile
import time
import typing

import httpcore

from radishcourse_standins import processes
from tests import operators

KEY = 'key-of-the-test-organisation'
PEER_SECRET = 'a-secret-for-messages-of-nodes'
ZONES = ('sofia-a', 'sofia-b', 'sofia-c', 'sofia-d')
POLL_S = 0.05
Document = dict[str, typing.Any]


@dataclasses.dataclass
class Reply:
    """The response of a node or stand-in."""

    status: int
    headers: dict[str, str]
    body: bytes

    @property
    def json(self) -> typing.Any:
        """The JSON body, decoded."""
        return json.loads(self.body)

    @property
    def code(self) -> str:
        """The code of a refusal; empty if the response is not one."""
        if self.headers.get('content-type') != 'application/json':
            return ''
        return self.json.get('error', {}).get('code', '')


class Cluster:
    """Processes of stand-ins, a fault-injecting proxy and nodes.

    Args:
      started: Starts and ends the processes.
      node_count: Number of nodes; they are named `entry-0`, `entry-1`, ...
    """

    def __init__(self, started: processes.Processes, node_count: int):
        self.started = started
        self.platform = started.stand_in('platform')
        self.rating = started.stand_in('rating')
        self.proxy = started.stand_in('proxy')
        self.upstreams: dict[str, processes.Process] = {}
        self.nodes: dict[str, processes.Process] = {}
        self.names = [f'entry-{index}' for index in range(node_count)]
        self._links: dict[str, str] = {}
        self._settings: dict[str, dict] = {}
        for process in (self.platform, self.rating, self.proxy):
            processes.wait_http(process, '/', None)

    def add_engine(self, name: str, **options) -> processes.Process:
        """Starts a model engine behind a link."""
        return self._add_upstream('engine', name, options)

    def add_desk(self, name: str) -> processes.Process:
        """Starts an order desk behind a link."""
        return self._add_upstream('desk', name, {})

    def _add_upstream(self, module, name, options) -> processes.Process:
        process = self.started.stand_in(module, name, **options)
        processes.wait_http(process, '/v1/state')
        self.upstreams[name] = process
        self.link(f'all>{name}', process.address)
        return process

    def link(self, name: str, target: str) -> str:
        """Adds a link to the proxy and returns its address."""
        port = processes.free_port()
        self.control(
            self.proxy,
            'links',
            [{'name': name, 'port': port, 'target': target}],
        )
        self._links[name] = f'127.0.0.1:{port}'
        return self._links[name]

    def address(self, link: str) -> str:
        """Returns the address of a link."""
        return self._links[link]

    def start_nodes(self, **settings) -> None:
        """Starts all nodes; `settings` replace defaults on each of them."""
        peers = {
            name: f'127.0.0.1:{processes.free_port()}' for name in self.names
        }
        for index, name in enumerate(self.names):
            routes = {
                other: self.link(f'{name}>{other}', peers[other])
                for other in self.names
                if other != name
            }
            platform = self.link(f'{name}>platform', self.platform.address)
            self._settings[name] = {
                'node': name,
                'zone': ZONES[index % len(ZONES)],
                'listen': f'127.0.0.1:{processes.free_port()}',
                'peer_listen': peers[name],
                'peer_routes': routes,
                'peer_keys': {'k1': PEER_SECRET},
                'peer_key': 'k1',
                'platform': f'http://{platform}',
                'rating': self.rating.url,
                'seeds': [
                    {'node': other, 'address': peers[other]}
                    for other in self.names
                    if other != name
                ],
                **settings,
            }
        self.set_vms(self.names)
        for name in self.names:
            self.start_node(name)

    def start_node(self, name: str, **settings) -> processes.Process:
        """Starts a new process of a node; keeps `settings` for later starts."""
        self._settings[name].update(settings)
        node = self.started.node(self._settings[name])
        self.nodes[name] = node
        return node

    def set_vms(self, names: list[str]) -> None:
        """Sets the platform's list of VMs to these nodes."""
        listed = [
            {
                'vm': name,
                'address': self._settings[name]['peer_listen'],
                'zone': self._settings[name]['zone'],
                'role': 'entry',
                'http': self._settings[name]['listen'],
            }
            for name in names
        ]
        self.control(self.platform, 'vms', listed)

    def apply(self, document: Document, exit_status: int = 0) -> str:
        """Applies a document with the CLI and returns the output.

        Raises:
          AssertionError: The CLI ended with another exit status.
        """
        folder = pathlib.Path(tempfile.mkdtemp(dir=self.started.folder))
        (folder / '10-all.json').write_text(json.dumps(document))
        status, output = operators.run(['apply', str(folder)], self.platform)
        assert status == exit_status, output
        return output

    def wait_ready(self, names: list[str] | None = None) -> None:
        """Waits until nodes are ready."""
        for name in names or self.names:
            processes.wait_http(self.nodes[name], '/readyz')

    def wait_revision(self, revision: int) -> None:
        """Waits until all nodes have a revision in force."""
        for name in self.names:
            wait_until(
                lambda name=name: self.status(name)['revision'] >= revision
            )

    def status(self, name: str) -> Document:
        """Returns a node's status for operators."""
        return self.get(self.nodes[name], '/v1/node/status').json

    def get(self, process: processes.Process, path: str) -> Reply:
        """Sends a GET request to a process."""
        return _reply(httpcore.request('GET', process.url + path))

    def control(self, process: processes.Process, page: str, body) -> Reply:
        """Posts a JSON body to a control path of a stand-in."""
        reply = httpcore.request(
            'POST',
            f'{process.url}/control/{page}',
            content=json.dumps(body).encode(),
        )
        assert reply.status == 200, reply.content
        return _reply(reply)

    def platform_fault(self, mode: str, **options) -> None:
        """Sets the fault of the platform; `up` ends it."""
        self.control(self.platform, 'faults', {'mode': mode, **options})

    def fault(self, mode: str, links: list[str], **options) -> None:
        """Sets the fault of links of the proxy; `pass` ends it."""
        body = {'mode': mode, 'links': links, **options}
        self.control(self.proxy, 'faults', body)

    def cut_off(self, name: str, mode: str = 'refuse') -> None:
        """Cuts a node off from the platform and from all other nodes."""
        links = [link for link in self._links if _is_node_link(link, name)]
        self.fault(mode, links)

    def chat(
        self,
        name: str,
        kind: str = 'quote',
        headers: dict[str, str] | None = None,
        timeout_s: float = 30.0,
        **body,
    ) -> Reply:
        """Sends a model job to a node and returns the complete response."""
        body.setdefault('messages', [{'role': 'user', 'content': 'Hello'}])
        headers = {'X-Radish-Kind': kind, **(headers or {})}
        return self.post(name, '/v1/chat/completions', body, headers, timeout_s)

    def post(
        self,
        name: str,
        path: str,
        body,
        headers: dict[str, str] | None = None,
        timeout_s: float = 30.0,
    ) -> Reply:
        """Posts a JSON body to a node with the test organisation's key."""
        return self.request(
            'POST', name, path, json.dumps(body).encode(), headers, timeout_s
        )

    def request(
        self,
        method: str,
        name: str,
        path: str,
        content: bytes = b'',
        headers: dict[str, str] | None = None,
        timeout_s: float = 30.0,
    ) -> Reply:
        """Sends a request to a node with the test organisation's key."""
        reply = httpcore.request(
            method,
            self.nodes[name].url + path,
            headers={'Authorization': f'Bearer {KEY}', **(headers or {})},
            content=content,
            extensions={'timeout': dict.fromkeys(
                ('connect', 'read', 'write', 'pool'), timeout_s)},
        )  # fmt: skip
        return _reply(reply)

    def bills(self) -> list[list]:
        """Returns all bills in the platform's table."""
        path = '/control/rows?prefix=bills/&limit=1000000'
        rows = self.get(self.platform, path).json['rows']
        return [bill for row in rows for bill in row['value']['bills']]

    def served(self, name: str) -> list[Document]:
        """Returns the jobs that an engine has served, in order of arrival."""
        path = '/control/served'
        return self.get(self.upstreams[name], path).json['served']


def make_document(cluster: Cluster) -> Document:
    """Returns a configuration with all upstreams of a cluster.

    Engines named `small-...` serve the cheap model and `large-...` the
    expensive one, each in versions v1 and v2; desks are named `desk...`.
    """
    upstreams = {}
    for index, name in enumerate(cluster.upstreams):
        upstreams[name] = {
            'address': cluster.address(f'all>{name}'),
            'zone': ZONES[index % len(ZONES)],
        }
        model = name.split('-')[0]
        if model in ('small', 'large'):
            upstreams[name]['serves'] = {model: ['v1', 'v2']}
            upstreams[name]['pool'] = 'assistant'
    desks = [name for name in upstreams if name.startswith('desk')]
    digest = hashlib.sha256(KEY.encode()).hexdigest()
    versions = {
        'v1': {'share': 100, 'cost_per_job': 100},
        'v2': {'share': 0, 'cost_per_job': 100},
    }
    expensive = {
        name: {**version, 'cost_per_job': 1000}
        for name, version in versions.items()
    }
    return {
        'organisations': {
            'roofers': {
                'keys': [f'sha256:{digest}'],
                'allowed': {'small': ['*'], 'large': ['*']},
                'kinds': {
                    'quote': {'cascade': 'quotes'},
                    'tag': {'cascade': 'tags'},
                },
                'services': ['order-desk'],
            }
        },
        'models': {
            'small': {'versions': versions},
            'large': {'versions': expensive},
        },
        'cascades': {
            'quotes': {'steps': ['small', 'large']},
            'tags': {'steps': ['small']},
        },
        'zones': {zone: {'state': 'in'} for zone in ZONES},
        'upstreams': upstreams,
        'services': {
            'order-desk': {
                'upstreams': desks,
                'routes': [
                    {'method': 'POST', 'path': '/orders', 'idempotent': False}
                ],
                'cost_per_call': 50,
            }
        },
        'session_keys': {
            'k1': {'secret': 'a-secret-for-sessions', 'state': 'signing'}
        },
    }


@contextlib.contextmanager
def running(
    node_count: int = 2,
    engines: tuple[str, ...] = ('small-1', 'large-1'),
    desks: tuple[str, ...] = ('desk-1',),
    **settings,
):
    """Yields a cluster with ready nodes and `make_document` in force."""
    with (
        tempfile.TemporaryDirectory() as folder,
        processes.started(pathlib.Path(folder)) as started,
    ):
        cluster = Cluster(started, node_count)
        for name in engines:
            cluster.add_engine(name)
        for name in desks:
            cluster.add_desk(name)
        cluster.apply(make_document(cluster))
        cluster.start_nodes(**settings)
        cluster.wait_ready()
        yield cluster


def wait_until(
    condition: typing.Callable[[], typing.Any], timeout_s: float = 20.0
) -> None:
    """Polls a condition until it holds.

    Raises:
      AssertionError: The condition did not hold within `timeout_s`.
    """
    limit = time.monotonic() + timeout_s
    while time.monotonic() < limit:
        if condition():
            return
        time.sleep(POLL_S)
    raise AssertionError('the condition did not hold in time')


def _is_node_link(link: str, name: str) -> bool:
    source, _, target = link.partition('>')
    return target == name or (
        source == name and not target.startswith(('small', 'large', 'desk'))
    )


def _reply(response: httpcore.Response) -> Reply:
    headers = {
        name.decode().lower(): value.decode()
        for name, value in response.headers
    }
    return Reply(response.status, headers, response.content)
