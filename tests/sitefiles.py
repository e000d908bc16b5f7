"""Manifests and settings files of a small site."""

import json
import typing

HOST = 'site.example'
KEY = 'key-of-the-first-organisation'
OTHER_KEY = 'key-of-the-second-organisation'
ZONES = ('zone-a', 'zone-b')
BUDGET_MS = 5000
GRACE_S = 6
RETRY_SLACK = 56
MEMORY_MB = 200
MAX_FDS = 4100


class Ports(typing.NamedTuple):
    """Ports of a gateway.

    Attributes:
      front: For callers.
      ready: For the readiness probe.
      peer: For other nodes.
      relay: For requests that other nodes relay.
    """

    front: int
    ready: int
    peer: int
    relay: int


def route(name: str, prefix: str, kind: str, service: str, **fields) -> dict:
    """Returns a route of a manifest."""
    return {
        'name': name,
        'host': HOST,
        'prefix': prefix,
        'kind': kind,
        'service': service,
        'timeoutMs': 4000,
        'goalMs': 400,
        'priority': 1,
        'maxAttempts': 3,
        'anonymous': False,
        **fields,
    }


def manifest(version: int = 1, **fields) -> dict:
    """Returns a manifest with the services desk and engine."""
    stream = {'streamResume': True, 'gapTargetMs': 500, 'affinity': True}
    return {
        'version': version,
        'routes': [
            route('order', '/order/', 'non_idempotent', 'desk'),
            route('stock', '/stock/', 'idempotent', 'desk'),
            route('draft', '/draft/', 'stream', 'engine', **stream),
            route(
                'sized',
                '/sized/',
                'stream',
                'engine',
                sizes=['small', 'large'],
                **stream,
            ),
        ],
        'services': [
            {'name': 'desk', 'healthPath': '/health', 'maxConns': 100},
            {
                'name': 'engine',
                'maxConns': 100,
                'coldStartS': 3.0,
                'coldPerS': 5.0,
                'engine': {
                    'slots': 8,
                    'kvCapacity': 100_000,
                    'models': [
                        {'name': 'small', 'cost': 0.02},
                        {'name': 'large', 'cost': 0.2},
                    ],
                },
            },
        ],
        'limits': {
            'maxHeaderBytes': 16384,
            'maxBodyBytes': 65536,
            'headerTimeoutMs': 3000,
            'idleTimeoutMs': 15000,
        },
        'tenants': [
            {'name': 'first', 'apiKeys': [KEY], 'priority': 2},
            {'name': 'second', 'apiKeys': [OTHER_KEY]},
        ],
        **fields,
    }


def settings(
    name: str,
    host: str,
    ports: Ports,
    gateway_index: int,
    seeds: list[str],
    store: str,
    retry_slack: int = RETRY_SLACK,
    grace_s: float = GRACE_S,
    control_api: str = '',
    bounds: dict[str, float] | None = None,
    memory_mb: int = MEMORY_MB,
    max_fds: int = MAX_FDS,
    duties: tuple[str, ...] = ('metering',),
) -> str:
    """Returns the settings file of a gateway.

    Args:
      name: Its name.
      host: Its IP address.
      ports: Its ports.
      gateway_index: Index of the gateway; zones are assigned in turn.
      seeds: Addresses of other nodes.
      store: Address of the store.
      retry_slack: Retries of all gateways beyond their share of the requests.
      grace_s: Seconds between SIGTERM and SIGKILL.
      control_api: Address of the second interface; empty for none.
      bounds: More bounds by name.
      memory_mb: Memory of the VM in MB.
      max_fds: Descriptors that the process may open.
      duties: Duties of one node at a time, by the platform's names.
    """
    more = '\n'.join(
        f'{key} = {value}' for key, value in (bounds or {}).items()
    )
    cloud_api = ''
    if control_api:
        cloud_api = f"""
[cloudApi]
address = "{control_api}"
duties = {json.dumps([*duties, 'unknown'])}
dutiesPerS = 20
"""
    return f"""
node = "{name}"
ip = "{host}"
zone = "{ZONES[gateway_index % len(ZONES)]}"
seeds = {json.dumps(seeds)}
portRange = [{ports.relay}, {ports.relay + 1}]
unknown = "fields that are new"
[zones]
zone-a = "region"
zone-b = "region"
[listen]
front = "{host}:{ports.front}"
readiness = "{host}:{ports.ready}"
control = "{host}:{ports.peer}"
[limits]
memoryMb = {memory_mb}
maxFds = {max_fds}
[bounds]
graceS = {grace_s}
budgetRatio = 0.9
retrySlack = {retry_slack}
exposeShare = 0.15
coldExcess = 1.5
coldSlack = 5
drainMs = 2000
configApplyMs = 2000
{more}
[platform]
address = "{store}"
{cloud_api}"""
