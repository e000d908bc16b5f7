"""Entries of the platform's list of upstreams."""

import dataclasses
import enum

from radishcourse_model import ids


class ListedState(enum.Enum):
    """State that an upstream publishes in its entry."""

    READY = 'ready'
    DRAINING = 'draining'


@dataclasses.dataclass(frozen=True)
class Upstream:
    """An entry of the platform's list.

    Attributes:
      upstream_id: Id of the upstream.
      service: The service that it belongs to.
      address: IP address and port.
      zone: Its availability zone.
      version: Version of its software.
      slots: Requests that it runs at once.
      state: Whether it takes new requests.
      cold_s: Remaining time for which it was cold when it wrote the entry.
      started_ms: Unix time of its start in milliseconds; it changes when the
        upstream restarts under the same id.
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
