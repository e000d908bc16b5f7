"""Tells whether an upstream may be used, by its state and those of its pool."""

import collections

from radishcourse_model import ids
from radishcourse_model import states
from radishcourse_node import events
from radishcourse_node.controllers import health
from radishcourse_policy import lateness
from radishcourse_policy import panicthreshold

# How long the verdict on a pool is kept; counting takes a pass over it.
VERDICT_TTL_S = lateness.TICK_S
_State = states.UpstreamState
_ANSWERING_STATES = (_State.WARM, _State.COLD)


class Availability:
    """Decides on the use of upstreams whose probes time out.

    Args:
      clock: The node's clock.
      configuration: Provides the upstreams and their pools.
      registry: Their states.
    """

    def __init__(self, clock, configuration, registry: health.Registry):
        self._clock = clock
        self._configuration = configuration
        self._registry = registry
        self._panics: dict[str, tuple[float, bool]] = {}

    def may_use(self, upstream: ids.UpstreamId, silent: bool = True) -> bool:
        """Tells whether an upstream may receive new work by its state.

        Args:
          upstream: The upstream.
          silent: Whether it may be one whose probes time out, as long as most
            of its pool is like that.
        """
        state = self._registry.state(upstream)
        if state is _State.DOWN:
            return (
                silent and self._is_silent(upstream) and self._panic(upstream)
            )
        return state is not _State.LEAVING

    def _is_silent(self, upstream: ids.UpstreamId) -> bool:
        return (
            self._registry.state(upstream) is _State.DOWN
            and not self._registry.get(upstream).refused
        )

    def _panic(self, upstream: ids.UpstreamId) -> bool:
        configured = self._configuration.config.upstreams.get(upstream)
        if configured is None:
            return False
        now = self._clock.now()
        until, panic = self._panics.get(configured.pool, (now, False))
        if now < until:
            return panic
        before, panic = panic, self._judge_pool(configured.pool)
        self._panics[configured.pool] = (now + VERDICT_TTL_S, panic)
        if panic is not before:
            events.log(
                events.Event.PANIC_CHANGED, pool=configured.pool, panic=panic
            )
        return panic

    def _judge_pool(self, pool: str) -> bool:
        counts = collections.Counter()
        for upstream, item in self._configuration.config.upstreams.items():
            if item.pool != pool or item.leaving:
                continue
            counts['silent'] += self._is_silent(upstream)
            state = self._registry.state(upstream)
            counts['answering'] += state in _ANSWERING_STATES
        return panicthreshold.is_panic(counts['answering'], counts['silent'])
