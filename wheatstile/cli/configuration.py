"""Reads the operator's file and the platform's configuration for commands. Both are optional."""

import os

from wheatstile.config import operator
from wheatstile.config.operator import OperatorFile, Servers
from wheatstile.config.platform import CONFIG_VARIABLE, Config


def read_operator_file(path: str | None) -> OperatorFile | None:
    """Return the operator's file at `path`, or None without a path. Raises ConfigurationError."""
    return operator.read(path) if path else None


def read_servers_section(path: str | None) -> Servers:
    """Return the `servers` section of the operator's file at `path`, or its defaults without a path.

    Raises ConfigurationError.
    """
    operator_file = read_operator_file(path)
    return operator_file.settings.servers if operator_file else Servers()


def read_platform_config(path: str | None) -> Config | None:
    """Return the platform's configuration at `path`, or else at RELAY_CONFIG; None if neither is set.

    Raises ConfigError.
    """
    path = path or os.environ.get(CONFIG_VARIABLE)
    if not path:
        return None
    return Config.read({**os.environ, CONFIG_VARIABLE: path})
