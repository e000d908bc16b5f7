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


class StoreRow(typing.NamedTuple):
    """A row of a table that only this fleet writes.

    Attributes:
      position: Where in the store's history it was last written. Its version
        is 0 if there is no row.
      value: Its content, None if there is no row.
    """

    position: positions.Position
    value: bytes | None


class RowKey(typing.NamedTuple):
    """Names a row.

    Attributes:
      table: The table.
      key: The key within the table.
    """

    table: str
    key: str


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

    async def read_row(self, table: str, key: str) -> StoreRow:
        """Returns one row, also if there is none."""

    async def write_rows(
        self,
        expected: dict[RowKey, int],
        writes: dict[RowKey, bytes],
        removals: typing.Iterable[RowKey] = (),
    ) -> positions.Position:
        """Writes and removes rows in one transaction.

        Args:
          expected: Versions that rows must have, 0 for none.
          writes: New contents.
          removals: Rows to remove; they need not exist.

        Returns:
          Where in the store's history the rows were written.

        Raises:
          Conflict: A row does not have its expected version.
        """


Check = typing.Callable[[], None]


class ControlApi(typing.Protocol):
    """The second interface of the platform, called by holders of duties.

    Its coroutines raise `radishcourse_platform.errors.PlatformError` when the
    call fails or there is no response; it may have taken effect then, unless
    the error is `Unavailable`. `check` runs immediately before the call is
    sent, after a connection was opened; what it raises ends the call unsent.
    """

    async def report_usage(
        self,
        holder: ids.NodeId,
        token: int,
        window: int,
        counts: dict[str, int],
        check: Check | None = None,
    ) -> None:
        """Reports the requests that ran in a window.

        Args:
          holder: The node that holds the duty.
          token: Fencing token of its term.
          window: Number of the window.
          counts: Requests by name of the organisation.
          check: Ends the call if it raises.
        """

    async def set_capacity(
        self,
        holder: ids.NodeId,
        token: int,
        service: ids.ServiceId,
        zone: ids.ZoneId,
        count: int,
        check: Check | None = None,
    ) -> None:
        """Orders the number of upstreams of a service in a zone.

        Args:
          holder: The node that holds the duty.
          token: Fencing token of its term.
          service: The service.
          zone: The availability zone.
          count: Number of upstreams.
          check: Ends the call if it raises.
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
