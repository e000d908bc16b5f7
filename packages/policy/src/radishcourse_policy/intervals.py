"""Sets of sequence numbers as sorted, disjoint, closed intervals."""

import typing

Interval = tuple[int, int]
Intervals = tuple[Interval, ...]

EMPTY: Intervals = ()


def contains(intervals: Intervals, number: int) -> bool:
    """Tells whether a number is in the set."""
    return any(first <= number <= last for first, last in intervals)


def add(intervals: Intervals, numbers: typing.Iterable[int]) -> Intervals:
    """Returns the set with some numbers added."""
    return union(intervals, ((number, number) for number in numbers))


def union(intervals: Intervals, others: typing.Iterable[Interval]) -> Intervals:
    """Returns the union of two sets; `others` may overlap and be unsorted."""
    pieces = [*intervals, *others]
    merged: list[Interval] = []
    for first, last in sorted(pieces):
        if merged and first <= merged[-1][1] + 1:
            start, end = merged[-1]
            merged[-1] = (start, max(end, last))
        else:
            merged.append((first, last))
    return tuple(merged)


def size(intervals: Intervals) -> int:
    """Returns how many numbers are in the set."""
    return sum(last - first + 1 for first, last in intervals)
