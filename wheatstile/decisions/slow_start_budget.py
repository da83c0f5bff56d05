"""The token bucket that limits the attempts of this balancer at one server in slow start."""

from random import Random

FIRST_ATTEMPT_COST = 1  # tokens that a first attempt requires; any attempt is charged this number
RETRY_COST = 2  # tokens that a retry requires; higher, since most attempts in a reconnect burst are retries
USED_DRAW = 1.0  # replaces a draw that has been used; it is not below any probability


class SlowStartBudget:
    """The tokens of one server, refilled at a rate that `SlowStart` provides.

    If less than one token is refilled in a window, that fraction is the probability of one attempt in the
    window. Only one draw is made per window, since one of many draws would almost certainly succeed.
    """

    __slots__ = ("_draw", "_draw_expires_at_us", "_last_attempt_at_us", "tokens", "updated_at_us")

    def __init__(self) -> None:
        self.tokens = 0.0
        self.updated_at_us = 0
        self._draw = USED_DRAW  # last draw, from 0 to 1
        self._draw_expires_at_us = 0
        self._last_attempt_at_us = -1

    def reset(self, started_at_us: int, now_us: int, window_us: int, random: Random) -> None:
        """Reset the budget of a restarted server.

        An attempt that was sent after the restart, but before discovery reported it, is charged to the new
        budget.
        """
        self.tokens = random.random()
        self.updated_at_us = now_us
        self._draw_expires_at_us = 0
        if self._last_attempt_at_us >= started_at_us:
            self.tokens -= FIRST_ATTEMPT_COST
            self._draw_expires_at_us = self._last_attempt_at_us + window_us

    def charge(self, now_us: int) -> None:
        """Charge an attempt that is sent now, and use up the draw of this window."""
        self.tokens -= FIRST_ATTEMPT_COST
        self._draw = USED_DRAW
        self._last_attempt_at_us = now_us

    def permits(self, cost: int, tokens_per_us: float, window_us: int, now_us: int, random: Random) -> bool:
        """Refill the bucket. Return whether the budget permits an attempt of this cost (in tokens)."""
        tokens_per_window = window_us * tokens_per_us
        self._refill(tokens_per_us, tokens_per_window, now_us)
        if tokens_per_window >= 1:
            return self.tokens >= cost
        return self._draw_for_window(window_us, now_us, random) * cost < tokens_per_window

    def _refill(self, tokens_per_us: float, max_tokens: float, now_us: int) -> None:
        gained = (now_us - self.updated_at_us) * tokens_per_us
        self.tokens = min(max_tokens, self.tokens + gained)
        self.updated_at_us = now_us

    def _draw_for_window(self, window_us: int, now_us: int, random: Random) -> float:
        if now_us >= self._draw_expires_at_us:
            self._draw = random.random()
            self._draw_expires_at_us = now_us + window_us
        return self._draw
