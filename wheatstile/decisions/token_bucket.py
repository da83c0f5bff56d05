"""A token bucket whose rate grows additively with time and shrinks multiplicatively with failures."""

from dataclasses import dataclass

SECOND_US = 1_000_000


@dataclass(slots=True)
class AdaptiveTokenBucket:
    """Additive increase, multiplicative decrease (AIMD). `rate` is the rate for a size of 1."""

    rate: float
    max_rate: float
    min_rate: float
    increase_per_s: float
    decrease_ratio: float
    tokens: float = 1.0
    updated_at_us: int = 0

    def on_failure(self) -> None:
        """Slow down."""
        self.rate = max(self.min_rate, self.rate * self.decrease_ratio)

    def seconds_since_update(self, now_us: int) -> float:
        """The seconds since the last call of `try_acquire`."""
        return (now_us - self.updated_at_us) / SECOND_US

    def try_acquire(self, now_us: int, size: float, lifetime_s: float) -> bool:
        """Spend a token if there is one; tokens come at `rate * size / lifetime_s` a second."""
        passed_s = self.seconds_since_update(now_us)
        self.updated_at_us = now_us
        self.rate = min(self.max_rate, self.rate + self.increase_per_s * size * passed_s)
        tokens_per_s = self.rate * size / lifetime_s
        self.tokens = min(self.tokens + tokens_per_s * passed_s, max(1.0, tokens_per_s / 2))
        is_allowed = self.tokens >= 1
        self.tokens -= is_allowed
        return is_allowed
