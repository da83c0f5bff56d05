"""The log on standard error, by structlog. Its events' names are listed in docs/operators/logs.md."""

import logging
import os
import sys
from contextlib import suppress
from enum import StrEnum
from typing import TextIO, cast

import structlog


class LogFormat(StrEnum):
    """How a line of the log is written: for programs, or for people."""

    JSON = "json"
    CONSOLE = "console"


FORMATS = tuple(one.value for one in LogFormat)
LEVELS = ("debug", "info", "warning", "error")
STDERR_DESCRIPTOR = 2


class LossyStderr:
    """Standard error, for complete lines.

    A line that cannot be written (a full disk, a reader that has gone, a full pipe that does not wait) is
    dropped: a balancer with connections may not end over its log.
    """

    def __init__(self) -> None:
        self._parts: list[str] = []

    def write(self, text: str) -> int:
        """Keep a part of a line. Returns its length."""
        self._parts.append(text)
        return len(text)

    def flush(self) -> None:
        """Write what was kept."""
        line = "".join(self._parts).encode("utf-8", "replace")
        self._parts = []
        with suppress(OSError):
            # Past Python's own buffer, which would keep the line and fail again, at the end with status 120.
            os.write(STDERR_DESCRIPTOR, line)


def configure(log_format: str = LogFormat.JSON, level: str = "info") -> None:
    """Log lines of this level and above, in this format."""
    processors: list[structlog.typing.Processor] = [
        structlog.processors.add_log_level,
        structlog.processors.TimeStamper(fmt="iso", utc=True),
    ]
    if log_format == LogFormat.CONSOLE:
        processors.append(structlog.dev.ConsoleRenderer(colors=sys.stderr.isatty()))
    else:
        processors += [structlog.processors.format_exc_info, structlog.processors.JSONRenderer()]
    structlog.configure(
        processors=processors,
        wrapper_class=structlog.make_filtering_bound_logger(getattr(logging, level.upper())),
        logger_factory=structlog.PrintLoggerFactory(cast(TextIO, LossyStderr())),
        cache_logger_on_first_use=False,
    )
