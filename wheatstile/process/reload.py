"""Reload of the configuration files. Each is accepted as a whole, or rejected with the reason in the log."""

import os
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

import structlog

from wheatstile.config.platform import DISCOVERY_VARIABLE, Config, ConfigError

if TYPE_CHECKING:  # imported only when the process has an operator's file
    from wheatstile.config.operator import OperatorFile

log = structlog.get_logger()

START_ONLY_FIELDS = ("name", "listen", "seed", "known")  # fields of Config that a reload does not change


@dataclass(frozen=True, slots=True)
class ReloadedConfig:
    """The new configuration, and the keys whose changes take effect only after a restart."""

    config: Config
    pending_restart: list[str]


def reload_platform_config(current: Config) -> ReloadedConfig | None:
    """Read the platform's file again. Return None, and log the reason, if it is rejected.

    RELAY_DISCOVERY applies only at the start of the process: a reload takes the address from the file.
    """
    environ = {name: value for name, value in os.environ.items() if name != DISCOVERY_VARIABLE}
    try:
        latest = Config.read(environ)
    except ConfigError as error:
        log.error("config_reload_rejected", reason=str(error))
        return None
    start_values = {field: getattr(current, field) for field in START_ONLY_FIELDS}
    pending_restart = [field for field, value in start_values.items() if getattr(latest, field) != value]
    return ReloadedConfig(replace(latest, **start_values), pending_restart)


def reload_operator_file(current: "OperatorFile") -> "OperatorFile | None":
    """Read the operator's file again. Return None, and log all reasons, if it is rejected."""
    from wheatstile.config import operator, violations

    try:
        return operator.read(str(current.path))
    except violations.ConfigurationError as error:
        log.error("operator_file_reload_rejected", reasons=error.lines())
        return None
