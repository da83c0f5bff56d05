"""`EventHistory`: its limit, and the error for a watch that requires discarded events."""

from __future__ import annotations

import pytest

from wheatstile.store.commands import MAX_KEY_BYTES, MAX_VALUE_BYTES
from wheatstile.store.errors import WatchCompactedError
from wheatstile.store.event_history import (
    MAX_EVENT_BYTES_PER_READ,
    MAX_EVENTS,
    ChangeKind,
    Event,
    EventHistory,
)
from wheatstile.store.framing import MAX_REQUEST_BYTES, encode_frame
from wheatstile.store.protocol import Reply


def test_a_watch_that_requires_discarded_events_is_rejected() -> None:
    history = EventHistory()
    for revision in range(1, MAX_EVENTS + 3):
        history.append(Event(revision, "k", ChangeKind.PUT, b""))
    with pytest.raises(WatchCompactedError) as caught:
        history.after(1)
    assert caught.value.compacted_revision == 2
    assert history.after(2, limit=5)[0].revision == 3


def test_a_read_ends_with_the_revision_that_reaches_the_limit_in_bytes() -> None:
    """Guards against replies to a watch that are larger than a frame."""
    history = EventHistory()
    for revision in (1, 1, 2, 2, 3):
        history.append(Event(revision, "k", ChangeKind.PUT, bytes(MAX_EVENT_BYTES_PER_READ // 3)))
    assert [event.revision for event in history.after(0)] == [1, 1, 2, 2]
    assert [event.revision for event in history.after(2)] == [3]


def test_the_largest_revision_fits_into_a_frame() -> None:
    """One command may write as much as a request contains, and expire all keys whose events are kept."""
    history = EventHistory()
    history.append(Event(1, "k", ChangeKind.PUT, bytes(MAX_EVENT_BYTES_PER_READ - 2)))
    for _ in range(MAX_REQUEST_BYTES // MAX_VALUE_BYTES):
        history.append(Event(2, "k", ChangeKind.PUT, bytes(MAX_VALUE_BYTES)))
    while len(history.events) < MAX_EVENTS:
        history.append(Event(2, "k" * MAX_KEY_BYTES, ChangeKind.EXPIRE, b""))
    events = history.after(0, limit=MAX_EVENTS)
    assert len(events) == MAX_EVENTS
    encode_frame(Reply(events=events, revision=2))  # raises FrameTooLargeError
