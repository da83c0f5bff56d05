"""Regular files read as a whole. May block: call it off the loop."""

import os
import stat
from dataclasses import dataclass
from pathlib import Path

import xxhash

from wheatstile.config.violations import ConfigurationError, Violation

PART = 1 << 18  # bytes read at once
KINDS = {
    stat.S_IFDIR: "a directory",
    stat.S_IFIFO: "a FIFO",
    stat.S_IFCHR: "a device",
    stat.S_IFBLK: "a device",
    stat.S_IFSOCK: "a socket",
}


@dataclass(frozen=True, slots=True)
class Snapshot:
    """A file's bytes at one moment, and what the file system said before and after they were read."""

    data: bytes
    signature: tuple[int, ...]  # device, inode, size, time of change in ns
    fingerprint: bytes  # of the bytes
    torn: bool  # the file changed while it was read


def open_regular(path: Path) -> int:
    """A descriptor of a regular file, never blocking on what is none. Raises OSError."""
    # Without O_NONBLOCK a FIFO in the file's place would stop the reader until somebody writes to it.
    descriptor = os.open(path, os.O_RDONLY | os.O_NONBLOCK | os.O_CLOEXEC | os.O_NOCTTY)
    kind = stat.S_IFMT(os.fstat(descriptor).st_mode)
    if kind != stat.S_IFREG:
        os.close(descriptor)
        raise OSError(f"is {KINDS.get(kind, 'no file')}")
    return descriptor


def snapshot(descriptor: int, most_bytes: int) -> Snapshot:
    """The open file's bytes from its start, one more than most_bytes at most. Raises OSError."""
    before = _signature(descriptor)
    parts, left = [], most_bytes + 1
    while left > 0 and (part := os.pread(descriptor, min(PART, left), most_bytes + 1 - left)):
        parts.append(part)
        left -= len(part)
    data = b"".join(parts)
    after = _signature(descriptor)
    torn = before != after or len(data) != min(after[2], most_bytes + 1)
    return Snapshot(data, after, xxhash.xxh3_128_digest(data), torn)


def _signature(descriptor: int) -> tuple[int, ...]:
    # Not the time of the inode's change: the inode changes when another file is renamed over its name.
    found = os.fstat(descriptor)
    return found.st_dev, found.st_ino, found.st_size, found.st_mtime_ns


def read_all(path: Path, most_bytes: int) -> bytes:
    """A regular file's bytes, one more than most_bytes at most. Raises ConfigurationError."""
    try:
        descriptor = open_regular(path)
        try:
            return snapshot(descriptor, most_bytes).data
        finally:
            os.close(descriptor)
    except OSError as error:
        raise ConfigurationError(str(path), [Violation("", error.strerror or str(error))]) from None
