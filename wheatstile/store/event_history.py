"""Bounded history of key changes in the order of their revisions, from which watches are served."""

from __future__ import annotations

import enum
from bisect import bisect_right
from collections import deque
from collections.abc import Iterable

import msgspec

from wheatstile.store.errors import WatchCompactedError

MAX_EVENTS = 10_000
"""Maximum number of stored events. A watch that requires older events is rejected."""
MAX_EVENTS_PER_READ = 256
MAX_EVENT_BYTES_PER_READ = 1 << 20
"""Maximum bytes of keys and values in one read; the revision that reaches this size is still included."""


class ChangeKind(enum.StrEnum):
    """The kind of a change; the values are used in snapshots and on the wire."""

    PUT = "put"
    DELETE = "delete"
    PURGE = "purge"
    EXPIRE = "expire"


class Event(msgspec.Struct, frozen=True, array_like=True):
    """One change of one key."""

    revision: int
    key: str
    change: ChangeKind
    value: bytes

    @property
    def size_bytes(self) -> int:
        """Bytes of the key and the value."""
        return len(self.key.encode()) + len(self.value)


class EventHistory:
    """The last `MAX_EVENTS` events; `compacted_revision` is the revision of the latest discarded event."""

    def __init__(self, events: Iterable[Event] = (), compacted_revision: int = 0) -> None:
        self.events: deque[Event] = deque(events)
        self.compacted_revision = compacted_revision

    def append(self, event: Event) -> None:
        """Add an event, and discard the oldest events if there are more than `MAX_EVENTS`."""
        self.events.append(event)
        while len(self.events) > MAX_EVENTS:
            self.compacted_revision = self.events.popleft().revision

    def after(self, revision: int, limit: int = MAX_EVENTS_PER_READ) -> list[Event]:
        """Return the next events after `revision`, up to a limit of their number and their bytes.

        The revision that reaches `limit` or `MAX_EVENT_BYTES_PER_READ` is the last one, and complete. One
        revision has at most the values of one request and `MAX_EVENTS` keys. Raises `WatchCompactedError` if
        events after `revision` were discarded.
        """
        if revision < self.compacted_revision:
            raise WatchCompactedError(self.compacted_revision)
        start = bisect_right(self.events, revision, key=lambda event: event.revision)
        found: list[Event] = []
        found_bytes = 0
        for position in range(start, len(self.events)):
            event = self.events[position]
            is_full = len(found) >= limit or found_bytes >= MAX_EVENT_BYTES_PER_READ
            if is_full and event.revision != found[-1].revision:
                break
            found.append(event)
            found_bytes += event.size_bytes
        return found
