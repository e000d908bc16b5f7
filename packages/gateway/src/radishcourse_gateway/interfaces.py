"""Interfaces that the adapter of an installation's platform implements."""

import dataclasses
import typing

from radishcourse_gateway import directory as directories
from radishcourse_gateway import records
from radishcourse_gateway import upstreams
from radishcourse_model import ids
from radishcourse_policy import canary
from radishcourse_policy import position as positions


@dataclasses.dataclass(frozen=True)
class RolloutOrder:
    """An operator's order to roll out a version.

    Attributes:
      service: The service.
      to_version: The new version.
      within_s: Seconds after the order within which the roll-out must end.
    """

    service: ids.ServiceId
    to_version: ids.VersionId
    within_s: float


# What a row decodes to: the configuration, an order to roll out, the state of a
# roll-out, an availability zone that is out of service, or an upstream.
DecodedRow = (
    directories.Directory
    | RolloutOrder
    | canary.Status
    | ids.ZoneId
    | upstreams.Upstream
)


class StatusRow(typing.NamedTuple):
    """The published state of a roll-out and the version of its row.

    Attributes:
      status: The state, None when there is none or it is unreadable.
      version: Version of the row, 0 when there is none.
    """

    status: canary.Status | None
    version: int


class Store(typing.Protocol):
    """The platform's store.

    Its coroutines raise `radishcourse_platform.errors.PlatformError` when the
    store fails or does not respond.
    """

    def now_ms(self, at: float) -> int | None:
        """Converts a time of this node's clock to the store's, in milliseconds.

        Returns None until the store has responded once.
        """

    async def read(self, table: records.Table) -> records.Changes:
        """Returns all rows of a table."""

    async def follow(
        self,
        table: records.Table,
        position: positions.Position,
        wait_s: float,
    ) -> records.Changes:
        """Returns the changes after a position by a long poll.

        Those of a later era are of no use, as they are not complete.

        Args:
          table: The table.
          position: Position that is already known.
          wait_s: Longest wait for a change in seconds.
        """

    async def read_status(self, service: ids.ServiceId) -> StatusRow:
        """Returns the published state of a service's roll-out."""

    async def write_status(
        self, status: canary.Status, expected_version: int
    ) -> int:
        """Publishes the state of a roll-out; returns the row's new version.

        Args:
          status: The state.
          expected_version: Version that the row must have, 0 for none.
        """


class Decoder(typing.Protocol):
    """Decodes rows."""

    def identify(self, record: records.Record) -> tuple[str, str]:
        """Returns the kind of a row and the name of what it describes.

        Also works for deleted rows, as only the key is used.
        """

    def decode(self, record: records.Record) -> DecodedRow | None:
        """Returns the decoded row, None when the gateway does not use it.

        Raises:
          Unreadable: The row can't be decoded.
        """
