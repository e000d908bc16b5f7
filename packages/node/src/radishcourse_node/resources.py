"""What the clients of a process may use: memory, connections, turns."""

import typing

from radishcourse_node import events
from radishcourse_node import heldbytes
from radishcourse_node import inputs

# The VM keeps this many descriptors for files.
FILE_DESCRIPTORS = 200
# Shares of the other descriptors. The rest is for upstreams, of which each
# request of a caller needs one, for calls to peers and for the store.
CALLER_SHARE = 0.4
PEER_SHARE = 0.15
PAGE_SHARE = 0.05
# A listener accepts this many connections before it closes any of them.
ACCEPTED_AT_ONCE = 16
MIN_CONNECTIONS = 16


class ConnectionLimit:
    """Limits the connections of one listener, or of several together.

    Args:
      account: Counts connections that were closed.
      limit: Most connections; None without a limit.
    """

    def __init__(self, account: heldbytes.Account, limit: int | None):
        self._account = account
        self.limit = limit
        # In order of their start.
        self._connections: dict[typing.Any, None] = {}

    def __len__(self) -> int:
        return len(self._connections)

    def add(self, connection) -> None:
        """Adds a connection; closes one if there are too many.

        The connection with the lowest `closing_order` is closed. That is the
        new one if all others have requests in progress.
        """
        self._connections[connection] = None
        if self.limit is None or len(self._connections) <= self.limit:
            return
        victim = min(self._connections, key=lambda item: item.closing_order())
        self.remove(victim)
        self._account.count(heldbytes.Kind.CONNECTION)
        victim.abort()

    def remove(self, connection) -> None:
        """Removes a connection that was closed."""
        self._connections.pop(connection, None)


class Resources:
    """What the clients of a process may use together.

    Args:
      clock: Source of time.
      memory_bytes: Memory of the VM in bytes, None if it is not known.
      descriptors: Descriptors that the process may open, None if not known.

    Attributes:
      account: Bytes that are held for clients.
      turns: Lets connections with much input continue.
      callers: Limit on the connections of callers.
      pages: Limit on the connections to readiness and metrics.
      peers: Most connections of other nodes, None without a limit.
    """

    def __init__(
        self,
        clock,
        memory_bytes: int | None = None,
        descriptors: int | None = None,
    ):
        self._clock = clock
        self._rejection_logged_at = float('-inf')
        self._rejections_logged = 0
        self.account = heldbytes.Account(
            clock, heldbytes.budget_bytes(memory_bytes)
        )
        self.turns = inputs.Turns()
        self.callers = ConnectionLimit(
            self.account, _share(descriptors, CALLER_SHARE)
        )
        self.pages = ConnectionLimit(
            self.account, _share(descriptors, PAGE_SHARE)
        )
        self.peers = _share(descriptors, PEER_SHARE)

    def open_frame(self, give_way) -> heldbytes.Holding:
        """Returns a holding for a message of a peer.

        Args:
          give_way: Called once if its bytes must be freed.
        """
        return self.account.open(heldbytes.Kind.FRAME, give_way)

    def reject_peer(self, reason: str) -> None:
        """Counts a connection of a peer that was closed; logs one a second.

        Args:
          reason: Why it was closed.
        """
        closed = self.account.closed
        closed[heldbytes.Kind.PEER] += 1
        now = self._clock.now()
        if now - self._rejection_logged_at < heldbytes.LOG_INTERVAL_S:
            return
        count = closed[heldbytes.Kind.PEER] - self._rejections_logged
        self._rejection_logged_at = now
        self._rejections_logged = closed[heldbytes.Kind.PEER]
        events.log(events.Event.PEER_REJECTED, reason=reason, count=count)

    @property
    def unread_bytes(self) -> int | None:
        """At how many unread bytes streams stop reading upstream.

        Half of the budget, so that they stop before connections are closed for
        want of memory; None without a budget.
        """
        budget = self.account.budget
        return None if budget is None else budget // 2


def from_settings(clock, settings) -> Resources:
    """Returns the resources of a process.

    Args:
      clock: Source of time.
      settings: Settings with `memory_mb` and `max_fds`.
    """
    memory_bytes = None
    if settings.memory_mb is not None:
        memory_bytes = settings.memory_mb * 2**20
    return Resources(clock, memory_bytes, settings.max_fds)


def _share(descriptors: int | None, share: float) -> int | None:
    if descriptors is None:
        return None
    sockets = descriptors - FILE_DESCRIPTORS
    return max(MIN_CONNECTIONS, int(sockets * share) - ACCEPTED_AT_ONCE)
