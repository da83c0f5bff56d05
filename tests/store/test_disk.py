"""The durable log: what a crash leaves is read back; what no crash leaves is refused with its place."""

from __future__ import annotations

import tempfile
from pathlib import Path

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from wheatstile.store.disk import Damaged, Disk
from wheatstile.store.raft.messages import Configuration, Entry, EntryKind, HardState, Snapshot


def entries(first: int, count: int, term: int) -> list[Entry]:
    return [Entry(term, i, EntryKind.DATA, f"{term}:{i}".encode()) for i in range(first, first + count)]


def snapshot(index: int, term: int) -> Snapshot:
    return Snapshot(index, term, Configuration(frozenset("abc")), b"state")


def reopened(directory: Path) -> Disk:
    disk = Disk(directory, "c", "a", sync=False)
    disk.close()
    return disk


def written(directory: Path, *saves: tuple[HardState | None, list[Entry]]) -> list[int]:
    """The log's sizes after each of these."""
    disk, sizes = Disk(directory, "c", "a", sync=False), []
    for state, new in saves:
        disk.save(state, new)
        sizes.append((directory / "log").stat().st_size)
    disk.close()
    return sizes


def test_a_later_record_replaces_the_log_from_its_first_index(tmp_path: Path) -> None:
    written(tmp_path, (HardState(1, "a", 0), entries(1, 5, 1)), (HardState(2, None, 3), entries(4, 1, 2)))
    loaded = reopened(tmp_path).loaded
    assert loaded.hard_state == HardState(2, None, 3)
    assert [(e.index, e.term) for e in loaded.entries] == [(1, 1), (2, 1), (3, 1), (4, 2)]


@pytest.mark.parametrize(("term", "kept"), [(1, [5, 6]), (2, [])])
def test_a_crash_between_a_snapshot_and_its_log_keeps_only_what_follows_from_it(
    tmp_path: Path,
    term: int,
    kept: list[int],
) -> None:
    """Entries of another branch than the snapshot's may not stand behind it."""
    written(tmp_path, (HardState(1, None, 0), entries(1, 6, 1)))
    disk = Disk(tmp_path, "c", "a", sync=False)
    log = (tmp_path / "log").read_bytes()
    disk.compact(snapshot(4, term), HardState(term, None, 4), [])
    disk.close()
    (tmp_path / "log").write_bytes(log)  # as it was when the snapshot had just been renamed
    assert [e.index for e in reopened(tmp_path).loaded.entries] == kept


@settings(max_examples=60, deadline=None)
@given(st.integers(1, 8), st.data())
def test_a_crash_in_an_append_loses_that_record_alone(records: int, data: st.DataObject) -> None:
    with tempfile.TemporaryDirectory() as name:
        directory = Path(name)
        sizes = written(directory, *((None, entries(r * 3 + 1, 3, 1)) for r in range(records)))
        whole = (directory / "log").read_bytes()
        cut = data.draw(st.integers(0, len(whole)), label="bytes kept")
        (directory / "log").write_bytes(whole[:cut])
        loaded = reopened(directory).loaded
        kept = sum(size <= cut for size in sizes)
        assert [e.index for e in loaded.entries] == list(range(1, kept * 3 + 1))
        assert reopened(directory).loaded.torn_bytes == 0, "it was cut off"


@settings(max_examples=60, deadline=None)
@given(st.data())
def test_a_flipped_bit_is_never_read_as_if_nothing_had_been_there(data: st.DataObject) -> None:
    """Also in the last record, which may have been acknowledged."""
    with tempfile.TemporaryDirectory() as name:
        directory = Path(name)
        written(directory, *((HardState(1, "a", 0), entries(r + 1, 1, 1)) for r in range(3)))
        whole = bytearray((directory / "log").read_bytes())
        bit = data.draw(st.integers(0, len(whole) * 8 - 1), label="bit")
        whole[bit // 8] ^= 1 << bit % 8
        (directory / "log").write_bytes(whole)
        with pytest.raises(Damaged, match=r"log: offset \d+: "):
            reopened(directory)


@pytest.mark.parametrize(("cluster", "name"), [("other", "a"), ("c", "b")])
def test_another_members_directory_is_refused(tmp_path: Path, cluster: str, name: str) -> None:
    written(tmp_path, (None, entries(1, 1, 1)))
    with pytest.raises(Damaged, match="the log of 'a' in cluster 'c'"):
        Disk(tmp_path, cluster, name)


def test_a_directory_has_one_owner(tmp_path: Path) -> None:
    disk = Disk(tmp_path, "c", "a")
    with pytest.raises(BlockingIOError):
        Disk(tmp_path, "c", "a")
    disk.close()
    reopened(tmp_path)
