"""Files replaced as a whole or not at all. May block: call it off the loop."""

import contextlib
import fcntl
import glob
import os
import tempfile
from pathlib import Path


def write_atomic(path: Path, data: bytes) -> None:
    """Replace a file as a whole: a temporary one beside it, fsync, rename, fsync of the folder.

    Raises OSError; the old file stands then. After a crash at any point the name has the old bytes or the new
    ones; a temporary file may be left, which the next call removes. Two writers at once do not mix.
    """
    prefix = f".{path.name}."
    for left in path.parent.glob(f"{glob.escape(prefix)}*.new"):
        _remove_if_left(left)
    descriptor, name = tempfile.mkstemp(".new", prefix, path.parent)
    try:
        try:
            fcntl.flock(descriptor, fcntl.LOCK_EX)  # it is somebody's, for as long as they live
            os.fchmod(descriptor, 0o644)
            view = memoryview(data)
            while view:
                view = view[os.write(descriptor, view) :]
            os.fsync(descriptor)
            os.replace(name, path)
        finally:
            os.close(descriptor)
    except BaseException:
        with contextlib.suppress(OSError):
            os.unlink(name)
        raise
    folder = os.open(path.parent, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
    try:
        os.fsync(folder)
    finally:
        os.close(folder)


def _remove_if_left(path: Path) -> None:
    """Remove a temporary file whose writer has died: its lock went with it."""
    with contextlib.suppress(OSError):
        descriptor = os.open(path, os.O_RDONLY | os.O_NONBLOCK | os.O_CLOEXEC)
        try:
            fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
            path.unlink()
        finally:
            os.close(descriptor)
