"""What a request does when its idempotency key is already claimed."""

import enum

from radishcourse_model import states

# Nodes' wall clocks differ. A claim's expiry is compared only to tell "still
# running" from "unknown", and this allowance keeps a fast clock from answering
# "unknown" early. Neither answer lets a request run again.
MAX_CLOCK_SKEW_S = 5.0

_RETRYABLE_STATES = (states.ClaimState.NOT_RUN, states.ClaimState.FAILED)


class Action(enum.Enum):
    """Action for a request whose key is already claimed."""

    CLAIM = 'claim'
    RETURN_OUTCOME = 'return_outcome'
    REFUSE_RUNNING = 'refuse_running'
    REFUSE_UNKNOWN = 'refuse_unknown'
    REFUSE_REUSED = 'refuse_reused'


def expiry_time(wall: float, left_s: float) -> float:
    """Returns the wall time after which a claim's holder has given up.

    Args:
      wall: Wall time at this node, in seconds since the epoch.
      left_s: Time left until the request's deadline, in seconds.
    """
    return wall + left_s + MAX_CLOCK_SKEW_S


def decide_action(
    state: states.ClaimState, same_request: bool, expires_at: float, wall: float
) -> Action:
    """Returns the action for a request that found a claim.

    Args:
      state: State of the claim.
      same_request: Whether the claimed request has the same content.
      expires_at: Wall time after which the claim's holder has given up.
      wall: Wall time at this node, in seconds since the epoch.
    """
    if not same_request:
        return Action.REFUSE_REUSED
    if state in _RETRYABLE_STATES:
        return Action.CLAIM
    if state is states.ClaimState.DONE:
        return Action.RETURN_OUTCOME
    if state is states.ClaimState.CLAIMED and wall < expires_at:
        return Action.REFUSE_RUNNING
    return Action.REFUSE_UNKNOWN


def may_settle(
    found_write_id: str | None,
    found_version: int,
    claim_write_id: str,
    base_version: int,
) -> bool:
    """Tells whether a claim's holder may write the claim's final state.

    It may overwrite its own claim, and the row as it was before its claim. In
    the second case the claim's write may still be in flight, and fails
    because the version has changed.

    Args:
      found_write_id: Write id in the row; None without a row.
      found_version: Version of the row; 0 without a row.
      claim_write_id: Write id of the holder's claim.
      base_version: Version on which the claim's write was conditioned.
    """
    return found_write_id == claim_write_id or found_version == base_version
