"""Bounds on the bytes buffered for callers that read slowly.

A stream stops reading from its upstream while more than
`HIGH_WATERMARK_BYTES` are buffered for its caller. It also stops while the
organisation or the node is at its bound and anything is buffered for the
caller. Each bound can be exceeded by one part of a stream, which is at most
what the receive buffer of the upstream connection holds.
"""

import collections
import contextlib
import typing

import anyio

from radishcourse_model import ids

# Bound on the memory of one request: the buffered bytes, the part that is being
# read from the upstream (32 KiB), the parser's buffer and events out of order
# (64 KiB each).
REQUEST_BYTES = 256 * 1024
HIGH_WATERMARK_BYTES = 64 * 1024
# A connection whose caller has not read the rest within this time after the end
# of the answer is closed, so that the buffered bytes are freed.
FLUSH_TIMEOUT_S = 30.0


class Connection(typing.Protocol):
    """A caller's connection."""

    def held_bytes(self) -> int:
        """Returns the bytes written that the kernel has not accepted yet."""

    def is_paused(self) -> bool:
        """Returns whether a write would block."""

    async def wait_flushed(self) -> None:
        """Waits until the kernel has accepted all written bytes."""

    def abort(self) -> None:
        """Closes the connection and discards the buffered bytes."""


class Reader:
    """Tracks the bytes buffered for one caller."""

    def __init__(self, controller, organisation_id, connection: Connection):
        self._controller = controller
        self._organisation_id = organisation_id
        self._connection = connection
        self._held = 0

    def has_room(self) -> bool:
        """Tells whether more may be read for this caller."""
        held = self._connection.held_bytes()
        if held != self._held:
            self._update(held)
        if not held:
            return True
        # The next write would block on a paused connection, and a stream can't
        # be parked (see `streams`) during a write.
        return (
            held <= HIGH_WATERMARK_BYTES
            and not self._connection.is_paused()
            and not self._controller.is_full(self._organisation_id)
        )

    async def wait_flushed(self) -> None:
        """Waits until nothing is buffered for the caller."""
        try:
            await self._connection.wait_flushed()
        finally:
            self._update(self._connection.held_bytes())

    async def finish(self) -> None:
        """Waits until the caller has read the rest; closes on a time-out."""
        if self.has_room() and not self._held:
            return
        with anyio.move_on_after(FLUSH_TIMEOUT_S) as scope:
            await self.wait_flushed()
        if scope.cancelled_caught:
            self._connection.abort()

    def _update(self, held: int) -> None:
        self._controller.add(self._organisation_id, held - self._held)
        self._held = held

    def close(self) -> None:
        """Removes the caller's bytes from the counts."""
        self._update(0)


class Readers:
    """Counts the buffered bytes by organisation and on the node.

    Args:
      configuration: Has the bounds of organisations.
      settings: Has the bound of the node.
      max_bytes: Another bound of the node, in bytes; None for no other.
    """

    def __init__(self, configuration, settings, max_bytes: int | None = None):
        self._configuration = configuration
        self._max_bytes = settings.held_bytes
        if max_bytes is not None:
            self._max_bytes = min(self._max_bytes, max_bytes)
        self._total = 0
        self._held: collections.Counter[ids.OrganisationId] = (
            collections.Counter()
        )
        self._peak = 0

    @property
    def total(self) -> int:
        """Bytes buffered on this node."""
        return self._total

    @property
    def peak(self) -> int:
        """Most bytes buffered on this node at any time."""
        return self._peak

    @contextlib.contextmanager
    def open(self, organisation_id, connection: Connection):
        """Yields the reader of an answer and closes it at the end."""
        reader = Reader(self, organisation_id, connection)
        try:
            yield reader
        finally:
            reader.close()

    def add(self, organisation_id: ids.OrganisationId, delta: int) -> None:
        """Adds to the bytes buffered for an organisation."""
        self._total += delta
        self._peak = max(self._peak, self._total)
        self._held[organisation_id] += delta

    def is_full(self, organisation_id: ids.OrganisationId) -> bool:
        """Tells whether the organisation or the node is at its bound."""
        organisations = self._configuration.config.organisations
        organisation = organisations.get(organisation_id)
        return self._total >= self._max_bytes or (
            organisation is not None
            and self._held[organisation_id] >= organisation.limits.held_bytes
        )
