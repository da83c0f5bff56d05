"""The log on standard error, by structlog. Its events' names are listed in docs/operators/logs.md."""

import logging
import os
import sys
from contextlib import suppress
from typing import TextIO, cast

import structlog

FORMATS = ("json", "console")
STDERR = 2  # the descriptor
LEVELS = ("debug", "info", "warning", "error")


class Output:
    """Standard error, for whole lines. A line that cannot be written (a full disk, a reader that has gone, a
    full pipe that does not wait) is dropped: a balancer with connections may not end over its log."""

    def __init__(self) -> None:
        self._parts: list[str] = []

    def write(self, text: str) -> int:
        self._parts.append(text)
        return len(text)

    def flush(self) -> None:
        line, self._parts = "".join(self._parts).encode("utf-8", "replace"), []
        with suppress(OSError):
            # Past Python's own buffer, which would keep the line and fail again, at the end with status 120.
            os.write(STDERR, line)


def configure(form: str = "json", level: str = "info") -> None:
    """Log lines of this level and above, as JSON for programs or as text for people."""
    processors: list[structlog.typing.Processor] = [
        structlog.processors.add_log_level,
        structlog.processors.TimeStamper(fmt="iso", utc=True),
    ]
    if form == "console":
        processors.append(structlog.dev.ConsoleRenderer(colors=sys.stderr.isatty()))
    else:
        processors += [structlog.processors.format_exc_info, structlog.processors.JSONRenderer()]
    structlog.configure(
        processors=processors,
        wrapper_class=structlog.make_filtering_bound_logger(getattr(logging, level.upper())),
        logger_factory=structlog.PrintLoggerFactory(cast(TextIO, Output())),
        cache_logger_on_first_use=False,
    )
