"""Drain of the old version before a roll-out is completed.

Completing a roll-out stops the old version's upstreams at once. So it waits for
the requests there that can't be repeated, on all nodes. A count of them is only
final once its node sends no more requests to the old version.

Load pattern: orders, and streams that can't be resumed, in progress on the old
version through any node while the last sessions move to the new one.
"""

import dataclasses
import typing


@dataclasses.dataclass(frozen=True)
class NodeWork:
    """A node's requests on the old version.

    Attributes:
      in_flight: All requests in progress.
      unrepeatable: Those that can't be repeated. None if the node does not
        tell, as earlier versions of the gateway do not.
      closed: Whether the node sends no more requests to the old version.
    """

    in_flight: int
    unrepeatable: int | None
    closed: bool

    @property
    def drained(self) -> bool:
        """Whether the node has no such request and will have none."""
        return self.closed and self.unrepeatable == 0


def count_undrained(
    nodes: typing.Iterable[NodeWork | None],
    takes_unrepeatable: bool,
    settled: bool,
) -> int:
    """Returns the number of nodes that completing a roll-out has to wait for.

    Args:
      nodes: What is known of each node that is alive, None for nothing.
      takes_unrepeatable: Whether any route to the service takes requests that
        can't be repeated. Otherwise a node whose work is unknown has none.
      settled: Whether the time has passed in which all sessions have moved at
        nodes that do not tell.
    """
    return sum(
        _may_hold_work(work, takes_unrepeatable, settled) for work in nodes
    )


def _may_hold_work(
    work: NodeWork | None, takes_unrepeatable: bool, settled: bool
) -> bool:
    if work is None:
        return takes_unrepeatable
    if work.unrepeatable is None:
        return takes_unrepeatable and not (settled and work.in_flight == 0)
    if work.unrepeatable:
        return True
    return takes_unrepeatable and not work.closed
