"""A caller's request as the gateway handles it."""

import dataclasses

from radishcourse_gateway import directory as directories
from radishcourse_gateway import headernames
from radishcourse_model import ids
from radishcourse_policy import modelchoice

Headers = list[tuple[bytes, bytes]]


@dataclasses.dataclass
class InboundRequest:
    """A request that has been read as a whole.

    Attributes:
      request_id: The id that the caller gave.
      method: Its method.
      target: Path and query as they were sent.
      headers: Its headers; names in lower case.
      body: Its body.
      arrived_at: When its head had arrived.
      route: The route that serves it.
      organisation: The caller, None on routes without a key.
      deadline: When the caller stops waiting.
      size: Its tokens, None when it does not name them.
      cached_key: Names the shared part of the prompt.
      cached_tokens: Tokens of the shared parts.
      session: Names the requests that belong together.
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
    prefix_key: str | None = None
    prefix_tokens: int = 0
    session: str = ''

    @property
    def organisation_name(self) -> ids.OrganisationId:
        """Name of the organisation for logs and metrics."""
        if self.organisation is None:
            return ids.OrganisationId('')
        return self.organisation.name

    @property
    def priority(self) -> int:
        """Urgency, 0 is the first."""
        own = self.organisation.priority if self.organisation else None
        return self.route.priority if own is None else own


def first_value(headers: Headers, name: bytes) -> bytes | None:
    """Returns the first value of a header."""
    return next((value for key, value in headers if key == name), None)


def read_size(headers: Headers, header_names: headernames.HeaderNames):
    """Returns a request's tokens, None when they can't be told.

    The number of output tokens is the caller's estimate, if it gives one.
    """
    prompt, _, output = (
        first_value(headers, header_names.tokens) or b''
    ).partition(b',')
    if not prompt.isdigit():
        return None
    most = int(output) if output.isdigit() else 0
    hint = first_value(headers, header_names.length_hint) or b''
    if hint.isdigit():
        most = min(most or int(hint), int(hint))
    return modelchoice.RequestSize(int(prompt), most)


def read_shared_prefix(
    headers: Headers, header_names: headernames.HeaderNames
) -> tuple[str | None, int]:
    """Returns the name and the tokens of a prompt's shared parts.

    The last part belongs to the request or its session alone.
    """
    value = first_value(headers, header_names.prompt_parts) or b''
    parts = [item.partition(b':') for item in value.split(b',') if item]
    shared = parts[:-1]
    if not shared:
        return None, 0
    tokens = sum(int(size) for _, _, size in shared if size.isdigit())
    return shared[-1][0].decode('latin-1'), tokens


def upstream_headers(
    request: InboundRequest, header_names: headernames.HeaderNames, own: Headers
) -> Headers:
    """Returns the headers for an upstream.

    Args:
      request: The request.
      header_names: Header names.
      own: Headers that the gateway sets; they replace the caller's.
    """
    named = first_value(request.headers, b'connection') or b''
    dropped = {item.strip().lower() for item in named.split(b',')}
    dropped |= headernames.HOP_BY_HOP | header_names.reserved
    dropped |= {header_names.key, b'content-length', b'expect'}
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
    """Returns the headers of an upstream's answer for the caller."""
    named = first_value(headers, b'connection') or b''
    dropped = {item.strip().lower() for item in named.split(b',')}
    dropped |= headernames.HOP_BY_HOP
    return [(name, value) for name, value in headers if name not in dropped]
