"""State of one roll-out on this node."""

import dataclasses

from radishcourse_gateway import interfaces
from radishcourse_model import ids
from radishcourse_policy import canary
from radishcourse_policy import opensessions
from radishcourse_policy import position as positions
from radishcourse_policy import versiondrain
from radishcourse_wire.gen.peer import ttypes

FINAL_STATES = (canary.RolloutState.COMPLETED, canary.RolloutState.ROLLED_BACK)


@dataclasses.dataclass
class LocalRollout:
    """A roll-out that was ordered, as this node knows it.

    Attributes:
      order: The operator's order.
      identity: Where in the store's history the order was written first.
      seen_at: When this node received the order.
      since_ms: When the first node received the order, on the store's clock in
        milliseconds; 0 while unknown.
      state: Published or decided state, None until the status row was read.
      published: Whether the state is in the store.
      unproven: Whether this node rolled back for want of evidence. Others may
        have it, so they do not follow until the state is published.
      status_read_at: When the status row was last read.
      publish_at: When this node publishes the decision, unless another node
        has done so by then.
      tallies: Counts of the responses that this node received.
      reports: Latest report of each other node, by incarnation.
      approved: Whether a node has found the new version good.
      drain_sent: Whether a deciding node was last sent that this node has
        drained the old version, by its incarnation.
      open_sessions: Sessions that were open at any node before the canary
        started.
      settled_buckets: Buckets of open sessions of which the responsible
        nodes know.
    """

    order: interfaces.RolloutOrder
    identity: positions.Position
    seen_at: float
    since_ms: int = 0
    state: canary.RolloutState | None = None
    published: bool = False
    unproven: bool = False
    status_read_at: float | None = None
    publish_at: float | None = None
    tallies: canary.Tallies = dataclasses.field(default_factory=dict)
    reports: dict[str, ttypes.RolloutReport] = dataclasses.field(
        default_factory=dict
    )
    approved: bool = False
    drain_sent: dict[str, bool] = dataclasses.field(default_factory=dict)
    open_sessions: opensessions.OpenSessions = dataclasses.field(
        default_factory=opensessions.OpenSessions
    )
    settled_buckets: set[int] = dataclasses.field(default_factory=set)

    def session_hash(self, session: str) -> float:
        """Returns a session's hash in this roll-out, in [0, 1)."""
        return canary.session_hash(
            session, self.order.service, self.identity.version
        )

    def bucket(self, session: str) -> int:
        """Returns a session's bucket in the set of open sessions."""
        return opensessions.bucket(self.session_hash(session))

    def encoded_open_sessions(self) -> bytes | None:
        """Returns the open sessions for peers, None once they do not matter."""
        if self.state in FINAL_STATES:
            return None
        return self.open_sessions.encode()

    def serves_new(self, session: str, age_s: float, exposure: float) -> bool:
        """Tells whether the new version serves a session.

        Args:
          session: The session.
          age_s: Time since the order.
          exposure: Permitted share of requests on a bad version.
        """
        if self.state is canary.RolloutState.COMPLETED:
            return True
        if self.state is not canary.RolloutState.RUNNING:
            return False
        return canary.serves_new(
            self.session_hash(session),
            self.bucket(session) in self.open_sessions,
            age_s,
            self.order.within_s,
            exposure,
            self.approved,
        )

    def retires(
        self, version: ids.VersionId, age_s: float, exposure: float
    ) -> bool:
        """Tells whether no session is served by a version any more.

        Args:
          version: One of the two versions.
          age_s: Time since the order.
          exposure: Permitted share of requests on a bad version.
        """
        if version == self.order.to_version:
            return self.state is canary.RolloutState.ROLLED_BACK
        return self.retires_old(age_s, exposure)

    def retires_old(self, age_s: float, exposure: float) -> bool:
        """Tells whether no session is served by the old version any more.

        Args:
          age_s: Time since the order.
          exposure: Permitted share of requests on a bad version.
        """
        if self.state is canary.RolloutState.COMPLETED:
            return True
        if self.state is not canary.RolloutState.RUNNING:
            return False
        return canary.has_moved_all(
            age_s, self.order.within_s, exposure, self.approved
        )

    @property
    def reported_state(self) -> canary.RolloutState | None:
        """The state for peers."""
        if self.unproven and not self.published:
            return canary.RolloutState.RUNNING
        return self.state

    def decide(
        self, state: canary.RolloutState, unproven: bool = False
    ) -> None:
        """Sets a state that is not published yet."""
        self.state, self.published, self.publish_at = state, False, None
        self.unproven = unproven

    def merged_counts(self, own_in_flight: int) -> tuple[canary.Tallies, int]:
        """Returns the sums over all nodes.

        Args:
          own_in_flight: This node's requests in progress on the old version.

        Returns:
          Counts of responses by arm and route, and the number of requests in
          progress on the old version.
        """
        merged: canary.Tallies = {}
        for key, tally in self.tallies.items():
            merged.setdefault(key, canary.Tally()).add(tally)
        old_in_flight = own_in_flight
        for report in self.reports.values():
            old_in_flight += report.old_in_flight
            for item in report.tallies:
                key = (canary.Arm(item.arm), item.route)
                tally = canary.Tally(
                    item.total, item.bad, item.slow, item.untimed or 0
                )
                merged.setdefault(key, canary.Tally()).add(tally)
        return merged, old_in_flight

    def report(
        self, node: str, now: float, work: versiondrain.NodeWork
    ) -> ttypes.RolloutReport:
        """Returns this node's counts for its peers.

        Args:
          node: Incarnation of this node.
          now: Current time in seconds. It becomes the report's counter, by
            which peers tell the newer of two reports.
          work: This node's requests on the old version.
        """
        tallies = [
            ttypes.RouteTally(
                arm.value,
                route,
                tally.total,
                tally.bad,
                tally.slow,
                tally.untimed,
            )
            for (arm, route), tally in self.tallies.items()
        ]
        return ttypes.RolloutReport(
            self.order.service,
            self.identity.version,
            node,
            int(1000 * now),
            tallies,
            work.in_flight,
            self.identity.era or None,
            work.unrepeatable,
            work.closed,
        )

    def work_of(self, node: str) -> versiondrain.NodeWork | None:
        """Returns what another node reported of its work on the old version.

        Args:
          node: Incarnation of the node.

        Returns:
          Its requests as of its latest report, None without a report.
        """
        report = self.reports.get(node)
        if report is None:
            return None
        return versiondrain.NodeWork(
            report.old_in_flight,
            report.old_unrepeatable,
            bool(report.old_closed),
        )

    def add_report(self, report: ttypes.RolloutReport) -> None:
        """Keeps another node's report if it is newer than the known one."""
        known = self.reports.get(report.node)
        if known is None or report.counter > known.counter:
            self.reports[report.node] = report


def identity_of(
    message: ttypes.RolloutReport | ttypes.RolloutStatus | ttypes.SettleSession,
) -> positions.Position:
    """Returns the identity of the order that a message is about."""
    return positions.Position(message.era or 0, message.order)
