"""Expected time to read a prompt, learned from the answers.

Reading a prompt takes time for each token, and more for long prompts, since
attention grows with the square. A long prompt holds up all others at its
upstream, so this time is what placement has to balance.
"""

# Prompt length at which attention takes as long as all the rest; a property
# of the engines' hardware, taken from the users' sheet of their engines.
QUADRATIC_PARITY_TOKENS = 24_000
# Until answers were seen: seconds for a weighted token.
DEFAULT_SECONDS_PER_TOKEN = 1 / 100_000
# Prompts shorter than this tell more of the queue than of the engine.
MIN_WEIGHTED_TOKENS = 1500.0
# The fastest answers tell the engine's speed, as the others had to wait; the
# memory of one fades by this share with each answer, so that the estimate
# follows an engine that becomes slower.
MAX_RATE_GROWTH = 0.02


def weighted_tokens(prompt: int, cached: int = 0) -> float:
    """Returns the work of reading a prompt, in tokens of a short one.

    Args:
      prompt: Tokens of the prompt.
      cached: Those of its first tokens that need not be read.
    """

    def work_of(tokens: int) -> float:
        return tokens * (1 + tokens / QUADRATIC_PARITY_TOKENS)

    return work_of(prompt) - work_of(min(cached, prompt))


class PrefillRates:
    """Seconds for a weighted token by service and model."""

    def __init__(self):
        self._rates: dict[tuple[str, str], float] = {}

    def seconds(self, service: str, model: str, tokens: float) -> float:
        """Returns the expected time to read some weighted tokens."""
        rate = self._rates.get((service, model), DEFAULT_SECONDS_PER_TOKEN)
        return rate * tokens

    def note(
        self, service: str, model: str, tokens: float, seconds: float
    ) -> None:
        """Notes the time until the head of an answer.

        Args:
          service: The service.
          model: The model.
          tokens: Weighted tokens of the whole prompt.
          seconds: Time from sending to the head.
        """
        if tokens < MIN_WEIGHTED_TOKENS:
            return
        rate = seconds / tokens
        previous = self._rates.get((service, model))
        if previous is not None:
            rate = min(rate, previous * (1 + MAX_RATE_GROWTH))
        self._rates[(service, model)] = rate
