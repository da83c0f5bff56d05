"""`ExpirationQueue`: one time for each key, in order, and bounded memory."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from wheatstile.store.expiration_queue import MIN_REBUILT_ENTRIES, ExpirationQueue


@given(st.lists(st.tuples(st.sampled_from("abc"), st.integers(0, 5))), st.integers(0, 5))
def test_keys_are_due_once_by_their_last_times_and_in_order(
    times: list[tuple[str, int]], now_ms: int
) -> None:
    queue = ExpirationQueue()
    for key, at_ms in times:
        queue.set_time(key, at_ms)
    due = sorted((at_ms, key) for key, at_ms in dict(times).items() if 0 < at_ms <= now_ms)
    assert list(iter(lambda: queue.pop_due(now_ms), None)) == [key for _, key in due]
    later = [at_ms for at_ms in dict(times).values() if at_ms > now_ms]
    assert queue.next_ms() == min(later, default=None)


def test_a_key_that_is_renewed_often_uses_bounded_memory() -> None:
    """Guards against a member whose memory grows with each renewal of a lease."""
    queue = ExpirationQueue()
    for at_ms in range(1, 10 * MIN_REBUILT_ENTRIES):
        queue.set_time("k", at_ms)
    assert len(queue._heap) <= MIN_REBUILT_ENTRIES  # noqa: SLF001
    assert queue.next_ms() == at_ms
