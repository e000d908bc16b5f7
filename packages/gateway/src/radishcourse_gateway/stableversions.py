"""Stable versions: those in service while no roll-out is ordered."""

from radishcourse_gateway import view as views
from radishcourse_model import ids


class StableVersions:
    """The stable version of each service.

    Upstreams of a new version may be listed before the order for its roll-out
    arrives, and must not get requests until then, even if those of the stable
    version may not be used for a while. A node that has just started takes the
    version whose upstreams have run the longest as the stable one.

    Args:
      view: Provides the services, orders and upstreams.
    """

    def __init__(self, view: views.View):
        self._view = view
        self._versions: dict[ids.ServiceId, ids.VersionId] = {}

    def version(
        self, service: ids.ServiceId, present: dict[ids.VersionId, int]
    ) -> ids.VersionId | None:
        """Returns the stable version, or None without a usable upstream.

        Args:
          service: The service.
          present: Number of usable upstreams by version.
        """
        stable = self._versions.get(service)
        if stable not in present and self._view.is_listed(service, stable):
            return stable
        if not present:
            return None
        if stable not in present:
            self._versions[service] = min(
                present, key=lambda version: self._start_key(service, version)
            )
        return self._versions[service]

    def known(self, service: ids.ServiceId) -> ids.VersionId | None:
        """Returns the version that was stable last, None before the first."""
        return self._versions.get(service)

    def adopt(self, service: ids.ServiceId, version: ids.VersionId) -> None:
        """Makes a version the stable one, as its roll-out is completed."""
        self._versions[service] = version

    def update(self) -> None:
        """Chooses stable versions early, before new versions are listed."""
        directory = self._view.directory
        for service in directory.services if directory else ():
            if service not in self._view.orders:
                self.version(service, self._view.versions(service))

    def _start_key(self, service, version) -> tuple[int, ids.VersionId]:
        started_ms = min(
            listed.upstream.started_ms
            for listed in self._view.usable(service)
            if listed.upstream.version == version
        )
        return started_ms, version
