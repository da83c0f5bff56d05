"""Watches a path for changes with file system notifications, or by polling if these are not available."""

import asyncio
import os
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass
from pathlib import Path

import structlog
from watchfiles import Change, awatch

log = structlog.get_logger()

QUIET_TIME_MS = 5  # changes are reported after this time without another change
MAX_DEBOUNCE_MS = 25  # changes are reported after this time even if others follow
MIN_NOTIFICATION_TIMEOUT_MS = 100
MAX_SYMBOLIC_LINKS = 40  # symbolic links that are resolved for one path; the limit of the Linux kernel


@dataclass(frozen=True, slots=True)
class WatchedPaths:
    """The directories and file names to watch, because a change there may change the file at a path."""

    directories: frozenset[str]  # existing directories, as absolute paths without symbolic links
    names: frozenset[str]  # names of the relevant entries in these directories

    def is_relevant(self, _change: Change, path: str) -> bool:
        """Return whether a change of this path is relevant. Used as the filter of `watchfiles.awatch`."""
        return os.path.basename(path) in self.names


def watched_paths(path: Path) -> WatchedPaths:
    """Return the directories and names to watch for a path, including its symbolic links. May block."""
    directories: set[str] = set()
    names: set[str] = set()
    current: Path | None = Path(os.path.abspath(path))
    remaining_links = MAX_SYMBOLIC_LINKS
    while current and remaining_links:
        remaining_links -= 1
        link = _last_link(current)
        for entry in (current, link):
            if entry:
                directories.add(os.path.realpath(entry.parent))
                names.add(entry.name)
        current = _resolve_link(link, current) if link else None
    return WatchedPaths(frozenset(filter(os.path.isdir, directories)), frozenset(names))


def _last_link(path: Path) -> Path | None:
    """Return the last symbolic link in the path: the path itself or its nearest parent that is a link."""
    return next((part for part in (path, *path.parents) if part.is_symlink()), None)


def _resolve_link(link: Path, path: Path) -> Path:
    """Return the path with the link replaced by its target. The link is the path itself or a parent."""
    target = link.parent / os.readlink(link)
    return target if link == path else target / path.relative_to(link)


class FileWatcher:
    """Sets the event `changed` after each change of a path, and at least every `poll_interval_s` seconds."""

    def __init__(self, path: Path, poll_interval_s: float) -> None:
        self.path = path
        self.poll_interval_s = poll_interval_s
        self.changed = asyncio.Event()
        self._failure_reported = False

    @asynccontextmanager
    async def running(self) -> AsyncIterator[None]:
        """Watch in a background task until the block ends."""
        task = asyncio.create_task(self.run())
        try:
            yield
        finally:
            task.cancel()
            await asyncio.wait([task])

    async def run(self) -> None:
        """Watch until cancelled. If notifications fail, set `changed` every `poll_interval_s` seconds."""
        while True:
            watched = await asyncio.to_thread(watched_paths, self.path)
            self.changed.set()  # the file may have changed before the watch started
            try:
                if not await self._watch(watched):
                    return
            except (OSError, RuntimeError) as error:
                self._report_failure(error)
                await asyncio.sleep(self.poll_interval_s)

    async def _watch(self, watched: WatchedPaths) -> bool:
        """Set `changed` at each change of the watched paths.

        Return True if other paths must be watched from now on, False if the watch has ended.
        """
        changes = awatch(
            *watched.directories,
            watch_filter=watched.is_relevant,
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
        """Log a failure of the notifications, but only the first one."""
        if not self._failure_reported:
            log.warning("file_watch_failed", reason=str(error), poll_interval_s=self.poll_interval_s)
        self._failure_reported = True
