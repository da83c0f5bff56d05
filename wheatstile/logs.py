"""Configures the log on standard error. docs/operators/logs.md lists the log events."""

import logging
import os
import select
import sys
from contextlib import suppress
from enum import StrEnum
from typing import TextIO, cast

import structlog


class LogFormat(StrEnum):
    """The format of log lines. The values are those of the command-line option and the operator's file."""

    JSON = "json"
    CONSOLE = "console"


class LogLevel(StrEnum):
    """The minimum log level. The values are those of the command-line option and the operator's file."""

    DEBUG = "debug"
    INFO = "info"
    WARNING = "warning"
    ERROR = "error"


STDERR_DESCRIPTOR = 2


class LossyStderr:
    """A text stream that writes complete lines to standard error, and drops a line that cannot be written.

    A write fails if the disk is full or the reader has closed the pipe. It would block if the reader of the
    pipe or socket is too slow. The process must neither exit nor block because of its log.

    Attributes:
        dropped_lines: number of lines that were dropped or only partly written.
    """

    def __init__(self) -> None:
        self.dropped_lines = 0
        self._parts: list[str] = []
        self._is_line_incomplete = False  # the last line was only partly written
        self._poll = select.poll()
        self._poll.register(STDERR_DESCRIPTOR, select.POLLOUT)

    def write(self, text: str) -> int:
        """Buffer a part of a line, and return its length."""
        self._parts.append(text)
        return len(text)

    def flush(self) -> None:
        """Write as much of the buffered line as possible without blocking."""
        line = "".join(self._parts).encode("utf-8", "replace")
        self._parts = []
        if self._is_line_incomplete:
            line = b"\n" + line
        written = self._write_without_blocking(line)
        if written:
            self._is_line_incomplete = written < len(line)
        if written < len(line):
            self.dropped_lines += 1

    def _write_without_blocking(self, data: bytes) -> int:
        """Write in pieces that a writable pipe accepts completely. Return the number of bytes written."""
        written = 0
        with suppress(OSError):
            while written < len(data) and self._is_writable():
                piece = data[written : written + select.PIPE_BUF]
                # os.write bypasses the buffer of sys.stderr, which would keep the line and fail at exit.
                written += os.write(STDERR_DESCRIPTOR, piece)
        return written

    def _is_writable(self) -> bool:
        """Return whether a write of up to `select.PIPE_BUF` bytes does not block."""
        return any(events & select.POLLOUT for _, events in self._poll.poll(0))


STDERR = LossyStderr()
"""The stream that the log is written to."""


def configure(log_format: str = LogFormat.JSON, level: str = LogLevel.INFO) -> None:
    """Configure structlog to log events of this level and above, in this format."""
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
        logger_factory=structlog.PrintLoggerFactory(cast(TextIO, STDERR)),
        cache_logger_on_first_use=False,
    )
