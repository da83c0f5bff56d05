"""Test of a server that does not answer a client's lines."""

from typing import Any

import pytest
from support.balancer import WITHOUT_HEALTH_CHECKS, Balancer


@pytest.fixture
def settings() -> dict[str, Any]:
    return WITHOUT_HEALTH_CHECKS


def test_client_of_an_unresponsive_upstream_is_migrated(balancer: Balancer) -> None:
    balancer.start()
    client, _server = balancer.establish()
    client.send("a line without an answer")
    assert (client.line(), client.line()) == ("MOVE", "")
