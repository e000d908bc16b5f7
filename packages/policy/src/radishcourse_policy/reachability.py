"""Tells whether a node is cut off from all upstreams of a service.

Upstreams that can't be reached may be down. When connections to several of them
fail and none succeeds in between, the node's own network is the likelier
reason, or all upstreams are down; in both cases further attempts of this node
only cost their time limit. After two failures the node therefore connects to
others.

Load patterns: some nodes lose their links to all upstreams for seconds, while
callers, the other nodes and the store still reach them; most upstreams of a
service are lost at once, and the rest is reached by all nodes.
"""

import dataclasses
import typing

from radishcourse_model import ids

# Upstreams that can't be reached, from which a service counts as unreachable;
# all of them where fewer are listed.
MIN_FAILED = 4
# Upstreams that can't be reached, after which others are connected to at once.
SUSPECT_FAILED = 2
# Failures that are older do not count.
FAILURE_TTL_S = 4.0


@dataclasses.dataclass
class _State:
    failed_at: dict[typing.Hashable, float] = dataclasses.field(
        default_factory=dict
    )
    since: float | None = None


class Reachability:
    """What one node's connects tell of services."""

    def __init__(self):
        self._services: dict[ids.ServiceId, _State] = {}

    @property
    def unreachable(self) -> list[ids.ServiceId]:
        """The services that are unreachable."""
        return [
            service
            for service, state in self._services.items()
            if state.since is not None
        ]

    def is_unreachable(self, service: ids.ServiceId) -> bool:
        """Tells whether a service is unreachable from this node."""
        state = self._services.get(service)
        return state is not None and state.since is not None

    def is_suspect(self, now: float, service: ids.ServiceId) -> bool:
        """Tells whether a service may be unreachable, which is not known."""
        failed = len(self.failed(now, service))
        return failed >= SUSPECT_FAILED and not self.is_unreachable(service)

    def failed(
        self, now: float, service: ids.ServiceId
    ) -> set[typing.Hashable]:
        """Returns the upstreams that could not be reached lately."""
        state = self._services.get(service)
        if state is None:
            return set()
        return {
            upstream
            for upstream, failed_at in state.failed_at.items()
            if now - failed_at < FAILURE_TTL_S
        }

    def keep(
        self, service: ids.ServiceId, listed: typing.Container[typing.Hashable]
    ) -> None:
        """Drops the failures of upstreams that are no longer listed."""
        state = self._services.get(service)
        if state is not None:
            state.failed_at = {
                key: failed_at
                for key, failed_at in state.failed_at.items()
                if key in listed
            }

    def note_failed(
        self,
        now: float,
        service: ids.ServiceId,
        upstream: typing.Hashable,
        listed: int,
    ) -> bool:
        """Records that a connection to an upstream could not be opened.

        Args:
          now: Current time in seconds.
          service: Its service.
          upstream: Identifies it.
          listed: Number of upstreams that are listed for the service.

        Returns:
          Whether the service has become unreachable.
        """
        state = self._services.setdefault(service, _State())
        state.failed_at[upstream] = now
        failed = self.failed(now, service)
        state.failed_at = {key: state.failed_at[key] for key in failed}
        if state.since is not None or not listed:
            return False
        if len(failed) < min(MIN_FAILED, listed):
            return False
        state.since = now
        return True

    def note_connected(self, now: float, service: ids.ServiceId) -> float:
        """Records that a connection to an upstream was opened.

        Args:
          now: Current time in seconds.
          service: Its service.

        Returns:
          For how many seconds the service was unreachable; 0 if it was not.
        """
        state = self._services.pop(service, None)
        if state is None or state.since is None:
            return 0.0
        return now - state.since
