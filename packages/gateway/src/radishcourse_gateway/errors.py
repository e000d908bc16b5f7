"""Errors of the gateway."""

import enum

from radishcourse_model import errors


class GatewayError(errors.RadishcourseError):
    """Base of the gateway's errors."""

    code = 'gateway'


class SettingsError(GatewayError):
    """The settings can't be read or do not hold together."""

    code = 'settings_invalid'


class Unreadable(GatewayError):
    """A record of the platform does not have the expected form."""

    code = 'record_unreadable'


class ChannelError(GatewayError):
    """An exchange with an upstream failed.

    Attributes:
      sent: Whether any byte of the request may have reached the upstream.
    """

    code = 'upstream_channel'

    def __init__(self, message: str, sent: bool):
        super().__init__(message)
        self.sent = sent


class Reason(enum.Enum):
    """Why the gateway itself answers, with the status of that answer.

    429 and 503 state that the request has not run and never will; 502 and
    504 say nothing about it.
    """

    NO_CONFIGURATION = ('no_configuration', 503)
    CLOSING = ('closing', 503)
    NO_ROUTE = ('no_route', 404)
    UNKNOWN_KEY = ('unknown_key', 401)
    BODY_TOO_LARGE = ('body_too_large', 413)
    BODY_TOO_SLOW = ('body_too_slow', 408)
    NO_UPSTREAM = ('no_upstream', 503)
    OVERLOADED = ('overloaded', 503)
    UPSTREAM_FAILED = ('upstream_failed', 502)
    TIMEOUT = ('timeout', 504)

    @property
    def label(self) -> str:
        """Stable name of the reason."""
        return self.value[0]

    @property
    def status(self) -> int:
        """HTTP status."""
        return self.value[1]


class Refusal(GatewayError):
    """The gateway answers a request itself.

    Attributes:
      reason: Why.
      retry_after_s: When a new attempt can succeed, in seconds.
    """

    code = 'refused'

    def __init__(
        self, reason: Reason, message: str, retry_after_s: float | None = None
    ):
        super().__init__(message)
        self.reason = reason
        self.retry_after_s = retry_after_s


class ResponseInterrupted(GatewayError):
    """An answer that had begun can't be completed."""

    code = 'answer_broken'
