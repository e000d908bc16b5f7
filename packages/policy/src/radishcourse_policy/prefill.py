"""Expected prefill time of a prompt, learned from the answers.

Prefill, the processing of a prompt, takes time for each token, and more in long
prompts, since attention grows with the square of the length. A long prompt
delays all others at its upstream, so load balancing uses this time.
"""

# Prompt length at which attention takes as long as all other work; a property
# of the engines' hardware, from the users' data sheet.
QUADRATIC_PARITY_TOKENS = 24_000
# Seconds per weighted token until the first answer.
DEFAULT_SECONDS_PER_TOKEN = 1 / 100_000
# The times of shorter prompts depend more on the queue than on the engine.
MIN_WEIGHTED_TOKENS = 1500.0
# Share by which one answer can raise the estimate. The fastest answers show
# the engine's speed, as the others had to wait, but the estimate must also
# follow an engine that becomes slower.
MAX_RATE_GROWTH = 0.02


def weighted_tokens(prompt: int, cached: int = 0) -> float:
    """Returns the work to prefill a prompt, in tokens of a short prompt.

    Args:
      prompt: Tokens of the prompt.
      cached: Tokens of its prefix that are cached.
    """

    def work_of(tokens: int) -> float:
        return tokens * (1 + tokens / QUADRATIC_PARITY_TOKENS)

    return work_of(prompt) - work_of(min(cached, prompt))


class PrefillRates:
    """Estimated seconds per weighted token, by service and model."""

    def __init__(self):
        self._rates: dict[tuple[str, str], float] = {}

    def seconds(self, service: str, model: str, tokens: float) -> float:
        """Returns the expected time to prefill some weighted tokens."""
        rate = self._rates.get((service, model), DEFAULT_SECONDS_PER_TOKEN)
        return rate * tokens

    def update(
        self, service: str, model: str, tokens: float, seconds: float
    ) -> None:
        """Updates the estimate with the time to the head of an answer.

        Args:
          service: The service.
          model: The model.
          tokens: Weighted tokens of the whole prompt.
          seconds: Time from sending the request to the head of the answer.
        """
        if tokens < MIN_WEIGHTED_TOKENS:
            return
        rate = seconds / tokens
        previous = self._rates.get((service, model))
        if previous is not None:
            rate = min(rate, previous * (1 + MAX_RATE_GROWTH))
        self._rates[(service, model)] = rate
