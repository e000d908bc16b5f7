"""Schema of the merged configuration document.

Costs are in micro-units of the marketplace's currency, times in milliseconds,
sizes in bytes and shares of traffic in percent.
"""

import typing

import msgspec

from radishcourse_model import ids
from radishcourse_model import states

NAME_PATTERN = r'^[A-Za-z0-9][A-Za-z0-9._-]{0,63}\Z'

Fraction = typing.Annotated[float, msgspec.Meta(ge=0, le=1)]
Confidence = typing.Annotated[float, msgspec.Meta(ge=0.5, le=0.999)]
Percent = typing.Annotated[int, msgspec.Meta(ge=0, le=100)]
Micros = typing.Annotated[int, msgspec.Meta(ge=0, le=10**12)]
Milliseconds = typing.Annotated[int, msgspec.Meta(ge=1, le=3_600_000)]
Count = typing.Annotated[int, msgspec.Meta(ge=1, le=1_000_000)]
Size = typing.Annotated[int, msgspec.Meta(ge=1024, le=2**32)]
Weight = typing.Annotated[float, msgspec.Meta(gt=0, le=1000)]
Priority = typing.Annotated[int, msgspec.Meta(ge=0, le=9)]
Hash = typing.Annotated[str, msgspec.Meta(pattern=r'^sha256:[0-9a-f]{64}\Z')]
Name = typing.Annotated[str, msgspec.Meta(pattern=NAME_PATTERN)]
Secret = typing.Annotated[str, msgspec.Meta(min_length=16, max_length=256)]
Address = typing.Annotated[
    str, msgspec.Meta(pattern=r'^([0-9]{1,3}\.){3}[0-9]{1,3}:[0-9]{1,5}\Z')
]

ANY_VERSION = '*'


class Section(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Base class of all configuration objects; unknown keys are rejected."""


class Limits(Section, frozen=True):
    """Limits of one organisation; all but `held_bytes` are fleet-wide.

    Attributes:
      concurrent: Maximum number of requests in progress.
      requests_per_second: Maximum number of requests admitted per second.
      held_bytes: Maximum bytes buffered for its slow readers on one node.
    """

    concurrent: Count = 256
    requests_per_second: Count = 1000
    held_bytes: Size = 8 * 2**20


class Kind(Section, frozen=True):
    """A kind of job of one organisation.

    Attributes:
      cascade: Cascade that serves it.
      quality_target: Minimum fraction of answers that must be rated good.
      confidence: Confidence with which the target must be met.
      deadline_ms: Deadline when the caller sends none.
      priority: Priority passed to the engines; 9 is the highest.
      weight: Relative value of a completed request; under overload, jobs
        with the highest weight per second of service are admitted first.
    """

    cascade: ids.CascadeId
    quality_target: Fraction = 0.8
    confidence: Confidence = 0.9
    deadline_ms: Milliseconds = 30_000
    priority: Priority = 5
    weight: Weight = 1.0


class Organisation(Section, frozen=True):
    """A customer of the marketplace.

    Attributes:
      keys: SHA-256 hashes of its API keys.
      allowed: Versions that it may use, by model; `*` allows all.
      kinds: Its kinds of jobs.
      services: Plain services that it may call.
      limits: Limits on its requests.
      share: Its weight in the fair queue.
      on_withdrawn: What happens to its sessions on a withdrawn version.
    """

    keys: list[Hash]
    allowed: dict[ids.ModelId, list[str]] = {}
    kinds: dict[ids.KindId, Kind] = {}
    services: list[ids.ServiceId] = []
    limits: Limits = Limits()
    share: Weight = 1.0
    on_withdrawn: states.WithdrawnAction = states.WithdrawnAction.REFUSE

    def allows(self, model: ids.ModelId, version: ids.VersionId) -> bool:
        """Returns whether the organisation may use a version of a model."""
        versions = self.allowed.get(model, ())
        return version in versions or ANY_VERSION in versions


class Version(Section, frozen=True):
    """A version of a model.

    Attributes:
      state: Whether it accepts new jobs.
      share: Percentage of the model's jobs; active versions sum to 100.
      cost_per_job: Micro-units per job.
      cost_per_1k_tokens: Micro-units per thousand generated tokens.
    """

    state: states.VersionState = states.VersionState.ACTIVE
    share: Percent = 0
    cost_per_job: Micros = 0
    cost_per_1k_tokens: Micros = 0


class Model(Section, frozen=True):
    """A model with its versions."""

    versions: dict[ids.VersionId, Version]


class Cascade(Section, frozen=True):
    """Models in order of cost, the cheapest first."""

    steps: typing.Annotated[
        list[ids.ModelId], msgspec.Meta(min_length=1, max_length=8)
    ]


class Zone(Section, frozen=True):
    """An availability zone."""

    state: states.ZoneState = states.ZoneState.IN


class Upstream(Section, frozen=True):
    """A back end: a model engine or an application worker.

    Attributes:
      address: IPv4 address and port.
      zone: Its availability zone.
      pool: Group of upstreams that share a retry budget.
      serves: Versions that it can run, by model.
      slots: Maximum number of concurrent requests when warm.
      cold_limit: Maximum number of concurrent requests when cold.
      leaving: Set by operators before they remove it.
      checks_fencing: Whether it rejects orders with an outdated fencing
        token.
    """

    address: Address
    zone: ids.ZoneId
    pool: Name = 'default'
    serves: dict[ids.ModelId, list[ids.VersionId]] = {}
    slots: Count = 8
    cold_limit: Count = 1
    leaving: bool = False
    checks_fencing: bool = True


class Route(Section, frozen=True):
    """A route of a plain service that overrides the method's idempotency."""

    method: typing.Literal['GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE']
    path: typing.Annotated[str, msgspec.Meta(pattern='^/')]
    idempotent: bool


class Service(Section, frozen=True):
    """An application service that is not a model engine.

    GET and HEAD are idempotent, other methods are not, unless a route says
    otherwise.
    """

    upstreams: list[ids.UpstreamId]
    routes: list[Route] = []
    cost_per_call: Micros = 0
    deadline_ms: Milliseconds = 10_000


class Rollout(Section, frozen=True):
    """A roll-out of a version by canary.

    Attributes:
      model: Model whose version changes.
      from_version: Version in service.
      to_version: Version to roll out.
      canary_jobs: Maximum number of jobs, fleet-wide, that the canary may
        receive before a decision.
      state: State that operators request.
    """

    model: ids.ModelId
    from_version: ids.VersionId
    to_version: ids.VersionId
    canary_jobs: Count = 200
    state: states.RolloutState = states.RolloutState.RUNNING


class SessionKey(Section, frozen=True):
    """A key that signs or verifies session tokens."""

    secret: Secret
    state: states.KeyState = states.KeyState.ACCEPTING


class Config(Section, frozen=True):
    """The typed form of the merged configuration document."""

    organisations: dict[ids.OrganisationId, Organisation] = {}
    models: dict[ids.ModelId, Model] = {}
    cascades: dict[ids.CascadeId, Cascade] = {}
    zones: dict[ids.ZoneId, Zone] = {}
    upstreams: dict[ids.UpstreamId, Upstream] = {}
    services: dict[ids.ServiceId, Service] = {}
    rollouts: dict[ids.RolloutId, Rollout] = {}
    session_keys: dict[ids.KeyId, SessionKey] = {}
