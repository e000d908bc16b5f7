"""A request on its way through a node, and its answer."""

import dataclasses
import enum
import typing

import msgspec

from radishcourse_model import ids
from radishcourse_model import schema
from radishcourse_model import states


class JobType(enum.Enum):
    """What a request asks for."""

    MODEL = 'model'
    SERVICE = 'service'


class Message(msgspec.Struct):
    """A message of a chat."""

    role: str
    content: str


class ChatRequest(msgspec.Struct):
    """The body of a chat completion request; other keys are ignored.

    Attributes:
      messages: The chat.
      model: A model, a cascade, or empty for the kind's cascade.
      max_tokens: Most tokens to generate.
      stream: Whether the answer comes as server-sent events.
    """

    messages: typing.Annotated[list[Message], msgspec.Meta(min_length=1)]
    model: str = ''
    max_tokens: typing.Annotated[int, msgspec.Meta(ge=1, le=32_768)] = 256
    stream: bool = False


@dataclasses.dataclass(frozen=True)
class ServiceCall:
    """A call of a plain service."""

    service: ids.ServiceId
    path: str
    query: str
    idempotent: bool


@dataclasses.dataclass(frozen=True)
class Session:
    """A session and the version that it keeps."""

    session: ids.SessionId
    organisation: ids.OrganisationId
    model: ids.ModelId
    version: ids.VersionId


@dataclasses.dataclass
class Job:
    """A request and what the filters found out about it.

    Attributes:
      request_id: Unique over all nodes.
      method: HTTP method.
      path: Path without the query.
      query: Query string.
      headers: Header values by lower-case name.
      body: Whole body.
      arrived_at: Arrival by the node's clock, in seconds.
      deadline: Deadline by the node's clock, in seconds.
      job_type: What it asks for.
      organisation_id: Who sent it.
      organisation: Its configuration when it was admitted.
      kind_id: Kind of job, or the service's name.
      kind: Configuration of the kind, for model jobs.
      chat: Body of a model job.
      call: Call of a plain service.
      idempotency_key: Key given by the caller, or None.
      steps: Models that may serve it, from the cheapest.
      session: Its session, or None.
      opens_session: Whether the answer is to carry a new session token.
      left_session: The session that it left, as its version is withdrawn.
      reader: What its caller has left unread, once the answer has started.
      attempts: Attempts on upstreams that were begun.
      price: What the version of the last attempt cost when it was placed; it
        may be gone from the configuration when the answer comes.
      sent: Whether any byte of it may have reached an upstream; while this
        is false, "not run" is true.
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
        """Whether the answer is given out as it is made."""
        return self.chat is not None and self.chat.stream

    @property
    def safe_to_retry(self) -> bool:
        """Whether a second attempt may follow one whose fate is unknown."""
        return self.call is None or self.call.idempotent


@dataclasses.dataclass
class Facts:
    """What is told about an answer in headers, bills and logs.

    Attributes:
      model: Model that answered, or the service.
      version: Its version.
      upstream: The upstream that answered.
      steps: How many steps of the cascade were tried.
      cost: Micro-units that the organisation pays.
      rating: Rating of the answer, or None.
      tokens: Tokens of the answer that was given out.
      revision: Revision of the configuration at the last attempt.
      outcome: What the caller is told about its request.
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
        """Takes over where a successful attempt of a step ran."""
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
      body: Whole body of an unstreamed answer.
      stream: Parts of a streamed answer; it ends when the upstream's answer
        was whole and raises when it was not.
      facts: What is told about it; complete when the stream has ended.
    """

    status: int
    headers: dict[str, str]
    body: bytes = b''
    stream: typing.AsyncGenerator[bytes, None] | None = None
    facts: Facts = dataclasses.field(default_factory=Facts)
