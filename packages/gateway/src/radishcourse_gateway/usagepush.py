"""Pushes usage counts to the holder of the duty and to its deputy.

What a receiver has acknowledged is not sent again. A new receiver gets all that
this node knows, also of other nodes: so the deputy of a holder that was killed
passes on what nodes had reported to both.
"""

import anyio

from radishcourse_gateway import dutyrows
from radishcourse_gateway import peerstate
from radishcourse_node import events
from radishcourse_policy import usagewindows
from radishcourse_wire import errors as wire_errors
from radishcourse_wire import messages
from radishcourse_wire.gen.peer import ttypes

TICK_S = 0.25
# A killed node loses what it counted since its last push. In a larger fleet
# one node has a smaller share of the requests, and the holder more pushes.
PUSH_INTERVAL_S = 1.0
NODES_PER_S = 80
# Pushes at the end of a window are spread over so long in such a fleet.
SPREAD_S = 0.3
RETRY_S = 0.5
CALL_TIMEOUT_S = 0.6
# Limit on telling the deputy of a closed window before it is reported.
FIXED_TIMEOUT_S = 0.3
# Sources in one message, which may have 1 MiB.
MAX_SOURCES = 100


class _Receiver:
    """What one receiver has acknowledged.

    Attributes:
      peer: The receiver.
      is_holder: Whether it holds the duty; else it is the deputy.
      counts: Counts by source and window.
      complete_below: The first window that is not complete, by source.
      fixed: Closed windows that were sent to it.
      initialized: Whether it has received all counts once.
      next_at: When it is due to be told more.
      failed: Whether the last call failed.
    """

    def __init__(self, peer: peerstate.Peer, is_holder: bool):
        self.peer = peer
        self.is_holder = is_holder
        self.counts: dict[tuple, usagewindows.Counts] = {}
        self.complete_below: dict[usagewindows.Source, int] = {}
        self.fixed: set[int] = set()
        self.initialized = False
        self.next_at = 0.0
        self.failed = False


class Push:
    """Pushes counts to other nodes.

    Args:
      gateway: Provides the clock and peers.
      own: This node's process.
      tallies: What is known of all nodes' counts.
      reports: What is known of closed windows.
    """

    def __init__(
        self,
        gateway,
        own: usagewindows.Source,
        tallies: usagewindows.Tallies,
        reports: usagewindows.Reports,
    ):
        self._clock = gateway.environment.clock
        self._random = gateway.environment.random
        self._peers = gateway.peers
        self._own = own
        self._tallies = tallies
        self._reports = reports
        self._receivers: dict[tuple, _Receiver] = {}
        self._deputy: _Receiver | None = None
        self._completed = 0
        # Sources that can't reach the holder and send their counts here.
        self.relayed: set[usagewindows.Source] = set()

    async def push_due(
        self,
        holder: peerstate.Peer | None,
        candidates: list[peerstate.Peer],
        last: bool = False,
    ) -> None:
        """Pushes what has changed to the receivers that are due.

        Args:
          holder: The holder of the duty, if it is another node.
          candidates: The other live nodes, those first that would take over.
          last: Whether this node's process ends: all receivers are due.
        """
        receivers = self._choose(holder, candidates)
        self._spread(len(candidates))
        cut_off = any(item.failed for item in receivers if item.is_holder)
        async with anyio.create_task_group() as tasks:
            for receiver in receivers:
                if last or self._clock.now() >= receiver.next_at:
                    tasks.start_soon(
                        self._push,
                        receiver,
                        cut_off and not receiver.is_holder,
                        len(candidates),
                    )

    def _choose(
        self, holder: peerstate.Peer | None, candidates: list[peerstate.Peer]
    ) -> list[_Receiver]:
        """Returns the holder and its deputy, as far as they are other nodes.

        A deputy that becomes the holder is a new receiver: it needs what this
        node knows of others.
        """
        chosen = [] if holder is None else [holder]
        chosen += [p for p in candidates if p.node not in _names(chosen)][:1]
        before, self._receivers = self._receivers, {}
        self._deputy = None
        for peer in chosen:
            key = (peer.node, peer.incarnation, peer is holder)
            receiver = before.get(key) or _Receiver(peer, peer is holder)
            self._receivers[key] = receiver
            if not receiver.is_holder:
                self._deputy = receiver
        return list(self._receivers.values())

    def _spread(self, others: int) -> None:
        """Makes pushes due soon when a window has ended."""
        completed = self._tallies.get(self._own).complete_below
        if completed == self._completed:
            return
        self._completed = completed
        spread_s = SPREAD_S * max(1.0, others / NODES_PER_S)
        for receiver in self._receivers.values():
            at = self._clock.now() + spread_s * self._random.random()
            receiver.next_at = min(receiver.next_at, at)

    async def _push(
        self, receiver: _Receiver, cut_off: bool, others: int
    ) -> None:
        sources = [self._own]
        if not receiver.initialized:
            sources = self._tallies.sources
        elif receiver.is_holder:
            sources += sorted(self.relayed)
        interval_s = PUSH_INTERVAL_S * max(1.0, others / NODES_PER_S)
        receiver.next_at = self._clock.now() + interval_s
        for start in range(0, len(sources), MAX_SOURCES):
            part = sources[start : start + MAX_SOURCES]
            if not await self._send(receiver, part, cut_off, CALL_TIMEOUT_S):
                return
        receiver.initialized = True

    async def push_fixed(self) -> None:
        """Tells the deputy of closed windows before they are reported.

        A holder that takes over after the store came back from an older copy
        then knows what may have been sent.
        """
        if self._deputy is not None:
            await self._send(self._deputy, [], False, FIXED_TIMEOUT_S)

    async def _send(
        self, receiver: _Receiver, sources, cut_off: bool, timeout_s: float
    ) -> bool:
        """Sends what a receiver does not know; tells whether it answered."""
        nodes, sent = [], []
        for source in sources:
            tally = self._tallies.get(source)
            if tally is None:
                continue
            windows = self._changes(receiver, source, tally)
            complete_below = tally.complete_below
            if windows or complete_below != receiver.complete_below.get(source):
                message = dutyrows.encode_counts(windows)
                nodes.append(ttypes.NodeUsage(*source, complete_below, message))
                sent.append((source, complete_below, windows))
        fixed = {
            window: counts
            for window, counts in self._reports.recorded.items()
            if window not in receiver.fixed
        }
        if not nodes and not fixed:
            return True
        request = ttypes.PushUsage(
            nodes,
            dutyrows.encode_counts(fixed) or None,
            cut_off or None,
            self._reports.closed_below or None,
        )
        try:
            reply = await self._peers.call(
                receiver.peer,
                messages.MessageKind.PUSH_USAGE,
                request,
                timeout_s,
            )
        except wire_errors.WireError as error:
            if not receiver.failed:
                events.log(
                    events.Event.PEER_REJECTED,
                    address=receiver.peer.address,
                    reason=str(error),
                )
            receiver.failed = True
            receiver.next_at = self._clock.now() + RETRY_S
            return False
        receiver.failed = False
        receiver.fixed = set(self._reports.recorded)
        self._acknowledge(receiver, sent)
        self._reports.note_closed_below(reply.closed_below or 0)
        return True

    @staticmethod
    def _changes(
        receiver: _Receiver,
        source: usagewindows.Source,
        tally: usagewindows.Tally,
    ) -> dict[int, usagewindows.Counts]:
        """Returns the counts of a source that a receiver does not know."""
        changes = {}
        for window, counts in tally.windows.items():
            known = receiver.counts.get((source, window), {})
            changed = {
                name: count
                for name, count in counts.items()
                if known.get(name) != count
            }
            if changed:
                changes[window] = changed
        return changes

    def _acknowledge(self, receiver: _Receiver, sent) -> None:
        for source, complete_below, windows in sent:
            receiver.complete_below[source] = complete_below
            for window, counts in windows.items():
                known = receiver.counts.setdefault((source, window), {})
                known.update(counts)
        kept = {
            (source, window)
            for source in self._tallies.sources
            for window in self._tallies.get(source).windows
        }
        for key in receiver.counts.keys() - kept:
            del receiver.counts[key]


def _names(peers: list[peerstate.Peer]) -> set[str]:
    return {peer.node for peer in peers}
