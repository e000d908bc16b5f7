"""Status of the fleet, as reported by its nodes."""

import typing

import anyio
import msgspec

from radishcourse_cli import tables
from radishcourse_platform import errors as platform_errors
from radishcourse_platform import http

TIMEOUT_S = 2.0


class Upstream(msgspec.Struct):
    """An upstream as one node sees it."""

    upstream: str
    zone: str
    state: str
    in_flight: int = 0


class Node(msgspec.Struct):
    """A node's status; other keys of its response are ignored.

    A node that does not respond keeps the defaults.

    Attributes:
      node: The node's name.
      zone: Its availability zone.
      state: Its state, or `unreachable`.
      revision: The revision in force on it, 0 if unknown.
      view: Freshness of its view of the configuration.
      in_progress: Number of requests in progress.
      bills_held: Number of bills not yet written to the platform.
      upstreams: The upstreams as the node sees them.
    """

    node: str
    zone: str = '-'
    state: str = 'unreachable'
    revision: int = 0
    view: str = '-'
    in_progress: int = 0
    bills_held: int = 0
    upstreams: list[Upstream] = []


class Fleet(msgspec.Struct):
    """Status of the whole fleet.

    Attributes:
      revision: The newest accepted revision.
      nodes: Status of each node.
      zones: Configured state of each zone.
      versions: State and share of each version, by `model/version`.
      upstreams: For each upstream, the nodes that see it in each state.
    """

    revision: int
    nodes: list[Node]
    zones: dict[str, str]
    versions: dict[str, str]
    upstreams: dict[str, dict[str, list[str]]]


async def fetch_nodes(addresses: dict[str, str]) -> list[Node]:
    """Returns the nodes' statuses, in order of their names.

    Args:
      addresses: Each node's address for callers, by name.
    """
    nodes: list[Node] = []

    async def fetch_one(name: str, address: str) -> None:
        nodes.append(await _fetch_node(name, address))

    async with anyio.create_task_group() as tasks:
        for name, address in addresses.items():
            tasks.start_soon(fetch_one, name, address)
    return sorted(nodes, key=lambda node: node.node)


async def _fetch_node(name: str, address: str) -> Node:
    async with http.open_client(f'http://{address}', TIMEOUT_S) as client:
        try:
            response = await client.call('GET', '/v1/node/status')
            return msgspec.json.decode(response.body, type=Node)
        except (platform_errors.PlatformError, msgspec.MsgspecError):
            return Node(node=name)


def summarise(snapshot, nodes: list[Node]) -> Fleet:
    """Returns the status of the fleet.

    Args:
      snapshot: The newest revision.
      nodes: Status of each node.
    """
    document = snapshot.document
    return Fleet(
        revision=snapshot.revision,
        nodes=nodes,
        zones={
            name: zone.get('state', 'in')
            for name, zone in document.get('zones', {}).items()
        },
        versions={
            f'{model}/{version}': _describe_version(item)
            for model, value in document.get('models', {}).items()
            for version, item in value['versions'].items()
        },
        upstreams=_group_upstreams(nodes),
    )


def _describe_version(version: dict[str, typing.Any]) -> str:
    return f'{version.get("state", "active")} {version.get("share", 0)}%'


def _group_upstreams(nodes: list[Node]) -> dict[str, dict[str, list[str]]]:
    groups: dict[str, dict[str, list[str]]] = {}
    for node in nodes:
        for upstream in node.upstreams:
            states = groups.setdefault(upstream.upstream, {})
            states.setdefault(upstream.state, []).append(node.node)
    return groups


def render(fleet: Fleet) -> str:
    """Returns the status as tables."""
    return '\n'.join(
        (
            f'revision {fleet.revision}\n',
            tables.render(
                ('NODE', 'ZONE', 'STATE', 'REVISION', 'VIEW', 'JOBS', 'BILLS'),
                (
                    (
                        node.node,
                        node.zone,
                        node.state,
                        node.revision or '-',
                        node.view,
                        node.in_progress,
                        node.bills_held,
                    )
                    for node in fleet.nodes
                ),
            ),
            tables.render(('ZONE', 'STATE'), fleet.zones.items()),
            tables.render(('VERSION', 'STATE'), fleet.versions.items()),
            tables.render(
                ('UPSTREAM', 'STATE', 'SEEN BY'),
                (
                    (upstream, state, ' '.join(nodes))
                    for upstream, states in fleet.upstreams.items()
                    for state, nodes in states.items()
                ),
            ),
        )
    )
