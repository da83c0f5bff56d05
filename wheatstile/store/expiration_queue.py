"""The times at which keys expire, or at which deleted keys are discarded: at most one for each key."""

from __future__ import annotations

import heapq
from typing import NamedTuple

MAX_ENTRIES_PER_KEY = 4
"""Maximum size of the heap as a multiple of the number of keys, above which it is rebuilt."""
MIN_REBUILT_ENTRIES = 1_000
"""Size of the heap up to which it is not rebuilt."""


class Expiration(NamedTuple):
    """An entry of the heap. It is superseded if its key now has another time or none."""

    at_ms: int
    key: str


class ExpirationQueue:
    """Keys ordered by their times, and then by their names. Times are in ms of the store's clock."""

    def __init__(self) -> None:
        self._time_by_key: dict[str, int] = {}
        self._heap: list[Expiration] = []

    def set_time(self, key: str, at_ms: int) -> None:
        """Set the time of a key, which replaces the earlier one. 0 means that the key has no time."""
        if not at_ms:
            self._time_by_key.pop(key, None)
            return
        self._time_by_key[key] = at_ms
        heapq.heappush(self._heap, Expiration(at_ms, key))
        if len(self._heap) > max(MIN_REBUILT_ENTRIES, MAX_ENTRIES_PER_KEY * len(self._time_by_key)):
            self._heap = [Expiration(time_ms, each) for each, time_ms in self._time_by_key.items()]
            heapq.heapify(self._heap)

    def next_ms(self) -> int | None:
        """Return the earliest time, or None if no key has one."""
        while self._heap and self._time_by_key.get(self._heap[0].key) != self._heap[0].at_ms:
            heapq.heappop(self._heap)
        return self._heap[0].at_ms if self._heap else None

    def pop_due(self, now_ms: int) -> str | None:
        """Remove and return the next key whose time has come, or return None."""
        at_ms = self.next_ms()
        if at_ms is None or at_ms > now_ms:
            return None
        key = heapq.heappop(self._heap).key
        del self._time_by_key[key]
        return key
