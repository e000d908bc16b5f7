"""Expected load and observed speed of upstreams, as choices use them."""

import contextlib

from radishcourse_gateway import peerstate
from radishcourse_gateway import view as views
from radishcourse_node import events
from radishcourse_policy import loadbalancing
from radishcourse_policy import upstreamspeed

# An upstream that this many other nodes have ejected is avoided here too. A
# single node may itself be cut off.
MIN_EJECTING_NODES = 2


class ExpectedLoad:
    """Estimates the load of upstreams and learns their speed.

    Args:
      gateway: Provides the view, load, peers and limits.
    """

    def __init__(self, gateway):
        self._clock = gateway.environment.clock
        self._view: views.View = gateway.view
        self._load = gateway.load
        self._peers = gateway.peers
        self._limits = gateway.limits
        self._speeds = upstreamspeed.Speeds(self._clock)

    def candidate(
        self, listed: views.ListedUpstream
    ) -> loadbalancing.Candidate:
        """Returns an upstream with its expected load and speed."""
        upstream = listed.upstream.upstream_id
        requests, waiting_s = self._load.own_work(upstream)
        others: peerstate.OthersWork = self._peers.others_work(upstream)
        ejected = self._load.is_ejected(upstream)
        return loadbalancing.Candidate(
            upstream,
            waiting_s + others.waiting_s,
            requests + others.requests,
            listed.upstream.slots,
            ejected or others.ejecting_nodes >= MIN_EJECTING_NODES,
            self._limits.is_limited(listed),
            self._speeds.current(listed.incarnation),
        )

    def note_head(
        self,
        listed: views.ListedUpstream,
        route: str,
        model: str,
        seconds: float,
        prefill_s: float,
    ) -> None:
        """Records the time to the head of an answer of an upstream.

        Args:
          listed: The upstream.
          route: Name of the request's route.
          model: The request's model, or an empty string.
          seconds: Time from sending the request to the head.
          prefill_s: Expected prefill time of the prompt.
        """
        if not self._is_warm(listed):
            return
        kind = (listed.upstream.service, route, model)
        self._log(
            listed,
            self._speeds.note_head(
                listed.incarnation, kind, seconds, prefill_s
            ),
        )

    @contextlib.contextmanager
    def measure_pace(
        self, listed: views.ListedUpstream, route: str, model: str
    ):
        """Yields a function to call with the events of a stream so far.

        Args:
          listed: The upstream that sends it.
          route: Name of the request's route.
          model: The request's model, or an empty string.
        """
        kind = (listed.upstream.service, route, model)
        meter = upstreamspeed.PaceMeter(self._clock.now())

        def note_events(count: int) -> None:
            stretch = meter.stretch(self._clock.now(), count)
            if stretch is None or not self._is_warm(listed):
                return
            candidate = self.candidate(listed)
            change = self._speeds.note_pace(
                listed.incarnation,
                kind,
                *stretch,
                candidate.in_flight / candidate.slots,
            )
            self._log(listed, change)

        yield note_events

    def _is_warm(self, listed: views.ListedUpstream) -> bool:
        return self._clock.now() > listed.cold_until

    def _log(
        self,
        listed: views.ListedUpstream,
        change: upstreamspeed.Change | None,
    ) -> None:
        if change is None:
            return
        events.log(
            events.Event.UPSTREAM_SPEED_CHANGED,
            upstream=listed.upstream.upstream_id,
            version=listed.upstream.version,
            times=round(change.factor, 3),
            observations=change.observations,
        )

    def labelled_gauges(self) -> dict[tuple[str, str], dict[str, float]]:
        """Returns gauges by metric name and label, and by the label's value."""
        speeds = upstreamspeed.of_ids(self._speeds.learned())
        return {('radishcourse_upstream_relative_time', 'upstream'): speeds}

    def forget(self, present: set[tuple]) -> None:
        """Drops what was learned of upstreams that are not present."""
        self._speeds.forget(present)
