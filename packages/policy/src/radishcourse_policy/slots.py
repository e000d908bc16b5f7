"""Free slots of upstreams, and whether a job can wait for one.

A slot is room for one request that an upstream runs.
"""

# Older load reports are ignored.
MAX_REPORT_AGE_S = 2.0
# Weight of the newest duration in the running mean.
MEAN_WEIGHT = 0.2


def is_free(
    slots: int,
    in_flight: int,
    reported: float,
    reported_own: int,
    report_age_s: float,
) -> bool:
    """Tells whether an upstream can run one more request now.

    A node without a request in progress there may always send one, so that
    no node is starved by old reports of the others' load.

    Args:
      slots: Requests that the upstream runs at once.
      in_flight: Requests of this node in progress there now.
      reported: Requests in progress in the upstream's latest load report.
      reported_own: Those of them that were this node's.
      report_age_s: Age of that report.
    """
    if in_flight == 0:
        return True
    others = 0.0
    if report_age_s <= MAX_REPORT_AGE_S:
        others = max(0.0, reported - reported_own)
    return in_flight + others < slots


def update_mean(previous: float | None, seconds: float) -> float:
    """Returns the running mean of durations in seconds after one more."""
    if previous is None:
        return seconds
    return previous + MEAN_WEIGHT * (seconds - previous)


def can_meet_deadline(
    remaining_s: float, ahead: int, slots: int, mean_s: float | None
) -> bool:
    """Tells whether a job that waits for a slot can meet its deadline.

    Args:
      remaining_s: Time to its deadline.
      ahead: Jobs that are ahead of it in the queue.
      slots: Slots of all upstreams that may take it.
      mean_s: Mean duration of a job there, or None if none has ended.
    """
    if mean_s is None:
        return remaining_s > 0
    # A slot becomes free every mean_s / slots; then the job itself runs.
    return remaining_s >= (ahead + 1) * mean_s / max(1, slots) + mean_s
