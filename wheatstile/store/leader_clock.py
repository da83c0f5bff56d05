"""Provides the store's clock while this member is the leader.

The committed clock is the latest timestamp of an applied command. A leader advances this clock by its
own monotonic clock, but only after it has applied the first entry of its term. The commands of all earlier
leaders precede this entry, so the clock never goes back. The clock stops while there is no leader.
"""

from __future__ import annotations

import time

NS_PER_MS = 1_000_000
NOT_STARTED = 0
"""Value of `LeaderClock.term` before this member becomes the leader for the first time."""


class LeaderClock:
    """A clock that runs for one term, from the call of `start`."""

    def __init__(self) -> None:
        self.term = NOT_STARTED
        self._base_ms = 0
        self._started_at_ns = 0

    def start(self, term: int, committed_ms: int) -> None:
        """Start the clock at `committed_ms`, as the leader of `term`."""
        self.term = term
        self._base_ms = committed_ms
        self._started_at_ns = time.monotonic_ns()

    def now_ms(self, committed_ms: int) -> int:
        """Return the time of this clock, which is never less than `committed_ms`."""
        elapsed_ms = (time.monotonic_ns() - self._started_at_ns) // NS_PER_MS
        return max(committed_ms, self._base_ms + elapsed_ms)
