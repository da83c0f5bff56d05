"""Activates valid endpoint files, and stores a copy of the last one that was accepted."""

import time
from enum import StrEnum
from pathlib import Path

import structlog

from wheatstile.config.operator import OperatorFile
from wheatstile.config.violations import ConfigurationError
from wheatstile.resolvers import last_known_good, merge
from wheatstile.resolvers.approval import read_accepted_digests
from wheatstile.resolvers.endpoint_file import EndpointFile, EndpointFileRules
from wheatstile.resolvers.endpoint_merger import EndpointMerger
from wheatstile.resolvers.last_known_good import LastKnownGood
from wheatstile.resolvers.problem_reporter import MAX_LOGGED_REASONS, ProblemReporter
from wheatstile.resolvers.ready_endpoints import ready_names, served_sites
from wheatstile.resolvers.source_selection import MergeMode
from wheatstile.resolvers.update_guard import (
    ActiveEndpoints,
    Evaluation,
    EvaluationOutcome,
    PendingApproval,
    evaluate,
)
from wheatstile.resolvers.worker_thread import WorkerThread

log = structlog.get_logger()

MS_PER_S = 1000


class FileOrigin(StrEnum):
    """The origin of an accepted endpoint file. The values appear in logs and counters."""

    FILE = "file"
    LAST_KNOWN_GOOD = "last_known_good"


class EndpointFileActivator:
    """Owns the active endpoint file, the file that awaits approval, and the stored copy.

    Args:
        path: the endpoint file.
        operator: the operator's file, whose `servers` section is used.
        rules: the limits in that section.
        merger: receives each file that is activated.
        worker: runs the calls that may block. It must be running when a coroutine method is called.

    """

    def __init__(
        self,
        path: Path,
        operator: OperatorFile,
        rules: EndpointFileRules,
        merger: EndpointMerger,
        worker: WorkerThread,
    ) -> None:
        settings = operator.settings.servers
        self.active_file: EndpointFile | None = None
        self._path = path
        self._mode = MergeMode(settings.mode)
        self._state_directory = operator.resolve_path(settings.state_dir) if settings.state_dir else None
        self._rules = rules
        self._merger = merger
        self._worker = worker
        self._problems = ProblemReporter(merger.decision_loop.counters)
        # The last file that needed approval. It is kept while later files are invalid or rejected, so that a
        # newer generation can still repeat the removal.
        self._pending: PendingApproval | None = None
        self._pending_file: EndpointFile | None = None  # current content of the file, if it awaits approval

    async def restore(self) -> None:
        """Activate the stored copy, if there is a valid one."""
        if self._state_directory is None:
            return
        try:
            stored = await self._worker.call(last_known_good.restore, self._state_directory, self._rules)
        except ConfigurationError as error:
            log.warning("last_known_good_rejected", reasons=error.lines()[:MAX_LOGGED_REASONS])
            return
        except Exception as error:  # a corrupt copy must not stop the balancer
            log.warning("last_known_good_rejected", reasons=[repr(error)])
            return
        if stored:
            self._activate_stored(stored)

    async def evaluate(self, candidate: EndpointFile) -> None:
        """Compare a valid file with the active endpoints. Activate it, or report why not."""
        active = self._active_endpoints()
        accepted_digests: frozenset[str] = frozenset()
        if self._pending:
            accepted_digests = await self._worker.call(read_accepted_digests, self._path)
        evaluation = await self._worker.call(
            evaluate, candidate, active, self._pending, accepted_digests, self._rules
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
                reasons = [f"{self._path}:1: /: {reason}" for reason in evaluation.reasons]
                self._problems.report_rejected(reasons, candidate.digest)

    async def evaluate_pending(self) -> None:
        """Evaluate the file that awaits approval again, because it may have been approved since."""
        if self._pending_file:
            await self.evaluate(self._pending_file)

    def report_invalid(self, reasons: tuple[str, ...]) -> None:
        """Report that the file's content is invalid."""
        self._pending_file = None
        self._problems.report_rejected(reasons)

    def report_unreadable(self, reasons: tuple[str, ...]) -> None:
        """Report that the file cannot be read."""
        self._pending_file = None
        self._problems.report_unreadable(reasons)

    def _await_approval(self, candidate: EndpointFile, evaluation: Evaluation) -> None:
        if self._pending != evaluation.pending:
            self._problems.report_approval_required(evaluation.reasons, candidate.digest)
        self._pending = evaluation.pending

    def _active_endpoints(self) -> ActiveEndpoints:
        """Return the endpoints that the next file would replace."""
        if self.active_file:
            return ActiveEndpoints.from_file(self.active_file)
        endpoints = merge.listed_endpoints(self._merger.endpoints)
        # The first file removes servers only in override mode. In other modes, discovery's servers remain.
        replaced = ready_names(endpoints) if self._mode is MergeMode.OVERRIDE else frozenset()
        return ActiveEndpoints(None, served_sites(endpoints), replaced)

    def _activate(
        self, endpoint_file: EndpointFile, origin: FileOrigin, **details: tuple[str, ...] | float
    ) -> None:
        """Activate the file, and log it with those details that are not empty, zero or False."""
        self.active_file = endpoint_file
        self._problems.reset()
        self._merger.decision_loop.counters[f"endpoint_file_accepted_{origin}"] += 1
        log.info(
            "endpoint_file_accepted",
            origin=origin,
            generation=endpoint_file.generation,
            digest=endpoint_file.digest,
            sealed=endpoint_file.sealed,
            servers=len(endpoint_file.servers),
            **{key: value for key, value in details.items() if value},
        )
        self._merger.set_file(endpoint_file)

    def _activate_stored(self, stored: LastKnownGood) -> None:
        age_s = time.time() - stored.accepted_at_ms / MS_PER_S
        self._activate(
            stored.endpoint_file,
            FileOrigin.LAST_KNOWN_GOOD,
            age_s=round(age_s, 1),
            clock_went_back=age_s < 0,
        )

    async def _store(self, endpoint_file: EndpointFile) -> None:
        """Replace the stored copy. A failure is logged and counted; the file stays active."""
        if self._state_directory is None:
            return
        accepted_at_ms = int(time.time() * MS_PER_S)
        try:
            await self._worker.call(
                last_known_good.save, self._state_directory, endpoint_file, accepted_at_ms
            )
        except OSError as error:
            self._merger.decision_loop.counters["last_known_good_write_failed"] += 1
            log.error(
                "last_known_good_write_failed",
                folder=str(self._state_directory),
                reason=error.strerror or str(error),
            )
