"""Work that this node has in progress at upstreams, and its doubts."""

import contextlib
import dataclasses

from radishcourse_model import ids
from radishcourse_node import events
from radishcourse_policy import coldrate
from radishcourse_wire.gen.peer import ttypes

# How long an upstream that failed gets nothing while others can serve; the
# time doubles with each failure in a row.
BASE_EJECTION_S = 0.5
MAX_EJECTION_S = 8.0
# A full upstream has room again after about one of its requests.
FULL_EJECTION_S = 0.2
# Weight of the newest answer in the running share of failed ones, and the
# share at which an upstream is in doubt though it answers.
ANSWER_WEIGHT = 0.15
MAX_FAILED_SHARE = 0.4


@dataclasses.dataclass
class _Health:
    requests: int = 0
    waiting_s: float = 0.0
    failures: int = 0
    failed_share: float = 0.0
    ejected_until: float = 0.0
    cold: coldrate.TokenBucket | None = None


class Load:
    """Counts work and failures by upstream."""

    def __init__(self, clock):
        self._clock = clock
        self._by_upstream: dict[ids.UpstreamId, _Health] = {}

    def _get(self, upstream: ids.UpstreamId) -> _Health:
        return self._by_upstream.setdefault(upstream, _Health())

    @contextlib.contextmanager
    def count(self, upstream: ids.UpstreamId, prefill_s: float):
        """Counts a request while it is in progress.

        Args:
          upstream: The upstream that has it.
          prefill_s: Expected prefill time of its prompt.

        Yields:
          A function to call when the answer begins, as the prompt has been
          read then.
        """
        health = self._get(upstream)
        health.requests += 1
        health.waiting_s += prefill_s
        waiting = [prefill_s]

        def begin() -> None:
            if waiting:
                health.waiting_s -= waiting.pop()

        try:
            yield begin
        finally:
            begin()
            health.requests -= 1
            if not health.requests:
                # Sums of floats drift.
                health.waiting_s = 0.0

    def own_work(self, upstream: ids.UpstreamId) -> tuple[int, float]:
        """Returns this node's requests at an upstream and their wait."""
        health = self._by_upstream.get(upstream)
        return (health.requests, health.waiting_s) if health else (0, 0.0)

    def reported_work(self) -> list[ttypes.UpstreamWork]:
        """Returns what other nodes are told."""
        return [
            ttypes.UpstreamWork(
                upstream,
                health.requests,
                int(1000 * health.waiting_s),
                self.is_ejected(upstream),
            )
            for upstream, health in self._by_upstream.items()
            if health.requests or self.is_ejected(upstream)
        ]

    def is_ejected(self, upstream: ids.UpstreamId) -> bool:
        """Tells whether others should be preferred."""
        health = self._by_upstream.get(upstream)
        return health is not None and self._clock.now() < health.ejected_until

    def note_answer(self, upstream: ids.UpstreamId, failed: bool) -> None:
        """Notes an answer, which may be a failure."""
        health = self._get(upstream)
        health.failures = 0
        health.failed_share += ANSWER_WEIGHT * (failed - health.failed_share)
        if health.failed_share > MAX_FAILED_SHARE:
            self._eject(
                upstream, health, 4 * BASE_EJECTION_S, 'failing answers'
            )
            health.failed_share = MAX_FAILED_SHARE / 2

    def note_full(self, upstream: ids.UpstreamId) -> None:
        """Notes that an upstream ran a request not, as it was full."""
        self._eject(upstream, self._get(upstream), FULL_EJECTION_S, 'full')

    def note_broken(self, upstream: ids.UpstreamId, reason: str) -> None:
        """Notes a connection that failed or a silent upstream."""
        health = self._get(upstream)
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
        """Takes a permission to send a request to a cold upstream."""
        health = self._get(upstream)
        now = self._clock.now()
        if health.cold is None:
            health.cold = coldrate.TokenBucket(now)
        return health.cold.take(now, per_s, burst)

    def forget(self, present) -> None:
        """Drops what is known of upstreams that are not present."""
        for upstream in list(self._by_upstream):
            idle = not self._by_upstream[upstream].requests
            if upstream not in present and idle:
                del self._by_upstream[upstream]
