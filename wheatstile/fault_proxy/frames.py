"""Splits a byte stream into frames, each with a 4-byte big-endian length prefix. No input or output."""

from __future__ import annotations

from wheatstile.fault_proxy.errors import FrameTooLongError

LENGTH_PREFIX_BYTES = 4
MAX_FRAME_BYTES = 32 * 1024 * 1024
"""The longest frame that is buffered, including its length prefix."""


class FrameSplitter:
    """Splits one stream into frames, independent of how its bytes are divided among reads."""

    def __init__(self, max_frame_bytes: int = MAX_FRAME_BYTES) -> None:
        self._max_frame_bytes = max_frame_bytes
        self._buffer = bytearray()

    @property
    def buffered_bytes(self) -> int:
        """Return the number of bytes of the incomplete frame."""
        return len(self._buffer)

    def feed(self, data: bytes) -> list[bytes]:
        """Add `data`, and return the frames that are complete now, with their prefixes.

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
