"""Starts the balancer: reads the RELAY_* variables and the operator's file, then runs the event loop."""

import enum
import os
import resource
import sys
from typing import TYPE_CHECKING

import uvloop

from wheatstile import logs
from wheatstile.config.platform import Config, ConfigError
from wheatstile.process import signals
from wheatstile.process.balancer_process import BalancerProcess

if TYPE_CHECKING:  # optional subsystems are imported only when the operator's file enables them
    from wheatstile.config.operator import OperatorFile
    from wheatstile.descriptions.section import StartupCompilation

OPERATOR_FILE_VARIABLE = "WHEATSTILE_FILE"  # names the operator's file; the option --file has priority


class ExitStatus(enum.IntEnum):
    """The exit statuses of the balancer."""

    OK = 0
    REJECTED = 1
    """The operator's file or the descriptions were rejected, or the listening address cannot be bound."""
    BAD_CONFIG = 2
    """RELAY_CONFIG is missing or names a file that cannot be used."""


class StartError(Exception):
    """The balancer cannot start. Carries the exit status and the lines to print to standard error."""

    def __init__(self, status: ExitStatus, lines: list[str]) -> None:
        super().__init__("\n".join(lines))
        self.status = status
        self.lines = lines


def main(file: str | None = None, log_format: str | None = None, log_level: str | None = None) -> int:
    """Run the balancer until SIGTERM or SIGINT, and return the exit status.

    The RELAY_* variables provide the platform's configuration. `file` names the optional operator's file.
    """
    signals.block_reload_signal()
    try:
        _serve(file or os.environ.get(OPERATOR_FILE_VARIABLE), log_format, log_level)
    except StartError as error:
        print("\n".join(error.lines), file=sys.stderr)
        return error.status
    return ExitStatus.OK


def _serve(file: str | None, log_format: str | None, log_level: str | None) -> None:
    operator = _read_operator_file(file) if file else None
    _configure_log(operator, log_format, log_level)
    config = _read_platform_config()
    startup_compilation = _compile_descriptions(operator, config) if operator else None
    _raise_descriptor_limit()
    try:
        uvloop.run(_run_balancer(config, operator, startup_compilation))
    except OSError as error:
        host, port = config.listen
        raise StartError(ExitStatus.REJECTED, [f"wheatstile: {host}:{port}: {error}"]) from error


async def _run_balancer(
    config: Config, operator: "OperatorFile | None", startup_compilation: "StartupCompilation | None"
) -> None:
    await BalancerProcess(config, operator, startup_compilation).run()


def _read_operator_file(file: str) -> "OperatorFile":
    from wheatstile.config import operator, violations

    try:
        return operator.read(file)
    except violations.ConfigurationError as error:
        raise StartError(ExitStatus.REJECTED, error.lines()) from error


def _configure_log(operator: "OperatorFile | None", log_format: str | None, log_level: str | None) -> None:
    """Configure the log. The arguments have priority over the operator's file."""
    if operator:
        log_format = log_format or operator.settings.log.format
        log_level = log_level or operator.settings.log.level
    logs.configure(log_format or logs.LogFormat.JSON, log_level or logs.LogLevel.INFO)


def _read_platform_config() -> Config:
    try:
        return Config.read(os.environ)
    except ConfigError as error:
        raise StartError(ExitStatus.BAD_CONFIG, [f"wheatstile: {error}"]) from error


def _compile_descriptions(operator: "OperatorFile", config: Config) -> "StartupCompilation | None":
    if not operator.settings.descriptions.paths:
        return None
    from wheatstile.descriptions.section import compile_at_startup
    from wheatstile.descriptions.worker_protocol import CompilationRejected

    result = compile_at_startup(operator, config)
    if isinstance(result, CompilationRejected):
        raise StartError(ExitStatus.REJECTED, result.reasons)
    return result


def _raise_descriptor_limit() -> None:
    """Raise the limit on open file descriptors to the hard limit. Each connection needs one or two."""
    _, hard_limit = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard_limit, hard_limit))
