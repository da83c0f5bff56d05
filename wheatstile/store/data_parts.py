"""Stores data of any size in records: in one record if it fits, otherwise in parts with a record for each.

Earlier versions stored data in one record in all cases. Data that fits is therefore stored as they stored it.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import cast

import msgspec

from wheatstile.store.errors import CorruptStorageError
from wheatstile.store.record_file import MAX_RECORD_BYTES, FileRecord

RECORD_OVERHEAD_BYTES = 16 * 1024 * 1024
"""Space in a record for the fields beside the data; a configuration has at most two client requests."""
MAX_UNDIVIDED_BYTES = MAX_RECORD_BYTES - RECORD_OVERHEAD_BYTES
"""Maximum size of data that is stored in one record."""
PART_BYTES = 16 * 1024 * 1024
"""Size of each part of larger data; the last part can be smaller."""


class DividedData(msgspec.Struct, frozen=True):
    """Takes the place of data that does not fit into one record. The next records are its parts."""

    size_bytes: int = msgspec.field(name="size")


StoredData = bytes | DividedData


def store_data(data: bytes) -> StoredData:
    """Return what a record contains for `data`: the data itself, or the size of the parts that follow."""
    return data if len(data) <= MAX_UNDIVIDED_BYTES else DividedData(len(data))


def parts_of(data: bytes) -> Iterator[memoryview]:
    """Yield the parts of data that does not fit into one record, without copying them."""
    if len(data) <= MAX_UNDIVIDED_BYTES:
        return
    view = memoryview(data)
    for start in range(0, len(data), PART_BYTES):
        yield view[start : start + PART_BYTES]


def decode_stored_data(record: FileRecord) -> StoredData:
    """Decode a record that contains nothing but stored data. Raises `CorruptStorageError`."""
    return cast("StoredData", record.decode(cast("type[object]", StoredData)))


def load_data(path: str, stored: StoredData, records: Iterator[FileRecord]) -> bytes:
    """Return the data that was stored as `stored` and as parts in the remaining `records` of the file.

    Raises `CorruptStorageError` if parts are missing, or if the file has other records after them.
    """
    if isinstance(stored, DividedData):
        data = b"".join(record.decode(bytes) for record in records)
        if len(data) != stored.size_bytes:
            reason = f"the parts of the data have {len(data)} bytes, expected {stored.size_bytes}"
            raise CorruptStorageError(path, None, reason)
        return data
    for record in records:
        raise CorruptStorageError(path, record.offset, "unexpected record after the data")
    return stored
