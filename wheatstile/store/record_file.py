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
from contextlib import suppress
from dataclasses import dataclass
from pathlib import Path
from typing import BinaryIO, TypeVar

import msgspec

from wheatstile.durable_files import sync_directory, write_all
from wheatstile.store.errors import CorruptStorageError, RecordTooLargeError

Decoded = TypeVar("Decoded")

HEADER = struct.Struct(">III")
LENGTH_BYTES = 4
FILE_MODE = 0o666
"""Permissions of a new file, which the umask of the process restricts."""
MAX_RECORD_BYTES = 256 * 1024 * 1024
"""Maximum size of the body of a record that is written. Larger records of earlier versions are read."""


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
    """Return `value` as one record. Raises `RecordTooLargeError`."""
    body = _encode_body(value)
    return _encode_header(body) + body


def _encode_body(value: object) -> bytes:
    body = msgspec.msgpack.encode(value)
    if len(body) > MAX_RECORD_BYTES:
        raise RecordTooLargeError(len(body), MAX_RECORD_BYTES)
    return body


def _encode_header(body: bytes) -> bytes:
    return HEADER.pack(len(body), _length_checksum(len(body)), zlib.crc32(body))


def _length_checksum(length: int) -> int:
    return zlib.crc32(length.to_bytes(LENGTH_BYTES, "big"))


def temporary_path(path: Path) -> Path:
    """Return the path of the file that `replace_file` writes before it replaces `path`."""
    return path.with_name(f".{path.name}.new")


def replace_file(path: Path, values: Iterable[object], fsync: Callable[[int], None]) -> None:
    """Replace a file atomically with one that has `values` as its records, and sync its directory.

    `fsync` is called with the descriptors of the new file and of the directory. A crash leaves the old or the
    new file, and possibly the temporary one. Raises OSError, `RecordTooLargeError`; the temporary file is
    removed then, so that it does not use the space of a full disk.
    """
    temporary = temporary_path(path)
    try:
        _write_records(temporary, values, fsync)
        temporary.replace(path)
    except Exception:
        with suppress(OSError):
            temporary.unlink()
        raise
    sync_directory(path.parent, fsync)


def _write_records(path: Path, values: Iterable[object], fsync: Callable[[int], None]) -> None:
    descriptor = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_CLOEXEC, FILE_MODE)
    try:
        for value in values:
            body = _encode_body(value)
            write_all(descriptor, _encode_header(body))
            write_all(descriptor, body)
        fsync(descriptor)
    finally:
        os.close(descriptor)


def read_records(path: Path) -> Iterator[FileRecord]:
    """Yield each complete record of a file. A missing file has none.

    An incomplete record at the end is omitted; it starts at the `end_offset` of the last complete record.
    Raises `CorruptStorageError` for a record whose checksums do not match.
    """
    if not path.exists():
        return
    with path.open("rb") as file:
        size_bytes = os.fstat(file.fileno()).st_size
        offset = 0
        while record := _read_record(file, path, offset, size_bytes):
            yield record
            offset = record.end_offset


def _read_record(file: BinaryIO, path: Path, offset: int, size_bytes: int) -> FileRecord | None:
    """Read the record at the current position, which is `offset`. Return None if it is incomplete."""
    header = file.read(HEADER.size)
    if len(header) < HEADER.size:
        return None
    length, length_checksum, checksum = HEADER.unpack(header)
    if _length_checksum(length) != length_checksum:
        raise CorruptStorageError(str(path), offset, "the length of the record is corrupt")
    if length > size_bytes - offset - HEADER.size:
        return None
    body = file.read(length)
    actual = zlib.crc32(body)
    if actual != checksum:
        reason = f"the checksum of the record is {actual:#x}, expected {checksum:#x}"
        raise CorruptStorageError(str(path), offset, reason)
    return FileRecord(path, offset, body)
