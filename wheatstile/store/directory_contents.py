"""Reads a member's directory: the snapshot, and the entries of the log that follow it.

The first record of the log contains the format, the owner of the directory, and the index and term of the
snapshot that precedes the log. The entries of a record replace all earlier entries from their first index on.

The snapshot and the log are two files, which are replaced one after the other. After a crash between the two,
the log is older than the snapshot. Versions before 4 December 2026 appended to such a log after a restart, so
that it may contain entries from before and from after the snapshot.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from pathlib import Path

import msgspec

from wheatstile.store.errors import CorruptStorageError
from wheatstile.store.log_records import LogRecord
from wheatstile.store.raft.messages import Entry, HardState, Snapshot
from wheatstile.store.record_file import FileRecord, read_records
from wheatstile.store.snapshot_file import read_snapshot

FORMAT = 1
LOG_FILE = "log"
SNAPSHOT_FILE = "snapshot"


class LogHeader(msgspec.Struct, frozen=True):
    """The first record of the log. `snapshot_*` identify the snapshot before the log (index 0: none)."""

    format: int
    cluster: str
    name: str
    snapshot_index: int = msgspec.field(default=0, name="after")
    snapshot_term: int = msgspec.field(default=0, name="term")


@dataclass
class DirectoryContents:
    """The contents of a member's directory. `header` is None if there is no log."""

    header: LogHeader | None = None
    hard_state: HardState | None = None
    snapshot: Snapshot | None = None
    entries: list[Entry] = field(default_factory=list)
    """The entries after the snapshot."""
    log_end_offset: int = 0
    """Offset in bytes of the end of the last complete record in the log."""
    torn_bytes: int = 0
    """Size in bytes of an incomplete record at the end of the log."""

    @property
    def snapshot_index(self) -> int:
        """The index of the last entry that the snapshot includes, or 0 if there is no snapshot."""
        return self.snapshot.index if self.snapshot else 0

    @property
    def is_log_outdated(self) -> bool:
        """True if the log is older than the snapshot, and was not replaced because of a crash."""
        return self.header is not None and self.header.snapshot_index < self.snapshot_index


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
    _check_header(contents, log_path)
    if contents.is_log_outdated:
        contents.entries = _entries_after_snapshot(contents)
    _check_first_entry(contents, log_path)
    return contents


def check_format(path: Path, file_format: int) -> None:
    """Raise `CorruptStorageError` if this program cannot read the format of the file."""
    if file_format != FORMAT:
        reason = f"format {file_format} is not supported; this program reads format {FORMAT}"
        raise CorruptStorageError(str(path), 0, reason)


def _read_header(record: FileRecord) -> LogHeader:
    header = record.decode(LogHeader)
    check_format(record.path, header.format)
    return header


def _replay(contents: DirectoryContents, record: LogRecord) -> None:
    """Add one record of the log to `contents`."""
    if record.entries:
        _replace_entries(contents, record.entries)
    if record.hard_state:
        contents.hard_state = record.hard_state
        _discard_entries_before_snapshot(contents, record.hard_state.commit)


def _replace_entries(contents: DirectoryContents, entries: list[Entry]) -> None:
    """Add entries after removing those from the first index on.

    An earlier version appended entries with a gap before them to a log that was older than the snapshot. They
    follow the snapshot, and the entries before the gap precede it.
    """
    first_index = entries[0].index
    while contents.entries and contents.entries[-1].index >= first_index:
        contents.entries.pop()
    if contents.entries and contents.entries[-1].index + 1 < first_index:
        contents.entries.clear()
    contents.entries += entries


def _discard_entries_before_snapshot(contents: DirectoryContents, commit_index: int) -> None:
    """Discard the entries up to the snapshot if they conflict with it, and those after it follow it.

    A received snapshot is beyond the commit index. So a commit index beyond the snapshot was appended after
    the snapshot, by an earlier version that had discarded the conflicting entries only in memory.
    """
    if commit_index <= contents.snapshot_index or not contents.snapshot:
        return
    term = _term_at(contents.entries, contents.snapshot.index)
    if term is not None and term != contents.snapshot.term:
        contents.entries = _entries_from(contents.entries, contents.snapshot.index + 1)


def _term_at(entries: list[Entry], index: int) -> int | None:
    """Return the term of the entry at `index`, or None if the contiguous `entries` do not include it."""
    position = index - entries[0].index if entries else -1
    return entries[position].term if 0 <= position < len(entries) else None


def _entries_from(entries: list[Entry], first_index: int) -> list[Entry]:
    return [entry for entry in entries if entry.index >= first_index]


def _check_header(contents: DirectoryContents, log_path: Path) -> None:
    """Raise `CorruptStorageError` if the log is missing, or the snapshot that precedes the log."""
    header = contents.header
    snapshot = contents.snapshot
    if header is None:
        if snapshot:
            raise CorruptStorageError(str(log_path), 0, "the log is missing, although there is a snapshot")
        return
    if header.snapshot_index > contents.snapshot_index:
        reason = f"the snapshot at index {header.snapshot_index}, which precedes the log, is missing"
        raise CorruptStorageError(str(log_path), 0, reason)
    if snapshot and header.snapshot_index == snapshot.index and header.snapshot_term != snapshot.term:
        reason = f"the log follows a snapshot of term {header.snapshot_term}, not of term {snapshot.term}"
        raise CorruptStorageError(str(log_path), 0, reason)


def _entries_after_snapshot(contents: DirectoryContents) -> list[Entry]:
    """Return the entries of an outdated log that follow the snapshot.

    The log either includes the snapshot's last entry, or starts after it (see `_replace_entries`). Otherwise
    all its entries precede the snapshot or conflict with it.
    """
    snapshot = contents.snapshot
    entries = contents.entries
    assert snapshot is not None
    if not entries:
        return []
    follows_snapshot = entries[0].index > snapshot.index
    if follows_snapshot or _term_at(entries, snapshot.index) == snapshot.term:
        return _entries_from(entries, snapshot.index + 1)
    return []


def _check_first_entry(contents: DirectoryContents, log_path: Path) -> None:
    """Raise `CorruptStorageError` if entries are missing between the snapshot and the first entry."""
    if contents.entries and contents.entries[0].index != contents.snapshot_index + 1:
        first_index = contents.entries[0].index
        reason = f"the entries between index {contents.snapshot_index} and index {first_index} are missing"
        raise CorruptStorageError(str(log_path), 0, reason)
