"""Reads the states of files, so that changes are detected by inode, size and modification time."""

import os
from collections.abc import Iterable
from contextlib import suppress
from pathlib import Path
from typing import NamedTuple

MAX_CHECKED_FILES = 5000  # further files are not checked for changes


class FileState(NamedTuple):
    """The state of a file on disk. The content of a file is assumed to be unchanged if its state is."""

    path: str
    inode: int
    size_bytes: int
    modified_ns: int


def file_states(paths: Iterable[Path], referenced_files: Iterable[str] = ()) -> list[FileState]:
    """Return the states of the files at or below the paths, and of the referenced files.

    Missing files are omitted.
    """
    files = {os.path.realpath(file) for file in referenced_files}
    for path in paths:
        files.add(os.path.realpath(path))
        for directory, _, names in os.walk(path):  # does not iterate if the path is a file
            files.update(os.path.realpath(os.path.join(directory, name)) for name in names)
    states = []
    for file in sorted(files)[:MAX_CHECKED_FILES]:
        with suppress(OSError):
            status = os.stat(file)
            states.append(FileState(file, status.st_ino, status.st_size, status.st_mtime_ns))
    return states
