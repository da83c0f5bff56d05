"""Backups: a store's whole state in one file, and a member's directory made from one; no process needed.

The file has two records, as the log has them: a `BackupHeader`, and the state machine's data.
"""

from __future__ import annotations

import os
from dataclasses import dataclass
from pathlib import Path

import msgspec

from wheatstile.store.errors import CorruptStorageError, RestoreRejectedError
from wheatstile.store.raft.messages import Configuration, HardState, Snapshot
from wheatstile.store.record_file import encode_record, read_records
from wheatstile.store.state_machine import SnapshotData
from wheatstile.store.storage import FORMAT, Storage

RECORD_COUNT = 2
RESTORED_TERM = 1
"""The term of the snapshot from which a restored cluster begins."""


class BackupHeader(msgspec.Struct, frozen=True):
    """The first record: the cluster that was backed up, and the revision of its state."""

    format: int
    cluster: str
    revision: int


@dataclass(frozen=True, slots=True)
class Backup:
    """What a backup holds; `data` is the state machine's, as in a snapshot."""

    header: BackupHeader
    data: bytes


def write_backup(path: Path, cluster: str, revision: int, data: bytes) -> None:
    """Write a backup, completely or not at all. Raises OSError."""
    temporary = path.with_name(f".{path.name}.new")
    with open(temporary, "wb") as file:
        file.write(encode_record(BackupHeader(FORMAT, cluster, revision)) + encode_record(data))
        file.flush()
        os.fsync(file.fileno())
    os.replace(temporary, path)


def read_backup(path: Path) -> Backup:
    """Read a backup. Raises `CorruptStorageError`, OSError."""
    if not path.exists():
        raise CorruptStorageError(str(path), None, "not there")
    records = list(read_records(path))
    if len(records) != RECORD_COUNT:
        raise CorruptStorageError(str(path), 0, f"{len(records)} whole records, two wanted")
    header = records[0].decode(BackupHeader)
    data = records[1].decode(bytes)
    if header.format != FORMAT:
        reason = f"format {header.format}, and this program reads {FORMAT}"
        raise CorruptStorageError(str(path), 0, reason)
    return Backup(header, data)


def restore_backup(path: Path, directory: Path, cluster: str, name: str) -> BackupHeader:
    """Make `directory` that of the one voter of a new cluster, to which others are added.

    Revisions go on from the backup's. Clients' sessions are left out, since what they did after the backup is
    not known. Raises `CorruptStorageError`, `RestoreRejectedError`, OSError.
    """
    backup = read_backup(path)
    header = backup.header
    if cluster == header.cluster:
        raise RestoreRejectedError(
            f"the backup is of cluster {cluster!r}: a restored one needs another name, or "
            "members of both would take each other for their own"
        )
    if directory.exists() and any(directory.iterdir()):
        raise RestoreRejectedError(f"{directory} is not empty")
    state = msgspec.structs.replace(msgspec.msgpack.decode(backup.data, type=SnapshotData), sessions={})
    configuration = Configuration(frozenset({name}))
    snapshot = Snapshot(header.revision, RESTORED_TERM, configuration, msgspec.msgpack.encode(state))
    with Storage(directory, cluster, name) as storage:
        storage.save_snapshot(snapshot, HardState(RESTORED_TERM, None, header.revision), [])
    return header
