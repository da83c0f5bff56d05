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
        """Return at most `limit` events after `revision`, plus the remaining events of the last revision.

        Raises `WatchCompactedError` if events after `revision` were discarded.
        """
        if revision < self.compacted_revision:
            raise WatchCompactedError(self.compacted_revision)
        start = bisect_right(self.events, revision, key=lambda event: event.revision)
        found: list[Event] = []
        for position in range(start, len(self.events)):
            event = self.events[position]
            if len(found) >= limit and event.revision != found[-1].revision:
                break
            found.append(event)
        return found
