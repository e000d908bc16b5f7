"""Pull requests and replies of the gossip between nodes."""

from radishcourse_model import ids
from radishcourse_model import states
from radishcourse_node import events
from radishcourse_node import gossip
from radishcourse_policy import membership as policy
from radishcourse_wire import errors as wire_errors
from radishcourse_wire import server
from radishcourse_wire.gen.peer import ttypes

# Maximum records in one reply; later replies carry others. Replies with the
# records of the whole fleet would exceed the budget for control traffic.
MAX_UPSTREAMS = 64
MAX_LEARNED = 8


class Exchange:
    """Makes pull requests, answers them and applies the replies.

    Args:
      node: The node, for its settings and other controllers.
      members: Table of the other nodes, which replies update.

    Attributes:
      heartbeat: Number of this node's gossip rounds since its start.
      recent_changes: Members whose state changed recently, with the time of
        the change by the local clock, in seconds.
    """

    def __init__(self, node, members: policy.Members):
        self._node = node
        self._members = members
        self._settings = node.settings
        self._clock = node.environment.clock
        self._random = node.environment.random
        self._configuration = node.configuration
        self._freshness = node.freshness
        self._encoded_snapshot: tuple[str, ttypes.Snapshot | None] = ('', None)
        self.heartbeat = 0
        self.recent_changes: dict[ids.NodeId, float] = {}

    def make_pull(self, member: policy.Member) -> ttypes.Pull:
        """Returns a pull; asks for a full reply until the member is synced."""
        flushed = _collect(self._node.bills, 'flushed')
        return ttypes.Pull(
            self._make_digest(identity=not member.synced),
            flushed or None,
            None if member.synced else True,
        )

    def _make_digest(self, identity: bool) -> ttypes.Digest:
        state = self._node.state
        digest = ttypes.Digest(
            heartbeat=self.heartbeat,
            revision=self._configuration.revision,
            confirmed_age_ms=gossip.encode_age(self._freshness.age_s),
            platform_reached=self._freshness.platform_reached,
        )
        if state is not states.MemberState.ALIVE:
            digest.state = state.value
        if identity:
            digest.zone = self._settings.zone
            digest.address = (
                self._settings.peer_advertise or self._settings.peer_listen
            )
        return digest

    async def answer_pull(
        self, sender: server.Sender, pull: ttypes.Pull
    ) -> ttypes.PullReply:
        """Applies the sender's digest and returns what the sender may lack.

        Raises:
          Malformed: The sender's digest is missing or not complete.
        """
        now = self._clock.now()
        self._apply_digest(pull.digest, sender.node, sender.incarnation, now)
        bills = self._node.bills
        if pull.flushed and hasattr(bills, 'drop'):
            bills.drop(pull.flushed)
        digest = self._make_digest(identity=bool(pull.full))
        digest.node = self._settings.node
        digest.incarnation = self._node.incarnation
        digest.config = gossip.digest_prefix(self._configuration.digest)
        reply = ttypes.PullReply(
            digest=digest,
            members=self._encode_members(bool(pull.full), now) or None,
            upstreams=self._sample_records('upstreams', MAX_UPSTREAMS) or None,
            learned=self._sample_records('quality', MAX_LEARNED) or None,
        )
        vouched = self._members.heartbeats_to_send(self._random)
        if vouched:
            reply.vouches = gossip.encode_vouches(vouched, now)
        self._add_changes(reply, pull.digest.revision or 0)
        return reply

    def _sample_records(self, controller: str, limit: int) -> list:
        """Returns a controller's first record and a sample of the others."""
        records = _collect(getattr(self._node, controller), 'records')
        if len(records) <= limit:
            return records
        return [records[0], *self._random.sample(records[1:], limit - 1)]

    def _apply_digest(
        self, digest, node, incarnation, heartbeat_at: float
    ) -> None:
        if digest is None:
            raise wire_errors.Malformed('the digest is missing')
        update = gossip.decode_member_update(
            digest, node, incarnation, heartbeat_at
        )
        self._members.apply_update(update, direct=True)

    def _encode_members(self, full: bool, now: float) -> list[ttypes.Member]:
        return [
            gossip.encode_member(member, now)
            for node, member in self._members.all.items()
            if member.incarnation is not None
            and (full or node in self.recent_changes)
        ]

    def _add_changes(self, reply: ttypes.PullReply, revision: int) -> None:
        changes = self._configuration.changes_after(revision)
        if changes is None:
            reply.snapshot = self._encode_snapshot()
        elif changes:
            reply.changes = gossip.encode_changes(changes)

    def _encode_snapshot(self) -> ttypes.Snapshot | None:
        digest = self._configuration.digest
        if self._encoded_snapshot[0] != digest:
            encoded = gossip.encode_snapshot(
                self._configuration.snapshot, digest
            )
            self._encoded_snapshot = (digest, encoded)
        return self._encoded_snapshot[1]

    async def apply_reply(
        self, member: policy.Member, reply: ttypes.PullReply, asked_at: float
    ) -> None:
        """Applies a reply; its ages count back from `asked_at`.

        Args:
          member: The member that was asked.
          reply: The reply.
          asked_at: When the request was sent, by the local clock, in seconds.

        Raises:
          Malformed: The reply is not complete, or comes from this node.
        """
        digest = reply.digest
        if digest is None or digest.node == self._settings.node:
            raise wire_errors.Malformed(
                'the reply does not come from another node'
            )
        node = ids.NodeId(digest.node or '')
        incarnation = ids.Incarnation(digest.incarnation or '')
        evidence = gossip.decode_evidence(digest, asked_at)
        self._apply_digest(digest, node, incarnation, asked_at)
        self._apply_members(reply, asked_at)
        if node == member.node:
            member.failures = 0
            member.synced = bool(member.address)
        else:
            # The reply counts for the node that sent it, not for the member
            # that was asked.
            member.failures += 1
            log_rejected(member.node, f'{node} replied at its address')
        self._freshness.note_newest(evidence.revision)
        await self._adopt_configuration(node, reply)
        self._merge(reply)
        self._apply_evidence(node, digest.config, evidence)

    def _apply_evidence(self, node, config: bytes, evidence) -> None:
        """Records the peer's report on its view and adopts its confirmation."""
        configuration = self._configuration
        same_prefix = config == gossip.digest_prefix(configuration.digest)
        if evidence.revision == configuration.revision and not same_prefix:
            log_rejected(node, 'the same revision has another document')
            return
        self._freshness.note_peer(node, evidence)
        confirmed_at = evidence.confirmed_at
        if (
            confirmed_at is not None
            and evidence.revision == configuration.revision
        ):
            configuration.confirm(
                configuration.revision, configuration.digest, confirmed_at
            )

    def _apply_members(self, reply: ttypes.PullReply, asked_at: float) -> None:
        for record in reply.members or ():
            digest = record.digest
            self._members.apply_update(
                gossip.decode_member_update(
                    digest,
                    ids.NodeId(digest.node or ''),
                    ids.Incarnation(digest.incarnation or ''),
                    asked_at - record.age_ms / 1000,
                ),
                direct=False,
            )
        vouches = reply.vouches
        if vouches is None:
            return
        for hashed, heartbeat, age_ds in zip(
            vouches.incarnations,
            vouches.heartbeats,
            vouches.ages_ds,
            strict=False,
        ):
            self._members.apply_heartbeat(
                hashed, heartbeat, asked_at - age_ds / 10
            )

    async def _adopt_configuration(self, node, reply: ttypes.PullReply) -> None:
        configuration = self._configuration
        try:
            if reply.changes:
                await configuration.adopt_changes(
                    gossip.decode_changes(reply.changes)
                )
            snapshot = reply.snapshot
            if (
                snapshot is not None
                and snapshot.revision > configuration.revision
            ):
                await configuration.adopt_snapshot(
                    gossip.decode_snapshot(snapshot), snapshot.digest.hex()
                )
        except gossip.CONFIG_ERRORS as error:
            events.log(
                events.Event.REVISION_REJECTED,
                revision=reply.digest.revision,
                peer=node,
                error=str(error),
            )

    def _merge(self, reply: ttypes.PullReply) -> None:
        for controller, records in (
            (self._node.upstreams, reply.upstreams),
            (self._node.quality, reply.learned),
        ):
            if records and hasattr(controller, 'merge'):
                controller.merge(records)


def log_rejected(node: ids.NodeId, reason: object) -> None:
    """Logs that a peer's reply was rejected in whole or in part."""
    events.log(events.Event.PEER_REJECTED, peer=node, reason=str(reason))


def _collect(controller, method: str) -> list:
    """Calls a controller's method; returns [] if it has no such method."""
    collect = getattr(controller, method, None)
    return collect() if collect is not None else []
