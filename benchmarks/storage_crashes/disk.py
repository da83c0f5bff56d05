"""Simulates a process that is killed, a power failure, and errors of the disk, at a chosen system call.

`SimulatedDisk` replaces the functions of `os` that change files. It counts the calls, and at the chosen call
it ends the process (every later call raises `ProcessEndedError` as well) or raises an OSError. It also
records what fsync has made durable, so that `lose_power` can discard the rest.
"""

from __future__ import annotations

import enum
import errno
import os
import random
import shutil
from collections.abc import Callable, Iterator
from contextlib import ExitStack, contextmanager
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any
from unittest import mock


class FailureKind(enum.Enum):
    """What happens at the chosen system call."""

    KILL = "the process is killed"
    POWER_LOSS = "the machine loses power"
    DISK_FULL = "the disk is full from then on"
    IO_ERROR = "the disk reports an error, once"


@dataclass(frozen=True, slots=True)
class Failure:
    """A failure at the system call with this number, counted from 1."""

    kind: FailureKind
    call: int


class ProcessEndedError(BaseException):
    """The simulated process has ended. It is no Exception, so that no handler of the program continues."""


DirectoryEntries = dict[str, int]
"""The inode number of each name in a directory."""


@dataclass
class DurableState:
    """What the disk still has after a power failure."""

    entries: dict[Path, DirectoryEntries] = field(default_factory=dict)
    """The entries of each directory when it was synced last."""
    contents: dict[int, bytes] = field(default_factory=dict)
    """The contents of each file, by its inode number, when it was synced last."""


class SimulatedDisk:
    """The disk under `root`, for one history of processes that run one after the other.

    `removed` is an empty directory on the same file system. It keeps a link to each file that was removed or
    replaced, so that its inode number is not used again.
    """

    def __init__(self, root: Path, removed: Path, rng: random.Random) -> None:
        self.root = root
        self._removed = removed
        self._rng = rng
        self._durable = DurableState()
        self._failure: Failure | None = None
        self._calls = 0
        self._has_ended = False
        self._is_full = False

    @contextmanager
    def process(self, failure: Failure | None) -> Iterator[None]:
        """Run one process within the `with` block, which meets `failure`."""
        self._failure = failure
        self._calls = 0
        self._has_ended = False
        self._is_full = False
        with ExitStack() as stack:
            for name, function in self._functions().items():
                stack.enter_context(mock.patch.object(os, name, function))
            yield

    def _functions(self) -> dict[str, Callable[..., Any]]:
        """Return the replacements of the functions of `os` that change files."""
        return {
            "replace": self._removing(os.replace),
            "unlink": self._removing(os.unlink),
            "truncate": self._counted(os.truncate),
            "write": self._writing(os.write),
            "fsync": self._sync,
        }

    def _fail_if_due(self) -> None:
        """Count one call, and fail if the failure is due."""
        if self._has_ended:
            raise ProcessEndedError
        self._calls += 1
        if self._failure is None or self._calls != self._failure.call:
            return
        match self._failure.kind:
            case FailureKind.DISK_FULL:
                self._is_full = True
            case FailureKind.IO_ERROR:
                raise OSError(errno.EIO, os.strerror(errno.EIO))
            case _:
                self._has_ended = True
                raise ProcessEndedError

    def _counted(self, original: Callable[..., None]) -> Callable[..., None]:
        def call(*arguments: Any) -> None:
            self._fail_if_due()
            original(*arguments)

        return call

    def _removing(self, original: Callable[..., None]) -> Callable[..., None]:
        """Return a function whose last argument is the path of a file that it removes or replaces."""

        def call(*paths: Path) -> None:
            self._fail_if_due()
            self._keep_inode(paths[-1])
            original(*paths)

        return call

    def _keep_inode(self, path: Path) -> None:
        if path.exists():
            os.link(path, self._removed / str(len(list(self._removed.iterdir()))))

    def _writing(self, original: Callable[[int, bytes], int]) -> Callable[[int, bytes], int]:
        """Return a function that writes, or writes only a part of the data if it fails."""

        def write(descriptor: int, data: bytes) -> int:
            try:
                self._fail_if_due()
            except BaseException:
                original(descriptor, bytes(data)[: self._rng.randint(0, len(data))])
                raise
            if not self._is_full:
                return original(descriptor, data)
            original(descriptor, bytes(data)[: self._rng.randint(0, len(data) - 1)])
            raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))

        return write

    def _sync(self, descriptor: int) -> None:
        """Record what fsync makes durable, without waiting for the real disk."""
        self._fail_if_due()
        path = Path(os.readlink(f"/proc/self/fd/{descriptor}"))
        if not path.is_relative_to(self.root):
            return
        if path.is_dir():
            self._durable.entries[path] = _entries_of(path)
        else:
            self._durable.contents[path.stat().st_ino] = path.read_bytes()

    def lose_power(self) -> None:
        """Discard what is not durable, or a part of it: what was written may have reached the disk."""
        for path in [path for path in self.root.iterdir() if path.is_dir()]:
            if path.name in self._durable.entries.get(self.root, {}):
                self._restore_directory(path)
            else:
                shutil.rmtree(path)

    def _restore_directory(self, path: Path) -> None:
        durable = self._durable.entries.get(path, {})
        current = _entries_of(path)
        written = {inode: (path / name).read_bytes() for name, inode in current.items()}
        restored = {}
        for name in durable.keys() | current.keys():
            inode = self._rng.choice((durable, current)).get(name)
            if inode is not None:
                restored[name] = self._surviving_contents(inode, written)
        for name in current:
            self._keep_inode(path / name)
            (path / name).unlink()
        for name, contents in restored.items():
            (path / name).write_bytes(contents)
        self._set_durable(path, restored)

    def _surviving_contents(self, inode: int, written: dict[int, bytes]) -> bytes:
        """Return what was synced of a file, and a random part of what was appended to it since then."""
        synced = self._durable.contents.get(inode, b"")
        appended = written.get(inode, synced)
        is_truncated = not appended.startswith(synced)
        if is_truncated:
            return self._rng.choice((synced, appended))
        return appended[: self._rng.randint(len(synced), len(appended))]

    def _set_durable(self, path: Path, restored: dict[str, bytes]) -> None:
        self._durable.entries[path] = _entries_of(path)
        for name, contents in restored.items():
            self._durable.contents[(path / name).stat().st_ino] = contents


def _entries_of(path: Path) -> DirectoryEntries:
    return {entry.name: entry.stat().st_ino for entry in path.iterdir()}
