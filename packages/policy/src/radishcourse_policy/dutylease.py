"""Leases by which one node at a time performs a duty.

Load pattern: duties call a second interface that checks neither leases nor
tokens, and that charges a lot for two nodes that act at once. Nodes are killed,
frozen and cut off; responses of the store are lost; the store comes back from
an older copy.

A lease is a row of the store. No wall clocks are compared. The holder counts
from before it sent a write, others from when they knew that the row had that
version, so the holder stops first. Others write on condition that the version
is unchanged. A new holder waits for a whole lease before it acts, so that one
holder never acts between two calls of another.
"""

import enum
import typing

from radishcourse_policy import position as positions

# The holder stops this share of a lease before its end. It covers clocks whose
# rates differ, and the time from the last check of a call until it arrives.
MARGIN_SHARE = 0.1
RENEWALS_PER_LEASE = 3
# Nodes that watch a lease. Others do so after a longer silence.
WATCHERS = 3
# A watcher reads the row when it has not heard of a new version for this share
# of a lease. Renewals are gossiped well within it.
SILENCE_SHARE = 0.5
# Delay of a watcher by its rank, as a share of a lease: one of them succeeds,
# and the others need not try.
RANK_DELAY_SHARE = 0.05
# A node that is no watcher takes part after so many leases without news.
OTHERS_DELAY_LEASES = 2.0
# Tokens order terms across restores of the store. At ten thousand writes a
# second, versions stay below 2**44 for 55 years.
VERSION_BITS = 44


class Duty(enum.Enum):
    """What one node at a time does for the whole fleet."""

    USAGE = 'usage'
    SCALING = 'scaling'


def make_token(position: positions.Position) -> int:
    """Returns the fencing token of a term that began with a write."""
    return position.era << VERSION_BITS | position.version


class Row(typing.NamedTuple):
    """The row of a lease.

    Attributes:
      position: Where it was last written; version 0 if there is no row.
      holder: The node that holds the lease; empty if released or unreadable.
      token: Token of the term; 0 in the row that began it.
      nonce: Identifies the term; drawn at random when it was acquired.
    """

    position: positions.Position
    holder: str = ''
    token: int = 0
    nonce: str = ''

    @property
    def term_token(self) -> int:
        """Token of the term that the row describes."""
        return self.token or make_token(self.position)


class News(typing.NamedTuple):
    """What a node knows of a lease, as it tells others.

    Attributes:
      holder: The node that holds it, empty if released.
      token: Token of the term.
      position: Where the row was last written.
      known_at: When the row is known to have had that position, in seconds.
    """

    holder: str
    token: int
    position: positions.Position
    known_at: float


class Write(typing.NamedTuple):
    """A write of a lease's row.

    Attributes:
      expected: Position that the row must have.
      row: What to write; its position is not known yet.
    """

    expected: positions.Position
    row: Row


class _Held:
    """A term of this node.

    Attributes:
      token: Its token.
      nonce: Identifies it in the row.
      position: Where the row was last written, as far as known.
      sent_at: When the last write known to have succeeded was sent.
      acquired_at: When this node learned that it holds the lease.
    """

    def __init__(self, token, nonce, position, sent_at, acquired_at):
        self.token: int = token
        self.nonce: str = nonce
        self.position: positions.Position = position
        self.sent_at: float = sent_at
        self.acquired_at: float = acquired_at


class Lease:
    """One lease, as one node knows it.

    All times are in seconds of a clock that also runs while the machine is
    paused.

    Args:
      node: This node.
      lease_s: Duration of the lease.
      now: Current time.

    Attributes:
      highest_token: Highest token of a term that this node knows of.
    """

    def __init__(self, node: str, lease_s: float, now: float):
        self._node = node
        self._lease_s = lease_s
        self._seen: News | None = None
        self._silent_since = now
        self._read_at = float('-inf')
        # Whether the row must be read before anything else is done.
        self._unclear = False
        # The position up to which the store has lost writes in this era.
        self._distrusted: positions.Position | None = None
        self._held: _Held | None = None
        # The latest write that may still take effect, and when the first one
        # with the same expectation was sent.
        self._pending: Write | None = None
        self._pending_since = now
        self._declined_until = float('-inf')
        self.highest_token = 0

    @property
    def news(self) -> News | None:
        """What this node tells others of the lease, None if nothing."""
        return self._seen if self._seen and self._seen.token else None

    @property
    def token(self) -> int | None:
        """Token of this node's term, None without one."""
        return self._held.token if self._held else None

    def may_act(self, now: float, token: int) -> bool:
        """Tells whether this node may act now in its term with a token."""
        held = self._held
        if held is None or held.token != token:
            return False
        if now < held.acquired_at + self._lease_s:
            return False
        return now < held.sent_at + self._lease_s * (1 - MARGIN_SHARE)

    def may_acquire(self, now: float, rank: int) -> bool:
        """Tells whether this node may try to acquire the lease.

        The row must have been read or told of, and not have changed for a
        whole lease, unless its holder released it.

        Args:
          now: Current time.
          rank: Position of this node among the nodes that may watch, from 0.
        """
        if self._held or self._unclear or self._seen is None:
            return False
        if now < self._declined_until:
            return False
        wait_s = rank * RANK_DELAY_SHARE * self._lease_s
        if rank >= WATCHERS:
            wait_s += OTHERS_DELAY_LEASES * self._lease_s
        if self._seen.holder or not self._seen.token:
            # An absent row tells nothing of a holder before a restore.
            wait_s += self._lease_s
        return now - self._seen.known_at >= wait_s

    def should_read(self, now: float, rank: int) -> bool:
        """Tells whether this node should read the row.

        Args:
          now: Current time.
          rank: As for `may_acquire`.
        """
        if self._unclear:
            return True
        if self._held or now < self._declined_until:
            return False
        silence_s = SILENCE_SHARE * self._lease_s
        if rank >= WATCHERS:
            silence_s += (OTHERS_DELAY_LEASES + rank / WATCHERS) * self._lease_s
        elif self._seen is None:
            silence_s = 0.0
        since = self._seen.known_at if self._seen else self._silent_since
        return now >= since + silence_s > self._read_at

    def should_renew(self, now: float) -> bool:
        """Tells whether this node's term is to be renewed."""
        interval_s = self._lease_s / RENEWALS_PER_LEASE
        return bool(self._held) and now >= self._held.sent_at + interval_s

    def decline(self, now: float, seconds: float) -> None:
        """Leaves the lease to other nodes for a time."""
        self._declined_until = now + seconds

    def begin_acquisition(self, now: float, nonce: str) -> Write:
        """Returns the write that acquires the lease, which is sent now."""
        row = Row(positions.START, self._node, 0, nonce)
        return self._begin(now, Write(self._seen.position, row))

    def begin_renewal(self, now: float) -> Write:
        """Returns the write that renews this node's term, sent now."""
        held = self._held
        row = Row(positions.START, self._node, held.token, held.nonce)
        return self._begin(now, Write(held.position, row))

    def begin_release(self, now: float) -> Write:
        """Ends this node's term; returns the write that tells others."""
        held = self._held
        row = Row(positions.START, '', held.token, held.nonce)
        self._forget(now)
        return Write(held.position, row)

    def _begin(self, now: float, write: Write) -> Write:
        if self._pending is None or self._pending.expected != write.expected:
            self._pending_since = now
        self._pending = write
        return write

    def _forget(self, now: float) -> None:
        self._held = self._pending = self._seen = None
        self._silent_since, self._read_at = now, float('-inf')

    def note_written(
        self, position: positions.Position, sent_at: float, now: float
    ) -> None:
        """Records that the last write took effect.

        Args:
          position: Where the row was written.
          sent_at: When the write was sent.
          now: When its response arrived.
        """
        write, self._pending = self._pending, None
        self._take(write, position, sent_at, now)

    def note_unclear(self) -> None:
        """Records that the last write failed, and may have taken effect.

        The row tells whether it did. It is read before the next write.
        """
        self._unclear = True

    def note_conflict(self) -> None:
        """Records that the row did not have the expected version.

        An earlier write whose response was lost may have changed it.
        """
        self._unclear = True

    def note_released(self, position: positions.Position, now: float) -> None:
        """Records that the write that ended this node's term took effect.

        Args:
          position: Where the row was written.
          now: When its response arrived.
        """
        if self._held is None and self._seen is None:
            self._seen = News('', self.highest_token, position, now)

    def _note_token(self, holder: str, token: int) -> None:
        # This node's own term may be known to others before the response to
        # its acquisition arrives.
        own = holder == self._node
        self.highest_token = max(self.highest_token, token - own)

    def _take(self, write: Write, position, sent_at: float, now: float) -> None:
        if position.era != write.expected.era:
            # The store was restored in between: nothing known of the row holds.
            self._forget(now)
            return
        token = write.row.token or make_token(position)
        self._seen = News(self._node, token, position, now)
        if self._held is None:
            if token <= self.highest_token:
                # The store has lost writes. A term of this token might act
                # after one with a higher token, so there is none.
                return
            self._held = _Held(token, write.row.nonce, position, sent_at, now)
        self._held.position = position
        self._held.sent_at = max(self._held.sent_at, sent_at)
        self.highest_token = max(self.highest_token, token)

    def note_row(self, row: Row, read_at: float, now: float) -> None:
        """Records the row as read from the store.

        Args:
          row: The row.
          read_at: When the read was sent.
          now: When its response arrived.
        """
        self._read_at, self._unclear = now, False
        if self._resolve(row, now):
            return
        if self._held is not None:
            self._forget(now)
            self._read_at = now
        seen = self._seen
        if seen is not None and not row.position.is_after(seen.position):
            if (
                row.position == seen.position
                or row.position.era < seen.position.era
                or read_at < seen.known_at
            ):
                return
            self._distrusted = seen.position
        token = row.term_token if row.position.version else 0
        self._note_token(row.holder, token)
        self._seen = News(row.holder, token, row.position, now)

    def _resolve(self, row: Row, now: float) -> bool:
        """Tells whether the row shows this node's term, and takes it up."""
        held, pending = self._held, self._pending
        if held is None:
            if pending is None or row.nonce != pending.row.nonce:
                return False
            self._pending = None
            self._take(pending, row.position, self._pending_since, now)
            return True
        if row.nonce != held.nonce or row.position.era != held.position.era:
            return False
        if row.position.is_after(held.position):
            held.position = row.position
            held.sent_at = max(held.sent_at, self._pending_since)
            self._pending = None
            self._seen = News(self._node, held.token, row.position, now)
        return True

    def note_news(self, news: News) -> None:
        """Records what another node knows of the lease."""
        self._note_token(news.holder, news.token)
        if self._held is not None:
            return
        seen = self._seen
        if self._distrusted and not news.position.is_after(self._distrusted):
            return
        if seen is None or news.position.is_after(seen.position):
            self._seen = news
        elif news.position == seen.position:
            known_at = min(news.known_at, seen.known_at)
            self._seen = seen._replace(known_at=known_at)
