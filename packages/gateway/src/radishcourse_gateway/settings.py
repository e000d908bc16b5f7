"""Settings of a gateway process."""

import typing

import msgspec

from radishcourse_model import ids
from radishcourse_model import schema

Seconds = typing.Annotated[float, msgspec.Meta(ge=0, le=86_400)]
Share = typing.Annotated[float, msgspec.Meta(ge=0, le=10)]
Number = typing.Annotated[float, msgspec.Meta(ge=0, le=10**9)]


class Bounds(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What an installation promises; all hold over the whole fleet.

    Attributes:
      stop_s: Time between SIGTERM and SIGKILL.
      repeat_share: Attempts beyond the first, as a share of requests.
      repeat_slack: Attempts beyond the first on top of that.
      exposure_share: Share of a service's requests that a bad version gets.
      cold_excess: Factor on a cold upstream's rate up to which a second goes.
      cold_slack: Requests in a second on top of it.
    """

    stop_s: Seconds = 30.0
    repeat_share: Share = 0.2
    repeat_slack: Number = 10
    exposure_share: Share = 0.1
    cold_excess: Share = 1.0
    cold_slack: Number = 0


class Settings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Settings of one gateway process.

    Attributes:
      node: Its id.
      zone: Its availability zone.
      listen: Address for callers.
      probe_listen: Address for the balancer's readiness probe.
      peer_listen: Address for other nodes.
      platform: Base URL of the platform's store.
      metrics_listen: Address of the metrics, None for none.
      seeds: Peers to ask first; they may be stale.
      peer_key: Secret that all nodes of an installation share.
      value_per_1k_tokens: Value of a thousand weighted tokens of a request,
        in the unit of the models' costs.
      bounds: The installation's promises.
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


class CurrentSettings:
    """The settings in force, which change while the process runs.

    Attributes:
      value: The newest settings.
    """

    def __init__(self, value: Settings):
        self.value = value

    def replace(self, value: Settings) -> list[str]:
        """Puts new settings in force and returns the names that changed.

        A process keeps its name and its addresses for its life.
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
)
