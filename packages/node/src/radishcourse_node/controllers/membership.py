"""Gossips with other nodes and keeps the membership of the fleet."""

import typing

import anyio

from radishcourse_model import ids
from radishcourse_model import states
from radishcourse_node import events
from radishcourse_node import exchange
from radishcourse_platform import errors as platform_errors
from radishcourse_platform import vms
from radishcourse_policy import freshness as freshness_policy
from radishcourse_policy import membership as policy
from radishcourse_wire import errors as wire_errors
from radishcourse_wire import messages

PULL_TIMEOUT_S = 1.0
# How long a member's change of state is included in replies to pulls.
CHANGE_GOSSIP_S = 10.0
MIN_VM_LIST_INTERVAL_S = 2.0
# Limit on reads of the VM list by the whole fleet.
MAX_FLEET_LISTS_PER_S = 50

# Gossip rounds after which a node that has not been heard of counts as absent.
SETTLED_ROUNDS = 6
_PRESENT = (
    states.MemberState.JOINING,
    states.MemberState.ALIVE,
    states.MemberState.SUSPECT,
)


class Member(typing.NamedTuple):
    """Another node as this node sees it.

    Attributes:
      state: State of the node.
      zone: Availability zone.
      incarnation: Current process of the node.
      address: Address at which this node reaches it.
      age_s: Time since it was last known to be alive, in seconds.
    """

    state: states.MemberState
    zone: ids.ZoneId
    incarnation: ids.Incarnation
    address: str
    age_s: float


class Membership:
    """Pulls the state of other nodes and answers their pulls.

    Args:
      node: The node, for its settings, clients and other controllers.
      vm_list: The platform's list of VMs.
    """

    def __init__(self, node, vm_list: vms.VmList):
        self._node = node
        self._vm_list = vm_list
        self._settings = node.settings
        self._clock = node.environment.clock
        self._random = node.environment.random
        self._configuration = node.configuration
        self._freshness = node.freshness
        self._members = policy.Members(self._settings.node)
        self._exchange = exchange.Exchange(node, self._members)
        self._pulling: set[ids.NodeId] = set()
        self._logged_states: dict[ids.NodeId, states.MemberState] = {}
        self._roster: frozenset[ids.NodeId] = frozenset()
        self._listed: frozenset[ids.NodeId] = frozenset()
        self._round_at = self._clock.now()
        for seed in self._settings.seeds:
            self._members.add_candidate(seed.node, seed.address)
        self._listed = frozenset(self._members.all)
        node.peer_server.register(
            messages.MessageKind.PULL, self._exchange.answer_pull
        )

    @property
    def members(self) -> dict[ids.NodeId, Member]:
        """The other nodes that have been heard of."""
        return {
            node: Member(
                self._members.state(node, self._round_at),
                member.zone,
                member.incarnation,
                self.address(node) or '',
                self._clock.now() - member.heartbeat_at,
            )
            for node, member in self._members.all.items()
            if member.incarnation is not None
        }

    @property
    def present(self) -> frozenset[ids.NodeId]:
        """The other nodes that are not dead or leaving.

        Until the membership is settled, all known and listed nodes.
        """
        if not self.settled:
            return frozenset(self._members.all)
        return self._members.in_states(_PRESENT, self._round_at)

    @property
    def settled(self) -> bool:
        """Whether enough rounds have passed to have heard of all nodes."""
        return self._exchange.heartbeat > SETTLED_ROUNDS

    def address(self, node: ids.NodeId) -> str | None:
        """Returns the address at which to reach a node, or None."""
        route = self._settings.peer_routes.get(node)
        if route is not None:
            return route
        member = self._members.all.get(node)
        return member.next_address if member else None

    def is_dead(self, incarnation: ids.Incarnation) -> bool:
        """Tells whether a process is known to be dead or replaced."""
        return self._members.is_dead(incarnation, self._round_at)

    async def run(self) -> None:
        """Runs gossip rounds and polls the platform's VM list."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._poll_vm_list)
            while True:
                self._begin_round(tasks)
                await anyio.sleep(self._settings.gossip_s)

    def _begin_round(self, tasks) -> None:
        self._exchange.heartbeat += 1
        self._round_at = self._clock.now()
        self._update_state()
        for member in self._choose_peers():
            self._pulling.add(member.node)
            tasks.start_soon(self._pull, member)

    def _update_state(self) -> None:
        """Updates roster, sample and fleet size from the members' states."""
        now = self._round_at
        self._freshness.drop_old_evidence()
        leaving = self._members.announced_leaving
        present = self._members.in_states(_PRESENT, now)
        view = self._freshness.view
        self._roster = policy.update_roster(
            self._roster,
            self._listed,
            present,
            leaving,
            view is freshness_policy.View.CONFIRMED,
        )
        self._freshness.set_sample(
            policy.draw_sample(
                self._freshness.sample, self._roster, self._random
            )
        )
        self._members.remove_dead(now, self._roster | self._listed)
        self._configuration.set_fleet_size(len(present) + 1)
        self._report_changes(now)

    def _report_changes(self, now: float) -> None:
        for node, member in self.members.items():
            before = self._logged_states.get(node)
            if member.state is before:
                continue
            self._logged_states[node] = member.state
            self._exchange.recent_changes[node] = now
            events.log(
                events.Event.MEMBER_CHANGED,
                node=node,
                incarnation=member.incarnation,
                before=before.value if before else None,
                state=member.state.value,
            )
        self._exchange.recent_changes = {
            node: at
            for node, at in self._exchange.recent_changes.items()
            if now - at <= CHANGE_GOSSIP_S and node in self._members.all
        }

    def _choose_peers(self) -> list[policy.Member]:
        """Returns the members to pull from in this round.

        While the platform does not answer, members of the sample come first,
        often enough for their evidence to stay recent. One member that is dead
        or was never heard of is included, so that the two sides of a healed
        partition find each other.
        """
        known = self._members.all
        dead = self._members.in_states(
            (states.MemberState.DEAD,), self._round_at
        )
        live = [
            member
            for node, member in known.items()
            if node not in dead and node not in self._pulling
        ]
        count = policy.fanout(len(known) - len(dead) + 1)
        sample: frozenset[ids.NodeId] = frozenset()
        if not self._freshness.platform_reached:
            sample = self._freshness.sample
            count = policy.SMALL_FANOUT
        silent = [known[node] for node in sorted(dead - self._pulling)]
        return [
            *policy.choose_peers(live, sample, count, self._random),
            *policy.choose_peers(silent, sample, 1, self._random),
        ]

    async def _pull(self, member: policy.Member) -> None:
        address = self.address(member.node)
        asked_at = member.asked_at = self._clock.now()
        try:
            reply = await self._node.peers.call(
                address,
                messages.MessageKind.PULL,
                self._exchange.make_pull(member),
                PULL_TIMEOUT_S,
            )
            await self._exchange.apply_reply(member, reply, asked_at)
        except wire_errors.WireError as error:
            member.failures += 1
            if not isinstance(error, wire_errors.Unreachable):
                exchange.log_rejected(member.node, error)
        finally:
            self._pulling.discard(member.node)

    async def _poll_vm_list(self) -> None:
        while True:
            try:
                listed = await self._vm_list.read()
            except platform_errors.PlatformError:
                listed = None
            if listed:
                self._apply_vm_list(listed)
            nodes = len(self._members.all) + 1
            await anyio.sleep(
                max(MIN_VM_LIST_INTERVAL_S, nodes / MAX_FLEET_LISTS_PER_S)
            )

    def _apply_vm_list(self, listed: list[vms.Vm]) -> None:
        entry_vms = [item for item in listed if item.role is vms.VmRole.ENTRY]
        for item in entry_vms:
            self._members.add_candidate(
                ids.NodeId(item.vm), item.address, item.zone
            )
        self._listed = frozenset(
            ids.NodeId(item.vm)
            for item in entry_vms
            if item.state is vms.VmState.LIVE and item.vm != self._settings.node
        )
