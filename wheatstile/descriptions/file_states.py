"""Identity, size and time of change of files, to see whether any of them has changed."""

import os
from collections.abc import Iterable
from contextlib import suppress
from pathlib import Path
from typing import NamedTuple

MAX_FILES = 5000  # that are watched for changes


class FileState(NamedTuple):
    """A file as it is on disk; another state means that it may have changed."""

    path: str
    inode: int
    size_bytes: int
    modified_ns: int


def file_states(paths: Iterable[Path], referenced_files: Iterable[str] = ()) -> list[FileState]:
    """Return the states of the files at or below the paths and of the referenced files.

    Missing files are left out.
    """
    files = {os.path.realpath(file) for file in referenced_files}
    for path in paths:
        files.add(os.path.realpath(path))
        for folder, _, names in os.walk(path):  # yields nothing if the path is a file
            files.update(os.path.realpath(os.path.join(folder, name)) for name in names)
    states = []
    for file in sorted(files)[:MAX_FILES]:
        with suppress(OSError):
            status = os.stat(file)
            states.append(FileState(file, status.st_ino, status.st_size, status.st_mtime_ns))
    return states
