"""Reads regular files, and rejects FIFOs, devices and directories. May block: call it in a thread."""

import os
import stat
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from pathlib import Path

import xxhash

from wheatstile.config.violations import ConfigurationError, Violation

READ_SIZE_BYTES = 1 << 18
FILE_TYPE_NAMES = {
    stat.S_IFDIR: "a directory",
    stat.S_IFIFO: "a FIFO",
    stat.S_IFCHR: "a device",
    stat.S_IFBLK: "a device",
    stat.S_IFSOCK: "a socket",
}


@dataclass(frozen=True, slots=True)
class FileSignature:
    """The metadata of a file that shows changes of its content.

    The ctime of the inode is not included: it also changes if another file is renamed over this one.
    """

    device: int
    inode: int
    size: int  # bytes
    modified_at_ns: int

    @classmethod
    def from_descriptor(cls, descriptor: int) -> "FileSignature":
        """Return the signature of an open file. Raises OSError."""
        status = os.fstat(descriptor)
        return cls(status.st_dev, status.st_ino, status.st_size, status.st_mtime_ns)


@dataclass(frozen=True, slots=True)
class FileVersion:
    """Identifies the content of a file at one time. Equal versions have the same metadata and bytes."""

    signature: FileSignature
    fingerprint: bytes  # a hash of the bytes


@dataclass(frozen=True, slots=True)
class Snapshot:
    """The content of a file as it was read."""

    data: bytes
    signature: FileSignature  # taken after the read
    fingerprint: bytes  # a hash of the bytes
    torn: bool  # True if the file changed during the read

    @property
    def version(self) -> FileVersion:
        """The version of the file that was read."""
        return FileVersion(self.signature, self.fingerprint)


def open_regular_file(path: Path) -> int:
    """Open a regular file for reading. Does not block on other types of files.

    Returns:
        A file descriptor, which the caller must close.

    Raises:
        OSError: the file cannot be opened, or is not a regular file.

    """
    # Without O_NONBLOCK, opening a FIFO would block until another process opens it for writing.
    descriptor = os.open(path, os.O_RDONLY | os.O_NONBLOCK | os.O_CLOEXEC | os.O_NOCTTY)
    file_type = stat.S_IFMT(os.fstat(descriptor).st_mode)
    if file_type != stat.S_IFREG:
        os.close(descriptor)
        raise OSError(f"is {FILE_TYPE_NAMES.get(file_type, 'not a regular file')}")
    return descriptor


@contextmanager
def regular_file_descriptor(path: Path) -> Iterator[int]:
    """Provide a descriptor of a regular file, which is closed at the end of the block. Raises OSError."""
    descriptor = open_regular_file(path)
    try:
        yield descriptor
    finally:
        os.close(descriptor)


def snapshot(descriptor: int, max_bytes: int) -> Snapshot:
    """Read an open file from its start, up to max_bytes + 1 bytes. Raises OSError."""
    before = FileSignature.from_descriptor(descriptor)
    limit = max_bytes + 1
    parts = []
    offset = 0
    while offset < limit and (part := os.pread(descriptor, min(READ_SIZE_BYTES, limit - offset), offset)):
        parts.append(part)
        offset += len(part)
    data = b"".join(parts)
    after = FileSignature.from_descriptor(descriptor)
    torn = before != after or len(data) != min(after.size, limit)
    return Snapshot(data, after, xxhash.xxh3_128_digest(data), torn)


def read_regular_file(path: Path, max_bytes: int) -> bytes:
    """Read a regular file, up to max_bytes + 1 bytes. Raises ConfigurationError."""
    try:
        with regular_file_descriptor(path) as descriptor:
            return snapshot(descriptor, max_bytes).data
    except OSError as error:
        raise ConfigurationError(str(path), [Violation("", error.strerror or str(error))]) from None
