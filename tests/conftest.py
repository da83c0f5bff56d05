"""Fixtures for the tests that start the balancer as a process."""

from collections.abc import Iterator
from typing import Any

import pytest
from support.balancer import Balancer
from support.command_line_folder import folder, live_file
from support.served_balancer_factory import make_balancer

pytest_plugins = ["support.known_red"]
__all__ = ["balancer", "folder", "live_file", "make_balancer", "settings"]


@pytest.fixture
def settings() -> dict[str, Any]:
    """What a test's balancer has of settings other than SETTINGS; a module or a test overrides it."""
    return {}


@pytest.fixture
def balancer(settings: dict[str, Any]) -> Iterator[Balancer]:
    """One balancer, not started yet; it is ended with the test."""
    balancer = Balancer(settings)
    try:
        yield balancer
    finally:
        balancer.close()
