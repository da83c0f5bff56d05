"""Keeps a running balancer up to date with its descriptions.

The files are watched, and compiled in a worker process at each change. A result is applied completely or not
at all.
"""

import asyncio
from collections.abc import AsyncIterator, Sequence
from contextlib import asynccontextmanager
from dataclasses import dataclass
from pathlib import Path

import structlog

from wheatstile.config.operator import Descriptions, OperatorFile
from wheatstile.config.platform import Config
from wheatstile.descriptions.file_states import FileState, file_states
from wheatstile.descriptions.keywords import IDEMPOTENCY_KEYWORDS
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

MAX_LOGGED_REASONS = 20  # reasons or warnings in one log line


@dataclass(frozen=True, slots=True)
class StartupCompilation:
    """The result of the compilation before the balancer starts to serve."""

    summary: CompilationSummary
    files: list[FileState] | None  # states of the compiled files; None: they changed during the compilation


def compile_at_startup(operator: OperatorFile, config: Config) -> StartupCompilation | CompilationRejected:
    """Compile the descriptions before the first client is served.

    The caller has to end the process on a rejection: without descriptions in force, the balancer would retry
    requests that are not idempotent.
    """
    paths = _paths(operator)
    before = file_states(paths)
    result = compile_blocking(build_request(operator, config), operator)
    if isinstance(result, CompilationRejected):
        return result
    if file_states(paths) != before:
        return StartupCompilation(result, None)
    return StartupCompilation(result, file_states(paths, result.files))


def _paths(operator: OperatorFile) -> list[Path]:
    return [operator.near(path) for path in operator.settings.descriptions.paths]


class DescriptionsSection:
    """Owns the task that watches the descriptions, and the class policies learned from them."""

    def __init__(self, decisions: DecisionLoop, startup: StartupCompilation | None) -> None:
        self.decisions = decisions
        self.learned: LearnedClasses = {}
        self._config: Config
        self._task: asyncio.Task[None] | None = None
        self._request = b""  # request of the last compilation; empty before the first call of `follow`
        self._read_files: list[str] = []  # files that the last compilation read, including referenced ones
        self._compiled_files: list[FileState] | None = None  # file states at the last compilation
        if startup:
            self.learned = startup.summary.classes
            self._read_files = startup.summary.files
            self._compiled_files = startup.files
            _log_applied(startup.summary)

    def applied(self, settings: Settings) -> Settings:
        """Return the platform's settings, tightened by the descriptions in force."""
        return tighten_settings(settings, self.learned)

    def follow(self, operator: OperatorFile, config: Config) -> None:
        """Watch the descriptions that the operator's file names. Does nothing if the request is unchanged."""
        self._config = config
        request = build_request(operator, config)
        if request == self._request:
            return
        is_first_request = not self._request
        self._request = request
        self.close()
        section = operator.settings.descriptions
        if not section.paths:
            self._disable()
            return
        if not is_first_request:
            self._compiled_files = None  # compile for the new request even if no file has changed
        self._task = asyncio.create_task(self._watch(_paths(operator), section))

    def _disable(self) -> None:
        """Put the platform's own settings back in force."""
        if not self.learned:
            return
        self.learned = {}
        self.decisions.configure(self._config.settings)
        log.info("descriptions_disabled")

    def close(self) -> None:
        """Stop watching. The descriptions that were applied last stay in force."""
        if self._task:
            self._task.cancel()
            self._task = None

    async def _watch(self, paths: list[Path], section: Descriptions) -> None:
        """Compile at each change of the files, until cancelled."""
        watchers = [FileWatcher(path, section.recheck_s) for path in paths]
        async with _running(watchers):
            while True:
                for watcher in watchers:
                    watcher.changed.clear()
                await self._compile_changes(paths, section)
                await _wait_for_change(watchers, section.recheck_s)

    async def _compile_changes(self, paths: list[Path], section: Descriptions) -> None:
        """Compile if the files have changed, and apply the result."""
        while True:
            files = await self._current_files(paths)
            if files == self._compiled_files:
                return
            result = await self._compile_stable(paths, files, section.settle_s)
            if result is not None:
                self._compiled_files = files
                self._apply(result)
                return

    async def _compile_stable(
        self, paths: list[Path], files: list[FileState], settle_s: float
    ) -> CompilationResult | None:
        """Compile the files; return None if one of them changes before the end of the compilation.

        None is also returned if the descriptions refer to a file whose state was not observed. That file is
        observed from then on.
        """
        await asyncio.sleep(settle_s)
        if await self._current_files(paths) != files:
            return None
        result = await compile_in_worker(self._request)
        if await self._current_files(paths) != files:
            return None
        if isinstance(result, CompilationSummary) and not _covers(files, result.files):
            self._read_files = result.files
            return None
        return result

    async def _current_files(self, paths: list[Path]) -> list[FileState]:
        return await asyncio.to_thread(file_states, paths, self._read_files)

    def _apply(self, result: CompilationResult) -> None:
        """Apply a summary. A rejection is logged and leaves the earlier descriptions in force."""
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
    """Return whether each of the files is among the states."""
    return set(files) <= {state.path for state in states}


@asynccontextmanager
async def _running(watchers: Sequence[FileWatcher]) -> AsyncIterator[None]:
    """Run the watchers in tasks while the block is entered.

    A watcher that fails does not end the others; changes are then found by polling.
    """
    tasks = [asyncio.create_task(watcher.run()) for watcher in watchers]
    try:
        yield
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.wait(tasks)


async def _wait_for_change(watchers: Sequence[FileWatcher], timeout_s: float) -> None:
    """Wait until one of the watchers reports a change, or until the timeout."""
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
        classes={
            name: IDEMPOTENCY_KEYWORDS.keyword(learned.idempotency)
            for name, learned in summary.classes.items()
        },
        warnings=summary.warnings[:MAX_LOGGED_REASONS],
    )
