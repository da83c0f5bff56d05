"""Writes the complete state of a store to a backup file, and creates a member's directory from such a file.

A backup has records in the format of `record_file`: a `BackupHeader`, and the state machine's data, which is
divided into parts if it is too large for one record (`data_parts`).
"""

from __future__ import annotations

import os
from dataclasses import dataclass
from itertools import islice
from pathlib import Path

import msgspec

from wheatstile.store.data_parts import decode_stored_data, load_data, parts_of, store_data
from wheatstile.store.directory_contents import FORMAT, check_format
from wheatstile.store.errors import CorruptStorageError, RestoreRejectedError
from wheatstile.store.raft.messages import Configuration, HardState, Snapshot
from wheatstile.store.record_file import read_records, replace_file
from wheatstile.store.state_machine import SnapshotData
from wheatstile.store.storage import Storage

MIN_RECORD_COUNT = 2
RESTORED_TERM = 1
"""The term of the first snapshot of a restored cluster."""


class BackupHeader(msgspec.Struct, frozen=True):
    """The first record of a backup: the name of the original cluster, and the revision of its state."""

    format: int
    cluster: str
    revision: int


@dataclass(frozen=True, slots=True)
class Backup:
    """The contents of a backup; `data` is the state machine's data, as in a snapshot."""

    header: BackupHeader
    data: bytes


def write_backup(path: Path, cluster: str, revision: int, data: bytes) -> None:
    """Write a backup atomically. Raises OSError."""
    header = BackupHeader(FORMAT, cluster, revision)
    replace_file(path, [header, store_data(data), *parts_of(data)], os.fsync)


def read_backup(path: Path) -> Backup:
    """Read a backup. Raises `CorruptStorageError`, OSError."""
    if not path.exists():
        raise CorruptStorageError(str(path), None, "the file does not exist")
    records = read_records(path)
    first_records = list(islice(records, MIN_RECORD_COUNT))
    if len(first_records) < MIN_RECORD_COUNT:
        reason = f"{len(first_records)} complete records; a backup has at least {MIN_RECORD_COUNT}"
        raise CorruptStorageError(str(path), 0, reason)
    header_record, data_record = first_records
    header = header_record.decode(BackupHeader)
    check_format(path, header.format)
    return Backup(header, load_data(str(path), decode_stored_data(data_record), records))


def restore_backup(path: Path, directory: Path, cluster: str, name: str) -> BackupHeader:
    """Create the directory of the first member of a new cluster from a backup, and return its header.

    Revisions continue from the backup's revision. Client sessions are omitted, because the writes of
    the clients after the backup are unknown.

    Raises `CorruptStorageError`, `RestoreRejectedError`, OSError.
    """
    backup = read_backup(path)
    header = backup.header
    if cluster == header.cluster:
        raise RestoreRejectedError(
            f"the backup was taken from cluster {cluster!r}; a restored cluster needs another name, "
            "so that members of the two clusters reject each other"
        )
    if directory.exists() and any(directory.iterdir()):
        raise RestoreRejectedError(f"{directory} is not empty")
    state = msgspec.structs.replace(msgspec.msgpack.decode(backup.data, type=SnapshotData), sessions={})
    configuration = Configuration(frozenset({name}))
    snapshot = Snapshot(header.revision, RESTORED_TERM, configuration, msgspec.msgpack.encode(state))
    with Storage(directory, cluster, name) as storage:
        storage.save_snapshot(snapshot, HardState(RESTORED_TERM, None, header.revision), [])
    return header
