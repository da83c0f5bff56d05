"""Watches a path for changes by the file system's notifications, or by time where there are none."""

import asyncio
import os
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass
from pathlib import Path

import structlog
from watchfiles import Change, awatch

log = structlog.get_logger()

QUIET_TIME_MS = 5  # without a change, after which the changes so far are reported
MAX_DEBOUNCE_MS = 25  # for which changes are collected into one report at most
MIN_NOTIFICATION_TIMEOUT_MS = 100
MAX_SYMBOLIC_LINKS = 40  # that a path may lead through, as in the Linux kernel


@dataclass(frozen=True, slots=True)
class WatchedPaths:
    """Where a change may make a path lead to another file."""

    folders: frozenset[str]  # absolute, without symbolic links, existing
    names: frozenset[str]  # of the entries in these folders that matter

    def concerns(self, _change: Change, path: str) -> bool:
        """Return whether a change of this path matters: a filter for `watchfiles.awatch`."""
        return os.path.basename(path) in self.names


def watched_paths(path: Path) -> WatchedPaths:
    """Find what to watch for a path that may lead through symbolic links. May block."""
    folders: set[str] = set()
    names: set[str] = set()
    current: Path | None = Path(os.path.abspath(path))
    remaining_links = MAX_SYMBOLIC_LINKS
    while current and remaining_links:
        remaining_links -= 1
        link = _first_link(current)
        for entry in (current, link):
            if entry:
                folders.add(os.path.realpath(entry.parent))
                names.add(entry.name)
        current = _follow(link, current) if link else None
    return WatchedPaths(frozenset(filter(os.path.isdir, folders)), frozenset(names))


def _first_link(path: Path) -> Path | None:
    """Return the symbolic link nearest to the end of the path: the path itself or a parent."""
    return next((part for part in (path, *path.parents) if part.is_symlink()), None)


def _follow(link: Path, path: Path) -> Path:
    """Return the path with this link, which is the path itself or a parent, replaced by its target."""
    target = link.parent / os.readlink(link)
    return target if link == path else target / path.relative_to(link)


class FileWatcher:
    """Sets the event `changed` after each change of a path, and at least every `poll_interval_s`."""

    def __init__(self, path: Path, poll_interval_s: float) -> None:
        self.path = path
        self.poll_interval_s = poll_interval_s
        self.changed = asyncio.Event()
        self._failure_reported = False

    @asynccontextmanager
    async def running(self) -> AsyncIterator[None]:
        """Watch in a task of its own for as long as the block runs."""
        task = asyncio.create_task(self.run())
        try:
            yield
        finally:
            task.cancel()
            await asyncio.wait([task])

    async def run(self) -> None:
        """Watch until cancelled. Without notifications, `changed` is set every `poll_interval_s`."""
        while True:
            watched = await asyncio.to_thread(watched_paths, self.path)
            self.changed.set()  # a change before the watch began is found by reading the file
            try:
                if not await self._watch(watched):
                    return
            except (OSError, RuntimeError) as error:
                self._report_failure(error)
                await asyncio.sleep(self.poll_interval_s)

    async def _watch(self, watched: WatchedPaths) -> bool:
        """Report changes until a symbolic link leads elsewhere: True. False if the watch was stopped."""
        changes = awatch(
            *watched.folders,
            watch_filter=watched.concerns,
            step=QUIET_TIME_MS,
            debounce=MAX_DEBOUNCE_MS,
            rust_timeout=max(MIN_NOTIFICATION_TIMEOUT_MS, int(self.poll_interval_s * 1000)),
            yield_on_timeout=True,
            recursive=False,
        )
        async for _ in changes:
            self.changed.set()
            if await asyncio.to_thread(watched_paths, self.path) != watched:
                return True
        return False

    def _report_failure(self, error: Exception) -> None:
        if not self._failure_reported:
            log.warning("file_watch_failed", reason=str(error), poll_interval_s=self.poll_interval_s)
        self._failure_reported = True
