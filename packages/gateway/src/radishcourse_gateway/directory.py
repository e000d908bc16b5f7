"""What operators configure for the gateway: routes, services, organisations.

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
    """A service's part of a route's requests."""

    service: ids.ServiceId
    weight: float


@dataclasses.dataclass(frozen=True)
class Route:
    """Requests with a host and a path prefix.

    Attributes:
      name: Its name.
      host: Value of the Host header, in lower case.
      prefix: Start of the path, between two slashes.
      kind: How a failed request may be retried.
      shares: Services that serve it, by weight.
      timeout_s: Longest time until the answer is complete.
      goal_s: Time within which an answer has its full value.
      max_attempts: Upstreams to which one request may be sent.
      priority: 0 is the most urgent.
      anonymous: Whether it needs no key.
      cached_prompts: Whether upstreams cache prompts of its requests.
      resumable: Whether a stream may go on at another upstream.
      gap_s: Longest pause between events that is still on time.
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


@dataclasses.dataclass(frozen=True)
class Engine:
    """What the upstreams of a service of model engines have in common.

    Attributes:
      slots: Requests that run at once.
      cache_tokens: Tokens that fit into memory.
      costs: Cost of a thousand generated tokens by model.
    """

    slots: int
    cache_tokens: int
    costs: dict[ids.ModelId, float] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(frozen=True)
class Service:
    """A set of upstreams that serve the same requests.

    Attributes:
      name: Its name.
      cold_start_s: How long an upstream stays cold after its start.
      cold_per_s: Requests a second that a cold upstream bears.
      engine: Set when its upstreams are model engines.
    """

    name: ids.ServiceId
    cold_start_s: float = 0.0
    cold_per_s: float = 0.0
    engine: Engine | None = None


@dataclasses.dataclass(frozen=True)
class Organisation:
    """A customer.

    Attributes:
      name: Its name.
      priority: Goes before the route's priority when it is set.
    """

    name: ids.OrganisationId
    priority: int | None = None


@dataclasses.dataclass(frozen=True)
class Limits:
    """Bounds on callers' requests."""

    body_bytes: int = 4 * 2**20
    header_timeout_s: float = 10.0
    idle_timeout_s: float = 60.0


@dataclasses.dataclass(frozen=True)
class Directory:
    """One version of the configuration.

    Attributes:
      version: Grows with each change.
      routes: All routes.
      services: Services by name.
      organisations: Organisations by key; None when no keys are in use.
      limits: Bounds on requests.
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
        """Returns the route with the longest prefix that fits."""
        for route in self._by_host.get(host.lower(), ()):
            if path.startswith(route.prefix):
                return route
        return None

    def organisation(self, key: str | None) -> Organisation | None:
        """Returns the organisation that holds a key."""
        if self.organisations is None or key is None:
            return None
        return self.organisations.get(key)
