"""Encodes, reads and atomically replaces files of checksummed records.

A record is a header (length of the body, CRC-32 of the length, CRC-32 of the body; 4 bytes each, big-endian)
and a body in MessagePack. The separate checksum of the length distinguishes an incomplete record, which
remains after a crash during a write, from a corrupt length.
"""

from __future__ import annotations

import os
import struct
import zlib
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import TypeVar

import msgspec

from wheatstile.store.errors import CorruptStorageError

Decoded = TypeVar("Decoded")

HEADER = struct.Struct(">III")
LENGTH_BYTES = 4
MAX_RECORD_BYTES = 256 * 1024 * 1024
"""Maximum size of the body of one record. A larger length is treated as corrupt."""


@dataclass(frozen=True, slots=True)
class FileRecord:
    """The body of a complete record, and the position of the record in its file."""

    path: Path
    offset: int
    body: bytes

    @property
    def end_offset(self) -> int:
        """Offset of the first byte after the record."""
        return self.offset + HEADER.size + len(self.body)

    def decode(self, value_type: type[Decoded]) -> Decoded:
        """Decode the body. Raises `CorruptStorageError` if it is not a `value_type`."""
        try:
            return msgspec.msgpack.decode(self.body, type=value_type)
        except msgspec.DecodeError as error:
            raise CorruptStorageError(str(self.path), self.offset, str(error)) from error


def encode_record(value: object) -> bytes:
    """Return `value` as one record."""
    body = msgspec.msgpack.encode(value)
    return HEADER.pack(len(body), _length_checksum(len(body)), zlib.crc32(body)) + body


def _length_checksum(length: int) -> int:
    return zlib.crc32(length.to_bytes(LENGTH_BYTES, "big"))


def replace_file(path: Path, values: Iterable[object], fsync: Callable[[int], None]) -> None:
    """Replace a file atomically with one that has `values` as its records. Raises OSError.

    `fsync` is called with the descriptor of the new file. The directory is not synced.
    """
    temporary = path.with_name(f".{path.name}.new")
    with open(temporary, "wb") as file:
        file.write(b"".join(map(encode_record, values)))
        file.flush()
        fsync(file.fileno())
    os.replace(temporary, path)


def read_records(path: Path) -> Iterator[FileRecord]:
    """Yield each complete record of a file. A missing file has none.

    An incomplete record at the end is omitted; it starts at the `end_offset` of the last complete record.
    Raises `CorruptStorageError` for a record whose checksums do not match.
    """
    data = path.read_bytes() if path.exists() else b""
    offset = 0
    while offset + HEADER.size <= len(data):
        length, length_checksum, checksum = HEADER.unpack_from(data, offset)
        if _length_checksum(length) != length_checksum or length > MAX_RECORD_BYTES:
            raise CorruptStorageError(str(path), offset, "the length of the record is corrupt")
        start = offset + HEADER.size
        record = FileRecord(path, offset, data[start : start + length])
        if len(record.body) < length:
            return
        actual = zlib.crc32(record.body)
        if actual != checksum:
            raise CorruptStorageError(
                str(path), offset, f"the checksum of the record is {actual:#x}, expected {checksum:#x}"
            )
        yield record
        offset = record.end_offset
