"""`divide_reply`: results that are larger than one frame."""

from __future__ import annotations

from hypothesis import given, settings
from hypothesis import strategies as st

from wheatstile.store.commands import MAX_KEY_BYTES, MAX_VALUE_BYTES
from wheatstile.store.event_history import ChangeKind
from wheatstile.store.framing import MAX_FRAME_BYTES, encode_frame
from wheatstile.store.protocol import ErrorCode, KeyVersion, Reply
from wheatstile.store.reply_parts import divide_reply

LAST_INTEGER = 2**64 - 1


@settings(max_examples=30, deadline=None)
@given(st.lists(st.sampled_from([0, MAX_VALUE_BYTES // 3, MAX_VALUE_BYTES]), min_size=20, max_size=40))
def test_the_parts_of_a_reply_have_its_versions_in_order_and_fit_into_frames(sizes: list[int]) -> None:
    versions = [
        KeyVersion("k" * MAX_KEY_BYTES, number, ChangeKind.PURGE, bytes(size), LAST_INTEGER)
        for number, size in enumerate(sizes)
    ]
    *earlier, last = divide_reply(Reply(versions=versions, revision=9, commit_age_ms=3))
    assert earlier or sum(sizes) < MAX_FRAME_BYTES
    assert [version for part in [*earlier, last] for version in part.versions] == versions
    assert {part.error for part in earlier} <= {ErrorCode.PARTIAL}
    assert (last.error, last.revision, last.commit_age_ms) == (ErrorCode.NONE, 9, 3)
    for part in [*earlier, last]:
        encode_frame(part)  # raises FrameTooLargeError


def test_a_reply_that_fits_into_a_frame_is_not_divided() -> None:
    """Guards against results that clients of an earlier version can read, but only as one reply."""
    version = KeyVersion("k", 1, ChangeKind.PUT, bytes(MAX_VALUE_BYTES))
    for reply in (Reply(ErrorCode.STALE, "why", commit_age_ms=7), Reply(versions=[version] * 15)):
        assert list(divide_reply(reply)) == [reply]
