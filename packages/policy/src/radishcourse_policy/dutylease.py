"""Leases by which one node at a time performs a duty."""

import enum


class Duty(enum.Enum):
    """What one node at a time does for the whole fleet."""

    USAGE = 'usage'
    SCALING = 'scaling'
