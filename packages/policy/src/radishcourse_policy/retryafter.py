"""Pauses that upstreams ask for in answers that turn a request away."""

import math

# A longer pause counts as this one. What asks for more is asked again then.
MAX_PAUSE_S = 300.0


def parse(value: bytes) -> float | None:
    """Returns the seconds of a Retry-After header, 0 to MAX_PAUSE_S.

    None for a value that is no number of seconds, such as a date.
    """
    try:
        seconds = float(value)
    except ValueError:
        return None
    if not math.isfinite(seconds) or seconds < 0:
        return None
    return min(seconds, MAX_PAUSE_S)
