"""Reads regular files, and nothing else that a path may lead to. May block: call it off the event loop."""

import os
import stat
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from pathlib import Path

import xxhash

from wheatstile.config.violations import ConfigurationError, Violation

READ_SIZE = 1 << 18  # bytes read at once
FILE_TYPE_NAMES = {
    stat.S_IFDIR: "a directory",
    stat.S_IFIFO: "a FIFO",
    stat.S_IFCHR: "a device",
    stat.S_IFBLK: "a device",
    stat.S_IFSOCK: "a socket",
}


@dataclass(frozen=True, slots=True)
class FileSignature:
    """What the file system says of a file's content.

    The time of the inode's change is left out: it changes when another file is renamed over the file's name.
    """

    device: int
    inode: int
    size: int  # bytes
    modified_at_ns: int

    @classmethod
    def from_descriptor(cls, descriptor: int) -> "FileSignature":
        """Take the signature of an open file. Raises OSError."""
        status = os.fstat(descriptor)
        return cls(status.st_dev, status.st_ino, status.st_size, status.st_mtime_ns)


@dataclass(frozen=True, slots=True)
class Snapshot:
    """A file's bytes at one moment, and what the file system says of them."""

    data: bytes
    signature: FileSignature  # after the bytes were read
    fingerprint: bytes  # a hash of the bytes
    torn: bool  # the file changed while it was read

    def has_same_content(self, other: "Snapshot") -> bool:
        """Whether both show the same file with the same content, by the file system and by the bytes."""
        return self.signature == other.signature and self.fingerprint == other.fingerprint


def open_regular(path: Path) -> int:
    """Open a regular file for reading, without blocking on anything else.

    Returns:
        A descriptor, which the caller closes.

    Raises:
        OSError: it cannot be opened, or is no regular file.

    """
    # Without O_NONBLOCK a FIFO in the file's place would stop the reader until somebody writes to it.
    descriptor = os.open(path, os.O_RDONLY | os.O_NONBLOCK | os.O_CLOEXEC | os.O_NOCTTY)
    file_type = stat.S_IFMT(os.fstat(descriptor).st_mode)
    if file_type != stat.S_IFREG:
        os.close(descriptor)
        raise OSError(f"is {FILE_TYPE_NAMES.get(file_type, 'no file')}")
    return descriptor


@contextmanager
def opened_regular(path: Path) -> Iterator[int]:
    """Open a regular file for the block. Raises OSError."""
    descriptor = open_regular(path)
    try:
        yield descriptor
    finally:
        os.close(descriptor)


def snapshot(descriptor: int, max_bytes: int) -> Snapshot:
    """Read an open file from its start: one byte more than max_bytes at most. Raises OSError."""
    before = FileSignature.from_descriptor(descriptor)
    limit = max_bytes + 1
    parts = []
    offset = 0
    while offset < limit and (part := os.pread(descriptor, min(READ_SIZE, limit - offset), offset)):
        parts.append(part)
        offset += len(part)
    data = b"".join(parts)
    after = FileSignature.from_descriptor(descriptor)
    torn = before != after or len(data) != min(after.size, limit)
    return Snapshot(data, after, xxhash.xxh3_128_digest(data), torn)


def read_all(path: Path, max_bytes: int) -> bytes:
    """Read a regular file, one byte more than max_bytes at most. Raises ConfigurationError."""
    try:
        with opened_regular(path) as descriptor:
            return snapshot(descriptor, max_bytes).data
    except OSError as error:
        raise ConfigurationError(str(path), [Violation("", error.strerror or str(error))]) from None
