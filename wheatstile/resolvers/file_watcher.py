"""FileWatcher that something near a path has changed, by the file system's own where it gives them."""

import asyncio
import os
from pathlib import Path

import structlog
from watchfiles import Change, awatch

log = structlog.get_logger()

STEP, TOGETHER = (
    5,
    25,
)  # ms: quiet after which changes are told, and for how long they are put together at most
LINKS = 40  # symbolic links that a path may lead through


def watched_paths(path: Path) -> tuple[set[str], set[str]]:
    """The folders in which a change may lead the path elsewhere, and the names in them that matter."""
    folders, names = set(), set()
    todo, left = [Path(os.path.abspath(path))], LINKS
    while todo and left:
        current = todo.pop()
        left -= 1
        for part in (current, *current.parents):
            if part == current or part.is_symlink():
                folders.add(os.path.realpath(part.parent))
                names.add(part.name)
            if part.is_symlink():
                target = part.parent / os.readlink(part)
                todo.append(target / current.relative_to(part) if part != current else target)
                break
    return {folder for folder in folders if os.path.isdir(folder)}, names


class FileWatcher:
    """Sets an event for each change near the path. Where nothing tells, looking in turn finds it."""

    def __init__(self, path: Path, recheck: float) -> None:
        self.path, self.recheck = path, recheck
        self.changed = asyncio.Event()

    async def run(self) -> None:
        told = False
        while True:
            folders, names = await asyncio.to_thread(watched_paths, self.path)

            def concerns(_: Change, path: str, names: set[str] = names) -> bool:
                return os.path.basename(path) in names

            try:
                self.changed.set()  # what came before the watch stood is found by a look
                async for _ in awatch(
                    *folders,
                    watch_filter=concerns,
                    step=STEP,
                    debounce=TOGETHER,
                    rust_timeout=max(100, int(self.recheck * 1000)),
                    yield_on_timeout=True,
                    recursive=False,
                ):
                    self.changed.set()
                    if await asyncio.to_thread(watched_paths, self.path) != (folders, names):
                        break  # a link leads elsewhere now
                else:
                    return
                continue
            except (OSError, RuntimeError) as error:
                if not told:
                    log.warning(
                        "servers file: no notices, looked at in turn", reason=str(error), every_s=self.recheck
                    )
                told = True
            await asyncio.sleep(self.recheck)
