"""Settings of a gateway process."""

import typing

import msgspec

from radishcourse_model import ids
from radishcourse_model import schema
from radishcourse_policy import dutylease

Count = typing.Annotated[int, msgspec.Meta(ge=1, le=2**31)]
Seconds = typing.Annotated[float, msgspec.Meta(ge=0, le=86_400)]
# Shorter leases would end between two renewals on a busy VM.
LeaseSeconds = typing.Annotated[float, msgspec.Meta(ge=0.3, le=3600)]
WindowSeconds = typing.Annotated[float, msgspec.Meta(ge=0.5, le=86_400)]
CallsPerSecond = typing.Annotated[float, msgspec.Meta(gt=0, le=10**6)]
Share = typing.Annotated[float, msgspec.Meta(ge=0, le=10)]
Number = typing.Annotated[float, msgspec.Meta(ge=0, le=10**9)]


class Bounds(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Limits of an installation; all apply to the whole fleet.

    Attributes:
      stop_s: Seconds between SIGTERM and SIGKILL.
      repeat_share: Retry budget: attempts after the first, as a share of
        requests.
      repeat_slack: Retries allowed in addition to that share.
      repeat_window_s: Seconds over which requests and retries are counted.
      exposure_share: Highest share of a service's requests that a bad version
        may get.
      cold_excess: The request rate to a cold upstream may be its service's
        cold_per_s times this factor, plus cold_slack.
      cold_slack: Requests per second.
      session_s: Pause in seconds after which a session has ended.
      propagation_s: Seconds after its acknowledgement by the platform's store
        until a change must be in force at all nodes.
      lease_s: Seconds for which one node holds a duty without renewing it.
      thaw_s: Seconds after a pause of a node or a link within which the second
        interface does not judge its calls.
      usage_window_s: Length of the windows of usage reports in seconds.
      usage_error: Highest relative error of a usage report.
      usage_late_s: Seconds after the end of a window until its usage report is
        due.
    """

    stop_s: Seconds = 30.0
    repeat_share: Share = 0.2
    repeat_slack: Number = 10
    repeat_window_s: Seconds = 10.0
    exposure_share: Share = 0.1
    cold_excess: Share = 1.0
    cold_slack: Number = 0
    session_s: Seconds = 10.0
    propagation_s: Seconds = 3.5
    lease_s: LeaseSeconds = 3.0
    thaw_s: Seconds = 0.3
    usage_window_s: WindowSeconds = 5.0
    usage_error: Share = 0.05
    usage_late_s: Seconds = 10.0


class Overload(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Decisions of one node while a service has too few free slots.

    Attributes:
      enabled: Whether requests are refused before the upstreams' queues are
        full, larger models are left out and streams that fall behind move.
      window_s: Seconds for which responses and requests count.
      min_samples: Attempts within that time that an estimate needs.
      goal_factor: Multiple of the shortest goal of a service's requests above
        which its waits are a shortage.
      drain_s: Seconds in which the queue is to shrink to that wait.
      floor_share: Lowest share of requests sent of any organisation and
        priority, relative to the share over all requests.
      reserved_retries: Tokens of the retry budget that larger models leave to
        failed requests, while there were failures lately.
    """

    enabled: bool = True
    window_s: typing.Annotated[float, msgspec.Meta(ge=0.5, le=60)] = 3.0
    min_samples: typing.Annotated[int, msgspec.Meta(ge=1, le=64)] = 8
    goal_factor: typing.Annotated[float, msgspec.Meta(ge=0.05, le=10)] = 0.4
    drain_s: typing.Annotated[float, msgspec.Meta(ge=0.1, le=60)] = 2.0
    floor_share: typing.Annotated[float, msgspec.Meta(ge=0.25, le=1)] = 0.3
    reserved_retries: typing.Annotated[float, msgspec.Meta(ge=0, le=10)] = 1.0


class Settings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Settings of one gateway process.

    Attributes:
      node: Id of the node.
      zone: Availability zone of the node.
      listen: Address for callers.
      probe_listen: Address for the balancer's readiness probe.
      peer_listen: Address for other nodes.
      platform: Base URL of the platform's store.
      relay_listen: Address for requests that other nodes relay, None for none.
      metrics_listen: Address of the metrics endpoint, None for none.
      seeds: Addresses of peers to contact first; some may no longer exist.
      peer_key: Secret that all nodes of an installation share.
      value_per_1k_tokens: Value of a thousand weighted tokens of a request,
        in the unit of the models' costs.
      bounds: Limits of the installation.
      control_api: Base URL of the platform's second interface, None for none.
      duties: Duties that one node at a time performs; none without
        `control_api`.
      duties_per_s: Calls per second to the second interface that all nodes
        together may make.
      overload: Decisions while a service has too few free slots.
      memory_mb: Memory of the VM in MB (2**20 bytes), from which the limits on
        bytes held for clients follow; None sets no limits.
      max_fds: Descriptors that the process may open, from which the limits on
        connections follow; None sets no limits.
    """

    node: ids.NodeId
    zone: ids.ZoneId
    listen: schema.Address
    probe_listen: schema.Address
    peer_listen: schema.Address
    platform: str
    metrics_listen: schema.Address | None = None
    relay_listen: schema.Address | None = None
    seeds: list[schema.Address] = []
    peer_key: schema.Secret = 'unset-peer-key-of-gateways'
    value_per_1k_tokens: Number = 0.45
    bounds: Bounds = Bounds()
    control_api: str | None = None
    duties: frozenset[dutylease.Duty] = frozenset()
    duties_per_s: CallsPerSecond = 2.0
    overload: Overload = Overload()
    memory_mb: Count | None = None
    max_fds: Count | None = None


class CurrentSettings:
    """The settings in force, which may be reloaded while the process runs.

    Attributes:
      value: The newest settings.
    """

    def __init__(self, value: Settings):
        self.value = value

    def replace(self, value: Settings) -> list[str]:
        """Puts new settings in force and returns the changed names.

        The settings in _FIXED keep their values until the process restarts.
        """
        before = self.value
        self.value = msgspec.structs.replace(
            value,
            **{name: getattr(before, name) for name in _FIXED},
        )
        return [
            name
            for name in value.__struct_fields__
            if getattr(before, name) != getattr(self.value, name)
        ]


_FIXED = (
    'node',
    'zone',
    'listen',
    'probe_listen',
    'peer_listen',
    'metrics_listen',
    'relay_listen',
    'platform',
    'peer_key',
    'control_api',
    'duties',
    'memory_mb',
    'max_fds',
)
