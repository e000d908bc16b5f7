"""Errors in the exchange of messages between nodes."""

from radishcourse_model import errors


class WireError(errors.RadishcourseError):
    """A message could not be exchanged with a peer."""

    code = 'wire'


class Malformed(WireError):
    """A message can't be encoded or decoded, or does not fit its request."""

    code = 'wire_malformed'


class Unauthenticated(WireError):
    """A message was not signed with a known key for this connection."""

    code = 'wire_unauthenticated'


class Unreachable(WireError):
    """The peer can't be reached or did not reply in time."""

    code = 'wire_unreachable'


class Rejected(WireError):
    """The peer replied with an error."""

    code = 'wire_rejected'
