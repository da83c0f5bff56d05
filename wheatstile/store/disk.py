"""The durable half of a Raft node: a log of records and a snapshot, in one directory.

`snapshot` is replaced whole (written aside, synced, renamed, the directory synced); `log` is appended to, one
record and at most one fsync for each `Ready`, however many clients it serves (group commit), and is begun
anew at a compaction. Each record is framed as length, CRC-32 of the length, CRC-32 of the body (4 bytes each,
big-endian) and the body in MessagePack. The log's first record says the format, whose directory it is, and
the snapshot it follows. A record's entries replace whatever stood at their first index and after.

A crash in the middle of an append leaves a record that is shorter than its length says: nothing in it was
acknowledged, and it is cut off on open. Whatever else does not check is damage: it may have been
acknowledged, so the member refuses to start, with the file and the offset, and has to be removed and added
anew.
"""

from __future__ import annotations

import fcntl
import os
import struct
import zlib
from collections.abc import Iterator
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import msgspec

from wheatstile.store.raft.messages import Entry, HardState, Snapshot

FRAME = struct.Struct(">III")
FORMAT = 1
MAX_RECORD = 256 * 1024 * 1024
"""Bytes in one record at most; a length above it is damage, not a record."""


class Damaged(Exception):
    """The directory holds what no crash leaves behind; the message gives the file and the offset."""


class Head(msgspec.Struct, frozen=True):
    """The log's first record. `after` and `term` name the snapshot's last entry (0: there is none)."""

    format: int
    cluster: str
    name: str
    after: int = 0
    term: int = 0


class Record(msgspec.Struct, frozen=True, array_like=True):
    hard_state: HardState | None
    entries: list[Entry]


@dataclass
class Loaded:
    hard_state: HardState | None = None
    snapshot: Snapshot | None = None
    entries: list[Entry] = field(default_factory=list)
    torn_bytes: int = 0  # what was cut off the log's end on open


def framed(value: object) -> bytes:
    body = msgspec.msgpack.encode(value)
    length = len(body).to_bytes(4, "big")
    return FRAME.pack(len(body), zlib.crc32(length), zlib.crc32(body)) + body


def records(path: Path) -> Iterator[tuple[int, bytes]]:
    """(offset, body) of each whole record; the offset of a torn end is left to the caller, by the last one's.

    Raises `Damaged` for a record that does not check.
    """
    data = path.read_bytes() if path.exists() else b""
    offset = 0
    while offset + FRAME.size <= len(data):
        length, length_crc, crc = FRAME.unpack_from(data, offset)
        if zlib.crc32(length.to_bytes(4, "big")) != length_crc or length > MAX_RECORD:
            raise Damaged(f"{path}: offset {offset}: the record's length does not check")
        body = data[offset + FRAME.size : offset + FRAME.size + length]
        if len(body) < length:
            return
        if zlib.crc32(body) != crc:
            raise Damaged(f"{path}: offset {offset}: checksum {zlib.crc32(body):#x}, not {crc:#x}")
        yield offset, body
        offset += FRAME.size + length


@dataclass
class Found:
    head: Head
    loaded: Loaded
    end: int  # the log's bytes up to its last whole record


def _decode(body: bytes, kind: Any, path: Path, offset: int) -> Any:
    try:
        return msgspec.msgpack.decode(body, type=kind)
    except msgspec.DecodeError as error:
        raise Damaged(f"{path}: offset {offset}: {error}") from error


class Disk:
    """Owns the directory's files; `close` is their one place of release.

    Raises `Damaged`, or OSError where the directory cannot be used (or another process has it).
    """

    def __init__(self, directory: Path, cluster: str = "", name: str = "", sync: bool = True) -> None:
        self.directory, self.cluster, self.name, self.sync = directory, cluster, name, sync
        self.syncs = 0
        directory.mkdir(parents=True, exist_ok=True)
        self._lock = os.open(directory / "lock", os.O_RDWR | os.O_CREAT, 0o600)
        try:
            fcntl.flock(self._lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
            self.loaded = self._load()
            self._log = os.open(directory / "log", os.O_WRONLY | os.O_APPEND | os.O_CREAT, 0o600)
        except BaseException:
            os.close(self._lock)
            raise
        state = self.loaded.hard_state
        self._saved = (state.term, state.vote) if state else None

    def _load(self) -> Loaded:
        log = self.directory / "log"
        found = self.look(self.directory)
        if found.head.format == 0:  # nothing is there yet
            self._replace("log", framed(Head(FORMAT, self.cluster, self.name)))
            return found.loaded
        if (found.head.cluster, found.head.name) != (self.cluster, self.name):
            whose = f"the log of {found.head.name!r} in cluster {found.head.cluster!r}"
            raise Damaged(f"{log}: offset 0: {whose}, not of {self.name!r} in {self.cluster!r}")
        if found.loaded.torn_bytes:
            with open(log, "r+b") as handle:
                handle.truncate(found.end)
                os.fsync(handle.fileno())
        return found.loaded

    @staticmethod
    def look(directory: Path) -> Found:
        """What the directory holds, unchanged; a head of format 0 where it is empty. Raises `Damaged`."""
        loaded, log = Loaded(), directory / "log"
        for offset, body in records(directory / "snapshot"):
            loaded.snapshot = _decode(body, Snapshot, directory / "snapshot", offset)
        if (directory / "snapshot").exists() and loaded.snapshot is None:
            raise Damaged(f"{directory / 'snapshot'}: offset 0: not whole")
        head, end, entries = None, 0, list[Entry]()
        for offset, body in records(log):
            if head is None:
                head = _decode(body, Head, log, offset)
                if head.format != FORMAT:
                    raise Damaged(f"{log}: offset 0: format {head.format}, and this program reads {FORMAT}")
            else:
                record = _decode(body, Record, log, offset)
                loaded.hard_state = record.hard_state or loaded.hard_state
                if record.entries:
                    first = record.entries[0].index
                    while entries and entries[-1].index >= first:
                        entries.pop()
                    entries += record.entries
            end = offset + FRAME.size + len(body)
        size = log.stat().st_size if log.exists() else 0
        loaded.torn_bytes = size - end
        if head is None:
            if loaded.snapshot:
                raise Damaged(f"{log}: offset 0: no log for the snapshot")
            return Found(Head(0, "", ""), loaded, end)
        snap = loaded.snapshot
        if head.after > (snap.index if snap else 0):
            raise Damaged(f"{log}: offset 0: follows a snapshot at {head.after} that is not there")
        if snap and (head.after, head.term) != (snap.index, snap.term):
            # A crash came between the snapshot and its log: what follows it is kept only if it leads there.
            at = next((e.term for e in entries if e.index == snap.index), None)
            entries = [e for e in entries if e.index > snap.index] if at == snap.term else []
        loaded.entries = entries
        return Found(head, loaded, end)

    def save(self, hard_state: HardState | None, entries: list[Entry]) -> None:
        """Persists what one `Ready` asks, before its messages go out. After an OSError nothing more may be
        done with this node: what is on the disk is not known."""
        if hard_state is None and not entries:
            return
        data = memoryview(framed(Record(hard_state, entries)))
        while data:
            data = data[os.write(self._log, data) :]
        promised = (hard_state.term, hard_state.vote) if hard_state else self._saved
        if entries or promised != self._saved:  # a commit alone may be learnt again
            self._fsync(self._log)
        self._saved = promised

    def compact(self, snapshot: Snapshot, hard_state: HardState, kept: list[Entry]) -> None:
        """Writes `snapshot`, and after it a log of only `kept`, the entries that follow it."""
        self._replace("snapshot", framed(snapshot))
        head = Head(FORMAT, self.cluster, self.name, snapshot.index, snapshot.term)
        self._replace("log", framed(head) + framed(Record(hard_state, kept)))
        os.close(self._log)
        self._log = os.open(self.directory / "log", os.O_WRONLY | os.O_APPEND)
        self._saved = (hard_state.term, hard_state.vote)

    def _fsync(self, descriptor: int) -> None:
        if self.sync:
            self.syncs += 1
            os.fsync(descriptor)

    def _replace(self, name: str, data: bytes) -> None:
        temporary = self.directory / f".{name}.new"
        with open(temporary, "wb") as handle:
            handle.write(data)
            handle.flush()
            self._fsync(handle.fileno())
        os.replace(temporary, self.directory / name)
        folder = os.open(self.directory, os.O_RDONLY)
        try:
            self._fsync(folder)
        finally:
            os.close(folder)

    def close(self) -> None:
        os.close(self._log)
        os.close(self._lock)
