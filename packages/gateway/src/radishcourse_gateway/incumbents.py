"""Versions in service where no roll-out was ordered."""

from radishcourse_gateway import view as views
from radishcourse_model import ids


class Incumbents:
    """The version of each service that was there before others.

    Upstreams of a new version are listed before its order is seen. A node
    that has just started takes the version whose upstreams are the oldest.

    Args:
      view: What this node knows.
    """

    def __init__(self, view: views.View):
        self._view = view
        self._versions: dict[ids.ServiceId, ids.VersionId] = {}

    def version(
        self, service: ids.ServiceId, present: dict[ids.VersionId, int]
    ) -> ids.VersionId | None:
        """Returns the version in service, None when there is no upstream.

        Args:
          service: The service.
          present: Usable upstreams by version.
        """
        if not present:
            return None
        if self._versions.get(service) not in present:
            self._versions[service] = min(
                present, key=lambda version: self._age_key(service, version)
            )
        return self._versions[service]

    def note(self) -> None:
        """Notes the versions in service before others are listed."""
        directory = self._view.directory
        for service in directory.services if directory else ():
            if service not in self._view.orders:
                self.version(service, self._view.versions(service))

    def _age_key(self, service, version) -> tuple[int, ids.VersionId]:
        started_ms = min(
            listed.upstream.started_ms
            for listed in self._view.usable(service)
            if listed.upstream.version == version
        )
        return started_ms, version
