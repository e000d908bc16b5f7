"""Errors of the node, and the refusals that callers receive."""

import enum

from radishcourse_model import errors
from radishcourse_model import states


class NodeError(errors.RadishcourseError):
    """Base class of the node's errors."""

    code = 'node'


class SettingsError(NodeError):
    """The settings can't be used."""

    code = 'settings_invalid'


class AddressError(NodeError):
    """An address of the node can't be listened on."""

    code = 'address_in_use'


class RefusalCode(enum.Enum):
    """Refusal codes with their HTTP status and the outcome of the job."""

    BAD_REQUEST = ('bad_request', 400, states.Outcome.NOT_RUN)
    UNAUTHENTICATED = ('unauthenticated', 401, states.Outcome.NOT_RUN)
    MODEL_NOT_ALLOWED = ('model_not_allowed', 403, states.Outcome.NOT_RUN)
    UNKNOWN_MODEL = ('unknown_model', 404, states.Outcome.NOT_RUN)
    NOT_FOUND = ('not_found', 404, states.Outcome.NOT_RUN)
    SESSION_INVALID = ('session_invalid', 403, states.Outcome.NOT_RUN)
    SESSION_VERSION_WITHDRAWN = (
        'session_version_withdrawn',
        409,
        states.Outcome.NOT_RUN,
    )
    BODY_TOO_LARGE = ('body_too_large', 413, states.Outcome.NOT_RUN)
    HEADERS_TOO_LARGE = ('headers_too_large', 431, states.Outcome.NOT_RUN)
    LIMIT_EXCEEDED = ('limit_exceeded', 429, states.Outcome.NOT_RUN)
    OVERLOADED = ('overloaded', 503, states.Outcome.NOT_RUN)
    NO_UPSTREAM = ('no_upstream', 503, states.Outcome.NOT_RUN)
    STALE_VIEW = ('stale_view', 503, states.Outcome.NOT_RUN)
    CLAIM_UNAVAILABLE = ('claim_unavailable', 503, states.Outcome.NOT_RUN)
    BILLING_BACKLOG = ('billing_backlog', 503, states.Outcome.NOT_RUN)
    KEY_REUSED = ('key_reused', 422, states.Outcome.NOT_RUN)
    DEADLINE_EXPIRED = ('deadline_expired', 504, states.Outcome.NOT_RUN)
    STILL_RUNNING = ('still_running', 409, states.Outcome.UNKNOWN)
    UPSTREAM_FAILED = ('upstream_failed', 500, states.Outcome.FAILED)
    OUTCOME_UNKNOWN = ('outcome_unknown', 502, states.Outcome.UNKNOWN)

    @property
    def label(self) -> str:
        """The code in the body of the response."""
        return self.value[0]

    @property
    def status(self) -> int:
        """The HTTP status of the response."""
        return self.value[1]

    @property
    def outcome(self) -> states.Outcome:
        """The outcome of the job that the response reports."""
        return self.value[2]


class Refusal(NodeError):
    """A request that is answered with an error instead of its result.

    Attributes:
      reason: Code of the refusal.
      retry_after_s: Seconds after which the caller may retry, or None.
    """

    code = 'refusal'

    def __init__(
        self,
        reason: RefusalCode,
        message: str,
        retry_after_s: int | None = None,
    ):
        super().__init__(message)
        self.reason = reason
        self.retry_after_s = retry_after_s


class AttemptError(NodeError):
    """An attempt on an upstream gave no complete response.

    Attributes:
      sent: Whether any byte of the request may have reached the upstream.
      reset: Whether the connection was refused or reset, which is a sign
        that the upstream lost its state.
    """

    code = 'attempt'

    def __init__(self, message: str, sent: bool, reset: bool = False):
        super().__init__(message)
        self.sent = sent
        self.reset = reset
