"""Fixtures for tests in several directories. The plugin `known_red` reads KNOWN-RED.txt."""

from collections.abc import Iterator
from typing import Any

import pytest
from support.balancer import Balancer
from support.command_line_fixtures import live_file, working_directory
from support.served_balancer_factory import make_balancer

pytest_plugins = ["support.known_red"]
__all__ = ["balancer", "live_file", "make_balancer", "settings", "working_directory"]


@pytest.fixture
def settings() -> dict[str, Any]:
    """Return the settings of `balancer` that differ from SETTINGS. A module or a test may override it."""
    return {}


@pytest.fixture
def balancer(settings: dict[str, Any]) -> Iterator[Balancer]:
    """Return a balancer that is not started. It is closed at the end of the test."""
    balancer = Balancer(settings)
    try:
        yield balancer
    finally:
        balancer.close()
