"""The durable log: what a crash leaves is read back; what no crash leaves is refused with its place."""

from __future__ import annotations

from pathlib import Path

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from wheatstile.store.disk import Damaged, Disk
from wheatstile.store.raft import Entry, EntryKind, HardState, Snapshot


def entries(first: int, count: int, term: int) -> list[Entry]:
    return [Entry(term, i, EntryKind.DATA, f"{term}:{i}".encode()) for i in range(first, first + count)]


def test_a_later_record_replaces_the_log_from_its_first_index(tmp_path: Path) -> None:
    disk = Disk(tmp_path, sync=False)
    disk.save(HardState(1, "a", 0), None, entries(1, 5, 1))
    disk.save(HardState(2, None, 3), None, entries(4, 1, 2))  # a follower truncated at 4
    disk.close()
    loaded = Disk(tmp_path, sync=False).loaded
    assert loaded.hard_state == HardState(2, None, 3)
    assert [(e.index, e.term) for e in loaded.entries] == [(1, 1), (2, 1), (3, 1), (4, 2)]


def test_compaction_keeps_only_what_follows_the_snapshot(tmp_path: Path) -> None:
    disk = Disk(tmp_path, sync=False)
    disk.save(None, None, entries(1, 10, 1))
    disk.compact(Snapshot(6, 1, frozenset({"a", "b", "c"}), b"state"), entries(7, 4, 1))
    disk.save(None, None, entries(11, 1, 1))
    disk.close()
    loaded = Disk(tmp_path, sync=False).loaded
    assert loaded.snapshot == Snapshot(6, 1, frozenset({"a", "b", "c"}), b"state")
    assert [e.index for e in loaded.entries] == [7, 8, 9, 10, 11]


@settings(max_examples=60, deadline=None)
@given(st.integers(1, 8), st.data())
def test_a_crash_in_an_append_loses_that_record_alone(records: int, data: st.DataObject) -> None:
    import tempfile

    with tempfile.TemporaryDirectory() as name:
        directory = Path(name)
        disk = Disk(directory, sync=False)
        ends = []
        for r in range(records):
            disk.save(None, None, entries(r * 3 + 1, 3, 1))
            ends.append((directory / "log").stat().st_size)
        disk.close()
        whole = (directory / "log").read_bytes()
        cut = data.draw(st.integers(0, len(whole)), label="bytes kept")
        (directory / "log").write_bytes(whole[:cut])
        loaded = Disk(directory, sync=False).loaded
        whole_records = sum(1 for end in ends if end <= cut)
        assert [e.index for e in loaded.entries] == list(range(1, whole_records * 3 + 1))
        assert loaded.torn_bytes == cut - (ends[whole_records - 1] if whole_records else 0)


def test_damage_before_the_end_is_refused_with_its_offset(tmp_path: Path) -> None:
    disk = Disk(tmp_path, sync=False)
    for r in range(3):
        disk.save(None, None, entries(r + 1, 1, 1))
    disk.close()
    whole = bytearray((tmp_path / "log").read_bytes())
    whole[10] ^= 0xFF  # inside the first record's body
    (tmp_path / "log").write_bytes(bytes(whole))
    with pytest.raises(Damaged, match="offset 0: checksum"):
        Disk(tmp_path, sync=False)
