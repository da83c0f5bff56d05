"""The store's clock while this member is the leader.

The committed clock is the latest time stamp of an applied command. From the application of its first entry, a
leader advances it by its own monotonic clock. The stamps of all earlier leaders are known then, so the clock
never goes back. It stops while there is no leader.
"""

from __future__ import annotations

import time

NANOSECONDS_PER_MS = 1_000_000
NOT_STARTED = 0
"""Value of `LeaderClock.term` before this member has been the leader."""


class LeaderClock:
    """A clock that runs from `start` on, for one term."""

    def __init__(self) -> None:
        self.term = NOT_STARTED
        self._base_ms = 0
        self._started_at_ns = 0

    def start(self, term: int, committed_ms: int) -> None:
        """Start the clock at the committed clock, as the leader of `term`."""
        self.term = term
        self._base_ms = committed_ms
        self._started_at_ns = time.monotonic_ns()

    def now_ms(self, committed_ms: int) -> int:
        """Return the running clock, which is never less than `committed_ms`."""
        elapsed_ms = (time.monotonic_ns() - self._started_at_ns) // NANOSECONDS_PER_MS
        return max(committed_ms, self._base_ms + elapsed_ms)
