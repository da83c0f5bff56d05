"""`Storage`: recovery after a crash, and rejection of damaged files with the position of the damage."""

from __future__ import annotations

import errno
import os
import tempfile
from pathlib import Path

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from wheatstile.store import log_records
from wheatstile.store.directory_contents import FORMAT, LOG_FILE, SNAPSHOT_FILE, DirectoryContents, LogHeader
from wheatstile.store.errors import CorruptStorageError
from wheatstile.store.log_records import LogRecord
from wheatstile.store.raft.messages import Configuration, Entry, EntryKind, HardState, Snapshot
from wheatstile.store.record_file import encode_record, temporary_path
from wheatstile.store.storage import Storage


def make_entries(first: int, count: int, term: int) -> list[Entry]:
    """Return `count` entries that start at index `first`."""
    return [
        Entry(term, index, EntryKind.DATA, f"{term}:{index}".encode())
        for index in range(first, first + count)
    ]


def make_snapshot(index: int, term: int) -> Snapshot:
    """Return a snapshot at `index` with the data "state"."""
    return Snapshot(index, term, Configuration(frozenset("abc")), b"state")


def recover(directory: Path) -> DirectoryContents:
    """Open and close the directory, as a restart does after a crash, and return its contents."""
    with Storage(directory, "c", "a", sync=False) as storage:
        return storage.recovered


def append_records(directory: Path, *records: tuple[HardState | None, list[Entry]]) -> list[int]:
    """Append records to the directory's log, and return the size of the log after each of them."""
    sizes_bytes = []
    with Storage(directory, "c", "a", sync=False) as storage:
        for hard_state, entries in records:
            storage.append(hard_state, entries)
            sizes_bytes.append((directory / LOG_FILE).stat().st_size)
    return sizes_bytes


def test_a_later_record_replaces_the_entries_from_its_first_index_on(tmp_path: Path) -> None:
    append_records(
        tmp_path,
        (HardState(1, "a", 0), make_entries(1, 5, term=1)),
        (HardState(2, None, 3), make_entries(4, 1, term=2)),
    )
    recovered = recover(tmp_path)
    assert recovered.hard_state == HardState(2, None, 3)
    assert [(entry.index, entry.term) for entry in recovered.entries] == [(1, 1), (2, 1), (3, 1), (4, 2)]


@pytest.mark.parametrize(("term", "remaining"), [(1, [5, 6]), (2, [])])
def test_only_entries_after_the_snapshot_remain_after_a_crash_between_snapshot_and_log(
    tmp_path: Path, term: int, remaining: list[int]
) -> None:
    """Entries of the old log that conflict with the snapshot are discarded."""
    append_records(tmp_path, (HardState(1, None, 0), make_entries(1, 6, term=1)))
    with Storage(tmp_path, "c", "a", sync=False) as storage:
        log = (tmp_path / LOG_FILE).read_bytes()
        storage.save_snapshot(make_snapshot(4, term), HardState(term, None, 4), [])
    (tmp_path / LOG_FILE).write_bytes(log)  # the log as it was before the snapshot
    assert [entry.index for entry in recover(tmp_path).entries] == remaining


def store_snapshot_halfway(directory: Path, snapshot: Snapshot) -> None:
    """Replace the snapshot, but not the log, as a crash between the two does."""
    log = (directory / LOG_FILE).read_bytes()
    with Storage(directory, "c", "a", sync=False) as storage:
        storage.save_snapshot(snapshot, HardState(snapshot.term, None, snapshot.index), [])
    (directory / LOG_FILE).write_bytes(log)


INTERRUPTED_SNAPSHOTS = pytest.mark.parametrize(
    ("snapshot", "remaining"),
    [
        (make_snapshot(4, term=1), [5, 6]),
        (make_snapshot(4, term=2), []),
        (make_snapshot(6, term=2), []),
        (make_snapshot(9, term=2), []),
    ],
    ids=["included", "conflicts", "conflicts-at-the-end", "ahead"],
)


@INTERRUPTED_SNAPSHOTS
def test_entries_appended_after_an_interrupted_snapshot_survive_further_restarts(
    tmp_path: Path, snapshot: Snapshot, remaining: list[int]
) -> None:
    """Guards against acknowledged entries that follow the snapshot in a log that does not name it."""
    append_records(tmp_path, (HardState(1, None, 2), make_entries(1, 6, term=1)))
    store_snapshot_halfway(tmp_path, snapshot)
    first_index = max([snapshot.index, *remaining]) + 1
    append_records(tmp_path, (None, make_entries(first_index, 3, term=2)))
    for _ in range(2):
        recovered = recover(tmp_path)
        expected = [*remaining, *range(first_index, first_index + 3)]
        assert [entry.index for entry in recovered.entries] == expected
        assert not recovered.is_log_outdated


@INTERRUPTED_SNAPSHOTS
def test_entries_that_an_earlier_version_appended_to_an_outdated_log_are_read(
    tmp_path: Path, snapshot: Snapshot, remaining: list[int]
) -> None:
    """Guards against the loss of entries that earlier versions acknowledged after an interrupted snapshot."""
    append_records(tmp_path, (HardState(1, None, 2), make_entries(1, 6, term=1)))
    store_snapshot_halfway(tmp_path, snapshot)
    first_index = max([snapshot.index, *remaining]) + 1
    with (tmp_path / LOG_FILE).open("ab") as log:
        appended = make_entries(first_index, 3, term=2)
        log.write(encode_record(LogRecord(None, appended[:2])))
        log.write(encode_record(LogRecord(HardState(2, None, first_index), appended[2:])))
    recovered = recover(tmp_path)
    assert [entry.index for entry in recovered.entries] == [*remaining, *range(first_index, first_index + 3)]
    assert recovered.hard_state == HardState(2, None, first_index)
    assert recover(tmp_path).entries == recovered.entries


@pytest.mark.parametrize(
    ("header_term", "first_index", "reason"),
    [(1, 6, "between index 4 and index 6 are missing"), (2, 5, "a snapshot of term 2, not of term 1")],
)
def test_a_log_that_does_not_follow_the_snapshot_is_rejected(
    tmp_path: Path, header_term: int, first_index: int, reason: str
) -> None:
    with Storage(tmp_path, "c", "a", sync=False) as storage:
        storage.save_snapshot(make_snapshot(4, term=1), HardState(1, None, 4), [])
    header = LogHeader(FORMAT, "c", "a", 4, header_term)
    record = LogRecord(None, make_entries(first_index, 1, term=2))
    (tmp_path / LOG_FILE).write_bytes(encode_record(header) + encode_record(record))
    with pytest.raises(CorruptStorageError, match=reason):
        recover(tmp_path)


@settings(max_examples=60, deadline=None)
@given(st.integers(1, 8), st.data())
def test_a_crash_during_an_append_loses_only_that_record(record_count: int, data: st.DataObject) -> None:
    with tempfile.TemporaryDirectory() as name:
        directory = Path(name)
        records = [(None, make_entries(number * 3 + 1, 3, term=1)) for number in range(record_count)]
        sizes_bytes = append_records(directory, *records)
        log = (directory / LOG_FILE).read_bytes()
        written_bytes = data.draw(st.integers(0, len(log)), label="bytes written")
        (directory / LOG_FILE).write_bytes(log[:written_bytes])
        complete_records = sum(size <= written_bytes for size in sizes_bytes)
        expected = list(range(1, complete_records * 3 + 1))
        assert [entry.index for entry in recover(directory).entries] == expected
        assert recover(directory).torn_bytes == 0, "the incomplete record was not truncated"


@settings(max_examples=60, deadline=None)
@given(st.data())
def test_a_crash_during_an_append_of_several_records_commits_no_replaced_entry(data: st.DataObject) -> None:
    """The hard state follows the entries, because its commit index includes entries that replace others."""
    with tempfile.TemporaryDirectory() as name, pytest.MonkeyPatch.context() as patch:
        patch.setattr(log_records, "MAX_ENTRIES_BYTES", 1)  # a record for each entry
        directory = Path(name)
        [before_bytes, after_bytes] = append_records(
            directory,
            (HardState(1, "a", 3), make_entries(1, 6, term=1)),
            (HardState(2, None, 6), make_entries(4, 4, term=2)),
        )
        log = (directory / LOG_FILE).read_bytes()
        assert len(log) == after_bytes
        written_bytes = data.draw(st.integers(before_bytes, after_bytes), label="bytes written")
        (directory / LOG_FILE).write_bytes(log[:written_bytes])
        recovered = recover(directory)
        assert recovered.hard_state == HardState(
            *((2, None, 6) if written_bytes == after_bytes else (1, "a", 3))
        )
        assert [entry.index for entry in recovered.entries] == list(range(1, len(recovered.entries) + 1))
        committed = recovered.entries[: recovered.hard_state.commit]
        assert [entry.term for entry in committed] == [1, 1, 1, 2, 2, 2][: recovered.hard_state.commit]


@settings(max_examples=60, deadline=None)
@given(st.data())
def test_a_flipped_bit_is_always_detected(data: st.DataObject) -> None:
    """The last record is checked as well, because it may have been acknowledged."""
    with tempfile.TemporaryDirectory() as name:
        directory = Path(name)
        records = [(HardState(1, "a", 0), make_entries(number + 1, 1, term=1)) for number in range(3)]
        append_records(directory, *records)
        log = bytearray((directory / LOG_FILE).read_bytes())
        bit = data.draw(st.integers(0, len(log) * 8 - 1), label="bit")
        log[bit // 8] ^= 1 << bit % 8
        (directory / LOG_FILE).write_bytes(log)
        with pytest.raises(CorruptStorageError, match=r"log: offset \d+: "):
            recover(directory)


def test_a_full_disk_gets_the_space_of_an_interrupted_replacement_back(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a member that cannot start on a disk that its own unfinished snapshot has filled."""

    def write_half(descriptor: int, data: bytes) -> int:
        original_write(descriptor, data[: len(data) // 2])
        raise OSError(errno.ENOSPC, "No space left on device")

    original_write = os.write
    with Storage(tmp_path, "c", "a", sync=False) as storage, monkeypatch.context() as patch:
        files = sorted(tmp_path.iterdir())
        patch.setattr(os, "write", write_half)
        with pytest.raises(OSError, match="No space"):
            storage.save_snapshot(make_snapshot(4, term=1), HardState(1, None, 4), [])
        assert sorted(tmp_path.iterdir()) == files
    for file_name in (LOG_FILE, SNAPSHOT_FILE):  # as after a kill
        temporary_path(tmp_path / file_name).write_bytes(b"incomplete")
    recover(tmp_path)
    assert sorted(tmp_path.iterdir()) == files


@pytest.mark.parametrize(("cluster", "name"), [("other", "a"), ("c", "b")])
def test_the_directory_of_another_member_is_rejected(tmp_path: Path, cluster: str, name: str) -> None:
    append_records(tmp_path, (None, make_entries(1, 1, term=1)))
    with pytest.raises(CorruptStorageError, match="the log belongs to 'a' in cluster 'c'"):
        Storage(tmp_path, cluster, name)


def test_a_directory_that_is_in_use_cannot_be_opened_again(tmp_path: Path) -> None:
    with Storage(tmp_path, "c", "a"), pytest.raises(BlockingIOError):
        Storage(tmp_path, "c", "a")
    recover(tmp_path)
