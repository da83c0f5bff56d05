"""Writes that are on disk when they return, for files that have to survive a crash."""

from __future__ import annotations

import os
from collections.abc import Callable
from contextlib import suppress
from pathlib import Path


def write_all(descriptor: int, data: bytes | memoryview) -> None:
    """Write all of `data`. Raises OSError, after which a part of it may have been written."""
    remaining = memoryview(data)
    while remaining:
        written_bytes = os.write(descriptor, remaining)
        remaining = remaining[written_bytes:]


def sync_directory(path: Path, fsync: Callable[[int], None] = os.fsync) -> None:
    """Make the creation, the replacement and the removal of files in a directory durable. Raises OSError."""
    descriptor = os.open(path, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
    try:
        fsync(descriptor)
    finally:
        os.close(descriptor)


def sync_ancestors(path: Path, fsync: Callable[[int], None] = os.fsync) -> None:
    """Make the creation of a directory and of its parents durable. Raises OSError.

    Ancestors on other file systems, and those that the process may not read, were not created with it.
    """
    device = path.stat().st_dev
    for ancestor in path.absolute().parents:
        if ancestor.stat().st_dev != device:
            break
        with suppress(PermissionError):
            sync_directory(ancestor, fsync)
