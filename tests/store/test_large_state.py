"""Files of the store whose contents are larger than one record."""

from __future__ import annotations

import zlib
from collections.abc import Callable
from pathlib import Path

import msgspec
import pytest

from wheatstile.store.backup import BackupHeader, read_backup, restore_backup, write_backup
from wheatstile.store.commands import MAX_VALUE_BYTES, Command, Operation, OperationKind
from wheatstile.store.directory_contents import FORMAT, SNAPSHOT_FILE, read_directory
from wheatstile.store.errors import CorruptStorageError
from wheatstile.store.raft.messages import Configuration, Entry, EntryKind, HardState, Snapshot
from wheatstile.store.record_file import HEADER, MAX_RECORD_BYTES, encode_record, read_records
from wheatstile.store.state_machine import StateMachine
from wheatstile.store.storage import Storage

CONFIGURATION = Configuration(frozenset("abc"))
WRITE_COUNT = MAX_RECORD_BYTES // MAX_VALUE_BYTES + 1


@pytest.fixture(scope="module")
def large_state() -> bytes:
    """Return the data of a state machine whose live data is one value, but whose events exceed a record."""
    machine = StateMachine()
    for index in range(1, WRITE_COUNT + 1):
        machine.apply(index, Command([Operation(OperationKind.PUT, "k", bytes(MAX_VALUE_BYTES))]))
    data = machine.dump()
    assert len(data) > MAX_RECORD_BYTES
    return data


def write_snapshot(directory: Path, data: bytes) -> Path:
    with Storage(directory, "c", "a", sync=False) as storage:
        snapshot = Snapshot(WRITE_COUNT, 1, CONFIGURATION, data)
        storage.save_snapshot(snapshot, HardState(1, None, WRITE_COUNT), [])
    return directory / SNAPSHOT_FILE


def read_snapshot_data(directory: Path) -> bytes:
    snapshot = read_directory(directory).snapshot
    assert snapshot
    return snapshot.data


def write_backup_file(directory: Path, data: bytes) -> Path:
    write_backup(directory / "backup", "c", WRITE_COUNT, data)
    return directory / "backup"


def read_backup_data(directory: Path) -> bytes:
    return read_backup(directory / "backup").data


FILES = pytest.mark.parametrize(
    ("write", "read"),
    [(write_snapshot, read_snapshot_data), (write_backup_file, read_backup_data)],
    ids=["snapshot", "backup"],
)
Write = Callable[[Path, bytes], Path]
Read = Callable[[Path], bytes]


@FILES
def test_a_state_larger_than_a_record_is_read_back(
    tmp_path: Path, large_state: bytes, write: Write, read: Read
) -> None:
    """Guards against members that do not start again, and backups that cannot be restored."""
    write(tmp_path, large_state)
    assert read(tmp_path) == large_state


def test_a_small_state_is_stored_as_by_earlier_versions(tmp_path: Path) -> None:
    """Guards against files that an earlier version cannot read, although it could have written them."""
    snapshot = Snapshot(WRITE_COUNT, 1, CONFIGURATION, b"state")
    assert write_snapshot(tmp_path, b"state").read_bytes() == encode_record(snapshot)
    header = encode_record(BackupHeader(FORMAT, "c", WRITE_COUNT))
    assert write_backup_file(tmp_path, b"state").read_bytes() == header + encode_record(b"state")


@FILES
def test_a_missing_part_is_detected(tmp_path: Path, large_state: bytes, write: Write, read: Read) -> None:
    path = write(tmp_path, large_state)
    *_, last = read_records(path)
    with path.open("r+b") as file:
        file.truncate(last.offset)
    with pytest.raises(CorruptStorageError, match=f"expected {len(large_state)}"):
        read(tmp_path)


def test_a_backup_larger_than_a_record_is_restored(tmp_path: Path, large_state: bytes) -> None:
    restore_backup(write_backup_file(tmp_path, large_state), tmp_path / "a", "new", "a")
    assert StateMachine.load(read_snapshot_data(tmp_path / "a")).events.events[-1].revision == WRITE_COUNT


def test_a_record_of_an_earlier_version_above_the_limit_is_read(tmp_path: Path, large_state: bytes) -> None:
    """Earlier versions wrote a snapshot of any size as one record, which they could not read again."""
    path = write_snapshot(tmp_path, b"")
    body = msgspec.msgpack.encode(Snapshot(WRITE_COUNT, 1, CONFIGURATION, large_state))
    length_checksum = zlib.crc32(len(body).to_bytes(4, "big"))
    path.write_bytes(HEADER.pack(len(body), length_checksum, zlib.crc32(body)) + body)
    assert read_snapshot_data(tmp_path) == large_state


def test_a_group_of_commands_larger_than_a_record_is_read_back(tmp_path: Path) -> None:
    entries = [Entry(1, index, EntryKind.DATA, bytes(MAX_VALUE_BYTES)) for index in range(1, WRITE_COUNT + 1)]
    with Storage(tmp_path, "c", "a", sync=False) as storage:
        storage.append(HardState(1, "a", WRITE_COUNT), entries)
    contents = read_directory(tmp_path)
    assert contents.entries == entries
    assert contents.hard_state == HardState(1, "a", WRITE_COUNT)
