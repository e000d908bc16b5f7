"""A budget that bounds retries to a share of the requests."""

DEFAULT_RATIO = 0.1
DEFAULT_RESERVE = 3.0
DEFAULT_CAP = 100.0


class RetryBudget:
    """Tokens that requests earn and retries spend.

    Args:
      ratio: Tokens that each request earns.
      reserve: Tokens at the start, so that a pool with few requests can retry.
      cap: Maximum number of tokens.
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
        """Tokens that are left; a retry costs one."""
        return self._tokens

    def resize(self, cap: float) -> None:
        """Sets the maximum number of tokens and drops those above it."""
        self._cap = cap
        self._tokens = min(self._tokens, cap)

    def note_request(self) -> None:
        """Adds the tokens that a request earns."""
        self._tokens = min(self._cap, self._tokens + self._ratio)

    def spend(self) -> bool:
        """Takes a token; returns False if less than one is left."""
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True
