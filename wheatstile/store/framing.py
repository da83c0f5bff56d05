"""Encodes and reads frames. A frame is a 4-byte big-endian length and a MessagePack body."""

from __future__ import annotations

import asyncio
import socket
import struct
from typing import TypeVar

import msgspec

from wheatstile.store.errors import FrameTooLargeError

Decoded = TypeVar("Decoded")

LOOPBACK = "127.0.0.1"
LENGTH_PREFIX = struct.Struct(">I")
MAX_FRAME_BYTES = 16 * 1024 * 1024
"""Maximum size of a frame's body; enough for a batch of entries with commands of `MAX_REQUEST_BYTES`."""
MAX_REQUEST_BYTES = 4 * 1024 * 1024
"""Maximum size of the body of a client's request."""
RECEIVE_BYTES = 256 * 1024
"""Maximum number of bytes in one read from a socket."""


def encode_frame(value: object, max_frame_bytes: int = MAX_FRAME_BYTES) -> bytes:
    """Return `value` as one frame. Raises `FrameTooLargeError` if its recipient would reject it."""
    body = msgspec.msgpack.encode(value)
    if len(body) > max_frame_bytes:
        raise FrameTooLargeError(len(body), max_frame_bytes)
    return LENGTH_PREFIX.pack(len(body)) + body


class FrameReader:
    """Reads frames from a connected, non-blocking socket, which the caller closes."""

    def __init__(self, sock: socket.socket, max_frame_bytes: int = MAX_FRAME_BYTES) -> None:
        self.sock = sock
        self._max_frame_bytes = max_frame_bytes
        self._buffer = bytearray()
        self._loop = asyncio.get_running_loop()

    async def read(self, value_type: type[Decoded], idle_timeout_s: float | None = None) -> Decoded | None:
        """Return the body of the next frame, decoded as `value_type`, or None at the end of the stream.

        Raises `FrameTooLargeError`, OSError, `msgspec.DecodeError` if the body has another type, and
        TimeoutError after `idle_timeout_s` in which nothing arrives.
        """
        while True:
            body = self._take_body()
            if body is not None:
                return msgspec.msgpack.decode(body, type=value_type)
            async with asyncio.timeout(idle_timeout_s):
                data = await self._loop.sock_recv(self.sock, RECEIVE_BYTES)
            if not data:
                return None
            self._buffer += data

    def _take_body(self) -> bytes | None:
        """Remove the first frame from the buffer and return its body, or return None if it is incomplete."""
        if len(self._buffer) < LENGTH_PREFIX.size:
            return None
        (length,) = LENGTH_PREFIX.unpack_from(self._buffer)
        if length > self._max_frame_bytes:
            raise FrameTooLargeError(length, self._max_frame_bytes)
        end = LENGTH_PREFIX.size + length
        if len(self._buffer) < end:
            return None
        body = bytes(memoryview(self._buffer)[LENGTH_PREFIX.size : end])
        del self._buffer[:end]
        return body


async def connect(port: int) -> socket.socket:
    """Return a connection to a loopback port, which the caller closes. Raises OSError."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        await asyncio.get_running_loop().sock_connect(sock, (LOOPBACK, port))
    except BaseException:
        sock.close()
        raise
    return sock
