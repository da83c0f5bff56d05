"""A token bucket whose rate grows additively with time and shrinks multiplicatively with failures."""

from dataclasses import dataclass

SECOND_US = 1_000_000


@dataclass(slots=True)
class AdaptiveTokenBucket:
    """Additive increase, multiplicative decrease (AIMD). `pace` is the rate for a size of 1."""

    pace: float
    max_pace: float
    min_pace: float
    increase_per_s: float
    decrease_factor: float
    tokens: float = 1.0
    updated_at_us: int = 0

    def on_failure(self) -> None:
        """Slow down."""
        self.pace = max(self.min_pace, self.pace * self.decrease_factor)

    def seconds_since_update(self, now_us: int) -> float:
        """The seconds since the last call of `try_acquire`."""
        return (now_us - self.updated_at_us) / SECOND_US

    def try_acquire(self, now_us: int, size: float, seconds_per_pace: float) -> bool:
        """Spend a token if there is one; tokens come at `pace * size / seconds_per_pace` a second."""
        passed_s = self.seconds_since_update(now_us)
        self.updated_at_us = now_us
        self.pace = min(self.max_pace, self.pace + self.increase_per_s * size * passed_s)
        rate = self.pace * size / seconds_per_pace
        self.tokens = min(self.tokens + rate * passed_s, max(1.0, rate / 2))
        is_allowed = self.tokens >= 1
        self.tokens -= is_allowed
        return is_allowed
