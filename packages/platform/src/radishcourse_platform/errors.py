"""Errors of the platform's services as their clients see them."""

from radishcourse_model import errors


class PlatformError(errors.RadishcourseError):
    """A service of the platform did not do what it was asked."""

    code = 'platform'


class Unavailable(PlatformError):
    """The service refused or could not be reached; nothing took effect."""

    code = 'platform_unavailable'


class ResponseLost(PlatformError):
    """The answer was lost: a write may or may not have taken effect."""

    code = 'platform_answer_lost'


class RateLimited(Unavailable):
    """The service is up, but refused the call over a limit on their number."""

    code = 'platform_rate_limited'


class UnexpectedResponse(ResponseLost):
    """The service is up, but its answer is not one of its protocol."""

    code = 'platform_unexpected_answer'


class Conflict(PlatformError):
    """A condition of a transaction did not hold; nothing took effect.

    Attributes:
      rows: The rows, as they are, whose version was not the expected one.
    """

    code = 'platform_conflict'

    def __init__(self, rows: tuple):
        super().__init__(f'conflict on {", ".join(row.key for row in rows)}')
        self.rows = rows


class HistoryGone(PlatformError):
    """The changes that were asked for are no longer kept."""

    code = 'platform_history_gone'
