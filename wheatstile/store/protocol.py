"""What goes over the store's connections: frames of a 4-byte big-endian length and a MessagePack body.

A member sends another `Hello` and then `messages.Message`s, one way. A client sends `Request`s and gets one
`Reply` for each, in order; a watch's replies go on until either side ends the connection, a backup's until
nothing is left.
"""

from __future__ import annotations

import asyncio
import socket
import struct
from typing import Literal, TypeVar

import msgspec

from wheatstile.store.machine import Command, Event, Result

T = TypeVar("T")
LENGTH = struct.Struct(">I")
MAX_FRAME = 16 * 1024 * 1024
"""Bytes of one frame at most: a batch of entries, each a command of at most `MAX_REQUEST`."""
MAX_REQUEST = 4 * 1024 * 1024
"""Bytes of a client's frame."""
CHUNK = 256 * 1024
"""Bytes read at once."""


class Hello(msgspec.Struct, frozen=True):
    cluster: str
    name: str
    to: str


class Request(msgspec.Struct, frozen=True):
    """`within_ms` bounds the answer. A read is linearizable, unless `stale_ms` says how old it may be."""

    op: Literal["write", "get", "list", "history", "watch", "status", "members", "transfer", "backup"]
    command: Command | None = None
    key: str = ""  # or a pattern, or a member's name
    after: int = 0  # a watch: events after this revision
    stale_ms: int = -1
    within_ms: int = 2000
    voters: list[str] = []
    learners: list[str] = []


class Found(msgspec.Struct, frozen=True, array_like=True):
    key: str
    revision: int
    op: str
    value: bytes
    at_ms: int = 0


class Status(msgspec.Struct, frozen=True):
    name: str
    role: str
    leader: str
    term: int
    commit: int
    applied: int
    snapshot: int
    voters: list[str]
    learners: list[str]
    changing: bool
    age_ms: int
    clock_ms: int
    keys: int
    syncs: int
    cluster: str


class Reply(msgspec.Struct, frozen=True):
    """`error`: not-leader (`leader` may name it), unknown (it may yet be applied), refused, stale, behind,
    bad; empty where the request was done. `revision` is that as of which a read is answered."""

    error: str = ""
    reason: str = ""
    leader: str = ""
    result: Result | None = None
    found: list[Found] = []
    events: list[Event] = []
    revision: int = 0
    age_ms: int = 0
    status: Status | None = None
    data: bytes = b""  # a piece of a backup, `left` bytes of which are still to come
    left: int = 0


def frame(value: object) -> bytes:
    body = msgspec.msgpack.encode(value)
    return LENGTH.pack(len(body)) + body


class Frames:
    """The frames that come on a connection; many of them with one read, where they came together."""

    def __init__(self, sock: socket.socket, most: int = MAX_FRAME) -> None:
        self.sock, self._most, self._rest = sock, most, bytearray()
        self._loop = asyncio.get_running_loop()

    async def next(self, kind: type[T]) -> T | None:
        """One frame as a `kind`; None at the end of the stream. Raises ValueError (too large, no `kind`)."""
        while True:
            if len(self._rest) >= LENGTH.size:
                (length,) = LENGTH.unpack_from(self._rest)
                if length > self._most:
                    raise ValueError(f"a frame of {length} bytes, {self._most} at most")
                end = LENGTH.size + length
                if len(self._rest) >= end:
                    body = bytes(memoryview(self._rest)[LENGTH.size : end])
                    del self._rest[:end]
                    return msgspec.msgpack.decode(body, type=kind)
            if not (data := await self._loop.sock_recv(self.sock, CHUNK)):
                return None
            self._rest += data


async def connect(address: tuple[str, int]) -> socket.socket:
    """A connection, to be closed by the caller. Raises OSError."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        await asyncio.get_running_loop().sock_connect(sock, address)
    except BaseException:
        sock.close()
        raise
    return sock
