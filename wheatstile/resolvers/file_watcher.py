"""Watches a path for changes: by the file system's notifications, or by polling if there are none."""

import asyncio
import os
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass
from pathlib import Path

import structlog
from watchfiles import Change, awatch

log = structlog.get_logger()

QUIET_TIME_MS = 5  # changes are reported once none has come for this time
MAX_DEBOUNCE_MS = 25  # changes are reported after this time even if more are coming
MIN_NOTIFICATION_TIMEOUT_MS = 100
MAX_SYMBOLIC_LINKS = 40  # links followed for one path; the limit of the Linux kernel


@dataclass(frozen=True, slots=True)
class WatchedPaths:
    """The folders and names in which a change may make a path lead to another file."""

    folders: frozenset[str]  # absolute, without symbolic links, existing
    names: frozenset[str]  # relevant entries of these folders

    def concerns(self, _change: Change, path: str) -> bool:
        """Return whether a change of this path is relevant. A filter for `watchfiles.awatch`."""
        return os.path.basename(path) in self.names


def watched_paths(path: Path) -> WatchedPaths:
    """Return the folders and names to watch for a path, which may lead through symbolic links. May block."""
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
    """Return the path with this link replaced by its target. The link is the path itself or a parent."""
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
        """Watch in a background task until the end of the block."""
        task = asyncio.create_task(self.run())
        try:
            yield
        finally:
            task.cancel()
            await asyncio.wait([task])

    async def run(self) -> None:
        """Watch until cancelled. Without notifications, `changed` is set every `poll_interval_s` seconds."""
        while True:
            watched = await asyncio.to_thread(watched_paths, self.path)
            self.changed.set()  # there may have been a change before the watch began
            try:
                if not await self._watch(watched):
                    return
            except (OSError, RuntimeError) as error:
                self._report_failure(error)
                await asyncio.sleep(self.poll_interval_s)

    async def _watch(self, watched: WatchedPaths) -> bool:
        """Set `changed` at each change. Return True once other paths must be watched, False at the end."""
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
        """Log the first failure."""
        if not self._failure_reported:
            log.warning("file_watch_failed", reason=str(error), poll_interval_s=self.poll_interval_s)
        self._failure_reported = True
