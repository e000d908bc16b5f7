"""One account of the bytes that a process holds for its clients.

Clients decide how much a process holds: bodies that do not end, requests sent
ahead, responses that they do not read. Each of these is a `Holding`. When the
budget is used up, the largest holdings give way first, and of those of about
the same size the one that has not grown for the longest time. Small holdings
have a part of the budget to themselves.
"""

import collections
import enum
import typing

from radishcourse_node import events

# Resident memory of a process that holds nothing: 45 MiB after its start, and
# up to 56 MiB with the tables of a fleet.
BASE_BYTES = 56 * 2**20
# A held byte takes up to 1.5 bytes of memory (growth of buffers, parsers,
# fragmentation), and the system of the VM needs some, too.
BUDGET_SHARE = 0.5
# Part of the budget that holdings above SMALL_BYTES can't use.
SMALL_SHARE = 0.25
# Long prompts (72 KB) count as small, also with the copy that is sent on.
SMALL_BYTES = 256 * 1024
# Room is made down to this part of the budget, so that not every further byte
# leads to another search.
LOW_WATERMARK = 15 / 16
LOG_INTERVAL_S = 1.0


class Kind(enum.Enum):
    """What is held, or which other limit is enforced."""

    BODY = 'body'
    UNREAD = 'unread'
    INPUT = 'input'
    RESPONSE = 'response'
    FRAME = 'frame'
    CONNECTION = 'connection'
    PEER = 'peer'


class Exhausted(Exception):
    """The budget is used up, and this holding gave way."""


def budget_bytes(memory_bytes: int | None) -> int | None:
    """Returns the budget on a VM, in bytes.

    Args:
      memory_bytes: Memory of the VM in bytes; None if it is not known, and
        then nothing is limited.
    """
    if memory_bytes is None:
        return None
    left = max(memory_bytes - BASE_BYTES, memory_bytes // 4)
    return int(left * BUDGET_SHARE)


class Holding:
    """Bytes held for one client.

    Attributes:
      kind: What is held.
      size: Bytes that are held.
      grown_at: When it last grew, in seconds.
      gone: Whether it gave way or was released.
    """

    __slots__ = ('_account', '_give_way', 'gone', 'grown_at', 'kind', 'size')

    def __init__(self, account: 'Account', kind: Kind, give_way):
        self._account = account
        self._give_way = give_way
        self.kind = kind
        self.size = 0
        self.grown_at = 0.0
        self.gone = False

    @property
    def pinned(self) -> bool:
        """Whether the bytes are needed until they are released."""
        return self._give_way is None

    def resize(self, size: int) -> None:
        """Sets the number of held bytes.

        Raises:
          Exhausted: The budget is used up, and this holding gave way.
        """
        if not self.try_resize(size):
            raise Exhausted('memory for requests is used up')

    def try_resize(self, size: int) -> bool:
        """Sets the number of held bytes; returns False if it gave way."""
        if size != self.size and not self.gone:
            self._account.change(self, size)
        return not self.gone

    def pin(self, size: int) -> None:
        """Sets the size of bytes that can no longer be given up.

        Raises:
          Exhausted: The budget is used up, and this holding gave way.
        """
        self.resize(size)
        self._give_way = None

    def release(self) -> None:
        """Removes the bytes from the account; no more are added."""
        self._account.remove(self)
        self.gone = True

    def give_way(self) -> None:
        """Frees the bytes, because the budget is used up."""
        give_way, self._give_way = self._give_way, None
        self.release()
        give_way()


class Account:
    """The bytes that a process holds for its clients.

    Args:
      clock: Source of time.
      budget: Most bytes that may be held, None without a limit.

    Attributes:
      budget: Most bytes that may be held, None without a limit.
      total: Bytes that are held.
      peak: Most bytes that were held at any time.
      closed: Holdings that gave way and connections refused, by kind.
    """

    def __init__(self, clock, budget: int | None = None):
        self._clock = clock
        self.budget = budget
        self.total = 0
        self.peak = 0
        self.closed: collections.Counter[Kind] = collections.Counter()
        self._large_total = 0
        self._holdings: set[Holding] = set()
        self._logged: dict[Kind, tuple[float, int]] = {}

    def open(self, kind: Kind, give_way: typing.Callable[[], None]) -> Holding:
        """Returns a new holding of no bytes.

        Args:
          kind: What is held.
          give_way: Called once if the holding must free its bytes.
        """
        return Holding(self, kind, give_way)

    def change(self, holding: Holding, size: int) -> None:
        """Changes the size of a holding; makes room if it has grown."""
        grown = size > holding.size
        self._set_size(holding, size)
        if not grown:
            return
        holding.grown_at = self._clock.now()
        self.peak = max(self.peak, self.total)
        if self.budget is None:
            return
        large = int(self.budget * (1 - SMALL_SHARE))
        if self._large_total > large:
            self._make_room(
                lambda: self._large_total > large * LOW_WATERMARK, SMALL_BYTES
            )
        if self.total > self.budget:
            self._make_room(lambda: self.total > self.budget * LOW_WATERMARK, 0)

    def remove(self, holding: Holding) -> None:
        """Removes a holding."""
        self._set_size(holding, 0)

    def _set_size(self, holding: Holding, size: int) -> None:
        before, holding.size = holding.size, size
        self.total += size - before
        self._large_total += size * (size > SMALL_BYTES)
        self._large_total -= before * (before > SMALL_BYTES)
        if size:
            self._holdings.add(holding)
        else:
            self._holdings.discard(holding)

    def _make_room(self, is_full, above: int) -> None:
        candidates = sorted(
            (
                holding
                for holding in self._holdings
                if holding.size > above and not holding.pinned
            ),
            key=lambda item: (item.size.bit_length(), -item.grown_at),
        )
        while candidates and is_full():
            holding = candidates.pop()
            if not holding.gone and holding.size:
                size = holding.size
                holding.give_way()
                self.count(holding.kind, size)

    def count(self, kind: Kind, size: int = 0) -> None:
        """Counts what was closed or refused; logs it once a second.

        Args:
          kind: What was closed.
          size: Bytes that it held.
        """
        self.closed[kind] += 1
        now = self._clock.now()
        logged_at, logged = self._logged.get(kind, (float('-inf'), 0))
        if now - logged_at < LOG_INTERVAL_S:
            return
        self._logged[kind] = (now, self.closed[kind])
        events.log(
            events.Event.CLIENT_LIMITED,
            kind=kind.value,
            count=self.closed[kind] - logged,
            size=size,
            held=self.total,
            budget=self.budget,
        )

    def gauges(self) -> dict[str, float]:
        """Returns the gauges of the account by metric name."""
        return {
            'radishcourse_client_bytes': self.total,
            'radishcourse_client_bytes_most': self.peak,
            'radishcourse_client_bytes_budget': self.budget or 0,
            **{
                f'radishcourse_clients_limited_{kind.value}': self.closed[kind]
                for kind in Kind
            },
        }
