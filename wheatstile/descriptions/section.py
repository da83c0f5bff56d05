"""Watches the description files of a running balancer and applies their changes.

After each change, a worker process compiles all descriptions. A result is applied completely or not at all.
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
    CompiledClasses,
)
from wheatstile.interface import Settings
from wheatstile.net.decision_loop import DecisionLoop
from wheatstile.resolvers.file_watcher import FileWatcher

log = structlog.get_logger()

MAX_LOGGED_REASONS = 20  # number of reasons or warnings in one log line


@dataclass(frozen=True, slots=True)
class StartupCompilation:
    """The result of the compilation at startup."""

    summary: CompilationSummary
    files: list[FileState] | None  # states of the compiled files; None: a file changed during the compilation


def compile_at_startup(operator: OperatorFile, config: Config) -> StartupCompilation | CompilationRejected:
    """Compile the descriptions before the balancer starts to serve.

    On a rejection, the caller must end the process: without descriptions, the balancer would retry requests
    that are not idempotent.
    """
    paths = _description_paths(operator)
    before = file_states(paths)
    result = compile_blocking(build_request(operator, config), operator)
    if isinstance(result, CompilationRejected):
        return result
    if file_states(paths) != before:
        return StartupCompilation(result, None)
    return StartupCompilation(result, file_states(paths, result.files))


def _description_paths(operator: OperatorFile) -> list[Path]:
    return [operator.resolve_path(path) for path in operator.settings.descriptions.paths]


class DescriptionsSection:
    """Owns the task that watches the descriptions, and the class policies compiled from them.

    `startup` is the result of the compilation at startup, or None if descriptions were enabled later.
    """

    def __init__(self, decision_loop: DecisionLoop, startup: StartupCompilation | None) -> None:
        self.decision_loop = decision_loop
        self.compiled_classes: CompiledClasses = {}
        self._config: Config
        self._task: asyncio.Task[None] | None = None
        self._request = b""  # current request to the worker; empty until `apply_operator_file` is called
        self._read_files: list[str] = []  # files that the last compilation read, including referenced files
        self._compiled_files: list[FileState] | None = None  # states of the files at the last compilation
        if startup:
            self.compiled_classes = startup.summary.classes
            self._read_files = startup.summary.files
            self._compiled_files = startup.files
            _log_applied(startup.summary)

    def tightened_settings(self, settings: Settings) -> Settings:
        """Return the platform's settings, made at least as strict as the current descriptions."""
        return tighten_settings(settings, self.compiled_classes)

    def apply_operator_file(self, operator: OperatorFile, config: Config) -> None:
        """Watch the descriptions that the operator's file lists, compiled with the platform's settings.

        Does not restart the watch if the request to the worker is unchanged.
        """
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
            self._compiled_files = None  # the new request must be compiled even if no file has changed
        self._task = asyncio.create_task(self._watch(_description_paths(operator), section))

    def _disable(self) -> None:
        """Remove the compiled classes and apply the platform's settings alone."""
        if not self.compiled_classes:
            return
        self.compiled_classes = {}
        self.decision_loop.configure(self._config.settings)
        log.info("descriptions_disabled")

    def close(self) -> None:
        """Stop watching. The descriptions that were applied last remain active."""
        if self._task:
            self._task.cancel()
            self._task = None

    async def _watch(self, paths: list[Path], section: Descriptions) -> None:
        """Compile the descriptions after each change of the files, until cancelled."""
        watchers = [FileWatcher(path, section.recheck_s) for path in paths]
        async with _running_watchers(watchers):
            while True:
                for watcher in watchers:
                    watcher.changed.clear()
                await self._compile_changes(paths, section)
                await _wait_for_change(watchers, section.recheck_s)

    async def _compile_changes(self, paths: list[Path], section: Descriptions) -> None:
        """Compile the descriptions if the files have changed, and apply the result."""
        while True:
            files = await self._current_files(paths)
            if files == self._compiled_files:
                return
            result = await self._compile_if_stable(paths, files, section.settle_s)
            if result is not None:
                self._compiled_files = files
                self._apply(result)
                return

    async def _compile_if_stable(
        self, paths: list[Path], files: list[FileState], settle_s: float
    ) -> CompilationResult | None:
        """Compile the descriptions. Return None if a file changes before the end of the compilation.

        Also return None if the descriptions refer to a file whose state was not observed. It is observed from
        then on.
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
        """Apply the result. On a rejection, log the reasons and keep the current descriptions."""
        if isinstance(result, CompilationRejected):
            self.decision_loop.counters["descriptions_rejected"] += 1
            log.warning(
                "descriptions_rejected",
                reasons=result.reasons[:MAX_LOGGED_REASONS],
                faults=result.total_reasons,
            )
            return
        self.compiled_classes = result.classes
        self.decision_loop.configure(self.tightened_settings(self._config.settings))
        _log_applied(result)


def _covers(states: list[FileState], files: list[str]) -> bool:
    """Return whether the states include each of the files."""
    return set(files) <= {state.path for state in states}


@asynccontextmanager
async def _running_watchers(watchers: Sequence[FileWatcher]) -> AsyncIterator[None]:
    """Run the watchers in tasks for the duration of the context.

    If a watcher fails, the others continue, and changes of its files are found by polling.
    """
    tasks = [asyncio.create_task(watcher.run()) for watcher in watchers]
    try:
        yield
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.wait(tasks)


async def _wait_for_change(watchers: Sequence[FileWatcher], timeout_s: float) -> None:
    """Wait until a watcher reports a change or the timeout expires."""
    tasks = [asyncio.create_task(watcher.changed.wait()) for watcher in watchers]
    try:
        await asyncio.wait(tasks, timeout=timeout_s, return_when=asyncio.FIRST_COMPLETED)
    finally:
        for task in tasks:
            task.cancel()


def _log_applied(summary: CompilationSummary) -> None:
    log.info(
        "descriptions_applied",
        files=len(summary.files),
        routes=summary.route_count,
        classes={
            name: IDEMPOTENCY_KEYWORDS.keyword(compiled.idempotency)
            for name, compiled in summary.classes.items()
        },
        warnings=summary.warnings[:MAX_LOGGED_REASONS],
    )
