"""Whether an upstream has a free slot, and whether waiting can pay off."""

# A report of load that is older than this says nothing of the present.
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

    A node that runs nothing there may always send one request, so that no
    node is starved by old reports of the others' load.

    Args:
      slots: Requests that the upstream runs at once.
      in_flight: Requests of this node that it runs now.
      reported: Requests that it reported last.
      reported_own: Requests of this node that it ran then.
      report_age_s: Age of that report.
    """
    if in_flight == 0:
        return True
    others = 0.0
    if report_age_s <= MAX_REPORT_AGE_S:
        others = max(0.0, reported - reported_own)
    return in_flight + others < slots


def update_mean(previous: float | None, seconds: float) -> float:
    """Returns the running mean of durations after one more."""
    if previous is None:
        return seconds
    return previous + MEAN_WEIGHT * (seconds - previous)


def can_meet_deadline(
    remaining_s: float, ahead: int, slots: int, mean_s: float | None
) -> bool:
    """Tells whether a job that waits for a slot can meet its deadline.

    Args:
      remaining_s: Time to its deadline.
      ahead: Jobs that wait before it.
      slots: Slots of the upstreams that may take it.
      mean_s: Mean duration of a job there, or None when none has ended.
    """
    if mean_s is None:
        return remaining_s > 0
    # A slot comes free every mean_s / slots; then the job itself runs.
    return remaining_s >= (ahead + 1) * mean_s / max(1, slots) + mean_s
