"""Errors that the clients of the platform's services raise."""

from radishcourse_model import errors


class PlatformError(errors.RadishcourseError):
    """A call to a service of the platform failed."""

    code = 'platform'


class Unavailable(PlatformError):
    """The service refused or could not be reached; nothing took effect."""

    code = 'platform_unavailable'


class ResponseLost(PlatformError):
    """No response arrived: a write may or may not have taken effect."""

    code = 'platform_answer_lost'


class RateLimited(Unavailable):
    """The service is up, but refused the call because of its rate limit."""

    code = 'platform_rate_limited'


class UnexpectedResponse(ResponseLost):
    """The service is up, but its response does not follow the protocol."""

    code = 'platform_unexpected_answer'


class Conflict(PlatformError):
    """A condition of a transaction did not hold; nothing took effect.

    Attributes:
      rows: Current rows whose version is not the expected one.
    """

    code = 'platform_conflict'

    def __init__(self, rows: tuple):
        super().__init__(f'conflict on {", ".join(row.key for row in rows)}')
        self.rows = rows


class HistoryGone(PlatformError):
    """The service no longer keeps the requested changes."""

    code = 'platform_history_gone'
