"""Expected time to read a prompt, learned from the answers.

Reading a prompt takes time for each token, and more for long prompts, since
attention grows with the square. A long prompt holds up all others at its
upstream, so this time is what placement has to balance.
"""

# Prompt length at which attention takes as long as all the rest; a property
# of the engines' hardware, taken from the users' sheet of their engines.
QUADRATIC_TOKENS = 24_000
# Until answers were seen: seconds for a weighted token.
SECONDS_PER_TOKEN = 1 / 100_000
# Prompts shorter than this tell more of the queue than of the engine.
LEAST_WEIGHT = 1500.0
# The fastest answers tell the engine's speed, as the others had to wait; the
# memory of one fades by this share with each answer, so that the estimate
# follows an engine that becomes slower.
FADING = 0.02


def weight(prompt: int, cached: int = 0) -> float:
    """Returns the work of reading a prompt, in tokens of a short one.

    Args:
      prompt: Tokens of the prompt.
      cached: Those of its first tokens that need not be read.
    """

    def until(tokens: int) -> float:
        return tokens * (1 + tokens / QUADRATIC_TOKENS)

    return until(prompt) - until(min(cached, prompt))


class Speeds:
    """Seconds for a weighted token by service and model."""

    def __init__(self):
        self._by_model: dict[tuple[str, str], float] = {}

    def seconds(self, service: str, model: str, tokens: float) -> float:
        """Returns the expected time to read some weighted tokens."""
        rate = self._by_model.get((service, model), SECONDS_PER_TOKEN)
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
        if tokens < LEAST_WEIGHT:
            return
        rate = seconds / tokens
        known = self._by_model.get((service, model))
        if known is not None:
            rate = min(rate, known * (1 + FADING))
        self._by_model[(service, model)] = rate
