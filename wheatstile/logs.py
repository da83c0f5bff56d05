"""The log on standard error, by structlog. Its events' names are listed in docs/operators/logs.md."""

import logging
import sys

import structlog

FORMATS = ("json", "console")
LEVELS = ("debug", "info", "warning", "error")


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
        logger_factory=structlog.PrintLoggerFactory(sys.stderr),
        cache_logger_on_first_use=False,
    )
