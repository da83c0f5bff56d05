"""The exit statuses of the commands, and how a rejection is reported."""

import enum
import sys
from collections.abc import Iterable


class ExitStatus(enum.IntEnum):
    """What a command's exit status says. 2, wrong usage, is click's."""

    OK = 0
    REJECTED = 1
    """The input or the request was rejected; the reasons are on standard error."""
    LOOSENED = 3
    """A comparison found something that may be repeated now and could not be before."""
    OUTCOME_UNKNOWN = 4
    """A request to the store was not answered: it may or may not have been carried out."""


def reject(reasons: Iterable[str]) -> ExitStatus:
    """Print the reasons to standard error, one a line; the exit status to return."""
    print("\n".join(reasons), file=sys.stderr)
    return ExitStatus.REJECTED
