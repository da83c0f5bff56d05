"""The durable half of a Raft node: hard state, snapshot and log in one directory.

Layout: `state` (the hard state) and `snapshot` are replaced whole, by a written, synced and renamed
temporary file; `log` is appended to, one record per `Ready`, each framed as a 4-byte big-endian length,
a 4-byte CRC-32 of the body, and the body in MessagePack (msgspec). A record's entries replace whatever
stood at their first index and after, which is how Raft truncates a follower's log.

A crash in the middle of an append leaves a torn last record: it is dropped on open, and the file cut
back to the last whole one. A bad record before the end is not a crash but damage, and is refused with
its offset.
"""

from __future__ import annotations

import os
import struct
import zlib
from dataclasses import dataclass, field
from pathlib import Path

import msgspec

from wheatstile.store.raft import Entry, HardState, Snapshot

FRAME = struct.Struct(">II")
MAX_RECORD = 64 * 1024 * 1024
"""Bytes in one record at most; a length above it is damage, not a record."""


class Damaged(Exception):
    """The directory holds what no crash leaves behind; the message gives the file and the offset."""


@dataclass
class Loaded:
    hard_state: HardState | None = None
    snapshot: Snapshot | None = None
    entries: list[Entry] = field(default_factory=list)
    torn_bytes: int = 0  # what was cut off the log's end on open


class Disk:
    """Owns the directory's files; `close` is their one place of release."""

    def __init__(self, directory: Path, sync: bool = True) -> None:
        self.directory = directory
        self.sync = sync
        directory.mkdir(parents=True, exist_ok=True)
        self.loaded = self._load()
        self._log = open(directory / "log", "ab")  # noqa: SIM115 - held open until close()

    def _load(self) -> Loaded:
        loaded = Loaded()
        state = self.directory / "state"
        if state.exists():
            loaded.hard_state = msgspec.msgpack.decode(state.read_bytes(), type=HardState)
        snap = self.directory / "snapshot"
        if snap.exists():
            loaded.snapshot = msgspec.msgpack.decode(snap.read_bytes(), type=Snapshot)
        log = self.directory / "log"
        data = log.read_bytes() if log.exists() else b""
        offset, entries = 0, list[Entry]()
        while offset < len(data):
            if offset + FRAME.size > len(data):
                break
            length, crc = FRAME.unpack_from(data, offset)
            body = data[offset + FRAME.size:offset + FRAME.size + length]
            if length > MAX_RECORD:
                raise Damaged(f"{log}: offset {offset}: a record of {length} bytes")
            if len(body) < length:
                break  # torn by a crash while it was written
            if zlib.crc32(body) != crc:
                if offset + FRAME.size + length == len(data):
                    break  # the last record, written in part
                raise Damaged(f"{log}: offset {offset}: checksum {zlib.crc32(body):#x}, not {crc:#x}")
            record = msgspec.msgpack.decode(body, type=list[Entry])
            if record:
                entries = [e for e in entries if e.index < record[0].index] + record
            offset += FRAME.size + length
        if offset < len(data):
            loaded.torn_bytes = len(data) - offset
            with open(log, "r+b") as handle:
                handle.truncate(offset)
        base = loaded.snapshot.index if loaded.snapshot else 0
        loaded.entries = [e for e in entries if e.index > base]
        return loaded

    def save(self, hard_state: HardState | None, snapshot: Snapshot | None, entries: list[Entry]) -> None:
        """Persists what one `Ready` asks, before its messages go out."""
        if snapshot is not None:
            self._replace("snapshot", msgspec.msgpack.encode(snapshot))
        if entries:
            body = msgspec.msgpack.encode(entries)
            self._log.write(FRAME.pack(len(body), zlib.crc32(body)) + body)
            self._log.flush()
            if self.sync:
                os.fsync(self._log.fileno())
        if hard_state is not None:
            self._replace("state", msgspec.msgpack.encode(hard_state))

    def compact(self, snapshot: Snapshot, kept: list[Entry]) -> None:
        """Writes `snapshot`, then a log of only `kept`, the entries after it."""
        self._replace("snapshot", msgspec.msgpack.encode(snapshot))
        body = msgspec.msgpack.encode(kept)
        self._log.close()
        self._replace("log", FRAME.pack(len(body), zlib.crc32(body)) + body if kept else b"")
        self._log = open(self.directory / "log", "ab")  # noqa: SIM115 - held open until close()

    def _replace(self, name: str, data: bytes) -> None:
        temporary = self.directory / f".{name}.new"
        with open(temporary, "wb") as handle:
            handle.write(data)
            handle.flush()
            if self.sync:
                os.fsync(handle.fileno())
        os.replace(temporary, self.directory / name)

    def close(self) -> None:
        self._log.close()
