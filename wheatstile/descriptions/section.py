"""Descriptions in the running balancer: watched, compiled in a worker, applied completely or not at all."""

import asyncio
from collections.abc import AsyncIterator, Sequence
from contextlib import asynccontextmanager
from dataclasses import dataclass
from pathlib import Path

import structlog

from wheatstile.config.operator import Descriptions, OperatorFile
from wheatstile.config.platform import Config
from wheatstile.descriptions.file_states import FileState, file_states
from wheatstile.descriptions.tightening import tighten_settings
from wheatstile.descriptions.worker_client import build_request, compile_blocking, compile_in_worker
from wheatstile.descriptions.worker_protocol import (
    CompilationRejected,
    CompilationResult,
    CompilationSummary,
    LearnedClasses,
)
from wheatstile.interface import Settings
from wheatstile.net.decision_loop import DecisionLoop
from wheatstile.resolvers.file_watcher import FileWatcher

log = structlog.get_logger()

MAX_LOGGED_REASONS = 20  # in one line of the log; also of warnings


@dataclass(frozen=True, slots=True)
class StartupCompilation:
    """What the descriptions said at the start."""

    summary: CompilationSummary
    files: list[FileState] | None  # None: they changed while they were compiled


def compile_at_startup(operator: OperatorFile, config: Config) -> StartupCompilation | CompilationRejected:
    """Compile before the first client is served.

    No earlier descriptions are in force then, and invalid ones must not count as none: the caller has to end
    the process if they are rejected.
    """
    paths = _paths(operator)
    before = file_states(paths)
    result = compile_blocking(build_request(operator, config), operator)
    if isinstance(result, CompilationRejected):
        return result
    is_unchanged = before == file_states(paths)
    return StartupCompilation(result, file_states(paths, result.files) if is_unchanged else None)


def _paths(operator: OperatorFile) -> list[Path]:
    return [operator.near(path) for path in operator.settings.descriptions.paths]


class DescriptionsSection:
    """Owns the task that watches the descriptions, and what was last learned from them."""

    def __init__(self, decisions: DecisionLoop, startup: StartupCompilation | None) -> None:
        self.decisions = decisions
        self.learned: LearnedClasses = {}
        self._config: Config
        self._task: asyncio.Task[None] | None = None
        self._request: bytes = b""  # of the last compilation; empty: there was none
        self._read_files: list[str] = []  # by the last compilation, also those that are referred to
        self._compiled_files: list[FileState] | None = None  # as they were at the last compilation
        if startup:
            self.learned = startup.summary.classes
            self._read_files = startup.summary.files
            self._compiled_files = startup.files
            _log_applied(startup.summary)

    def applied(self, settings: Settings) -> Settings:
        """Return the platform's settings, tightened by the descriptions."""
        return tighten_settings(settings, self.learned)

    def follow(self, operator: OperatorFile, config: Config) -> None:
        """Watch what these files name from now on; without a change, the running watch goes on."""
        self._config = config
        request = build_request(operator, config)
        if request == self._request:
            return
        compiled_at_startup = not self._request and self._compiled_files is not None
        self._request = request
        self.close()
        if operator.settings.descriptions.paths:
            if not compiled_at_startup:
                self._compiled_files = None
            self._task = asyncio.create_task(self._watch(_paths(operator), operator.settings.descriptions))
        elif self.learned:
            self.learned = {}
            self.decisions.configure(config.settings)
            log.info("descriptions_disabled")

    def close(self) -> None:
        """Stop watching; what was learned stays in force."""
        if self._task:
            self._task.cancel()
            self._task = None

    async def _watch(self, paths: list[Path], section: Descriptions) -> None:
        """Compile at each change, until cancelled."""
        watchers = [FileWatcher(path, section.recheck_s) for path in paths]
        async with _running(watchers):
            while True:
                for watcher in watchers:
                    watcher.changed.clear()
                await self._compile_changes(paths, section)
                await _wait_for_change(watchers, section.recheck_s)

    async def _compile_changes(self, paths: list[Path], section: Descriptions) -> None:
        """Compile if the files have changed and stay unchanged before and during the compilation."""
        while True:
            before = await self._current_files(paths)
            if before == self._compiled_files:
                return
            await asyncio.sleep(section.settle_s)
            if await self._current_files(paths) != before:
                continue
            result = await compile_in_worker(self._request)
            if await self._current_files(paths) != before:
                continue
            if isinstance(result, CompilationSummary) and not _covers(before, result.files):
                self._read_files = result.files  # watch these too, and compile once more
                continue
            self._compiled_files = before
            self._apply(result)
            return

    async def _current_files(self, paths: list[Path]) -> list[FileState]:
        return await asyncio.to_thread(file_states, paths, self._read_files)

    def _apply(self, result: CompilationResult) -> None:
        """Put the result in force; a rejection leaves the earlier descriptions in force."""
        if isinstance(result, CompilationRejected):
            self.decisions.counters["descriptions_rejected"] += 1
            log.warning(
                "descriptions_rejected",
                reasons=result.reasons[:MAX_LOGGED_REASONS],
                faults=result.total_reasons,
            )
            return
        self.learned = result.classes
        self.decisions.configure(self.applied(self._config.settings))
        _log_applied(result)


def _covers(states: list[FileState], files: list[str]) -> bool:
    """Whether each of the files is among the states."""
    return set(files) <= {state.path for state in states}


@asynccontextmanager
async def _running(watchers: Sequence[FileWatcher]) -> AsyncIterator[None]:
    """Run the watchers in tasks. One that fails ends alone: the files are also polled."""
    tasks = [asyncio.create_task(watcher.run()) for watcher in watchers]
    try:
        yield
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.wait(tasks)


async def _wait_for_change(watchers: Sequence[FileWatcher], timeout_s: float) -> None:
    """Wait until one of the watchers reports a change, at most for the time given."""
    waits = [asyncio.create_task(watcher.changed.wait()) for watcher in watchers]
    try:
        await asyncio.wait(waits, timeout=timeout_s, return_when=asyncio.FIRST_COMPLETED)
    finally:
        for wait in waits:
            wait.cancel()


def _log_applied(summary: CompilationSummary) -> None:
    log.info(
        "descriptions_applied",
        files=len(summary.files),
        routes=summary.route_count,
        classes={name: learned.idempotency.value for name, learned in summary.classes.items()},
        warnings=summary.warnings[:MAX_LOGGED_REASONS],
    )
