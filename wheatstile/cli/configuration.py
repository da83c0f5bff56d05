"""What commands read of the operator's and the platform's configuration."""

import os

from wheatstile.config import operator
from wheatstile.config.operator import OperatorFile, Servers
from wheatstile.config.platform import Config

PLATFORM_CONFIG_VARIABLE = "RELAY_CONFIG"


def read_operator_file(path: str | None) -> OperatorFile | None:
    """Return the operator's file at `path`; None without one. Raises ConfigurationError."""
    return operator.read(path) if path else None


def read_servers_section(path: str | None) -> Servers:
    """Return the `servers` section of the operator's file at `path`, or its defaults without one.

    Raises ConfigurationError.
    """
    operator_file = read_operator_file(path)
    return operator_file.settings.servers if operator_file else Servers()


def read_platform_config(path: str | None) -> Config | None:
    """Return the platform's configuration at `path`, else where RELAY_CONFIG says; None without both.

    Raises ConfigError.
    """
    path = path or os.environ.get(PLATFORM_CONFIG_VARIABLE)
    if not path:
        return None
    return Config.read({**os.environ, PLATFORM_CONFIG_VARIABLE: path})
