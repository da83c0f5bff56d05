"""The endpoint file in the running balancer: read in a thread, evaluated, stored, given to the merger."""

import asyncio
import functools
import time
from collections.abc import Callable, Iterator
from concurrent.futures import ThreadPoolExecutor
from contextlib import contextmanager, suppress
from enum import StrEnum
from typing import ParamSpec, TypeVar

import structlog

from wheatstile.config.operator import OperatorFile
from wheatstile.config.violations import ConfigurationError
from wheatstile.resolvers import last_known_good, merge
from wheatstile.resolvers.approval import read_accepted_digests
from wheatstile.resolvers.endpoint_file import EndpointFile, EndpointFileRules
from wheatstile.resolvers.endpoint_file_reader import EndpointFileReader, ReadOutcome, ReadResult
from wheatstile.resolvers.endpoint_merger import EndpointMerger
from wheatstile.resolvers.file_watcher import FileWatcher
from wheatstile.resolvers.gc_pause import gc_paused
from wheatstile.resolvers.last_known_good import LastKnownGood
from wheatstile.resolvers.problem_reporter import MAX_LOGGED_REASONS, ProblemReporter
from wheatstile.resolvers.source_selection import MergeMode
from wheatstile.resolvers.update_guard import (
    ActiveEndpoints,
    Evaluation,
    EvaluationOutcome,
    PendingApproval,
    evaluate,
)

log = structlog.get_logger()

# The reader rests for so many times as long as a poll took: a file that is rewritten without end gets a
# quarter of the time at most, and the clients get the rest.
REST_FACTOR = 3

Parameters = ParamSpec("Parameters")
Result = TypeVar("Result")


class FileOrigin(StrEnum):
    """Where an accepted endpoint file comes from. The values are logged and counted."""

    FILE = "file"
    LAST_KNOWN_GOOD = "last_known_good"


class EndpointFileSource:
    """Follows one endpoint file. Owns its reader, its thread, its watcher and its stored copy."""

    def __init__(self, operator: OperatorFile, merger: EndpointMerger) -> None:
        settings = operator.settings.servers
        if not settings.file:
            raise ValueError("the operator's file names no endpoint file")
        self.settings = settings
        self.merger = merger
        self.path = operator.near(settings.file)
        self.state_folder = operator.near(settings.state_dir) if settings.state_dir else None
        self.rules = EndpointFileRules.from_settings(settings)
        self.active_file: EndpointFile | None = None
        self._pending: PendingApproval | None = None  # what a newer generation may confirm
        self._pending_file: EndpointFile | None = None  # the file's content, while that awaits approval
        self._problems = ProblemReporter(merger.decisions.counters)
        self._executor: ThreadPoolExecutor

    async def run(self) -> None:
        """Follow the file until cancelled; the thread and the descriptor are released then."""
        reader = EndpointFileReader(self.path, self.rules, self.settings.settle_s)
        watcher = FileWatcher(self.path, self.settings.recheck_s)
        with self._reader_thread(reader):
            async with watcher.running():
                if self.active_file is None:
                    await self._restore()
                while True:
                    await self._poll(reader, watcher)

    @contextmanager
    def _reader_thread(self, reader: EndpointFileReader) -> Iterator[None]:
        """One thread for all that may block; at the end it closes the reader, and nobody waits for it."""
        self._executor = ThreadPoolExecutor(1, "servers-file")
        try:
            yield
        finally:
            self._executor.submit(reader.close)
            self._executor.shutdown(wait=False)

    async def _in_thread(
        self, function: Callable[Parameters, Result], *args: Parameters.args, **kwargs: Parameters.kwargs
    ) -> Result:
        call = functools.partial(function, *args, **kwargs)
        return await asyncio.get_running_loop().run_in_executor(self._executor, call)

    async def _poll(self, reader: EndpointFileReader, watcher: FileWatcher) -> None:
        """Read the file, handle what was read, and wait until the next poll is due."""
        watcher.changed.clear()
        started_s = time.monotonic()
        result = await self._in_thread(_poll_without_gc, reader)
        rest_s = REST_FACTOR * (time.monotonic() - started_s)
        wait_s = await self._handle(result)
        if result.outcome is ReadOutcome.UNSETTLED:  # changes meanwhile do not make it settle earlier
            await asyncio.sleep(max(wait_s, rest_s))
            return
        if result.outcome is not ReadOutcome.UNCHANGED:
            await asyncio.sleep(rest_s)
        with suppress(TimeoutError):
            async with asyncio.timeout(wait_s):
                await watcher.changed.wait()

    async def _handle(self, result: ReadResult) -> float:
        """Act on what was read; return the seconds until the next poll, if no change is noticed before."""
        if result.outcome is ReadOutcome.UNSETTLED:
            return result.retry_after_s
        if result.endpoint_file:
            await self._evaluate(result.endpoint_file)
            return 0.0
        if result.outcome is ReadOutcome.UNCHANGED:
            if self._pending_file:
                await self._evaluate(self._pending_file)
            return self.settings.recheck_s
        self._pending_file = None  # the file no longer says what awaits approval
        if result.outcome is ReadOutcome.INVALID:
            self._problems.report_rejected(result.reasons)
        else:
            self._problems.report_unreadable(result.reasons)
        return self.settings.recheck_s

    async def _evaluate(self, candidate: EndpointFile) -> None:
        """Compare a valid file with the active endpoints, and do as the outcome says."""
        active = self._active_endpoints()
        accepted_digests: frozenset[str] = frozenset()
        if self._pending:
            accepted_digests = await self._in_thread(read_accepted_digests, self.path)
        evaluation = await self._in_thread(
            evaluate, candidate, active, self._pending, accepted_digests, self.rules
        )
        is_pending = evaluation.outcome is EvaluationOutcome.AWAITING_APPROVAL
        self._pending_file = candidate if is_pending else None
        match evaluation.outcome:
            case EvaluationOutcome.ACCEPTED:
                self._pending = None
                self._activate(candidate, FileOrigin.FILE, reasons=evaluation.reasons)
                await self._store(candidate)
            case EvaluationOutcome.UNCHANGED:
                self._pending = None
            case EvaluationOutcome.AWAITING_APPROVAL:
                self._await_approval(candidate, evaluation)
            case EvaluationOutcome.REJECTED:
                reasons = [f"{self.path}:1: /: {reason}" for reason in evaluation.reasons]
                self._problems.report_rejected(reasons, candidate.digest)

    def _await_approval(self, candidate: EndpointFile, evaluation: Evaluation) -> None:
        if self._pending != evaluation.pending:
            self._problems.report_approval_required(evaluation.reasons, candidate.digest)
        self._pending = evaluation.pending

    def _active_endpoints(self) -> ActiveEndpoints:
        """Return what the next file is compared with."""
        if self.active_file:
            return ActiveEndpoints.from_file(self.active_file)
        merged = self.merger.endpoints
        # In the other modes a first file removes nothing: discovery's servers stay.
        is_override = MergeMode(self.settings.mode) is MergeMode.OVERRIDE
        ready = merge.ready_names(merged) if is_override else frozenset()
        return ActiveEndpoints(None, merge.served_sites(merged), ready)

    def _activate(
        self, endpoint_file: EndpointFile, origin: FileOrigin, **details: tuple[str, ...] | float
    ) -> None:
        """Put the file in force. The log line has those of the details that are not empty, zero or False."""
        self.active_file = endpoint_file
        self._problems.reset()
        self.merger.decisions.counters[f"endpoint_file_accepted_{origin}"] += 1
        log.info(
            "endpoint_file_accepted",
            origin=origin,
            generation=endpoint_file.generation,
            digest=endpoint_file.digest,
            sealed=endpoint_file.sealed,
            servers=len(endpoint_file.servers),
            **{key: value for key, value in details.items() if value},
        )
        self.merger.set_file(endpoint_file)

    async def _restore(self) -> None:
        """Start from the stored copy, if there is one that can be used."""
        if self.state_folder is None:
            return
        try:
            stored = await self._in_thread(last_known_good.restore, self.state_folder, self.rules)
        except ConfigurationError as error:
            log.warning("last_known_good_rejected", reasons=error.lines()[:MAX_LOGGED_REASONS])
            return
        except Exception as error:  # whatever the balancer's own file holds must not stop the balancer
            log.warning("last_known_good_rejected", reasons=[repr(error)])
            return
        if stored:
            self._activate_stored(stored)

    def _activate_stored(self, stored: LastKnownGood) -> None:
        age_s = time.time() - stored.accepted_at_ms / 1000
        self._activate(
            stored.endpoint_file,
            FileOrigin.LAST_KNOWN_GOOD,
            age_s=round(age_s, 1),
            clock_went_back=age_s < 0,
        )

    async def _store(self, endpoint_file: EndpointFile) -> None:
        if self.state_folder is None:
            return
        accepted_at_ms = int(time.time() * 1000)
        try:
            await self._in_thread(last_known_good.save, self.state_folder, endpoint_file, accepted_at_ms)
        except OSError as error:
            self.merger.decisions.counters["last_known_good_write_failed"] += 1
            log.error(
                "last_known_good_write_failed",
                folder=str(self.state_folder),
                reason=error.strerror or str(error),
            )


def _poll_without_gc(reader: EndpointFileReader) -> ReadResult:
    with gc_paused():
        return reader.poll()
