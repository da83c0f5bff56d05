"""Logs problems with the endpoint file: a new one at once, and one that persists once a minute."""

import time
from collections import Counter
from collections.abc import Callable, Sequence

import structlog

log = structlog.get_logger()

MAX_LOGGED_REASONS = 20
REPEAT_INTERVAL_S = 60.0


class ProblemReporter:
    """Counts every problem, and logs those that are new or due again.

    Args:
        counters: the process's counters; the names of the log events are the keys.
        clock: returns monotonic seconds.

    """

    def __init__(self, counters: Counter[str], clock: Callable[[], float] = time.monotonic) -> None:
        self._counters = counters
        self._clock = clock
        self._last_problem: tuple[str, ...] = ()
        self._last_logged_at_s = 0.0

    def reset(self) -> None:
        """Forget the last problem, because the file has been accepted. The next problem is logged at once."""
        self._last_problem = ()

    def report_rejected(self, reasons: Sequence[str], digest: str | None = None) -> None:
        """Report that the file cannot be used. The digest is known if the file itself is valid."""
        if self._is_due("endpoint_file_rejected", reasons):
            known_digest = {"digest": digest} if digest else {}
            log.warning(
                "endpoint_file_rejected", reasons=_shown(reasons), violations=len(reasons), **known_digest
            )

    def report_unreadable(self, reasons: Sequence[str]) -> None:
        """Report that the file is missing, is not a regular file, or cannot be read."""
        if self._is_due("endpoint_file_unreadable", reasons):
            log.warning("endpoint_file_unreadable", reasons=_shown(reasons), violations=len(reasons))

    def report_approval_required(self, reasons: Sequence[str], digest: str) -> None:
        """Report that the file removes too many servers to be accepted without approval."""
        if self._is_due("endpoint_file_approval_required", reasons):
            log.warning(
                "endpoint_file_approval_required",
                reasons=_shown(reasons),
                violations=len(reasons),
                digest=digest,
            )

    def _is_due(self, event: str, reasons: Sequence[str]) -> bool:
        """Count the problem, and return whether it must be logged now."""
        self._counters[event] += 1
        now_s = self._clock()
        problem = (event, *reasons)
        if problem == self._last_problem and now_s - self._last_logged_at_s <= REPEAT_INTERVAL_S:
            return False
        self._last_problem = problem
        self._last_logged_at_s = now_s
        return True


def _shown(reasons: Sequence[str]) -> list[str]:
    return list(reasons[:MAX_LOGGED_REASONS])
