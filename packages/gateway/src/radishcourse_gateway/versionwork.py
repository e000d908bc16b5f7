"""This node's attempts in progress, by the version that works on them."""

import contextlib
import typing

from radishcourse_gateway import directory as directories
from radishcourse_gateway import targets
from radishcourse_gateway import upstreams
from radishcourse_model import ids


class Work(typing.NamedTuple):
    """Attempts in progress.

    Attributes:
      in_flight: All attempts.
      unrepeatable: Those that would be lost if their upstreams were stopped.
    """

    in_flight: int
    unrepeatable: int


class VersionWork:
    """Attempts in progress at the upstreams of each version of a service.

    They are counted whether or not a roll-out is ordered, as those that began
    before an order may outlast its time limit.
    """

    def __init__(self):
        self._attempts: dict[
            ids.ServiceId,
            dict[object, tuple[ids.VersionId, directories.Route, targets.Plan]],
        ] = {}

    @contextlib.contextmanager
    def count(
        self,
        route: directories.Route,
        plan: targets.Plan,
        upstream: upstreams.Upstream,
    ):
        """Returns a context that counts an attempt as in progress.

        Args:
          route: The route of its request.
          plan: The state of its request.
          upstream: The upstream that works on it.
        """
        attempts = self._attempts.setdefault(upstream.service, {})
        key = object()
        attempts[key] = (upstream.version, route, plan)
        try:
            yield
        finally:
            del attempts[key]

    def outside(self, service: ids.ServiceId, version: ids.VersionId) -> Work:
        """Returns the attempts of a service on all versions but one."""
        attempts = [
            (route, plan)
            for attempt_version, route, plan in self._attempts.get(
                service, {}
            ).values()
            if attempt_version != version
        ]
        unrepeatable = sum(
            not plan.is_repeatable(route) for route, plan in attempts
        )
        return Work(len(attempts), unrepeatable)
