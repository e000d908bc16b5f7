"""This node's requests in progress at upstreams, and outlier ejection."""

import contextlib
import dataclasses
import typing

from radishcourse_model import ids
from radishcourse_node import events
from radishcourse_policy import coldrate
from radishcourse_policy import evenload
from radishcourse_policy import slots
from radishcourse_wire.gen.peer import ttypes

# Time for which an upstream that failed gets no requests while others can serve
# them. It doubles with each consecutive failure.
BASE_EJECTION_S = 0.5
MAX_EJECTION_S = 8.0
# Shorter times of requests count as this one.
MIN_SERVICE_S = 0.01
# Weight of the newest response in the moving average of failed responses, and
# the average above which an upstream is ejected although it responds.
RESPONSE_WEIGHT = 0.15
MAX_FAILED_SHARE = 0.4


@dataclasses.dataclass
class _Health:
    requests: int = 0
    waiting_s: float = 0.0
    failures: int = 0
    failed_share: float = 0.0
    ejected_until: float = 0.0
    service_s: float | None = None
    full: evenload.FullPenalty = dataclasses.field(
        default_factory=evenload.FullPenalty
    )
    cold_bucket: coldrate.TokenBucket | None = None


class Load:
    """Counts requests and failures by upstream, and ejects failing ones.

    Attributes:
      is_cut_off: Tells whether this node is cut off from an upstream, whose
        ejection is then not reported to other nodes.
    """

    def __init__(self, clock):
        self._clock = clock
        self._by_upstream: dict[ids.UpstreamId, _Health] = {}
        self.is_cut_off: typing.Callable[[ids.UpstreamId], bool] = (
            lambda upstream: False
        )

    def _health(self, upstream: ids.UpstreamId) -> _Health:
        return self._by_upstream.setdefault(upstream, _Health())

    @contextlib.contextmanager
    def count(self, upstream: ids.UpstreamId, prefill_s: float):
        """Counts a request while it is in progress.

        Args:
          upstream: The upstream to which it is sent.
          prefill_s: Expected prefill time of its prompt.

        Yields:
          A function to call when the response starts, as the prefill of the
          prompt is complete by then.
        """
        health = self._health(upstream)
        health.requests += 1
        health.waiting_s += prefill_s
        unfinished_prefill = [prefill_s]
        started_at, answered = self._clock.now(), False

        def finish_prefill() -> None:
            nonlocal answered
            answered = True
            if unfinished_prefill:
                health.waiting_s -= unfinished_prefill.pop()

        try:
            yield finish_prefill
        finally:
            if answered:
                health.service_s = slots.update_mean(
                    health.service_s, self._clock.now() - started_at
                )
            finish_prefill()
            health.requests -= 1
            if not health.requests:
                # Clears the rounding errors of the sum.
                health.waiting_s = 0.0

    def own_work(self, upstream: ids.UpstreamId) -> tuple[int, float]:
        """Returns this node's requests in progress and their prefill time."""
        health = self._by_upstream.get(upstream)
        return (health.requests, health.waiting_s) if health else (0, 0.0)

    def service_s(self, upstream: ids.UpstreamId) -> float:
        """Returns the mean seconds that a request takes at an upstream."""
        health = self._by_upstream.get(upstream)
        if health is None or health.service_s is None:
            return evenload.DEFAULT_SERVICE_S
        return max(MIN_SERVICE_S, health.service_s)

    def reported_work(self) -> list[ttypes.UpstreamWork]:
        """Returns the work and ejections to report to other nodes."""
        return [
            ttypes.UpstreamWork(
                upstream,
                health.requests,
                int(1000 * health.waiting_s),
                # Left out if not, which saves a byte for each upstream.
                self._is_reported_ejected(upstream) or None,
            )
            for upstream, health in self._by_upstream.items()
            if health.requests or self._is_reported_ejected(upstream)
        ]

    def _is_reported_ejected(self, upstream: ids.UpstreamId) -> bool:
        return self.is_ejected(upstream) and not self.is_cut_off(upstream)

    def clear_ejection(self, upstream: ids.UpstreamId) -> None:
        """Ends an upstream's ejection and forgets failed connections to it."""
        health = self._by_upstream.get(upstream)
        if health is not None:
            health.failures, health.ejected_until = 0, 0.0

    def is_ejected(self, upstream: ids.UpstreamId) -> bool:
        """Tells whether other upstreams should be preferred to this one."""
        health = self._by_upstream.get(upstream)
        return health is not None and self._clock.now() < health.ejected_until

    def note_response(self, upstream: ids.UpstreamId, failed: bool) -> None:
        """Updates the failures of an upstream that sent a response."""
        health = self._health(upstream)
        health.failures = 0
        health.failed_share += RESPONSE_WEIGHT * (failed - health.failed_share)
        if health.failed_share > MAX_FAILED_SHARE:
            self._eject(
                upstream, health, 4 * BASE_EJECTION_S, 'failing answers'
            )
            health.failed_share = MAX_FAILED_SHARE / 2

    def note_full(self, upstream: ids.UpstreamId) -> None:
        """Records that an upstream refused a request because it was full."""
        health = self._health(upstream)
        service_s = self.service_s(upstream)
        penalty_s = health.full.add(self._clock.now(), service_s)
        events.log(
            events.Event.UPSTREAM_DOUBTED,
            upstream=upstream,
            reason='full',
            seconds=round(service_s, 3),
            penalty_s=round(penalty_s, 3),
            failures=health.failures,
            failed_share=round(health.failed_share, 3),
        )

    def full_penalty_s(self, upstream: ids.UpstreamId) -> float:
        """Returns the expected delay at an upstream that was full of late."""
        health = self._by_upstream.get(upstream)
        if health is None:
            return 0.0
        return health.full.seconds(self._clock.now(), self.service_s(upstream))

    def note_broken(self, upstream: ids.UpstreamId, reason: str) -> None:
        """Ejects an upstream after a failed connection or a timeout."""
        health = self._health(upstream)
        seconds = min(MAX_EJECTION_S, BASE_EJECTION_S * 2**health.failures)
        health.failures += 1
        self._eject(upstream, health, seconds, reason)

    def _eject(self, upstream, health, seconds: float, reason: str) -> None:
        health.ejected_until = self._clock.now() + seconds
        events.log(
            events.Event.UPSTREAM_DOUBTED,
            upstream=upstream,
            reason=reason,
            seconds=seconds,
            failures=health.failures,
            failed_share=round(health.failed_share, 3),
        )

    def take_cold(
        self, upstream: ids.UpstreamId, per_s: float, burst: float
    ) -> bool:
        """Takes a token for a request to a cold upstream.

        Args:
          upstream: The upstream.
          per_s: Refill rate in tokens per second.
          burst: Capacity of the bucket in tokens.

        Returns:
          Whether the request may be sent.
        """
        health = self._health(upstream)
        now = self._clock.now()
        if health.cold_bucket is None:
            health.cold_bucket = coldrate.TokenBucket(now)
        return health.cold_bucket.take(now, per_s, burst)

    def forget(self, present) -> None:
        """Drops the state of idle upstreams that are not present."""
        for upstream in list(self._by_upstream):
            idle = not self._by_upstream[upstream].requests
            if upstream not in present and idle:
                del self._by_upstream[upstream]
