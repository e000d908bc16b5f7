"""Which nodes there are, in which state, and whom to ask next."""

import dataclasses
import random as randoms
import zlib

from radishcourse_model import ids
from radishcourse_model import states

SUSPECT_AFTER_S = 3.0
DEAD_AFTER_S = 6.0
# Members that are dead for so long are forgotten.
DEAD_RETENTION_S = 60.0
# Up to here each reply can vouch for all members; beyond, a member is heard
# of less often, so the limits grow with the fleet.
ALL_HEARTBEATS_MAX_NODES = 32
HEARTBEAT_SAMPLE_SIZE = 12
SMALL_FLEET_NODES = 17
SMALL_FANOUT = 4
# With 200 confirmations a second over 570 nodes, one peer a round would
# leave some nodes without a confirmation of the last 2.5 s; two do not.
LARGE_FANOUT = 2
SAMPLE_SIZE = 8
MAX_ENDED_INCARNATIONS = 4096


@dataclasses.dataclass
class Member:
    """What is known of another node.

    Attributes:
      node: Its id.
      incarnation: Its process, or None before it was heard of.
      zone: Its availability zone.
      address: The address that it advertises.
      listed_address: Its address by the platform's list or the seeds.
      announced: What it says of itself: joining, alive or leaving.
      heartbeat: Its newest known heartbeat counter.
      heartbeat_at: When that counter was known to be reached, by our clock.
      synced: Whether it told all that it knows.
      failures: Calls that failed since the last one that worked.
      asked_at: When it was asked last, by our clock.
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
        """Addresses to try, without repeats."""
        return list(
            dict.fromkeys(filter(None, (self.address, self.listed_address)))
        )

    @property
    def next_address(self) -> str | None:
        """The address to try next; after a failure it is another one."""
        known = self.addresses
        return known[self.failures % len(known)] if known else None


@dataclasses.dataclass(frozen=True)
class MemberUpdate:
    """What was heard of a member; empty fields are not known."""

    node: ids.NodeId
    incarnation: ids.Incarnation
    heartbeat: int
    heartbeat_at: float
    announced: states.MemberState
    zone: ids.ZoneId = ids.ZoneId('')
    address: str = ''


class Members:
    """The other nodes that a node knows.

    Args:
      own: The node's own id, which never becomes a member.
    """

    def __init__(self, own: ids.NodeId):
        self._own = own
        self._members: dict[ids.NodeId, Member] = {}
        self._by_hash: dict[int, ids.NodeId] = {}
        self._ended_incarnations: dict[ids.Incarnation, None] = {}

    @property
    def all(self) -> dict[ids.NodeId, Member]:
        """Members by id, also those that were never heard of."""
        return self._members

    def add_candidate(
        self, node: ids.NodeId, address: str, zone: str = ''
    ) -> None:
        """Notes a candidate of the platform's list or the seeds."""
        if node == self._own:
            return
        member = self._members.setdefault(node, Member(node))
        member.listed_address = address
        member.zone = member.zone or ids.ZoneId(zone)

    def apply_update(self, update: MemberUpdate, direct: bool) -> None:
        """Takes over what was heard, if it is newer.

        Incarnations have no order. One that speaks for itself replaces the
        one before for good; of two by hearsay the one heard later counts.
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
            # A process that leaves does not come back.
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
        """Returns the members in some states."""
        return frozenset(
            node for node in self._members if self.state(node, now) in wanted
        )

    @property
    def announced_leaving(self) -> frozenset[ids.NodeId]:
        """Members that announced that they leave, also when dead since."""
        return frozenset(
            node
            for node, member in self._members.items()
            if member.announced is states.MemberState.LEAVING
        )

    def apply_heartbeat(
        self, hashed: int, heartbeat: int, heartbeat_at: float
    ) -> None:
        """Takes over a heartbeat that another node knows."""
        member = self._members.get(self._by_hash.get(hashed))
        if member is None or heartbeat <= member.heartbeat:
            return
        member.heartbeat = heartbeat
        member.heartbeat_at = max(member.heartbeat_at, heartbeat_at)

    def state(self, node: ids.NodeId, now: float) -> states.MemberState:
        """Returns the state of a member.

        Args:
          node: The member.
          now: When this node last asked others. Ages are counted up to that
            time, so that a node that was paused does not take all others
            for dead when it wakes.
        """
        member = self._members[node]
        return derive_state(member, now, len(self._members) + 1)

    def is_dead(self, incarnation: ids.Incarnation, now: float) -> bool:
        """Tells whether a process is known to have ended."""
        if incarnation in self._ended_incarnations:
            return True
        node = self._members.get(
            ids.NodeId(incarnation.rpartition('.')[0]), Member(ids.NodeId(''))
        )
        return (
            node.incarnation == incarnation
            and self.state(node.node, now) is states.MemberState.DEAD
        )

    def remove_dead(self, now: float, kept: frozenset[ids.NodeId]) -> None:
        """Forgets members that are dead for long, but for those kept."""
        for node, member in list(self._members.items()):
            if node in kept or now - member.heartbeat_at <= DEAD_RETENTION_S:
                continue
            if self.state(node, now) is states.MemberState.DEAD:
                del self._members[node]
                if member.incarnation is not None:
                    self._mark_ended(member.incarnation)

    def heartbeats_to_send(self, random: randoms.Random) -> list[Member]:
        """Returns members whose heartbeat is worth telling."""
        known = [item for item in self._members.values() if item.heartbeat >= 0]
        if len(known) <= ALL_HEARTBEATS_MAX_NODES:
            return known
        newest = sorted(known, key=lambda item: -item.heartbeat_at)
        return random.sample(newest[: len(known) // 2], HEARTBEAT_SAMPLE_SIZE)


def derive_state(member: Member, now: float, nodes: int) -> states.MemberState:
    """Returns the state of a member in a fleet of `nodes`."""
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
    """Returns the signed 32-bit number that stands for an incarnation."""
    value = zlib.crc32(incarnation.encode())
    return value - 2**32 if value >= 2**31 else value


def fanout(nodes: int) -> int:
    """Returns how many peers a node asks in each round."""
    target = SMALL_FANOUT if nodes <= SMALL_FLEET_NODES else LARGE_FANOUT
    return max(0, min(nodes - 1, target))


def interleave_zones(
    members: list[Member], random: randoms.Random
) -> list[Member]:
    """Returns the members in a random order that alternates their zones."""
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
    """Returns the peers to ask next.

    The one that waited longest comes first, so that none waits long, as a
    free draw would have it. Of peers that waited equally long, zones
    alternate.

    Args:
      live: Peers that may be asked now.
      sample: Peers whose answers are needed most; empty when none are.
      count: How many to ask.
      random: Decides between equals.
    """
    interleaved = interleave_zones(live, random)
    interleaved.sort(key=lambda item: (item.node not in sample, item.asked_at))
    return interleaved[:count]


def draw_sample(
    current: frozenset[ids.NodeId],
    roster: frozenset[ids.NodeId],
    random: randoms.Random,
) -> frozenset[ids.NodeId]:
    """Returns the peers whose majority shows an outage.

    The sample keeps its peers as long as they are on the roster: drawing
    again until a majority answers would defeat it.
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
    """Returns the peers that an outage is judged by.

    While the view is not confirmed only nodes that announced their leaving
    drop out: the nodes that a cut-off minority no longer hears are not
    gone, and must go on to count against it.

    Args:
      roster: The roster before.
      listed: Live nodes by the platform's list, or the seeds before it was
        read.
      present: Members that were heard of and are not dead.
      leaving: Members that announced that they leave.
      confirmed: Whether the view is confirmed.
    """
    kept = frozenset() if confirmed else roster
    return (kept | listed | present) - leaving
