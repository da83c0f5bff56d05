"""Logs problems with the endpoint file: a new problem immediately, a persistent one once a minute."""

import time
from collections import Counter
from collections.abc import Callable, Sequence

import structlog

log = structlog.get_logger()

MAX_LOGGED_REASONS = 20
REPEAT_INTERVAL_S = 60.0


class ProblemReporter:
    """Counts every problem, and rate-limits the log lines of a problem that persists.

    Args:
        counters: the counters of the process. The keys are the names of the log events.
        clock: returns monotonic seconds.

    """

    def __init__(self, counters: Counter[str], clock: Callable[[], float] = time.monotonic) -> None:
        self._counters = counters
        self._clock = clock
        self._last_problem: tuple[str, ...] = ()
        self._last_logged_at_s = 0.0

    def reset(self) -> None:
        """Forget the last problem after a file was accepted. The next problem is logged immediately."""
        self._last_problem = ()

    def report_rejected(self, reasons: Sequence[str], digest: str | None = None) -> None:
        """Report that the file is rejected. The digest is known only if the file itself is valid."""
        if self._count_and_check_due("endpoint_file_rejected", reasons):
            known_digest = {"digest": digest} if digest else {}
            log.warning(
                "endpoint_file_rejected", reasons=_truncated(reasons), violations=len(reasons), **known_digest
            )

    def report_unreadable(self, reasons: Sequence[str]) -> None:
        """Report that the file is missing, is not a regular file, or cannot be read."""
        if self._count_and_check_due("endpoint_file_unreadable", reasons):
            log.warning("endpoint_file_unreadable", reasons=_truncated(reasons), violations=len(reasons))

    def report_approval_required(self, reasons: Sequence[str], digest: str) -> None:
        """Report that the file removes so many servers that it needs approval."""
        if self._count_and_check_due("endpoint_file_approval_required", reasons):
            log.warning(
                "endpoint_file_approval_required",
                reasons=_truncated(reasons),
                violations=len(reasons),
                digest=digest,
            )

    def _count_and_check_due(self, event: str, reasons: Sequence[str]) -> bool:
        """Count the problem, and return whether it must be logged now."""
        self._counters[event] += 1
        now_s = self._clock()
        problem = (event, *reasons)
        if problem == self._last_problem and now_s - self._last_logged_at_s <= REPEAT_INTERVAL_S:
            return False
        self._last_problem = problem
        self._last_logged_at_s = now_s
        return True


def _truncated(reasons: Sequence[str]) -> list[str]:
    return list(reasons[:MAX_LOGGED_REASONS])
