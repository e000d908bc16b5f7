"""A request that a node handles, and its answer."""

import dataclasses
import enum
import typing

import msgspec

from radishcourse_model import ids
from radishcourse_model import schema
from radishcourse_model import states


class JobType(enum.Enum):
    """Whether a request is for a model or for a plain service."""

    MODEL = 'model'
    SERVICE = 'service'


class Message(msgspec.Struct):
    """One message of a chat conversation."""

    role: str
    content: str


class ChatRequest(msgspec.Struct):
    """The body of a chat completion request; other keys are ignored.

    Attributes:
      messages: The conversation so far.
      model: Name of a model or a cascade, or empty for the cascade that is
        configured for the kind of job.
      max_tokens: Maximum number of tokens to generate.
      stream: Whether the answer is sent as server-sent events.
    """

    messages: typing.Annotated[list[Message], msgspec.Meta(min_length=1)]
    model: str = ''
    max_tokens: typing.Annotated[int, msgspec.Meta(ge=1, le=32_768)] = 256
    stream: bool = False


@dataclasses.dataclass(frozen=True)
class ServiceCall:
    """A call of a plain service, which is an upstream without a model."""

    service: ids.ServiceId
    path: str
    query: str
    idempotent: bool


@dataclasses.dataclass(frozen=True)
class Session:
    """A session and the model version that its jobs are pinned to."""

    session: ids.SessionId
    organisation: ids.OrganisationId
    model: ids.ModelId
    version: ids.VersionId


@dataclasses.dataclass
class Job:
    """A request with what the filters have derived from it.

    Attributes:
      request_id: Id that is unique across all nodes.
      method: HTTP method.
      path: Path without the query.
      query: Query string.
      headers: Header values by lower-case name.
      body: Complete request body.
      arrived_at: Arrival time by the node's clock, in seconds.
      deadline: Deadline by the node's clock, in seconds.
      job_type: Whether it is a model job or a service call.
      organisation_id: Organisation that sent it.
      organisation: Configuration of the organisation on arrival.
      kind_id: Kind of job, or the name of the service.
      kind: Configuration of the kind, for model jobs.
      chat: Decoded body of a model job.
      call: The service call, for service jobs.
      idempotency_key: Key given by the caller, or None.
      steps: Models that may serve it, cheapest first.
      session: Session that it belongs to, or None.
      opens_session: Whether the answer must carry a new session token.
      withdrawn_session: Session that the job was taken out of because its
        version was withdrawn, or None.
      reader: Tracks the bytes that the caller has not read yet; set once
        the answer has started.
      attempts: Number of attempts started on upstreams.
      price: Configuration of the version of the last attempt, taken when an
        upstream was reserved; the version may be removed from the
        configuration before the answer arrives.
      sent: Whether any byte of it may have reached an upstream; the outcome
        "not run" may be reported only while this is false.
    """

    request_id: ids.RequestId
    method: str
    path: str
    query: str
    headers: dict[str, str]
    body: bytes
    arrived_at: float
    deadline: float = 0.0
    job_type: JobType = JobType.MODEL
    organisation_id: ids.OrganisationId = ids.OrganisationId('')
    organisation: schema.Organisation | None = None
    kind_id: ids.KindId = ids.KindId('')
    kind: schema.Kind | None = None
    chat: ChatRequest | None = None
    call: ServiceCall | None = None
    idempotency_key: ids.IdempotencyKey | None = None
    steps: list[ids.ModelId] = dataclasses.field(default_factory=list)
    session: Session | None = None
    opens_session: bool = False
    withdrawn_session: Session | None = None
    reader: typing.Any = None
    attempts: int = 0
    price: schema.Version | None = None
    sent: bool = False

    @property
    def streamed(self) -> bool:
        """Whether the answer is sent to the caller as it is generated."""
        return self.chat is not None and self.chat.stream

    @property
    def safe_to_retry(self) -> bool:
        """Whether it may be retried when the last outcome is unknown."""
        return self.call is None or self.call.idempotent


@dataclasses.dataclass
class Facts:
    """What headers, bills and logs report about an answer.

    Attributes:
      model: Model or service that answered.
      version: Version of the model; empty for a service.
      upstream: Upstream that answered.
      steps: Number of cascade steps that gave an answer.
      cost: Cost charged to the organisation, in micro-units.
      rating: Rating of the answer from 0 to 1, or None.
      tokens: Number of tokens in the answer that was returned.
      revision: Configuration revision of the last attempt.
      outcome: Outcome that is reported to the caller.
    """

    model: str = ''
    version: str = ''
    upstream: str = ''
    steps: int = 0
    cost: int = 0
    rating: float | None = None
    tokens: int = 0
    revision: int = 0
    outcome: states.Outcome = states.Outcome.NOT_RUN

    def record_attempt(self, attempt: 'Facts') -> None:
        """Records the model, version and upstream of a successful attempt."""
        self.model, self.version = attempt.model, attempt.version
        self.upstream = attempt.upstream
        self.revision = attempt.revision
        self.rating = None
        self.steps += 1


@dataclasses.dataclass
class Answer:
    """An answer to a caller.

    Attributes:
      status: HTTP status.
      headers: Header values by lower-case name.
      body: Body of an answer that is not streamed.
      stream: Parts of a streamed answer, or None. It ends normally only if
        the upstream's answer was complete; otherwise it raises.
      facts: What is reported about it; final once the stream has ended.
    """

    status: int
    headers: dict[str, str]
    body: bytes = b''
    stream: typing.AsyncGenerator[bytes, None] | None = None
    facts: Facts = dataclasses.field(default_factory=Facts)
