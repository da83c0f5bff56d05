"""The frame splitter: the frames do not depend on how reads divide the stream."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from wheatstile.fault_proxy.errors import FrameTooLongError
from wheatstile.fault_proxy.frames import FrameSplitter


@given(st.lists(st.binary(max_size=20), max_size=8), st.integers(1, 7))
def test_stream_is_split_into_its_frames_for_any_read_size(bodies: list[bytes], step: int) -> None:
    frames = [len(body).to_bytes(4, "big") + body for body in bodies]
    stream = b"".join(frames)
    splitter = FrameSplitter()

    found = []
    for start in range(0, len(stream), step):
        found += splitter.feed(stream[start : start + step])

    assert found == frames
    assert not splitter.buffered_bytes
    with pytest.raises(FrameTooLongError, match="at most"):
        splitter.feed(b"\xff\xff\xff\xff")
