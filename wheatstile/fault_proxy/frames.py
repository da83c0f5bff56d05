"""Splits a byte stream into frames, each with a 4-byte big-endian length prefix. Performs no I/O."""

from __future__ import annotations

from wheatstile.fault_proxy.errors import FrameTooLongError

LENGTH_PREFIX_BYTES = 4
MAX_FRAME_BYTES = 32 * 1024 * 1024
"""Maximum length of a frame, including its length prefix."""


class FrameSplitter:
    """Splits one stream into frames. The result does not depend on how reads divide the stream."""

    def __init__(self, max_frame_bytes: int = MAX_FRAME_BYTES) -> None:
        self._max_frame_bytes = max_frame_bytes
        self._buffer = bytearray()

    @property
    def buffered_bytes(self) -> int:
        """Return the number of buffered bytes, which belong to an incomplete frame."""
        return len(self._buffer)

    def feed(self, data: bytes) -> list[bytes]:
        """Add `data`, and return the frames that it completes, with their length prefixes.

        Raises FrameTooLongError.
        """
        self._buffer += data
        frames = []
        while len(self._buffer) >= LENGTH_PREFIX_BYTES:
            length = LENGTH_PREFIX_BYTES + int.from_bytes(self._buffer[:LENGTH_PREFIX_BYTES], "big")
            if length > self._max_frame_bytes:
                raise FrameTooLongError(length, self._max_frame_bytes)
            if len(self._buffer) < length:
                break
            frames.append(bytes(self._buffer[:length]))
            del self._buffer[:length]
        return frames
