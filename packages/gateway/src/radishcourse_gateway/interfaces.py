"""What the gateway needs from an installation's platform."""

import dataclasses
import typing

from radishcourse_gateway import directory as directories
from radishcourse_gateway import records
from radishcourse_gateway import upstreams
from radishcourse_model import ids
from radishcourse_policy import canary


@dataclasses.dataclass(frozen=True)
class RolloutOrder:
    """An operator's order to roll a version out.

    Attributes:
      service: The service.
      to_version: The new version.
      within_s: Time limit in seconds, counted from the order.
    """

    service: ids.ServiceId
    to_version: ids.VersionId
    within_s: float


# What a row means: a directory, a service's roll-out, a zone out of service.
DecodedRow = (
    directories.Directory
    | RolloutOrder
    | canary.Status
    | ids.ZoneId
    | upstreams.Upstream
)


class StatusRow(typing.NamedTuple):
    """The published state of a roll-out and the version of its row."""

    status: canary.Status | None
    version: int


class Store(typing.Protocol):
    """The platform's store.

    All calls raise `radishcourse_platform.errors.PlatformError`.
    """

    def now_ms(self, at: float) -> int | None:
        """Returns the store's clock at a time of this node's clock.

        None while the store has not answered yet.
        """

    async def read(self, table: records.Table) -> records.Changes:
        """Returns a table as a whole."""

    async def follow(
        self, table: records.Table, version: int, wait_s: float
    ) -> records.Changes:
        """Returns what changed after a version, waiting for a change."""

    async def read_status(self, service: ids.ServiceId) -> StatusRow:
        """Returns the published state of a service's roll-out."""

    async def write_status(
        self, status: canary.Status, expected_version: int
    ) -> int:
        """Publishes the state of a roll-out; returns the row's version."""


class Decoder(typing.Protocol):
    """Turns rows into facts."""

    def identify(self, record: records.Record) -> tuple[str, str]:
        """Returns the kind of fact in a row and its name."""

    def decode(self, record: records.Record) -> DecodedRow | None:
        """Returns the fact in a row, None for a row of no interest.

        Raises:
          Unreadable: The row does not have the expected form.
        """
