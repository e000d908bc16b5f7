"""A caller's request, and the headers sent to upstreams and callers."""

import dataclasses
import hashlib
import typing

from radishcourse_gateway import directory as directories
from radishcourse_gateway import headernames
from radishcourse_model import ids
from radishcourse_policy import modelchoice

Headers = list[tuple[bytes, bytes]]
# Nodes remember sessions, so a longer id is replaced by its digest.
MAX_SESSION_LENGTH = 64
# Names of prompt parts are logged with each attempt.
MAX_PART_LENGTH = 64
# A prompt with more parts is treated as one without any.
MAX_PARTS = 256


class PromptParts(typing.NamedTuple):
    """The parts of a prompt that a caller names.

    Attributes:
      shared: Ids of all parts but the last, which other prompts may share.
      own: Id of the last part, which belongs to the request or its session
        alone; empty without parts.
      shared_tokens: Tokens of the shared parts.
    """

    shared: tuple[str, ...] = ()
    own: str = ''
    shared_tokens: int = 0


@dataclasses.dataclass
class InboundRequest:
    """A request whose body has been read.

    Attributes:
      request_id: Id that the caller set.
      method: HTTP method.
      target: Path and query as they were sent.
      headers: Headers; names in lower case.
      body: The whole body.
      arrived_at: When its head had arrived, on this node's clock in seconds.
      route: The route that matched.
      organisation: The caller's organisation, None without authentication.
      deadline: When the caller stops waiting, on this node's clock in seconds.
      size: Prompt and output tokens, None when the caller sends no counts.
      parts: Parts of the prompt.
      session: Id shared by the requests of a session, empty without one.
      hold_response: Called with the number of bytes held of a response.
      relayed: Whether another node relayed it.
    """

    request_id: str
    method: bytes
    target: bytes
    headers: Headers
    body: bytes
    arrived_at: float
    route: directories.Route
    organisation: directories.Organisation | None
    deadline: float
    size: modelchoice.RequestSize | None = None
    parts: PromptParts = PromptParts()
    session: str = ''
    hold_response: typing.Callable[[int], object] = lambda size: None
    relayed: bool = False

    @property
    def prefix_key(self) -> str | None:
        """Identifies the shared prefix of the prompt.

        None when there is none or the route's upstreams do not cache prompts.
        """
        if not self.route.cached_prompts or not self.parts.shared:
            return None
        return self.parts.shared[-1]

    @property
    def organisation_name(self) -> ids.OrganisationId:
        """Name of the organisation, empty without authentication."""
        if self.organisation is None:
            return ids.OrganisationId('')
        return self.organisation.name

    @property
    def priority(self) -> int:
        """Priority of the organisation, else of the route; 0 is most urgent."""
        own = self.organisation.priority if self.organisation else None
        return self.route.priority if own is None else own


def first_value(headers: Headers, name: bytes) -> bytes | None:
    """Returns the first value of a header, None when it is missing."""
    return next((value for key, value in headers if key == name), None)


def read_size(headers: Headers, header_names: headernames.HeaderNames):
    """Returns a request's size in tokens, None without a valid header.

    The output tokens are the smaller of the limit and the caller's estimate.
    """
    prompt, _, output = (
        first_value(headers, header_names.token_counts) or b''
    ).partition(b',')
    if not prompt.isdigit():
        return None
    most = int(output) if output.isdigit() else 0
    hint = first_value(headers, header_names.length_hint) or b''
    if hint.isdigit():
        most = min(most or int(hint), int(hint))
    return modelchoice.RequestSize(int(prompt), most)


def read_session(
    headers: Headers, header_names: headernames.HeaderNames
) -> str:
    """Returns the id of a request's session, empty without one."""
    value = first_value(headers, header_names.session) or b''
    return _shorten(value, MAX_SESSION_LENGTH)


def _shorten(name: bytes, max_length: int) -> str:
    """Returns a name that callers chose; a long one's digest."""
    if len(name) > max_length:
        return hashlib.blake2b(name, digest_size=16).hexdigest()
    return name.decode('latin-1')


def read_prompt_parts(
    headers: Headers, header_names: headernames.HeaderNames
) -> PromptParts:
    """Returns the parts of a prompt, in order."""
    value = first_value(headers, header_names.prompt_parts) or b''
    parts = [item.strip().partition(b':') for item in value.split(b',') if item]
    if not parts or len(parts) > MAX_PARTS:
        return PromptParts()
    *shared, own = parts
    return PromptParts(
        tuple(_shorten(name, MAX_PART_LENGTH) for name, _, _ in shared),
        _shorten(own[0], MAX_PART_LENGTH),
        sum(int(size) for _, _, size in shared if size.isdigit()),
    )


def upstream_headers(
    request: InboundRequest, header_names: headernames.HeaderNames, own: Headers
) -> Headers:
    """Returns the request headers to send to an upstream.

    Hop-by-hop headers, the API key and headers that only gateways may set are
    dropped.

    Args:
      request: The request.
      header_names: Header names of the installation.
      own: Headers that the gateway sets; they replace the caller's.
    """
    excluded = {header_names.api_key, headernames.RUN_ONCE}
    return _forwarded_headers(request, header_names.reserved | excluded, own)


def relay_headers(request: InboundRequest, own: Headers) -> Headers:
    """Returns the request headers to send to a peer that serves a request.

    Args:
      request: The request.
      own: Headers that the gateway sets; they replace the caller's.
    """
    if not request.route.retryable:
        own = [*own, (headernames.RUN_ONCE, b'1')]
    return _forwarded_headers(request, frozenset({headernames.RUN_ONCE}), own)


def _forwarded_headers(
    request: InboundRequest, excluded: frozenset[bytes], own: Headers
) -> Headers:
    named = first_value(request.headers, b'connection') or b''
    dropped = {item.strip().lower() for item in named.split(b',')}
    dropped |= headernames.HOP_BY_HOP | excluded
    dropped |= {b'content-length', b'expect'}
    dropped |= {name for name, _ in own}
    headers = [
        (name, value) for name, value in request.headers if name not in dropped
    ]
    if (
        request.body
        or first_value(request.headers, b'content-length') is not None
    ):
        headers.append((b'content-length', b'%d' % len(request.body)))
    elif first_value(request.headers, b'transfer-encoding') is not None:
        headers.append((b'content-length', b'0'))
    return headers + own


def caller_headers(headers: Headers) -> Headers:
    """Returns a response's headers without the hop-by-hop ones."""
    named = first_value(headers, b'connection') or b''
    dropped = {item.strip().lower() for item in named.split(b',')}
    dropped |= headernames.HOP_BY_HOP
    return [(name, value) for name, value in headers if name not in dropped]
