"""Fixtures for the tests that start the balancer, or call the command line, as a process."""

from collections.abc import Iterator
from typing import Any

import pytest
from support.balancer import Balancer
from support.command_folder import command_folder, live_file

__all__ = ["balancer", "command_folder", "live_file", "settings"]


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
