"""A token bucket whose rate grows additively with time and shrinks multiplicatively with failures (AIMD)."""

from dataclasses import dataclass

SECOND_US = 1_000_000
MAX_BURST_S = 0.5  # the bucket holds at most the tokens of this time, or one


@dataclass(frozen=True, slots=True)
class TokenRates:
    """The bounds and steps of a rate."""

    initial: float
    max: float
    min: float
    increase_per_s: float
    decrease_factor: float


class AdaptiveTokenBucket:
    """Tokens are refilled at `rate * size / renewal_time_s` a second; the size is given with each call."""

    __slots__ = ("_rates", "_renewal_time_s", "rate", "tokens", "updated_at_us")

    def __init__(self, rates: TokenRates, renewal_time_s: float) -> None:
        self._rates = rates
        self._renewal_time_s = renewal_time_s
        self.rate = rates.initial
        self.tokens = 1.0
        self.updated_at_us = 0

    def on_failure(self) -> None:
        """Reduce the rate."""
        self.rate = max(self._rates.min, self.rate * self._rates.decrease_factor)

    def seconds_since_update(self, now_us: int) -> float:
        """Return the seconds since the last call of `try_acquire`."""
        return (now_us - self.updated_at_us) / SECOND_US

    def try_acquire(self, now_us: int, size: float) -> bool:
        """Refill the bucket and take one token. Return whether there was one."""
        elapsed_s = self.seconds_since_update(now_us)
        self.updated_at_us = now_us
        self.rate = min(self._rates.max, self.rate + self._rates.increase_per_s * size * elapsed_s)
        tokens_per_s = self.rate * size / self._renewal_time_s
        max_tokens = max(1.0, tokens_per_s * MAX_BURST_S)
        self.tokens = min(self.tokens + tokens_per_s * elapsed_s, max_tokens)
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True
