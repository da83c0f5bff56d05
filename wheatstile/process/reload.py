"""Reload: the files as they are now, each taken as a whole or rejected with its reason in the log."""

import os
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

import structlog

from wheatstile.config.platform import Config, ConfigError

if TYPE_CHECKING:  # what is switched off is not imported
    from wheatstile.config.operator import OperatorFile

log = structlog.get_logger()

START_ONLY_KEYS = ("name", "listen", "seed", "known")  # fields of Config that hold from start to end


@dataclass(frozen=True, slots=True)
class ReloadedConfig:
    """The configuration to go on with, and the changed keys that count only after a restart."""

    config: Config
    pending_restart: list[str]


def reload_platform_config(current: Config) -> ReloadedConfig | None:
    """Read the platform's file again; None, with the reason logged, if it cannot be used.

    Discovery is the file's from here on: RELAY_DISCOVERY says where it was when the process started.
    """
    environ = {name: value for name, value in os.environ.items() if name != "RELAY_DISCOVERY"}
    try:
        latest = Config.read(environ)
    except ConfigError as error:
        log.error("config_reload_rejected", reason=str(error))
        return None
    start_values = {key: getattr(current, key) for key in START_ONLY_KEYS}
    pending_restart = [key for key, value in start_values.items() if getattr(latest, key) != value]
    return ReloadedConfig(replace(latest, **start_values), pending_restart)


def reload_operator_file(current: "OperatorFile") -> "OperatorFile | None":
    """Read the operator's file again; None, with all reasons logged, if it is rejected."""
    from wheatstile.config import operator, violations

    try:
        return operator.read(str(current.path))
    except violations.ConfigurationError as error:
        log.error("operator_file_reload_rejected", reasons=error.lines())
        return None
