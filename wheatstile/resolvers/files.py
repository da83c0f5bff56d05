"""Files read whole or not at all, and replaced whole or not at all. May block: call it off the loop.

What it can promise: a sealed document is taken only as its writer made it, however it was written. An
unsealed one is taken once its file has stood unchanged, by its bytes and by what the file system says of it,
for the settle time; a writer that rewrites it in place and rests longer than that in the middle can still be
believed, where the middle happens to be a whole document.
"""

import contextlib
import fcntl
import glob
import os
import stat
import tempfile
import time
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Literal

import xxhash

from wheatstile.config.violations import ConfigurationError, Violation
from wheatstile.resolvers import document
from wheatstile.resolvers.document import Document, Rules

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


@dataclass(frozen=True, slots=True)
class Reading:
    """What one look at the file came to."""

    outcome: Literal["unsettled", "same", "whole", "refused", "problem"]
    reasons: tuple[str, ...] = ()
    document: Document | None = None
    wait: float = 0.0  # seconds after which to look again, where it is unsettled


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


@dataclass(slots=True)
class _Candidate:
    """A file under observation, kept open: it settles even when its name goes to another file meanwhile."""

    descriptor: int
    snapshot: Snapshot
    since: float
    verdict: Document | ConfigurationError


class FileReader:
    """Reads one file of servers. Owns the descriptor of the file that it watches settle."""

    def __init__(
        self, path: Path, rules: Rules, settle: float, clock: Callable[[], float] = time.monotonic
    ) -> None:
        self.path, self.rules, self.settle, self._clock = path, rules, settle, clock
        self._candidate: _Candidate | None = None
        self._done: tuple[tuple[int, ...], bytes] | None = None  # what was last told of

    def look(self) -> Reading:
        """One look. Raises nothing: what is wrong with the file is the reading's to tell."""
        try:
            if (reading := self._again()) is not None:
                return reading
            return self._first()
        except OSError as error:
            self.close()
            self._done = None
            return Reading("problem", (f"{self.path}: {error.strerror or error}",))

    def close(self) -> None:
        if self._candidate:
            os.close(self._candidate.descriptor)
            self._candidate = None

    def _again(self) -> Reading | None:
        """Look once more at the candidate; None if there is none, or it was rewritten in place."""
        candidate = self._candidate
        if candidate is None:
            return None
        now = snapshot(candidate.descriptor, self.rules.most_bytes)
        same = (
            now.signature == candidate.snapshot.signature
            and now.fingerprint == candidate.snapshot.fingerprint
        )
        if now.torn or not same:
            self.close()
            return None
        left = candidate.since + self.settle - self._clock()
        return Reading("unsettled", wait=left) if left > 0 else self._tell(candidate)

    def _first(self) -> Reading:
        descriptor = open_regular(self.path)
        try:
            found = snapshot(descriptor, self.rules.most_bytes)
            if not found.torn and self._done == (found.signature, found.fingerprint):
                return Reading("same")
            if found.torn:
                return Reading("unsettled", wait=self.settle / 4)
            verdict = self._read(found.data)
            candidate = _Candidate(descriptor, found, self._clock(), verdict)
            if isinstance(verdict, Document) and verdict.sealed:
                return self._tell(candidate, keep=True)
            self._candidate, descriptor = candidate, -1
            return Reading("unsettled", wait=self.settle)
        finally:
            if descriptor >= 0:
                os.close(descriptor)

    def _read(self, data: bytes) -> Document | ConfigurationError:
        try:
            return document.read(str(self.path), data, self.rules)
        except ConfigurationError as refused:
            return refused

    def _tell(self, candidate: _Candidate, keep: bool = False) -> Reading:
        if not keep:
            self.close()
        self._done = candidate.snapshot.signature, candidate.snapshot.fingerprint
        if isinstance(candidate.verdict, ConfigurationError):
            return Reading("refused", tuple(candidate.verdict.lines()))
        return Reading("whole", document=candidate.verdict)


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
