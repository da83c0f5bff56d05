"""Tests of the relay of an established session, and how it ends."""

from typing import Any

import pytest
from support.balancer import SLOW_CONNECT, WITHOUT_HEALTH_CHECKS, Balancer

MAX_BUFFERED_BYTES = 64 << 20  # more than the kernel buffers


@pytest.fixture
def settings() -> dict[str, Any]:
    return WITHOUT_HEALTH_CHECKS


@pytest.mark.parametrize("settings", [{}])
def test_lines_and_the_close_are_relayed(balancer: Balancer) -> None:
    balancer.start()
    client, server = balancer.establish()
    client.send("a", "b" * 4000)
    assert (server.line(), server.line()) == ("a", "b" * 4000)
    server.send("c", "LOAD 12.5", "BYE")
    server.close()
    assert [client.line() for _ in range(4)] == ["c", "LOAD 12.5", "BYE", ""]


def test_upstream_reset_is_relayed(balancer: Balancer) -> None:
    balancer.start()
    client, server = balancer.establish()
    server.close(reset=True)
    with pytest.raises(ConnectionResetError):
        client.line()


def test_client_that_disconnects_closes_the_upstream_side(balancer: Balancer) -> None:
    balancer.start()
    client, server = balancer.establish()
    client.close()
    assert server.line() == ""


def test_client_that_reads_nothing_applies_backpressure_and_loses_no_line(balancer: Balancer) -> None:
    balancer.start()
    client, server = balancer.establish()
    sent_bytes = 0
    line = b"x" * 4094 + b"\r\n"
    server.sock.settimeout(1)
    with pytest.raises(TimeoutError):
        while True:
            sent_bytes += server.sock.send(line)
    assert sent_bytes < MAX_BUFFERED_BYTES
    for _ in range(sent_bytes // len(line)):
        assert client.line() == "x" * 4094


def test_partial_line_does_not_precede_a_migration(balancer: Balancer) -> None:
    balancer.start()
    client, server = balancer.establish()
    server.sock.sendall(b"whole\r\nhalf")
    assert client.line() == "whole"
    balancer.terminate()
    assert (client.line(), client.line()) == ("MOVE", "")


@pytest.mark.parametrize("reset", [False, True])
@pytest.mark.parametrize("settings", [SLOW_CONNECT])
def test_both_sides_end_in_one_turn(balancer: Balancer, reset: bool) -> None:
    balancer.start()
    client, server = balancer.establish(1)
    with balancer.paused():
        server.close(reset)
        client.close(reset)
    balancer.check_serving(11)


@pytest.mark.parametrize("settings", [SLOW_CONNECT])
@pytest.mark.parametrize("final_line", ["BYE", "MOVE"])
def test_no_migration_follows_the_upstreams_final_line(balancer: Balancer, final_line: str) -> None:
    balancer.start()
    client, server = balancer.establish()
    server.send(final_line)  # without closing the connection
    assert client.line() == final_line
    balancer.terminate()
    assert client.line() == ""


@pytest.mark.parametrize("line", ["MOVEX", "BYEBYE 1", "MOVES 2"])
def test_line_that_begins_with_a_final_keyword_does_not_end_the_session(
    balancer: Balancer, line: str
) -> None:
    """Guards against mistaking such a line for a final one, and disconnecting the client without MOVE."""
    balancer.start()
    client, server = balancer.establish()
    server.send(line)
    assert client.line() == line
    balancer.terminate()
    assert (client.line(), client.line()) == ("MOVE", "")
