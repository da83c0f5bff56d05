"""Tests of clients that send many lines at once."""

from typing import Any

import pytest
from support.balancer import SLOW_CONNECT, Balancer

FLOOD_LINES = 1000


@pytest.fixture
def settings() -> dict[str, Any]:
    return SLOW_CONNECT


@pytest.mark.parametrize("command", ["PING", "STATS", "OPEN 0000000000000001 key1 c=web,d=9000,g=abc"])
@pytest.mark.parametrize("first", ["", "OPEN 0000000000000001 key1 c=web,d=9000,g=abc"])
def test_flood_of_commands_in_one_turn_gets_one_answer_and_is_not_forwarded(
    balancer: Balancer, first: str, command: str
) -> None:
    """The protocol does not allow another line before the answer to the first line."""
    balancer.start()
    client = balancer.client()
    with balancer.paused():
        client.send(*filter(None, [first]), *[command] * FLOOD_LINES)
    assert client.lines_to_the_end() == ["ERR"]
    assert balancer.check_serving(2)["attempts_established"] == 1


def test_flood_of_commands_during_an_attempt_ends_it(balancer: Balancer) -> None:
    """The server answers in the same event loop iteration. The client gets only one final answer."""
    balancer.start()
    client = balancer.send_open(1)
    server, _ = balancer.server.accept_session()
    with balancer.paused():
        client.send(*["PING"] * FLOOD_LINES)
        server.send("UP r")
    assert client.lines_to_the_end() == ["ERR"]
    assert server.wait_for_end()
    balancer.check_serving(2)


def test_flood_of_lines_on_an_established_session_is_relayed_in_order(balancer: Balancer) -> None:
    """Every line and every answer arrives once and unchanged. Another client is served at the same time."""
    balancer.start()
    client, server = balancer.establish(1)
    lines = [f"PING {number}" for number in range(FLOOD_LINES)]
    with balancer.paused():
        client.send(*lines)
    assert [server.line() for _ in lines] == lines
    balancer.check_serving(2)
    server.send(*lines)
    assert [client.line() for _ in lines] == lines
