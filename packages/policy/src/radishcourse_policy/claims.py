"""What a request does that finds a claim under its key."""

import enum

from radishcourse_model import states

# Nodes' wall clocks differ. A claim's end is compared only to tell "still
# running" from "unknown", and this allowance keeps a fast clock from saying
# "unknown" early. Neither word lets a request run again.
CLOCK_ALLOWANCE_S = 5.0

_AGAIN = (states.ClaimState.NOT_RUN, states.ClaimState.FAILED)


class Action(enum.Enum):
    """What to do with a request whose key has a claim."""

    CLAIM = 'claim'
    RETURN_OUTCOME = 'return_outcome'
    REFUSE_RUNNING = 'refuse_running'
    REFUSE_UNKNOWN = 'refuse_unknown'
    REFUSE_REUSED = 'refuse_reused'


def end(wall: float, left_s: float) -> float:
    """Returns the wall time after which a claim's holder has given up."""
    return wall + left_s + CLOCK_ALLOWANCE_S


def judge(
    state: states.ClaimState, same_request: bool, until: float, wall: float
) -> Action:
    """Returns what a request does.

    Args:
      state: State of the claim that was found.
      same_request: Whether it is on a request with the same content.
      until: Wall time after which the claim's holder has given up.
      wall: Wall time at this node.
    """
    if not same_request:
        return Action.REFUSE_REUSED
    if state in _AGAIN:
        return Action.CLAIM
    if state is states.ClaimState.DONE:
        return Action.RETURN_OUTCOME
    if state is states.ClaimState.CLAIMED and wall < until:
        return Action.REFUSE_RUNNING
    return Action.REFUSE_UNKNOWN


def may_settle(
    found_write: str | None,
    found_version: int,
    claim_write: str,
    base_version: int,
) -> bool:
    """Tells whether a claim's holder may write the claim's end.

    It may over its own claim, and over the row as it was before its claim:
    that write also keeps out a claim that is still on its way.

    Args:
      found_write: Write id in the row, None where there is no row.
      found_version: Version of the row; 0 where there is none.
      claim_write: Write id of the holder's claim.
      base_version: Version on which the claim was conditioned.
    """
    return found_write == claim_write or found_version == base_version
