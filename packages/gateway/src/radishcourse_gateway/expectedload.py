"""Expected load and observed speed of upstreams, as choices use them."""

import contextlib
import dataclasses
import statistics

from radishcourse_gateway import view as views
from radishcourse_model import ids
from radishcourse_node import events
from radishcourse_policy import evenload
from radishcourse_policy import loadbalancing
from radishcourse_policy import upstreamspeed
from radishcourse_wire.gen.peer import ttypes

# An upstream that this many other nodes have ejected is avoided here too. A
# single node may itself be cut off.
MIN_EJECTING_NODES = 2
# Seconds for which the mean load of a service's upstreams is kept, so that a
# choice does not go through all of them.
LEVEL_REFRESH_S = 0.25
# Bytes of a speed in a report.
SPEED_BYTES = 2


class ExpectedLoad:
    """Estimates the load of upstreams and learns their speed.

    Args:
      gateway: Provides the view, load, peers and limits.
    """

    def __init__(self, gateway):
        self._clock = gateway.environment.clock
        self._random = gateway.environment.random
        self._view: views.View = gateway.view
        self._load = gateway.load
        self._peers = gateway.peers
        self._limits = gateway.limits
        self._speeds = upstreamspeed.Speeds(self._clock)
        self._reports = 0
        self._peers.speeds = self
        self._preferences = loadbalancing.Preferences()
        # Levels by service and version, and when they are to be renewed.
        self._levels: dict[tuple, tuple[float, evenload.Level]] = {}

    def candidate(
        self, listed: views.ListedUpstream
    ) -> loadbalancing.Candidate:
        """Returns an upstream with its expected load and speed."""
        upstream = listed.upstream.upstream_id
        work = self._work(listed)
        load = evenload.expected(work, self._level(listed))
        ejected = self._load.is_ejected(upstream)
        return loadbalancing.Candidate(
            upstream,
            load.waiting_s,
            load.requests,
            listed.upstream.slots,
            ejected or work.known.ejecting_nodes >= MIN_EJECTING_NODES,
            self._limits.is_limited(listed),
            self._speeds.current(listed.incarnation),
            self._load.full_penalty_s(upstream),
        )

    def choose(
        self,
        by_id: dict[ids.UpstreamId, views.ListedUpstream],
        prompt: loadbalancing.Prompt,
    ) -> loadbalancing.Candidate:
        """Returns the upstream to send a request to.

        Args:
          by_id: Upstreams that may take it, at least one.
          prompt: The request's prompt.
        """
        names = tuple(by_id)
        if prompt.key is not None:
            ranked = self._preferences.ranked(prompt.key, names)
            prompt = dataclasses.replace(prompt, ranked=ranked)
        limited = [
            name
            for name, listed in by_id.items()
            if self._limits.is_limited(listed)
        ]
        chosen = loadbalancing.choose(
            [
                self.candidate(by_id[name])
                for name in loadbalancing.shortlist(
                    names, prompt, limited, self._random
                )
            ],
            prompt,
            self._random,
        )
        if not chosen.failing:
            return chosen
        # All of the shortlist are failing; others may not be.
        everyone = [self.candidate(listed) for listed in by_id.values()]
        return loadbalancing.choose(everyone, prompt, self._random)

    def _work(self, listed: views.ListedUpstream) -> evenload.UpstreamWork:
        upstream = listed.upstream.upstream_id
        return evenload.UpstreamWork(
            *self._load.own_work(upstream),
            self._peers.others_work(upstream),
            listed.upstream.slots,
        )

    def _level(self, listed: views.ListedUpstream) -> evenload.Level:
        """Returns the load of the upstreams of a service and version.

        A roll-out gives the upstreams of both versions different loads.
        """
        key = (listed.upstream.service, listed.upstream.version)
        now = self._clock.now()
        known = self._levels.get(key)
        if known is not None and now < known[0]:
            return known[1]
        like = [
            item
            for item in self._view.usable(listed.upstream.service)
            if item.upstream.version == listed.upstream.version
        ] or [listed]
        services_s = [
            self._load.service_s(item.upstream.upstream_id) for item in like
        ]
        level = evenload.make_level(
            [self._work(item) for item in like],
            self._peers.fleet_size or 1,
            self._peers.report_ages_s,
            statistics.fmean(services_s),
        )
        self._levels[key] = (now + LEVEL_REFRESH_S, level)
        return level

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

    def add_speeds(
        self, work: list[ttypes.UpstreamWork], spare_bytes: int = 0
    ) -> list[ttypes.UpstreamWork]:
        """Adds what this node has observed of speeds to a report of work.

        A speed takes two bytes. By turns, as many entries have one as is saved
        by leaving out of each that it is not ejected, and empty lists.

        Args:
          work: The report.
          spare_bytes: Bytes that the rest of the message is smaller.
        """
        self._reports += 1
        count = min(len(work), (len(work) + spare_bytes) // SPEED_BYTES)
        start = self._reports * count
        for number in range(start, start + count):
            item = work[number % len(work)]
            listed = self._view.upstreams.get(ids.UpstreamId(item.upstream))
            if listed is not None and not item.doubted:
                item.speed = self._speeds.report(listed.incarnation)
        return work

    def merge_speeds(
        self, node: ids.NodeId, work: list[ttypes.UpstreamWork]
    ) -> None:
        """Adds what another node has observed of speeds."""
        for item in work:
            listed = self._view.upstreams.get(ids.UpstreamId(item.upstream))
            if listed is not None and item.speed is not None:
                change = self._speeds.merge(
                    node,
                    listed.incarnation,
                    listed.upstream.service,
                    item.speed,
                )
                self._log(listed, change)

    def labelled_gauges(self) -> dict[tuple[str, str], dict[str, float]]:
        """Returns gauges by metric name and label, and by the label's value."""
        speeds = {
            incarnation[0]: factor
            for incarnation, factor in self._speeds.learned().items()
        }
        loads: dict[str, list[tuple[float, float]]] = {}
        for listed in self._view.upstreams.values():
            if listed.gone_at is None:
                work = self._work(listed)
                expected = evenload.expected(work, self._level(listed))
                loads.setdefault(listed.upstream.service, []).append(
                    (expected.requests, work.slots)
                )
        spreads = {name: evenload.spread(loads[name]) for name in loads}
        return {
            ('radishcourse_upstream_relative_time', 'upstream'): speeds,
            ('radishcourse_load_spread', 'service'): spreads,
        }

    def forget(self, present: set[tuple]) -> None:
        """Drops what was learned of upstreams that are not present."""
        self._speeds.forget(present)
        now = self._clock.now()
        for key, (renew_at, _) in list(self._levels.items()):
            if now > renew_at + LEVEL_REFRESH_S:
                del self._levels[key]
