"""Rules for calls that one node at a time may make, and what breaks them."""

import typing


class Call(typing.NamedTuple):
    """A call of a holder.

    Attributes:
      at: When it arrived, in seconds.
      subject: What it is about; tokens and holders are compared within one.
      holder: The node that sent it.
      token: Its fencing token.
    """

    at: float
    subject: str
    holder: str
    token: int


class Rules:
    """Judges calls in the order of their arrival.

    Args:
      lease_s: Time within which holders must not alternate, in seconds.

    Attributes:
      calls: All calls.
      broken: One line for each call that broke a rule.
      windows: Reported counts by window.
    """

    def __init__(self, lease_s: float):
        self._lease_s = lease_s
        self._highest: dict[str, int] = {}
        self._holders: dict[tuple[str, int], str] = {}
        self.calls: list[Call] = []
        self.broken: list[str] = []
        self.windows: dict[int, dict[str, int]] = {}

    def note(self, call: Call) -> None:
        """Judges a call."""
        highest = self._highest.get(call.subject, 0)
        if call.token < highest:
            self.broken.append(f'token below {highest}: {call}')
        self._highest[call.subject] = max(highest, call.token)
        name = (call.subject, call.token)
        if self._holders.setdefault(name, call.holder) != call.holder:
            self.broken.append(f'token of {self._holders[name]}: {call}')
        if self._alternates(call):
            self.broken.append(f'holders alternate: {call}')
        self.calls.append(call)

    def _alternates(self, call: Call) -> bool:
        between = False
        for earlier in reversed(self.calls):
            if call.at - earlier.at > self._lease_s:
                return False
            if earlier.subject != call.subject:
                continue
            if earlier.holder != call.holder:
                between = True
            elif between:
                return True
        return False

    def note_report(self, window: int, counts: dict[str, int]) -> None:
        """Judges the counts of a window."""
        if self.windows.setdefault(window, counts) != counts:
            self.broken.append(
                f'window {window}: {counts} after {self.windows[window]}'
            )
