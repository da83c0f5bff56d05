"""Stores the persistent state of a Raft node in one directory: a log of records and a snapshot.

The file `snapshot` is replaced atomically: the new file is written and synced under another name and renamed,
then the directory is synced. For each `Ready`, one record is appended to the file `log`, or several if the
entries are too large for one (`log_records`), with at most one fsync. The log is replaced with each snapshot.
Its first record contains the format, the owner of the directory, and the index and term of the snapshot that
precedes the log. The entries of a record replace all earlier entries from their first index on.

A crash during an append leaves an incomplete record, which is truncated when the directory is opened, because
none of its contents was acknowledged. Any other damage may affect acknowledged entries. The member then
rejects its directory, and has to be removed from the cluster and added again with an empty directory.
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
from wheatstile.store.log_records import LogRecord, divide_into_records
from wheatstile.store.raft.messages import Entry, HardState, Snapshot
from wheatstile.store.record_file import FileRecord, encode_record, read_records, replace_file
from wheatstile.store.snapshot_file import read_snapshot, snapshot_records

FORMAT = 1
LOG_FILE = "log"
SNAPSHOT_FILE = "snapshot"
LOCK_FILE = "lock"


class LogHeader(msgspec.Struct, frozen=True):
    """The first record of the log. `snapshot_*` identify the snapshot before the log (index 0: none)."""

    format: int
    cluster: str
    name: str
    snapshot_index: int = msgspec.field(default=0, name="after")
    snapshot_term: int = msgspec.field(default=0, name="term")


class TermAndVote(NamedTuple):
    """The part of the hard state that must be synced before a message is sent."""

    term: int
    vote: str | None


@dataclass
class DirectoryContents:
    """The contents of a member's directory. `header` is None if there is no log."""

    header: LogHeader | None = None
    hard_state: HardState | None = None
    snapshot: Snapshot | None = None
    entries: list[Entry] = field(default_factory=list)
    log_end_offset: int = 0
    """Offset in bytes of the end of the last complete record in the log."""
    torn_bytes: int = 0
    """Size in bytes of an incomplete record at the end of the log."""


def read_directory(directory: Path) -> DirectoryContents:
    """Read a member's directory without changing it. Raises `CorruptStorageError`, OSError."""
    contents = DirectoryContents(snapshot=read_snapshot(directory / SNAPSHOT_FILE))
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


def _read_header(record: FileRecord) -> LogHeader:
    header = record.decode(LogHeader)
    check_format(record.path, header.format)
    return header


def check_format(path: Path, file_format: int) -> None:
    """Raise `CorruptStorageError` if this program cannot read the format of the file."""
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

    Such entries remain after a crash between the replacement of the snapshot and the replacement of the log.
    Raises `CorruptStorageError` if the log is missing, or if the snapshot before the log is missing.
    """
    header = contents.header
    snapshot = contents.snapshot
    if header is None:
        if snapshot:
            raise CorruptStorageError(str(log_path), 0, "the log is missing, although there is a snapshot")
        return
    if header.snapshot_index > (snapshot.index if snapshot else 0):
        reason = f"the snapshot at index {header.snapshot_index}, which precedes the log, is missing"
        raise CorruptStorageError(str(log_path), 0, reason)
    if snapshot is None or (header.snapshot_index, header.snapshot_term) == (snapshot.index, snapshot.term):
        return
    terms = {entry.index: entry.term for entry in contents.entries}
    if terms.get(snapshot.index) == snapshot.term:
        contents.entries = [entry for entry in contents.entries if entry.index > snapshot.index]
    else:
        contents.entries = []


class Storage:
    """Owns the files of a directory. `close`, or the end of a `with` statement, closes them.

    `recovered` has the contents that the directory had when it was opened. Raises `CorruptStorageError`, and
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
        self._synced_term_and_vote = TermAndVote(hard_state.term, hard_state.vote) if hard_state else None

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
            owner = f"the log belongs to {header.name!r} in cluster {header.cluster!r}"
            reason = f"{owner}, not to {self.name!r} in cluster {self.cluster!r}"
            raise CorruptStorageError(str(log_path), 0, reason)
        if contents.torn_bytes:
            with open(log_path, "r+b") as file:
                file.truncate(contents.log_end_offset)
                os.fsync(file.fileno())
        return contents

    def append(self, hard_state: HardState | None, entries: list[Entry]) -> None:
        """Store the hard state and the entries of one `Ready`.

        Raises OSError. The contents of the disk are unknown after that, so the member must stop.
        """
        if hard_state is None and not entries:
            return
        for record in divide_into_records(hard_state, entries):
            self._write(encode_record(record))
        term_and_vote = (
            TermAndVote(hard_state.term, hard_state.vote) if hard_state else self._synced_term_and_vote
        )
        # A record that only advances the commit index needs no fsync: a member that loses the commit index
        # receives it again from the leader.
        if entries or term_and_vote != self._synced_term_and_vote:
            self._fsync(self._log)
        self._synced_term_and_vote = term_and_vote

    def _write(self, data: bytes) -> None:
        remaining = memoryview(data)
        while remaining:
            written_bytes = os.write(self._log, remaining)
            remaining = remaining[written_bytes:]

    def save_snapshot(self, snapshot: Snapshot, hard_state: HardState, entries: list[Entry]) -> None:
        """Replace the snapshot, and then the log with one of `entries`, which follow it. Raises OSError."""
        self._replace(SNAPSHOT_FILE, snapshot_records(snapshot))
        header = LogHeader(FORMAT, self.cluster, self.name, snapshot.index, snapshot.term)
        self._replace(LOG_FILE, [header, *divide_into_records(hard_state, entries)])
        os.close(self._log)
        self._log = os.open(self.directory / LOG_FILE, os.O_WRONLY | os.O_APPEND)
        self._synced_term_and_vote = TermAndVote(hard_state.term, hard_state.vote)

    def _fsync(self, descriptor: int) -> None:
        if self.sync:
            self.fsync_count += 1
            os.fsync(descriptor)

    def _replace(self, file_name: str, values: Iterable[object]) -> None:
        """Replace a file atomically with one that has `values` as its records, and sync the directory."""
        replace_file(self.directory / file_name, values, self._fsync)
        descriptor = os.open(self.directory, os.O_RDONLY)
        try:
            self._fsync(descriptor)
        finally:
            os.close(descriptor)
