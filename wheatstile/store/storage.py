"""The durable half of a Raft node: a log of records and a snapshot, in one directory.

`snapshot` is replaced as a whole (written aside, synced, renamed, the directory synced). `log` is appended
to, one record and at most one fsync for each `Ready`, however many clients it serves (group commit), and is
begun anew with each snapshot. The log's first record gives the format, the directory's owner, and the
snapshot that it follows. A record's entries replace whatever stood at their first index and after it.

A crash during an append leaves an incomplete record: nothing in it was acknowledged, and it is cut off when
the directory is opened. Anything else that does not check may have been acknowledged, so the member refuses
to start, and has to be removed from the cluster and added anew.
"""

from __future__ import annotations

import fcntl
import os
from collections.abc import Iterable
from dataclasses import dataclass, field
from pathlib import Path
from types import TracebackType
from typing import NamedTuple, Self

import msgspec

from wheatstile.store.errors import CorruptStorageError
from wheatstile.store.raft.messages import Entry, HardState, Snapshot
from wheatstile.store.record_file import FileRecord, encode_record, read_records

FORMAT = 1
LOG_FILE = "log"
SNAPSHOT_FILE = "snapshot"
LOCK_FILE = "lock"


class LogHeader(msgspec.Struct, frozen=True):
    """The log's first record; `snapshot_*` are those of the snapshot that it follows (index 0: none)."""

    format: int
    cluster: str
    name: str
    snapshot_index: int = msgspec.field(default=0, name="after")
    snapshot_term: int = msgspec.field(default=0, name="term")


class LogRecord(msgspec.Struct, frozen=True, array_like=True):
    """Every record of the log but the first: what one `Ready` asked to persist."""

    hard_state: HardState | None
    entries: list[Entry]


class Ballot(NamedTuple):
    """The part of the hard state that must be synced before a message is sent."""

    term: int
    vote: str | None


@dataclass
class DirectoryContents:
    """What a directory holds. `header` is None where nothing was written yet."""

    header: LogHeader | None = None
    hard_state: HardState | None = None
    snapshot: Snapshot | None = None
    entries: list[Entry] = field(default_factory=list)
    log_end: int = 0
    """Bytes of the log up to the end of its last complete record."""
    torn_bytes: int = 0
    """Bytes of an incomplete record at the log's end."""


def read_directory(directory: Path) -> DirectoryContents:
    """Read a member's directory without changing it. Raises `CorruptStorageError`, OSError."""
    contents = DirectoryContents(snapshot=_read_snapshot(directory / SNAPSHOT_FILE))
    log_path = directory / LOG_FILE
    for record in read_records(log_path):
        if contents.header is None:
            contents.header = _read_header(record)
        else:
            _replay(contents, record.decode(LogRecord))
        contents.log_end = record.end_offset
    size_bytes = log_path.stat().st_size if log_path.exists() else 0
    contents.torn_bytes = size_bytes - contents.log_end
    _match_log_to_snapshot(contents, log_path)
    return contents


def _read_snapshot(path: Path) -> Snapshot | None:
    snapshot = None
    for record in read_records(path):
        snapshot = record.decode(Snapshot)
    if snapshot is None and path.exists():
        raise CorruptStorageError(str(path), 0, "not whole")
    return snapshot


def _read_header(record: FileRecord) -> LogHeader:
    header = record.decode(LogHeader)
    if header.format != FORMAT:
        reason = f"format {header.format}, and this program reads {FORMAT}"
        raise CorruptStorageError(str(record.path), 0, reason)
    return header


def _replay(contents: DirectoryContents, record: LogRecord) -> None:
    """Apply one record of the log to what the records before it gave."""
    contents.hard_state = record.hard_state or contents.hard_state
    if not record.entries:
        return
    first_index = record.entries[0].index
    while contents.entries and contents.entries[-1].index >= first_index:
        contents.entries.pop()
    contents.entries += record.entries


def _match_log_to_snapshot(contents: DirectoryContents, log_path: Path) -> None:
    """Discard entries that do not follow the snapshot, as a crash between writing it and its log leaves them.

    Raises `CorruptStorageError` where the log or the snapshot that it follows is missing.
    """
    header = contents.header
    snapshot = contents.snapshot
    if header is None:
        if snapshot:
            raise CorruptStorageError(str(log_path), 0, "no log for the snapshot")
        return
    if header.snapshot_index > (snapshot.index if snapshot else 0):
        reason = f"follows a snapshot at {header.snapshot_index} that is not there"
        raise CorruptStorageError(str(log_path), 0, reason)
    if snapshot is None or (header.snapshot_index, header.snapshot_term) == (snapshot.index, snapshot.term):
        return
    terms = {entry.index: entry.term for entry in contents.entries}
    if terms.get(snapshot.index) == snapshot.term:
        contents.entries = [entry for entry in contents.entries if entry.index > snapshot.index]
    else:
        contents.entries = []


class Storage:
    """Owns the directory's files; `close` releases them, also at the end of a `with` statement.

    `recovered` is what the directory held when it was opened. Raises `CorruptStorageError`, or OSError
    where the directory cannot be used (BlockingIOError where another process has it).
    """

    def __init__(self, directory: Path, cluster: str = "", name: str = "", *, sync: bool = True) -> None:
        self.directory = directory
        self.cluster = cluster
        self.name = name
        self.sync = sync
        self.fsync_count = 0
        directory.mkdir(parents=True, exist_ok=True)
        self._lock = os.open(directory / LOCK_FILE, os.O_RDWR | os.O_CREAT, 0o600)
        try:
            fcntl.flock(self._lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
            self.recovered = self._recover()
            self._log = os.open(directory / LOG_FILE, os.O_WRONLY | os.O_APPEND | os.O_CREAT, 0o600)
        except BaseException:
            os.close(self._lock)
            raise
        hard_state = self.recovered.hard_state
        self._synced_ballot = Ballot(hard_state.term, hard_state.vote) if hard_state else None

    def __enter__(self) -> Self:
        return self

    def __exit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        self.close()

    def close(self) -> None:
        """Close the files and give up the directory."""
        os.close(self._log)
        os.close(self._lock)

    def _recover(self) -> DirectoryContents:
        """Read the directory, begin its log if there is none, and cut off an incomplete record."""
        log_path = self.directory / LOG_FILE
        contents = read_directory(self.directory)
        header = contents.header
        if header is None:
            self._replace(LOG_FILE, [LogHeader(FORMAT, self.cluster, self.name)])
            return contents
        if (header.cluster, header.name) != (self.cluster, self.name):
            owner = f"the log of {header.name!r} in cluster {header.cluster!r}"
            reason = f"{owner}, not of {self.name!r} in {self.cluster!r}"
            raise CorruptStorageError(str(log_path), 0, reason)
        if contents.torn_bytes:
            with open(log_path, "r+b") as file:
                file.truncate(contents.log_end)
                os.fsync(file.fileno())
        return contents

    def append(self, hard_state: HardState | None, entries: list[Entry]) -> None:
        """Persist what one `Ready` asks for, before its messages are sent.

        After an OSError what is on the disk is not known, and the member must stop.
        """
        if hard_state is None and not entries:
            return
        data = memoryview(encode_record(LogRecord(hard_state, entries)))
        while data:
            written_bytes = os.write(self._log, data)
            data = data[written_bytes:]
        ballot = Ballot(hard_state.term, hard_state.vote) if hard_state else self._synced_ballot
        # A commit index alone needs no sync: it is learned again from the leader.
        if entries or ballot != self._synced_ballot:
            self._fsync(self._log)
        self._synced_ballot = ballot

    def save_snapshot(self, snapshot: Snapshot, hard_state: HardState, entries: list[Entry]) -> None:
        """Write `snapshot`, and after it a log of only `entries`, which follow it. Raises OSError."""
        self._replace(SNAPSHOT_FILE, [snapshot])
        header = LogHeader(FORMAT, self.cluster, self.name, snapshot.index, snapshot.term)
        self._replace(LOG_FILE, [header, LogRecord(hard_state, entries)])
        os.close(self._log)
        self._log = os.open(self.directory / LOG_FILE, os.O_WRONLY | os.O_APPEND)
        self._synced_ballot = Ballot(hard_state.term, hard_state.vote)

    def _fsync(self, descriptor: int) -> None:
        if self.sync:
            self.fsync_count += 1
            os.fsync(descriptor)

    def _replace(self, file_name: str, values: Iterable[object]) -> None:
        """Replace a file by one with `values` as its records, atomically."""
        temporary = self.directory / f".{file_name}.new"
        with open(temporary, "wb") as file:
            file.write(b"".join(map(encode_record, values)))
            file.flush()
            self._fsync(file.fileno())
        os.replace(temporary, self.directory / file_name)
        descriptor = os.open(self.directory, os.O_RDONLY)
        try:
            self._fsync(descriptor)
        finally:
            os.close(descriptor)
