"""`Progress`: probing and flow control."""

from __future__ import annotations

from wheatstile.store.raft.progress import Progress


def test_progress_lowers_next_index_on_a_rejection_and_limits_inflight_appends() -> None:
    progress = Progress(next_index=10)
    progress.on_append_sent(3)
    assert not progress.can_send()
    assert progress.on_append_rejected(9, 4)
    assert progress.next_index == 5
    progress.on_append_accepted(4)
    for _ in range(64):
        if progress.can_send():
            progress.on_append_sent(2)
    assert len(progress.inflight) == 32
    assert not progress.can_send()
    progress.on_append_accepted(10)
    assert progress.can_send()
    assert progress.match_index == 10
    assert not progress.on_append_rejected(7, 3), "an outdated rejection changed the progress"
