"""`encode_record` and `read_records`: files of checksummed records."""

from __future__ import annotations

from pathlib import Path

import pytest

from wheatstile.store.errors import CorruptStorageError, RecordTooLargeError
from wheatstile.store.record_file import MAX_RECORD_BYTES, encode_record, read_records


def test_records_are_read_back_in_order(tmp_path: Path) -> None:
    path = tmp_path / "records"
    path.write_bytes(encode_record("first") + encode_record("second"))
    records = list(read_records(path))
    assert [record.decode(str) for record in records] == ["first", "second"]
    assert records[1].offset == records[0].end_offset
    assert records[1].end_offset == path.stat().st_size


def test_a_missing_file_has_no_records(tmp_path: Path) -> None:
    assert list(read_records(tmp_path / "missing")) == []


def test_the_error_for_a_record_of_another_type_has_its_path_and_offset(tmp_path: Path) -> None:
    path = tmp_path / "records"
    path.write_bytes(encode_record("first") + encode_record(2))
    _, record = read_records(path)
    with pytest.raises(CorruptStorageError) as caught:
        record.decode(str)
    assert (caught.value.path, caught.value.offset) == (str(path), record.offset)


def test_a_record_above_the_limit_is_not_written() -> None:
    with pytest.raises(RecordTooLargeError) as caught:
        encode_record(bytes(MAX_RECORD_BYTES))
    assert caught.value.max_bytes == MAX_RECORD_BYTES
