"""What a node knows of one roll-out."""

import dataclasses

from radishcourse_gateway import interfaces
from radishcourse_policy import canary
from radishcourse_wire.gen.peer import ttypes

FINAL = (canary.RolloutState.COMPLETED, canary.RolloutState.ROLLED_BACK)


@dataclasses.dataclass
class Trial:
    """A roll-out in progress or decided.

    Attributes:
      order: The order.
      version: Version of the order's row.
      seen_at: When this node saw it.
      since_ms: Time of the order on the store's clock, 0 while unknown.
      state: Published or decided state, None until it was looked up.
      published: Whether the state is in the store.
      looked_at: When the store was last asked.
      due_at: When this node publishes the decision, if nobody else did.
      tallies: This node's counts.
      reports: Other nodes' newest counts.
      old_in_flight: Requests of this node on the old version.
    """

    order: interfaces.RolloutOrder
    version: int
    seen_at: float
    since_ms: int = 0
    state: canary.RolloutState | None = None
    published: bool = False
    looked_at: float | None = None
    due_at: float | None = None
    tallies: canary.Tallies = dataclasses.field(default_factory=dict)
    reports: dict[str, ttypes.RolloutReport] = dataclasses.field(
        default_factory=dict
    )
    old_in_flight: int = 0

    def decide(self, state: canary.RolloutState) -> None:
        """Notes a decision that is not published yet."""
        self.state, self.published, self.due_at = state, False, None

    def merged(self) -> tuple[canary.Tallies, int]:
        """Returns the counts of all nodes.

        Returns:
          Answers by arm and route, and requests on the old version.
        """
        merged: canary.Tallies = {}
        for key, tally in self.tallies.items():
            merged.setdefault(key, canary.Tally()).add(tally)
        old_in_flight = self.old_in_flight
        for report in self.reports.values():
            old_in_flight += report.old_in_flight
            for item in report.tallies:
                key = (canary.Arm(item.arm), item.route)
                tally = canary.Tally(item.total, item.bad, item.slow)
                merged.setdefault(key, canary.Tally()).add(tally)
        return merged, old_in_flight

    def report(self, node: str, now: float) -> ttypes.RolloutReport:
        """Returns this node's counts for other nodes.

        Args:
          node: This life of the node.
          now: Current time in seconds; orders a node's reports.
        """
        tallies = [
            ttypes.RouteTally(
                arm.value, route, tally.total, tally.bad, tally.slow
            )
            for (arm, route), tally in self.tallies.items()
        ]
        return ttypes.RolloutReport(
            self.order.service,
            self.version,
            node,
            int(1000 * now),
            tallies,
            self.old_in_flight,
        )

    def take(self, report: ttypes.RolloutReport) -> None:
        """Takes over another node's counts, if they are newer."""
        known = self.reports.get(report.node)
        if known is None or report.counter > known.counter:
            self.reports[report.node] = report
