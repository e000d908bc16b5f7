"""The gateway's configuration: routes, services and organisations.

A directory is immutable; a new version replaces it as a whole.
"""

import dataclasses
import enum
import functools

from radishcourse_model import ids


class RequestKind(enum.Enum):
    """How a failed request may be retried."""

    IDEMPOTENT = 'idempotent'
    NON_IDEMPOTENT = 'non_idempotent'
    STREAM = 'stream'


@dataclasses.dataclass(frozen=True)
class Share:
    """A service's share of a route's requests.

    Attributes:
      service: The service.
      weight: Its share, relative to the sum of the route's weights.
    """

    service: ids.ServiceId
    weight: float


@dataclasses.dataclass(frozen=True)
class Route:
    """A route for requests with a host and a path prefix.

    Attributes:
      name: Name of the route.
      host: Value of the Host header, in lower case.
      prefix: Start of the path; it begins and ends with a slash.
      kind: How a failed request may be retried.
      shares: Services that serve it, by weight.
      timeout_s: Time limit for the whole response, in seconds.
      goal_s: Time in seconds within which a response has its full value.
      max_attempts: Maximum number of attempts of a request.
      priority: Priority of its requests; 0 is the most urgent.
      anonymous: Whether requests need no key.
      cached_prompts: Whether upstreams cache prompts of its requests.
      resumable: Whether a stream can be resumed at another upstream.
      gap_s: Longest pause in seconds between events that counts as on time,
        None if the route sets none.
      models: Models to choose from, smallest first; empty when the request
        names its model.
    """

    name: str
    host: str
    prefix: str
    kind: RequestKind
    shares: tuple[Share, ...]
    timeout_s: float
    goal_s: float
    max_attempts: int = 1
    priority: int = 5
    anonymous: bool = False
    cached_prompts: bool = False
    resumable: bool = False
    gap_s: float | None = None
    models: tuple[ids.ModelId, ...] = ()

    @property
    def retryable(self) -> bool:
        """Whether a request may run more than once."""
        if self.kind is RequestKind.STREAM:
            return self.resumable
        return self.kind is RequestKind.IDEMPOTENT

    def without_retries(self) -> 'Route':
        """Returns the route for a request that may run once at most."""
        if self.kind is RequestKind.STREAM:
            return dataclasses.replace(self, resumable=False)
        return dataclasses.replace(self, kind=RequestKind.NON_IDEMPOTENT)


@dataclasses.dataclass(frozen=True)
class Engine:
    """Properties of a service whose upstreams are model engines.

    Attributes:
      slots: Requests that an engine runs at once.
      cache_tokens: Tokens that fit into an engine's KV cache.
      costs: Cost per thousand generated tokens by model.
    """

    slots: int
    cache_tokens: int
    costs: dict[ids.ModelId, float] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(frozen=True)
class Scaling:
    """Limits within which the gateway orders a service's workers.

    Attributes:
      min_workers: Least number of workers in an availability zone.
      max_workers: Largest number of workers in an availability zone.
      boot_s: Seconds until a new worker serves.
    """

    min_workers: int
    max_workers: int
    boot_s: float


@dataclasses.dataclass(frozen=True)
class Service:
    """A set of upstreams that serve the same requests.

    Attributes:
      name: Name of the service.
      cold_start_s: Seconds for which an upstream stays cold after its start.
      cold_per_s: Requests per second that a cold upstream can serve; 0 if the
        rate is not limited.
      engine: Properties of its model engines, None for other services.
      probe_path: Path at which its upstreams answer probes, None if unknown.
      scaling: Limits of the number of its workers, None if it is fixed.
    """

    name: ids.ServiceId
    cold_start_s: float = 0.0
    cold_per_s: float = 0.0
    engine: Engine | None = None
    probe_path: str | None = None
    scaling: Scaling | None = None


@dataclasses.dataclass(frozen=True)
class Organisation:
    """A customer.

    Attributes:
      name: Name of the organisation.
      priority: Overrides the route's priority if it is set.
    """

    name: ids.OrganisationId
    priority: int | None = None


@dataclasses.dataclass(frozen=True)
class Limits:
    """Limits on callers' requests.

    Attributes:
      body_bytes: Maximum size of a body.
      header_timeout_s: Time limit for receiving a body, in seconds; the server
        limits the headers (`gateway.HEADER_TIMEOUT_S`).
      idle_timeout_s: Seconds after which an idle connection is closed.
    """

    body_bytes: int = 4 * 2**20
    header_timeout_s: float = 10.0
    idle_timeout_s: float = 60.0


@dataclasses.dataclass(frozen=True)
class Directory:
    """One version of the configuration.

    Attributes:
      version: Increases with each change.
      routes: All routes.
      services: Services by name.
      organisations: Organisations by key; None if keys are not checked.
      limits: Limits on requests.
    """

    version: int
    routes: tuple[Route, ...] = ()
    services: dict[ids.ServiceId, Service] = dataclasses.field(
        default_factory=dict
    )
    organisations: dict[str, Organisation] | None = None
    limits: Limits = Limits()

    @functools.cached_property
    def _by_host(self) -> dict[str, list[Route]]:
        hosts: dict[str, list[Route]] = {}
        for route in self.routes:
            hosts.setdefault(route.host, []).append(route)
        for routes in hosts.values():
            routes.sort(key=lambda route: len(route.prefix), reverse=True)
        return hosts

    def match(self, host: str, path: str) -> Route | None:
        """Returns the route with the longest matching prefix."""
        for route in self._by_host.get(host.lower(), ()):
            if path.startswith(route.prefix):
                return route
        return None

    def organisation(self, key: str | None) -> Organisation | None:
        """Returns the organisation that holds a key."""
        if self.organisations is None or key is None:
            return None
        return self.organisations.get(key)
