"""Replaces files as a whole or not at all. May block: call it off the event loop."""

import contextlib
import fcntl
import glob
import os
import tempfile
from collections.abc import Iterator
from pathlib import Path

TEMPORARY_SUFFIX = ".new"
FILE_MODE = 0o644


def write_atomic(path: Path, data: bytes) -> None:
    """Replace a file as a whole: write a temporary one beside it, fsync, rename, and fsync the folder.

    After a crash at any point the name has the old bytes or the new ones; a temporary file may stay, which
    the next call removes. Two writers at once do not mix their bytes.

    Raises:
        OSError: the file could not be replaced; the old one stays.

    """
    prefix = f".{path.name}."
    for leftover in path.parent.glob(f"{glob.escape(prefix)}*{TEMPORARY_SUFFIX}"):
        _remove_abandoned(leftover)
    descriptor, temporary_name = tempfile.mkstemp(TEMPORARY_SUFFIX, prefix, path.parent)
    try:
        with _closing(descriptor):
            # Locked for as long as its writer lives, so that no other writer takes it for abandoned.
            fcntl.flock(descriptor, fcntl.LOCK_EX)
            os.fchmod(descriptor, FILE_MODE)
            _write_all(descriptor, data)
            os.fsync(descriptor)
            os.replace(temporary_name, path)
    except BaseException:
        with contextlib.suppress(OSError):
            os.unlink(temporary_name)
        raise
    with _closing(os.open(path.parent, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)) as folder:
        os.fsync(folder)


@contextlib.contextmanager
def _closing(descriptor: int) -> Iterator[int]:
    try:
        yield descriptor
    finally:
        os.close(descriptor)


def _write_all(descriptor: int, data: bytes) -> None:
    remaining = memoryview(data)
    while remaining:
        written = os.write(descriptor, remaining)
        remaining = remaining[written:]


def _open_to_lock(path: Path) -> int:
    return os.open(path, os.O_RDONLY | os.O_NONBLOCK | os.O_CLOEXEC)


def _remove_abandoned(path: Path) -> None:
    """Remove a temporary file whose writer has died: its lock went with it."""
    with contextlib.suppress(OSError), _closing(_open_to_lock(path)) as descriptor:
        fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
        path.unlink()
