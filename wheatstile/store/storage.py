"""Stores the persistent state of a Raft node in one directory: a log of records and a snapshot.

The file `snapshot` is replaced atomically: the new file is written and synced under another name and renamed,
then the directory is synced. For each `Ready`, one record is appended to the file `log`, or several if the
entries are too large for one (`log_records`), with at most one fsync. The log is replaced with each snapshot,
after it. `directory_contents` reads both files.

A crash between the two replacements leaves a log that is older than the snapshot. It is replaced when the
directory is opened, before anything is appended. A crash during an append leaves an incomplete record, which
is truncated when the directory is opened, because none of its contents was acknowledged. Any other damage may
affect acknowledged entries. The member then rejects its directory, and has to be removed from the cluster and
added again with an empty directory.
"""

from __future__ import annotations

import fcntl
import os
from collections.abc import Iterable
from pathlib import Path
from types import TracebackType
from typing import NamedTuple, Self

from wheatstile.durable_files import sync_ancestors, sync_directory, write_all
from wheatstile.store.directory_contents import (
    FORMAT,
    LOG_FILE,
    SNAPSHOT_FILE,
    DirectoryContents,
    LogHeader,
    read_directory,
)
from wheatstile.store.errors import CorruptStorageError
from wheatstile.store.log_records import divide_into_records
from wheatstile.store.raft.messages import Entry, HardState, Snapshot
from wheatstile.store.record_file import encode_record, replace_file, temporary_path
from wheatstile.store.snapshot_file import snapshot_records

LOCK_FILE = "lock"


class TermAndVote(NamedTuple):
    """The part of the hard state that must be synced before a message is sent."""

    term: int
    vote: str | None


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
            self._log = self._open_synced_log()
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
        """Read the directory, and complete what a crash has interrupted; create the log if there is none.

        An earlier process may have ended between a write, or the replacement of a file, and its fsync. The
        directory is therefore synced before it is read.
        """
        sync_directory(self.directory, self._fsync)
        self._remove_temporary_files()
        contents = read_directory(self.directory)
        if contents.header is None:
            sync_ancestors(self.directory, self._fsync)
            self._replace(LOG_FILE, [LogHeader(FORMAT, self.cluster, self.name)])
            return contents
        self._check_owner(contents.header)
        if contents.snapshot and contents.is_log_outdated:
            self._replace_log(contents.snapshot, contents.hard_state, contents.entries)
        elif contents.torn_bytes:
            os.truncate(self.directory / LOG_FILE, contents.log_end_offset)
        return contents

    def _remove_temporary_files(self) -> None:
        """Remove the files of interrupted replacements."""
        for file_name in (LOG_FILE, SNAPSHOT_FILE):
            temporary_path(self.directory / file_name).unlink(missing_ok=True)

    def _open_synced_log(self) -> int:
        """Open the log for appending, and sync what an earlier process has appended."""
        log = self._open_log()
        try:
            self._fsync(log)
        except BaseException:
            os.close(log)
            raise
        return log

    def _open_log(self) -> int:
        return os.open(self.directory / LOG_FILE, os.O_WRONLY | os.O_APPEND | os.O_CLOEXEC)

    def _check_owner(self, header: LogHeader) -> None:
        """Raise `CorruptStorageError` if the directory belongs to another member."""
        if (header.cluster, header.name) != (self.cluster, self.name):
            owner = f"the log belongs to {header.name!r} in cluster {header.cluster!r}"
            reason = f"{owner}, not to {self.name!r} in cluster {self.cluster!r}"
            raise CorruptStorageError(str(self.directory / LOG_FILE), 0, reason)

    def append(self, hard_state: HardState | None, entries: list[Entry]) -> None:
        """Store the hard state and the entries of one `Ready`.

        Raises OSError. The contents of the disk are unknown after that, so the member must stop.
        """
        if hard_state is None and not entries:
            return
        for record in divide_into_records(hard_state, entries):
            write_all(self._log, encode_record(record))
        term_and_vote = (
            TermAndVote(hard_state.term, hard_state.vote) if hard_state else self._synced_term_and_vote
        )
        # A record that only advances the commit index needs no fsync: a member that loses the commit index
        # receives it again from the leader.
        if entries or term_and_vote != self._synced_term_and_vote:
            self._fsync(self._log)
        self._synced_term_and_vote = term_and_vote

    def save_snapshot(self, snapshot: Snapshot, hard_state: HardState, entries: list[Entry]) -> None:
        """Replace the snapshot, and then the log with one of `entries`, which follow it. Raises OSError."""
        self._replace(SNAPSHOT_FILE, snapshot_records(snapshot))
        self._replace_log(snapshot, hard_state, entries)
        log = self._open_log()
        os.close(self._log)
        self._log = log
        self._synced_term_and_vote = TermAndVote(hard_state.term, hard_state.vote)

    def _replace_log(self, snapshot: Snapshot, hard_state: HardState | None, entries: list[Entry]) -> None:
        """Replace the log with one that follows `snapshot`, which is on disk. Raises OSError."""
        header = LogHeader(FORMAT, self.cluster, self.name, snapshot.index, snapshot.term)
        self._replace(LOG_FILE, [header, *divide_into_records(hard_state, entries)])

    def _fsync(self, descriptor: int) -> None:
        if self.sync:
            self.fsync_count += 1
            os.fsync(descriptor)

    def _replace(self, file_name: str, values: Iterable[object]) -> None:
        """Replace a file atomically with one that has `values` as its records. Raises OSError."""
        replace_file(self.directory / file_name, values, self._fsync)
