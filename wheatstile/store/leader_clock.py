"""The store's clock while this member leads.

The committed clock is the largest stamp of an applied command. A leader runs it on by its own monotonic
clock, from the moment when its first entry is applied: the stamps of all earlier leaders are known then. So
the clock stands while nobody leads, and never goes back.
"""

from __future__ import annotations

import time

NANOSECONDS_PER_MS = 1_000_000
NOT_STARTED = 0
"""As a term: this member has not led yet."""


class LeaderClock:
    """Runs from `start` on, for the term that is given there."""

    def __init__(self) -> None:
        self.term = NOT_STARTED
        self._base_ms = 0
        self._started_at_ns = 0

    def start(self, term: int, committed_ms: int) -> None:
        """Run on from the committed clock, as the leader of `term`."""
        self.term = term
        self._base_ms = committed_ms
        self._started_at_ns = time.monotonic_ns()

    def now_ms(self, committed_ms: int) -> int:
        """Return the running clock, which is never behind `committed_ms`."""
        elapsed_ms = (time.monotonic_ns() - self._started_at_ns) // NANOSECONDS_PER_MS
        return max(committed_ms, self._base_ms + elapsed_ms)
