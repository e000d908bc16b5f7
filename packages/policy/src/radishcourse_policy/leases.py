"""When a lease may be acquired and how long its holder may use it.

No wall clocks are compared. A watcher waits a whole lease duration after it
received an answer with some version of the row, and then writes on condition
that the version is unchanged. The holder counts from before it sent its
renewal, so its lease always ends first.
"""

import dataclasses
import hashlib

from radishcourse_model import ids

DURATION_S = 10.0
RENEW_INTERVAL_S = DURATION_S / 2
WATCH_INTERVAL_S = 2.0
# The clock rates of two VMs may differ by up to one percent.
HOLDER_DURATION_S = DURATION_S * 0.99
# Two answers of the platform that are further apart do not prove that it was
# up in between: the watcher itself may have been paused.
MAX_ANSWER_GAP_S = 5.0
# Each check that finds outage evidence, which is a view of OUTAGE, extends a
# lease by at most this time, so a holder that was paused finds its lease
# lapsed. The evidence is valid for the same time; a watcher waits four times as
# long after an outage.
OUTAGE_EXTENSION_S = 2.5
# Members that watch each lease in order to acquire it.
WATCHERS = 3
# Delay per rank, so that preferred watchers try first.
RANK_DELAY_S = 1.0


@dataclasses.dataclass(frozen=True)
class Watch:
    """State of a lease's row, as known to a watcher.

    Attributes:
      version: Highest version seen; 0 when the row does not exist.
      seen_at: When this version was first received, by the watcher's clock,
        in seconds.
      released: Whether the row names no holder.
    """

    version: int
    seen_at: float
    released: bool


@dataclasses.dataclass(frozen=True)
class Uptime:
    """Period in which the platform has answered without a gap.

    Attributes:
      since: When its first answer was received, in seconds; None after a
        failure.
      last_answer_at: When its last answer was received, in seconds.
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
        """Returns for how many seconds the platform has been up."""
        if self.since is None or now - self.last_answer_at > MAX_ANSWER_GAP_S:
            return 0.0
        return now - self.since


def observe(
    watch: Watch | None, version: int, released: bool, received_at: float
) -> Watch:
    """Returns the watch after an answer with the row at `version`.

    An answer whose version is not higher changes nothing; a lower one is a
    stale read.
    """
    if watch is not None and version <= watch.version:
        return watch
    return Watch(version, received_at, released)


def may_acquire(watch: Watch, uptime: Uptime, now: float, rank: int) -> bool:
    """Tells whether a watcher may try to acquire the lease.

    Args:
      watch: State of the row, as known to the watcher.
      uptime: Period in which it has seen the platform up.
      now: Time by the watcher's clock, in seconds.
      rank: Its position among the preferred members, from 0.
    """
    # The holder of a released lease stopped using it before it wrote the row,
    # so there is nothing to wait for.
    wait = 0.0 if watch.released else DURATION_S
    wait += rank * RANK_DELAY_S
    if now - watch.seen_at < wait:
        return False
    return watch.released or uptime.duration(now) >= DURATION_S


@dataclasses.dataclass
class HeldLease:
    """A lease as its holder counts it, in seconds by the holder's clock.

    After its duration a lease remains valid while checks at most
    `OUTAGE_EXTENSION_S` apart find outage evidence. After a longer gap it has
    lapsed.

    Attributes:
      epoch: Fencing token.
      version: Version of the row that the holder wrote.
      sent_at: When the last successful renewal was sent.
      acquired_at: When the holder learned that it holds the lease.
      extended_until: End of the last extension by outage evidence.
      lapsed: Whether a check found the lease lapsed. Only a renewal on the
        unchanged row resets this.
    """

    epoch: ids.Epoch
    version: int
    sent_at: float
    acquired_at: float
    extended_until: float = 0.0
    lapsed: bool = False

    def check(self, now: float, outage: bool) -> bool:
        """Tells whether the lease may be used now; may extend or lapse it.

        Args:
          now: Time by the holder's clock, in seconds.
          outage: Whether the node's view is OUTAGE now.
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
        """Records a successful renewal."""
        self.version = version
        if sent_at > self.sent_at:
            self.sent_at = sent_at
        self.lapsed = False


def preferred_members(
    name: ids.LeaseName, members: list[ids.NodeId], count: int = WATCHERS
) -> list[ids.NodeId]:
    """Returns the first `count` members for a lease by rendezvous hashing."""

    def weight(member: ids.NodeId) -> bytes:
        return hashlib.sha256(f'{name}\0{member}'.encode()).digest()

    return sorted(members, key=weight, reverse=True)[:count]


def shard_lease_name(upstream: ids.UpstreamId, shards: int) -> ids.LeaseName:
    """Returns the name of the lease for an upstream's shard."""
    digest = hashlib.sha256(upstream.encode()).digest()
    shard = int.from_bytes(digest[:8], 'big') % shards
    return ids.LeaseName(f'upstreams/{shard}')
