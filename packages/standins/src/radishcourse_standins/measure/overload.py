"""Compares detectors that mark an upstream as overloaded by its load.

One upstream with 8 slots gets Poisson arrivals, at 70% of its capacity and,
in episodes, at 150%. Its load is observed every half second. A detector is
evaluated by the time to the first mark in an episode and by the marks outside
of episodes, which are false.

The detector with a prediction follows Wood et al., "Black-box and Gray-box
Strategies for Virtual Machine Migration", NSDI 2007: at least k = 3 of the
last n = 5 observations and the prediction of a first-order autoregression
exceed the threshold.
"""

import collections
import itertools
import random
import statistics
import typing

from radishcourse_standins.measure import report

SLOTS = 8
MEAN_SERVICE_S = 1.0
SAMPLE_INTERVAL_S = 0.5
THRESHOLDS = (1.25 * SLOTS, 1.75 * SLOTS, 2.25 * SLOTS)
NORMAL_LOAD, EPISODE_LOAD = 0.7, 1.5
NORMAL_S, EPISODE_S = 120.0, 20.0
# Time after an episode in which its backlog drains; marks in it do not count as
# false.
DRAIN_S = 60.0
EPISODES = 40
MIN_HISTORY = 5
MAX_HISTORY = 20
SEEDS = (1, 2, 3, 4, 5)

Detector = typing.Callable[[list[float], float], bool]


def above_threshold(loads: list[float], threshold: float) -> bool:
    """Tells whether the last observation is above the threshold."""
    return loads[-1] > threshold


def make_k_of_n(k: int, n: int, predict: bool) -> Detector:
    """Returns a detector that needs k of the last n observations above.

    Args:
      k: Observations that must be above the threshold.
      n: Observations that are considered.
      predict: Whether the predicted next load must be above it, too.
    """

    def detect(loads: list[float], threshold: float) -> bool:
        above = sum(load > threshold for load in loads[-n:])
        if above < k:
            return False
        return not predict or _predict(loads) > threshold

    return detect


DETECTORS: dict[str, Detector] = {
    'plain threshold': above_threshold,
    '2 of 2': make_k_of_n(2, 2, predict=False),
    '3 of 5': make_k_of_n(3, 5, predict=False),
    '3 of 5 and prediction': make_k_of_n(3, 5, predict=True),
}


def _predict(loads: list[float]) -> float:
    """Predicts the next load by a first-order autoregression."""
    mean = statistics.fmean(loads)
    pairs = list(itertools.pairwise(loads))
    squared_deviations = sum((load - mean) ** 2 for load in loads[:-1])
    if not pairs or not squared_deviations:
        return loads[-1]
    slope = sum((a - mean) * (b - mean) for a, b in pairs) / squared_deviations
    return mean + slope * (loads[-1] - mean)


def simulate(seed: int) -> list[tuple[float, float]]:
    """Simulates the upstream.

    Returns:
      Pairs of the time in the cycle, in seconds, and the observed load. A
      cycle is a normal period followed by an episode.
    """
    random_source = random.Random(seed)
    cycle = NORMAL_S + EPISODE_S
    now, load, trace = 0.0, 0, []
    next_sample_at = SAMPLE_INTERVAL_S
    while now < EPISODES * cycle:
        in_episode = now % cycle >= NORMAL_S
        arrival_rate = (
            (EPISODE_LOAD if in_episode else NORMAL_LOAD)
            * SLOTS
            / MEAN_SERVICE_S
        )
        departure_rate = min(load, SLOTS) / MEAN_SERVICE_S
        now += random_source.expovariate(arrival_rate + departure_rate)
        while next_sample_at < now:
            trace.append((next_sample_at % cycle, float(load)))
            next_sample_at += SAMPLE_INTERVAL_S
        load += (
            1
            if random_source.random() * (arrival_rate + departure_rate)
            < arrival_rate
            else -1
        )
    return trace


def evaluate(
    trace: list[tuple[float, float]], detect: Detector, threshold: float
) -> tuple[float, float]:
    """Evaluates a detector on a trace.

    Returns:
      Median delay of the first mark in an episode in seconds, and false marks
      per hour.
    """
    history: collections.deque[float] = collections.deque(maxlen=MAX_HISTORY)
    delays, false_marks, normal_s = [], 0, 0.0
    marked = False
    for cycle_time, load in trace:
        history.append(load)
        mark = len(history) >= MIN_HISTORY and detect(list(history), threshold)
        if cycle_time >= NORMAL_S:
            if mark and not marked:
                delays.append(cycle_time - NORMAL_S)
            marked = marked or mark
            continue
        if marked and cycle_time < SAMPLE_INTERVAL_S * 2:
            marked = False
        if cycle_time >= DRAIN_S:
            normal_s += SAMPLE_INTERVAL_S
            false_marks += mark
    marks_per_hour = false_marks / normal_s * 3600
    return statistics.median(delays), marks_per_hour


def main(folder: str = report.FOLDER) -> None:
    """Measures delay and false marks of each overload detector."""
    rows, figures = [], []
    traces = [simulate(seed) for seed in SEEDS]
    for threshold in THRESHOLDS:
        case = f'threshold {threshold:g}'
        for name, detect in DETECTORS.items():
            results = [evaluate(trace, detect, threshold) for trace in traces]
            delays, marks = (list(part) for part in zip(*results, strict=True))
            rows.append(report.Row(case, name, 'delay, s', delays))
            rows.append(report.Row(case, name, 'false marks/h', marks))
            figures.append(
                f'{case}, {name}: {statistics.median(delays):.2f} s,'
                f' {statistics.median(marks):.0f} false marks an hour'
            )
    report.publish('overload', rows, figures, folder)
