"""The start of the process: settings from RELAY_* and the operator's file, then the event loop."""

import os
import resource
import sys
from typing import TYPE_CHECKING

import uvloop

from wheatstile import logs
from wheatstile.config.platform import Config, ConfigError
from wheatstile.process import signals
from wheatstile.process.balancer_process import BalancerProcess

if TYPE_CHECKING:  # what is switched off is not imported
    from wheatstile.config.operator import OperatorFile
    from wheatstile.descriptions.section import StartupCompilation

OPERATOR_FILE = "WHEATSTILE_FILE"  # the variable that names the operator's file, where no option does

EXIT_OK = 0
EXIT_REJECTED = 1  # an operator's file or descriptions that are rejected, or an address nobody can listen on
EXIT_BAD_CONFIG = 2  # no usable RELAY_CONFIG


class StartError(Exception):
    """The balancer cannot start: the exit status, and the lines that say why."""

    def __init__(self, status: int, lines: list[str]) -> None:
        super().__init__("\n".join(lines))
        self.status = status
        self.lines = lines


def main(file: str | None = None, log_format: str | None = None, log_level: str | None = None) -> int:
    """Serve from RELAY_*, and from the operator's file if one is named. Returns the exit status."""
    signals.block_reload_signal()
    try:
        _serve(file or os.environ.get(OPERATOR_FILE), log_format, log_level)
    except StartError as error:
        print("\n".join(error.lines), file=sys.stderr)
        return error.status
    return EXIT_OK


def _serve(file: str | None, log_format: str | None, log_level: str | None) -> None:
    operator = _read_operator_file(file) if file else None
    _configure_log(operator, log_format, log_level)
    config = _read_platform_config()
    startup_compilation = _compile_descriptions(operator, config) if operator else None
    _raise_descriptor_limit()
    try:
        uvloop.run(_balance(config, operator, startup_compilation))
    except OSError as error:
        host, port = config.listen
        raise StartError(EXIT_REJECTED, [f"wheatstile: {host}:{port}: {error}"]) from error


async def _balance(
    config: Config, operator: "OperatorFile | None", startup_compilation: "StartupCompilation | None"
) -> None:
    await BalancerProcess(config, operator, startup_compilation).run()


def _read_operator_file(file: str) -> "OperatorFile":
    from wheatstile.config import operator, violations

    try:
        return operator.read(file)
    except violations.ConfigurationError as error:
        raise StartError(EXIT_REJECTED, error.lines()) from error


def _configure_log(operator: "OperatorFile | None", log_format: str | None, log_level: str | None) -> None:
    """Configure the log; the command line's options go before the operator's file."""
    if operator:
        log_format = log_format or operator.settings.log.format
        log_level = log_level or operator.settings.log.level
    logs.configure(log_format or "json", log_level or "info")


def _read_platform_config() -> Config:
    try:
        return Config.read(os.environ)
    except ConfigError as error:
        raise StartError(EXIT_BAD_CONFIG, [f"wheatstile: {error}"]) from error


def _compile_descriptions(operator: "OperatorFile", config: Config) -> "StartupCompilation | None":
    if not operator.settings.descriptions.paths:
        return None
    from wheatstile.descriptions.section import compile_at_startup
    from wheatstile.descriptions.worker_protocol import CompilationRejected

    result = compile_at_startup(operator, config)
    if isinstance(result, CompilationRejected):
        raise StartError(EXIT_REJECTED, result.reasons)
    return result


def _raise_descriptor_limit() -> None:
    """As many descriptors as the system allows: each connection takes one or two."""
    _, hard_limit = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard_limit, hard_limit))
