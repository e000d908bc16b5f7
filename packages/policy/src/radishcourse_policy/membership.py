"""Fleet membership: known nodes, their states, and gossip peer selection."""

import dataclasses
import random as randoms
import zlib

from radishcourse_model import ids
from radishcourse_model import states

SUSPECT_AFTER_S = 3.0
DEAD_AFTER_S = 6.0
# Dead members are removed this long after their last heartbeat.
DEAD_RETENTION_S = 60.0
# Up to this fleet size each reply carries the heartbeats of all members. In
# larger fleets a member's heartbeat arrives less often, so the age limits grow
# with the fleet.
ALL_HEARTBEATS_MAX_NODES = 32
HEARTBEAT_SAMPLE_SIZE = 12
SMALL_FLEET_NODES = 17
SMALL_FANOUT = 4
# A fleet of 570 nodes makes 200 confirmations a second. With one peer a round
# some nodes would have no confirmation from the last 2.5 s; with two, all do.
LARGE_FANOUT = 2
SAMPLE_SIZE = 8
MAX_ENDED_INCARNATIONS = 4096


@dataclasses.dataclass
class Member:
    """State of another node, as known to this one.

    Attributes:
      node: Node id.
      incarnation: Current process, or None before the first update.
      zone: Availability zone.
      address: Address that the node advertises.
      listed_address: Address from the platform's VM list or the seeds.
      announced: State that the node reports of itself: joining, alive or
        leaving.
      heartbeat: Highest known heartbeat counter; -1 when none is known.
      heartbeat_at: Time by the local clock, in seconds, at which the counter
        is known to have had this value.
      synced: Whether the node answered with its address. Until then pulls
        carry this node's identity and ask for a full reply.
      failures: Consecutive failed calls.
      asked_at: When the last pull was sent, by the local clock, in seconds.
    """

    node: ids.NodeId
    incarnation: ids.Incarnation | None = None
    zone: ids.ZoneId = ids.ZoneId('')
    address: str = ''
    listed_address: str = ''
    announced: states.MemberState = states.MemberState.ALIVE
    heartbeat: int = -1
    heartbeat_at: float = 0.0
    synced: bool = False
    failures: int = 0
    asked_at: float = 0.0

    @property
    def addresses(self) -> list[str]:
        """Known addresses without duplicates; the advertised one first."""
        return list(
            dict.fromkeys(filter(None, (self.address, self.listed_address)))
        )

    @property
    def next_address(self) -> str | None:
        """Address for the next call; alternates after each failure."""
        known = self.addresses
        return known[self.failures % len(known)] if known else None


@dataclasses.dataclass(frozen=True)
class MemberUpdate:
    """A received state of a member; empty fields are unknown."""

    node: ids.NodeId
    incarnation: ids.Incarnation
    heartbeat: int
    heartbeat_at: float
    announced: states.MemberState
    zone: ids.ZoneId = ids.ZoneId('')
    address: str = ''


class Members:
    """Table of the other nodes in the fleet.

    Args:
      own: Id of this node, which is never added to the table.
    """

    def __init__(self, own: ids.NodeId):
        self._own = own
        self._members: dict[ids.NodeId, Member] = {}
        self._by_hash: dict[int, ids.NodeId] = {}
        self._ended_incarnations: dict[ids.Incarnation, None] = {}

    @property
    def all(self) -> dict[ids.NodeId, Member]:
        """Members by id, including candidates that never sent an update."""
        return self._members

    def add_candidate(
        self, node: ids.NodeId, address: str, zone: str = ''
    ) -> None:
        """Adds a node from the platform's VM list or the seeds."""
        if node == self._own:
            return
        member = self._members.setdefault(node, Member(node))
        member.listed_address = address
        member.zone = member.zone or ids.ZoneId(zone)

    def apply_update(self, update: MemberUpdate, direct: bool) -> None:
        """Applies an update if it is newer than the known state.

        Incarnations have no order. One received directly replaces the known
        one for good; of two received through other nodes, the one with the
        later heartbeat time wins.

        Args:
          update: The received state.
          direct: Whether the member itself sent the update.
        """
        if (
            update.node == self._own
            or update.incarnation in self._ended_incarnations
        ):
            return
        member = self._members.setdefault(update.node, Member(update.node))
        if member.incarnation != update.incarnation:
            if (
                member.incarnation is not None
                and not direct
                and update.heartbeat_at <= member.heartbeat_at
            ):
                return
            self._replace_incarnation(member, update.incarnation)
        if update.heartbeat > member.heartbeat:
            member.heartbeat = update.heartbeat
            member.heartbeat_at = max(member.heartbeat_at, update.heartbeat_at)
            # A leaving process never becomes alive again.
            if member.announced is not states.MemberState.LEAVING:
                member.announced = update.announced
        member.zone = update.zone or member.zone
        member.address = update.address or member.address

    def _replace_incarnation(
        self, member: Member, incarnation: ids.Incarnation
    ) -> None:
        if member.incarnation is not None:
            self._mark_ended(member.incarnation)
        member.incarnation = incarnation
        member.heartbeat = -1
        member.heartbeat_at = 0.0
        member.announced = states.MemberState.ALIVE
        member.synced = False
        self._by_hash[hash_incarnation(incarnation)] = member.node

    def _mark_ended(self, incarnation: ids.Incarnation) -> None:
        self._by_hash.pop(hash_incarnation(incarnation), None)
        self._ended_incarnations[incarnation] = None
        while len(self._ended_incarnations) > MAX_ENDED_INCARNATIONS:
            del self._ended_incarnations[next(iter(self._ended_incarnations))]

    def in_states(
        self, wanted: tuple[states.MemberState, ...], now: float
    ) -> frozenset[ids.NodeId]:
        """Returns the members that are in one of the `wanted` states."""
        return frozenset(
            node for node in self._members if self.state(node, now) in wanted
        )

    @property
    def announced_leaving(self) -> frozenset[ids.NodeId]:
        """Members that announced that they leave, including dead ones."""
        return frozenset(
            node
            for node, member in self._members.items()
            if member.announced is states.MemberState.LEAVING
        )

    def apply_heartbeat(
        self, hashed: int, heartbeat: int, heartbeat_at: float
    ) -> None:
        """Applies a member's heartbeat that another node reported.

        Args:
          hashed: Hash of the member's incarnation, see `hash_incarnation`.
          heartbeat: The heartbeat counter.
          heartbeat_at: Time by the local clock at which it was reached.
        """
        member = self._members.get(self._by_hash.get(hashed))
        if member is None or heartbeat <= member.heartbeat:
            return
        member.heartbeat = heartbeat
        member.heartbeat_at = max(member.heartbeat_at, heartbeat_at)

    def state(self, node: ids.NodeId, now: float) -> states.MemberState:
        """Returns the state of a member.

        Args:
          node: The member.
          now: Start of this node's last gossip round. Heartbeat ages are
            measured up to then, so that a node resuming after a pause does
            not judge all others dead.
        """
        member = self._members[node]
        return derive_state(member, now, len(self._members) + 1)

    def is_dead(self, incarnation: ids.Incarnation, now: float) -> bool:
        """Tells whether a process is known to be dead or replaced."""
        if incarnation in self._ended_incarnations:
            return True
        member = self._members.get(
            ids.NodeId(incarnation.rpartition('.')[0]), Member(ids.NodeId(''))
        )
        return (
            member.incarnation == incarnation
            and self.state(member.node, now) is states.MemberState.DEAD
        )

    def remove_dead(self, now: float, kept: frozenset[ids.NodeId]) -> None:
        """Removes long-dead members, except those in `kept`."""
        for node, member in list(self._members.items()):
            if node in kept or now - member.heartbeat_at <= DEAD_RETENTION_S:
                continue
            if self.state(node, now) is states.MemberState.DEAD:
                del self._members[node]
                if member.incarnation is not None:
                    self._mark_ended(member.incarnation)

    def heartbeats_to_send(self, random: randoms.Random) -> list[Member]:
        """Returns the members whose heartbeats go into a reply.

        In a large fleet these are a random sample of the more recent half.
        """
        known = [item for item in self._members.values() if item.heartbeat >= 0]
        if len(known) <= ALL_HEARTBEATS_MAX_NODES:
            return known
        newest = sorted(known, key=lambda item: -item.heartbeat_at)
        return random.sample(newest[: len(known) // 2], HEARTBEAT_SAMPLE_SIZE)


def derive_state(member: Member, now: float, nodes: int) -> states.MemberState:
    """Returns the state of a member in a fleet of `nodes` nodes."""
    age = now - member.heartbeat_at
    scale = max(1.0, nodes / ALL_HEARTBEATS_MAX_NODES)
    if member.heartbeat < 0 or age > DEAD_AFTER_S * scale:
        return states.MemberState.DEAD
    if member.announced is states.MemberState.LEAVING:
        return states.MemberState.LEAVING
    if age > SUSPECT_AFTER_S * scale:
        return states.MemberState.SUSPECT
    return member.announced


def hash_incarnation(incarnation: ids.Incarnation) -> int:
    """Returns the CRC-32 of an incarnation as a signed 32-bit integer."""
    value = zlib.crc32(incarnation.encode())
    return value - 2**32 if value >= 2**31 else value


def fanout(nodes: int) -> int:
    """Returns how many peers a node pulls from in each gossip round."""
    target = SMALL_FANOUT if nodes <= SMALL_FLEET_NODES else LARGE_FANOUT
    return max(0, min(nodes - 1, target))


def interleave_zones(
    members: list[Member], random: randoms.Random
) -> list[Member]:
    """Returns the members in random order, alternating between zones."""
    zones: dict[str, list[Member]] = {}
    for member in random.sample(members, len(members)):
        zones.setdefault(member.zone, []).append(member)
    queues = random.sample(list(zones.values()), len(zones))
    interleaved = []
    while queues:
        interleaved += [queue.pop() for queue in queues]
        queues = [queue for queue in queues if queue]
    return interleaved


def choose_peers(
    live: list[Member],
    sample: frozenset[ids.NodeId],
    count: int,
    random: randoms.Random,
) -> list[Member]:
    """Returns the peers to pull from next.

    The least recently asked peer comes first, which bounds the wait of each;
    a random choice would not. Ties are ordered by alternating zones.

    Args:
      live: Peers that may be asked now.
      sample: Peers that are asked before all others; may be empty.
      count: Number of peers to return.
      random: Breaks ties.
    """
    interleaved = interleave_zones(live, random)
    interleaved.sort(key=lambda item: (item.node not in sample, item.asked_at))
    return interleaved[:count]


def draw_sample(
    current: frozenset[ids.NodeId],
    roster: frozenset[ids.NodeId],
    random: randoms.Random,
) -> frozenset[ids.NodeId]:
    """Returns the peers of which a majority must confirm an outage.

    Peers stay in the sample while they are on the roster. If silent
    peers were replaced, the node would draw until it found a majority, and a
    cut-off minority would take itself for the fleet.
    """
    if len(roster) <= SAMPLE_SIZE:
        return roster
    kept = current & roster
    if len(kept) >= SAMPLE_SIZE:
        return kept
    others = random.sample(sorted(roster - kept), SAMPLE_SIZE - len(kept))
    return kept | frozenset(others)


def update_roster(
    roster: frozenset[ids.NodeId],
    listed: frozenset[ids.NodeId],
    present: frozenset[ids.NodeId],
    leaving: frozenset[ids.NodeId],
    confirmed: bool,
) -> frozenset[ids.NodeId]:
    """Returns the peers from which the sample is drawn.

    While the view is not confirmed, only nodes that announced their leaving
    are removed. Nodes that a cut-off minority no longer hears may still be
    running, and must count against its majority.

    Args:
      roster: The previous roster.
      listed: Live nodes in the platform's VM list; the seeds until the list
        is first read.
      present: Members that were heard of and are not dead.
      leaving: Members that announced that they leave.
      confirmed: Whether the view of the configuration is confirmed.
    """
    kept = frozenset() if confirmed else roster
    return (kept | listed | present) - leaving
