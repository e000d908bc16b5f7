"""When a lease may be taken and how long its holder may use it.

No wall clocks are compared. A taker counts a whole lease length from an
answer that showed the row at some version, and then writes on condition
that this version is unchanged. The holder counts from before it sent its
renewal, so its time always ends first.
"""

import dataclasses
import hashlib

from radishcourse_model import ids

DURATION_S = 10.0
RENEW_INTERVAL_S = DURATION_S / 2
WATCH_INTERVAL_S = 2.0
# Clocks of two VMs may run at rates that differ by up to one percent.
HOLDER_DURATION_S = DURATION_S * 0.99
# Two answers of the platform further apart than this do not show that it
# was up in between; the watcher itself may have been paused.
MAX_ANSWER_GAP_S = 5.0
# Outage evidence carries a lapsed lease on for at most this long after each
# check, so a holder that was paused finds its lease lapsed. Evidence itself
# counts for as long, and a taker waits four times longer after an outage.
OUTAGE_EXTENSION_S = 2.5
# Members that watch a lease in order to take it.
WATCHERS = 3
# Lower-ranked watchers leave the first turn to higher-ranked ones.
RANK_DELAY_S = 1.0


@dataclasses.dataclass(frozen=True)
class Watch:
    """What a watcher knows of a lease's row.

    Attributes:
      version: Highest version seen; 0 when the row does not exist.
      seen_at: When the answer was received that first showed this version.
      released: Whether the row names no holder.
    """

    version: int
    seen_at: float
    released: bool


@dataclasses.dataclass(frozen=True)
class Uptime:
    """Since when the platform has answered without a gap.

    Attributes:
      since: When the first of these answers was received, or None.
      last_answer_at: When the last of them was received.
    """

    since: float | None = None
    last_answer_at: float = 0.0

    def after_answer(self, now: float) -> 'Uptime':
        """Returns the uptime after an answer at `now`."""
        if self.since is None or now - self.last_answer_at > MAX_ANSWER_GAP_S:
            return Uptime(now, now)
        return Uptime(self.since, now)

    def after_failure(self) -> 'Uptime':
        """Returns the uptime after a call that was not answered."""
        return Uptime()

    def duration(self, now: float) -> float:
        """Returns for how long the platform has been seen up."""
        if self.since is None or now - self.last_answer_at > MAX_ANSWER_GAP_S:
            return 0.0
        return now - self.since


def observe(
    watch: Watch | None, version: int, released: bool, received_at: float
) -> Watch:
    """Returns the watch after an answer that showed the row at a version.

    An answer with a lower version is a stale read and changes nothing.
    """
    if watch is not None and version <= watch.version:
        return watch
    return Watch(version, received_at, released)


def may_acquire(watch: Watch, uptime: Uptime, now: float, rank: int) -> bool:
    """Tells whether a watcher may try to take the lease.

    Args:
      watch: What it knows of the row.
      uptime: Since when it has seen the platform up.
      now: Time by the watcher's clock.
      rank: Its place among the members that prefer the lease, from 0.
    """
    # A row that names no holder was given up by a holder that had stopped
    # using the lease, so there is nothing to wait for.
    wait = 0.0 if watch.released else DURATION_S
    wait += rank * RANK_DELAY_S
    if now - watch.seen_at < wait:
        return False
    return watch.released or uptime.duration(now) >= DURATION_S


@dataclasses.dataclass
class HeldLease:
    """A holder's own count of its lease.

    A lease that is over by its length goes on while checks at most
    `OUTAGE_EXTENSION_S`
    apart find outage evidence; after a longer gap it has lapsed.

    Attributes:
      epoch: Fencing token.
      version: Version of the row as the holder wrote it.
      sent_at: When the renewal was sent that took effect last.
      acquired_at: When this holder learned that it holds the lease.
      extended_until: End of the time carried on by outage evidence.
      lapsed: Whether a check found the lease over; only a renewal of the
        unchanged row ends this.
    """

    epoch: ids.Epoch
    version: int
    sent_at: float
    acquired_at: float
    extended_until: float = 0.0
    lapsed: bool = False

    def check(self, now: float, outage: bool) -> bool:
        """Tells whether the lease may be used now.

        Args:
          now: Time by the holder's clock.
          outage: Whether the node has outage evidence now.
        """
        if self.lapsed:
            return False
        end = self.sent_at + HOLDER_DURATION_S
        if now < end:
            return True
        if now > max(self.extended_until, end + OUTAGE_EXTENSION_S):
            self.lapsed = True
            return False
        if outage:
            self.extended_until = now + OUTAGE_EXTENSION_S
        return outage

    def record_renewal(self, version: int, sent_at: float) -> None:
        """Notes a renewal that took effect."""
        self.version = version
        if sent_at > self.sent_at:
            self.sent_at = sent_at
        self.lapsed = False


def preferred_members(
    name: ids.LeaseName, members: list[ids.NodeId], count: int = WATCHERS
) -> list[ids.NodeId]:
    """Returns the members that rendezvous hashing prefers for a lease."""

    def weight(member: ids.NodeId) -> bytes:
        return hashlib.sha256(f'{name}\0{member}'.encode()).digest()

    return sorted(members, key=weight, reverse=True)[:count]


def shard_lease_name(upstream: ids.UpstreamId, shards: int) -> ids.LeaseName:
    """Returns the name of the lease of an upstream's shard."""
    digest = hashlib.sha256(upstream.encode()).digest()
    shard = int.from_bytes(digest[:8], 'big') % shards
    return ids.LeaseName(f'upstreams/{shard}')
