"""A token bucket whose rate increases additively over time and is reduced by a factor on failure (AIMD)."""

from dataclasses import dataclass

SECOND_US = 1_000_000
MAX_BURST_S = 0.5  # the bucket holds the refill of this time, but at least one token


@dataclass(frozen=True, slots=True)
class TokenRates:
    """The initial value, bounds and steps of a rate, in tokens per rate period and unit of scale."""

    initial: float
    max: float
    min: float
    increase_per_s: float  # multiplied by the scale
    decrease_factor: float  # multiplies the rate at each failure


class AdaptiveTokenBucket:
    """A bucket that is refilled with `rate * scale / rate_period_s` tokens per second.

    The caller passes the scale with each call. Here it is the number of connections, since the number of
    failures is proportional to it.
    """

    __slots__ = ("_rates", "_rate_period_s", "rate", "tokens", "updated_at_us")

    def __init__(self, rates: TokenRates, rate_period_s: float) -> None:
        self._rates = rates
        self._rate_period_s = rate_period_s
        self.rate = rates.initial
        self.tokens = 1.0
        self.updated_at_us = 0

    def start(self, now_us: int) -> None:
        """Start the refill at this time."""
        self.updated_at_us = now_us

    def on_failure(self) -> None:
        """Reduce the rate."""
        self.rate = max(self._rates.min, self.rate * self._rates.decrease_factor)

    def seconds_since_update(self, now_us: int) -> float:
        """Return the seconds since the last call of `try_acquire`, or since the start."""
        return (now_us - self.updated_at_us) / SECOND_US

    def try_acquire(self, now_us: int, scale: float) -> bool:
        """Refill the bucket and take one token. Return whether one was available."""
        elapsed_s = self.seconds_since_update(now_us)
        self.updated_at_us = now_us
        self.rate = min(self._rates.max, self.rate + self._rates.increase_per_s * scale * elapsed_s)
        tokens_per_s = self.rate * scale / self._rate_period_s
        max_tokens = max(1.0, tokens_per_s * MAX_BURST_S)
        self.tokens = min(self.tokens + tokens_per_s * elapsed_s, max_tokens)
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True
