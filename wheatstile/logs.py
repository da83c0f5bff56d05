"""Configuration of the log on standard error. docs/operators/logs.md lists the events."""

import logging
import os
import sys
from contextlib import suppress
from enum import StrEnum
from typing import TextIO, cast

import structlog


class LogFormat(StrEnum):
    """The format of the log's lines; the values are those of the option and the operator's file."""

    JSON = "json"
    CONSOLE = "console"


class LogLevel(StrEnum):
    """The lowest level that is logged; the values are those of the option and the operator's file."""

    DEBUG = "debug"
    INFO = "info"
    WARNING = "warning"
    ERROR = "error"


STDERR_DESCRIPTOR = 2


class LossyStderr:
    """A text stream that writes complete lines to standard error, and drops a line that cannot be written.

    Writing fails if the disk is full, the reader has closed the pipe, or a non-blocking pipe is full. The
    process must not end because of its log.
    """

    def __init__(self) -> None:
        self._parts: list[str] = []

    def write(self, text: str) -> int:
        """Buffer a part of a line, and return its length."""
        self._parts.append(text)
        return len(text)

    def flush(self) -> None:
        """Write the buffered line."""
        line = "".join(self._parts).encode("utf-8", "replace")
        self._parts = []
        with suppress(OSError):
            # os.write bypasses the buffer of sys.stderr, which would keep the line and fail again on exit.
            os.write(STDERR_DESCRIPTOR, line)


def configure(log_format: str = LogFormat.JSON, level: str = LogLevel.INFO) -> None:
    """Configure structlog to log events of this level and above in this format."""
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
