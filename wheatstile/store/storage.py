"""The persistent state of a Raft node: a log of records and a snapshot, in one directory.

The file `snapshot` is replaced atomically: the new file is written and synced under another name and renamed,
then the directory is synced. The file `log` gets one record and at most one fsync for each `Ready`, and is
replaced with each snapshot. Its first record contains the format, the owner of the directory, and the
snapshot that precedes the log. The entries of a record replace all earlier entries from their first index on.

A crash during an append leaves an incomplete record, which is truncated when the directory is opened: nothing
in it was acknowledged. Any other damage may affect acknowledged entries. The member then rejects its
directory, and has to be removed from the cluster and added again with an empty one.
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
from wheatstile.store.record_file import FileRecord, encode_record, read_records, replace_file

FORMAT = 1
LOG_FILE = "log"
SNAPSHOT_FILE = "snapshot"
LOCK_FILE = "lock"


class LogHeader(msgspec.Struct, frozen=True):
    """The log's first record; `snapshot_*` identify the snapshot that precedes the log (index 0: none)."""

    format: int
    cluster: str
    name: str
    snapshot_index: int = msgspec.field(default=0, name="after")
    snapshot_term: int = msgspec.field(default=0, name="term")


class LogRecord(msgspec.Struct, frozen=True, array_like=True):
    """A record of the log after the first: the hard state and the entries of one `Ready`."""

    hard_state: HardState | None
    entries: list[Entry]


class Ballot(NamedTuple):
    """The part of the hard state that must be synced before a message is sent."""

    term: int
    vote: str | None


@dataclass
class DirectoryContents:
    """The contents of a directory. `header` is None if there is no log."""

    header: LogHeader | None = None
    hard_state: HardState | None = None
    snapshot: Snapshot | None = None
    entries: list[Entry] = field(default_factory=list)
    log_end_offset: int = 0
    """The offset in bytes of the end of the log's last complete record."""
    torn_bytes: int = 0
    """The size in bytes of an incomplete record at the log's end."""


def read_directory(directory: Path) -> DirectoryContents:
    """Read a member's directory without changing it. Raises `CorruptStorageError`, OSError."""
    contents = DirectoryContents(snapshot=_read_snapshot(directory / SNAPSHOT_FILE))
    log_path = directory / LOG_FILE
    for record in read_records(log_path):
        if contents.header is None:
            contents.header = _read_header(record)
        else:
            _replay(contents, record.decode(LogRecord))
        contents.log_end_offset = record.end_offset
    size_bytes = log_path.stat().st_size if log_path.exists() else 0
    contents.torn_bytes = size_bytes - contents.log_end_offset
    _match_log_to_snapshot(contents, log_path)
    return contents


def _read_snapshot(path: Path) -> Snapshot | None:
    snapshot = None
    for record in read_records(path):
        snapshot = record.decode(Snapshot)
    if snapshot is None and path.exists():
        raise CorruptStorageError(str(path), 0, "the record is incomplete")
    return snapshot


def _read_header(record: FileRecord) -> LogHeader:
    header = record.decode(LogHeader)
    check_format(record.path, header.format)
    return header


def check_format(path: Path, file_format: int) -> None:
    """Raise `CorruptStorageError` unless this program reads the file's format."""
    if file_format != FORMAT:
        reason = f"format {file_format} is not supported; this program reads format {FORMAT}"
        raise CorruptStorageError(str(path), 0, reason)


def _replay(contents: DirectoryContents, record: LogRecord) -> None:
    """Add one record of the log to `contents`."""
    contents.hard_state = record.hard_state or contents.hard_state
    if not record.entries:
        return
    first_index = record.entries[0].index
    while contents.entries and contents.entries[-1].index >= first_index:
        contents.entries.pop()
    contents.entries += record.entries


def _match_log_to_snapshot(contents: DirectoryContents, log_path: Path) -> None:
    """Discard the entries that do not follow the snapshot.

    A crash between the replacement of the snapshot and that of the log leaves such entries. Raises
    `CorruptStorageError` if there is no log for the snapshot, or the snapshot before the log is missing.
    """
    header = contents.header
    snapshot = contents.snapshot
    if header is None:
        if snapshot:
            raise CorruptStorageError(str(log_path), 0, "there is a snapshot, but no log")
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
    """Owns the files of a directory. `close`, or the end of a `with` statement, releases them.

    `recovered` has the contents of the directory when it was opened. Raises `CorruptStorageError`, and
    OSError if the directory cannot be used (BlockingIOError if another process uses it).
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
        """Close the files and unlock the directory."""
        os.close(self._log)
        os.close(self._lock)

    def _recover(self) -> DirectoryContents:
        """Read the directory, create its log if there is none, and truncate an incomplete record."""
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
                file.truncate(contents.log_end_offset)
                os.fsync(file.fileno())
        return contents

    def append(self, hard_state: HardState | None, entries: list[Entry]) -> None:
        """Store the hard state and the entries of one `Ready`.

        Raises OSError. The contents of the disk are unknown then, and the member must stop.
        """
        if hard_state is None and not entries:
            return
        data = memoryview(encode_record(LogRecord(hard_state, entries)))
        while data:
            written_bytes = os.write(self._log, data)
            data = data[written_bytes:]
        ballot = Ballot(hard_state.term, hard_state.vote) if hard_state else self._synced_ballot
        # A commit index alone needs no fsync: a member that loses it receives it again from the leader.
        if entries or ballot != self._synced_ballot:
            self._fsync(self._log)
        self._synced_ballot = ballot

    def save_snapshot(self, snapshot: Snapshot, hard_state: HardState, entries: list[Entry]) -> None:
        """Replace the snapshot, and then the log by one with `entries`, which follow it. Raises OSError."""
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
        """Replace a file atomically by one with `values` as its records, and sync the directory."""
        replace_file(self.directory / file_name, values, self._fsync)
        descriptor = os.open(self.directory, os.O_RDONLY)
        try:
            self._fsync(descriptor)
        finally:
            os.close(descriptor)
