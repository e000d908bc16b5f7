"""Errors of the messages between nodes."""

from radishcourse_model import errors


class WireError(errors.RadishcourseError):
    """A message could not be exchanged with a peer."""

    code = 'wire'


class Malformed(WireError):
    """Bytes that are no message of this protocol."""

    code = 'wire_malformed'


class Unauthenticated(WireError):
    """A message that no known key signed for this connection."""

    code = 'wire_unauthenticated'


class Unreachable(WireError):
    """The peer can't be reached or did not answer in time."""

    code = 'wire_unreachable'


class Rejected(WireError):
    """The peer answered that it can't do what was asked."""

    code = 'wire_rejected'
