"""`divide_reply`: results that are larger than one frame."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from wheatstile.store.commands import MAX_VALUE_BYTES
from wheatstile.store.event_history import ChangeKind
from wheatstile.store.framing import encode_frame
from wheatstile.store.protocol import ErrorCode, KeyVersion, Reply
from wheatstile.store.reply_parts import divide_reply


@given(st.lists(st.integers(0, MAX_VALUE_BYTES), max_size=12))
def test_the_parts_of_a_reply_have_its_versions_in_order_and_fit_into_frames(sizes: list[int]) -> None:
    versions = [
        KeyVersion(f"k/{number}", number, ChangeKind.PUT, bytes(size)) for number, size in enumerate(sizes)
    ]
    reply = Reply(versions=versions, revision=9, commit_age_ms=3)
    *earlier, last = divide_reply(reply)
    assert [version for part in [*earlier, last] for version in part.versions] == versions
    assert {part.error for part in earlier} <= {ErrorCode.PARTIAL}
    assert (last.error, last.revision, last.commit_age_ms) == (ErrorCode.NONE, 9, 3)
    for part in [*earlier, last]:
        encode_frame(part)  # raises FrameTooLargeError


def test_a_small_reply_is_not_divided() -> None:
    reply = Reply(ErrorCode.STALE, "why", commit_age_ms=7)
    assert list(divide_reply(reply)) == [reply]
