"""A budget that bounds retries to a share of the requests."""

DEFAULT_RATIO = 0.1
DEFAULT_RESERVE = 3.0
DEFAULT_CAP = 100.0


class RetryBudget:
    """Tokens that requests earn and retries spend.

    Args:
      ratio: Tokens that each request earns.
      reserve: Tokens at the start, so that a quiet pool can retry.
      cap: Most tokens that can be saved up.
    """

    def __init__(
        self,
        ratio: float = DEFAULT_RATIO,
        reserve: float = DEFAULT_RESERVE,
        cap: float = DEFAULT_CAP,
    ):
        self._ratio = ratio
        self._cap = cap
        self._tokens = reserve

    @property
    def tokens(self) -> float:
        """Retries that are left."""
        return self._tokens

    def resize(self, cap: float) -> None:
        """Sets how many tokens can be saved up."""
        self._cap = cap
        self._tokens = min(self._tokens, cap)

    def note_request(self) -> None:
        """Earns a share of a retry."""
        self._tokens = min(self._cap, self._tokens + self._ratio)

    def spend(self) -> bool:
        """Takes one retry; False when the budget is used up."""
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True
