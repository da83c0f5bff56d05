"""Defines the exit statuses of the commands, and reports rejections."""

import enum
import sys
from collections.abc import Iterable


class ExitStatus(enum.IntEnum):
    """The exit statuses of the commands. Usage errors have the exit status 2, which click defines."""

    OK = 0
    REJECTED = 1
    """The input or the request was rejected; the reasons are on standard error."""
    LOOSENED = 3
    """A comparison found a change that allows more retries."""
    OUTCOME_UNKNOWN = 4
    """A request to the store was not answered. It may or may not have been executed."""


def reject(reasons: Iterable[str]) -> ExitStatus:
    """Print the reasons to standard error, one per line, and return REJECTED."""
    print("\n".join(reasons), file=sys.stderr)
    return ExitStatus.REJECTED
