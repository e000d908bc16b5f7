"""Errors of the gateway."""

import enum

from radishcourse_model import errors


class GatewayError(errors.RadishcourseError):
    """Base of the gateway's errors."""

    code = 'gateway'


class SettingsError(GatewayError):
    """The settings can't be read or are inconsistent."""

    code = 'settings_invalid'


class Unreadable(GatewayError):
    """A row of the platform can't be decoded."""

    code = 'record_unreadable'


class UpstreamError(GatewayError):
    """A connection or request to an upstream failed.

    Attributes:
      sent: Whether any byte of the request may have reached the upstream.
    """

    code = 'upstream_channel'

    def __init__(self, message: str, sent: bool):
        super().__init__(message)
        self.sent = sent


class Reason(enum.Enum):
    """Why the gateway responds itself: code and HTTP status.

    Statuses 429 and 503 guarantee that the request has not run and never will;
    after 502 and 504 it may have run.
    """

    NO_CONFIGURATION = ('no_configuration', 503)
    CLOSING = ('closing', 503)
    NO_ROUTE = ('no_route', 404)
    UNKNOWN_KEY = ('unknown_key', 401)
    BODY_TOO_LARGE = ('body_too_large', 413)
    BODY_TOO_SLOW = ('body_too_slow', 408)
    NO_UPSTREAM = ('no_upstream', 503)
    UPSTREAMS_UNREACHABLE = ('upstreams_unreachable', 503)
    OVERLOADED = ('overloaded', 503)
    NO_MEMORY = ('no_memory', 503)
    PROMPT_QUARANTINED = ('prompt_quarantined', 503)
    UPSTREAM_FAILED = ('upstream_failed', 502)
    TIMEOUT = ('timeout', 504)

    @property
    def label(self) -> str:
        """Code of the reason in responses, logs and metrics."""
        return self.value[0]

    @property
    def status(self) -> int:
        """HTTP status of the response."""
        return self.value[1]


class Refusal(GatewayError):
    """The gateway responds itself instead of an upstream.

    Attributes:
      reason: Code and status of the response.
      retry_after_s: Seconds after which a new attempt may succeed, None when
        no Retry-After header is sent.
    """

    code = 'refused'

    def __init__(
        self, reason: Reason, message: str, retry_after_s: float | None = None
    ):
        super().__init__(message)
        self.reason = reason
        self.retry_after_s = retry_after_s


class ResponseInterrupted(GatewayError):
    """A response can't be completed after its start was sent."""

    code = 'answer_broken'
