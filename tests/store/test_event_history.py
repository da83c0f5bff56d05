"""`EventHistory`: its limit, and the error for a watch that requires discarded events."""

from __future__ import annotations

import pytest

from wheatstile.store.errors import WatchCompactedError
from wheatstile.store.event_history import MAX_EVENTS, ChangeKind, Event, EventHistory


def test_a_watch_that_requires_discarded_events_is_rejected() -> None:
    history = EventHistory()
    for revision in range(1, MAX_EVENTS + 3):
        history.append(Event(revision, "k", ChangeKind.PUT, b""))
    with pytest.raises(WatchCompactedError) as caught:
        history.after(1)
    assert caught.value.compacted_revision == 2
    assert history.after(2, limit=5)[0].revision == 3
