"""The old version's requests that the completion of a roll-out waits for.

Nodes report them in gossip. In a large fleet, a report reaches few nodes in a
round, so a node whose last such request has ended also sends it to the nodes
that publish the decision.
"""

import anyio

from radishcourse_gateway import directory as directories
from radishcourse_gateway import localrollout
from radishcourse_gateway import peerstate
from radishcourse_gateway import versionwork
from radishcourse_gateway import view as views
from radishcourse_policy import canary
from radishcourse_policy import loadbalancing
from radishcourse_policy import versiondrain
from radishcourse_wire import messages
from radishcourse_wire.gen.peer import ttypes

# Number of nodes that get these reports, so that one of them may fail.
DECIDING_NODES = 2


class OldVersionDrain:
    """Work on the old versions of roll-outs, of all nodes.

    Args:
      gateway: Provides the settings, view and peers.
      rollouts: The roll-outs.
      work: This node's attempts in progress.
    """

    def __init__(self, gateway, rollouts, work: versionwork.VersionWork):
        self._current_settings = gateway.current_settings
        self._view: views.View = gateway.view
        self._peers = gateway.peers
        self._rollouts = rollouts
        self._work = work
        self._peers.server.register(
            messages.MessageKind.REPORT_ROLLOUT, self._answer
        )

    def own_work(
        self, rollout: localrollout.LocalRollout
    ) -> versiondrain.NodeWork:
        """Returns this node's requests on the old version of a roll-out."""
        work = self._work.outside(
            rollout.order.service, rollout.order.to_version
        )
        return versiondrain.NodeWork(
            work.in_flight,
            work.unrepeatable,
            self._rollouts.retires_old(rollout),
        )

    def count_undrained(self, rollout: localrollout.LocalRollout) -> int:
        """Returns the number of nodes that the completion has to wait for."""
        routes = self._routes(rollout)
        age_s, moved_at = self._rollouts.age_s(rollout), self._moved_at(rollout)
        longest_s = max((route.timeout_s for route in routes), default=0.0)
        if age_s >= moved_at + longest_s + canary.SETTLE_S:
            # Any request on the old version has reached its timeout.
            return 0
        nodes = [self.own_work(rollout)] + [
            rollout.work_of(peer.incarnation) for peer in self._peers.alive
        ]
        if self._peers.lost_count > len(nodes):
            # More likely this node is cut off from the others.
            nodes += [None] * self._peers.lost_count
        return versiondrain.count_undrained(
            nodes,
            any(not route.retryable for route in routes),
            age_s >= moved_at + canary.SETTLE_S,
        )

    def _routes(
        self, rollout: localrollout.LocalRollout
    ) -> list[directories.Route]:
        directory = self._view.directory
        return [
            route
            for route in (directory.routes if directory else ())
            if any(
                share.service == rollout.order.service for share in route.shares
            )
        ]

    def _moved_at(self, rollout: localrollout.LocalRollout) -> float:
        exposure = self._current_settings.value.bounds.exposure_share
        return canary.moved_all_at(rollout.order.within_s, exposure)

    async def report(self, rollout: localrollout.LocalRollout) -> None:
        """Reports to the deciding nodes that this node has drained."""
        work = self.own_work(rollout)
        async with anyio.create_task_group() as tasks:
            for peer in self._deciding_peers():
                sent = rollout.drain_sent.get(peer.incarnation, False)
                if sent is not work.drained:
                    tasks.start_soon(self._send, peer, rollout, work)

    def _deciding_peers(self) -> list[peerstate.Peer]:
        """Returns the peers among the nodes that publish first."""
        own_weight = loadbalancing.rendezvous_weight(
            'publish', self._current_settings.value.node
        )
        weights = {
            peer.node: loadbalancing.rendezvous_weight('publish', peer.node)
            for peer in self._peers.alive
        }
        first = sorted((own_weight, *weights.values()))[-DECIDING_NODES:]
        return [
            peer
            for peer in self._peers.alive
            if weights.get(peer.node) in first
        ]

    async def _send(
        self,
        peer: peerstate.Peer,
        rollout: localrollout.LocalRollout,
        work: versiondrain.NodeWork,
    ) -> None:
        known = rollout.work_of(peer.incarnation)
        if known is not None and known.unrepeatable is None:
            # An earlier version, which does not know the message.
            return
        report = self._rollouts.report(rollout, work)
        reply = await self._peers.try_call(
            peer, messages.MessageKind.REPORT_ROLLOUT, report
        )
        if reply is not None and reply.known:
            rollout.drain_sent[peer.incarnation] = work.drained

    async def _answer(
        self, sender, report: ttypes.RolloutReport
    ) -> ttypes.ReportRolloutReply:
        """Takes a report that a node sends by itself."""
        del sender
        return ttypes.ReportRolloutReply(self._rollouts.merge_report(report))
