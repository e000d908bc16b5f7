"""Upstreams that the platform lists."""

import dataclasses
import enum

from radishcourse_model import ids


class ListedState(enum.Enum):
    """What an upstream says of itself."""

    READY = 'ready'
    DRAINING = 'draining'


@dataclasses.dataclass(frozen=True)
class Upstream:
    """An entry of the platform's list.

    Attributes:
      upstream_id: Its id.
      service: The service that it belongs to.
      address: IP address and port.
      zone: Its availability zone.
      version: Version of its software.
      slots: Requests that it runs at once.
      state: Whether it takes new work.
      cold_s: How much longer it was cold when it wrote the entry.
      started_ms: Unix time of its start in milliseconds; an upstream that
        starts again under its id has another one.
    """

    upstream_id: ids.UpstreamId
    service: ids.ServiceId
    address: str
    zone: ids.ZoneId
    version: ids.VersionId
    slots: int
    state: ListedState = ListedState.READY
    cold_s: float = 0.0
    started_ms: int = 0
