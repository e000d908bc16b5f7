"""Positions in the history of the platform's store.

The store numbers its writes. When it comes back from a copy, its latest writes
are gone and their numbers are given again, for other contents: an era ends, and
a version is comparable only with others of its era. This module is the only one
that compares versions.
"""

import typing


class Position(typing.NamedTuple):
    """A point in the history of the store.

    Attributes:
      era: Number of the history; it increases each time that the store comes
        back from a copy.
      version: Number of the last write that is included; 0 for none.
    """

    era: int = 0
    version: int = 0

    @property
    def is_start(self) -> bool:
        """Whether nothing is known of the store at it."""
        return not self.version

    def is_after(self, other: 'Position') -> bool:
        """Tells whether a state at this position replaces one at another.

        A later era does, whatever the versions.
        """
        return (self.era, self.version) > (other.era, other.version)

    def is_of_later_era(self, other: 'Position') -> bool:
        """Tells whether the store was restored between another position and it.

        A position at the start is of no era.
        """
        return not other.is_start and self.era > other.era

    def is_of_earlier_era(self, other: 'Position') -> bool:
        """Tells whether the store was restored between it and another one."""
        return other.is_of_later_era(self)


START = Position()


def latest(first: Position, second: Position) -> Position:
    """Returns the one of two positions that replaces the other."""
    return second if second.is_after(first) else first
