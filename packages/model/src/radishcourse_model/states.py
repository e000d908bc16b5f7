"""States of configuration objects, nodes, upstreams, claims and requests."""

import enum


class VersionState(enum.Enum):
    """Whether a model version accepts new jobs."""

    ACTIVE = 'active'
    CANARY = 'canary'
    WITHDRAWN = 'withdrawn'


class ZoneState(enum.Enum):
    """Whether operators allow new requests in an availability zone."""

    IN = 'in'
    OUT = 'out'


class RolloutState(enum.Enum):
    """State of a roll-out that operators request."""

    RUNNING = 'running'
    PAUSED = 'paused'
    STOPPED = 'stopped'


class KeyState(enum.Enum):
    """Use of a session key: at most one signs, the others still verify."""

    SIGNING = 'signing'
    ACCEPTING = 'accepting'


class WithdrawnAction(enum.Enum):
    """What happens to a session whose version is withdrawn."""

    REFUSE = 'refuse'
    MOVE = 'move'


class UpstreamState(enum.Enum):
    """State of an upstream as seen by one node."""

    UNKNOWN = 'unknown'
    WARM = 'warm'
    COLD = 'cold'
    LEAVING = 'leaving'
    DOWN = 'down'


class MemberState(enum.Enum):
    """State of a node as seen by another node."""

    JOINING = 'joining'
    ALIVE = 'alive'
    SUSPECT = 'suspect'
    LEAVING = 'leaving'
    DEAD = 'dead'


class ClaimState(enum.Enum):
    """State of a claim on a request with an idempotency key.

    FAILED is used for idempotent requests only; like NOT_RUN, it allows a
    retry to claim the request again.
    """

    CLAIMED = 'claimed'
    DONE = 'done'
    NOT_RUN = 'not_run'
    FAILED = 'failed'
    UNKNOWN = 'unknown'


class Outcome(enum.Enum):
    """Outcome of a request, as reported to its caller."""

    COMPLETED = 'completed'
    NOT_RUN = 'not_run'
    FAILED = 'failed'
    UNKNOWN = 'unknown'
