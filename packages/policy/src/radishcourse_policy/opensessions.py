"""Sessions that are open when a roll-out is ordered.

A session keeps its version, so the canary of a roll-out takes in sessions that
begin after it has started, and leaves those that are open on the old version.
The requests of a session arrive at different nodes. Each node remembers the
sessions of its own requests, and all nodes merge the set of open ones. That
takes some rounds, so around the start of the canary nodes also ask the one node
that is responsible for a session.

Load pattern: sessions of a few requests each, with pauses of seconds, through
any node, while a new version is rolled out.
"""

import collections
import zlib

from radishcourse_model import ids

# Hash values below 1 are divided into this many equal buckets. A session that
# shares a bucket with an open one is taken for open.
BUCKETS = 2**18
# Memory of a node. At more sessions within a pause the oldest are forgotten.
MAX_RECENT_SESSIONS = 10_000


class RecentSessions:
    """Sessions of this node's latest requests."""

    def __init__(self):
        self._seen_at: collections.OrderedDict[
            tuple[ids.ServiceId, str], float
        ] = collections.OrderedDict()

    def note(
        self, service: ids.ServiceId, session: str, now: float, pause_s: float
    ) -> None:
        """Remembers a request of a session.

        Args:
          service: The service that serves it.
          session: The session.
          now: Current time in seconds.
          pause_s: Pause in seconds after which a session has ended.
        """
        self._seen_at[service, session] = now
        self._seen_at.move_to_end((service, session))
        while (
            len(self._seen_at) > MAX_RECENT_SESSIONS
            or next(iter(self._seen_at.values())) < now - pause_s
        ):
            self._seen_at.popitem(last=False)

    def seen_since(self, service: ids.ServiceId, since: float) -> list[str]:
        """Returns the sessions of a service with a request since a time."""
        return [
            session
            for (noted_service, session), seen_at in self._seen_at.items()
            if noted_service == service and seen_at >= since
        ]


def bucket(hash_value: float) -> int:
    """Returns the bucket of a session's hash, which is in [0, 1)."""
    return int(hash_value * BUCKETS)


class OpenSessions:
    """A set of buckets that grows only, so that nodes can merge it."""

    def __init__(self):
        self._buckets = 0
        self._encoded: bytes | None = None

    def __contains__(self, number: int) -> bool:
        return bool(self._buckets >> number & 1)

    def add(self, number: int) -> None:
        """Adds the bucket of a session.

        Raises:
          ValueError: The number is not that of a bucket.
        """
        if not 0 <= number < BUCKETS:
            raise ValueError(f'open sessions: no bucket {number}')
        self._merge(1 << number)

    def encode(self) -> bytes | None:
        """Returns the set as a compressed bitmap, None if it is empty."""
        if self._encoded is None and self._buckets:
            size = (self._buckets.bit_length() + 7) // 8
            self._encoded = zlib.compress(
                self._buckets.to_bytes(size, 'little')
            )
        return self._encoded

    def merge(self, encoded: bytes) -> None:
        """Adds the buckets of an encoded set.

        Raises:
          ValueError: It is not a compressed bitmap of at most BUCKETS bits.
        """
        if encoded == self._encoded:
            return
        decompressor = zlib.decompressobj()
        try:
            bitmap = decompressor.decompress(encoded, BUCKETS // 8)
        except zlib.error as error:
            raise ValueError(f'open sessions: {error}') from error
        if not decompressor.eof:
            raise ValueError('open sessions: truncated or too long')
        self._merge(int.from_bytes(bitmap, 'little'))

    def _merge(self, buckets: int) -> None:
        merged = self._buckets | buckets
        if merged != self._buckets:
            self._buckets, self._encoded = merged, None
