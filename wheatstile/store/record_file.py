"""Files of checksummed records: encoding, reading, and replacing a file as a whole.

A record is a header (length of the body, CRC-32 of the length, CRC-32 of the body; 4 bytes each, big-endian)
and a body in MessagePack. The length has a checksum of its own, so that a record cut short by a crash is told
from a damaged length.
"""

from __future__ import annotations

import struct
import zlib
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import TypeVar

import msgspec

from wheatstile.store.errors import CorruptStorageError

Decoded = TypeVar("Decoded")

HEADER = struct.Struct(">III")
MAX_RECORD_BYTES = 256 * 1024 * 1024
"""Bytes of one body at most; a larger length is damage."""


@dataclass(frozen=True, slots=True)
class FileRecord:
    """The body of a complete record, and where the record stands in its file."""

    path: Path
    offset: int
    body: bytes

    @property
    def end_offset(self) -> int:
        """The offset of the first byte after the record."""
        return self.offset + HEADER.size + len(self.body)

    def decode(self, kind: type[Decoded]) -> Decoded:
        """Decode the body. Raises `CorruptStorageError` where it is no `kind`."""
        try:
            return msgspec.msgpack.decode(self.body, type=kind)
        except msgspec.DecodeError as error:
            raise CorruptStorageError(str(self.path), self.offset, str(error)) from error


def encode_record(value: object) -> bytes:
    """Return `value` as one record."""
    body = msgspec.msgpack.encode(value)
    length = len(body).to_bytes(4, "big")
    return HEADER.pack(len(body), zlib.crc32(length), zlib.crc32(body)) + body


def read_records(path: Path) -> Iterator[FileRecord]:
    """Yield each complete record; a file that is not there has none.

    An incomplete record at the end is left out: the last one's `end_offset` says where it begins. Raises
    `CorruptStorageError` for a record whose checksums do not match.
    """
    data = path.read_bytes() if path.exists() else b""
    offset = 0
    while offset + HEADER.size <= len(data):
        length, length_checksum, checksum = HEADER.unpack_from(data, offset)
        if zlib.crc32(length.to_bytes(4, "big")) != length_checksum or length > MAX_RECORD_BYTES:
            raise CorruptStorageError(str(path), offset, "the record's length does not check")
        start = offset + HEADER.size
        record = FileRecord(path, offset, data[start : start + length])
        if len(record.body) < length:
            return
        actual = zlib.crc32(record.body)
        if actual != checksum:
            raise CorruptStorageError(str(path), offset, f"checksum {actual:#x}, not {checksum:#x}")
        yield record
        offset = record.end_offset
