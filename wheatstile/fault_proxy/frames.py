"""Frames behind a 4-byte big-endian length, cut out of a byte stream; no input or output."""

from __future__ import annotations

from wheatstile.fault_proxy.errors import FrameTooLongError

LENGTH_PREFIX_BYTES = 4
MAX_FRAME_BYTES = 32 * 1024 * 1024
"""The longest frame that is buffered, with its length prefix."""


class FrameSplitter:
    """Cuts one stream into frames, wherever the reads fall; a frame is lost or duplicated as one."""

    def __init__(self, max_frame_bytes: int = MAX_FRAME_BYTES) -> None:
        self._max_frame_bytes = max_frame_bytes
        self._buffer = bytearray()

    @property
    def buffered_bytes(self) -> int:
        """How many bytes wait for the rest of their frame."""
        return len(self._buffer)

    def feed(self, data: bytes) -> list[bytes]:
        """Take in `data`; the frames that are complete now, with their prefixes. Raises FrameTooLongError."""
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
