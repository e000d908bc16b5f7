"""Bytes held for callers that read slowly.

A stream stops reading from its upstream while its caller has left too much
unread, or while the organisation or the node holds too much and the caller
has left anything unread. One part of a stream, at most what the upstream
connection's receive buffer holds, can come on top of each bound.
"""

import collections
import contextlib
import typing

import anyio

from radishcourse_model import ids

# Bound for one request, with the part that is being read from the upstream
# (32 KiB), the parser's buffer and events out of order (64 KiB each).
REQUEST_BYTES = 256 * 1024
HIGH_WATERMARK_BYTES = 64 * 1024
# A caller that read nothing for this long after the end of its answer has
# its connection closed, so that the held bytes are freed.
FLUSH_TIMEOUT_S = 30.0


class Connection(typing.Protocol):
    """A caller's connection."""

    def held_bytes(self) -> int:
        """Bytes written that the kernel did not take yet."""

    def is_paused(self) -> bool:
        """Whether a write would wait."""

    async def wait_flushed(self) -> None:
        """Returns when the kernel took all written bytes."""

    def abort(self) -> None:
        """Closes the connection and drops what it holds."""


class Reader:
    """What one caller has left unread."""

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
        # A paused connection would block the next write, where the stream
        # could not be parked.
        return (
            held <= HIGH_WATERMARK_BYTES
            and not self._connection.is_paused()
            and not self._controller.is_full(self._organisation_id)
        )

    async def wait_flushed(self) -> None:
        """Returns when the caller has caught up."""
        try:
            await self._connection.wait_flushed()
        finally:
            self._update(self._connection.held_bytes())

    async def finish(self) -> None:
        """Waits for the caller to take the rest, and closes when it won't."""
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
        """Takes the caller out of the count."""
        self._update(0)


class Readers:
    """Counts the bytes held by organisation and on the node."""

    def __init__(self, configuration, settings):
        self._configuration = configuration
        self._max_bytes = settings.held_bytes
        self._total = 0
        self._held: collections.Counter[ids.OrganisationId] = (
            collections.Counter()
        )
        self._peak = 0

    @property
    def total(self) -> int:
        """Bytes held on this node."""
        return self._total

    @property
    def peak(self) -> int:
        """Most bytes held on this node at any time."""
        return self._peak

    @contextlib.contextmanager
    def open(self, organisation_id, connection: Connection):
        """Yields the reader of an answer."""
        reader = Reader(self, organisation_id, connection)
        try:
            yield reader
        finally:
            reader.close()

    def add(self, organisation_id: ids.OrganisationId, delta: int) -> None:
        """Adds to the bytes held for an organisation."""
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
