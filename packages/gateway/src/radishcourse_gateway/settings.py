"""Settings of a gateway process."""

import typing

import msgspec

from radishcourse_model import ids
from radishcourse_model import schema

Count = typing.Annotated[int, msgspec.Meta(ge=1, le=2**31)]
Seconds = typing.Annotated[float, msgspec.Meta(ge=0, le=86_400)]
Share = typing.Annotated[float, msgspec.Meta(ge=0, le=10)]
Number = typing.Annotated[float, msgspec.Meta(ge=0, le=10**9)]


class Bounds(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Limits of an installation; all apply to the whole fleet.

    Attributes:
      stop_s: Seconds between SIGTERM and SIGKILL.
      repeat_share: Retry budget: attempts after the first, as a share of
        requests.
      repeat_slack: Retries allowed in addition to that share.
      exposure_share: Highest share of a service's requests that a bad version
        may get.
      cold_excess: The request rate to a cold upstream may be its service's
        cold_per_s times this factor, plus cold_slack.
      cold_slack: Requests per second.
      session_s: Pause in seconds after which a session has ended.
      propagation_s: Seconds after its acknowledgement by the platform's store
        until a change must be in force at all nodes.
    """

    stop_s: Seconds = 30.0
    repeat_share: Share = 0.2
    repeat_slack: Number = 10
    exposure_share: Share = 0.1
    cold_excess: Share = 1.0
    cold_slack: Number = 0
    session_s: Seconds = 10.0
    propagation_s: Seconds = 3.5


class Settings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Settings of one gateway process.

    Attributes:
      node: Id of the node.
      zone: Availability zone of the node.
      listen: Address for callers.
      probe_listen: Address for the balancer's readiness probe.
      peer_listen: Address for other nodes.
      platform: Base URL of the platform's store.
      metrics_listen: Address of the metrics endpoint, None for none.
      seeds: Addresses of peers to contact first; some may no longer exist.
      peer_key: Secret that all nodes of an installation share.
      value_per_1k_tokens: Value of a thousand weighted tokens of a request,
        in the unit of the models' costs.
      bounds: Limits of the installation.
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
    seeds: list[schema.Address] = []
    peer_key: schema.Secret = 'unset-peer-key-of-gateways'
    value_per_1k_tokens: Number = 0.45
    bounds: Bounds = Bounds()
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
    'platform',
    'peer_key',
    'memory_mb',
    'max_fds',
)
