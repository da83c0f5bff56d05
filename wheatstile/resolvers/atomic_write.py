"""Replaces files atomically. May block: call it in a thread."""

import contextlib
import fcntl
import glob
import os
import tempfile
from collections.abc import Iterator
from pathlib import Path

from wheatstile.durable_files import sync_directory, write_all

TEMPORARY_SUFFIX = ".new"
FILE_MODE = 0o644


def write_atomic(path: Path, data: bytes) -> None:
    """Replace a file atomically, and return once the new content is on disk.

    After a crash at any point the file has either the old or the new content. A temporary file may remain in
    the directory; the next call removes it. The contents of two concurrent writers are never mixed.

    Raises:
        OSError: the file could not be replaced, and still has the old content.

    """
    prefix = f".{path.name}."
    for temporary_path in path.parent.glob(f"{glob.escape(prefix)}*{TEMPORARY_SUFFIX}"):
        _remove_if_abandoned(temporary_path)
    descriptor, temporary_name = tempfile.mkstemp(TEMPORARY_SUFFIX, prefix, path.parent)
    try:
        with _closing(descriptor):
            # The lock prevents other writers from removing the file. The kernel releases it if this
            # process ends.
            fcntl.flock(descriptor, fcntl.LOCK_EX)
            os.fchmod(descriptor, FILE_MODE)
            write_all(descriptor, data)
            os.fsync(descriptor)
            os.replace(temporary_name, path)
    except BaseException:
        with contextlib.suppress(OSError):
            os.unlink(temporary_name)
        raise
    sync_directory(path.parent)


@contextlib.contextmanager
def _closing(descriptor: int) -> Iterator[int]:
    """Close the descriptor at the end of the block."""
    try:
        yield descriptor
    finally:
        os.close(descriptor)


def _remove_if_abandoned(path: Path) -> None:
    """Remove a temporary file, unless its writer still holds the lock."""
    with contextlib.suppress(OSError):
        descriptor = os.open(path, os.O_RDONLY | os.O_NONBLOCK | os.O_CLOEXEC)
        with _closing(descriptor):
            fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
            path.unlink()
