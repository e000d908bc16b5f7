"""State and load of each upstream as this node knows them.

Observations come from probes, response headers, the VM list and gossip. A
later observation replaces an earlier one.
"""

import dataclasses

from radishcourse_model import ids
from radishcourse_model import states
from radishcourse_node import events
from radishcourse_policy import lateness
from radishcourse_wire import client as peer_client
from radishcourse_wire.gen.peer import ttypes

# An upstream counts as warm for this long after it was observed to be warm.
WARM_MAX_AGE_S = 1.0
# A change is gossiped for this long, and a peer's report that an upstream is
# leaving is valid for this long.
GOSSIP_MAX_AGE_S = 10.0
# After a pause, responses in the socket buffers may be as old as the pause.
# They are read within this time.
STALE_ANSWERS_S = 0.5
# Consecutive failed probes after which an upstream is down. One is not enough:
# an engine that pauses for longer than the probe timeout would make every node
# refuse its jobs.
DOWN_AFTER_PROBES = 2
_State = states.UpstreamState


@dataclasses.dataclass
class Health:
    """State and load of one upstream. Times are by this node's clock.

    Attributes:
      state: State from the latest observation.
      boot: Boot id that the upstream last reported.
      observed_at: Latest time at which the observed state is known to hold.
      changed_at: When this node learned of the latest change.
      observer: Node that observed the latest change.
      listed_leaving: Whether it is leaving according to the VM list.
      listed_at: When the VM list was last read.
      gossiped_leaving_at: Latest time at which it was leaving according to a
        peer. Its own report of another state does not override this, as the
        peer may have read the VM list.
      in_flight: Requests of this node in progress there now.
      reported: Requests in progress in its latest load report.
      reported_own: Requests of this node in progress at that report.
      reported_at: Time to which the load report applies.
      refused_until: Time before which no permit is requested.
      failed_probes: Consecutive probes that failed.
      refused: Whether the latest of them was refused a connection; else it
        timed out.
    """

    state: _State = _State.UNKNOWN
    boot: str = ''
    observed_at: float = float('-inf')
    changed_at: float = float('-inf')
    observer: str = ''
    listed_leaving: bool = False
    listed_at: float = float('-inf')
    gossiped_leaving_at: float = float('-inf')
    in_flight: int = 0
    reported: float = 0.0
    reported_own: int = 0
    reported_at: float = float('-inf')
    refused_until: float = 0.0
    failed_probes: int = 0
    refused: bool = False


class Registry:
    """Health of all upstreams.

    Args:
      clock: The node's clock.
      node: This node.
      own_lateness: The lateness of this process.
    """

    def __init__(
        self, clock, node: ids.NodeId, own_lateness: lateness.Lateness
    ):
        self._clock = clock
        self._node = node
        self._lateness = own_lateness
        self._health: dict[ids.UpstreamId, Health] = {}
        self._counter = 0

    @property
    def health(self) -> dict[ids.UpstreamId, Health]:
        """Health by upstream, as far as known."""
        return self._health

    def get(self, upstream: ids.UpstreamId) -> Health:
        """Returns the health of an upstream."""
        return self._health.setdefault(upstream, Health())

    def state(self, upstream: ids.UpstreamId) -> _State:
        """Returns the state of an upstream; leaving outranks all others."""
        health = self.get(upstream)
        gossip_age_s = self._clock.now() - health.gossiped_leaving_at
        if health.listed_leaving or gossip_age_s <= GOSSIP_MAX_AGE_S:
            return _State.LEAVING
        return health.state

    def is_warm(self, upstream: ids.UpstreamId) -> bool:
        """Tells whether it was observed warm in the last `WARM_MAX_AGE_S`."""
        age = self._clock.now() - self.get(upstream).observed_at
        return self.state(upstream) is _State.WARM and age <= WARM_MAX_AGE_S

    def note_header(self, upstream, boot: str, state: str) -> None:
        """Notes the state in the headers of a response that was just read.

        Does not note a warm state right after a pause of the process, when the
        response may be old.
        """
        now = self._clock.now()
        stale = now < self._lateness.resumed_at + STALE_ANSWERS_S
        if stale and state == _State.WARM.value:
            return
        self.note_state(upstream, boot, state, now)

    def note_state(
        self, upstream, boot: str, state: str, at: float, observer: str = ''
    ) -> None:
        """Notes a state that an upstream reported.

        Args:
          upstream: The upstream.
          boot: Its boot id, or an empty string.
          state: Value of its state; an unexpected one counts as unknown.
          at: Latest time at which the state is known to hold, by this node's
            clock.
          observer: Node that received the report; this node by default.
        """
        health = self.get(upstream)
        parsed = _parse(state)
        if boot and health.boot and boot != health.boot:
            # It counts as warm only when the same boot reports warm again.
            parsed = _State.COLD if parsed is _State.WARM else parsed
        elif at < health.observed_at:
            return
        health.failed_probes = 0
        health.boot = boot or health.boot
        health.observed_at = max(at, health.observed_at)
        self._change(upstream, health, parsed, observer or self._node)

    def note_reset(self, upstream: ids.UpstreamId) -> None:
        """Notes a refused or reset connection, a sign of a restart."""
        health = self.get(upstream)
        health.observed_at = self._clock.now()
        if health.state in (_State.WARM, _State.UNKNOWN):
            self._change(upstream, health, _State.COLD, self._node)

    def note_failed_probe(
        self, upstream: ids.UpstreamId, at: float, refused: bool = False
    ) -> None:
        """Notes that an upstream did not answer a probe.

        Args:
          upstream: The upstream.
          at: When the probe was sent, by this node's clock.
          refused: Whether it accepted no connection.
        """
        health = self.get(upstream)
        if at < health.observed_at:
            return
        health.failed_probes += 1
        health.refused = refused
        if health.failed_probes >= DOWN_AFTER_PROBES:
            health.observed_at = at
            self._change(upstream, health, _State.DOWN, self._node)

    def note_load(self, upstream, load: float, at: float) -> None:
        """Notes the requests in progress that an upstream reported."""
        health = self.get(upstream)
        if at >= health.reported_at:
            health.reported = load
            health.reported_own = health.in_flight
            health.reported_at = at

    def note_listed(self, upstream: ids.UpstreamId, leaving: bool) -> None:
        """Notes whether an upstream is leaving according to the VM list."""
        health = self.get(upstream)
        health.listed_at = self._clock.now()
        if health.listed_leaving is not leaving:
            health.listed_leaving = leaving
            health.changed_at = health.listed_at
            health.observer = self._node
            events.log(
                events.Event.UPSTREAM_CHANGED,
                upstream=upstream,
                before=health.state.value,
                state=self.state(upstream).value,
            )

    def records(self) -> list[ttypes.UpstreamRecord]:
        """Returns the records to gossip.

        These are the upstreams that changed in the last `GOSSIP_MAX_AGE_S` and
        those that are leaving according to this node or a peer.
        """
        now = self._clock.now()
        self._counter += 1
        return [
            self._make_record(upstream, health, now)
            for upstream, health in self._health.items()
            if now - health.changed_at <= GOSSIP_MAX_AGE_S
            or self.state(upstream) is _State.LEAVING
        ]

    def _make_record(self, upstream, health: Health, now: float):
        state = self.state(upstream)
        observed_at = health.observed_at
        if health.listed_leaving:
            observed_at = health.listed_at
        elif state is not health.state:
            observed_at = health.gossiped_leaving_at
        return ttypes.UpstreamRecord(
            upstream=upstream,
            state=state.value,
            boot=health.boot,
            observer=health.observer,
            counter=self._counter,
            load=int(health.reported),
            age_ms=int(min(now - observed_at, GOSSIP_MAX_AGE_S) * 1000),
        )

    def merge(
        self,
        records: list[ttypes.UpstreamRecord],
        asked_at: float | None = None,
    ) -> None:
        """Merges the records of a peer.

        Args:
          records: The records, with their ages.
          asked_at: When the request was sent to the peer. By default the
            longest time that a call may take is assumed.
        """
        now = self._clock.now()
        if asked_at is None:
            asked_at = now - peer_client.CALL_TIMEOUT_S
        for record in records:
            age_s = record.age_ms / 1000
            if record.state == _State.LEAVING.value:
                health = self.get(ids.UpstreamId(record.upstream))
                health.gossiped_leaving_at = max(
                    health.gossiped_leaving_at, now - age_s
                )
                continue
            # A warm state must not seem newer than it is, any other state not
            # older than it is.
            warm = record.state == _State.WARM.value
            at = (asked_at if warm else now) - age_s
            self.note_state(
                ids.UpstreamId(record.upstream),
                record.boot,
                record.state,
                at,
                record.observer,
            )

    def _change(self, upstream, health: Health, state, observer) -> None:
        if health.state is state:
            return
        events.log(
            events.Event.UPSTREAM_CHANGED,
            upstream=upstream,
            before=health.state.value,
            state=state.value,
        )
        health.state = state
        health.changed_at = self._clock.now()
        health.observer = observer


def _parse(state: str) -> _State:
    try:
        return _State(state)
    except ValueError:
        return _State.UNKNOWN
