"""States of configured things, of nodes, upstreams, claims and requests."""

import enum


class VersionState(enum.Enum):
    """Whether a model version takes new work."""

    ACTIVE = 'active'
    CANARY = 'canary'
    WITHDRAWN = 'withdrawn'


class ZoneState(enum.Enum):
    """Whether operators let an availability zone take new work."""

    IN = 'in'
    OUT = 'out'


class RolloutState(enum.Enum):
    """What operators ask of a roll-out."""

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
    """Health of an upstream as a node sees it."""

    UNKNOWN = 'unknown'
    WARM = 'warm'
    COLD = 'cold'
    LEAVING = 'leaving'
    DOWN = 'down'


class MemberState(enum.Enum):
    """State of a node as another node sees it."""

    JOINING = 'joining'
    ALIVE = 'alive'
    SUSPECT = 'suspect'
    LEAVING = 'leaving'
    DEAD = 'dead'


class ClaimState(enum.Enum):
    """Life of a claim on a request with an idempotency key.

    FAILED is for idempotent work only; it may be claimed anew like NOT_RUN.
    """

    CLAIMED = 'claimed'
    DONE = 'done'
    NOT_RUN = 'not_run'
    FAILED = 'failed'
    UNKNOWN = 'unknown'


class Outcome(enum.Enum):
    """What a caller is told about its request."""

    COMPLETED = 'completed'
    NOT_RUN = 'not_run'
    FAILED = 'failed'
    UNKNOWN = 'unknown'
